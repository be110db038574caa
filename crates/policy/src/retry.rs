//! Decides whether a failed attempt is retried. A retry budget per account ties the number of
//! retries to the number of requests, so that retries don't multiply the load of a failing fleet.
//! Work that must not be repeated is retried only if it never began.
//!
//! Load pattern: targets fail while accounts send at full rate.

use crate::refuse::{Ran, RetryReason};
use hickory_unit::id;
use std::collections::HashMap;

/// Retries earned by each request. With one for five requests, the load grows by at most a fifth
/// even if every attempt fails.
pub const RETRIES_PER_REQUEST: f64 = 0.2;

/// Maximum number of retries that an account can save up: enough for all the requests that a large
/// account loses with one engine.
pub const MAX_SAVED_RETRIES: f64 = 20.0;

/// Maximum number of attempts per request. After failures on three targets the request is more
/// likely the cause than the targets.
pub const MAX_ATTEMPTS: u32 = 3;

/// How an attempt failed, by how much of it the target can have seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte reached the target.
    NotSent,
    /// The target answered that it did not start the work, or confirmed a cancel as never begun.
    NeverBegun,
    /// Bytes were sent, and the answer is missing or incomplete.
    Unknown,
    /// The stream made no progress for too long.
    Stalled,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Retry on another target.
    Retry(RetryReason),
    /// Refuse the request, and report whether it ran.
    Stop(Ran),
}

/// Retry budgets of the accounts.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    saved: HashMap<id::Account, f64>,
}

impl Budget {
    /// Creates full budgets for all accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a request of an account, which earns a fraction of a retry.
    pub fn record_request(&mut self, account: &id::Account) {
        if let Some(saved) = self.saved.get_mut(account) {
            *saved = (*saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
        }
    }

    /// Spends one retry of an account's budget; returns false if none is left.
    pub fn try_spend(&mut self, account: &id::Account) -> bool {
        if !self.saved.contains_key(account) {
            self.saved.insert(account.clone(), MAX_SAVED_RETRIES);
        }
        let saved = self.saved.get_mut(account).filter(|saved| **saved >= 1.0);
        saved.map(|saved| *saved -= 1.0).is_some()
    }

    /// Removes accounts that no longer exist.
    pub fn retain(&mut self, keep: impl Fn(&id::Account) -> bool) {
        self.saved.retain(|account, _| keep(account));
    }
}

/// Decides about a failed attempt, before the budget is checked.
///
/// Work that must not be repeated is retried only if the target never began it; other work also if
/// it may have run. A stream that the caller has already received tokens of is continued on another
/// target, since its tokens are determined by the prompt.
pub fn decide(failure: Failure, idempotent: bool, attempt: u32) -> Verdict {
    let never_ran = matches!(failure, Failure::NotSent | Failure::NeverBegun);
    let ran = if never_ran { Ran::No } else { Ran::Unknown };
    if attempt + 1 >= MAX_ATTEMPTS || !(never_ran || idempotent) {
        return Verdict::Stop(ran);
    }
    Verdict::Retry(match failure {
        Failure::NotSent => RetryReason::NotSent,
        Failure::NeverBegun => RetryReason::Refused,
        Failure::Unknown => RetryReason::TargetFailed,
        Failure::Stalled => RetryReason::Stalled,
    })
}

/// Targets that further attempts of a request must not use.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Excluded {
    targets: Vec<id::Target>,
}

impl Excluded {
    /// Excludes a target that failed or refused.
    pub fn add(&mut self, target: id::Target) {
        if !self.contains(&target) {
            self.targets.push(target);
        }
    }

    /// Returns whether a target is excluded.
    pub fn contains(&self, target: &id::Target) -> bool {
        self.targets.contains(target)
    }
}
