//! Which target a request is sent to.
//!
//! Load: prompts from a thousand to a million tokens, seen through states
//! that are up to a second old, chosen by hundreds of nodes at once. Harm
//! prevented: a short prompt lands behind a long one, all nodes pick the same
//! idle target, or a hot prefix pulls everything onto one engine.
//!
//! Short work goes where its first token comes soonest by estimate; a prefix
//! cache that is known or likely to hold its leading blocks counts as the
//! prefill that it saves, and no more: so a hot prefix spills as soon as its
//! engine's queue costs more than the hit is worth, and cache events that
//! come late or never cost speed only. Long work is packed: all nodes go
//! through the engines in the same hashed order and take the first that
//! isn't busy for longer than the work itself takes, so that long prompts
//! stay on as few engines as the demand needs, and the rest is free of them.

use crate::cost::{Class, Cost};
use crate::refuse::Reason;
use hickory_unit::{id, size};
use std::time::Duration;

/// What a target in another zone costs, in seconds: the way there and back.
const CROSS_ZONE_COST_S: f64 = 0.002;

/// What an engine step with a full chunk of long prefill adds to a short
/// prompt's first token: on average half a step goes by before its turn, and
/// its own step carries the rest of the chunk.
const LONG_CHUNK_COST_S: f64 = 0.09;

/// Prefill tokens that the steps up to a first token weigh beside the prompt
/// itself: about three steps of 13 ms at 40,000 tokens a second. Counted in
/// tokens, so that they take longer on a target that is slow or cold.
const FIRST_TOKEN_STEP_TOKENS: f64 = 1_600.0;

/// What a token of KV cache in use adds to a first token: each engine step
/// reads it, at some 20 ms a million, there are about three up to a first
/// token, and what holds much memory decodes for long or is about to prefill.
const KV_COST_S_PER_TOKEN: f64 = 150e-9;

/// What a target without a free slot or free memory costs: a typical answer
/// has to end first.
const FULL_TARGET_COST_S: f64 = 1.0;

/// The spread that is put on estimates, as a part of them and at least: two
/// targets that differ by less are the same for the caller, and nodes that
/// choose by equal states must not all choose the same.
const SPREAD_FRACTION: f64 = 0.1;
const MIN_SPREAD_S: f64 = 0.001;

/// The part of the saving that counts where the hash names the target and no
/// cache event confirms it. Half: the prefix was sent there if it was sent
/// before at all.
const UNCONFIRMED_CACHE_WEIGHT: f64 = 0.5;

/// The least wait that long work accepts on a busy engine before it is put on
/// a further one, in seconds.
const MIN_PACK_WAIT_S: u64 = 1;

/// Owners that are asked for an answer at once before an ask may queue.
pub const MAX_IMMEDIATE_ASKS: usize = 2;

/// What asking another node for leave costs, in seconds: the round trip, and
/// that its word of the target is old where that of an owned one is exact.
const REMOTE_OWNER_COST_S: f64 = 0.010;

/// Seed of the order in which engines take long work.
const LONG_ORDER_SEED: u64 = 0x6c6f_6e67_5f6f_7264;

/// What is known of a target that could run the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: id::Target,
    /// Its hash, by [`hash_target`].
    pub hash: u64,
    /// Whether it is in the choosing node's zone.
    pub is_same_zone: bool,
    /// Whether the choosing node owns it.
    pub is_owned: bool,
    /// Whether cache events say that it holds the request's prefix.
    pub has_cached_prefix: bool,
    /// Prompt tokens granted or queued there.
    pub queued_prefill: size::Tokens,
    /// Of these, tokens of long prompts.
    pub queued_long: size::Tokens,
    /// KV cache that is free.
    pub kv_free: size::Tokens,
    /// KV cache in all.
    pub kv_capacity: size::Tokens,
    /// Prompt tokens a second.
    pub prefill_rate: u64,
    /// Streams it bears.
    pub max_streams: u32,
    /// Streams granted.
    pub running: u32,
    /// Asks that wait.
    pub waiting: u32,
}

/// The leading blocks of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// Their hash.
    pub hash: u64,
    /// Their tokens.
    pub tokens: size::Tokens,
}

/// A request that needs a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Query {
    /// What it weighs.
    pub cost: Cost,
    /// Who waits.
    pub class: Class,
    /// Its leading blocks, where they are long enough to be cached.
    pub prefix: Option<Prefix>,
    /// A random number, the same for the same choice.
    pub random: u64,
}

/// The hash of a target that [`Candidate::key`] holds.
pub fn hash_target(target: &id::Target) -> u64 {
    let hash = blake3::hash(target.as_str().as_bytes());
    u64::from_le_bytes(*hash.as_bytes().first_chunk().unwrap_or(&[0; 8]))
}

