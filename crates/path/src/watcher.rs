//! Selects the nodes that watch the store; the others learn of changes from them.
//!
//! Each watch call has a cost, and a change ends the watches of all watching nodes, so the
//! number of calls would grow with the number of nodes. Therefore only a few nodes watch,
//! selected by rank, and they announce changes to the others within milliseconds. Two
//! overlapping sets of nodes watch: the first among all nodes and the first among those
//! that reach the store. So there is always a watcher, even if a watching node dies or the
//! store rejects it.

use hickory_state::rank::rank_nodes;
use hickory_unit::id;
use std::time::Duration;

/// The number of watching nodes. A dead node is detected after a second, and the failure of
/// two at once must be tolerated.
const WATCHER_COUNT: usize = 3;

/// The delay before a node takes over from watching nodes that the store rejected, doubled
/// for each further [`WATCHER_COUNT`] rejected nodes.
const MIN_TAKEOVER_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of doublings, so that a store that returns for only some nodes is
/// found within seconds.
const MAX_TAKEOVER_DOUBLINGS: u32 = 3;

/// A node that may be selected as a watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The node.
    pub node: &'a id::Node,
    /// Whether the node can't reach the store.
    pub is_store_unreachable: bool,
}

/// Returns whether a node watches, given all live nodes including itself. The first
/// `WATCHER_COUNT` nodes by rank watch, and the first `WATCHER_COUNT` of those that reach
/// the store.
pub fn is_selected(node: &id::Node, nodes: &[Candidate<'_>]) -> bool {
    let connected = nodes.iter().filter(|candidate| !candidate.is_store_unreachable);
    is_among_first(node, nodes.iter().map(|candidate| candidate.node))
        || is_among_first(node, connected.map(|candidate| candidate.node))
}

/// Returns how long a newly selected node waits before it watches, by the number of nodes
/// that the store has rejected. Without this delay all nodes in turn would call a store
/// that is down.
pub fn takeover_delay(node: &id::Node, nodes: &[Candidate<'_>]) -> Duration {
    if is_among_first(node, nodes.iter().map(|candidate| candidate.node)) {
        return Duration::ZERO;
    }
    let rejected =
        nodes.iter().filter(|candidate| candidate.is_store_unreachable).count() / WATCHER_COUNT;
    match rejected as u32 {
        0 => Duration::ZERO,
        rounds => MIN_TAKEOVER_DELAY * 2_u32.pow((rounds - 1).min(MAX_TAKEOVER_DOUBLINGS)),
    }
}

/// Returns whether a node is the first of the watching nodes that reach the store. It
/// receives each change immediately and announces it, so that the watches of the others
/// only serve as a fallback.
pub fn is_leader(node: &id::Node, nodes: &[Candidate<'_>]) -> bool {
    let connected = nodes.iter().filter(|candidate| !candidate.is_store_unreachable);
    let ranked = rank_nodes(&"watch".into(), connected.map(|candidate| candidate.node));
    ranked.first().is_some_and(|first| *first == node)
}

fn is_among_first<'a>(node: &id::Node, nodes: impl Iterator<Item = &'a id::Node>) -> bool {
    let ranked = rank_nodes(&"watch".into(), nodes);
    ranked.into_iter().take(WATCHER_COUNT).any(|candidate| candidate == node)
}
