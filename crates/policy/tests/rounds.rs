//! Tests that a configuration of any size reaches all nodes of a fleet in the required time, also
//! with faults during the distribution.

#[path = "spread/mod.rs"]
mod model;

use model::case::{Case, Fault, Outcome, Policy};
use std::time::Duration;

/// Number of seeds for each case.
const SEEDS: u64 = 10;

/// Sizes of the configurations in bytes.
const SIZES: [u64; 4] = [10_000, 60_000, 270_000, 1_000_000];

/// Size of the largest configuration in bytes.
const LARGEST_BYTES: u64 = 1_000_000;

/// Number of nodes of each fleet, and the time in which all of them must have a configuration.
const FLEETS: [(usize, Duration); 3] =
    [(9, Duration::from_secs(2)), (79, Duration::from_secs(3)), (380, Duration::from_secs(8))];

/// Maximum ratio of the bytes that are sent to the bytes that have to be sent.
const MAX_OVERHEAD: f64 = 1.1;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Simulates a case for these sizes with all fleets and seeds, and fails with a list of all broken
/// bounds. A fault may extend the time by `fault` for the nodes that it affects; the other nodes
/// must keep the usual bound.
fn check_bounds(sizes: &[u64], fault: Duration, change: impl Fn(Case) -> Case) {
    let mut broken = Vec::new();
    for (nodes, bound) in FLEETS {
        for size in sizes {
            let case = change(Case::new(nodes, *size));
            for seed in 1..=SEEDS {
                let outcome = model::play(&case, Policy::Metered, seed);
                let fault = find_breach(&case, &outcome, bound, fault);
                broken.extend(
                    fault.map(|what| format!("{nodes} nodes, {size} bytes, seed {seed}: {what}")),
                );
            }
        }
    }
    assert!(broken.is_empty(), "{} broke a bound:\n{}", broken.len(), broken.join("\n"));
}

fn find_breach(case: &Case, outcome: &Outcome, bound: Duration, fault: Duration) -> Option<String> {
    let bound = case.last_write() + bound;
    let (last, spared) = (outcome.last_time(), outcome.last_unaffected_time());
    let overhead = outcome.overhead(case);
    if last.is_none_or(|last| last > bound + fault) {
        return Some(format!("the last node had it at {last:?}"));
    }
    if spared.is_none_or(|last| last > bound) {
        return Some(format!("the last unaffected node had it at {spared:?}"));
    }
    (overhead > MAX_OVERHEAD).then(|| format!("{overhead:.2} times the necessary bytes were sent"))
}

fn with_fault(fault: Fault) -> impl Fn(Case) -> Case {
    move |case| Case { fault, ..case }
}

/// Shows the failure that the distribution by turns avoids: callers of new routes get 404 for
/// seconds. Three of 79 nodes receive a configuration of 270 KB, and all others request it from
/// them simultaneously. Each sender starts two dozen transfers over a link that can carry nine per
/// second, so no transfer completes before its receiver gives up and all of them request it again.
/// If the simulation doesn't show this, the other tests prove nothing.
#[test]
fn simultaneous_requests_congest_the_links() {
    let case = Case::new(79, 270_000);
    for seed in 1..=SEEDS {
        let last = model::play(&case, Policy::Unlimited, seed).last_time();
        assert!(last.is_none_or(|last| last > Duration::from_secs(3)), "seed {seed}: {last:?}");
    }
}

/// Guards against slow distribution, which causes 404 for callers of new routes. Three nodes have
/// the configuration and all others request it from them. Each sender accepts as many transfers as
/// its link can soon send and refers the rest to its earlier receivers, so that the number of
/// senders doubles each round.
#[test]
fn all_nodes_have_it_in_time() {
    check_bounds(&SIZES, Duration::ZERO, |case| case);
}

/// Two of the three nodes with the configuration die silently while they send it. Their receivers
/// must detect this by a timeout, keep what they received, and request the rest from the third node
/// or from its receivers.
#[test]
fn senders_die_during_transfer() {
    check_bounds(&SIZES[..3], Duration::ZERO, with_fault(Fault::Death { at: ms(100) }));
}

/// As above, with the largest configuration.
#[test]
fn senders_die_during_transfer_of_the_largest() {
    check_bounds(&[LARGEST_BYTES], Duration::ZERO, with_fault(Fault::Death { at: ms(100) }));
}

/// Some receivers request the configuration, read no data for seconds and occupy a transfer slot at
/// one sender after another. All other nodes must have it in the usual time, since a slot is free
/// again after the time that the link needs for the transfer.
#[test]
fn receivers_stop_reading() {
    let fault = Fault::StopReading { fraction: 0.05, time: Duration::from_secs(5) };
    check_bounds(&SIZES, Duration::from_secs(5), with_fault(fault));
}

/// A third of the nodes are partitioned from the others during or shortly after the write. Their
/// transfers stall and the nodes that they ask don't answer. They must have the configuration in
/// the usual time after the partition ends.
#[test]
fn a_third_of_the_nodes_is_partitioned() {
    for begin in [ms(0), ms(50)] {
        let end = begin + Duration::from_secs(3);
        check_bounds(&SIZES, end, with_fault(Fault::Cut { begin, end }));
    }
}

/// Operators write five configurations, each long before the previous one has reached all nodes.
/// Links are busy with older versions, whose transfers aren't aborted. Senders must offer the
/// newest version that they have.
#[test]
fn configurations_are_written_in_quick_succession() {
    check_bounds(&SIZES[..3], Duration::ZERO, |case| Case {
        versions: 5,
        write_interval: ms(330),
        ..case
    });
}

/// As above, with the largest configuration: a link needs more time for one transfer than passes
/// between two writes.
#[test]
fn largest_configurations_are_written_in_quick_succession() {
    let change = |case| Case { versions: 5, write_interval: ms(330), ..case };
    check_bounds(&[LARGEST_BYTES], Duration::ZERO, change);
}

/// Few nodes have fast links and most have slow ones. Fast nodes must send to more receivers at a
/// time, and slow ones to no more than their links can carry.
#[test]
fn link_speeds_differ() {
    check_bounds(&SIZES, Duration::ZERO, |case| Case { fast_nodes: 6, ..case });
}

/// Only one node receives the configuration, and all others request it from that node.
#[test]
fn only_one_node_has_it_first() {
    check_bounds(&SIZES[..3], Duration::ZERO, |case| Case { initial_holders: 1, ..case });
}

/// As above, with the largest configuration.
#[test]
fn only_one_node_has_the_largest_first() {
    check_bounds(&[LARGEST_BYTES], Duration::ZERO, |case| Case { initial_holders: 1, ..case });
}
