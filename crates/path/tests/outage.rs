//! Which removals may be lapses of a store outage.

use hickory_path::outage::Outage;
use std::time::Duration;

/// Callers are sent to a target for two seconds after it has left. The store
/// turned a node away; the node's next watch is answered only when, seconds
/// later, a target leaves. That answer is the first after the outage, and the
/// removal in it is no lapse.
#[test]
fn a_removal_in_a_delayed_answer_is_not_a_lapse() {
    let mut outage = Outage::default();
    outage.note_failure();
    assert!(!outage.note_answer(Duration::from_secs(3)));
}

/// All targets vanish when the store comes back: their entries lapsed while it
/// was away, and the first answer shows none. Callers get refusals for two
/// seconds unless those targets are kept.
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
