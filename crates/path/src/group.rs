//! Groups of targets, and which nodes decide on each.
//!
//! A group has one owner at a time, which knows all that is placed there, so that
//! nobody decides on what others have changed meanwhile. The next node by rank is
//! told the same and succeeds it. Nodes find both by the table of members alone.

use crate::view::Tag;
use compact_str::ToCompactString;
use derive_more::Display;
use hickory_policy::member::Contact;
use hickory_state::rank::rank_nodes;
use hickory_unit::id;

/// Targets in a group at most. An owner's work for a group grows with it, and a
/// prompt is split within one group.
const TARGETS_MOST: usize = 160;

/// Part of the greatest capacity that a node needs to own a group.
const CAPACITY_PART: u32 = 2;

/// A group of a service's targets.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{service}/{index}")]
pub struct Group {
    /// The service.
    pub service: id::Service,
    /// Which of the service's groups.
    pub index: u16,
}

/// How many groups so many targets of a service make.
pub fn count_groups(targets: usize) -> u16 {
    targets.div_ceil(TARGETS_MOST).clamp(1, usize::from(u16::MAX)) as u16
}

/// The group that a target belongs to, by jump consistent hashing: a further
/// group takes over its share of the targets and moves no other.
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

/// The nodes that may own a group, by rank. Nodes that were told what runs where go
/// before those that have just started, and hosts that can do more before others.
pub fn rank_owners<'a>(
    group: &Group,
    nodes: impl Iterator<Item = (&'a id::Node, &'a Contact)>,
) -> Vec<&'a id::Node> {
    let ready: Vec<_> = nodes.filter(|(_, contact)| contact.is_ready).collect();
    let is_settled = ready.iter().any(|(_, contact)| contact.is_synced);
    let able = || ready.iter().filter(|(_, contact)| contact.is_synced || !is_settled);
    let most = able().map(|(_, contact)| u32::from(contact.capacity.0)).max().unwrap_or_default();
    let strong = able()
        .filter(|(_, contact)| u32::from(contact.capacity.0) * CAPACITY_PART >= most)
        .map(|(node, _)| *node);
    rank_nodes(&id::Target(group.to_compact_string()), strong)
}

/// A node's own order of targets, unlike any other node's.
pub(crate) fn own_order(node: &id::Node, target: Tag) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(node.as_str().as_bytes()).update(&target.0.to_le_bytes());
    u64::from_le_bytes(*hasher.finalize().as_bytes().first_chunk().unwrap_or(&[0; 8]))
}
