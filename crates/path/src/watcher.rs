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
use std::ops::Range;
use std::time::{Duration, Instant};

/// The number of watching nodes. A dead node is detected after a second, and the failure of
/// two at once must be tolerated.
const WATCHER_COUNT: usize = 3;

/// The number of nodes, the first by rank, that a node checks whose probes go unanswered. If none of
/// them is left, each other node watches by itself: the more are checked, the fewer these are.
const CHECKED_COUNT: usize = 16;

/// The delay before a node takes over from watching nodes that the store rejected, doubled
/// for each further [`WATCHER_COUNT`] rejected nodes.
const MIN_TAKEOVER_DELAY: Duration = Duration::from_millis(500);

/// The maximum number of doublings, so that a store that returns for only some nodes is
/// found within seconds.
const MAX_TAKEOVER_DOUBLINGS: u32 = 3;

/// How long the table of nodes must not have grown before a starting node decides whether to
/// watch: peers answer its first datagrams within milliseconds.
const QUIET_TIME: Duration = Duration::from_millis(60);

/// The bounds of the time for which a starting node waits for a first peer. It is drawn at random:
/// if no peer is left or all start together, a few nodes read the store first, and the others learn
/// from them.
const FIRST_PEER_WAIT: Range<Duration> = QUIET_TIME..MAX_RESTART_WAIT;

/// The time after which a restarted node decides even if the table still grows: callers wait for
/// its configuration. By then it knows so many nodes that few of a large fleet read the store.
const MAX_RESTART_WAIT: Duration = Duration::from_millis(300);

/// The bounds of the wait when the whole system starts for the first time: there are no callers
/// yet, and nodes that start one after the other discover each other meanwhile.
const FIRST_START_WAIT: Range<Duration> = Duration::from_secs(1)..Duration::from_secs(2);

/// Decides when a node that starts knows enough nodes to decide whether it watches.
///
/// A node that knows only a few others ranks among the first of them and would watch. If a thousand
/// nodes start together, all would read everything from the store.
#[derive(Clone, Debug)]
pub struct StartWait {
    started: Instant,
    wait: Range<Duration>,
    first_peer_wait: Duration,
    peers: usize,
    grown_at: Instant,
}

impl StartWait {
    /// Starts waiting. `random` is from 0 to 1.
    pub fn new(now: Instant, is_first_start: bool, random: f64) -> Self {
        let wait = if is_first_start { FIRST_START_WAIT } else { Duration::ZERO..MAX_RESTART_WAIT };
        let Range { start, end } = FIRST_PEER_WAIT;
        let first_peer_wait = start + (end - start).mul_f64(random);
        Self { started: now, wait, first_peer_wait, peers: 0, grown_at: now }
    }

    /// Returns whether the wait is over, given the number of known peers.
    pub fn is_over(&mut self, now: Instant, peers: usize) -> bool {
        if peers > self.peers {
            (self.peers, self.grown_at) = (peers, now);
        }
        let waited = now.saturating_duration_since(self.started);
        let quiet_time = if self.peers == 0 { self.first_peer_wait } else { QUIET_TIME };
        let is_quiet = now.saturating_duration_since(self.grown_at) >= quiet_time;
        waited >= self.wait.end || waited >= self.wait.start && is_quiet
    }
}

/// A node that may be selected as a watcher.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Candidate<'a> {
    /// The node.
    pub node: &'a id::Node,
    /// Whether the node can't reach the store.
    pub is_store_unreachable: bool,
    /// Whether the node was checked and hasn't answered.
    pub is_silent: bool,
}

/// Returns the nodes that a node checks if its probes go unanswered: those that watch before it does.
pub fn choose_checked(node: &id::Node, nodes: &[Candidate<'_>]) -> Vec<id::Node> {
    let others = nodes.iter().map(|candidate| candidate.node).filter(|other| *other != node);
    rank_nodes(&"watch".into(), others).into_iter().take(CHECKED_COUNT).cloned().collect()
}

fn has_silent(nodes: &[Candidate<'_>]) -> bool {
    nodes.iter().any(|candidate| candidate.is_silent)
}

/// Returns the nodes that may watch as far as the node itself has found: without those that are silent,
/// and only itself if all that it has checked are.
fn find_responsive<'a>(node: &id::Node, nodes: &[Candidate<'a>]) -> Vec<Candidate<'a>> {
    if !has_silent(nodes) {
        return nodes.to_vec();
    }
    let is_silent = |node: &id::Node| nodes.iter().any(|c| c.node == node && c.is_silent);
    let checked = choose_checked(node, nodes);
    let is_isolated = !checked.is_empty() && checked.iter().all(is_silent);
    let is_responsive =
        |candidate: &&Candidate<'a>| candidate.node == node || !is_isolated && !candidate.is_silent;
    nodes.iter().filter(is_responsive).copied().collect()
}

/// Returns whether a node watches, given all live nodes including itself. The first
/// `WATCHER_COUNT` nodes by rank watch, and the first `WATCHER_COUNT` of those that reach
/// the store. Nodes that are silent are replaced before they are suspected.
pub fn is_selected(node: &id::Node, nodes: &[Candidate<'_>]) -> bool {
    is_selected_among(node, nodes)
        || has_silent(nodes) && is_selected_among(node, &find_responsive(node, nodes))
}

fn is_selected_among(node: &id::Node, nodes: &[Candidate<'_>]) -> bool {
    let connected = nodes.iter().filter(|candidate| !candidate.is_store_unreachable);
    is_among_first(node, nodes.iter().map(|candidate| candidate.node))
        || is_among_first(node, connected.map(|candidate| candidate.node))
}

/// Returns how long a newly selected node waits before it watches, by the number of nodes
/// that the store has rejected. Without this delay all nodes in turn would call a store
/// that is down.
pub fn takeover_delay(node: &id::Node, nodes: &[Candidate<'_>]) -> Duration {
    let nodes = find_responsive(node, nodes);
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
    let nodes = find_responsive(node, nodes);
    let connected = nodes.iter().filter(|candidate| !candidate.is_store_unreachable);
    let ranked = rank_nodes(&"watch".into(), connected.map(|candidate| candidate.node));
    ranked.first().is_some_and(|first| *first == node)
}

/// Returns whether the store is down, as far as the nodes can tell: all of the first `WATCHER_COUNT`
/// nodes, which always watch, can't reach it.
pub fn is_store_down(nodes: &[Candidate<'_>]) -> bool {
    let ranked = rank_nodes(&"watch".into(), nodes.iter().map(|candidate| candidate.node));
    let first = &ranked[..ranked.len().min(WATCHER_COUNT)];
    let watchers = nodes.iter().filter(|candidate| first.contains(&candidate.node));
    watchers.into_iter().all(|candidate| candidate.is_store_unreachable)
}

fn is_among_first<'a>(node: &id::Node, nodes: impl Iterator<Item = &'a id::Node>) -> bool {
    let ranked = rank_nodes(&"watch".into(), nodes);
    ranked.into_iter().take(WATCHER_COUNT).any(|candidate| candidate == node)
}
