//! Assignment of targets to owners: the decisions of one node, without input or output.
//!
//! There is no leader. Each node sees the same document and registrations, computes its
//! rank for a target that lost its owner, and waits in proportion to its rank, so that
//! one node writes and the others see the result. If two nodes write at once, the
//! compare-and-swap on the document decides.

use crate::allowance::{self, Status};
use crate::member::{Info, Nodes, View};
use crate::owner::{Owned, Owner};
use crate::table::{Document, Holder};
use hickory_store::store::{self, Error, Revision};
use hickory_unit::id;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Timing parameters of ownership.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// Lifetime of a permit.
    pub permit_ttl: Duration,
    /// How long a confirmation of the document by the service counts: two watches of
    /// [`crate::owner`], the largest jitter between them, and a slow call.
    pub max_document_age: Duration,
    /// How long an owner without a valid lease continues without contact with any other
    /// node.
    pub isolation_timeout: Duration,
    /// Delay between the takeover attempts of two consecutive ranks. It is longer than a
    /// write and the watches that report it, so that the second rank sees the result of
    /// the first.
    pub rank_delay: Duration,
    /// Delay before the first takeover of a target that never had an owner, so that nodes
    /// which start together see each other.
    pub startup_delay: Duration,
    /// Time after this node's own registration, or after an outage of the service, before
    /// another node counts as lost. All leases may have expired at once, and nodes need
    /// time to register again.
    pub grace_period: Duration,
    /// How long the result of a probe counts.
    pub probe_validity: Duration,
    /// How long a node must have been registered before targets are moved to it.
    pub min_registered_time: Duration,
    /// Minimum interval between two targets that this node moves.
    pub move_interval: Duration,
    /// After this time without a lease a node counts as gone, even if nothing else shows
    /// it. It is longer than network partitions between regions last.
    pub lost_timeout: Duration,
    /// How long a target must be off the host list before it is removed from the
    /// document.
    pub forget_delay: Duration,
}

impl Options {
    /// Returns the parameters for a lifetime of permits and a time to live of leases.
    pub fn new(permit_ttl: Duration, ttl: Duration) -> Self {
        Self {
            permit_ttl,
            max_document_age: Duration::from_secs(3),
            isolation_timeout: Duration::from_secs(10),
            rank_delay: Duration::from_millis(400),
            startup_delay: Duration::from_millis(500),
            grace_period: 2 * ttl,
            probe_validity: Duration::from_secs(3),
            min_registered_time: Duration::from_secs(10),
            move_interval: Duration::from_secs(2),
            lost_timeout: Duration::from_secs(7_200),
            forget_delay: Duration::from_secs(600),
        }
    }
}

/// A node that was registered and no longer is.
#[derive(Clone, Debug)]
pub(crate) struct Missing {
    pub(crate) info: Info,
    pub(crate) since: Instant,
    /// Whether this node and the missing one were registered at the same time, so that
    /// the missing one knows of other nodes.
    pub(crate) has_met: bool,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct ProbeResult {
    pub(crate) incarnation: id::Incarnation,
    pub(crate) at: Instant,
    pub(crate) is_alive: bool,
}

/// A target that this node owns according to the document.
#[derive(Clone, Debug)]
pub(crate) struct Acquisition {
    pub(crate) epoch: id::Epoch,
    /// When this node learned of it.
    pub(crate) at: Instant,
    /// The revision of the document that assigned it.
    pub(crate) revision: Revision,
    /// Former owners that have certainly stopped granting, with the time at which this
    /// node learned of it.
    pub(crate) stopped: BTreeMap<Holder, Instant>,
}

/// The ownership decisions of one node.
#[derive(Debug)]
pub struct Assigner {
    pub(crate) info: Info,
    pub(crate) options: Options,
    pub(crate) document: Document,
    pub(crate) revision: Revision,
    /// Whether the service was found to have no document.
    pub(crate) is_absent: bool,
    pub(crate) status: Status,
    pub(crate) targets: BTreeSet<id::Target>,
    pub(crate) nodes: Arc<Nodes>,
    pub(crate) registered_since: BTreeMap<Holder, Instant>,
    pub(crate) missing: BTreeMap<id::Node, Missing>,
    pub(crate) contact_since: Option<Instant>,
    pub(crate) unowned_since: BTreeMap<id::Target, Instant>,
    pub(crate) unlisted_since: BTreeMap<id::Target, Instant>,
    pub(crate) probe_results: BTreeMap<id::Node, ProbeResult>,
    /// Probes without a result yet, with their start times.
    pub(crate) probes_in_flight: BTreeMap<id::Node, Instant>,
    /// The revisions of the document that other nodes know.
    pub(crate) peer_revisions: BTreeMap<id::Node, Revision>,
    pub(crate) acquired: BTreeMap<id::Target, Acquisition>,
    /// Targets that an unresolved write assigns to other nodes.
    pub(crate) transferring: BTreeSet<id::Target>,
    /// Whether a write got no reply and may still take effect.
    pub(crate) has_unresolved_write: bool,
    pub(crate) is_releasing: bool,
    pub(crate) last_move_at: Option<Instant>,
}

impl Assigner {
    /// Creates an assigner that knows no document and no other node.
    pub fn new(info: Info, options: Options) -> Self {
        Self {
            info,
            options,
            document: Document::default(),
            revision: Revision(0),
            is_absent: false,
            status: Status::default(),
            targets: BTreeSet::new(),
            nodes: Arc::default(),
            registered_since: BTreeMap::new(),
            missing: BTreeMap::new(),
            contact_since: None,
            unowned_since: BTreeMap::new(),
            unlisted_since: BTreeMap::new(),
            probe_results: BTreeMap::new(),
            probes_in_flight: BTreeMap::new(),
            peer_revisions: BTreeMap::new(),
            acquired: BTreeMap::new(),
            transferring: BTreeSet::new(),
            has_unresolved_write: false,
            is_releasing: false,
            last_move_at: None,
        }
    }

