//! The distribution of measured times.

use hdrhistogram::Histogram;
use serde::ser::SerializeStruct;
use serde::{Serialize, Serializer};
use std::time::Duration;

/// The longest time that the histogram distinguishes: one hour, the maximum
/// deadline of a request.
const MAX_TIME_US: u64 = 3_600_000_000;

/// Precision of the histogram, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;

/// A histogram of times in microseconds.
#[derive(Clone, Debug)]
pub struct Spread(Histogram<u64>);

impl Default for Spread {
    fn default() -> Self {
        Self(
            Histogram::new_with_bounds(1, MAX_TIME_US, SIGNIFICANT_DIGITS)
                .expect("constant bounds are valid"),
        )
    }
}

impl Spread {
    /// Adds a time.
    pub fn record(&mut self, time: Duration) {
        self.0.saturating_record((time.as_micros() as u64).max(1));
    }

    /// Returns the number of recorded times.
    pub fn count(&self) -> u64 {
        self.0.len()
    }

    /// Returns the given quantile in milliseconds, or NaN if no times are recorded.
    pub fn quantile_ms(&self, quantile: f64) -> f64 {
        match self.0.is_empty() {
            true => f64::NAN,
            false => self.0.value_at_quantile(quantile) as f64 / 1e3,
        }
    }

    /// Returns the longest time in milliseconds.
    pub fn max_ms(&self) -> f64 {
        self.0.max() as f64 / 1e3
    }
}

impl FromIterator<Duration> for Spread {
    fn from_iter<I: IntoIterator<Item = Duration>>(times: I) -> Self {
        let mut spread = Self::default();
        times.into_iter().for_each(|time| spread.record(time));
        spread
    }
}

impl Serialize for Spread {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut quantiles = serializer.serialize_struct("Spread", 5)?;
        quantiles.serialize_field("count", &self.count())?;
        quantiles.serialize_field("p50_ms", &self.quantile_ms(0.50))?;
        quantiles.serialize_field("p95_ms", &self.quantile_ms(0.95))?;
        quantiles.serialize_field("p99_ms", &self.quantile_ms(0.99))?;
        quantiles.serialize_field("max_ms", &self.max_ms())?;
        quantiles.end()
    }
}
