//! The key-value service, shared between tasks and served over HTTP.

use crate::fault::Switch;
use crate::rate::RateLimit;
use crate::server::{self, Reply};
use hickory_store::http::{Grant, Listing};
use hickory_store::store::{Batch, Entry, Error, Lease, Revision, Write};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

pub use crate::kv::{Core, Snapshot};
pub use crate::memory::Memory;

/// Calls that a key-value service has received; a waiting watch counts as one.
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

/// A [`Core`] that is shared between tasks and wakes up watches.
#[derive(Clone, Debug)]
pub struct Shared {
    core: Arc<Mutex<Core>>,
    written: watch::Sender<u64>,
    stale: Arc<Mutex<Option<Snapshot>>>,
    counts: Arc<Mutex<Counts>>,
    rates: Arc<Mutex<RateLimits>>,
}

/// The rate limits; `None` means no limit.
#[derive(Clone, Copy, Debug, Default)]
struct RateLimits {
    reads: Option<RateLimit>,
    writes: Option<RateLimit>,
}

impl Default for Shared {
    fn default() -> Self {
        let written = watch::Sender::new(0);
        let (stale, counts, rates) = Default::default();
        Self { core: Arc::default(), written, stale, counts, rates }
    }
}

impl Shared {
    /// Calls `act` with the core and the present time.
    pub fn with_core<T>(&self, act: impl FnOnce(&mut Core, Instant) -> T) -> T {
        let mut core = lock(&self.core);
        let result = act(&mut core, Instant::now());
        let revision = core.revision().number();
        self.written.send_if_modified(|seen| std::mem::replace(seen, revision) != revision);
        result
    }

    /// Freezes the state that reads return until switched off; writes and watches are not
    /// affected.
    pub fn set_stale(&self, stale: bool) {
        let snapshot = stale.then(|| self.with_core(Core::snapshot));
        *lock(&self.stale) = snapshot;
    }

    /// Limits the calls per second over HTTP; zero means no limit.
    pub fn set_rates(&self, reads: u32, writes: u32) {
        let now = Instant::now();
        let open = |per_second| (per_second > 0).then(|| RateLimit::open(now, per_second));
        *lock(&self.rates) = RateLimits { reads: open(reads), writes: open(writes) };
    }

    /// Reserves a slot under the rate limit and returns how long the call has to wait for it.
    fn reserve(&self, call: &server::Call) -> Duration {
        let rates = &mut *lock(&self.rates);
        let is_read = call.method == http::Method::GET;
        let rate = if is_read { &mut rates.reads } else { &mut rates.writes };
        rate.as_mut().map_or(Duration::ZERO, |rate| rate.reserve(Instant::now()))
    }

    /// Returns the counts of calls so far.
    pub fn counts(&self) -> Counts {
        *lock(&self.counts)
    }

    fn count(&self, add: impl FnOnce(&mut Counts)) {
        add(&mut lock(&self.counts));
    }

    /// Returns the entry of `key`.
    pub fn get(&self, key: &str) -> Option<Entry> {
        self.count(|counts| counts.reads += 1);
        if let Some(snapshot) = &*lock(&self.stale) {
            return snapshot.get(key);
        }
        self.with_core(|core, now| core.get(now, key))
    }

    /// Returns all entries whose key starts with `prefix`, and the revision.
    pub fn list(&self, prefix: &str) -> (Vec<Entry>, Revision) {
        self.count(|counts| counts.reads += 1);
        if let Some(snapshot) = &*lock(&self.stale) {
            return snapshot.list(prefix);
        }
        self.with_core(|core, now| core.list(now, prefix))
    }

    /// Writes a key, or removes it if the write has no value.
    pub fn write(&self, write: Write) -> Result<Revision, Error> {
        self.count(|counts| counts.writes += 1);
        self.with_core(|core, now| core.write(now, write))
    }

    /// Grants a lease.
    pub fn grant(&self, ttl: Duration) -> Lease {
        self.count(|counts| counts.leases += 1);
        self.with_core(|core, now| core.grant(now, ttl))
    }

    /// Renews a lease for its full TTL.
    pub fn renew(&self, lease: Lease) -> Result<(), Error> {
        self.count(|counts| counts.leases += 1);
        self.with_core(|core, now| core.renew(now, lease))
    }

    /// Revokes a lease and removes its keys.
    pub fn revoke(&self, lease: Lease) -> Result<(), Error> {
        self.count(|counts| counts.leases += 1);
        self.with_core(|core, now| core.revoke(now, lease))
    }

    /// Waits up to `wait` for changes after revision `after`; returns an empty batch on timeout.
    pub async fn watch(&self, prefix: &str, after: Revision, wait: Duration) -> Batch {
        self.count(|counts| counts.watches += 1);
        let mut written = self.written.subscribe();
        let until = tokio::time::Instant::now() + wait;
        loop {
            written.mark_unchanged();
            if let Some(batch) = self.with_core(|core, now| core.changes(now, prefix, after)) {
                return batch;
            }
            let expiry = self.with_core(|core, _| core.next_lease_expiry());
            let wake = expiry.map_or(until, |at| until.min(at.into()));
            tokio::select! {
                _ = written.changed() => {}
                () = tokio::time::sleep_until(wake) => {
                    if tokio::time::Instant::now() >= until {
                        let revision = self.with_core(|core, _| core.revision());
                        return Batch { events: Vec::new(), revision, compacted: false };
                    }
                }
            }
        }
    }
}

/// A running key-value service.
pub type Handle = server::Handle<Shared>;

/// Starts an empty key-value service.
pub fn spawn(listen: SocketAddr) -> std::io::Result<Handle> {
    server::spawn(listen, Shared::default())
}

impl server::Service for Shared {
    async fn call(&self, call: server::Call) -> Reply {
        let wait = self.reserve(&call);
        if !wait.is_zero() {
            tokio::time::sleep(wait).await;
        }
        match (call.method.as_str(), call.path.as_str()) {
            ("GET", "/kv/get") => Reply::json(&self.get(&call.query("key"))),
            ("GET", "/kv/list") => {
                let (entries, revision) = self.list(&call.query("prefix"));
                Reply::json(&Listing { entries, revision })
            }
            ("POST", "/kv/write") => call.answer_json(|write| answer(self.write(write))),
            ("GET", "/kv/watch") => {
                let after = Revision(call.query("after").parse().unwrap_or(0));
                let wait = Duration::from_millis(call.query("wait_ms").parse().unwrap_or(0));
                Reply::json(&self.watch(&call.query("prefix"), after, wait).await)
            }
            ("POST", "/lease/grant") => call.answer_json(|grant: Grant| {
                Reply::json(&self.grant(Duration::from_millis(grant.ttl_ms)))
            }),
            ("POST", "/lease/renew") => call.answer_json(|lease| answer(self.renew(lease))),
            ("POST", "/lease/revoke") => call.answer_json(|lease| answer(self.revoke(lease))),
            ("GET", "/counts") => Reply::json(&self.counts()),
            _ => Reply::status(405, "no such call"),
        }
    }

    fn switch(&self, switch: &Switch) -> bool {
        match switch {
            Switch::Rate { reads, writes } => self.set_rates(*reads, *writes),
            Switch::Stale(stale) => self.set_stale(*stale),
            Switch::Compact => self.with_core(|core, _| core.compact()),
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
