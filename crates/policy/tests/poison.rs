//! Requests that crash what runs them.

mod common;

use common::ms;
use hickory_policy::poison::{MAX_FINGERPRINTS, RETENTION, Suspect, Suspects, Verdict};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Instant;

const POISON: u64 = 7;

/// A request crashes the engine that runs it beside thirty others, and is
/// sent again without end. It runs once more, alone, and is refused from then
/// on; the thirty run again alone and are cleared. Two engines are lost.
#[test]
fn poison_kills_two_engines_and_no_innocent_request() {
    let mut now = Instant::now();
    let mut suspects = Suspects::new();
    suspects.record_death(now, 0..31);
    let mut deaths = 1;
    for _ in 0..100 {
        for fingerprint in 0..31 {
            now += ms(10);
            match suspects.verdict(now, fingerprint) {
                Verdict::Clear => assert_ne!(fingerprint, POISON, "it ran beside others"),
                Verdict::RunAlone if fingerprint == POISON => {
                    suspects.begin_trial(fingerprint, now + ms(60_000));
                    assert_eq!(suspects.verdict(now, fingerprint), Verdict::Wait, "a second copy");
                    suspects.record_death(now, [fingerprint]);
                    deaths += 1;
                }
                Verdict::RunAlone => {
                    suspects.begin_trial(fingerprint, now + ms(60_000));
                    suspects.record_success(now, fingerprint);
                }
                Verdict::Wait => panic!("no trial runs"),
                Verdict::Quarantined => assert_eq!(fingerprint, POISON),
            }
        }
    }
    assert_eq!(deaths, 2);
    assert_eq!(suspects.verdict(now, POISON), Verdict::Quarantined);
    assert_eq!(suspects.verdict(now + RETENTION, POISON), Verdict::Clear, "it expires");
}

/// The node that ran the trial dies with it: the suspect isn't held for ever,
/// and runs alone again after the trial's deadline.
#[test]
fn lost_trial_ends_at_its_deadline() {
    let now = Instant::now();
    let mut suspects = Suspects::new();
    suspects.record_death(now, [POISON]);
    suspects.begin_trial(POISON, now + ms(500));
    assert_eq!(suspects.verdict(now + ms(499), POISON), Verdict::Wait);
    assert_eq!(suspects.verdict(now + ms(500), POISON), Verdict::RunAlone);
    suspects.begin_trial(POISON, now + ms(9_000));
    suspects.cancel_trial(POISON);
    assert_eq!(suspects.verdict(now + ms(600), POISON), Verdict::RunAlone);
}

/// Words of other nodes come late and in any order: a clearing does not lift
/// a quarantine, an old suspicion does not come back after a clearing, and a
/// quarantine reaches nodes that saw no death.
#[test]
fn suspects_from_other_nodes_are_merged_in_any_order() {
    let now = Instant::now() + ms(10_000_000);
    let statement = |deaths, age| [Suspect { fingerprint: POISON, deaths, age: ms(age) }];
    let mut suspects = Suspects::new();
    suspects.merge(now, statement(1, 5_000));
    assert_eq!(suspects.verdict(now, POISON), Verdict::RunAlone);
    suspects.record_success(now, POISON);
    suspects.merge(now, statement(1, 4_000));
    assert_eq!(suspects.verdict(now, POISON), Verdict::Clear);
    suspects.merge(now, statement(2, 3_000));
    assert_eq!(suspects.verdict(now, POISON), Verdict::Quarantined);
    suspects.merge(now, statement(0, 0));
    assert_eq!(suspects.verdict(now, POISON), Verdict::Quarantined);
    assert_eq!(suspects.snapshot(now), statement(2, 3_000));
}

/// Many engines die of other causes: memory stays bounded, and quarantines
/// are the last to go.
#[test]
fn memory_is_bounded() {
    let mut now = Instant::now();
    let mut suspects = Suspects::new();
    suspects.record_death(now, [POISON]);
    suspects.record_death(now, [POISON]);
    for fingerprint in 100..20_000 {
        now += ms(1);
        suspects.record_death(now, [fingerprint]);
        assert!(suspects.len() <= MAX_FINGERPRINTS);
    }
    assert_eq!(suspects.verdict(now, POISON), Verdict::Quarantined);
    assert_eq!(suspects.verdict(now, 19_999), Verdict::RunAlone);
}

proptest! {
    /// Nodes that exchange what they know, in any order, agree at last, and a
    /// fingerprint that any of them saw at two deaths is quarantined on all.
    #[test]
    fn exchanging_nodes_converge(ops in prop::collection::vec((0usize..3, 0u64..4, 0u8..4), 1..60)) {
        let mut now = Instant::now();
        let mut nodes = [Suspects::new(), Suspects::new(), Suspects::new()];
        let mut quarantined = BTreeSet::new();
        for (node, fingerprint, op) in ops {
            now += ms(10);
            match op {
                0 => nodes[node].record_death(now, [fingerprint]),
                1 => nodes[node].record_success(now, fingerprint),
                _ => {
                    let snapshot = nodes[node].snapshot(now);
                    nodes[(node + 1) % 3].merge(now, snapshot);
                }
            }
            if nodes[node].verdict(now, fingerprint) == Verdict::Quarantined {
                quarantined.insert(fingerprint);
            }
        }
        for round in 0..6 {
            let snapshot = nodes[round % 3].snapshot(now);
            nodes[(round + 1) % 3].merge(now, snapshot);
        }
        for fingerprint in 0..4 {
            let verdicts = nodes.each_mut().map(|node| node.verdict(now, fingerprint));
            prop_assert!(verdicts.iter().all(|v| *v == verdicts[0]), "{:?}", verdicts);
            prop_assert!(!quarantined.contains(&fingerprint) || verdicts[0] == Verdict::Quarantined);
        }
    }
}
