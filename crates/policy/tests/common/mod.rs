//! Helpers shared by the policy tests: permit requests, load reports and limiters.
#![allow(dead_code, reason = "each test binary uses a part")]

use hickory_policy::cost::{Class, Cost};
use hickory_policy::limit::{Answer, Capacity, Limiter, Observed, PermitRequest, Ticket};
use hickory_policy::ramp::Sample;
use hickory_unit::{id, size};
use std::time::{Duration, Instant};

pub const CAPACITY: Capacity =
    Capacity { streams: 64, kv: size::Tokens(450_000), prefill_rate: 40_000 };

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn cost(prefill: u64, decode: u64) -> Cost {
    Cost { prefill: size::Tokens(prefill), decode: size::Tokens(decode) }
}

/// An interactive request with a deadline in one minute.
pub fn interactive(now: Instant, partner: &str, prefill: u64) -> PermitRequest {
    PermitRequest {
        partner: partner.into(),
        account: format!("{partner}-account").as_str().into(),
        class: Class::Interactive,
        cost: cost(prefill, 32),
        deadline: now + Duration::from_secs(60),
        is_exclusive: false,
        is_urgent: false,
    }
}

pub fn batch(now: Instant, partner: &str, prefill: u64) -> PermitRequest {
    PermitRequest { class: Class::Batch, ..interactive(now, partner, prefill) }
}

pub fn sample(incarnation: u64, warmth: u8) -> Sample {
    Sample { incarnation: id::Incarnation(incarnation), warmth, cache_hits: 0, cache_misses: 0 }
}

pub fn observed(incarnation: u64, warmth: u8) -> Observed {
    Observed {
        sample: sample(incarnation, warmth),
        foreign_streams: 0,
        foreign_kv: size::Tokens(0),
        prefill_left: Vec::new(),
    }
}

/// Returns a limiter of a target that has finished its ramp.
pub fn warm(now: Instant, capacity: Capacity) -> (Instant, Limiter) {
    let mut limiter = Limiter::new(capacity);
    let mut now = now;
    while limiter.stream_limit() < capacity.streams {
        limiter.observe(now, &observed(1, 100));
        now += Duration::from_secs(1);
    }
    (now, limiter)
}

pub fn ticket(answer: Answer) -> Ticket {
    match answer {
        Answer::Granted(ticket) | Answer::Queued(ticket) => ticket,
        Answer::Refused(reason, _) => panic!("refused: {reason}"),
    }
}

/// Polls and returns the granted tickets.
pub fn granted(limiter: &mut Limiter, now: Instant) -> Vec<Ticket> {
    limiter.poll(now).into_iter().filter(|(_, a)| a.is_ok()).map(|(t, _)| t).collect()
}
