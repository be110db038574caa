//! Who owns which target: the decisions of one node, without input or output.
//!
//! There is no leader. Each node sees the same document and registrations,
//! works out its rank for a target that lost its owner, and waits by rank, so
//! that one node writes and the rest see it done. The document's
//! compare-and-swap decides between two that write at once.

use crate::allowance::{self, Status};
use crate::member::{Info, Nodes, View};
use crate::owner::{Owned, Owner};
use crate::table::{Document, Holder};
use hickory_store::store::{self, Error, Revision};
use hickory_unit::id;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Times of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// The life of a permit.
    pub permit: Duration,
    /// How long the service's last word on the document counts: two watches
    /// of [`crate::owner`], the widest spread between them, and a slow call.
    pub fresh: Duration,
    /// How long an owner without a valid lease goes on without hearing any
    /// other node.
    pub alone: Duration,
    /// Between the turns of two ranks: longer than a write and the watches
    /// that tell of it take, so that the second rank finds it done.
    pub step: Duration,
    /// Before the first turn for a target without any owner, so that nodes
    /// which start together see each other.
    pub start: Duration,
    /// After this node's own registration, or after the service was away,
    /// before a node counts as lost: all leases may have lapsed at once, and
    /// each node needs a while to register anew.
    pub grace: Duration,
    /// How long a probe's answer counts.
    pub probe: Duration,
    /// How long a node must have been registered before targets move to it.
    pub stable: Duration,
    /// Between two targets that this node moves.
    pub rebalance: Duration,
    /// After this time without a lease a node counts as gone for good, though
    /// nothing else says so. Longer than regions lose each other.
    pub lost: Duration,
    /// How long a target must be off the host list before it is forgotten.
    pub forget: Duration,
}

impl Options {
    /// The times for a life of permits and a time to live of leases.
    pub fn of(permit: Duration, ttl: Duration) -> Self {
        Self {
            permit,
            fresh: Duration::from_secs(3),
            alone: Duration::from_secs(10),
            step: Duration::from_millis(400),
            start: Duration::from_millis(500),
            grace: 2 * ttl,
            probe: Duration::from_secs(3),
            stable: Duration::from_secs(10),
            rebalance: Duration::from_secs(2),
            lost: Duration::from_secs(7_200),
            forget: Duration::from_secs(600),
        }
    }
}

/// A node that was registered and is not any more.
#[derive(Clone, Debug)]
pub(crate) struct Missing {
    pub(crate) info: Info,
    pub(crate) since: Instant,
    /// Whether this node and that one were registered at the same time, so
    /// that it knows it is not the only one.
    pub(crate) met: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Probed {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) at: Instant,
    pub(crate) alive: bool,
}

/// A target of this node, since when.
#[derive(Clone, Debug)]
pub(crate) struct Taken {
    pub(crate) epoch: id::Epoch,
    /// When this node learnt of it.
    pub(crate) at: Instant,
    /// The revision that told it.
    pub(crate) revision: Revision,
    /// Former owners that have stopped granting, since when at the latest.
    pub(crate) stopped: BTreeMap<Holder, Instant>,
}

/// The ownership decisions of one node.
#[derive(Debug)]
pub struct Assigner {
    pub(crate) me: Info,
    pub(crate) options: Options,
    pub(crate) document: Document,
    pub(crate) revision: Revision,
    /// The service has no document.
    pub(crate) absent: bool,
    pub(crate) status: Status,
    pub(crate) targets: BTreeSet<id::Target>,
    pub(crate) nodes: Arc<Nodes>,
    pub(crate) registered: BTreeMap<Holder, Instant>,
    pub(crate) missing: BTreeMap<id::Node, Missing>,
    pub(crate) contact_since: Option<Instant>,
    pub(crate) free: BTreeMap<id::Target, Instant>,
    pub(crate) unlisted: BTreeMap<id::Target, Instant>,
    pub(crate) probes: BTreeMap<id::Node, Probed>,
    /// Probes that are under way, since when.
    pub(crate) probing: BTreeMap<id::Node, Instant>,
    /// The revisions that other nodes know.
    pub(crate) heard: BTreeMap<id::Node, Revision>,
    pub(crate) taken: BTreeMap<id::Target, Taken>,
    /// Targets that a write gives away whose fate is not known.
    pub(crate) giving: BTreeSet<id::Target>,
    /// A write got no answer and may still take effect.
    pub(crate) unsettled: bool,
    pub(crate) releasing: bool,
    pub(crate) moved_at: Option<Instant>,
}

