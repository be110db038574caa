//! What follows when a target answers that a request is misdirected.

use hickory_policy::misdirection::Misdirection;

/// Guards against a caller's wrong version that is taken for a target with another address, and
/// against an address of another target that no request finds out.
#[test]
fn only_an_answer_that_no_version_explains_concerns_the_address() {
    let rows = [
        (Some(false), false, Misdirection::Address),
        (Some(false), true, Misdirection::Address),
        (Some(true), false, Misdirection::Request),
        (Some(true), true, Misdirection::Request),
        (None, false, Misdirection::Address),
        (None, true, Misdirection::Unknown),
    ];
    for (is_expected_target, names_version, cause) in rows {
        let found = Misdirection::new(is_expected_target, names_version);
        assert_eq!(found, cause, "{is_expected_target:?}, {names_version}");
    }
}
