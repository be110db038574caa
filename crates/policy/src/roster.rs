//! A node's table of members: its own record and the records of the other nodes.

use crate::member::{Record, State};
use hickory_unit::id;
use std::collections::BTreeMap;
use std::time::Instant;

/// State kept for another node.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) record: Record,
    /// When this node learned of the current state.
    pub(crate) state_since: Instant,
    /// When the node was last asked to refute a suspicion.
    pub(crate) last_reminder: Instant,
}

/// Number of other nodes in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// Nodes that are alive.
    pub alive: usize,
    /// Nodes that are suspected.
    pub suspect: usize,
    /// Nodes that are remembered as dead.
    pub dead: usize,
}

/// The records of all nodes, one per node.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    pub(crate) own: Record,
    /// Ordered, so that the same seed and messages lead to the same choices.
    pub(crate) peers: BTreeMap<id::Node, Peer>,
    /// Digest of all records that are not dead; equal digests mean equal tables.
    pub(crate) digest: u64,
}

impl Roster {
    pub(crate) fn new(own: Record) -> Self {
        let digest = own.digest();
        Self { own, peers: BTreeMap::new(), digest }
    }

    /// Returns the records of other nodes in a wanted state.
    pub(crate) fn with_state(
        &self,
        is_wanted: impl Fn(State) -> bool,
    ) -> impl Iterator<Item = &Record> {
        let records = self.peers.values().map(|peer| &peer.record);
        records.filter(move |record| is_wanted(record.state))
    }

    /// Returns the records of all nodes that are not dead.
    pub(crate) fn present(&self) -> Vec<Record> {
        let others = self.with_state(|state| state != State::Dead);
        others.chain([&self.own]).cloned().collect()
    }

    /// Returns the record of a node that just sent a message if its state is not alive, so that the
    /// node can refute it.
    pub(crate) fn find_refutable(&self, node: &id::Node) -> Option<Record> {
        let record = self.peers.get(node).map(|peer| &peer.record)?;
        (record.state != State::Alive).then(|| record.clone())
    }

    /// Returns the record of a node.
    pub(crate) fn get(&self, node: &id::Node) -> Option<&Record> {
        match *node == self.own.node {
            true => Some(&self.own),
            false => self.peers.get(node).map(|peer| &peer.record),
        }
    }

    pub(crate) fn count(&self) -> StateCounts {
        let mut count = StateCounts::default();
        for peer in self.peers.values() {
            match peer.record.state {
                State::Alive => count.alive += 1,
                State::Suspect => count.suspect += 1,
                State::Dead => count.dead += 1,
            }
        }
        count
    }

    /// Replaces the record of another node.
    pub(crate) fn insert(&mut self, now: Instant, record: Record) {
        let is_present = |record: &Record| record.state != State::Dead;
        if is_present(&record) {
            self.digest ^= record.digest();
        }
        let peer = Peer { record, state_since: now, last_reminder: now };
        let before = self.peers.insert(peer.record.node.clone(), peer);
        if let Some(before) = before.filter(|before| is_present(&before.record)) {
            self.digest ^= before.record.digest();
        }
    }

    /// Raises this node's own version above the given one.
    pub(crate) fn raise_own_version(&mut self, incarnation: id::Incarnation, version: u32) {
        self.digest ^= self.own.digest();
        self.own.incarnation = incarnation;
        self.own.version = version + 1;
        self.digest ^= self.own.digest();
    }
}
