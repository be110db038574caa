//! Token and byte rates.

use crate::size;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use std::str::FromStr;
use std::time::Duration;

/// Tokens per second.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    derive_more::FromStr,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
)]
#[serde(transparent)]
pub struct TokensPerSecond(pub f64);

impl TokensPerSecond {
    /// Returns how long `tokens` take at this rate; [`Duration::MAX`] at rate zero.
    pub fn time_for(self, tokens: size::Tokens) -> Duration {
        Duration::try_from_secs_f64(tokens.0 as f64 / self.0).unwrap_or(Duration::MAX)
    }
}

/// Requests per second.
#[derive(Clone, Copy, Debug, Display, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestsPerSecond(pub f64);

impl RequestsPerSecond {
    /// Returns the greater of two rates.
    #[must_use]
    pub fn max(self, other: Self) -> Self {
        Self(self.0.max(other.0))
    }
}

/// The error of parsing a rate that isn't a finite decimal number of at least zero.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("expected a decimal number of at least 0, found {found:?}")]
pub struct ParseRateError {
    found: String,
}

impl FromStr for RequestsPerSecond {
    type Err = ParseRateError;

    fn from_str(text: &str) -> Result<Self, ParseRateError> {
        let rate = text.trim().parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0);
        rate.map(Self).ok_or_else(|| ParseRateError { found: text.to_owned() })
    }
}

/// Bytes per second.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Display,
    derive_more::FromStr,
    PartialEq,
    PartialOrd,
    Serialize,
    Deserialize,
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
