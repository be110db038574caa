//! How long a target may be silent before another one is tried.
//!
//! Load pattern: answers are lost or targets hang, beside others whose first tokens come
//! later than predicted. The wait follows what predictions were off by, so that a lost
//! answer is made good within its goal and a late one is not asked for twice.

use std::collections::VecDeque;
use std::time::Duration;

/// Answers whose errors are remembered.
const REMEMBERED: usize = 128;

/// Answers from which the spread of the errors is read.
const ENOUGH: usize = 32;

/// The part of answers that come within the spread.
const WITHIN: f64 = 0.95;

/// The wait beyond the prediction, as a multiple of the spread.
const MARGIN: u32 = 2;

/// The least and the longest wait beyond the prediction: a pass of a busy engine, and
/// what any goal bears.
const BOUNDS: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(3));

/// By how much a service's first tokens came later than predicted.
#[derive(Clone, Debug, Default)]
pub struct Overruns {
    last: VecDeque<Duration>,
}

impl Overruns {
    /// Notes an answer that was predicted after `expected` and came after `took`. What was
    /// waited for in vain tells nothing: where targets are slow, the second answer does.
    pub fn note(&mut self, expected: Duration, took: Duration) {
        if self.last.len() == REMEMBERED {
            self.last.pop_front();
        }
        self.last.push_back(took.saturating_sub(expected));
    }

    /// How long to wait for an answer that is predicted after `expected`.
    pub fn patience(&self, expected: Duration) -> Duration {
        expected + (self.spread() * MARGIN).clamp(BOUNDS.0, BOUNDS.1)
    }

    fn spread(&self) -> Duration {
        if self.last.len() < ENOUGH {
            return Duration::ZERO;
        }
        let mut sorted: Vec<Duration> = self.last.iter().copied().collect();
        let place = (sorted.len() as f64 * WITHIN) as usize;
        let (_, spread, _) = sorted.select_nth_unstable(place);
        *spread
    }
}
