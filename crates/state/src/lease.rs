//! Keeping a node's lease and registration, without input or output.

use crate::member::{Info, PREFIX};
use crate::retry::Backoff;
use hickory_store::store::{Error, Expect, Lease, Revision, Write};
use hickory_unit::id;
use std::time::{Duration, Instant};

/// Renewals a second that the whole fleet may make: half of the several
/// hundred writes that the service takes go to renewals, claims, ownership
/// and configuration together, and of these renewals get a half.
const MAX_FLEET_RENEWALS_PER_SECOND: f64 = 76.0;

/// Renewals within one time to live: two may be lost in a row.
const RENEWALS_PER_TTL: u32 = 3;

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Open a lease.
    Grant(Duration),
    /// Write the registration.
    Register(Write),
    /// Renew the lease.
    Renew(Lease),
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// To [`Call::Grant`].
    Granted(Result<Lease, Error>),
    /// To [`Call::Register`].
    Registered(Result<Revision, Error>),
    /// To [`Call::Renew`].
    Renewed(Result<(), Error>),
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: Lease,
    ttl: Duration,
    /// When the last successful renewal was sent.
    renewed_at: Instant,
}

/// The lease and the registration of one node.
#[derive(Debug)]
pub struct Registration {
    info: Info,
    min_ttl: Duration,
    fleet_size: usize,
    held: Option<HeldLease>,
    /// The revision of the registration under the held lease.
    registered_revision: Option<Revision>,
    registered_at: Option<Instant>,
    /// Whether the last registration sent said that the node is stopping.
    is_draining_registered: bool,
    next_call_at: Option<Instant>,
    backoff: Backoff,
    is_replaced: bool,
}

impl Registration {
    /// A node that holds nothing yet; `ttl` is the least time to live.
    pub fn new(info: Info, min_ttl: Duration, seed: u64) -> Self {
        let backoff = Backoff::new(min_ttl / 20, min_ttl / 5, seed);
        Self {
            info,
            min_ttl,
            fleet_size: 1,
            held: None,
            registered_revision: None,
            registered_at: None,
            is_draining_registered: false,
            next_call_at: None,
            backoff,
            is_replaced: false,
        }
    }

    /// What the node tells of itself.
    pub fn info(&self) -> &Info {
        &self.info
    }

    /// The least time to live.
    pub fn min_ttl(&self) -> Duration {
        self.min_ttl
    }

    /// Tells that the node is stopping, at the next call.
    pub fn set_draining(&mut self) {
        self.info.draining = true;
        self.next_call_at = None;
    }

    /// Takes the number of nodes, which the time to live grows with.
    pub fn set_fleet_size(&mut self, nodes: usize) {
        self.fleet_size = nodes.max(1);
    }

    /// Takes the registration under this node's name as it was seen.
    ///
    /// Failure: a process is paused, and another is started under its name.
    /// The paused one must give way for good when it resumes, or the two
    /// would overwrite each other's registration in turn.
    pub fn observe(&mut self, incarnation: id::Incarnation, revision: Revision) {
        let is_newer = self
            .registered_revision
            .is_some_and(|registered_revision| registered_revision < revision);
        self.is_replaced |= is_newer && incarnation != self.info.incarnation;
    }

    /// Whether another process has taken this node's name.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// The lease held, to be given up.
    pub fn lease(&self) -> Option<Lease> {
        self.held.map(|held| held.lease)
    }

    /// Whether the lease is certainly valid at `now`, and the node registered.
    ///
    /// The service counts the time to live from when it handles a renewal;
    /// this node from when it *sent* it, which is earlier, and it gives up a
    /// quarter sooner, so that clocks which run at different speeds don't
    /// make up the difference. A paused process finds the time passed.
    pub fn is_valid(&self, now: Instant) -> bool {
        let is_valid = self.held.is_some_and(|held| now < held.renewed_at + held.ttl * 3 / 4);
        is_valid && self.registered_at.is_some() && !self.is_replaced
    }

    /// When the registration under the present lease was sent.
    pub fn registered_at(&self) -> Option<Instant> {
        self.registered_at
    }

    /// The time to live at the present size of the fleet.
    pub fn fleet_ttl(&self) -> Duration {
        let min_secs =
            self.fleet_size as f64 * f64::from(RENEWALS_PER_TTL) / MAX_FLEET_RENEWALS_PER_SECOND;
        self.min_ttl.max(Duration::from_secs_f64(min_secs))
    }

    /// When the next call is due; `None`: never again.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        (!self.is_replaced).then(|| self.next_call_at.unwrap_or(now))
    }

    /// The next call, where one is due.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        if self.is_replaced || self.next_call_at.is_some_and(|at| now < at) {
            return None;
        }
        // A lease that is much shorter than the fleet now wants is left to
        // lapse, and its registration moves to a new one.
        let held = self.held.filter(|held| held.ttl * 5 / 4 >= self.fleet_ttl());
        let Some(held) = held else {
            return Some(Call::Grant(self.fleet_ttl()));
        };
        if self.is_registration_current() {
            return Some(Call::Renew(held.lease));
        }
        self.is_draining_registered = self.info.draining;
        Some(Call::Register(Write {
            key: format!("{PREFIX}{}", self.info.node),
            value: serde_json::to_string(&self.info).ok(),
            expect: Expect::Any,
            lease: Some(held.lease),
        }))
    }

    /// Takes the answer to a call that was sent at `sent`.
    pub fn on_reply(&mut self, now: Instant, sent: Instant, reply: Reply) {
        match reply {
            Reply::Granted(Ok(lease)) => {
                let ttl = self.fleet_ttl();
                self.held = Some(HeldLease { lease, ttl, renewed_at: sent });
                self.registered_revision = None;
                self.registered_at = None;
                self.next_call_at = None;
            }
            Reply::Registered(Ok(revision)) => {
                self.registered_revision = Some(revision);
                self.registered_at.get_or_insert(sent);
                self.schedule_renewal(now);
            }
            Reply::Renewed(Ok(())) => {
                if let Some(held) = &mut self.held {
                    held.renewed_at = sent;
                }
                self.schedule_renewal(now);
            }
            Reply::Renewed(Err(Error::LeaseLapsed))
            | Reply::Registered(Err(Error::LeaseLapsed)) => {
                self.held = None;
                self.registered_revision = None;
                self.registered_at = None;
                self.next_call_at = Some(now + self.backoff.jitter(self.min_ttl / 20));
            }
            Reply::Granted(Err(_)) | Reply::Registered(Err(_)) | Reply::Renewed(Err(_)) => {
                self.next_call_at = Some(now + self.backoff.next_delay());
            }
        }
    }

    /// Whether the registration says what it should.
    fn is_registration_current(&self) -> bool {
        self.registered_revision.is_some() && self.is_draining_registered == self.info.draining
    }

    fn schedule_renewal(&mut self, now: Instant) {
        self.backoff.reset();
        if !self.is_registration_current() {
            self.next_call_at = None;
            return;
        }
        let ttl = self.held.map_or(self.min_ttl, |held| held.ttl);
        let interval = ttl / RENEWALS_PER_TTL;
        self.next_call_at = Some(now + interval - self.backoff.jitter(interval / 10));
    }
}
