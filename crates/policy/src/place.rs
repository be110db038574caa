//! Target selection for one request.
//!
//! Many nodes choose at once from load reports that are up to a second old, for prompts of a
//! thousand to a million tokens. The selection avoids three failures: a short prompt queued behind
//! a long one, all nodes picking the same idle target, and a hot prefix pulling all requests onto
//! one engine.
//!
//! Short prompts go to the target with the lowest estimated time to first token. A prefix cache
//! that is known or likely to hold the leading blocks of the prompt counts only as the prefill that
//! it saves. A hot prefix therefore spills to other engines as soon as the queue of its engine
//! costs more than the hit saves, and late or missing cache events only cost speed.
//!
//! Long prompts are packed: all nodes try the engines in the same hashed order and take the first
//! one whose backlog is no longer than the prompt itself. Long prompts thus stay on as few engines
//! as the demand needs, and the other engines stay free of them.

use crate::cost::{Class, Cost};
use crate::refuse::Reason;
use hickory_unit::{id, size};
use std::time::Duration;

/// Cost of a target in another zone, in seconds: one network round trip.
const CROSS_ZONE_COST_S: f64 = 0.002;

/// Delay that an engine step filled with long prefill work adds to the first token of a short
/// prompt, in seconds. On average the prompt waits for half of a running step, and the step that
/// prefills it also processes tokens of the long prompt.
const LONG_STEP_COST_S: f64 = 0.09;

/// Cost of the engine steps up to a first token, beside the prompt itself: about three 13 ms steps
/// at 40,000 tokens per second. It is counted in prefill tokens so that it grows on a target that
/// is slow or cold.
const FIRST_TOKEN_STEP_TOKENS: f64 = 1_600.0;

/// Delay that each KV cache token in use adds to a first token, in seconds. Each engine step reads
/// the cache at about 20 ms per million tokens, a first token takes about three steps, and streams
/// that hold much memory decode for long or are about to prefill.
const KV_COST_S_PER_TOKEN: f64 = 150e-9;

/// Cost of a target without a free slot or free memory, in seconds: the time until a typical answer
/// ends.
const FULL_TARGET_COST_S: f64 = 1.0;

/// Random spread that is added to estimates: a fraction of the estimate plus a minimum in seconds.
/// Callers don't notice smaller differences between targets, and nodes that choose from equal
/// load reports must not all choose the same target.
const SPREAD_FRACTION: f64 = 0.1;
const MIN_SPREAD_S: f64 = 0.001;

/// Fraction of the prefill saving that counts where the prefix hash selects a target but no cache
/// event confirms the cached blocks. It is half because the target holds the prefix only if the
/// prefix was sent before.
const UNCONFIRMED_CACHE_WEIGHT: f64 = 0.5;

/// Backlog of a busy engine that a long prompt accepts in any case before it goes to a further
/// engine, in seconds.
const MIN_PACK_WAIT_S: u64 = 1;

/// Number of permit requests of an attempt that ask for an immediate answer; later ones may queue.
pub const MAX_IMMEDIATE_REQUESTS: usize = 2;

/// Cost of requesting the permit from another node, in seconds. It covers the round trip and the
/// age of that node's load report; the state of an owned target is exact.
const REMOTE_OWNER_COST_S: f64 = 0.010;

/// Seed of the order in which long prompts try the engines.
const LONG_ORDER_SEED: u64 = 0x6c6f_6e67_5f6f_7264;

/// A target that could run the request, and its load.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: id::Target,
    /// Hash of the target, computed by [`hash_target`].
    pub hash: u64,
    /// Whether it is in the choosing node's zone.
    pub is_same_zone: bool,
    /// Whether the choosing node owns it.
    pub is_owned: bool,
    /// Whether cache events report that it holds the request's prefix.
    pub has_cached_prefix: bool,
    /// Prompt tokens granted or queued there.
    pub queued_prefill: size::Tokens,
    /// Part of `queued_prefill` that belongs to long prompts.
    pub queued_long: size::Tokens,
    /// Free KV cache.
    pub kv_free: size::Tokens,
    /// KV cache capacity.
    pub kv_capacity: size::Tokens,
    /// Prompt tokens prefilled per second.
    pub prefill_rate: u64,
    /// Maximum concurrent streams.
    pub max_streams: u32,
    /// Streams granted.
    pub running: u32,
    /// Permit requests that wait.
    pub waiting: u32,
}

