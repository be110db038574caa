//! Tests of retries and retry budgets.

use hickory_policy::refuse::{Ran, RetryReason};
use hickory_policy::retry::{
    Budget, Excluded, Failure, MAX_ATTEMPTS, MAX_SAVED_RETRIES, RETRIES_PER_REQUEST, Verdict,
    decide,
};

/// Covers each kind of failure of work that may and may not be repeated. Non-idempotent work must
/// never be sent again once the target may have received a byte of it, and its refusal must not
/// claim that it did not run.
#[test]
fn retry_decision_by_failure_and_idempotency() {
    use Failure::{NeverBegun, NotSent, Stalled, Unknown};
    let table = [
        (NotSent, false, Verdict::Retry(RetryReason::NotSent)),
        (NotSent, true, Verdict::Retry(RetryReason::NotSent)),
        (NeverBegun, false, Verdict::Retry(RetryReason::Refused)),
        (Unknown, true, Verdict::Retry(RetryReason::TargetFailed)),
        (Unknown, false, Verdict::Stop(Ran::Unknown)),
        (Stalled, true, Verdict::Retry(RetryReason::Stalled)),
        (Stalled, false, Verdict::Stop(Ran::Unknown)),
    ];
    for (failure, idempotent, verdict) in table {
        assert_eq!(decide(failure, idempotent, 0), verdict, "{failure:?} {idempotent}");
    }
    assert_eq!(decide(NotSent, true, MAX_ATTEMPTS - 1), Verdict::Stop(Ran::No));
    assert_eq!(decide(Unknown, true, MAX_ATTEMPTS - 1), Verdict::Stop(Ran::Unknown));
}

/// All attempts of an account fail for a while. The retries must add at most a fifth to its load,
/// beyond the saved ones, and another account's budget must stay untouched.
#[test]
fn failing_account_adds_at_most_a_fifth_of_load() {
    let mut budget = Budget::new();
    let (shop, school) = ("shop".into(), "school".into());
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.record_request(&shop);
        retries += u32::from(budget.try_spend(&shop)) + u32::from(budget.try_spend(&shop));
    }
    assert!(f64::from(retries) <= 10_000.0 * RETRIES_PER_REQUEST + MAX_SAVED_RETRIES);
    assert!(budget.try_spend(&school));
    budget.retain(|account| *account == school);
    assert!(budget.try_spend(&shop), "a removed account starts with a full budget");
}

#[test]
fn failed_targets_are_excluded() {
    let mut excluded = Excluded::default();
    excluded.add("a".into());
    excluded.add("a".into());
    assert!(excluded.contains(&"a".into()) && !excluded.contains(&"b".into()));
}
