//! The table of targets that this node owns, and the requests of peers about them.
//!
//! The targets are sharded, with one lock for each shard; no lock is held across an await.

use crate::core::Core;
use crate::owned::{AskResult, QUEUED_REASON, TAKEN_REASON, Target, refuse, refuse_not_owner};
use crate::parse::hash_parts;
use hickory_policy::refuse::Reason;
use hickory_telemetry::label;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use hickory_wire::message::{Adoption, Outcome, Permit, PermitRequest, Refusal, TargetState};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// Number of shards; a node owns few targets, so few shards suffice.
const SHARDS: usize = 8;

/// The targets that a node owns.
#[derive(Debug)]
pub(crate) struct Table {
    /// Version before the first change. It is random, so that peers that acknowledge a version of an
    /// earlier process acknowledge none of this one.
    base_version: u64,
    /// Version of the published states, incremented by each change.
    version: AtomicU64,
    shards: [Mutex<HashMap<id::Target, Target>>; SHARDS],
    /// Notified when an ask is queued.
    pub(crate) ask_queued: Notify,
}

impl Default for Table {
    fn default() -> Self {
        // Half of the range is left for changes.
        let base_version = rand::random::<u64>() >> 1;
        Self {
            base_version,
            version: AtomicU64::new(base_version),
            shards: Default::default(),
            ask_queued: Notify::default(),
        }
    }
}

impl Table {
    /// Returns the version that a peer has acknowledged; 0 if it is one of an earlier process, whose
    /// states the peer has dropped.
    pub(crate) fn acknowledged_version(&self, stated: u64) -> u64 {
        let current = self.version.load(Ordering::Acquire);
        if (self.base_version..=current).contains(&stated) { stated } else { 0 }
    }

    /// Adds a target under an epoch; a target that is owned under the same epoch is kept
    /// unchanged.
    pub(crate) fn open(&self, target: &id::Target, epoch: id::Epoch) {
        let mut shard = self.shard(target);
        if shard.get(target).is_some_and(|owned| owned.epoch == epoch) {
            return;
        }
        shard.insert(target.clone(), Target::open(target.clone(), epoch));
    }

    /// Removes targets that are no longer owned. Asks queued for them are answered that this
    /// node isn't the owner.
    pub(crate) fn retain(&self, mut keep: impl FnMut(&id::Target, id::Epoch) -> bool) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.retain(|target, owned| keep(target, owned.epoch));
        }
    }

    /// Runs `f` on an owned target.
    pub(crate) fn with<T>(
        &self,
        target: &id::Target,
        f: impl FnOnce(&mut Target) -> T,
    ) -> Option<T> {
        self.shard(target).get_mut(target).map(f)
    }

    /// Grants the queued asks that fit now on all targets; returns the number of asks that
    /// remain queued.
    pub(crate) fn poll(&self, now: Instant, permit_lifetime: Duration) -> usize {
        let mut waiting = 0;
        for shard in &self.shards {
            for owned in lock(shard).values_mut() {
                owned.poll(now, permit_lifetime);
                waiting += owned.waiting();
            }
        }
        waiting
    }

    /// Returns the current states of all targets.
    pub(crate) fn states(&self) -> Vec<TargetState> {
        let shards = self.shards.iter();
        shards
            .flat_map(|shard| lock(shard).values().map(Target::state).collect::<Vec<_>>())
            .collect()
    }

    /// Returns the states that changed after version `since`, and the version that a peer has
    /// after applying them.
    ///
    /// Only changes are sent: on an idle fleet almost no state changes, and sending all states in
    /// every exchange made up two thirds of a node's control traffic.
    pub(crate) fn states_since(&self, since: u64) -> (u64, Vec<TargetState>) {
        let mut changed = Vec::new();
        for shard in &self.shards {
            for owned in lock(shard).values_mut() {
                let published = owned.publish(|| self.version.fetch_add(1, Ordering::AcqRel) + 1);
                changed.extend(published.filter(|(version, _)| *version > since));
            }
        }
        // A version beyond the states returned here may belong to a change that a concurrent
        // call found in a shard that was already visited.
        let version = changed.iter().map(|(version, _)| *version).max().unwrap_or(since);
        (version, changed.into_iter().map(|(_, state)| state).collect())
    }

    fn shard(&self, target: &id::Target) -> MutexGuard<'_, HashMap<id::Target, Target>> {
        let index = hash_parts(&[target.as_str().as_bytes()]) as usize % SHARDS;
        lock(&self.shards[index])
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Removes an ask from the queue when its asker stops waiting.
struct WithdrawOnDrop<'a> {
    core: &'a Core,
    target: &'a id::Target,
    stream: Option<&'a id::Stream>,
}

impl Drop for WithdrawOnDrop<'_> {
    fn drop(&mut self) {
        if let Some(stream) = self.stream {
            self.core.table.with(self.target, |owned| owned.withdraw(stream));
        }
    }
}

/// Answers an ask for a permit as the target's owner: immediately, when its turn comes, or with
/// [`QUEUED_REASON`] after half a permit's lifetime.
pub(crate) async fn permit(core: &Core, ask: &PermitRequest) -> Result<Permit, Refusal> {
    let answer = decide_permit(core, ask).await;
    core.metrics.count_permit(match &answer {
        Ok(_) => label::Permit::Granted,
        Err(refusal) if refusal.reason == QUEUED_REASON => label::Permit::Queued,
        Err(_) => label::Permit::Refused,
    });
    answer
}

async fn decide_permit(core: &Core, ask: &PermitRequest) -> Result<Permit, Refusal> {
    let permit_lifetime = core.permit_lifetime();
    let now = core.now();
    let result = core.table.with(&ask.target, |owned| owned.ask(now, permit_lifetime, ask));
    let wait = match result.ok_or_else(refuse_not_owner)? {
        AskResult::Answered(answer) => return answer,
        AskResult::Queued(wait) => wait,
    };
    core.table.ask_queued.notify_one();
    let mut guard = WithdrawOnDrop { core, target: &ask.target, stream: Some(&ask.stream) };
    let answer = tokio::time::timeout(permit_lifetime / 2, wait).await;
    guard.stream = None;
    match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err(refuse_not_owner()),
        Err(_) => Err(refuse(QUEUED_REASON, Duration::ZERO)),
    }
}

/// Transfers a stream to the asking node.
pub(crate) fn adopt(core: &Core, adopt: &Adoption) -> Result<Permit, Refusal> {
    let permit_lifetime = core.permit_lifetime();
    let left = adopt.stream.deadline_ms.saturating_sub(core.clock.wall_ms());
    let until = core.now() + Duration::from_millis(left);
    let adopted = core.table.with(&adopt.target, |owned| match owned.incarnation {
        Some(_) if adopt.is_renewal && owned.is_served_elsewhere(adopt) => {
            Err(refuse(TAKEN_REASON, Duration::ZERO))
        }
        Some(_) => Ok(owned.adopt(adopt, until, permit_lifetime)),
        // A new owner doesn't know yet which streams the target holds.
        None => Err(refuse_not_owner()),
    });
    let adopted = adopted.ok_or_else(refuse_not_owner)??;
    adopted.ok_or_else(|| refuse(Reason::StreamLost, Duration::ZERO))
}

/// Applies the outcome of a permitted attempt.
pub(crate) fn apply_outcome(core: &Core, outcome: &Outcome) {
    let (now, permit_lifetime) = (core.now(), core.permit_lifetime());
    core.table.with(&outcome.target, |owned| {
        owned.apply_outcome(now, outcome);
        owned.poll(now, permit_lifetime);
    });
}
