//! Which target a request is sent to.

use crate::cost::Cost;
use hickory_unit::{id, size};
use std::time::Duration;

/// What is known of a target that could run the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: id::Target,
    /// Prompt tokens granted or queued there.
    pub queued_prefill: size::Tokens,
    /// KV cache that is free.
    pub kv_free: size::Tokens,
    /// KV cache in all.
    pub kv_capacity: size::Tokens,
    /// Prompt tokens a second.
    pub prefill_rate: u64,
    /// Streams it bears.
    pub bound: u32,
    /// Streams granted.
    pub running: u32,
    /// Asks that wait.
    pub waiting: u32,
}

/// Orders the candidates by the time a first token would take, the best
/// first.
pub fn rank_targets(cost: Cost, candidates: &[Candidate]) -> Vec<&Candidate> {
    let mut ranked: Vec<&Candidate> =
        candidates.iter().filter(|c| c.kv_capacity >= cost.kv()).collect();
    ranked.sort_by_key(|c| (estimate_first_token(cost, c), c.running + c.waiting));
    ranked
}

/// The time until the first token of `cost` would come from `candidate`.
pub fn estimate_first_token(cost: Cost, candidate: &Candidate) -> Duration {
    let tokens = candidate.queued_prefill + cost.prefill;
    Duration::from_secs_f64(tokens.0 as f64 / candidate.prefill_rate.max(1) as f64)
}
