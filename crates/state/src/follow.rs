//! Following keys of the service: one list call, then watches from its revision on.
//!
//! [`Follower`] decides the next call and keeps the entries; [`run`] makes the calls.

use crate::retry::Backoff;
use hickory_store::store::{Batch, Entry, Error, Revision, Store};
use hickory_unit::clock::Clock;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Minimum and maximum retry delay after a failed call. The maximum bounds how late a
/// node notices that the service is back.
const FAILURE_DELAYS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(700));

/// Jitter before the next watch after a change, for each node of the fleet. It limits the
/// read load of a key that changes all the time, so that other reads get through.
const JITTER_PER_NODE: Duration = Duration::from_micros(2_200);

/// Interval between two list calls. A change that a watch has silently missed is found by
/// the next list.
const LIST_INTERVAL: Duration = Duration::from_secs(300);

/// Which keys are followed, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The prefix of the followed keys.
    pub prefix: String,
    /// How long one watch call may wait for changes. It is bounded because a watch on a
    /// connection that went silent would otherwise never end, and because the end of a
    /// watch confirms the entries.
    pub watch_timeout: Duration,
    /// After a change the next watch is sent at a random time within this duration.
    ///
    /// A change ends the watches of all nodes at once. The jitter spreads their next
    /// calls, and one call then returns several changes.
    pub jitter: Duration,
}

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read all keys with the prefix.
    List,
    /// Wait for changes.
    Watch {
        /// Only changes after this revision.
        after: Revision,
        /// How long to wait for a change.
        wait: Duration,
    },
}

/// The reply to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The reply to [`Call::List`].
    Listed(Result<(Vec<Entry>, Revision), Error>),
    /// The reply to [`Call::Watch`].
    Watched(Result<Batch, Error>),
}

/// The effect of a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Whether the entries changed.
    pub is_changed: bool,
    /// Whether the service confirmed that the entries are up to date.
    pub is_confirmed: bool,
    /// How long to wait before the next call.
    pub delay: Duration,
}

/// A local copy of the keys with a prefix, kept up to date by list and watch calls.
#[derive(Clone, Debug)]
pub struct Follower {
    options: Options,
    entries: BTreeMap<String, Entry>,
    revision: Revision,
    listed_at: Option<Instant>,
    /// Whether a list wasn't a snapshot, and no watch has brought the changes between its pages yet.
    is_partial: bool,
    backoff: Backoff,
}

impl Follower {
    /// Creates a follower without any entries.
    pub fn new(options: Options, seed: u64) -> Self {
        let backoff = Backoff::new(FAILURE_DELAYS.0, FAILURE_DELAYS.1, seed);
        Self {
            options,
            entries: BTreeMap::new(),
            revision: Revision(0),
            listed_at: None,
            is_partial: false,
            backoff,
        }
    }

    /// Returns the entries as last read.
    pub fn entries(&self) -> &BTreeMap<String, Entry> {
        &self.entries
    }

    /// Returns the revision of the service that the entries reflect.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Sets the number of nodes; the jitter after a change grows with it.
    pub fn set_fleet_size(&mut self, nodes: usize) {
        self.options.jitter = self.options.jitter.max(JITTER_PER_NODE * nodes as u32);
    }

    /// Sets the jitter that applies from the next change on.
    pub fn set_jitter(&mut self, jitter: Duration) {
        self.options.jitter = jitter;
    }

    /// Returns the next call.
    pub fn next_call(&self, now: Instant) -> Call {
        match self.listed_at {
            Some(at) if now < at + LIST_INTERVAL => {
                Call::Watch { after: self.revision, wait: self.options.watch_timeout }
            }
            _ => Call::List,
        }
    }

    /// Processes the reply to a call.
    pub fn on_reply(&mut self, now: Instant, reply: Reply) -> Step {
        match reply {
            Reply::Listed(Ok((entries, revision))) if revision >= self.revision => {
                self.backoff.reset();
                self.listed_at = Some(now);
                self.revision = revision;
                let entries = entries.into_iter().map(|entry| (entry.key.clone(), entry));
                let before = std::mem::replace(&mut self.entries, entries.collect());
                // An entry may be newer than one that an earlier page missed. A node that passes its
                // entries on in order of revision would never pass on that one.
                let is_snapshot = self.entries.values().all(|entry| entry.revision <= revision);
                if !is_snapshot {
                    self.is_partial = true;
                    return Step { is_changed: false, is_confirmed: true, delay: Duration::ZERO };
                }
                let was_partial = std::mem::take(&mut self.is_partial);
                let is_changed = before != self.entries || was_partial;
                self.step(is_changed)
            }
            Reply::Watched(Ok(batch)) if batch.compacted => {
                self.listed_at = None;
                Step { is_changed: false, is_confirmed: false, delay: Duration::ZERO }
            }
            // The service was restored from a copy: what changed before the watch was sent is not
            // among the changes.
            Reply::Watched(Ok(batch)) if batch.revision.era() > self.revision.era() => {
                self.listed_at = None;
                Step { is_changed: false, is_confirmed: false, delay: Duration::ZERO }
            }
            Reply::Watched(Ok(batch)) if batch.revision >= self.revision => {
                self.backoff.reset();
                self.revision = batch.revision;
                let changes = batch.events.into_iter().map(|event| self.apply_event(event));
                let is_changed = changes.fold(false, |any, one| any | one);
                let was_partial = std::mem::take(&mut self.is_partial);
                self.step(is_changed || was_partial)
            }
            // A reply that is older than what was read before comes from a lagging
            // replica: it neither changes nor confirms the entries.
            _ => Step { is_changed: false, is_confirmed: false, delay: self.backoff.next_delay() },
        }
    }

    fn step(&mut self, is_changed: bool) -> Step {
        let jitter = if is_changed { self.options.jitter } else { Duration::ZERO };
        Step { is_changed, is_confirmed: true, delay: self.backoff.jitter(jitter) }
    }

    fn apply_event(&mut self, event: hickory_store::store::Event) -> bool {
        let known = self.entries.get(&event.key).map_or(Revision(0), |entry| entry.revision);
        if event.revision <= known {
            return false;
        }
        match event.value {
            Some(value) => {
                let entry = Entry { key: event.key.clone(), value, revision: event.revision };
                self.entries.insert(event.key, entry);
                true
            }
            None => self.entries.remove(&event.key).is_some(),
        }
    }
}

/// Makes the follower's calls until `on_step` returns `false`. `on_step` gets each step
/// and the time at which its call was sent: what the reply says was true at that time or
/// later.
pub async fn run<S: Store, C: Clock>(
    store: S,
    clock: C,
    mut follower: Follower,
    mut on_step: impl FnMut(&mut Follower, Step, Instant) -> bool,
) {
    loop {
        let sent = clock.now();
        let reply = match follower.next_call(sent) {
            Call::List => Reply::Listed(store.list(&follower.options.prefix).await),
            Call::Watch { after, wait } => {
                Reply::Watched(store.watch(&follower.options.prefix, after, wait).await)
            }
        };
        let step = follower.on_reply(clock.now(), reply);
        if !on_step(&mut follower, step, sent) {
            return;
        }
        tokio::time::sleep(step.delay).await;
    }
}
