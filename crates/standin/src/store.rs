//! The key-value service: its core, and its server.

use crate::fault::Switch;
use crate::server::{self, Reply};
use hickory_platform::http::{Grant, Listing};
use hickory_platform::store::{
    Batch, Entry, Error, Event, Expect, Lease, Revision, VALUE_MAX, Write,
};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

pub use crate::memory::Memory;

/// Changes kept for watches; older ones make a watch answer `compacted`.
const HISTORY_MAX: usize = 10_000;

/// The state of the key-value service, without input or output.
#[derive(Debug, Default)]
pub struct Core {
    entries: Entries,
    leases: BTreeMap<u64, Held>,
    history: VecDeque<Event>,
    revision: u64,
    compacted: u64,
    next_lease: u64,
}

#[derive(Debug)]
struct Held {
    ttl: Duration,
    lapses: Instant,
}

impl Core {
    /// Reads a key.
    pub fn get(&mut self, now: Instant, key: &str) -> Option<Entry> {
        self.expire(now);
        self.entries.get(key).map(|(entry, _)| entry.clone())
    }

    /// Reads all keys that begin with `prefix`.
    pub fn list(&mut self, now: Instant, prefix: &str) -> (Vec<Entry>, Revision) {
        self.expire(now);
        (list_entries(&self.entries, prefix), self.revision())
    }

    /// The entries as they are now.
    pub fn snapshot(&mut self, now: Instant) -> Snapshot {
        self.expire(now);
        Snapshot { entries: self.entries.clone(), revision: self.revision() }
    }

    /// Writes or removes a key.
    pub fn write(&mut self, now: Instant, write: Write) -> Result<Revision, Error> {
        self.expire(now);
        if write.value.as_ref().is_some_and(|value| value.len() as u64 > VALUE_MAX.0) {
            return Err(Error::NotDone("value too large".into()));
        }
        if write.lease.is_some_and(|lease| !self.leases.contains_key(&lease.0)) {
            return Err(Error::LeaseLapsed);
        }
        let present = self.entries.get(&write.key).map(|(entry, _)| entry);
        let holds = match write.expect {
            Expect::Any => true,
            Expect::Absent => present.is_none(),
            Expect::At(revision) => present.is_some_and(|entry| entry.revision == revision),
        };
        if !holds {
            return Err(Error::Conflict(present.cloned()));
        }
        if write.value.is_none() && present.is_none() {
            return Ok(self.revision());
        }
        Ok(self.apply(write.key, write.value, write.lease))
    }

    /// The changes after `after`; `None` where there are none yet.
    pub fn changes(&mut self, now: Instant, prefix: &str, after: Revision) -> Option<Batch> {
        self.expire(now);
        let revision = self.revision();
        if after.0 < self.compacted {
            return Some(Batch { events: Vec::new(), revision, compacted: true });
        }
        let newer = self.history.iter().rev().take_while(|event| event.revision > after);
        let found = newer.filter(|event| event.key.starts_with(prefix));
        let mut events: Vec<Event> = found.cloned().collect();
        events.reverse();
        (!events.is_empty()).then_some(Batch { events, revision, compacted: false })
    }

