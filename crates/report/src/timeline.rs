//! Counts over time, in a bounded number of equal steps.

use std::collections::BTreeMap;

/// Steps that are kept; more are merged two by two.
pub const MAX_STEPS: usize = 1_440;

/// The width of a step before any were merged.
const INITIAL_STEP_MS: i64 = 1_000;

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
        Self { step_ms: INITIAL_STEP_MS, steps: BTreeMap::new() }
    }
}

impl<T: Merge> Timeline<T> {
    /// The step that a moment lies in, in milliseconds of Unix time.
    pub fn step_at(&mut self, time_ms: i64) -> &mut T {
        while self.steps.len() >= MAX_STEPS && !self.steps.contains_key(&self.index(time_ms)) {
            self.coarsen();
        }
        let index = self.index(time_ms);
        self.steps.entry(index).or_default()
    }

    /// The width of a step.
    pub fn step_ms(&self) -> i64 {
        self.step_ms
    }

    /// The steps in which something was counted, with their beginnings.
    pub fn steps(&self) -> impl Iterator<Item = (i64, &T)> {
        self.steps.iter().map(|(index, step)| (index * self.step_ms, step))
    }

    fn index(&self, time_ms: i64) -> i64 {
        time_ms.div_euclid(self.step_ms)
    }

    fn coarsen(&mut self) {
        self.step_ms *= 2;
        for (index, step) in std::mem::take(&mut self.steps) {
            self.steps.entry(index.div_euclid(2)).or_default().merge(step);
        }
    }
}