    /// Returns the owner of a target.
    pub fn owner(&self, target: &id::Target) -> Option<Owner> {
        let entry = self.document.owners.get(target)?;
        Some(Owner { node: entry.holder.node.clone(), epoch: entry.epoch })
    }

    /// Returns the known document.
    pub fn document(&self) -> &Document {
        &self.document
    }

    /// Returns the revision of the known document.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the targets of this node with their allowances at `now`.
    pub fn owned(&mut self, now: Instant) -> Vec<Owned> {
        self.tick(now);
        let owned = self.acquired.iter().filter(|(target, _)| !self.transferring.contains(*target));
        owned
            .filter_map(|(target, acquisition)| {
                let entry = self.document.owners.get(target)?;
                let allowance = allowance::decide(self, now, entry, acquisition);
                Some(Owned { target: target.clone(), epoch: acquisition.epoch, allowance })
            })
            .collect()
    }

    /// Whether this node owns no target.
    pub fn has_no_targets(&self) -> bool {
        self.acquired.is_empty()
    }

    /// Sets the targets on the host list.
    pub fn set_targets(&mut self, now: Instant, targets: &[id::Target]) {
        self.targets = targets.iter().cloned().collect();
        for target in self.document.owners.keys() {
            if self.targets.contains(target) {
                self.unlisted_since.remove(target);
            } else {
                self.unlisted_since.entry(target.clone()).or_insert(now);
            }
        }
    }

    /// Makes all later plans hand over the targets of this node.
    pub fn release(&mut self) {
        self.is_releasing = true;
    }

    /// Updates the state of the membership.
    pub fn update_membership(&mut self, now: Instant, view: View) {
        self.status.is_lease_valid = view.is_lease_valid;
        self.status.registered_at = view.registered_at;
        self.contact_since = view.contact_since;
        self.info.draining = view.draining;
        let nodes = std::mem::replace(&mut self.nodes, view.nodes);
        let has_met = nodes.contains_key(&self.info.node);
        for (node, info) in nodes.iter().filter(|(node, _)| !self.nodes.contains_key(*node)) {
            let missing = Missing { info: info.clone(), since: now, has_met };
            self.missing.insert(node.clone(), missing);
        }
        self.missing.retain(|node, missing| {
            let is_recent = now < missing.since + self.options.lost_timeout;
            is_recent && !self.nodes.contains_key(node) && !self.document.has_left(&missing.info)
        });
        let holders: BTreeSet<_> = self.nodes.values().map(Holder::of).collect();
        self.registered_since.retain(|holder, _| holders.contains(holder));
        for holder in holders {
            self.registered_since.entry(holder).or_insert(now);
        }
    }

