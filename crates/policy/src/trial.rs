//! Trials of requests that are suspected of crashing targets: one copy at a time over all nodes.
//!
//! Load pattern: copies of one request come at once, or in waves, through many nodes, and each crashes
//! the target that runs it; or a popular sound request is on all targets of a pool that lose power
//! together. The burst of crashes looks the same. Copies that are tried one after the other tell the two
//! apart: a sound one is answered, which clears all others, and each crash under another adds to the
//! series that leads to its quarantine, at the price of one target.
//!
//! A request is a suspect once two targets have crashed under it within a second since its last answer. One
//! target alone delays nothing: most requests that lose a target are sound. A trial begins only after the crashes have
//! settled, so that a burst that goes on is not taken for its result.

use crate::cause::is_near;
use crate::part::{Crash, Evidence, Part, SETTLING_TIME};
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// The number of targets that crash under a request before it is a suspect, and the time between two of
/// them within which copies may have run side by side. Crashes further apart count in series.
const MIN_SUSPECT_TARGETS: usize = 2;
const COPIES_WINDOW: Duration = Duration::from_secs(1);

/// How long a trial lasts after it was last renewed. After a crash it isn't renewed, and by then the
/// crash is known to all nodes that could begin the next one.
pub const LEASE: Duration = Duration::from_millis(500);

/// The interval at which a running trial is renewed. Several renewals may be lost.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(100);

/// Returns the interval at which each node asks again for a trial that was denied. All nodes may have
/// copies of a popular request, which one node answers.
pub fn ask_interval(nodes: usize) -> Duration {
    const MIN_INTERVAL: Duration = Duration::from_millis(100);
    const INTERVAL_PER_NODE: Duration = Duration::from_millis(5);
    MIN_INTERVAL.max(INTERVAL_PER_NODE * nodes as u32)
}

/// Maximum number of trials at once, about 25 KB. The loss of a zone may make a suspect of each request
/// that lost a second target to it.
const MAX_TRIALS: usize = 512;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permission {
    /// It may.
    Free,
    /// It may while no other copy of it runs.
    Alone,
    /// It may not, until its crashes have settled or its quarantine is decided on.
    Wait,
}

/// A custodian's answer to a node that asks for a trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// The attempt may be tried.
    Granted,
    /// Another one is tried, or the crashes have yet to settle.
    Denied,
    /// A run that began then was answered, after the last crash that the node knows.
    Passed(Instant),
}

impl<K: Copy + Eq + Hash> Evidence<K> {
    /// Returns whether a request may be sent.
    pub fn permission(&self, now: Instant, whole: Part) -> Permission {
        match self.suspected_since(whole) {
            None => Permission::Free,
            Some(crash) if now < crash + SETTLING_TIME => Permission::Wait,
            Some(_) if self.is_cause(now, whole) => Permission::Wait,
            Some(_) => Permission::Alone,
        }
    }

    /// Returns when the last target crashed under a request that is a suspect. A crash that came together
    /// with that of a target without the request has another cause, such as the loss of a zone.
    fn suspected_since(&self, whole: Part) -> Option<Instant> {
        let passed_at = self.passed_at(whole);
        let of_whole = || self.crashes.iter().filter(|crash| crash.whole == Some(whole));
        let own: HashSet<K> = of_whole().map(|crash| crash.target).collect();
        if own.len() < MIN_SUSPECT_TARGETS {
            return None;
        }
        let others: Vec<&Crash<K>> =
            self.crashes.iter().filter(|crash| !own.contains(&crash.target)).collect();
        let counts = |crash: &&Crash<K>| {
            passed_at.is_none_or(|at| crash.crashed_at >= at)
                && !others.iter().any(|other| is_near(crash, other))
        };
        let crashes: Vec<&Crash<K>> = of_whole().filter(counts).collect();
        let is_side_by_side = |one: &Crash<K>, other: &Crash<K>| {
            one.target != other.target
                && one.crashed_at.max(other.crashed_at)
                    < one.crashed_at.min(other.crashed_at) + COPIES_WINDOW
        };
        let is_suspect =
            crashes.iter().any(|one| crashes.iter().any(|other| is_side_by_side(one, other)));
        crashes.iter().map(|crash| crash.crashed_at).max().filter(|_| is_suspect)
    }

