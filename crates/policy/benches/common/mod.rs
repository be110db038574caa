//! Fixtures shared by the policy benchmarks: a large fleet and an owner with a long queue, the same
//! in each run.

use hickory_policy::cost::{Class, Cost};
use hickory_policy::limit::{Answer, Capacity, Limiter, Observed, PermitRequest, Ticket};
use hickory_policy::place::{Candidate, Prefix, Query, hash_target};
use hickory_policy::ramp::Sample;
use hickory_unit::{id, size};
use std::time::{Duration, Instant};

const REPLICAS: u64 = 630;
const ACCOUNTS: u64 = 680;
const PARTNERS: u64 = 12;
const QUEUED: usize = 10_000;

/// Returns a pseudo-random number, the same in each run.
pub fn number(index: u64) -> u64 {
    let mut z = index.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z ^ (z >> 27)
}

/// Returns candidates with varied load.
pub fn candidates() -> Vec<Candidate> {
    let candidate = |index: u64| {
        let target = id::Target::from(format!("engine-{index}").as_str());
        let random = number(index);
        Candidate {
            hash: hash_target(&target),
            target,
            is_same_zone: random.is_multiple_of(8),
            is_owned: false,
            has_cached_prefix: random.is_multiple_of(31),
            queued_prefill: size::Tokens(random % 9_000),
            queued_long: size::Tokens(if random.is_multiple_of(5) { random % 3_000 } else { 0 }),
            kv_free: size::Tokens(random % 450_000),
            kv_capacity: size::Tokens(450_000),
            prefill_rate: 40_000,
            max_streams: 64,
            running: (random % 70) as u32,
            waiting: (random % 3) as u32,
        }
    };
    (0..REPLICAS).map(candidate).collect()
}

pub fn query(index: u64) -> Query {
    let random = number(index);
    let prefix = Prefix { hash: random % 500, tokens: size::Tokens(512) };
    let prefill =
        if random.is_multiple_of(50) { 100_000 + random % 200_000 } else { 500 + random % 3_000 };
    let cost = Cost { prefill: size::Tokens(prefill), decode: size::Tokens(100) };
    Query { cost, class: Class::Interactive, prefix: Some(prefix), random }
}

pub fn permit_request(now: Instant, query: &Query) -> PermitRequest {
    let account = query.random % ACCOUNTS;
    PermitRequest {
        partner: format!("partner-{}", account % PARTNERS).as_str().into(),
        account: format!("account-{account}").as_str().into(),
        class: if query.random.is_multiple_of(3) { Class::Batch } else { Class::Interactive },
        cost: query.cost,
        deadline: now + Duration::from_secs(36_000),
        is_exclusive: false,
        is_urgent: false,
    }
}

/// Returns a warm, full limiter with queued requests, and the running permits.
pub fn limiter(start: Instant) -> (Instant, Limiter, Vec<Ticket>) {
    let capacity = Capacity { streams: 64, kv: size::Tokens(450_000_000), prefill_rate: 4_000_000 };
    let mut limiter = Limiter::new(capacity);
    limiter.set_max_queue_length(2 * QUEUED);
    let mut now = start;
    while limiter.stream_limit() < capacity.streams {
        let incarnation = id::Incarnation(1);
        let sample = Sample { incarnation, warmth: 100, cache_hits: 0, cache_misses: 0 };
        let (foreign, foreign_kv) = (0, size::Tokens(0));
        let prefill_left = Vec::new();
        limiter
            .observe(now, &Observed { sample, foreign_streams: foreign, foreign_kv, prefill_left });
        now += Duration::from_secs(1);
    }
    let mut running = Vec::new();
    let mut index = 0;
    while limiter.waiting() < QUEUED {
        index += 1;
        if let Answer::Granted(ticket) =
            limiter.request_permit(now, permit_request(now, &query(index)))
        {
            running.push(ticket);
        }
        now += Duration::from_micros(100);
    }
    (now, limiter, running)
}