/// The leading blocks of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Hash of the blocks.
    pub hash: u64,
    /// Length of the blocks.
    pub tokens: size::Tokens,
}

/// A request that needs a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// Estimated cost.
    pub cost: Cost,
    /// Service class.
    pub class: Class,
    /// Leading blocks, where they are long enough to be cached.
    pub prefix: Option<Prefix>,
    /// Random number; the same number gives the same choice.
    pub random: u64,
}

/// Returns the hash of a target, as [`Candidate::hash`] holds it.
pub fn hash_target(target: &id::Target) -> u64 {
    let hash = blake3::hash(target.as_str().as_bytes());
    u64::from_le_bytes(*hash.as_bytes().first_chunk().unwrap_or(&[0; 8]))
}

/// Chooses a target among the candidates. The caller leaves out targets that failed or were tried
/// before. Returns `None` if no candidate can hold the request.
///
/// This runs for each attempt over all replicas of a model, so it makes a single pass over the
/// candidates.
pub fn choose_target<'a>(query: &Query, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let kv = query.cost.kv();
    let eligible = candidates.iter().filter(|c| c.kv_capacity >= kv && c.max_streams > 0);
    if query.cost.is_long() {
        let packable = eligible.clone().filter(|c| can_pack(query.cost, c));
        if let Some(first) = packable.min_by_key(|c| mix_hashes(c.hash, LONG_ORDER_SEED)) {
            return Some(first);
        }
    }
    let mut best: Option<(f64, &Candidate)> = None;
    let mut hash_choice: Option<(u64, &Candidate)> = None;
    for candidate in eligible {
        let base_score =
            estimate_cost(query, candidate, f64::from(u8::from(candidate.has_cached_prefix)));
        if best.is_none_or(|(score, _)| base_score < score) {
            let score = base_score + random_spread(query, candidate);
            if best.is_none_or(|(best, _)| score < best) {
                best = Some((score, candidate));
            }
        }
        if let Some(prefix) = query.prefix {
            let rank = mix_hashes(candidate.hash, prefix.hash);
            if hash_choice.is_none_or(|(highest, _)| rank > highest) {
                hash_choice = Some((rank, candidate));
            }
        }
    }
    let hash_choice = hash_choice.filter(|(_, c)| !c.has_cached_prefix).map(|(_, c)| c);
    let hash_choice = hash_choice
        .map(|c| (estimate_cost(query, c, UNCONFIRMED_CACHE_WEIGHT) + random_spread(query, c), c));
    let chosen = best.into_iter().chain(hash_choice).min_by(|(a, _), (b, _)| a.total_cmp(b));
    chosen.map(|(_, candidate)| candidate)
}

/// Whether the owner of the chosen target must grant or refuse immediately instead of queueing.
/// This holds for the first permit requests of short prompts, as long as there is another target to
/// try.
///
/// Load reports are up to a second old, many times the duration of a short prompt, but the owner
/// knows the current load. Asking a second owner costs one round trip; queueing behind load that
/// the report didn't show costs a whole prefill. Later permit requests choose among all targets
/// again, including those whose owners refused: otherwise the best targets would never have a
/// queue, and partner shares are enforced only in the queue.
pub fn wants_immediate_answer(cost: Cost, earlier_requests: usize, candidates: usize) -> bool {
    !cost.is_long() && earlier_requests < MAX_IMMEDIATE_REQUESTS && candidates > 1
}

/// Whether a refusal counts against the permit requests of an attempt. Refusals of a target that
/// accepts no new work don't count: when a zone is taken out of service, all of its targets refuse
/// until the load reports are updated, and a request that used up its attempts on them would fail
/// although other zones have room. Each such target is excluded from then on.
pub fn counts_as_request(refused: Reason) -> bool {
    refused != Reason::NoTarget
}

/// Orders the candidates that can hold the prompt by estimated time to first token, lowest first.
pub fn rank_targets(cost: Cost, candidates: &[Candidate]) -> Vec<&Candidate> {
    let mut ranked: Vec<&Candidate> =
        candidates.iter().filter(|c| c.kv_capacity >= cost.kv()).collect();
    ranked.sort_by_cached_key(|c| (estimate_time_to_first_token(cost, c), c.running + c.waiting));
    ranked
}

