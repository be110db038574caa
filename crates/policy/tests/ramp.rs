//! Tests of the slow start of a cold target.

mod common;

use common::{granted, interactive, ms, observed, sample, ticket, warm};
use hickory_policy::limit::{Answer, Limiter, Outcome};
use hickory_policy::ramp::{COLD_STREAM_LIMIT, ColdCause, Ramp};
use std::time::{Duration, Instant};

/// Callers of all nodes send 200 requests to a target that has just started. Its reported warmth is
/// the percentage of its streams that it can run, and grows by 10 points per second. Without the
/// ramp all 64 slots would fill at once, and the overloaded target would fail all of them.
#[test]
fn burst_on_cold_target_stays_within_reported_warmth() {
    let mut now = Instant::now();
    let mut limiter = Limiter::new(common::CAPACITY);
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let mut completed = 0;
    for _ in 0..200 {
        if let Answer::Granted(t) = limiter.request_permit(now, interactive(now, "mawe", 500)) {
            running.push((now, t));
        }
    }
    for tick in 0_u64..600 {
        let warmth = (5 + tick / 50 * 10).min(100) as u8;
        if tick % 50 == 0 {
            limiter.observe(now, &observed(1, warmth));
        }
        running.extend(granted(&mut limiter, now).into_iter().map(|t| (now, t)));
        let allowed = (64 * usize::from(warmth) / 100).max(COLD_STREAM_LIMIT as usize);
        assert!(running.len() <= allowed, "{} streams at warmth {warmth}", running.len());
        now += ms(20);
        let (ended, rest): (Vec<_>, Vec<_>) =
            running.into_iter().partition(|&(at, _)| now >= at + ms(400));
        running = rest;
        completed += ended.len();
        for (_, t) in ended {
            limiter.complete(now, t, Outcome::Completed(Some(ms(30))));
        }
    }
    assert_eq!((completed, limiter.waiting()), (200, 0));
}

/// A new owner takes over a target that has long been warm. It must allow half of the reported
/// streams immediately and the rest within seconds, to limit the cost of a change of owner.
#[test]
fn new_owner_of_warm_target_starts_at_half_the_limit() {
    let now = Instant::now();
    let mut ramp = Ramp::new(64);
    ramp.observe(now, sample(1, 100));
    assert_eq!(ramp.stream_limit(), 32);
    ramp.observe(now + ms(1_000), sample(1, 100));
    assert_eq!(ramp.stream_limit(), 64);
}

/// A warm target restarts between two reports, or loses its warmth within an incarnation. It must
/// not be used up to the full limit.
#[test]
fn restart_or_warmth_drop_restarts_the_ramp() {
    for (next, cold) in
        [(sample(2, 10), ColdCause::Restarted), (sample(1, 40), ColdCause::WarmthFell)]
    {
        let now = Instant::now();
        let mut ramp = Ramp::new(64);
        ramp.observe(now, sample(1, 100));
        ramp.observe(now + ms(1_000), sample(1, 100));
        assert_eq!(ramp.observe(now + ms(2_000), next), Some(cold));
        assert_eq!(ramp.stream_limit(), COLD_STREAM_LIMIT);
    }
}

/// The report still shows a warm target, but first tokens take ten times as long. The third late
/// token in a row must reduce the limit; a single one must not.
#[test]
fn late_first_tokens_restart_the_ramp() {
    let now = Instant::now();
    let mut ramp = Ramp::new(64);
    ramp.observe(now, sample(1, 100));
    let late = Some((ms(900), ms(90)));
    let on_time = Some((ms(90), ms(90)));
    let causes = [late, on_time, late, late, late].map(|first| ramp.record_success(now, first));
    assert_eq!(causes, [None, None, None, None, Some(ColdCause::LatencyLeapt)]);
    assert_eq!(ramp.stream_limit(), 8);
}

/// The prefix cache served half of the tokens and now serves none, so the engine has lost it.
/// Samples that are too small must not lead to a decision.
#[test]
fn emptied_prefix_cache_restarts_the_ramp() {
    let mut now = Instant::now();
    let mut ramp = Ramp::new(64);
    let mut last = sample(1, 100);
    for _ in 0..4 {
        ramp.observe(now, last);
        last.cache_hits += 50_000;
        last.cache_misses += 50_000;
        now += Duration::from_secs(1);
    }
    last.cache_hits -= 50_000;
    last.cache_misses -= 40_000;
    assert_eq!(ramp.observe(now, last), None, "10,000 tokens are too few to judge");
    last.cache_misses += 60_000;
    assert_eq!(ramp.observe(now, last), Some(ColdCause::CacheEmptied));
    assert_eq!(ramp.stream_limit(), 16);
}

/// A failure halves the limit. When the target then reports that it is cold, the slow start begins
/// again, and time alone must not raise the limit above the reported warmth.
#[test]
fn failure_halves_the_limit() {
    let (now, mut limiter) = warm(Instant::now(), common::CAPACITY);
    let t = ticket(limiter.request_permit(now, interactive(now, "mawe", 500)));
    limiter.complete(now, t, Outcome::Failed);
    assert_eq!(limiter.stream_limit(), 32);
    limiter.observe(now, &observed(1, 30));
    assert_eq!(limiter.stream_limit(), COLD_STREAM_LIMIT);
    for second in 1..60 {
        limiter.observe(now + Duration::from_secs(second), &observed(1, 30));
    }
    assert_eq!(limiter.stream_limit(), 64 * 30 / 100);
}
