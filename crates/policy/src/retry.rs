//! What may be tried again, where, and how often. A budget bounds retries by the
//! requests that earn them, so that they don't multiply the load of a fleet that
//! fails; what must not be repeated is tried again only if it never began.
//!
//! Load pattern: targets fail while accounts send at full rate.

use crate::refuse::{Ran, RetryReason};
use hickory_unit::id;
use std::collections::HashMap;

/// Retries earned by each request: with one for five, a fleet whose every
/// attempt fails gets at most a fifth more load.
pub const RETRIES_PER_REQUEST: f64 = 0.2;

/// Retries that an account may save up: enough for all that one engine's
/// death throws back at a large account.
pub const MAX_SAVED_RETRIES: f64 = 20.0;

/// Attempts of one request at most. After three targets have failed it the
/// request is more likely to blame than they are.
pub const MAX_ATTEMPTS: u32 = 3;

/// How an attempt failed, by what the target can have seen of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No byte reached the target.
    NotSent,
    /// The target answered that it did not begin, or confirmed a cancel as
    /// never begun.
    NeverBegun,
    /// Bytes went and no answer came, or it was cut.
    Unknown,
    /// The stream made no progress for too long.
    Stalled,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Try another target.
    Retry(RetryReason),
    /// Refuse; whether it ran is as said.
    Stop(Ran),
}

/// The retry budgets of the accounts.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    saved: HashMap<id::Account, f64>,
}

impl Budget {
    /// Full budgets for all accounts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a request of an account, which earns part of a retry.
    pub fn record_request(&mut self, account: &id::Account) {
        if let Some(saved) = self.saved.get_mut(account) {
            *saved = (*saved + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
        }
    }

    /// Takes one retry out of an account's budget, if there is one.
    pub fn try_spend(&mut self, account: &id::Account) -> bool {
        if !self.saved.contains_key(account) {
            self.saved.insert(account.clone(), MAX_SAVED_RETRIES);
        }
        let saved = self.saved.get_mut(account).filter(|saved| **saved >= 1.0);
        saved.map(|saved| *saved -= 1.0).is_some()
    }

    /// Forgets accounts that are gone.
    pub fn retain(&mut self, keep: impl Fn(&id::Account) -> bool) {
        self.saved.retain(|account, _| keep(account));
    }
}

/// Decides on a failed attempt, before the budget is asked.
///
/// Work that must not be repeated is tried again only where the target
/// certainly never began it; everything else also where it may have. A stream
/// of which the caller has seen tokens goes on from there on another target,
/// since its tokens follow from the prompt.
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

/// The targets that a request's further attempts leave out.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Excluded {
    targets: Vec<id::Target>,
}

impl Excluded {
    /// Leaves out a target that failed or refused.
    pub fn add(&mut self, target: id::Target) {
        if !self.contains(&target) {
            self.targets.push(target);
        }
    }

    /// Whether a target is left out.
    pub fn contains(&self, target: &id::Target) -> bool {
        self.targets.contains(target)
    }
}