    /// Records that one target ran a request from its first byte to its last, from `began_at` on; returns
    /// whether that ends a suspicion. It cancels no crash, as the attempt may have lost another target
    /// before.
    pub fn record_passed(&mut self, whole: Part, began_at: Instant) -> bool {
        let was_suspect = self.suspected_since(whole).is_some();
        if was_suspect {
            let passed_at = self.passed.entry(whole).or_insert(began_at);
            *passed_at = began_at.max(*passed_at);
        }
        was_suspect && self.suspected_since(whole).is_none()
    }

    /// Returns when the latest run of a request began that was answered as a whole.
    fn passed_at(&self, whole: Part) -> Option<Instant> {
        let answers = self.answers.iter().filter(|answer| answer.whole == whole);
        answers.map(|answer| answer.began_at).chain(self.passed.get(&whole).copied()).max()
    }

    /// Returns when a target last crashed under a request.
    pub fn last_crash(&self, whole: Part) -> Option<Instant> {
        let crashes = self.crashes.iter().filter(|crash| crash.whole == Some(whole));
        crashes.map(|crash| crash.crashed_at).max()
    }

    /// Answers a node that asks to try an attempt and knows of a crash at `last_crash`.
    pub fn respond_to(
        &self,
        now: Instant,
        trials: &mut Trials,
        attempt: Attempt,
        last_crash: Instant,
    ) -> Response {
        if let Some(began_at) = self.passed_at(attempt.whole).filter(|at| *at > last_crash) {
            return Response::Passed(began_at);
        }
        match self.permission(now, attempt.whole) {
            Permission::Wait => Response::Denied,
            // This node may have missed the crashes.
            Permission::Free | Permission::Alone if trials.grant(now, attempt) => Response::Granted,
            Permission::Free | Permission::Alone => Response::Denied,
        }
    }
}

/// An attempt for which a trial is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The whole request.
    pub whole: Part,
    /// Identifies the attempt.
    pub id: u64,
    /// Whether it goes on with a stream, so that its target runs only the rest. That shows little.
    pub is_resumed: bool,
}

/// The trials of a request.
#[derive(Clone, Copy, Debug, Default)]
struct Trial {
    /// The attempt that is tried, and when it was last renewed.
    running: Option<(u64, Instant)>,
    /// When a trial of the request from its beginning was last denied.
    denied_at: Option<Instant>,
}

impl Trial {
    fn is_running(&self, now: Instant) -> bool {
        self.running.is_some_and(|(_, at)| now.saturating_duration_since(at) < LEASE)
    }
}

/// The trials that run, by their whole requests, as the node knows that grants them.
#[derive(Clone, Debug, Default)]
pub struct Trials(HashMap<Part, Trial>);

impl Trials {
    /// Begins the trial of an attempt, or renews it; returns false while another attempt is tried, or one
    /// that shows more waits.
    pub fn grant(&mut self, now: Instant, attempt: Attempt) -> bool {
        if self.0.len() >= MAX_TRIALS {
            self.0.retain(|_, trial| trial.is_running(now));
        }
        if self.0.len() >= MAX_TRIALS && !self.0.contains_key(&attempt.whole) {
            return false;
        }
        let trial = self.0.entry(attempt.whole).or_default();
        let is_renewal = trial.running.is_some_and(|(id, _)| id == attempt.id);
        let is_recent = |at: Instant| now.saturating_duration_since(at) < LEASE;
        let is_behind = attempt.is_resumed && trial.denied_at.is_some_and(is_recent);
        if !is_renewal && (trial.is_running(now) || is_behind) {
            if !attempt.is_resumed {
                trial.denied_at = Some(now);
            }
            return false;
        }
        trial.running = Some((attempt.id, now));
        true
    }

    /// Ends the trial of an attempt.
    pub fn end(&mut self, whole: Part, id: u64) {
        if let Some(trial) = self.0.get_mut(&whole)
            && trial.running.is_some_and(|(running, _)| running == id)
        {
            trial.running = None;
        }
    }
}