    /// Opens a lease.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> Lease {
        self.expire(now);
        self.next_lease += 1;
        self.leases.insert(self.next_lease, Held { ttl, lapses: now + ttl });
        Lease(self.next_lease)
    }

    /// Renews a lease for its full time.
    pub fn renew(&mut self, now: Instant, lease: Lease) -> Result<(), Error> {
        self.expire(now);
        let held = self.leases.get_mut(&lease.0).ok_or(Error::LeaseLapsed)?;
        held.lapses = now + held.ttl;
        Ok(())
    }

    /// Ends a lease and removes its keys.
    pub fn revoke(&mut self, now: Instant, lease: Lease) -> Result<(), Error> {
        self.expire(now);
        self.leases.remove(&lease.0).ok_or(Error::LeaseLapsed)?;
        self.remove_bound(lease);
        Ok(())
    }

    /// Forgets all changes so far: a watch from before must list anew.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted = self.revision;
    }

    /// The revision of the last write.
    pub fn revision(&self) -> Revision {
        Revision(self.revision)
    }

    /// When the next lease lapses.
    pub fn next_lapse(&self) -> Option<Instant> {
        self.leases.values().map(|held| held.lapses).min()
    }

    /// Removes what lapsed leases held.
    pub fn expire(&mut self, now: Instant) {
        let lapsed: Vec<u64> =
            self.leases.iter().filter(|(_, held)| held.lapses <= now).map(|(id, _)| *id).collect();
        for lease in lapsed {
            self.leases.remove(&lease);
            self.remove_bound(Lease(lease));
        }
    }

    fn remove_bound(&mut self, lease: Lease) {
        let bound = self.entries.iter().filter(|(_, (_, held))| *held == Some(lease));
        let keys: Vec<String> = bound.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.apply(key, None, None);
        }
    }

    fn apply(&mut self, key: String, value: Option<String>, lease: Option<Lease>) -> Revision {
        self.revision += 1;
        let revision = self.revision();
        match &value {
            Some(value) => {
                let entry = Entry { key: key.clone(), value: value.clone(), revision };
                self.entries.insert(key.clone(), (entry, lease));
            }
            None => {
                self.entries.remove(&key);
            }
        }
        self.history.push_back(Event { key, value, revision });
        if self.history.len() > HISTORY_MAX
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted = oldest.revision.0;
        }
        revision
    }
}

type Entries = BTreeMap<String, (Entry, Option<Lease>)>;

fn list_entries(entries: &Entries, prefix: &str) -> Vec<Entry> {
    let from = entries.range(prefix.to_owned()..);
    let found = from.take_while(|(key, _)| key.starts_with(prefix));
    found.map(|(_, (entry, _))| entry.clone()).collect()
}

/// The entries at one moment.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    entries: Entries,
    revision: Revision,
}

impl Snapshot {
    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|(entry, _)| entry.clone())
    }

    /// Reads all keys that begin with `prefix`.
    pub fn list(&self, prefix: &str) -> (Vec<Entry>, Revision) {
        (list_entries(&self.entries, prefix), self.revision)
    }
}

/// Calls that a key-value service has had; a waiting watch counts as one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Counts {
    /// Gets and lists.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Grants, renewals and revocations of leases.
    pub leases: u64,
}

/// A core that tasks share, with a wake-up for watches.
#[derive(Clone, Debug)]
pub struct Shared {
    core: Arc<Mutex<Core>>,
    written: watch::Sender<u64>,
    stale: Arc<Mutex<Option<Snapshot>>>,
    counts: Arc<Mutex<Counts>>,
}

impl Default for Shared {
    fn default() -> Self {
        let written = watch::Sender::new(0);
        Self { core: Arc::default(), written, stale: Arc::default(), counts: Arc::default() }
    }
}

impl Shared {
    /// Calls `act` on the core at the present time.
    pub fn with<T>(&self, act: impl FnOnce(&mut Core, Instant) -> T) -> T {
        let mut core = lock(&self.core);
        let result = act(&mut core, Instant::now());
        let revision = core.revision().0;
        self.written.send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
        result
    }

    /// Makes reads show the state of now until switched off; writes and
    /// watches go on.
    pub fn set_stale(&self, stale: bool) {
        let snapshot = stale.then(|| self.with(Core::snapshot));
        *lock(&self.stale) = snapshot;
    }

    /// The calls so far.
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    fn count(&self, add: impl FnOnce(&mut Counts)) {
        add(&mut lock(&self.counts));
    }

