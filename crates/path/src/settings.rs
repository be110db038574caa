//! The settings of a node, independent of the platform's format.

use hickory_policy::member::Capacity;
use hickory_policy::share;
use hickory_unit::{id, rate, size};
use std::net::SocketAddr;
use std::time::Duration;

/// The settings of a node. `hickory-entry --check` prints the names of these types and fields, so
/// they must not change.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this node, unique in the fleet.
    pub node: id::Node,
    /// The availability zone of this node.
    pub zone: id::Zone,
    /// The address that callers connect to.
    pub callers: SocketAddr,
    /// The address of the readiness check.
    pub ready: SocketAddr,
    /// The address at which callers ask for the nodes to connect to.
    pub directory: SocketAddr,
    /// The address at which other nodes fetch store items that they are missing.
    pub sync: SocketAddr,
    /// The address at which other nodes send datagrams.
    pub peers: SocketAddr,
    /// The bandwidth of the host's network link, if it is configured.
    pub link: Option<rate::BytesPerSecond>,
    /// The capacity of the host to serve other nodes. Nodes with little capacity own no groups.
    pub capacity: Capacity,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Addresses of other nodes to contact at the start; their ports are ignored.
    pub seeds: Vec<SocketAddr>,
    /// The address of the platform's key-value store.
    pub store: SocketAddr,
    /// The address at which metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Bounds that the operators set.
    pub bounds: Bounds,
}

/// Bounds that the operators set; they may change while the node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// The time between SIGTERM and the kill.
    pub grace: Duration,
    /// The maximum time that callers may cache a directory response.
    pub keep: Duration,
    /// The retry budget: requests sent beyond the first attempt of each.
    pub repeats: share::Bound,
    /// The maximum time that memory on an engine may be reserved at once.
    pub hold: Duration,
    /// Whether the operators expect accounts to compete for capacity, and callers and targets that
    /// are slow. It calls for the order among accounts, learned engine speeds, doubt about zones
    /// and leases of repeats.
    pub is_contended: bool,
    /// Bounds of what the node holds.
    pub sizes: Sizes,
}

/// Bounds of what a node holds for its callers and targets. A target may send without end, and
/// callers may not read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sizes {
    /// The head of a target's response. It doesn't change while the node runs.
    pub max_head: size::Bytes,
    /// One event of a stream.
    pub max_event: size::Bytes,
    /// The body of a target's response that is buffered.
    pub max_body: size::Bytes,
    /// All bytes that the node holds for callers and for targets.
    pub max_held: size::Bytes,
}

impl Default for Sizes {
    fn default() -> Self {
        Self {
            max_head: size::Bytes(64 << 10),
            max_event: size::Bytes(256 << 10),
            max_body: size::Bytes(4 << 20),
            max_held: size::Bytes(32 << 20),
        }
    }
}

/// The bandwidth assumed for a link if none is configured: that of a slow link.
const DEFAULT_LINK_RATE: rate::BytesPerSecond = rate::BytesPerSecond(2_500_000.0);

impl Settings {
    /// Returns the bandwidth of the host's link, or the default if none is configured.
    pub fn link_rate_or_default(&self) -> rate::BytesPerSecond {
        self.link.filter(|rate| rate.0 > 0.0).unwrap_or(DEFAULT_LINK_RATE)
    }
}
