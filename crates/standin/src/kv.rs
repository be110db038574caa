//! The state machine of the key-value service, without I/O: entries with revisions, leases, and
//! the change history that watches read.

use hickory_store::store::{
    Batch, Entry, Error, Event, Expect, Lease, MAX_VALUE_SIZE, Revision, Write,
};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// Number of change events kept for watches. A watch from an earlier revision is answered with
/// `compacted`.
const MAX_HISTORY_EVENTS: usize = 10_000;

/// The state machine of the key-value service, without I/O.
#[derive(Debug, Default)]
pub struct Core {
    entries: Entries,
    leases: BTreeMap<u64, GrantedLease>,
    history: VecDeque<Event>,
    revision: u64,
    compacted_revision: u64,
    next_lease: u64,
}

#[derive(Debug)]
struct GrantedLease {
    ttl: Duration,
    expires_at: Instant,
}

impl Core {
    /// Returns the entry of `key`.
    pub fn get(&mut self, now: Instant, key: &str) -> Option<Entry> {
        self.expire(now);
        self.entries.get(key).map(|(entry, _)| entry.clone())
    }

    /// Returns all entries whose key starts with `prefix`, and the revision.
    pub fn list(&mut self, now: Instant, prefix: &str) -> (Vec<Entry>, Revision) {
        self.expire(now);
        (list_entries(&self.entries, prefix), self.revision())
    }

    /// Returns a copy of all entries.
    pub fn snapshot(&mut self, now: Instant) -> Snapshot {
        self.expire(now);
        Snapshot { entries: self.entries.clone(), revision: self.revision() }
    }

    /// Writes a key, or removes it if the write has no value. Fails if the write's expectation about
    /// the current entry is not met.
    pub fn write(&mut self, now: Instant, write: Write) -> Result<Revision, Error> {
        self.expire(now);
        if write.value.as_ref().is_some_and(|value| value.len() as u64 > MAX_VALUE_SIZE.0) {
            return Err(Error::NotDone("value too large".into()));
        }
        if write.lease.is_some_and(|lease| !self.leases.contains_key(&lease.0)) {
            return Err(Error::LeaseLapsed);
        }
        let current = self.entries.get(&write.key).map(|(entry, _)| entry);
        let is_expectation_met = match write.expect {
            Expect::Any => true,
            Expect::Absent => current.is_none(),
            Expect::At(revision) => current.is_some_and(|entry| entry.revision == revision),
        };
        if !is_expectation_met {
            return Err(Error::Conflict(current.cloned()));
        }
        if write.value.is_none() && current.is_none() {
            return Ok(self.revision());
        }
        Ok(self.apply(write.key, write.value, write.lease))
    }

    /// Returns the changes after revision `after`, or `None` if there are none yet.
    pub fn changes(&mut self, now: Instant, prefix: &str, after: Revision) -> Option<Batch> {
        self.expire(now);
        let revision = self.revision();
        if after.number() < self.compacted_revision {
            return Some(Batch { events: Vec::new(), revision, compacted: true });
        }
        let newer = self.history.iter().rev().take_while(|event| event.revision > after);
        let found = newer.filter(|event| event.key.starts_with(prefix));
        let mut events: Vec<Event> = found.cloned().collect();
        events.reverse();
        (!events.is_empty()).then_some(Batch { events, revision, compacted: false })
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: Instant, ttl: Duration) -> Lease {
        self.expire(now);
        self.next_lease += 1;
        self.leases.insert(self.next_lease, GrantedLease { ttl, expires_at: now + ttl });
        Lease(self.next_lease)
    }

    /// Renews a lease for its full TTL.
    pub fn renew(&mut self, now: Instant, lease: Lease) -> Result<(), Error> {
        self.expire(now);
        let granted = self.leases.get_mut(&lease.0).ok_or(Error::LeaseLapsed)?;
        granted.expires_at = now + granted.ttl;
        Ok(())
    }

    /// Revokes a lease and removes its keys.
    pub fn revoke(&mut self, now: Instant, lease: Lease) -> Result<(), Error> {
        self.expire(now);
        self.leases.remove(&lease.0).ok_or(Error::LeaseLapsed)?;
        self.remove_lease_keys(lease);
        Ok(())
    }

    /// Discards the change history: a watch from an earlier revision has to list again.
    pub fn compact(&mut self) {
        self.history.clear();
        self.compacted_revision = self.revision;
    }

    /// Returns the revision of the last write.
    pub fn revision(&self) -> Revision {
        Revision(u128::from(self.revision))
    }

    /// Returns when the next lease expires.
    pub fn next_lease_expiry(&self) -> Option<Instant> {
        self.leases.values().map(|granted| granted.expires_at).min()
    }

    /// Removes expired leases and their keys.
    pub fn expire(&mut self, now: Instant) {
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, granted)| granted.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            self.remove_lease_keys(Lease(lease));
        }
    }

    fn remove_lease_keys(&mut self, lease: Lease) {
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
        if self.history.len() > MAX_HISTORY_EVENTS
            && let Some(oldest) = self.history.pop_front()
        {
            self.compacted_revision = oldest.revision.number();
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

/// The entries at one revision.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    entries: Entries,
    revision: Revision,
}

impl Snapshot {
    /// Returns the entry of `key`.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.entries.get(key).map(|(entry, _)| entry.clone())
    }

    /// Returns all entries whose key starts with `prefix`, and the revision.
    pub fn list(&self, prefix: &str) -> (Vec<Entry>, Revision) {
        (list_entries(&self.entries, prefix), self.revision)
    }
}
