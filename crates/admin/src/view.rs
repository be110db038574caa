//! The response bodies of the API.

use hickory_unit::{id, size};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The response to an accepted note.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// The configuration version that the note created.
    pub version: id::Release,
    /// The operation id.
    pub operation: String,
    /// Whether the same operation had been accepted before.
    pub repeated: bool,
}

/// A node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Node {
    /// Its name.
    pub node: id::Node,
    /// Its availability zone.
    pub zone: id::Zone,
    /// The address at which callers connect.
    pub callers: SocketAddr,
    /// The version of its configuration in force.
    pub version: id::Release,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether the responding node has a link to it.
    pub reachable: bool,
    /// Number of targets that it owns.
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
    /// The address it listens on.
    pub address: SocketAddr,
    /// `live`, `leaving` or `dead`.
    pub standing: String,
    /// Whether it accepts new work.
    pub accepting: bool,
    /// Maximum number of concurrent streams at its current warmth.
    pub bound: u32,
    /// Number of granted streams.
    pub running: u32,
    /// Number of requests in its owner's queue.
    pub waiting: u32,
    /// Free KV cache.
    pub kv_free: size::Tokens,
    /// Weights that are loaded and ready, as `model@version` or `model@version+adapter`.
    pub ready: Vec<String>,
}

/// The ownership table.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owners {
    /// The revision of the ownership table.
    pub revision: u64,
    /// The owner of each target.
    pub owners: Vec<Owner>,
}

/// The owner of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Owner {
    /// The target.
    pub target: id::Target,
    /// The node that owns it.
    pub node: id::Node,
    /// The ownership epoch.
    pub epoch: id::Epoch,
}

/// The health of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Health {
    /// The node.
    pub node: id::Node,
    /// Whether it serves callers.
    pub ready: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// Whether the platform is reachable.
    pub platform: bool,
    /// The version of the configuration in force; 0 if there is none yet.
    pub version: id::Release,
}
