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
use hickory_unit::{id, rate, size};
use std::time::Duration;

/// What a target in another zone costs: the way there and back.
const ZONE_COST: Duration = Duration::from_millis(2);

/// What an engine step with a full chunk of long prefill adds to a short
/// prompt's first token: on average half a step goes by before its turn, and
/// its own step carries the rest of the chunk.
const STEP_COST: Duration = Duration::from_millis(60);

/// What a million tokens of KV cache in use add to a first token: each engine
/// step reads them, and there are about three up to a first token.
const KV_COST: Duration = Duration::from_millis(60);

/// What a target without a free slot or free memory costs: a typical answer
/// has to end first.
const FULL_COST: Duration = Duration::from_secs(1);

/// The spread that is put on estimates, as a part of them and at least: two
/// targets that differ by less are the same for the caller, and nodes that
/// choose by equal states must not all choose the same.
const SPREAD_PART: f64 = 0.1;
const SPREAD_LEAST: f64 = 0.001;

/// The part of the saving that counts where the hash names the target and no
/// cache event confirms it. Half: the prefix was sent there if it was sent
/// before at all.
const LIKELY: f64 = 0.5;

/// The least wait that long work accepts on a busy engine before it is put on
/// a further one.
const PACK_LEAST: Duration = Duration::from_secs(1);

/// Seed of the order in which engines take long work.
const LONG_ORDER: u64 = 0x6c6f_6e67_5f6f_7264;

/// What is known of a target that could run the request.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The target.
    pub target: id::Target,
    /// Its hash, by [`hash_target`].
    pub key: u64,
    /// Whether it is in the choosing node's zone.
    pub near: bool,
    /// Whether cache events say that it holds the request's prefix.
    pub cached: bool,
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
    pub bound: u32,
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
pub fn choose_target<'a>(query: &Query, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
    let able = || candidates.iter().filter(|c| c.kv_capacity >= query.cost.kv() && c.bound > 0);
    if query.cost.is_long() {
        let packed = able().filter(|c| takes_long(query.cost, c));
        if let Some(first) = packed.min_by_key(|c| mix(c.key, LONG_ORDER)) {
            return Some(first);
        }
    }
    let home = query.prefix.and_then(|p| able().max_by_key(|c| mix(c.key, p.hash)));
    let home = home.map(|c| c.key);
    able().min_by(|a, b| score(query, home, a).total_cmp(&score(query, home, b)))
}

/// Orders the candidates by the time a first token would take, the best
/// first.
pub fn rank_targets(cost: Cost, candidates: &[Candidate]) -> Vec<&Candidate> {
    let mut ranked: Vec<&Candidate> =
        candidates.iter().filter(|c| c.kv_capacity >= cost.kv()).collect();
    ranked.sort_by_cached_key(|c| (estimate_first_token(cost, c), c.running + c.waiting));
    ranked
}

/// The time until the first token of `cost` would come from `candidate`.
///
/// Engines run short work before long by priority: short work waits for what
/// short work is queued, and for the step of a long prefill that runs.
pub fn estimate_first_token(cost: Cost, candidate: &Candidate) -> Duration {
    let rate = rate::TokensPerSecond(candidate.prefill_rate.max(1) as f64);
    let mut ahead = candidate.queued_prefill;
    let mut steps = Duration::ZERO;
    if !cost.is_long() {
        ahead = ahead.saturating_sub(candidate.queued_long);
        if candidate.queued_long.0 > 0 {
            steps = STEP_COST;
        }
    }
    let full = candidate.running >= candidate.bound || candidate.kv_free < cost.kv();
    let turns = f64::from(candidate.waiting + 1) / f64::from(candidate.bound.max(1));
    let slot = if full { FULL_COST.mul_f64(1.0 + turns) } else { Duration::ZERO };
    let used = candidate.kv_capacity.saturating_sub(candidate.kv_free).0 as f64;
    let memory = KV_COST.mul_f64(used / 1e6);
    rate.time_for(ahead + cost.prefill).saturating_add(steps + slot + memory)
}

/// Whether long work may be packed onto a candidate: it has the memory, and
/// is not busy for longer than the work itself takes.
fn takes_long(cost: Cost, candidate: &Candidate) -> bool {
    let rate = rate::TokensPerSecond(candidate.prefill_rate.max(1) as f64);
    let own = rate.time_for(cost.prefill).max(PACK_LEAST);
    candidate.kv_free >= cost.kv()
        && candidate.running < candidate.bound
        && rate.time_for(candidate.queued_prefill) <= own
}

/// Seconds to the first token, with what the zone costs, what the prefix
/// cache saves, and the spread.
fn score(query: &Query, home: Option<u64>, candidate: &Candidate) -> f64 {
    let estimate = estimate_first_token(query.cost, candidate).as_secs_f64();
    let zone = if candidate.near { 0.0 } else { ZONE_COST.as_secs_f64() };
    let saved = query.prefix.map_or(0.0, |prefix| {
        let time = prefix.tokens.0 as f64 / candidate.prefill_rate.max(1) as f64;
        match (candidate.cached, home == Some(candidate.key)) {
            (true, _) => time,
            (false, true) => time * LIKELY,
            (false, false) => 0.0,
        }
    });
    let spread = estimate.mul_add(SPREAD_PART, SPREAD_LEAST);
    estimate + zone - saved + spread * unit(mix(candidate.key, query.random))
}

/// A number from 0 to 1.
fn unit(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// The finalizer of SplitMix64 over two hashes.
fn mix(a: u64, b: u64) -> u64 {
    let mut z = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
