//! Records about nodes that are exchanged by gossip: addresses, capacity and liveness.

use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Liveness of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// The node answers probes.
    Alive,
    /// The node did not answer a probe.
    Suspect,
    /// The node did not refute the suspicion in time.
    Dead,
}

/// Capacity of a node to serve others, in tenths of a processor core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Capacity(pub u8);

impl Capacity {
    /// Converts a number of cores, rounding up.
    pub fn from_cores(cores: f64) -> Self {
        Self((cores * 10.0).ceil().clamp(0.0, f64::from(u8::MAX)) as u8)
    }
}

/// What a node publishes about itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Address for gossip datagrams.
    pub peer_address: SocketAddr,
    /// Address that callers connect to.
    pub caller_address: SocketAddr,
    /// Address where peers fetch missing documents.
    pub sync_address: SocketAddr,
    /// Whether callers should be sent to the node.
    pub is_ready: bool,
    /// Whether the node has run long enough to know what runs where.
    pub is_synced: bool,
    /// Whether the node can't reach the store.
    pub is_store_unreachable: bool,
    /// Capacity to serve others.
    pub capacity: Capacity,
}

/// A statement about a node. Of two statements about the same node, the one with the higher rank is
/// valid.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Name of the node.
    pub node: id::Node,
    /// Incarnation of its process; a later process has a greater one.
    pub incarnation: id::Incarnation,
    /// Incremented by the node itself with each change and each refutation.
    pub version: u32,
    /// Liveness of the node.
    pub state: State,
    /// What the node published about itself.
    pub contact: Contact,
}

impl Record {
    /// Returns the order of statements about the same node: the later one is greater.
    pub fn rank(&self) -> (id::Incarnation, u32, State) {
        (self.incarnation, self.version, self.state)
    }

    /// Returns a hash of the record. The digest of a table is the XOR of these.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.node.as_str().as_bytes());
        hasher.update(&self.incarnation.0.to_le_bytes());
        hasher.update(&self.version.to_le_bytes());
        hasher.update(&[u8::from(self.state == State::Alive)]);
        u64::from_le_bytes(*hasher.finalize().as_bytes().first_chunk().unwrap_or(&[0; 8]))
    }
}
