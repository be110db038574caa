//! Rendezvous hashing: every node computes by itself which node ranks first for a target,
//! and a node that joins or leaves moves only its own share of the targets.

use hickory_unit::id;

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

/// Hashes a target and a node: FNV-1a over both names, then the finalizer of MurmurHash3,
/// because FNV alone hardly mixes the last bytes.
///
/// The result must be the same on every node and in every version of the program, since
/// the nodes of a fleet have to agree during an upgrade. The hashers of the standard
/// library don't guarantee that.
fn hash_pair(target: &id::Target, node: &id::Node) -> u64 {
    let bytes = target.as_str().bytes().chain([0]).chain(node.as_str().bytes());
    let sum = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (sum ^ (sum >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