    /// Processes the document from the service, read by a call that was sent at `sent`;
    /// returns whether it changed.
    pub fn on_read(&mut self, now: Instant, sent: Instant, entry: Option<&store::Entry>) -> bool {
        let Some(entry) = entry else {
            self.is_absent = true;
            self.status.confirmed_at = Some(sent);
            return false;
        };
        let Ok(document) = serde_json::from_str(&entry.value) else {
            return false;
        };
        self.is_absent = false;
        // A read from a lagging replica doesn't confirm the document.
        if entry.revision >= self.revision {
            self.status.confirmed_at = Some(sent);
        }
        self.adopt(now, entry.revision, document)
    }

    /// Records that the service confirmed the known document.
    pub fn confirm_document(&mut self, sent: Instant) {
        self.status.confirmed_at = Some(sent);
    }

    /// Applies the document from a peer if its revision is higher.
    pub fn apply_if_newer(&mut self, now: Instant, revision: Revision, document: Document) -> bool {
        self.adopt(now, revision, document)
    }

    /// Records contact with a node and the revision of the document that it knows.
    pub fn record_peer_revision(&mut self, now: Instant, node: &id::Node, revision: Revision) {
        self.status.last_peer_contact_at = Some(now);
        self.peer_revisions.insert(node.clone(), revision);
    }

    /// Processes the result of a probe.
    pub fn on_probe_result(&mut self, now: Instant, info: &Info, is_alive: bool) {
        self.probes_in_flight.remove(&info.node);
        let result = ProbeResult { incarnation: info.incarnation, at: now, is_alive };
        self.probe_results.insert(info.node.clone(), result);
    }

    /// Adopts a document only if its revision is higher, so that ownership never reverts.
    fn adopt(&mut self, now: Instant, revision: Revision, document: Document) -> bool {
        if revision <= self.revision {
            return false;
        }
        // Writes under the condition of an older revision can't take effect.
        self.resolve_write();
        self.revision = revision;
        self.document = document;
        let local = Holder::of(&self.info);
        let owned = self.document.owners.iter().filter(|(_, entry)| entry.holder == local);
        let owned: BTreeMap<_, _> = owned.map(|(target, entry)| (target, entry.epoch)).collect();
        self.acquired.retain(|target, acquired| owned.get(target) == Some(&acquired.epoch));
        for (target, epoch) in owned {
            let acquisition = Acquisition { epoch, at: now, revision, stopped: BTreeMap::new() };
            self.acquired.entry(target.clone()).or_insert(acquisition);
        }
        true
    }

    /// Records the time, and which former owners have stopped by now. A former owner
    /// stays recorded as stopped, whatever it does later.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.status.tick(now);
        let mut found = Vec::new();
        for (target, acquisition) in &self.acquired {
            let before = self.document.owners.get(target).map(|entry| &entry.before);
            let candidates =
                before.into_iter().flatten().filter(|h| !acquisition.stopped.contains_key(*h));
            let stopped =
                candidates.filter(|holder| allowance::has_stopped(self, now, holder, acquisition));
            found.extend(stopped.map(|holder| (target.clone(), holder.clone())));
        }
        for (target, holder) in found {
            if let Some(acquisition) = self.acquired.get_mut(&target) {
                acquisition.stopped.insert(holder, now);
            }
        }
    }

    /// Processes the reply to the write of a plan that was sent at `sent`.
    pub fn on_write_result(
        &mut self,
        now: Instant,
        sent: Instant,
        result: Result<Revision, Error>,
        document: Document,
    ) -> bool {
        match result {
            Ok(revision) => {
                self.is_absent = false;
                self.status.confirmed_at = Some(sent);
                self.adopt(now, revision, document)
            }
            Err(Error::Conflict(entry)) => {
                self.resolve_write();
                self.on_read(now, sent, entry.as_ref())
            }
            // The write may still take effect: this node keeps granting nothing for the
            // targets that the write transfers. The next plan writes under the same
            // condition, which resolves it.
            Err(Error::Unknown(_)) => {
                self.has_unresolved_write = true;
                false
            }
            Err(Error::NotDone(_) | Error::LeaseLapsed) => {
                if !self.has_unresolved_write {
                    self.resolve_write();
                }
                false
            }
        }
    }

    fn resolve_write(&mut self) {
        self.transferring.clear();
        self.has_unresolved_write = false;
    }
}
