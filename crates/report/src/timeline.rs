//! Counts over time, in a bounded number of steps of equal width.

use std::collections::BTreeMap;

/// Bound of the number of steps; beyond it the step width is doubled and steps are
/// merged in pairs.
pub const MAX_STEPS: usize = 1_440;

/// The initial step width.
const INITIAL_STEP_MS: i64 = 1_000;

/// Counts of a step that can be merged with those of another.
pub trait Merge: Default {
    /// Adds the counts of another step.
    fn merge(&mut self, other: Self);
}

/// Counts over time. Steps without counts are not stored.
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
    /// Returns the step of a point in time, given in milliseconds of Unix time.
    pub fn step_at(&mut self, time_ms: i64) -> &mut T {
        while self.steps.len() >= MAX_STEPS && !self.steps.contains_key(&self.index(time_ms)) {
            self.coarsen();
        }
        let index = self.index(time_ms);
        self.steps.entry(index).or_default()
    }

    /// Returns the step width.
    pub fn step_ms(&self) -> i64 {
        self.step_ms
    }

    /// Returns the stored steps with their start times.
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
