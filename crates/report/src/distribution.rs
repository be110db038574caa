//! How values are spread.

use crate::summary::Quantiles;
use hdrhistogram::Histogram;

/// The greatest value that is told apart.
const MAX_VALUE: u64 = 10_000_000;

/// How values are spread, to so many digits; takes memory from its first value on.
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
                // Both have the same bounds, so that it can't fail.
                let _ = own.add(&*other);
            }
            (own, Some(other)) => *own = Some(other),
            (_, None) => {}
        }
    }

    /// `None` where there is no value.
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
