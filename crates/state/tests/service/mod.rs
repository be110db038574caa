//! The key-value service as a plain value, for tests of the pure halves that
//! decide themselves when a call arrives and whether its answer does.

#![allow(dead_code, reason = "each test uses a part")]

use hickory_platform::store::{Entry, Error, Expect, Lease, Revision, Write};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

#[derive(Clone, Debug, Default)]
pub struct Service {
    pub revision: u64,
    pub keys: BTreeMap<String, (Entry, Option<Lease>)>,
    pub leases: Vec<Instant>,
}

impl Service {
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.keys.get(key).map(|(entry, _)| entry.clone())
    }

    pub fn grant(&mut self, now: Instant, ttl: Duration) -> Lease {
        self.leases.push(now + ttl);
        Lease(self.leases.len() as u64 - 1)
    }

    /// Removes the keys of leases that have lapsed.
    pub fn lapse(&mut self, now: Instant) {
        let live = |lease: &Lease| now < self.leases[lease.0 as usize];
        self.keys.retain(|_, (_, lease)| lease.as_ref().is_none_or(live));
    }

    pub fn write(&mut self, now: Instant, write: &Write) -> Result<Revision, Error> {
        self.lapse(now);
        if write.lease.is_some_and(|lease| self.leases[lease.0 as usize] <= now) {
            return Err(Error::LeaseLapsed);
        }
        let present = self.get(&write.key);
        let holds = match write.expect {
            Expect::Any => true,
            Expect::Absent => present.is_none(),
            Expect::At(revision) => present.as_ref().is_some_and(|e| e.revision == revision),
        };
        if !holds {
            return Err(Error::Conflict(present));
        }
        self.revision += 1;
        let revision = Revision(self.revision);
        match &write.value {
            None => drop(self.keys.remove(&write.key)),
            Some(value) => {
                let entry = Entry { key: write.key.clone(), value: value.clone(), revision };
                self.keys.insert(write.key.clone(), (entry, write.lease));
            }
        }
        Ok(revision)
    }
}
