//! Groups of targets, and the nodes that own them.
//!
//! A group has one owner at a time, which knows all allocations in the group, so that no two nodes
//! decide on the same targets without knowledge of each other's decisions. The next node by rank
//! receives the same reports and succeeds the owner. Each node derives both from the membership
//! table, without further communication.

use crate::view::Tag;
use compact_str::ToCompactString;
use derive_more::Display;
use hickory_policy::member::Contact;
use hickory_state::rank::rank_nodes;
use hickory_unit::id;

/// The maximum number of targets in a group. An owner's work for a group grows with this number,
/// and a prompt is split only among engines of one group.
const MAX_GROUP_TARGETS: usize = 160;

/// To own a group, a node needs at least the greatest capacity in the fleet divided by this number.
const OWNER_CAPACITY_DIVISOR: u32 = 2;

/// A group of a service's targets.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{service}/{index}")]
pub struct Group {
    /// The service of the targets.
    pub service: id::Service,
    /// The index of the group among the service's groups.
    pub index: u16,
}

/// Returns the number of groups for this number of targets of a service.
pub fn count_groups(targets: usize) -> u16 {
    targets.div_ceil(MAX_GROUP_TARGETS).clamp(1, usize::from(u16::MAX)) as u16
}

/// Returns the group of a target by jump consistent hashing: an additional group moves only its
/// share of the targets.
pub fn find_group(target: Tag, groups: u16) -> u16 {
    let (mut key, mut group, mut next) = (target.0, 0_i64, 0_i64);
    while next < i64::from(groups) {
        group = next;
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let random = ((key >> 33) + 1) as f64;
        next = ((group + 1) as f64 * ((1_u64 << 31) as f64 / random)) as i64;
    }
    group as u16
}

/// Returns the nodes that may own a group, by rank. If any node knows the current allocations, only
/// such nodes are eligible, rather than nodes that have just started. Hosts with little capacity
/// are excluded.
pub fn rank_owners<'a>(
    group: &Group,
    nodes: impl Iterator<Item = (&'a id::Node, &'a Contact)>,
) -> Vec<&'a id::Node> {
    let ready: Vec<_> = nodes.filter(|(_, contact)| contact.is_ready).collect();
    let has_settled = ready.iter().any(|(_, contact)| contact.is_synced);
    let eligible = || ready.iter().filter(|(_, contact)| contact.is_synced || !has_settled);
    let max_capacity =
        eligible().map(|(_, contact)| u32::from(contact.capacity.0)).max().unwrap_or_default();
    let capable = eligible()
        .filter(|(_, contact)| {
            u32::from(contact.capacity.0) * OWNER_CAPACITY_DIVISOR >= max_capacity
        })
        .map(|(node, _)| *node);
    rank_nodes(&id::Target(group.to_compact_string()), capable)
}

/// Returns the sort key of a target in an order that differs from node to node.
pub(crate) fn node_specific_order(node: &id::Node, target: Tag) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(node.as_str().as_bytes()).update(&target.0.to_le_bytes());
    u64::from_le_bytes(*hasher.finalize().as_bytes().first_chunk().unwrap_or(&[0; 8]))
}
