//! What a node is told when it starts, in the product's terms.

use hickory_policy::member::Capacity;
use hickory_policy::share;
use hickory_unit::{id, rate};
use std::net::SocketAddr;
use std::time::Duration;

/// All settings of a node.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The name of this node, unique in the fleet.
    pub node: id::Node,
    /// The availability zone it stands in.
    pub zone: id::Zone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the platform asks whether the node is ready.
    pub ready: SocketAddr,
    /// Where callers ask for addresses.
    pub directory: SocketAddr,
    /// Where other nodes fetch what they miss.
    pub sync: SocketAddr,
    /// Where other nodes send datagrams.
    pub peers: SocketAddr,
    /// The rate of the host's link, where it is told.
    pub link: Option<rate::BytesPerSecond>,
    /// What the host can do beside its callers' requests, where it is told.
    pub capacity: Capacity,
    /// Whether the whole system starts for the first time.
    pub first_start: bool,
    /// Where other nodes may be found at the start.
    pub seeds: Vec<SocketAddr>,
    /// The platform's key-value service.
    pub store: SocketAddr,
    /// Where metrics are served.
    pub metrics: Option<SocketAddr>,
    /// Bounds that the operators set.
    pub bounds: Bounds,
}

/// Bounds that the operators set, which may change while the node runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Bounds {
    /// Between SIGTERM and the kill.
    pub grace: Duration,
    /// How long callers may keep an answer to where to connect.
    pub keep: Duration,
    /// Requests sent beyond the first of each.
    pub repeats: share::Limit,
    /// How long memory may be reserved at a time.
    pub hold: Duration,
}

/// A link of which nothing is told counts as a slow one.
const LINK_UNTOLD: rate::BytesPerSecond = rate::BytesPerSecond(2_500_000.0);

impl Settings {
    /// The rate of the host's link.
    pub fn link(&self) -> rate::BytesPerSecond {
        self.link.filter(|link| link.0 > 0.0).unwrap_or(LINK_UNTOLD)
    }
}
