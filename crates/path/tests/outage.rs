//! Which removals may be lease expiries caused by a store outage.

use hickory_path::outage::Outage;
use std::time::Duration;

/// Guards against requests to a target for two seconds after it has left. The store
/// rejected a call of the node, and the next watch is answered only seconds later, when a
/// target leaves. This is the first answer after the outage, but the removal in it is not a
/// lapse.
#[test]
fn a_removal_in_a_delayed_answer_is_not_a_lapse() {
    let mut outage = Outage::default();
    outage.note_failure();
    assert!(!outage.note_answer(Duration::from_secs(3)));
}

/// Guards against the loss of all targets when the store returns: their entries expired
/// during the outage, and the first answer contains none. Without the lapse rule callers
/// get refusals for two seconds.
#[test]
fn a_removal_in_an_immediate_first_answer_may_be_a_lapse() {
    let mut outage = Outage::default();
    outage.note_failure();
    assert!(outage.is_ongoing());
    assert!(outage.note_answer(Duration::from_millis(4)));
    assert!(!outage.is_ongoing());
}

#[test]
fn without_an_outage_a_removal_is_not_a_lapse() {
    let mut outage = Outage::default();
    assert!(!outage.note_answer(Duration::from_millis(4)));
    outage.note_failure();
    outage.note_answer(Duration::from_millis(4));
    assert!(!outage.note_answer(Duration::from_millis(4)));
}
