//! Which address a caller should use.
//!
//! There is no balancer: callers ask any node, keep the answer for a while
//! and connect there. A node that is stopping is not named, and keeps serving
//! for as long as an answer that names it may be kept.

use crate::core::{Core, Stage};
use rand::seq::{IndexedRandom, SliceRandom};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// A peer that was not heard for this long is not named: several exchanges
/// were missed, and a caller sent there might find nobody.
const MAX_PEER_SILENCE: Duration = Duration::from_secs(2);

/// Alternates that an answer names.
const MAX_ALTERNATES: usize = 3;

/// The answer to which address to use.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Entry {
    address: SocketAddr,
    alternates: Vec<SocketAddr>,
    keep_ms: u64,
}

/// Names a node: the one of two random choices that serves fewer callers.
/// Two choices suffice to keep a burst of callers, who all see the same
/// slightly old counts, from running to one node.
pub(crate) fn answer_entry(core: &Core) -> Option<Entry> {
    let now = core.now();
    let peer_views = core.view.peer_views();
    let mut rng = rand::rng();
    let nodes = core.member.nodes();
    let mut known: Vec<(SocketAddr, u32)> = nodes
        .values()
        .filter(|info| info.node != *core.node_id() && !info.draining)
        .filter_map(|info| {
            let peer = peer_views.get(&info.node)?;
            let is_reachable = now.saturating_duration_since(peer.last_heard) < MAX_PEER_SILENCE;
            (is_reachable && !peer.draining).then_some((info.callers, peer.connections))
        })
        .collect();
    if core.stage() == Stage::Serving {
        let own = core.active.load(std::sync::atomic::Ordering::Acquire);
        known.push((core.settings.callers, own as u32));
    }
    let chosen = known.choose_multiple(&mut rng, 2).min_by_key(|(_, load)| *load)?.0;
    known.retain(|(address, _)| *address != chosen);
    known.shuffle(&mut rng);
    let alternates = known.into_iter().take(MAX_ALTERNATES).map(|(address, _)| address).collect();
    Some(Entry { address: chosen, alternates, keep_ms: core.settings.times.entry_keep_ms })
}
