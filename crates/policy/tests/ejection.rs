//! Tests of outlier ejection: which targets are avoided because they fail more often than others.

use hickory_policy::ejection::Ejection;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Replays `per_second` requests per second to targets with these failure rates; returns for each
/// target the fraction of requests after which it was avoided.
fn replay(rates: &[f64], per_second: u64, seconds: u64) -> Vec<f64> {
    let mut random = StdRng::seed_from_u64(1);
    let (mut ejection, mut now) = (Ejection::default(), Instant::now());
    let mut avoided = vec![0_u32; rates.len()];
    let requests = per_second * seconds;
    for _ in 0..requests {
        now += Duration::from_secs(1) / per_second as u32;
        let target = random.random_range(0..rates.len());
        ejection.record_outcome(now, target, !random.random_bool(rates[target]));
        let costs = ejection.expected_costs(now, 0..rates.len());
        for (count, cost) in avoided.iter_mut().zip(costs) {
            *count += u32::from(cost >= ms(300));
        }
    }
    avoided.into_iter().map(|count| f64::from(count) / requests as f64).collect()
}

/// Guards against avoiding most replicas of a service whose application fails one request in
/// twelve, when many nodes send many requests.
#[test]
fn replicas_with_equal_failure_rates_are_not_avoided_at_any_request_rate() {
    for per_second in [25, 250, 2_500] {
        let avoided = replay(&[0.08; 5], per_second, 20);
        let most = avoided.iter().copied().fold(0.0, f64::max);
        assert!(most < 0.25, "{per_second} requests per second: {avoided:.2?}");
        let mean = avoided.iter().sum::<f64>() / 5.0;
        assert!(mean < 0.15, "{per_second} requests per second: {avoided:.2?}");
    }
}

/// Guards against sending requests again and again to the one replica that fails half of them.
#[test]
fn a_replica_that_fails_more_than_the_others_is_avoided() {
    for per_second in [25, 250] {
        let avoided = replay(&[0.02, 0.5, 0.02, 0.02, 0.02], per_second, 20);
        assert!(avoided[1] > 0.5, "{per_second} requests per second: {avoided:.2?}");
        assert!(avoided[0] < 0.1, "{per_second} requests per second: {avoided:.2?}");
    }
}

/// Guards against avoiding all targets when most of them fail.
#[test]
fn at_most_half_are_avoided() {
    let (mut ejection, now) = (Ejection::default(), Instant::now());
    for target in 0..7 {
        (0..3).for_each(|_| ejection.record_outcome(now, target, false));
    }
    let avoided = |ejection: &Ejection<u32>| {
        ejection.expected_costs(now, 0..10).into_iter().filter(|cost| !cost.is_zero()).count()
    };
    assert_eq!(avoided(&ejection), 0, "seven of ten targets fail equally");
    let mut ejection = Ejection::default();
    (0..3).for_each(|_| ejection.record_outcome(now, 1, false));
    assert_eq!(avoided(&ejection), 1);
}

/// Guards against never using a target again after it has recovered.
#[test]
fn a_failed_target_is_tried_again() {
    let (mut ejection, now) = (Ejection::default(), Instant::now());
    (0..8).for_each(|_| ejection.record_outcome(now, 1, false));
    let cost = |ejection: &Ejection<u32>, at| ejection.expected_costs(now + ms(at), 0..4)[1];
    assert!(cost(&ejection, 0) > ms(2_000));
    assert!(cost(&ejection, 12_000) < ms(60), "the rate decays with time");
    (0..4).for_each(|_| ejection.record_outcome(now, 1, true));
    assert!(cost(&ejection, 0) < ms(100), "the rate drops with successes");
}

/// Guards against a series of failing long prompts: engines that shut down unannounced look idle
/// and refuse each chunk.
#[test]
fn an_engine_that_refuses_chunks_receives_none_during_the_backoff() {
    let (mut ejection, now) = (Ejection::default(), Instant::now());
    ejection.record_chunk_refusal(now, 1);
    ejection.record_chunk_refusal(now + ms(5), 1);
    assert!(ejection.refuses_chunks(now + ms(2_900), 1) && !ejection.refuses_chunks(now, 2));
    assert!(!ejection.refuses_chunks(now + ms(3_100), 1), "simultaneous refusals count once");
    ejection.record_chunk_refusal(now + ms(3_100), 1);
    assert!(ejection.refuses_chunks(now + ms(9_000), 1), "a further refusal doubles the backoff");
}

/// Guards against requests that try one target after another in a zone that is down.
#[test]
fn an_unreachable_target_is_avoided_immediately() {
    let (mut ejection, now) = (Ejection::default(), Instant::now());
    let cost =
        |ejection: &Ejection<usize>, after| ejection.expected_costs(now + ms(after), 0..5)[2];
    ejection.record_outcome(now, 2, false);
    let failed = cost(&ejection, 0);
    ejection.record_unreachable(now, 2);
    assert!(cost(&ejection, 0) > failed * 4, "{:?}, {failed:?}", cost(&ejection, 0));
    // It is tried again after a few seconds.
    assert!(cost(&ejection, 4_000) < ms(300), "{:?}", cost(&ejection, 4_000));
    ejection.record_outcome(now + ms(4_000), 2, true);
    assert!(cost(&ejection, 4_000) < ms(100));
}
