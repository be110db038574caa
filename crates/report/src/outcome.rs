//! How a request ended.

use crate::line::{Answered, Refused};
use crate::size::{self, Class};
use serde::Serialize;

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// First token within the route's goal, and no pause above the wanted one.
    InTime,
    /// Answered, but not in time.
    Late,
    /// Refused for load or for the fleet's state; it has not run.
    Refused,
    /// Ended without a whole answer, or by a target's failure.
    Failed,
    /// Refused for what the caller sent.
    Invalid,
    /// The caller left before the end.
    Gone,
    /// Answered, by a line that does not bear the route's goal.
    Unjudged,
}

/// How many outcomes there are.
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

    /// What a person reads.
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

    /// Whether it speaks against the service.
    pub fn is_bad(self) -> bool {
        matches!(self, Self::Late | Self::Refused | Self::Failed)
    }
}

/// Judges an answer.
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

/// Judges a refusal.
pub fn classify_refusal(refusal: &Refused) -> Outcome {
    let invalid = (400..500).contains(&refusal.status) && !matches!(refusal.status, 408 | 429);
    match (refusal.ran.as_str(), invalid) {
        ("no", true) => Outcome::Invalid,
        ("no", false) => Outcome::Refused,
        _ => Outcome::Failed,
    }
}

/// Requests by size and outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts([[u64; COUNT]; size::COUNT]);

impl Counts {
    /// Counts a request.
    pub fn add(&mut self, class: Class, outcome: Outcome) {
        self.0[class.index()][outcome as usize] += 1;
    }

    /// Takes others in.
    pub fn merge(&mut self, other: &Self) {
        for (own, other) in self.0.iter_mut().flatten().zip(other.0.iter().flatten()) {
            *own += other;
        }
    }

    /// Requests of a size that ended in a way.
    pub fn get(&self, class: Class, outcome: Outcome) -> u64 {
        self.0[class.index()][outcome as usize]
    }

    /// Requests of all sizes that ended in a way.
    pub fn total(&self, outcome: Outcome) -> u64 {
        Class::all().map(|class| self.get(class, outcome)).sum()
    }

    /// Requests that ended in a way that speaks against the service.
    pub fn count_bad(&self) -> u64 {
        Outcome::ALL.into_iter().filter(|o| o.is_bad()).map(|o| self.total(o)).sum()
    }
}
