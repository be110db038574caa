//! Which nodes watch the store; the others hear of changes from them.
//!
//! Each watch that ends and begins again is a call that is paid for, and a
//! change ends all of them: calls would grow with the number of nodes. A few
//! watch, by rank, and tell the others within milliseconds. Two sets overlap, so that neither a
//! node that died nor one that the store turns away leaves nobody watching.

use hickory_state::rank::rank_nodes;
use hickory_unit::id;
use std::time::Duration;

/// Nodes that watch: one that dies is missed for a second, and two at once are
/// to be borne.
const WATCHER_COUNT: usize = 3;

/// How long nodes leave the watch to those that the store turned away, doubled for
/// each further [`WATCHER_COUNT`] of these.
const MIN_TAKEOVER_DELAY: Duration = Duration::from_millis(500);

/// Doublings of that at most: a store that is back for some nodes only is found again
/// within seconds.
const MAX_TAKEOVER_DOUBLINGS: u32 = 3;

/// A node as far as watching goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// Its name.
    pub node: &'a id::Node,
    /// Whether the store is out of its reach.
    pub is_store_away: bool,
}

/// Whether a node watches, among all nodes that are heard and itself: the first
/// few do, and the first few of those that reach the store.
pub fn is_selected(node: &id::Node, nodes: &[Candidate<'_>]) -> bool {
    let connected = nodes.iter().filter(|candidate| !candidate.is_store_away);
    is_among_first(node, nodes.iter().map(|candidate| candidate.node))
        || is_among_first(node, connected.map(|candidate| candidate.node))
}

/// How long a node whose turn it became leaves the watch to the others, by how many of
/// all nodes the store turned away. One that is down for all would else be called by
/// all in turn.
pub fn takeover_delay(node: &id::Node, nodes: &[Candidate<'_>]) -> Duration {
    if is_among_first(node, nodes.iter().map(|candidate| candidate.node)) {
        return Duration::ZERO;
    }
    let away = nodes.iter().filter(|candidate| candidate.is_store_away).count() / WATCHER_COUNT;
    match away as u32 {
        0 => Duration::ZERO,
        rounds => MIN_TAKEOVER_DELAY * 2_u32.pow((rounds - 1).min(MAX_TAKEOVER_DOUBLINGS)),
    }
}

/// Whether a node is the first of those that watch and reach the store. It hears
/// of each change at once and tells the others, whose watches then only have to
/// make up for it.
pub fn is_leader(node: &id::Node, nodes: &[Candidate<'_>]) -> bool {
    let connected = nodes.iter().filter(|candidate| !candidate.is_store_away);
    let ranked = rank_nodes(&"watch".into(), connected.map(|candidate| candidate.node));
    ranked.first().is_some_and(|first| *first == node)
}

fn is_among_first<'a>(node: &id::Node, nodes: impl Iterator<Item = &'a id::Node>) -> bool {
    let ranked = rank_nodes(&"watch".into(), nodes);
    ranked.into_iter().take(WATCHER_COUNT).any(|candidate| candidate == node)
}
