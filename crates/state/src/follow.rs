//! Following keys of the service: list once, then watch.
//!
//! [`Follower`] decides the next call and keeps the view; [`run`] makes the
//! calls.

use crate::retry::Backoff;
use hickory_store::store::{Batch, Entry, Error, Revision, Store};
use hickory_unit::clock::Clock;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Pauses after failures, from the first to the longest. The longest is what a
/// restarted node may miss of the service's return.
const FAILURE_DELAYS: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(700));

/// How far watches are spread after a change, for each node of the fleet: a key that
/// changes all the time leaves room for other reads.
const JITTER_PER_NODE: Duration = Duration::from_micros(2_200);

/// Between two lists, though the watch reports nothing amiss: whatever a
/// watch has missed is found by then.
const LIST_INTERVAL: Duration = Duration::from_secs(300);

/// What is followed, and how.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Options {
    /// The prefix of the keys.
    pub prefix: String,
    /// How long a watch may wait. Bounded, since one whose connection went
    /// silent would otherwise never end, and since its end confirms the view.
    pub watch_timeout: Duration,
    /// Watches go out again at random within this time after a change.
    ///
    /// Load pattern: all nodes' watches end at one change. They come back spread, and
    /// take the next changes together.
    pub jitter: Duration,
}

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read all keys.
    List,
    /// Wait for changes.
    Watch {
        /// Changes after this revision.
        after: Revision,
        /// How long to wait.
        wait: Duration,
    },
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// To [`Call::List`].
    Listed(Result<(Vec<Entry>, Revision), Error>),
    /// To [`Call::Watch`].
    Watched(Result<Batch, Error>),
}

/// What an answer brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Whether the view changed.
    pub is_changed: bool,
    /// Whether the service confirmed the view.
    pub is_confirmed: bool,
    /// How long to wait before the next call.
    pub delay: Duration,
}

/// The view of the keys with a prefix.
#[derive(Clone, Debug)]
pub struct Follower {
    options: Options,
    entries: BTreeMap<String, Entry>,
    revision: Revision,
    listed_at: Option<Instant>,
    backoff: Backoff,
}

impl Follower {
    /// A view of nothing.
    pub fn new(options: Options, seed: u64) -> Self {
        let backoff = Backoff::new(FAILURE_DELAYS.0, FAILURE_DELAYS.1, seed);
        Self { options, entries: BTreeMap::new(), revision: Revision(0), listed_at: None, backoff }
    }

    /// The keys as last seen.
    pub fn entries(&self) -> &BTreeMap<String, Entry> {
        &self.entries
    }

    /// The revision of the service that the view is of.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Takes the size of the fleet: the larger, the wider its watches are
    /// spread after a change.
    pub fn set_fleet_size(&mut self, nodes: usize) {
        self.options.jitter = self.options.jitter.max(JITTER_PER_NODE * nodes as u32);
    }

    /// Changes how far watches are spread after a change, from the next one on.
    pub fn set_jitter(&mut self, jitter: Duration) {
        self.options.jitter = jitter;
    }

    /// The next call.
    pub fn next_call(&self, now: Instant) -> Call {
        match self.listed_at {
            Some(at) if now < at + LIST_INTERVAL => {
                Call::Watch { after: self.revision, wait: self.options.watch_timeout }
            }
            _ => Call::List,
        }
    }

    /// Takes the answer to a call.
    pub fn on_reply(&mut self, now: Instant, reply: Reply) -> Step {
        match reply {
            Reply::Listed(Ok((entries, revision))) if revision >= self.revision => {
                self.backoff.reset();
                self.listed_at = Some(now);
                self.revision = revision;
                let entries = entries.into_iter().map(|entry| (entry.key.clone(), entry));
                let before = std::mem::replace(&mut self.entries, entries.collect());
                let is_changed = before != self.entries;
                self.step(is_changed)
            }
            Reply::Watched(Ok(batch)) if batch.compacted => {
                self.listed_at = None;
                Step { is_changed: false, is_confirmed: false, delay: Duration::ZERO }
            }
            Reply::Watched(Ok(batch)) if batch.revision >= self.revision => {
                self.backoff.reset();
                self.revision = batch.revision;
                let changes = batch.events.into_iter().map(|event| self.apply_event(event));
                let is_changed = changes.fold(false, |any, one| any | one);
                self.step(is_changed)
            }
            // An answer from before what was seen already comes from a replica
            // that lags: it neither changes nor confirms anything.
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

/// Follows until `on_step` says to stop. It is told of each step, with the time
/// at which the call was sent: what the answer says held then or later.
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
