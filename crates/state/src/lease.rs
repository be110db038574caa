//! The lease and the registration of one node, without input or output.

use crate::member::{Info, PREFIX};
use crate::retry::Backoff;
use hickory_store::store::{Error, Expect, Lease, Revision, Write};
use hickory_unit::id;
use std::time::{Duration, Instant};

/// Maximum number of lease renewals per second of the whole fleet. The service handles
/// several hundred writes per second. Half of them are reserved for renewals, claims,
/// ownership and configuration together, and half of these for renewals.
const MAX_FLEET_RENEWALS_PER_SECOND: f64 = 76.0;

/// Renewals within one time to live, so that two lost renewals in a row do no harm.
const RENEWALS_PER_TTL: u32 = 3;

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Open a lease with this time to live.
    Grant(Duration),
    /// Write the registration.
    Register(Write),
    /// Renew the lease.
    Renew(Lease),
}

/// The reply to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The reply to [`Call::Grant`].
    Granted(Result<Lease, Error>),
    /// The reply to [`Call::Register`].
    Registered(Result<Revision, Error>),
    /// The reply to [`Call::Renew`].
    Renewed(Result<(), Error>),
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    lease: Lease,
    ttl: Duration,
    /// When the last successful grant or renewal was sent.
    renewed_at: Instant,
}

/// The lease and the registration of one node.
#[derive(Debug)]
pub struct Registration {
    info: Info,
    min_ttl: Duration,
    fleet_size: usize,
    held: Option<HeldLease>,
    /// The revision of the registration under the current lease.
    registered_revision: Option<Revision>,
    registered_at: Option<Instant>,
    /// Whether the last registration sent says that the node is draining.
    is_draining_registered: bool,
    next_call_at: Option<Instant>,
    backoff: Backoff,
    is_replaced: bool,
}

impl Registration {
    /// Creates the registration of a node without a lease; `min_ttl` is the minimum time
    /// to live.
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

    /// Returns the contents of the registration.
    pub fn info(&self) -> &Info {
        &self.info
    }

    /// Returns the minimum time to live.
    pub fn min_ttl(&self) -> Duration {
        self.min_ttl
    }

    /// Marks the node as draining; the next call registers this.
    pub fn set_draining(&mut self) {
        self.info.draining = true;
        self.next_call_at = None;
    }

    /// Forgets the lease, which the service may have lost or given to another node; the next call
    /// opens a new one.
    pub fn forget_lease(&mut self) {
        self.held = None;
        self.registered_revision = None;
        self.registered_at = None;
        self.next_call_at = None;
    }

    /// Sets the number of nodes; the time to live grows with it.
    pub fn set_fleet_size(&mut self, nodes: usize) {
        self.fleet_size = nodes.max(1);
    }

    /// Processes the registration that the service has under this node's name.
    ///
    /// It guards against two processes with one name: a process is paused, and another
    /// one is started in its place. When the paused process resumes it must stop for
    /// good, or the two would keep overwriting each other's registration.
    pub fn observe(&mut self, incarnation: id::Incarnation, revision: Revision) {
        let is_newer = self
            .registered_revision
            .is_some_and(|registered_revision| registered_revision < revision);
        self.is_replaced |= is_newer && incarnation != self.info.incarnation;
    }

    /// Whether another process has registered under this node's name.
    pub fn is_replaced(&self) -> bool {
        self.is_replaced
    }

    /// Returns the current lease, so that it can be revoked.
    pub fn lease(&self) -> Option<Lease> {
        self.held.map(|held| held.lease)
    }

    /// Whether the lease is certainly valid at `now` and the node is registered.
    ///
    /// The service counts the time to live from when it handles a renewal. This node
    /// counts from when it *sent* the renewal, which is earlier, and stops after three
    /// quarters of the time to allow for clocks that run at different speeds. A process
    /// that was paused finds that the time has passed.
    pub fn is_valid(&self, now: Instant) -> bool {
        let is_valid = self.held.is_some_and(|held| now < held.renewed_at + held.ttl * 3 / 4);
        is_valid && self.registered_at.is_some() && !self.is_replaced
    }

    /// Returns when the registration under the current lease was sent.
    pub fn registered_at(&self) -> Option<Instant> {
        self.registered_at
    }

    /// Returns the time to live for the current size of the fleet.
    pub fn fleet_ttl(&self) -> Duration {
        let min_secs =
            self.fleet_size as f64 * f64::from(RENEWALS_PER_TTL) / MAX_FLEET_RENEWALS_PER_SECOND;
        self.min_ttl.max(Duration::from_secs_f64(min_secs))
    }

    /// Returns when the next call is due; `None` if no call is ever due again.
    pub fn next_wakeup(&self, now: Instant) -> Option<Instant> {
        (!self.is_replaced).then(|| self.next_call_at.unwrap_or(now))
    }

    /// Returns the next call if one is due.
    pub fn next_call(&mut self, now: Instant) -> Option<Call> {
        if self.is_replaced || self.next_call_at.is_some_and(|at| now < at) {
            return None;
        }
        // A lease whose time to live is much too short for the size of the fleet is left to
        // expire, and the registration moves to a new lease.
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

    /// Processes the reply to a call that was sent at `sent`.
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

    /// Whether the stored registration matches this node's information.
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
