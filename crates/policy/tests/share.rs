//! The shares of common bounds.

use hickory_policy::share::{Budget, Limit};
use std::time::{Duration, Instant};

const BOUND: Limit = Limit { ratio: 0.2, extra: 106.0, window: Duration::from_secs(10) };

/// Half of all requests fail at their targets, on nine nodes at once, for
/// half a minute. Callers see retries multiply the load unless all nodes
/// together keep to the bound in every window of ten seconds.
#[test]
fn nine_nodes_keep_to_one_bound() {
    let start = Instant::now();
    let mut nodes = vec![Budget::default(); 9];
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    for tick in 0..3_000_u32 {
        let now = start + Duration::from_millis(10) * tick;
        let node = &mut nodes[tick as usize % 9];
        node.record_request(now, &BOUND);
        requests.push(now);
        if tick % 2 == 0 && node.try_spend(now, &BOUND, 9) {
            repeats.push(now);
        }
    }
    for end in (10..=30).map(|second| start + Duration::from_secs(second)) {
        let within = |at: &&Instant| **at <= end && end - **at < BOUND.window;
        let allowed = requests.iter().filter(within).count() as f64 * BOUND.ratio + BOUND.extra;
        let made = repeats.iter().filter(within).count() as f64;
        assert!(made <= allowed, "{made} repeats where {allowed} are allowed");
        assert!(made >= allowed * 0.4, "{made} repeats where {allowed} are allowed");
    }
}

#[test]
fn a_budget_comes_back_with_time() {
    let now = Instant::now();
    let bound = Limit { ratio: 0.0, extra: 2.0, window: Duration::from_secs(10) };
    let mut budget = Budget::default();
    assert!(budget.try_spend(now, &bound, 1));
    assert!(!budget.try_spend(now, &bound, 1));
    assert!(budget.try_spend(now + Duration::from_secs(11), &bound, 1));
}
