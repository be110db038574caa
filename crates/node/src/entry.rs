//! Selects the node that a caller should use.
//!
//! There is no load balancer: a caller asks any node, caches the answer for a while and
//! connects to the node that it names. A draining node isn't named, and keeps serving for as
//! long as answers that name it may be cached.

use crate::core::{Core, Stage};
use rand::seq::{IndexedRandom, SliceRandom};
use serde::Serialize;
use std::net::SocketAddr;
use std::time::Duration;

/// A peer that has been silent for this long isn't named: several gossip exchanges were missed,
/// and the node may be down.
const MAX_PEER_SILENCE: Duration = Duration::from_secs(2);

/// Maximum number of alternate addresses in an answer.
const MAX_ALTERNATES: usize = 3;

/// The body of the entry answer.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Entry {
    address: SocketAddr,
    alternates: Vec<SocketAddr>,
    keep_ms: u64,
}

/// Chooses the less loaded of two random nodes.
///
/// Choosing between two random nodes keeps a burst of callers, which all see the same slightly
/// outdated counts, from going to a single node.
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
            let is_reachable =
                now.saturating_duration_since(peer.last_gossip_at) < MAX_PEER_SILENCE;
            (is_reachable && !peer.draining).then_some((info.callers, peer.active_requests))
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