/// Estimates the time to first token of `cost` on `candidate`.
pub fn estimate_time_to_first_token(cost: Cost, candidate: &Candidate) -> Duration {
    Duration::try_from_secs_f64(first_token_seconds(cost, candidate, 0.0)).unwrap_or(Duration::MAX)
}

/// Estimates the seconds to first token where the prefix cache saves `saved_tokens`.
///
/// Engines run short prompts before long ones by priority, so a short prompt waits only for the
/// queued short prompts and for the running step of a long prefill.
fn first_token_seconds(cost: Cost, candidate: &Candidate, saved_tokens: f64) -> f64 {
    let mut tokens_ahead = candidate.queued_prefill.0;
    let mut seconds = 0.0;
    if !cost.is_long() {
        tokens_ahead = tokens_ahead.saturating_sub(candidate.queued_long.0);
        seconds += LONG_STEP_COST_S * f64::from(u8::from(candidate.queued_long.0 > 0));
    }
    // Waiting requests take the free places first.
    let waiting_at_full =
        (u64::from(candidate.waiting) + 1).saturating_sub(free_places(cost, candidate));
    if waiting_at_full > 0 {
        let rounds = waiting_at_full as f64 / max_concurrent(cost, candidate) as f64;
        seconds += FULL_TARGET_COST_S * (1.0 + rounds);
    }
    let kv_used = candidate.kv_capacity.saturating_sub(candidate.kv_free);
    let prefill_tokens =
        (tokens_ahead + cost.prefill.0) as f64 + FIRST_TOKEN_STEP_TOKENS - saved_tokens;
    seconds
        + kv_used.0 as f64 * KV_COST_S_PER_TOKEN
        + prefill_tokens / candidate.prefill_rate.max(1) as f64
}

/// Returns the number of requests of this cost that a candidate has free slots and memory for.
fn free_places(cost: Cost, candidate: &Candidate) -> u64 {
    let slots = u64::from(candidate.max_streams.saturating_sub(candidate.running));
    slots.min(candidate.kv_free.0 / cost.kv().0.max(1))
}

/// Returns the number of requests of this cost that a candidate runs at the same time.
fn max_concurrent(cost: Cost, candidate: &Candidate) -> u64 {
    let slots = u64::from(candidate.max_streams);
    slots.min(candidate.kv_capacity.0 / cost.kv().0.max(1)).max(1)
}

/// Whether a long prompt may be packed onto a candidate: it has a free slot and enough memory, and
/// its backlog is no longer than the prompt itself or [`MIN_PACK_WAIT_S`].
fn can_pack(cost: Cost, candidate: &Candidate) -> bool {
    let min_tokens = candidate.prefill_rate * MIN_PACK_WAIT_S;
    candidate.kv_free >= cost.kv()
        && candidate.running < candidate.max_streams
        && candidate.queued_prefill.0 <= cost.prefill.0.max(min_tokens)
}

/// Estimates the seconds to first token, including the costs of another zone and of a remote owner.
/// `cached_fraction` is the fraction of the prefix that counts as cached.
fn estimate_cost(query: &Query, candidate: &Candidate, cached_fraction: f64) -> f64 {
    let saved_tokens = query.prefix.map_or(0.0, |prefix| prefix.tokens.0 as f64 * cached_fraction);
    let zone_cost = CROSS_ZONE_COST_S * f64::from(u8::from(!candidate.is_same_zone));
    let owner_cost = REMOTE_OWNER_COST_S * f64::from(u8::from(!candidate.is_owned));
    first_token_seconds(query.cost, candidate, saved_tokens) + zone_cost + owner_cost
}

/// Returns the random spread that is added to an estimate.
fn random_spread(query: &Query, candidate: &Candidate) -> f64 {
    let estimate = first_token_seconds(query.cost, candidate, FIRST_TOKEN_STEP_TOKENS);
    estimate.mul_add(SPREAD_FRACTION, MIN_SPREAD_S)
        * to_unit_interval(mix_hashes(candidate.hash, query.random))
}

/// Maps a hash to a number from 0 to 1.
fn to_unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// Mixes two hashes with the finalizer of SplitMix64.
fn mix_hashes(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
