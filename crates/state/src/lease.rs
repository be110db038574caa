//! Keeping a node's lease and registration, without input or output.

use crate::member::{Info, PREFIX};
use crate::retry::Backoff;
use hickory_store::store::{Error, Expect, Lease, Revision, Write};
use hickory_unit::id;
use std::time::{Duration, Instant};

/// Renewals a second that the whole fleet may make: half of the several
/// hundred writes that the service takes go to renewals, claims, ownership
/// and configuration together, and of these renewals get a half.
const RENEWALS_MAX: f64 = 76.0;

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
struct Held {
    lease: Lease,
    ttl: Duration,
    /// When the last successful renewal was sent.
    renewed: Instant,
}

/// The lease and the registration of one node.
#[derive(Debug)]
pub struct Keeper {
    me: Info,
    ttl: Duration,
    fleet: usize,
    held: Option<Held>,
    /// The revision of the registration under the held lease.
    registered: Option<Revision>,
    registered_at: Option<Instant>,
    /// Whether the last registration sent said that the node is stopping.
    told_draining: bool,
    next_at: Option<Instant>,
    failures: Backoff,
    replaced: bool,
}

impl Keeper {
    /// A node that holds nothing yet; `ttl` is the least time to live.
    pub fn open(me: Info, ttl: Duration, seed: u64) -> Self {
        let failures = Backoff::open(ttl / 20, ttl / 5, seed);
        Self {
            me,
            ttl,
            fleet: 1,
            held: None,
            registered: None,
            registered_at: None,
            told_draining: false,
            next_at: None,
            failures,
            replaced: false,
        }
    }

    /// What the node tells of itself.
    pub fn me(&self) -> &Info {
        &self.me
    }

    /// The least time to live.
    pub fn ttl(&self) -> Duration {
        self.ttl
    }

    /// Tells that the node is stopping, at the next call.
    pub fn set_draining(&mut self) {
        self.me.draining = true;
        self.next_at = None;
    }

    /// Takes the number of nodes, which the time to live grows with.
    pub fn set_fleet(&mut self, nodes: usize) {
        self.fleet = nodes.max(1);
    }

    /// Takes the registration under this node's name as it was seen.
    ///
    /// Failure: a process is paused, and another is started under its name.
    /// The paused one must give way for good when it resumes, or the two
    /// would overwrite each other's registration in turn.
    pub fn see(&mut self, incarnation: id::Incarnation, revision: Revision) {
        let mine = self.registered.is_some_and(|registered| registered < revision);
        self.replaced |= mine && incarnation != self.me.incarnation;
    }

    /// Whether another process has taken this node's name.
    pub fn replaced(&self) -> bool {
        self.replaced
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
    pub fn confirmed(&self, now: Instant) -> bool {
        let valid = self.held.is_some_and(|held| now < held.renewed + held.ttl * 3 / 4);
        valid && self.registered_at.is_some() && !self.replaced
    }

    /// When the registration under the present lease was sent.
    pub fn registered_at(&self) -> Option<Instant> {
        self.registered_at
    }

    /// The time to live at the present size of the fleet.
    pub fn wanted_ttl(&self) -> Duration {
        let least = self.fleet as f64 * f64::from(RENEWALS_PER_TTL) / RENEWALS_MAX;
        self.ttl.max(Duration::from_secs_f64(least))
    }

    /// When the next call is due; `None`: never again.
    pub fn wake(&self, now: Instant) -> Option<Instant> {
        (!self.replaced).then(|| self.next_at.unwrap_or(now))
    }

    /// The next call, where one is due.
    pub fn next(&mut self, now: Instant) -> Option<Call> {
        if self.replaced || self.next_at.is_some_and(|at| now < at) {
            return None;
        }
        // A lease that is much shorter than the fleet now wants is left to
        // lapse, and its registration moves to a new one.
        let held = self.held.filter(|held| held.ttl * 5 / 4 >= self.wanted_ttl());
        let Some(held) = held else {
            return Some(Call::Grant(self.wanted_ttl()));
        };
        if self.told() {
            return Some(Call::Renew(held.lease));
        }
        self.told_draining = self.me.draining;
        Some(Call::Register(Write {
            key: format!("{PREFIX}{}", self.me.node),
            value: serde_json::to_string(&self.me).ok(),
            expect: Expect::Any,
            lease: Some(held.lease),
        }))
    }

    /// Takes the answer to a call that was sent at `sent`.
    pub fn answered(&mut self, now: Instant, sent: Instant, reply: Reply) {
        match reply {
            Reply::Granted(Ok(lease)) => {
                let ttl = self.wanted_ttl();
                self.held = Some(Held { lease, ttl, renewed: sent });
                self.registered = None;
                self.registered_at = None;
                self.next_at = None;
            }
            Reply::Registered(Ok(revision)) => {
                self.registered = Some(revision);
                self.registered_at.get_or_insert(sent);
                self.rest(now);
            }
            Reply::Renewed(Ok(())) => {
                if let Some(held) = &mut self.held {
                    held.renewed = sent;
                }
                self.rest(now);
            }
            Reply::Renewed(Err(Error::LeaseLapsed))
            | Reply::Registered(Err(Error::LeaseLapsed)) => {
                self.held = None;
                self.registered = None;
                self.registered_at = None;
                self.next_at = Some(now + self.failures.spread(self.ttl / 20));
            }
            Reply::Granted(Err(_)) | Reply::Registered(Err(_)) | Reply::Renewed(Err(_)) => {
                self.next_at = Some(now + self.failures.fail());
            }
        }
    }

    /// Whether the registration says what it should.
    fn told(&self) -> bool {
        self.registered.is_some() && self.told_draining == self.me.draining
    }

    fn rest(&mut self, now: Instant) {
        self.failures.reset();
        if !self.told() {
            self.next_at = None;
            return;
        }
        let ttl = self.held.map_or(self.ttl, |held| held.ttl);
        let interval = ttl / RENEWALS_PER_TTL;
        self.next_at = Some(now + interval - self.failures.spread(interval / 10));
    }
}
