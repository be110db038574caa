//! Membership: a lease and a registration for each node.

use hickory_platform::store::{Error, Expect, Lease, Store, Write};
use hickory_unit::clock::Clock;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The prefix of the registrations.
pub const PREFIX: &str = "nodes/";

/// What a node tells of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Info {
    /// Its name.
    pub node: id::Node,
    /// The availability zone it stands in.
    pub zone: id::Zone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
    /// Differs after each start.
    pub incarnation: id::Incarnation,
    /// Whether it is stopping.
    pub draining: bool,
}

/// The nodes by name.
pub type Nodes = BTreeMap<id::Node, Info>;

#[derive(Debug)]
struct Shared {
    me: Info,
    ttl: Duration,
    lease: Option<Lease>,
    confirmed_until: Option<Instant>,
    left: bool,
}

/// A running registration with its view of the other nodes.
#[derive(Clone, Debug)]
pub struct Member<S, C> {
    store: S,
    clock: C,
    shared: Arc<Mutex<Shared>>,
    nodes: watch::Receiver<Arc<Nodes>>,
}

impl<S: Store, C: Clock> Member<S, C> {
    /// Registers the node and keeps its lease until the handle says it leaves.
    pub fn spawn(store: S, clock: C, info: Info, ttl: Duration) -> Self {
        let (sender, nodes) = watch::channel(Arc::default());
        let shared = Shared { me: info, ttl, lease: None, confirmed_until: None, left: false };
        let member = Self { store, clock, shared: Arc::new(Mutex::new(shared)), nodes };
        tokio::spawn(member.clone().keep_lease());
        tokio::spawn(member.clone().keep_view(sender));
        member
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What this node tells of itself.
    pub fn me(&self) -> Info {
        self.lock().me.clone()
    }

    /// The registered nodes, as last seen.
    pub fn nodes(&self) -> Arc<Nodes> {
        self.nodes.borrow().clone()
    }

    /// Told of each change of [`Member::nodes`].
    pub fn changed(&self) -> watch::Receiver<Arc<Nodes>> {
        self.nodes.clone()
    }

    /// Whether this node's lease is certainly valid at `now`.
    pub fn confirmed(&self, now: Instant) -> bool {
        self.lock().confirmed_until.is_some_and(|until| now < until)
    }

    /// Tells the others that this node is stopping.
    pub async fn set_draining(&self) {
        self.lock().me.draining = true;
        let _ = self.register().await;
    }

    /// Ends the registration.
    pub async fn leave(&self) {
        let lease = {
            let mut shared = self.lock();
            shared.left = true;
            shared.confirmed_until = None;
            shared.lease.take()
        };
        if let Some(lease) = lease {
            let _ = self.store.revoke(lease).await;
        }
    }

    async fn register(&self) -> Result<(), Error> {
        let (me, lease, ttl) = {
            let shared = self.lock();
            (shared.me.clone(), shared.lease, shared.ttl)
        };
        let sent = self.clock.now();
        let lease = match lease {
            Some(lease) => lease,
            None => self.store.grant(ttl).await?,
        };
        let write = Write {
            key: format!("{PREFIX}{}", me.node),
            value: serde_json::to_string(&me).ok(),
            expect: Expect::Any,
            lease: Some(lease),
        };
        self.store.write(write).await?;
        let mut shared = self.lock();
        if shared.lease.is_none() {
            shared.confirmed_until = Some(sent + ttl * 3 / 4);
        }
        shared.lease = Some(lease);
        Ok(())
    }

    async fn keep_lease(self) {
        loop {
            let (lease, ttl, left) = {
                let shared = self.lock();
                (shared.lease, shared.ttl, shared.left)
            };
            if left {
                return;
            }
            let sent = self.clock.now();
            match lease {
                None => {
                    let _ = self.register().await;
                }
                Some(lease) => match self.store.renew(lease).await {
                    Ok(()) => self.lock().confirmed_until = Some(sent + ttl * 3 / 4),
                    Err(Error::LeaseLapsed) => {
                        let mut shared = self.lock();
                        shared.lease = None;
                        shared.confirmed_until = None;
                        continue;
                    }
                    Err(_) => {}
                },
            }
            tokio::time::sleep(ttl / 3).await;
        }
    }

    async fn keep_view(self, sender: watch::Sender<Arc<Nodes>>) {
        while !self.lock().left {
            if let Ok((entries, revision)) = self.store.list(PREFIX).await {
                let nodes: Nodes = entries
                    .iter()
                    .filter_map(|entry| serde_json::from_str::<Info>(&entry.value).ok())
                    .map(|info| (info.node.clone(), info))
                    .collect();
                sender.send_replace(Arc::new(nodes));
                let _ = self.store.watch(PREFIX, revision, Duration::from_secs(5)).await;
            }
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}