    /// Reads a key.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.count(|counts| counts.reads += 1);
        if let Some(snapshot) = &*lock(&self.stale) {
            return snapshot.get(key);
        }
        self.with(|core, now| core.get(now, key))
    }

    /// Reads all keys that begin with `prefix`.
    pub fn list(&self, prefix: &str) -> (Vec<Entry>, Revision) {
        self.count(|counts| counts.reads += 1);
        if let Some(snapshot) = &*lock(&self.stale) {
            return snapshot.list(prefix);
        }
        self.with(|core, now| core.list(now, prefix))
    }

    /// Writes or removes a key.
    pub fn write(&self, write: Write) -> Result<Revision, Error> {
        self.count(|counts| counts.writes += 1);
        self.with(|core, now| core.write(now, write))
    }

    /// Opens a lease.
    pub fn grant(&self, ttl: Duration) -> Lease {
        self.count(|counts| counts.leases += 1);
        self.with(|core, now| core.grant(now, ttl))
    }

    /// Renews a lease for its full time.
    pub fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.count(|counts| counts.leases += 1);
        self.with(|core, now| core.renew(now, lease))
    }

    /// Ends a lease and removes its keys.
    pub fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.count(|counts| counts.leases += 1);
        self.with(|core, now| core.revoke(now, lease))
    }

    /// Waits at most `wait` for changes after `after`.
    pub async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Batch {
        self.count(|counts| counts.watches += 1);
        let mut written = self.written.subscribe();
        let until = tokio::time::Instant::now() + wait;
        loop {
            written.mark_unchanged();
            if let Some(batch) = self.with(|core, now| core.changes(now, prefix, after)) {
                return batch;
            }
            let lapse = self.with(|core, _| core.next_lapse());
            let wake = lapse.map_or(until, |at| until.min(at.into()));
            tokio::select! {
                _ = written.changed() => {}
                () = tokio::time::sleep_until(wake) => {
                    if tokio::time::Instant::now() >= until {
                        let revision = self.with(|core, _| core.revision());
                        return Batch { events: Vec::new(), revision, compacted: false };
                    }
                }
            }
        }
    }
}

/// A running key-value service.
pub type Handle = server::Handle<Shared>;

/// Serves an empty key-value service.
pub fn spawn(listen: SocketAddr) -> std::io::Result<Handle> {
    server::spawn(listen, Shared::default())
}

impl server::Service for Shared {
    async fn call(&self, call: server::Call) -> Reply {
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/kv/get") => Reply::json(&self.get(&call.query("key"))),
            ("GET", "/kv/list") => {
                let (entries, revision) = self.list(&call.query("prefix"));
                Reply::json(&Listing { entries, revision })
            }
            ("POST", "/kv/write") => call.answer(|write| answer(self.write(write))),
            ("GET", "/kv/watch") => {
                let after = Revision(call.query("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(call.query("wait_ms").parse().unwrap_or(0));
                Reply::json(&self.watch(&call.query("prefix"), after, wait).await)
            }
            ("POST", "/lease/grant") => call.answer(|grant: Grant| {
                Reply::json(&self.grant(Duration::from_millis(grant.ttl_ms)))
            }),
            ("POST", "/lease/renew") => call.answer(|lease| answer(self.renew(lease))),
            ("POST", "/lease/revoke") => call.answer(|lease| answer(self.revoke(lease))),
            ("GET", "/counts") => Reply::json(&self.counts()),
            _ => Reply::status(405, "no such call"),
        }
    }

    fn switch(&self, switch: &Switch) -> bool {
        match switch {
            Switch::Stale(stale) => self.set_stale(*stale),
            Switch::Compact => self.with(|core, _| core.compact()),
            _ => return false,
        }
        true
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

fn answer<T: serde::Serialize>(result: Result<T, Error>) -> Reply {
    match result {
        Ok(value) => Reply::json(&value),
        Err(Error::Conflict(present)) => Reply::json(&present).with_status(409),
        Err(Error::LeaseLapsed) => Reply::status(404, "lease lapsed"),
        Err(error) => Reply::status(400, &error.to_string()),
    }
}
