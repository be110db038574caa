//! What nodes tell each other of a node: where it is, what it does, and whether
//! it is alive.

use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Whether a node is alive, as far as is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum State {
    /// It answers.
    Alive,
    /// It did not answer a probe.
    Suspect,
    /// It did not refute the suspicion.
    Dead,
}

/// How much a node can do for others, in tenths of a processor core.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Capacity(pub u8);

impl Capacity {
    /// The capacity of a part of a core, rounded up.
    pub fn from_cores(cores: f64) -> Self {
        Self((cores * 10.0).ceil().clamp(0.0, f64::from(u8::MAX)) as u8)
    }
}

/// What a node says of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Where it receives datagrams.
    pub peer_address: SocketAddr,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where peers fetch what they miss.
    pub sync_address: SocketAddr,
    /// Whether callers should be sent to it.
    pub is_ready: bool,
    /// Whether it has run long enough to have been told what runs where.
    pub is_synced: bool,
    /// Whether the store is out of its reach.
    pub is_store_unreachable: bool,
    /// What it can do for others.
    pub capacity: Capacity,
}

/// A statement about a node. Of two about the same node the greater rank holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The node.
    pub node: id::Node,
    /// Its process; a later one is greater.
    pub incarnation: id::Incarnation,
    /// Raised by the node itself with each change and each refutation.
    pub version: u32,
    /// Whether it is alive.
    pub state: State,
    /// What it said of itself.
    pub contact: Contact,
}

impl Record {
    /// By which the later of two statements is told.
    pub fn rank(&self) -> (id::Incarnation, u32, State) {
        (self.incarnation, self.version, self.state)
    }

    /// A number by which tables of records are compared.
    pub(crate) fn digest(&self) -> u64 {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.node.as_str().as_bytes());
        hasher.update(&self.incarnation.0.to_le_bytes());
        hasher.update(&self.version.to_le_bytes());
        hasher.update(&[u8::from(self.state == State::Alive)]);
        u64::from_le_bytes(*hasher.finalize().as_bytes().first_chunk().unwrap_or(&[0; 8]))
    }
}