impl Assigner {
    /// A node that knows nothing yet.
    pub fn open(me: Info, options: Options) -> Self {
        Self {
            me,
            options,
            document: Document::default(),
            revision: Revision(0),
            absent: false,
            status: Status::default(),
            targets: BTreeSet::new(),
            nodes: Arc::default(),
            registered: BTreeMap::new(),
            missing: BTreeMap::new(),
            contact_since: None,
            free: BTreeMap::new(),
            unlisted: BTreeMap::new(),
            probes: BTreeMap::new(),
            probing: BTreeMap::new(),
            heard: BTreeMap::new(),
            taken: BTreeMap::new(),
            giving: BTreeSet::new(),
            unsettled: false,
            releasing: false,
            moved_at: None,
        }
    }

    /// Who owns a target.
    pub fn owner(&self, target: &id::Target) -> Option<Owner> {
        let entry = self.document.owners.get(target)?;
        Some(Owner { node: entry.holder.node.clone(), epoch: entry.epoch })
    }

    /// The document known.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// The revision of the document known.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// The targets of this node, with what may be granted at `now`.
    pub fn owned(&mut self, now: Instant) -> Vec<Owned> {
        self.tick(now);
        let mine = self.taken.iter().filter(|(target, _)| !self.giving.contains(*target));
        mine.filter_map(|(target, taken)| {
            let entry = self.document.owners.get(target)?;
            let allowance = allowance::decide(self, now, entry, taken);
            Some(Owned { target: target.clone(), epoch: taken.epoch, allowance })
        })
        .collect()
    }

    /// Whether no target is this node's.
    pub fn holds_nothing(&self) -> bool {
        self.taken.is_empty()
    }

    /// Names the targets on the host list.
    pub fn set_targets(&mut self, now: Instant, targets: &[id::Target]) {
        self.targets = targets.iter().cloned().collect();
        for target in self.document.owners.keys() {
            if self.targets.contains(target) {
                self.unlisted.remove(target);
            } else {
                self.unlisted.entry(target.clone()).or_insert(now);
            }
        }
    }

    /// From now on all targets of this node are given away.
    pub fn release(&mut self) {
        self.releasing = true;
    }

    /// Takes what is known of the registrations.
    pub fn see(&mut self, now: Instant, view: View) {
        self.status.lease = view.is_lease_valid;
        self.status.registered_at = view.registered_at;
        self.contact_since = view.contact_since;
        self.me.draining = view.draining;
        let nodes = std::mem::replace(&mut self.nodes, view.nodes);
        let met = nodes.contains_key(&self.me.node);
        for (node, info) in nodes.iter().filter(|(node, _)| !self.nodes.contains_key(*node)) {
            let missing = Missing { info: info.clone(), since: now, met };
            self.missing.insert(node.clone(), missing);
        }
        self.missing.retain(|node, missing| {
            let recent = now < missing.since + self.options.lost;
            recent && !self.nodes.contains_key(node) && !self.document.left(&missing.info)
        });
        let holders: BTreeSet<_> = self.nodes.values().map(Holder::of).collect();
        self.registered.retain(|holder, _| holders.contains(holder));
        for holder in holders {
            self.registered.entry(holder).or_insert(now);
        }
    }

