//! Sizes in tokens and bytes.

use derive_more::{Add, AddAssign, Display, FromStr, Sub, SubAssign, Sum};
use serde::{Deserialize, Serialize};

macro_rules! size {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash,
            Add, AddAssign, Sub, SubAssign, Sum, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);

        impl $name {
            /// Returns the difference, or zero if `other` is greater.
            pub fn saturating_sub(self, other: Self) -> Self {
                Self(self.0.saturating_sub(other.0))
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
    /// Returns the number of tokens of a text of `bytes` bytes, rounded up.
    pub fn from_bytes(bytes: Bytes) -> Self {
        Self(bytes.0.div_ceil(BYTES_PER_TOKEN))
    }
}
