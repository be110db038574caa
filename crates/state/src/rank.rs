//! Rendezvous hashing: every node computes by itself which node ranks first for a target,
//! and a node that joins or leaves moves only its own share of the targets.

use hickory_unit::{hash, id};

/// Returns the nodes in rank order for a target, highest rank first.
pub fn rank_nodes<'a>(
    target: &id::Target,
    nodes: impl Iterator<Item = &'a id::Node>,
) -> Vec<&'a id::Node> {
    let mut ranked: Vec<_> = nodes.map(|node| (hash_pair(target, node), node)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// Returns a number from 0 to 1 derived from the target, evenly distributed over targets.
pub fn target_fraction(target: &id::Target) -> f64 {
    hash_pair(target, &id::Node::from("")) as f64 / u64::MAX as f64
}

fn hash_pair(target: &id::Target, node: &id::Node) -> u64 {
    hash::hash(target.as_str().bytes().chain([0]).chain(node.as_str().bytes()))
}
