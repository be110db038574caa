//! Tests of the quarantine of requests that crash their targets.

mod common;

use common::ms;
use hickory_policy::poison::{MAX_FINGERPRINTS, RETENTION, Suspect, Suspects, Verdict};
use proptest::prelude::*;
use std::collections::BTreeSet;
use std::time::Instant;

const POISON: u64 = 7;

/// A request crashes the engine that runs it beside thirty others and is resent forever. It may run
/// once more, alone, and must be refused from then on. The others must each run again alone and be
/// cleared. Only two engines are lost.
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
                Verdict::Clear => {
                    assert_ne!(fingerprint, POISON, "it was allowed to run beside others")
                }
                Verdict::RunAlone if fingerprint == POISON => {
                    suspects.begin_trial(fingerprint, now + ms(60_000));
                    assert_eq!(
                        suspects.verdict(now, fingerprint),
                        Verdict::Wait,
                        "a second copy must wait"
                    );
                    suspects.record_death(now, [fingerprint]);
                    deaths += 1;
                }
                Verdict::RunAlone => {
                    suspects.begin_trial(fingerprint, now + ms(60_000));
                    suspects.record_success(now, fingerprint);
                }
                Verdict::Wait => panic!("no trial is running"),
                Verdict::Quarantined => assert_eq!(fingerprint, POISON),
            }
        }
    }
    assert_eq!(deaths, 2);
    assert_eq!(suspects.verdict(now, POISON), Verdict::Quarantined);
    assert_eq!(suspects.verdict(now + RETENTION, POISON), Verdict::Clear, "the quarantine expires");
}

/// The node that ran the trial dies during it. The suspect must not be blocked forever: it may run
/// alone again after the trial's deadline.
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

/// Statements of other nodes arrive late and in any order. A clearing must not lift a quarantine,
/// an old suspicion must not return after a clearing, and a quarantine must reach nodes that saw no
/// death.
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

/// Many engines die of other causes. Memory must stay bounded, and quarantined fingerprints are
/// evicted last.
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
    /// Nodes that exchange their suspects in any order must end up with equal verdicts, and a
    /// fingerprint that any of them quarantined must be quarantined on all.
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