/// Chooses among the candidates; failed and tried targets are left out by the
/// caller. `None` where none can hold the request.
///
/// One pass, since it is made for each attempt over all replicas of a model.
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
    let mut hash_owner: Option<(u64, &Candidate)> = None;
    for candidate in eligible {
        let min_score =
            estimate_cost(query, candidate, f64::from(u8::from(candidate.has_cached_prefix)));
        if best.is_none_or(|(score, _)| min_score < score) {
            let score = min_score + random_spread(query, candidate);
            if best.is_none_or(|(best, _)| score < best) {
                best = Some((score, candidate));
            }
        }
        if let Some(prefix) = query.prefix {
            let rank = mix_hashes(candidate.hash, prefix.hash);
            if hash_owner.is_none_or(|(highest, _)| rank > highest) {
                hash_owner = Some((rank, candidate));
            }
        }
    }
    let hash_owner = hash_owner.filter(|(_, c)| !c.has_cached_prefix).map(|(_, c)| c);
    let hash_owner = hash_owner
        .map(|c| (estimate_cost(query, c, UNCONFIRMED_CACHE_WEIGHT) + random_spread(query, c), c));
    let chosen = best.into_iter().chain(hash_owner).min_by(|(a, _), (b, _)| a.total_cmp(b));
    chosen.map(|(_, candidate)| candidate)
}

/// Whether the owner of a chosen target is to answer at once, yes or no: for
/// the first asks of short work, as long as there is another target to turn
/// to.
///
/// States are up to a second old, many times what a short prompt takes. The
/// owner knows better; asking a second one costs a round trip, waiting behind
/// what the state did not show costs a prefill. The asks after them choose
/// among all targets again: were those that said no left out, the best ones
/// would never have a queue, and without one nothing keeps the shares.
pub fn wants_immediate_answer(cost: Cost, asked: usize, candidates: usize) -> bool {
    !cost.is_long() && asked < MAX_IMMEDIATE_ASKS && candidates > 1
}

/// Whether a refused ask counts against the asks of an attempt. That of a
/// target which takes no new work does not: when a zone goes out, all of its
/// targets say so for as long as the states are old, and a request that gave
/// up on them would fail although the other zones have room. Each such target
/// is left out from then on.
pub fn counts_as_ask(refused: Reason) -> bool {
    refused != Reason::NoTarget
}

/// Orders the candidates by the time a first token would take, the best
/// first.
pub fn rank_targets(cost: Cost, candidates: &[Candidate]) -> Vec<&Candidate> {
    let mut ranked: Vec<&Candidate> =
        candidates.iter().filter(|c| c.kv_capacity >= cost.kv()).collect();
    ranked.sort_by_cached_key(|c| (estimate_time_to_first_token(cost, c), c.running + c.waiting));
    ranked
}

/// The time until the first token of `cost` would come from `candidate`.
pub fn estimate_time_to_first_token(cost: Cost, candidate: &Candidate) -> Duration {
    Duration::try_from_secs_f64(first_token_seconds(cost, candidate, 0.0)).unwrap_or(Duration::MAX)
}

/// Seconds to the first token where the cache saves `saved` tokens.
///
/// Engines run short work before long by priority: short work waits for what
/// short work is queued, and for the step of a long prefill that runs.
fn first_token_seconds(cost: Cost, candidate: &Candidate, saved_tokens: f64) -> f64 {
    let mut tokens_ahead = candidate.queued_prefill.0;
    let mut seconds = 0.0;
    if !cost.is_long() {
        tokens_ahead = tokens_ahead.saturating_sub(candidate.queued_long.0);
        seconds += LONG_CHUNK_COST_S * f64::from(u8::from(candidate.queued_long.0 > 0));
    }
    if candidate.running >= candidate.max_streams || candidate.kv_free < cost.kv() {
        let rounds = f64::from(candidate.waiting + 1) / f64::from(candidate.max_streams.max(1));
        seconds += FULL_TARGET_COST_S * (1.0 + rounds);
    }
    let kv_used = candidate.kv_capacity.saturating_sub(candidate.kv_free);
    let prefill_tokens =
        (tokens_ahead + cost.prefill.0) as f64 + FIRST_TOKEN_STEP_TOKENS - saved_tokens;
    seconds
        + kv_used.0 as f64 * KV_COST_S_PER_TOKEN
        + prefill_tokens / candidate.prefill_rate.max(1) as f64
}

/// Whether long work may be packed onto a candidate: it has the memory, and
/// is not busy for longer than the work itself takes.
fn can_pack(cost: Cost, candidate: &Candidate) -> bool {
    let min_tokens = candidate.prefill_rate * MIN_PACK_WAIT_S;
    candidate.kv_free >= cost.kv()
        && candidate.running < candidate.max_streams
        && candidate.queued_prefill.0 <= cost.prefill.0.max(min_tokens)
}

/// Seconds to the first token, with what the zone costs, where this part of
/// the prefix counts as cached.
fn estimate_cost(query: &Query, candidate: &Candidate, cached_fraction: f64) -> f64 {
    let saved_tokens = query.prefix.map_or(0.0, |prefix| prefix.tokens.0 as f64 * cached_fraction);
    let zone_cost = CROSS_ZONE_COST_S * f64::from(u8::from(!candidate.is_same_zone));
    let owner_cost = REMOTE_OWNER_COST_S * f64::from(u8::from(!candidate.is_owned));
    first_token_seconds(query.cost, candidate, saved_tokens) + zone_cost + owner_cost
}

/// The random part of a score.
fn random_spread(query: &Query, candidate: &Candidate) -> f64 {
    let estimate = first_token_seconds(query.cost, candidate, FIRST_TOKEN_STEP_TOKENS);
    estimate.mul_add(SPREAD_FRACTION, MIN_SPREAD_S)
        * to_unit_interval(mix_hashes(candidate.hash, query.random))
}

/// A number from 0 to 1.
fn to_unit_interval(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// The finalizer of SplitMix64 over two hashes.
fn mix_hashes(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
