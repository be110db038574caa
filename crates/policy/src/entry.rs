//! Which nodes callers are sent to.
//!
//! Callers pick at random among the addresses that they are given. Nodes of their own
//! availability zone come first; some of other zones are among them, for when the
//! zone is lost. Where there are more nodes than an answer may name, each answer names
//! others, so that all nodes are named equally often.
//!
//! Load pattern: callers of all zones before more nodes than fit into an answer; a
//! zone that is lost with its nodes.

use rand::Rng;
use rand::seq::SliceRandom;
use std::net::SocketAddr;

/// Addresses in one answer at most.
pub const ADDRESSES_MAX: usize = 64;

/// Addresses of other zones among those of the caller's: one for so many.
const OTHERS_PART: usize = 3;

/// Addresses of other zones at least.
const OTHERS_LEAST: usize = 4;

/// The addresses for a caller, out of those of its zone and those of others. A caller
/// of an unknown zone has none of its own.
pub fn choose(
    mut own: Vec<SocketAddr>,
    mut others: Vec<SocketAddr>,
    random: &mut impl Rng,
) -> Vec<SocketAddr> {
    let wanted = match own.is_empty() {
        true => ADDRESSES_MAX,
        false => (own.len().min(ADDRESSES_MAX) / OTHERS_PART).max(OTHERS_LEAST),
    };
    let kept = wanted.min(others.len());
    let (others, _) = others.partial_shuffle(random, kept);
    let (own, _) = {
        let room = (ADDRESSES_MAX - others.len()).min(own.len());
        own.partial_shuffle(random, room)
    };
    own.iter().chain(others.iter()).copied().collect()
}
