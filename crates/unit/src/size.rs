//! Sizes in tokens and bytes. Their arithmetic saturates, since some come from outside.

use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use std::iter::Sum;
use std::ops::{Add, AddAssign, Sub, SubAssign};

macro_rules! size {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the difference, or zero if `other` is greater.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
            }
        }

        impl Add for $name {
            type Output = Self;

            fn add(self, other: Self) -> Self {
                Self(self.0.saturating_add(other.0))
            }
        }

        impl AddAssign for $name {
            fn add_assign(&mut self, other: Self) {
                *self = *self + other;
            }
        }

        impl Sub for $name {
            type Output = Self;

            fn sub(self, other: Self) -> Self {
                self.saturating_sub(other)
            }
        }

        impl SubAssign for $name {
            fn sub_assign(&mut self, other: Self) {
                *self = *self - other;
            }
        }

        impl Sum for $name {
            fn sum<I: Iterator<Item = Self>>(sizes: I) -> Self {
                sizes.fold(Self::default(), Add::add)
            }
        }
    };
}

size! {
    /// Tokens of a prompt, an answer or a KV cache.
    Tokens
}
size! {
    /// Bytes.
    Bytes
}

/// Bytes of prompt text per token, where no tokenizer is available.
pub const BYTES_PER_TOKEN: u64 = 4;

impl Tokens {
    /// The greatest number of tokens that is accepted from outside, a thousand times the longest
    /// prompts.
    pub const MAX: Self = Self(1_000_000_000);

    /// Returns the number of tokens of a text of `bytes` bytes, rounded up.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self(bytes.0.div_ceil(BYTES_PER_TOKEN))
    }
}
