//! All targets that this node owns, and what peers ask of them.
//!
//! They lie in shards, each under its own lock; no lock is held across an
//! await.

use crate::core::Core;
use crate::owned::{Begun, QUEUED, TAKEN, Target, refuse, refuse_not_owner};
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

/// Shards of the table; a node owns few targets, so few shards do.
const SHARDS: usize = 8;

/// All targets that a node owns.
#[derive(Debug, Default)]
pub(crate) struct Table {
    /// Counts the changes of what is told to peers.
    version: AtomicU64,
    shards: [Mutex<HashMap<id::Target, Target>>; SHARDS],
    /// Told when an ask begins to wait.
    pub(crate) queued: Notify,
}

impl Table {
    /// Begins to own a target under an epoch; one owned under the same epoch
    /// stays as it is.
    pub(crate) fn open(&self, target: &id::Target, epoch: id::Epoch) {
        let mut shard = self.shard(target);
        if shard.get(target).is_some_and(|owned| owned.epoch == epoch) {
            return;
        }
        shard.insert(target.clone(), Target::open(target.clone(), epoch));
    }

    /// Lets go of targets that are not owned any more; who waits for one is
    /// told to look its owner up again.
    pub(crate) fn retain(&self, mut keep: impl FnMut(&id::Target, id::Epoch) -> bool) {
        for shard in &self.shards {
            let mut shard = lock(shard);
            shard.retain(|target, owned| keep(target, owned.epoch));
        }
    }

    /// Runs `f` on a owned.
    pub(crate) fn with<T>(
        &self,
        target: &id::Target,
        f: impl FnOnce(&mut Target) -> T,
    ) -> Option<T> {
        self.shard(target).get_mut(target).map(f)
    }

    /// Grants what fits now on all targets; the number of asks that wait on.
    pub(crate) fn poll(&self, now: Instant, life: Duration) -> usize {
        let mut waiting = 0;
        for shard in &self.shards {
            for owned in lock(shard).values_mut() {
                owned.poll(now, life);
                waiting += owned.waiting();
            }
        }
        waiting
    }

    /// What peers would be told of all targets now.
    pub(crate) fn states(&self) -> Vec<TargetState> {
        let shards = self.shards.iter();
        shards
            .flat_map(|shard| lock(shard).values().map(Target::state).collect::<Vec<_>>())
            .collect()
    }

    /// What a peer is told that has version `since`: what has changed after
    /// it, and the version that the peer then has.
    ///
    /// Telling all of it every time made two thirds of a node's control bytes,
    /// of which next to nothing was news on an idle fleet.
    pub(crate) fn states_since(&self, since: u64) -> (u64, Vec<TargetState>) {
        let mut changed = Vec::new();
        for shard in &self.shards {
            for owned in lock(shard).values_mut() {
                let told = owned.tell(|| self.version.fetch_add(1, Ordering::AcqRel) + 1);
                changed.extend(told.filter(|(version, _)| *version > since));
            }
        }
        // A version past what is told here may belong to a change that a
        // concurrent call found in a shard passed over already.
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

/// Takes an ask out of the queue when its asker stops waiting.
struct Withdraw<'a> {
    core: &'a Core,
    target: &'a id::Target,
    stream: Option<&'a id::Stream>,
}

impl Drop for Withdraw<'_> {
    fn drop(&mut self) {
        if let Some(stream) = self.stream {
            self.core.table.with(self.target, |owned| owned.withdraw(stream));
        }
    }
}

/// Answers an ask for a permit as owner: at once, or when its turn comes, or
/// with [`QUEUED`] after half a permit's life.
pub(crate) async fn permit(core: &Core, ask: &PermitRequest) -> Result<Permit, Refusal> {
    let answer = decide_permit(core, ask).await;
    core.metrics.permit(match &answer {
        Ok(_) => label::Permit::Granted,
        Err(refusal) if refusal.reason == QUEUED => label::Permit::Queued,
        Err(_) => label::Permit::Refused,
    });
    answer
}

async fn decide_permit(core: &Core, ask: &PermitRequest) -> Result<Permit, Refusal> {
    let life = core.permit_life();
    let now = core.now();
    let begun = core.table.with(&ask.target, |owned| owned.ask(now, life, ask));
    let wait = match begun.ok_or_else(refuse_not_owner)? {
        Begun::Answered(answer) => return answer,
        Begun::Queued(wait) => wait,
    };
    core.table.queued.notify_one();
    let mut guard = Withdraw { core, target: &ask.target, stream: Some(&ask.stream) };
    let answer = tokio::time::timeout(life / 2, wait).await;
    guard.stream = None;
    match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(_)) => Err(refuse_not_owner()),
        Err(_) => Err(refuse(QUEUED, Duration::ZERO)),
    }
}

/// Takes a stream over for the asking node.
pub(crate) fn adopt(core: &Core, adopt: &Adoption) -> Result<Permit, Refusal> {
    let life = core.permit_life();
    let left = adopt.stream.deadline_ms.saturating_sub(core.clock.wall_ms());
    let until = core.now() + Duration::from_millis(left);
    let taken = core.table.with(&adopt.target, |owned| match owned.incarnation {
        Some(_) if adopt.is_renewal && owned.is_taken(adopt) => Err(refuse(TAKEN, Duration::ZERO)),
        Some(_) => Ok(owned.adopt(adopt, until, life)),
        // A new owner does not know yet what the target holds.
        None => Err(refuse_not_owner()),
    });
    let taken = taken.ok_or_else(refuse_not_owner)??;
    taken.ok_or_else(|| refuse(Reason::StreamLost, Duration::ZERO))
}

/// Takes in how a permitted attempt ended.
pub(crate) fn end(core: &Core, outcome: &Outcome) {
    let (now, life) = (core.now(), core.permit_life());
    core.table.with(&outcome.target, |owned| {
        owned.end(now, outcome);
        owned.poll(now, life);
    });
}