    /// Takes the document from the service, whose call was sent at `sent`.
    pub fn read(&mut self, now: Instant, sent: Instant, entry: Option<&store::Entry>) -> bool {
        let Some(entry) = entry else {
            self.absent = true;
            self.status.read_at = Some(sent);
            return false;
        };
        let Ok(document) = serde_json::from_str(&entry.value) else {
            return false;
        };
        self.absent = false;
        // A replica that lags tells nothing of the present.
        if entry.revision >= self.revision {
            self.status.read_at = Some(sent);
        }
        self.adopt(now, entry.revision, document)
    }

    /// Notes that the service confirmed the document known.
    pub fn confirm(&mut self, sent: Instant) {
        self.status.read_at = Some(sent);
    }

    /// Takes the document from a peer.
    pub fn apply_if_newer(&mut self, now: Instant, revision: Revision, document: Document) -> bool {
        self.adopt(now, revision, document)
    }

    /// Notes that a node was heard, with the revision that it knows.
    pub fn record_peer_revision(&mut self, now: Instant, node: &id::Node, revision: Revision) {
        self.status.heard_at = Some(now);
        self.heard.insert(node.clone(), revision);
    }

    /// Takes the answer to a probe.
    pub fn probed(&mut self, now: Instant, info: &Info, alive: bool) {
        self.probing.remove(&info.node);
        let probed = Probed { incarnation: info.incarnation, at: now, alive };
        self.probes.insert(info.node.clone(), probed);
    }

    /// Adopts a document with a higher revision only: nothing reverts.
    fn adopt(&mut self, now: Instant, revision: Revision, document: Document) -> bool {
        if revision <= self.revision {
            return false;
        }
        // Writes under the condition of an older revision can't take effect.
        self.settle();
        self.revision = revision;
        self.document = document;
        let me = Holder::of(&self.me);
        let mine = self.document.owners.iter().filter(|(_, entry)| entry.holder == me);
        let mine: BTreeMap<_, _> = mine.map(|(target, entry)| (target, entry.epoch)).collect();
        self.taken.retain(|target, taken| mine.get(target) == Some(&taken.epoch));
        for (target, epoch) in mine {
            let taken = Taken { epoch, at: now, revision, stopped: BTreeMap::new() };
            self.taken.entry(target.clone()).or_insert(taken);
        }
        true
    }

    /// Notes the time, and which former owners have stopped by now. Once known
    /// it stays known, whatever becomes of them later.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.status.tick(now);
        let mut found = Vec::new();
        for (target, taken) in &self.taken {
            let before = self.document.owners.get(target).map(|entry| &entry.before);
            let open = before.into_iter().flatten().filter(|h| !taken.stopped.contains_key(*h));
            let stopped = open.filter(|holder| allowance::has_stopped(self, now, holder, taken));
            found.extend(stopped.map(|holder| (target.clone(), holder.clone())));
        }
        for (target, holder) in found {
            if let Some(taken) = self.taken.get_mut(&target) {
                taken.stopped.insert(holder, now);
            }
        }
    }

    /// Takes the answer to the write of a plan, sent at `sent`.
    pub fn wrote(
        &mut self,
        now: Instant,
        sent: Instant,
        result: Result<Revision, Error>,
        document: Document,
    ) -> bool {
        match result {
            Ok(revision) => {
                self.absent = false;
                self.status.read_at = Some(sent);
                self.adopt(now, revision, document)
            }
            Err(Error::Conflict(entry)) => {
                self.settle();
                self.read(now, sent, entry.as_ref())
            }
            // It may yet take effect: what it gives away stays given, and the
            // next plan writes under the same condition, which settles it.
            Err(Error::Unknown(_)) => {
                self.unsettled = true;
                false
            }
            Err(Error::NotDone(_) | Error::LeaseLapsed) => {
                if !self.unsettled {
                    self.settle();
                }
                false
            }
        }
    }

    fn settle(&mut self) {
        self.giving.clear();
        self.unsettled = false;
    }
}
