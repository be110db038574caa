//! Distributions of values.

use crate::summary::Quantiles;
use hdrhistogram::Histogram;

/// The greatest recorded value; greater ones count as this one.
const MAX_VALUE: u64 = 10_000_000;

/// A distribution of values with a precision of `DIGITS` significant digits. It
/// allocates memory when the first value is added.
#[derive(Clone, Debug, Default)]
pub(crate) struct Distribution<const DIGITS: u8>(Option<Box<Histogram<u32>>>);

impl<const DIGITS: u8> Distribution<DIGITS> {
    pub(crate) fn add(&mut self, value: u64) {
        if self.0.is_none() {
            self.0 = Histogram::new_with_bounds(1, MAX_VALUE, DIGITS).ok().map(Box::new);
        }
        if let Some(histogram) = &mut self.0 {
            histogram.saturating_record(value);
        }
    }

    pub(crate) fn merge(&mut self, other: Self) {
        match (&mut self.0, other.0) {
            (Some(own), Some(other)) => {
                // Both histograms have the same bounds, so this can't fail.
                let _ = own.add(&*other);
            }
            (own, Some(other)) => *own = Some(other),
            (_, None) => {}
        }
    }

    /// Returns the quantiles, or `None` if the distribution is empty.
    pub(crate) fn quantiles(&self) -> Option<Quantiles> {
        let histogram = self.0.as_ref()?;
        Some(Quantiles {
            count: histogram.len(),
            p50: histogram.value_at_quantile(0.5),
            p95: histogram.value_at_quantile(0.95),
            p99: histogram.value_at_quantile(0.99),
            max: histogram.max(),
        })
    }
}
