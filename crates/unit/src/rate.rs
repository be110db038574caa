//! Token and byte rates.

use crate::size;
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Tokens per second.
#[derive(
    Clone, Copy, Debug, Default, Display, FromStr, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TokensPerSecond(pub f64);

impl TokensPerSecond {
    /// Returns how long `tokens` take at this rate; [`Duration::MAX`] at rate zero.
    pub fn time_for(self, tokens: size::Tokens) -> Duration {
        Duration::try_from_secs_f64(tokens.0 as f64 / self.0).unwrap_or(Duration::MAX)
    }
}

/// Bytes per second.
#[derive(
    Clone, Copy, Debug, Default, Display, FromStr, PartialEq, PartialOrd, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct BytesPerSecond(pub f64);

impl BytesPerSecond {
    /// Converts a link rate in megabits per second.
    pub fn from_megabits(megabits: f64) -> Self {
        Self(megabits * 1e6 / 8.0)
    }

    /// Returns how long `bytes` take at this rate; [`Duration::MAX`] at rate zero.
    pub fn time_for(self, bytes: size::Bytes) -> Duration {
        Duration::try_from_secs_f64(bytes.0 as f64 / self.0).unwrap_or(Duration::MAX)
    }
}
