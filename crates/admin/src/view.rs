//! The documents that the API answers with.

use hickory_unit::{id, size};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The answer to an accepted note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The version that the note made.
    pub version: id::Release,
    /// The operation's id.
    pub operation: String,
    /// Set where the same operation had been accepted before.
    pub repeated: bool,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its name.
    pub node: id::Node,
    /// Its availability zone.
    pub zone: id::Zone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// The version of the configuration it has in force.
    pub version: id::Release,
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether the answering node has a link to it.
    pub reachable: bool,
    /// Targets it owns.
    pub owned: usize,
}

/// A target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Target {
    /// Its name.
    pub target: id::Target,
    /// Its availability zone.
    pub zone: id::Zone,
    /// `engine`, or the name of the plain service.
    pub kind: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// `live`, `leaving`, `dead`.
    pub standing: String,
    /// Whether it takes new work.
    pub accepting: bool,
    /// Streams it bears at present.
    pub bound: u32,
    /// Streams granted.
    pub running: u32,
    /// Asks that wait.
    pub waiting: u32,
    /// KV cache that is free.
    pub kv_free: size::Tokens,
    /// Weights that are ready, as `model@version` or `model@version+adapter`.
    pub ready: Vec<String>,
}

/// Who owns what.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    /// The revision of the ownership table.
    pub revision: u64,
    /// The owners, by target.
    pub owners: Vec<Owner>,
}

/// The owner of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The target.
    pub target: id::Target,
    /// The node that owns it.
    pub node: id::Node,
    /// The epoch of the ownership.
    pub epoch: id::Epoch,
}

/// How a node is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The node.
    pub node: id::Node,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is stopping.
    pub draining: bool,
    /// Whether the platform answers.
    pub platform: bool,
    /// The version of the configuration in force; 0 before the first.
    pub version: id::Release,
}
