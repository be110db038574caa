//! Ownership of targets: one document, changed by compare-and-swap.
//!
//! The decisions are made in [`crate::assign`], [`crate::plan`] and [`crate::allowance`].

use crate::assign::{Assigner, Options};
use crate::follow::{self, Follower};
use crate::member::{Info, Member};
use crate::plan::Plan;
use hickory_store::store::{Revision, Store};
use hickory_unit::clock::Clock;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The key of the ownership document.
pub const KEY: &str = "owners";

/// Watches of the document. The end of each watch confirms it;
/// `Options::max_document_age` allows for two of them.
const WATCH_TIMEOUT: Duration = Duration::from_millis(700);
const WATCH_JITTER: Duration = Duration::from_millis(100);

/// Interval between two plans when the document doesn't change.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// How long a planned stop tries to hand its targets over.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Checks over a new connection whether a node is running.
pub trait Probe: Clone + Send + Sync + 'static {
    /// Whether the node answered. It has to use a new connection, because an old one may
    /// be dead although the node is running.
    fn is_alive(&self, node: &Info) -> impl Future<Output = bool> + Send;
}

/// The owner of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The node.
    pub node: id::Node,
    /// The fencing epoch of orders to the target; rises with each change of ownership.
    pub epoch: id::Epoch,
}

/// How much of a target's capacity its owner may grant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Nothing before the given time.
    WaitUntil(Instant),
    /// At most half of the capacity.
    Half,
    /// The whole capacity.
    Full,
}

/// A target that this node owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owned {
    /// The target.
    pub target: id::Target,
    /// The epoch of the ownership.
    pub epoch: id::Epoch,
    /// How much of its capacity may be granted.
    pub allowance: Allowance,
}

/// This node's part in the ownership of targets: its background tasks and its copy of
/// the document.
#[derive(Clone, Debug)]
pub struct Owners<S, C, P> {
    store: S,
    clock: C,
    member: Member<S, C>,
    probe: P,
    assigner: Arc<Mutex<Assigner>>,
    /// Allows one write at a time. With two in flight, the reply to one could be applied
    /// as that of the other.
    write_lock: Arc<tokio::sync::Mutex<()>>,
    revision: watch::Sender<u64>,
}

impl<S: Store, C: Clock, P: Probe> Owners<S, C, P> {
    /// Follows the document and takes over targets without an owner. `permit_ttl` is the
    /// lifetime of a permit; a new owner grants nothing until the permits of its
    /// predecessor have expired.
    pub fn spawn(store: S, clock: C, member: Member<S, C>, probe: P, permit_ttl: Duration) -> Self {
        let options = Options::new(permit_ttl, member.min_ttl());
        let assigner = Arc::new(Mutex::new(Assigner::new(member.info(), options)));
        let (revision, _) = watch::channel(0);
        let owners =
            Self { store, clock, member, probe, assigner, write_lock: Arc::default(), revision };
        tokio::spawn(owners.clone().follow());
        tokio::spawn(owners.clone().run());
        owners
    }

    fn lock(&self) -> MutexGuard<'_, Assigner> {
        self.assigner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the assigner with the current membership.
    fn refresh_assigner(&self, now: Instant) -> MutexGuard<'_, Assigner> {
        let view = self.member.view(now);
        let mut assigner = self.lock();
        assigner.update_membership(now, view);
        assigner
    }

    /// Returns the owner of a target as last read.
    pub fn owner(&self, target: &id::Target) -> Option<Owner> {
        self.lock().owner(target)
    }

    /// Returns the targets that this node owns, with their current allowances.
    pub fn owned(&self) -> Vec<Owned> {
        let now = self.clock.now();
        self.refresh_assigner(now).owned(now)
    }

    /// Returns a receiver of the revision of the document, notified of each change.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// Returns the revision of the known document.
    pub fn revision(&self) -> u64 {
        self.lock().revision().short()
    }

    /// Sets the targets that need an owner.
    pub fn set_targets(&self, targets: &[id::Target]) {
        let now = self.clock.now();
        self.lock().set_targets(now, targets);
    }

    /// Returns the revision and the text of the document, for a peer.
    pub fn document(&self) -> (u64, String) {
        let assigner = self.lock();
        let text = serde_json::to_string(assigner.document()).unwrap_or_default();
        (assigner.revision().short(), text)
    }

    /// Applies a document from a peer if its revision is higher than the known one;
    /// returns whether it did.
    pub fn apply_if_newer(&self, revision: u64, text: &str) -> bool {
        let Ok(document) = serde_json::from_str(text) else {
            return false;
        };
        let now = self.clock.now();
        let changed = self.lock().apply_if_newer(now, Revision::from(revision), document);
        self.notify_if_changed(changed)
    }

    /// Records contact with a peer and the revision of the document that it knows.
    ///
    /// Must be called for each exchange with a peer: an owner without the service
    /// continues only while it has contact with others, and a new owner uses the revision
    /// to see that its predecessor has stopped.
    pub fn record_peer_revision(&self, node: &id::Node, revision: u64) {
        let now = self.clock.now();
        self.lock().record_peer_revision(now, node, Revision::from(revision));
    }

    /// Hands all targets over at a planned stop; returns whether none is left. It can't
    /// do so while the service is down: the targets are then taken over once the node's
    /// lease has expired.
    pub async fn release_all(&self) -> bool {
        self.lock().release();
        let deadline = self.clock.now() + RELEASE_TIMEOUT;
        loop {
            self.run_plan().await;
            let now = self.clock.now();
            if self.lock().has_no_targets() {
                return true;
            }
            if deadline <= now {
                return false;
            }
            tokio::time::sleep(PLAN_INTERVAL / 2).await;
        }
    }

    fn notify_if_changed(&self, changed: bool) -> bool {
        if changed {
            self.revision.send_replace(self.revision());
        }
        changed
    }

    async fn follow(self) {
        let options = follow::Options {
            prefix: KEY.into(),
            watch_timeout: WATCH_TIMEOUT,
            jitter: WATCH_JITTER,
        };
        let seed = uuid::Uuid::new_v4().as_u128() as u64;
        let owners = self.clone();
        let follower = Follower::new(options, seed);
        follow::run(self.store, self.clock, follower, move |follower, step, sent| {
            if step.is_confirmed {
                let now = owners.clock.now();
                let changed = owners.lock().on_read(now, sent, follower.entries().get(KEY));
                owners.notify_if_changed(changed);
            }
            follower.set_fleet_size(owners.member.nodes().len());
            true
        })
        .await;
    }

    async fn run(self) {
        let mut changed = self.revision.subscribe();
        loop {
            self.run_plan().await;
            let _ = tokio::time::timeout(PLAN_INTERVAL, changed.changed()).await;
        }
    }

    async fn run_plan(&self) {
        let _write_guard = self.write_lock.lock().await;
        let now = self.clock.now();
        let Plan { probes, write } = self.refresh_assigner(now).plan(now);
        for info in probes {
            // Each probe runs in a task of its own, so that an unresponsive node delays
            // nothing else.
            let owners = self.clone();
            tokio::spawn(async move {
                let is_alive = owners.probe.is_alive(&info).await;
                let now = owners.clock.now();
                owners.lock().on_probe_result(now, &info, is_alive);
            });
        }
        let Some((write, document)) = write else {
            return;
        };
        let result = self.store.write(write).await;
        if let Err(error) = &result {
            log::debug!(error:%; "ownership not written");
        }
        let changed = self.lock().on_write_result(self.clock.now(), now, result, document);
        self.notify_if_changed(changed);
    }
}
