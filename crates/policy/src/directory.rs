//! The choice of the nodes that a directory response names.
//!
//! Load pattern: thousands of callers and a thousand nodes, of which a response may name a few
//! dozen. If all responses named the same nodes, these would serve all callers.

use crate::member::Capacity;
use hickory_unit::{hash, id};
use std::net::SocketAddr;

/// A node that accepts callers.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The node.
    pub node: &'a id::Node,
    /// Its address for callers.
    pub address: SocketAddr,
    /// Its capacity.
    pub capacity: Capacity,
}

/// Returns the addresses of at most `count` nodes.
///
/// They are drawn in proportion to the nodes' capacities, by rendezvous hashing over the responding
/// node. So the responses of all nodes together spread callers over the fleet, while the responses
/// of one node stay the same, and a node that leaves changes one address.
pub fn choose<'a>(
    responding: &id::Node,
    candidates: impl Iterator<Item = Candidate<'a>>,
    count: usize,
) -> Vec<SocketAddr> {
    let mut ranked: Vec<(f64, SocketAddr)> =
        candidates.map(|candidate| (score(responding, &candidate), candidate.address)).collect();
    if count < ranked.len() {
        ranked.select_nth_unstable_by(count, |a, b| b.0.total_cmp(&a.0));
        ranked.truncate(count);
    }
    ranked.into_iter().map(|(_, address)| address).collect()
}

/// Returns the rank of a candidate: the weighted form of rendezvous hashing.
fn score(responding: &id::Node, candidate: &Candidate<'_>) -> f64 {
    let names = responding.as_str().bytes().chain([0]).chain(candidate.node.as_str().bytes());
    let random = hash::fraction(hash::hash(names));
    let weight = f64::from(candidate.capacity.0.max(1));
    weight / -random.ln()
}
