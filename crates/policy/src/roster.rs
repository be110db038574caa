//! A node's table of members: its own record and the records of the other nodes.

use crate::member::{Record, State};
use hickory_unit::{hash, id};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Instant;

/// Number of nodes per bucket of a summary, up to [`MAX_BUCKETS`].
const NODES_PER_BUCKET: usize = 4;

/// Maximum number of buckets of a summary. Their digests and a record fit into one datagram.
const MAX_BUCKETS: usize = 256;

/// Digests of a table's records by bucket. Two nodes compare them to find the records in which
/// their tables differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Mixed into the digests and new in each summary, so that a collision doesn't hide a
    /// difference for long.
    salt: u64,
    /// A digest for each bucket.
    digests: Vec<u16>,
}

/// State kept for another node.
#[derive(Clone, Debug)]
pub(crate) struct Peer {
    pub(crate) record: Record,
    /// Digest of the record.
    digest: u64,
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
        let is_present = |peer: &Peer| peer.record.state != State::Dead;
        let digest = record.digest();
        let peer = Peer { record, digest, state_since: now, last_reminder: now };
        if is_present(&peer) {
            self.digest ^= digest;
        }
        let before = self.peers.insert(peer.record.node.clone(), peer);
        if let Some(before) = before.filter(is_present) {
            self.digest ^= before.digest;
        }
    }

    /// Returns the digests by bucket of all records that are not dead.
    pub(crate) fn summarize(&self, salt: u64) -> Summary {
        let buckets = self.peers.len().div_ceil(NODES_PER_BUCKET).next_power_of_two();
        self.summarize_into(buckets.min(MAX_BUCKETS), salt)
    }

    fn summarize_into(&self, buckets: usize, salt: u64) -> Summary {
        let mut sums = vec![0; buckets];
        let peers = self.peers.values().filter(|peer| peer.record.state != State::Dead);
        let digests = peers.map(|peer| (&peer.record.node, peer.digest));
        for (node, digest) in digests.chain([(&self.own.node, self.own.digest())]) {
            sums[find_bucket(node, buckets)] ^= digest;
        }
        let digest = |sum: u64| (hash::mix(sum ^ salt) >> (u64::BITS - u16::BITS)) as u16;
        Summary { salt, digests: sums.into_iter().map(digest).collect() }
    }

    /// Returns the records that are not dead and differ from those of the node that sent this
    /// summary, together with the other records of their buckets.
    pub(crate) fn find_differing(&self, summary: &Summary) -> Vec<Record> {
        let buckets = summary.digests.len();
        if buckets == 0 || buckets > MAX_BUCKETS {
            return Vec::new();
        }
        let own = self.summarize_into(buckets, summary.salt);
        let is_differing = |record: &Record| {
            let bucket = find_bucket(&record.node, buckets);
            own.digests[bucket] != summary.digests[bucket]
        };
        let present = self.with_state(|state| state != State::Dead).chain([&self.own]);
        present.filter(|record| is_differing(record)).cloned().collect()
    }

    /// Raises this node's own version above the given one.
    pub(crate) fn raise_own_version(&mut self, incarnation: id::Incarnation, version: u32) {
        self.digest ^= self.own.digest();
        self.own.incarnation = incarnation;
        self.own.version = version + 1;
        self.digest ^= self.own.digest();
    }
}

fn find_bucket(node: &id::Node, buckets: usize) -> usize {
    (hash::hash(node.as_str().bytes()) % buckets as u64) as usize
}
