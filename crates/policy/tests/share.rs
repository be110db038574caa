//! Tests of a node's share of a fleet-wide limit on repeats.

use hickory_policy::share::{Bound, Budget};
use std::time::{Duration, Instant};

const LIMIT: Bound = Bound { ratio: 0.2, extra: 106.0, window: Duration::from_secs(10) };

/// Half of all requests fail on nine nodes for half a minute. All nodes together must stay within
/// the limit in every window of ten seconds, or retries would multiply the load.
#[test]
fn nine_nodes_stay_within_one_limit() {
    let start = Instant::now();
    let mut nodes = vec![Budget::default(); 9];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for tick in 0..3_000_u32 {
        let now = start + Duration::from_millis(10) * tick;
        let node = &mut nodes[tick as usize % 9];
        node.record_request(now, &LIMIT);
        requests.push(now);
        if tick % 2 == 0 && node.try_spend(now, &LIMIT, 9) {
            repeats.push(now);
        }
    }
    for end in (10..=30).map(|second| start + Duration::from_secs(second)) {
        let within = |at: &&Instant| **at <= end && end - **at < LIMIT.window;
        let allowed = requests.iter().filter(within).count() as f64 * LIMIT.ratio + LIMIT.extra;
        let spent = repeats.iter().filter(within).count() as f64;
        assert!(spent <= allowed, "{spent} repeats, {allowed} allowed");
        assert!(spent >= allowed * 0.4, "{spent} repeats, {allowed} allowed");
    }
}

#[test]
fn a_budget_recovers_with_time() {
    let now = Instant::now();
    let limit = Bound { ratio: 0.0, extra: 2.0, window: Duration::from_secs(10) };
    let mut budget = Budget::default();
    assert!(budget.try_spend(now, &limit, 1));
    assert!(!budget.try_spend(now, &limit, 1));
    assert!(budget.try_spend(now + Duration::from_secs(11), &limit, 1));
}
