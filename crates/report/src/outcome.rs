//! The outcomes of requests.

use crate::line::{Answered, Refused};
use crate::size::{self, Class};
use serde::Serialize;

/// The outcome of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// Answered within the route's latency goal and without a pause above the limit.
    InTime,
    /// Answered, but above the latency goal or with a pause above the limit.
    Late,
    /// Refused because of the load or state of the fleet, without having run.
    Refused,
    /// Ended without a complete answer, answered with a server error, or refused although it
    /// may have run.
    Failed,
    /// Refused because the caller's request was invalid.
    Invalid,
    /// The caller disconnected before the end.
    Gone,
    /// Answered, but the log line has no latency goal to compare with.
    Unjudged,
}

/// The number of outcomes.
pub const COUNT: usize = 7;

impl Outcome {
    /// All outcomes.
    pub const ALL: [Self; COUNT] = [
        Self::InTime,
        Self::Late,
        Self::Refused,
        Self::Failed,
        Self::Invalid,
        Self::Gone,
        Self::Unjudged,
    ];

    /// Returns the name that is shown on the page.
    pub fn name(self) -> &'static str {
        match self {
            Self::InTime => "in time",
            Self::Late => "late",
            Self::Refused => "refused",
            Self::Failed => "failed",
            Self::Invalid => "invalid",
            Self::Gone => "caller gone",
            Self::Unjudged => "not judged",
        }
    }

    /// Whether the cause lies with the service, not the caller: late, refused or failed.
    pub fn is_bad(self) -> bool {
        matches!(self, Self::Late | Self::Refused | Self::Failed)
    }
}

/// Returns the outcome of an answered request.
pub fn classify_answer(answer: &Answered) -> Outcome {
    let Some(goal) = answer.goal_ms.filter(|_| answer.status < 500) else {
        return if answer.status < 500 { Outcome::Unjudged } else { Outcome::Failed };
    };
    let paused = answer.pause_max_ms > 0 && answer.pause_ms > answer.pause_max_ms;
    match answer.latency_ms() <= goal && !paused {
        true => Outcome::InTime,
        false => Outcome::Late,
    }
}

/// Returns the outcome of a refused request.
pub fn classify_refusal(refusal: &Refused) -> Outcome {
    let invalid = (400..500).contains(&refusal.status) && !matches!(refusal.status, 408 | 429);
    match (refusal.ran.as_str(), invalid) {
        ("no", true) => Outcome::Invalid,
        ("no", false) => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// Numbers of requests by size and outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts([[u64; COUNT]; size::COUNT]);

impl Counts {
    /// Counts a request.
    pub fn add(&mut self, class: Class, outcome: Outcome) {
        self.0[class.index()][outcome as usize] += 1;
    }

    /// Adds the numbers of another instance.
    pub fn merge(&mut self, other: &Self) {
        for (own, other) in self.0.iter_mut().flatten().zip(other.0.iter().flatten()) {
            *own += other;
        }
    }

    /// Returns the number of requests of a size with an outcome.
    pub fn get(&self, class: Class, outcome: Outcome) -> u64 {
        self.0[class.index()][outcome as usize]
    }

    /// Returns the number of requests of all sizes with an outcome.
    pub fn total(&self, outcome: Outcome) -> u64 {
        Class::all().map(|class| self.get(class, outcome)).sum()
    }

    /// Returns the number of requests that were late, refused or failed.
    pub fn count_bad(&self) -> u64 {
        Outcome::ALL.into_iter().filter(|o| o.is_bad()).map(|o| self.total(o)).sum()
    }
}
