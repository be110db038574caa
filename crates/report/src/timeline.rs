//! Counts over time, in a bounded number of equal steps.

use std::collections::BTreeMap;

/// Steps that are kept; more are merged two by two.
pub const STEPS_MAX: usize = 1_440;

/// The width of a step before any were merged.
const STEP_MS: i64 = 1_000;

/// What can be counted together.
pub trait Merge: Default {
    /// Takes what another step counted in.
    fn merge(&mut self, other: Self);
}

/// Counts over time; only steps in which something was counted are kept.
#[derive(Debug)]
pub struct Timeline<T> {
    step_ms: i64,
    steps: BTreeMap<i64, T>,
}

impl<T> Default for Timeline<T> {
    fn default() -> Self {
        Self { step_ms: STEP_MS, steps: BTreeMap::new() }
    }
}

impl<T: Merge> Timeline<T> {
    /// The step that a moment lies in, in milliseconds of Unix time.
    pub fn at(&mut self, time_ms: i64) -> &mut T {
        while self.steps.len() >= STEPS_MAX && !self.steps.contains_key(&self.number(time_ms)) {
            self.coarsen();
        }
        let number = self.number(time_ms);
        self.steps.entry(number).or_default()
    }

    /// The width of a step.
    pub fn step_ms(&self) -> i64 {
        self.step_ms
    }

    /// The steps in which something was counted, with their beginnings.
    pub fn steps(&self) -> impl Iterator<Item = (i64, &T)> {
        self.steps.iter().map(|(number, step)| (number * self.step_ms, step))
    }

    fn number(&self, time_ms: i64) -> i64 {
        time_ms.div_euclid(self.step_ms)
    }

    fn coarsen(&mut self) {
        self.step_ms *= 2;
        for (number, step) in std::mem::take(&mut self.steps) {
            self.steps.entry(number.div_euclid(2)).or_default().merge(step);
        }
    }
}
