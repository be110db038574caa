//! When targets that are kept from requests by a statement are asked again.

use hickory_policy::recheck::{Doubtful, Hold};
use std::time::{Duration, Instant};

const fn s(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Guards against a false statement that keeps a target from requests until it expires, and against
/// checks each second of a target that does leave.
#[test]
fn a_held_target_is_checked_within_seconds_and_then_rarely() {
    for (hold, first) in [(Hold::Leaving, [3, 6, 12, 24]), (Hold::Resting, [10, 20, 40, 70])] {
        let start = Instant::now();
        let (mut checked_at, mut checks) = (None, Vec::new());
        for second in 0..=600 {
            let now = start + s(second);
            if hold.is_due(now, start, checked_at) {
                checked_at = Some(now);
                checks.push(second);
            }
        }
        assert_eq!(checks[..4], first);
        assert!(checks.windows(2).all(|pair| pair[1] - pair[0] <= 30), "{checks:?}");
        assert!(checks.len() < 30, "{} checks in ten minutes", checks.len());
    }
}

/// Guards against callers that cause a check with each of their requests.
#[test]
fn requests_cause_few_checks() {
    let start = Instant::now();
    let mut doubtful = Doubtful::default();
    let mut checks = 0;
    for round in 0..1_000 {
        let now = start + Duration::from_millis(10 * round);
        (0..4).for_each(|target| doubtful.record(now, target));
        checks += doubtful.take(now, 2).len();
    }
    assert_eq!(checks, 8, "checks of four targets in ten seconds");
}

/// Guards against unbounded memory.
#[test]
fn targets_in_doubt_are_bounded() {
    let (now, mut doubtful) = (Instant::now(), Doubtful::default());
    (0..10_000).for_each(|target| doubtful.record(now, target));
    assert_eq!(doubtful.take(now, 10_000).len(), 4_096);
}
