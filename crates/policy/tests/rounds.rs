//! A configuration spreads over a fleet in the time that users bear, whatever
//! its size, and with faults on the way.

#[path = "spread/mod.rs"]
mod model;

use model::case::{Case, Fault, Outcome, Policy};
use std::time::Duration;

/// Seeds of each case.
const SEEDS: u64 = 10;

/// Bytes of the configurations.
const SIZES: [u64; 4] = [10_000, 60_000, 270_000, 1_000_000];

/// Bytes of the largest one.
const LARGEST_BYTES: u64 = 1_000_000;

/// Nodes of the fleets, and the time in which all of each have a configuration.
const FLEETS: [(usize, Duration); 3] =
    [(9, Duration::from_secs(2)), (79, Duration::from_secs(3)), (380, Duration::from_secs(8))];

/// Bytes that may be sent for each that has to be.
const OVERHEAD_MOST: f64 = 1.1;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Plays a kind of case over these sizes, all fleets and seeds; fails with all
/// that broke a bound. A fault may lengthen the time by `fault`, for those that
/// it hits; the others have the usual one.
fn check(sizes: &[u64], fault: Duration, change: impl Fn(Case) -> Case) {
    let mut broken = Vec::new();
    for (nodes, bound) in FLEETS {
        for size in sizes {
            let case = change(Case::new(nodes, *size));
            for seed in 1..=SEEDS {
                let outcome = model::play(&case, Policy::Metered, seed);
                let fault = breach(&case, &outcome, bound, fault);
                broken.extend(
                    fault.map(|what| format!("{nodes} nodes, {size} bytes, seed {seed}: {what}")),
                );
            }
        }
    }
    assert!(broken.is_empty(), "{} broke a bound:\n{}", broken.len(), broken.join("\n"));
}

fn breach(case: &Case, outcome: &Outcome, bound: Duration, fault: Duration) -> Option<String> {
    let bound = case.last_write() + bound;
    let (last, spared) = (outcome.last_time(), outcome.last_unaffected_time());
    let overhead = outcome.overhead(case);
    if last.is_none_or(|last| last > bound + fault) {
        return Some(format!("the last had it at {last:?}"));
    }
    if spared.is_none_or(|last| last > bound) {
        return Some(format!("the last without a fault of its own had it at {spared:?}"));
    }
    (overhead > OVERHEAD_MOST).then(|| format!("{overhead:.2} of the bytes were sent"))
}

fn with_fault(fault: Fault) -> impl Fn(Case) -> Case {
    move |case| Case { fault, ..case }
}

/// Callers of routes that were just added get 404 for seconds. Operators write
/// 270 KB, three of 79 nodes hear it, and the others ask these for the whole at
/// the same moment. Each of the three sends two dozen copies at once over a link
/// that carries nine in a second, none is whole when its taker gives up, and all
/// ask again. The replay has to show it, or it proves nothing of the mend.
#[test]
fn everybody_at_once_collapses() {
    let case = Case::new(79, 270_000);
    for seed in 1..=SEEDS {
        let last = model::play(&case, Policy::Unlimited, seed).last_time();
        assert!(last.is_none_or(|last| last > Duration::from_secs(3)), "seed {seed}: {last:?}");
    }
}

/// Callers of routes that were just added get 404 until the last node has the
/// configuration. Three nodes hear it, all others want it of them at once. Each
/// giver takes on what its link can send soon and names its earlier takers to
/// the rest, so that the givers double with each round.
#[test]
fn all_have_it_in_time() {
    check(&SIZES, Duration::ZERO, |case| case);
}

/// Two of the three nodes that heard the configuration die while they send it,
/// without a word. Their takers see nothing for a while, keep the pieces, and
/// ask the third or those that it gave to.
#[test]
fn givers_die_in_the_middle() {
    check(&SIZES[..3], Duration::ZERO, with_fault(Fault::Death { at: ms(100) }));
}

/// As above, with the largest configuration.
#[test]
fn givers_die_in_the_middle_of_the_largest() {
    check(&[LARGEST_BYTES], Duration::ZERO, with_fault(Fault::Death { at: ms(100) }));
}

/// Some takers ask for the configuration and read nothing of it for seconds.
/// They ask one giver after the other and hold an answer at each. All others
/// have it in the usual time, as a place that was taken on is free again once
/// the link could have sent it.
#[test]
fn takers_stop_reading() {
    let fault = Fault::StopReading { part: 0.05, time: Duration::from_secs(5) };
    check(&SIZES, Duration::from_secs(5), with_fault(fault));
}

/// A third of the nodes can't reach the others, while the configuration is
/// written or soon after. What they were being sent falls silent, and whom they
/// ask is silent too. Once the network is whole they have it in the usual time.
#[test]
fn a_third_is_cut_off() {
    for begin in [ms(0), ms(50)] {
        let end = begin + Duration::from_secs(3);
        check(&SIZES, end, with_fault(Fault::Cut { begin, end }));
    }
}

/// Operators write five configurations, each long before the one before it is
/// everywhere. Links are full of older ones, which nobody breaks off. Whoever
/// gives has moved on and gives the newest that it has.
#[test]
fn configurations_follow_each_other() {
    check(&SIZES[..3], Duration::ZERO, |case| Case {
        versions: 5,
        write_interval: ms(330),
        ..case
    });
}

/// As above, with the largest configuration: a link needs longer for one than
/// passes until the next is written.
#[test]
fn largest_configurations_follow_each_other() {
    let change = |case| Case { versions: 5, write_interval: ms(330), ..case };
    check(&[LARGEST_BYTES], Duration::ZERO, change);
}

/// Few nodes have fast links, and most slow ones. The fast ones give to more at
/// a time, the slow ones to no more than they can send.
#[test]
fn links_are_unlike() {
    check(&SIZES, Duration::ZERO, |case| Case { fast_nodes: 6, ..case });
}

/// One node alone hears the configuration, and all others want it of that one.
#[test]
fn only_one_has_it_first() {
    check(&SIZES[..3], Duration::ZERO, |case| Case { initial_holders: 1, ..case });
}

/// As above, with the largest configuration.
#[test]
fn only_one_has_the_largest_first() {
    check(&[LARGEST_BYTES], Duration::ZERO, |case| Case { initial_holders: 1, ..case });
}
