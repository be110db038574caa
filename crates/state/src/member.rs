//! Membership: each node keeps a lease and a registration, and follows those of the
//! others.
//!
//! The decisions are made in [`crate::lease`] and [`crate::follow`].

use crate::follow::{self, Follower};
use crate::lease::{Call, Registration, Reply};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::{Notify, watch};

/// The key prefix of the registrations.
pub const PREFIX: &str = "nodes/";

/// Watches of the registrations. Without changes each node makes one such call every ten
/// seconds.
const WATCH_TIMEOUT: Duration = Duration::from_secs(10);
const WATCH_JITTER: Duration = Duration::from_millis(300);

/// The registration of a node: its addresses and its state.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Info {
    /// The name of the node.
    pub node: id::Node,
    /// The availability zone in which it runs.
    pub zone: id::Zone,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for other nodes.
    pub peers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
    /// Identifies the process; different after each start.
    pub incarnation: id::Incarnation,
    /// Whether the node is stopping.
    pub draining: bool,
}

/// The nodes by name.
pub type Nodes = BTreeMap<id::Node, Info>;

/// The state of the membership on which ownership decisions are based.
#[derive(Clone, Debug)]
pub struct View {
    /// The registered nodes.
    pub nodes: Arc<Nodes>,
    /// Whether this node's own lease is certainly valid.
    pub is_lease_valid: bool,
    /// When this node's registration under its current lease was sent.
    pub registered_at: Option<Instant>,
    /// Since when the service has answered every call for the registrations; `None` while
    /// it doesn't answer.
    pub contact_since: Option<Instant>,
    /// Whether this node is stopping.
    pub draining: bool,
}

fn random_seed() -> u64 {
    uuid::Uuid::new_v4().as_u128() as u64
}

#[derive(Debug)]
struct Shared {
    registration: Registration,
    contact_since: Option<Instant>,
    has_left: bool,
}

/// This node's registration, which a background task keeps up to date, and those of the
/// other nodes.
#[derive(Clone, Debug)]
pub struct Member<S, C> {
    store: S,
    clock: C,
    shared: Arc<Mutex<Shared>>,
    nodes: watch::Sender<Arc<Nodes>>,
    wake: Arc<Notify>,
}

impl<S: Store, C: Clock> Member<S, C> {
    /// Registers the node, keeps its lease until [`Member::deregister`] and follows the
    /// other nodes. The lease lives for `ttl`, longer if the fleet is large.
    pub fn spawn(store: S, clock: C, info: Info, ttl: Duration) -> Self {
        let member = Self::spawn_registration(store, clock, info, ttl);
        tokio::spawn(member.clone().follow_nodes(random_seed()));
        member
    }

    /// Registers the node and keeps its lease without following the other nodes, for
    /// nodes that learn of each other in another way.
    pub fn spawn_registration(store: S, clock: C, info: Info, ttl: Duration) -> Self {
        let registration = Registration::new(info, ttl, random_seed());
        let shared = Shared { registration, contact_since: None, has_left: false };
        let (nodes, _) = watch::channel(Arc::default());
        let wake = Arc::default();
        let member = Self { store, clock, shared: Arc::new(Mutex::new(shared)), nodes, wake };
        tokio::spawn(member.clone().run_lease());
        member
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns this node's registration.
    pub fn info(&self) -> Info {
        self.lock().registration.info().clone()
    }

    /// Returns the minimum time to live of the lease.
    pub fn min_ttl(&self) -> Duration {
        self.lock().registration.min_ttl()
    }

    /// Returns the registered nodes as last read.
    pub fn nodes(&self) -> Arc<Nodes> {
        self.nodes.borrow().clone()
    }

    /// Returns a receiver of the changes of [`Member::nodes`].
    pub fn subscribe(&self) -> watch::Receiver<Arc<Nodes>> {
        self.nodes.subscribe()
    }

    /// Whether this node's lease is certainly valid at `now`.
    pub fn is_lease_valid(&self, now: Instant) -> bool {
        let shared = self.lock();
        !shared.has_left && shared.registration.is_valid(now)
    }

    /// Returns the state of the membership at `now`.
    pub fn view(&self, now: Instant) -> View {
        let nodes = self.nodes();
        let shared = self.lock();
        View {
            nodes,
            is_lease_valid: !shared.has_left && shared.registration.is_valid(now),
            registered_at: shared.registration.registered_at(),
            contact_since: shared.contact_since,
            draining: shared.registration.info().draining,
        }
    }

    /// Registers that this node is stopping.
    pub async fn set_draining(&self) {
        self.lock().registration.set_draining();
        self.wake.notify_one();
    }

    /// Registers the node under a new lease, after the service was restored from a copy.
    pub fn register_again(&self) {
        self.lock().registration.forget_lease();
        self.wake.notify_one();
    }

    /// Ends the registration and revokes the lease.
    pub async fn deregister(&self) {
        let lease = {
            let mut shared = self.lock();
            shared.has_left = true;
            shared.registration.lease()
        };
        self.wake.notify_one();
        if let Some(lease) = lease {
            let _ = self.store.revoke(lease).await;
        }
    }

    async fn run_lease(self) {
        loop {
            let now = self.clock.now();
            let (call, wake) = {
                let mut shared = self.lock();
                if shared.has_left {
                    return;
                }
                (shared.registration.next_call(now), shared.registration.next_wakeup(now))
            };
            let Some(wake) = wake else {
                log::error!(node:% = self.info().node; "another process has this node's name");
                return;
            };
            if let Some(call) = call {
                let reply = self.call(call).await;
                self.lock().registration.on_reply(self.clock.now(), now, reply);
            } else {
                let wait = wake.saturating_duration_since(now);
                let _ = tokio::time::timeout(wait, self.wake.notified()).await;
            }
        }
    }

    async fn call(&self, call: Call) -> Reply {
        match call {
            Call::Grant(ttl) => Reply::Granted(self.store.grant(ttl).await),
            Call::Register(write) => Reply::Registered(self.store.write(write).await),
            Call::Renew(lease) => Reply::Renewed(self.store.renew(lease).await),
        }
    }

    async fn follow_nodes(self, seed: u64) {
        let options = follow::Options {
            prefix: PREFIX.into(),
            watch_timeout: WATCH_TIMEOUT,
            jitter: WATCH_JITTER,
        };
        let follower = Follower::new(options, seed ^ 2);
        let member = self.clone();
        follow::run(self.store, self.clock, follower, move |follower, step, sent| {
            if step.is_changed {
                member.update_nodes(follower);
                follower.set_fleet_size(follower.entries().len());
            }
            let mut shared = member.lock();
            let since = shared.contact_since.unwrap_or(sent);
            shared.contact_since = step.is_confirmed.then_some(since);
            !shared.has_left
        })
        .await;
    }

    fn update_nodes(&self, follower: &Follower) {
        let read = |entry: &hickory_store::store::Entry| {
            let info = serde_json::from_str::<Info>(&entry.value).ok()?;
            Some((info, entry.revision))
        };
        let seen: Vec<_> = follower.entries().values().filter_map(read).collect();
        let mut shared = self.lock();
        shared.registration.set_fleet_size(seen.len());
        for (info, revision) in &seen {
            if info.node == shared.registration.info().node {
                shared.registration.observe(info.incarnation, *revision);
            }
        }
        drop(shared);
        let nodes = seen.into_iter().map(|(info, _)| (info.node.clone(), info)).collect();
        self.nodes.send_replace(Arc::new(nodes));
    }
}
