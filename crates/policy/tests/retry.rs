//! Retries and their budget.

use hickory_policy::refuse::{Ran, Retry};
use hickory_policy::retry::{ATTEMPTS, Budget, EARNED, Excluded, Failure, SAVED, Verdict, judge};

/// Each way to fail against work that may and may not be repeated: an order
/// is never sent again once a byte of it may have been seen, and the refusal
/// never says "not run" then.
#[test]
fn what_may_be_repeated() {
    use Failure::{NeverBegun, NotSent, Stalled, Unknown};
    let table = [
        (NotSent, false, Verdict::Again(Retry::NotSent)),
        (NotSent, true, Verdict::Again(Retry::NotSent)),
        (NeverBegun, false, Verdict::Again(Retry::Refused)),
        (Unknown, true, Verdict::Again(Retry::TargetFailed)),
        (Unknown, false, Verdict::Stop(Ran::Unknown)),
        (Stalled, true, Verdict::Again(Retry::Stalled)),
        (Stalled, false, Verdict::Stop(Ran::Unknown)),
    ];
    for (failure, idempotent, verdict) in table {
        assert_eq!(judge(failure, idempotent, 0), verdict, "{failure:?} {idempotent}");
    }
    assert_eq!(judge(NotSent, true, ATTEMPTS - 1), Verdict::Stop(Ran::No));
    assert_eq!(judge(Unknown, true, ATTEMPTS - 1), Verdict::Stop(Ran::Unknown));
}

/// Every attempt of an account fails for a while: the load stays under one
/// and a fifth of what the account sends, whatever it had saved, and another
/// account's budget is untouched.
#[test]
fn failing_account_adds_a_fifth_at_most() {
    let mut budget = Budget::open();
    let (shop, school) = ("shop".into(), "school".into());
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.earn(&shop);
        retries += u32::from(budget.spend(&shop)) + u32::from(budget.spend(&shop));
    }
    assert!(f64::from(retries) <= 10_000.0 * EARNED + SAVED);
    assert!(budget.spend(&school));
    budget.retain(|account| *account == school);
    assert!(budget.spend(&shop), "an account that comes back starts anew");
}

#[test]
fn failed_targets_are_left_out_once() {
    let mut excluded = Excluded::default();
    excluded.add("a".into());
    excluded.add("a".into());
    assert!(excluded.contains(&"a".into()) && !excluded.contains(&"b".into()));
}
