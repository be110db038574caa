//! Ownership of targets: one document, changed by compare-and-swap. The
//! decisions stand in [`crate::assign`] and [`crate::allowance`].

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

/// Watches of the document. Their ends confirm it, so `Options::fresh` allows
/// for two of them.
const WATCH_TIMEOUT: Duration = Duration::from_millis(700);
const WATCH_JITTER: Duration = Duration::from_millis(100);

/// Between two looks at what there is to do.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);

/// How long a planned stop tries to hand its targets over.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Asks over a new connection whether a node still runs.
pub trait Probe: Clone + Send + Sync + 'static {
    /// Whether the node answered. Judges the path with a new connection: an
    /// old one may be silent for good while the node runs.
    fn is_alive(&self, node: &Info) -> impl Future<Output = bool> + Send;
}

/// Who owns a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The node.
    pub node: id::Node,
    /// Rises with each change; the fencing number of orders.
    pub epoch: id::Epoch,
}

/// What an owner may grant at present.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Allowance {
    /// Nothing before the time given.
    WaitUntil(Instant),
    /// At most half of what the target bears.
    Half,
    /// All that it bears.
    Full,
}

/// A target that this node owns.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owned {
    /// The target.
    pub target: id::Target,
    /// The epoch of the ownership.
    pub epoch: id::Epoch,
    /// What may be granted.
    pub allowance: Allowance,
}

/// The running ownership.
#[derive(Clone, Debug)]
pub struct Owners<S, C, P> {
    store: S,
    clock: C,
    member: Member<S, C>,
    probe: P,
    assigner: Arc<Mutex<Assigner>>,
    /// One write at a time: the answer to a second could be taken for that of
    /// the first.
    write_lock: Arc<tokio::sync::Mutex<()>>,
    revision: watch::Sender<u64>,
}

impl<S: Store, C: Clock, P: Probe> Owners<S, C, P> {
    /// Follows the document and takes targets that have no owner. `permit` is
    /// the life of a permit, which a new owner waits out.
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

    /// The assigner, told of the registrations first.
    fn refresh_assigner(&self, now: Instant) -> MutexGuard<'_, Assigner> {
        let view = self.member.view(now);
        let mut assigner = self.lock();
        assigner.update_membership(now, view);
        assigner
    }

    /// Who owns a target, as last seen.
    pub fn owner(&self, target: &id::Target) -> Option<Owner> {
        self.lock().owner(target)
    }

    /// The targets that this node owns, with what may be granted at present.
    pub fn owned(&self) -> Vec<Owned> {
        let now = self.clock.now();
        self.refresh_assigner(now).owned(now)
    }

    /// Told of each change of the document; carries its revision.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.revision.subscribe()
    }

    /// The revision of the document known.
    pub fn revision(&self) -> u64 {
        self.lock().revision().0
    }

    /// Names the targets that need an owner.
    pub fn set_targets(&self, targets: &[id::Target]) {
        let now = self.clock.now();
        self.lock().set_targets(now, targets);
    }

    /// The document as text with its revision, for a peer.
    pub fn document(&self) -> (u64, String) {
        let assigner = self.lock();
        let text = serde_json::to_string(assigner.document()).unwrap_or_default();
        (assigner.revision().0, text)
    }

    /// Takes a document from a peer where its revision is higher.
    pub fn apply_if_newer(&self, revision: u64, text: &str) -> bool {
        let Ok(document) = serde_json::from_str(text) else {
            return false;
        };
        let now = self.clock.now();
        let changed = self.lock().apply_if_newer(now, Revision(revision), document);
        self.notify_if_changed(changed)
    }

    /// Notes that a node was heard, with the revision of the document that it
    /// knows. Must be called for each exchange with a peer: an owner without
    /// the service goes on only while it hears others, and a new owner learns
    /// from it that its predecessor has stopped.
    pub fn record_peer_revision(&self, node: &id::Node, revision: u64) {
        let now = self.clock.now();
        self.lock().record_peer_revision(now, node, Revision(revision));
    }

    /// Hands all targets over, at a planned stop; returns whether none is
    /// left. Without the service none can be: they are taken over once the
    /// node's lease has lapsed.
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
            // Each in a task of its own: a silent node must hold up nothing.
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
