//! Ownership of targets: one document, changed by compare-and-swap.

use crate::member::{Info, Member};
use hickory_platform::store::{Expect, Revision, Store, Write};
use hickory_unit::clock::Clock;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::future::Future;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The key of the ownership document.
pub const KEY: &str = "owners";

/// Asks over a new connection whether a node still runs.
pub trait Probe: Clone + Send + Sync + 'static {
    /// Whether the node answered. Judges the path with a new connection: an
    /// old one may be silent for good while the node runs.
    fn alive(&self, node: &Info) -> impl Future<Output = bool> + Send;
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
pub enum Terms {
    /// Nothing before the time given: permits of the predecessor may live.
    Wait(Instant),
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
    pub terms: Terms,
}

/// The ownership document.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Document {
    /// The owners by target.
    pub owners: BTreeMap<id::Target, Owner>,
}

#[derive(Debug, Default)]
struct Shared {
    document: Document,
    revision: Revision,
    targets: BTreeSet<id::Target>,
    taken: BTreeMap<id::Target, Instant>,
    released: bool,
}

/// The running ownership.
#[derive(Clone, Debug)]
pub struct Owners<S, C, P> {
    store: S,
    clock: C,
    member: Member<S, C>,
    probe: P,
    permit: Duration,
    shared: Arc<Mutex<Shared>>,
    changed: watch::Sender<u64>,
}

impl<S: Store, C: Clock, P: Probe> Owners<S, C, P> {
    /// Follows the document and takes ownerless targets. `permit` is the life
    /// of a permit, which a new owner waits out.
    pub fn spawn(store: S, clock: C, member: Member<S, C>, probe: P, permit: Duration) -> Self {
        let shared = Arc::default();
        let (changed, _) = watch::channel(0);
        let owners = Self { store, clock, member, probe, permit, shared, changed };
        tokio::spawn(owners.clone().follow());
        owners
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Who owns a target, as last seen.
    pub fn owner(&self, target: &id::Target) -> Option<Owner> {
        self.lock().document.owners.get(target).cloned()
    }

    /// The targets that this node owns, with what may be granted at present.
    pub fn owned(&self) -> Vec<Owned> {
        let now = self.clock.now();
        let me = self.member.me().node;
        let confirmed = self.member.confirmed(now);
        let shared = self.lock();
        let mine = shared.document.owners.iter().filter(|(_, owner)| owner.node == me);
        mine.map(|(target, owner)| {
            let until = shared.taken.get(target).map(|taken| *taken + self.permit);
            let terms = match until {
                Some(until) if now < until => Terms::Wait(until),
                _ if confirmed => Terms::Full,
                _ => Terms::Half,
            };
            Owned { target: target.clone(), epoch: owner.epoch, terms }
        })
        .collect()
    }

    /// Told of each change of the document; carries its revision.
    pub fn changed(&self) -> watch::Receiver<u64> {
        self.changed.subscribe()
    }

    /// The revision of the document known.
    pub fn revision(&self) -> u64 {
        self.lock().revision.0
    }

    /// Names the targets that need an owner.
    pub fn set_targets(&self, targets: &[id::Target]) {
        self.lock().targets = targets.iter().cloned().collect();
    }

    /// The document as text with its revision, for a peer.
    pub fn document(&self) -> (u64, String) {
        let shared = self.lock();
        (shared.revision.0, serde_json::to_string(&shared.document).unwrap_or_default())
    }

    /// Takes a document from a peer where its revision is higher.
    pub fn offer(&self, revision: u64, text: &str) -> bool {
        let Ok(document) = serde_json::from_str(text) else {
            return false;
        };
        self.apply(Revision(revision), document)
    }

    /// Notes that a peer was heard, with the revision of the document it knows.
    pub fn heard(&self, node: &id::Node, revision: u64) {
        let _ = (node, revision);
    }

    /// Hands all targets over; returns whether none is left.
    pub async fn release_all(&self) -> bool {
        self.lock().released = true;
        for _ in 0..20 {
            if self.owned().is_empty() {
                return true;
            }
            self.step().await;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        false
    }

    fn apply(&self, revision: Revision, document: Document) -> bool {
        let now = self.clock.now();
        let me = self.member.me().node;
        {
            let mut shared = self.lock();
            if revision <= shared.revision {
                return false;
            }
            for (target, owner) in &document.owners {
                if owner.node == me && shared.document.owners.get(target) != Some(owner) {
                    shared.taken.insert(target.clone(), now);
                }
            }
            shared.document = document;
            shared.revision = revision;
        }
        self.changed.send_replace(revision.0);
        true
    }

    async fn follow(self) {
        loop {
            self.step().await;
            let after = self.lock().revision;
            if self.store.watch(KEY, after, Duration::from_millis(500)).await.is_err() {
                tokio::time::sleep(Duration::from_millis(300)).await;
            }
        }
    }

    async fn step(&self) {
        let Ok(entry) = self.store.get(KEY).await else {
            return;
        };
        if let Some(entry) = &entry
            && let Ok(document) = serde_json::from_str(&entry.value)
        {
            self.apply(entry.revision, document);
        }
        let nodes = self.member.nodes();
        let me = self.member.me().node;
        if !nodes.contains_key(&me) {
            return;
        }
        let (mut document, targets, released) = {
            let shared = self.lock();
            (shared.document.clone(), shared.targets.clone(), shared.released)
        };
        let before = document.clone();
        for target in targets {
            let owner = document.owners.get(&target);
            let mine = owner.is_some_and(|owner| owner.node == me);
            let free = owner.is_none_or(|owner| !nodes.contains_key(&owner.node));
            let epoch = id::Epoch(owner.map_or(0, |owner| owner.epoch.0) + 1);
            if let Some(owner) = owner
                && free
                && let Some(info) = nodes.get(&owner.node)
                && self.probe.alive(info).await
            {
                continue;
            }
            if free && !released {
                document.owners.insert(target, Owner { node: me.clone(), epoch });
            } else if mine
                && released
                && let Some(heir) = nodes.values().find(|info| info.node != me && !info.draining)
            {
                document.owners.insert(target, Owner { node: heir.node.clone(), epoch });
            }
        }
        if document == before {
            return;
        }
        let write = Write {
            key: KEY.into(),
            value: serde_json::to_string(&document).ok(),
            expect: entry.map_or(Expect::Absent, |entry| Expect::At(entry.revision)),
            lease: None,
        };
        if let Ok(revision) = self.store.write(write).await {
            self.apply(revision, document);
        }
    }
}
