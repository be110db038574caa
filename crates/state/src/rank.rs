//! Rendezvous hashing: every node works out by itself which node is first for
//! a target, and a node that comes or goes moves only its own share.

use hickory_unit::id;

/// The nodes by their rank for a target, first rank first.
pub fn rank_nodes<'a>(
    target: &id::Target,
    nodes: impl Iterator<Item = &'a id::Node>,
) -> Vec<&'a id::Node> {
    let mut ranked: Vec<_> = nodes.map(|node| (hash_pair(target, node), node)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.into_iter().map(|(_, node)| node).collect()
}

/// A number from 0 to 1 that spreads the targets evenly.
pub fn target_fraction(target: &id::Target) -> f64 {
    hash_pair(target, &id::Node::from("")) as f64 / u64::MAX as f64
}

/// The same on every node and in every version of the program: the nodes of a
/// fleet must agree while it is upgraded, so no hasher of the standard library
/// serves. FNV-1a over both names, then the finalizer of MurmurHash3, since
/// FNV alone hardly mixes the last bytes.
fn hash_pair(target: &id::Target, node: &id::Node) -> u64 {
    let bytes = target.as_str().bytes().chain([0]).chain(node.as_str().bytes());
    let sum = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    let mixed = (sum ^ (sum >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let mixed = (mixed ^ (mixed >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    mixed ^ (mixed >> 33)
}
