//! Times of a target's requests by concurrency, and the concurrency limit that fits them.

use std::time::{Duration, Instant};

/// Memory of the times at one concurrency, in requests.
const MEMORY: f64 = 24.0;

/// Half-life of the times at one concurrency.
pub(crate) const HALF_LIFE: Duration = Duration::from_secs(4);

/// Weight of the assumption that the limit is the number of slots, against the evidence. Random
/// differences between single requests amount to a fraction of it.
const SLOTS_WEIGHT: f64 = 1.5;

/// Relative spread of times for which [`SLOTS_WEIGHT`] is meant.
pub(crate) const USUAL_SPREAD: f64 = 0.2;

/// A target whose recent times differ by more than this factor from those at the same concurrency
/// has changed its speed.
const CHANGE_FACTOR: f64 = 1.3;

/// Evidence at one concurrency from which on times there show a change, in requests.
const MIN_WEIGHT: f64 = 3.0;

/// Weight of the newest request in the detection of a change.
const CHANGE_WEIGHT: f64 = 0.25;

/// Greatest concurrency that is told apart.
const MAX_CONCURRENCY: usize = 64;

/// Moving average, with the weight of the evidence.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Mean {
    pub(crate) value: f64,
    pub(crate) weight: f64,
    /// When the last value was added.
    pub(crate) at: Option<Instant>,
}

impl Mean {
    /// Returns the weight of the evidence, which loses half of it in each half-life.
    pub(crate) fn weight(&self, now: Instant, half_life: Duration) -> f64 {
        let age = self.at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.weight * decay(age, half_life)
    }

    /// Adds a value; `memory` is the greatest weight of the evidence.
    pub(crate) fn add(&mut self, now: Instant, value: f64, memory: f64, half_life: Duration) {
        let weight = self.weight(now, half_life).min(memory - 1.0);
        self.value = (self.value * weight + value) / (weight + 1.0);
        (self.weight, self.at) = (weight + 1.0, Some(now));
    }
}

/// Logarithms of the times by concurrency.
#[derive(Clone, Debug, Default)]
pub(crate) struct Curve {
    /// Relative to `level`; the first one is for a single request.
    points: Vec<Mean>,
    /// Sum of the changes of the target's speed.
    level: f64,
    /// Recent mean of the times relative to the curve.
    change: f64,
}

impl Curve {
    /// Adds a time. A change of the target's speed moves the whole curve, so that it isn't taken for
    /// an effect of the concurrency.
    pub(crate) fn add(&mut self, now: Instant, requests: f64, time: f64, spread: f64) {
        let index = (requests.round().max(1.0) as usize).min(MAX_CONCURRENCY) - 1;
        if self.points.len() <= index {
            self.points.resize(index + 1, Mean::default());
        }
        let point = &mut self.points[index];
        let time = time.max(1e-6).ln();
        if point.weight(now, HALF_LIFE) >= MIN_WEIGHT {
            self.change += CHANGE_WEIGHT * (time - self.level - point.value - self.change);
            // The spread is 2.6 standard errors of a mean with this weight.
            if self.change.abs() > CHANGE_FACTOR.ln().max(spread) {
                self.level += std::mem::take(&mut self.change);
                return;
            }
        }
        point.add(now, time - self.level, MEMORY, HALF_LIFE);
    }

    /// Returns the limit from which on times grow in proportion to the concurrency.
    pub(crate) fn fit_limit(&self, now: Instant, slots: u32, spread: f64) -> u32 {
        let points: Vec<(f64, &Mean, f64)> = (1..)
            .zip(&self.points)
            .map(|(requests, point)| (f64::from(requests), point, point.weight(now, HALF_LIFE)))
            .filter(|(.., weight)| *weight > 0.1)
            .collect();
        let total: f64 = points.iter().map(|(.., weight)| weight).sum();
        let slots_weight = SLOTS_WEIGHT * (spread / USUAL_SPREAD).powi(2);
        let error = |limit: u32| {
            let residual = |&(requests, point, weight): &(f64, &Mean, f64)| {
                (point.value - stretch(requests, f64::from(limit)).ln(), weight)
            };
            let sum: f64 = points.iter().map(residual).map(|(r, weight)| r * weight).sum();
            let mean = sum / total.max(1e-9);
            let errors = points.iter().map(residual).map(|(r, weight)| weight * (r - mean).powi(2));
            errors.sum::<f64>() + slots_weight * (1.0 - f64::from(limit) / f64::from(slots))
        };
        let fits = (1..=slots.max(1)).map(|limit| (error(limit), limit));
        fits.min_by(|a, b| a.0.total_cmp(&b.0)).map_or(slots, |(_, limit)| limit)
    }
}

/// Returns how many times longer a request takes among this many than alone.
pub(crate) fn stretch(requests: f64, limit: f64) -> f64 {
    (requests / limit.max(1.0)).max(1.0)
}

/// Returns what is left of a weight at this age.
pub(crate) fn decay(age: Duration, half_life: Duration) -> f64 {
    (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}

/// Returns the lower median.
pub(crate) fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len().checked_sub(1)? / 2).copied()
}
