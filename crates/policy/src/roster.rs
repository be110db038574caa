//! The table of members that a node keeps: its own record and those of others.

use crate::member::{Record, State};
use hickory_unit::id;
use std::collections::BTreeMap;
use std::time::Instant;

/// What is known of another node.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) record: Record,
    /// When its state was learned.
    pub(crate) state_since: Instant,
    /// When it was last asked to refute a suspicion.
    pub(crate) last_reminder: Instant,
}

/// How many other nodes are in each state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StateCounts {
    /// That are alive.
    pub alive: usize,
    /// That are suspected.
    pub suspect: usize,
    /// That are remembered as dead.
    pub dead: usize,
}

/// Records of nodes, one each.
#[derive(Clone, Debug)]
pub(crate) struct Roster {
    pub(crate) own: Record,
    /// Ordered, so that the same seed and the same messages give the same choices.
    pub(crate) peers: BTreeMap<id::Node, Peer>,
    /// Of all that are not dead: equal ones hold the same.
    pub(crate) digest: u64,
}

impl Roster {
    pub(crate) fn new(own: Record) -> Self {
        let digest = own.digest();
        Self { own, peers: BTreeMap::new(), digest }
    }

    /// Other nodes in a state that passes.
    pub(crate) fn with_state(
        &self,
        is_wanted: impl Fn(State) -> bool,
    ) -> impl Iterator<Item = &Record> {
        let records = self.peers.values().map(|peer| &peer.record);
        records.filter(move |record| is_wanted(record.state))
    }

    /// The records of all that are not dead.
    pub(crate) fn present(&self) -> Vec<Record> {
        let others = self.with_state(|state| state != State::Dead);
        others.chain([&self.own]).cloned().collect()
    }

    /// What is held of a node that is heard, where that is not that it is alive: it
    /// refutes that.
    pub(crate) fn find_refutable(&self, node: &id::Node) -> Option<Record> {
        let record = self.peers.get(node).map(|peer| &peer.record)?;
        (record.state != State::Alive).then(|| record.clone())
    }

    /// The record of a node.
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

    /// Takes another node's record in place of the one before.
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

    /// Raises this node's own record above a version.
    pub(crate) fn raise_own_version(&mut self, incarnation: id::Incarnation, version: u32) {
        self.digest ^= self.own.digest();
        self.own.incarnation = incarnation;
        self.own.version = version + 1;
        self.digest ^= self.own.digest();
    }
}
