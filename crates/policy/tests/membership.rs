//! Who is alive, as hundreds of nodes find out by gossip.

mod network;

use network::Network;
use std::time::Duration;

const FLEETS: [usize; 4] = [2, 9, 79, 195];

/// How long a node may name a dead one to callers: six seconds, of which callers keep
/// an answer for one.
const MISSED_WITHIN: Duration = Duration::from_secs(5);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn started(nodes: usize, seed: u64) -> Network {
    let mut network = Network::start(nodes, seed);
    let known = network.run_until(secs(3), |network| network.unknown() == 0);
    assert!(known.is_ok(), "{nodes} nodes, seed {seed}: {} pairs unknown", network.unknown());
    network
}

/// Guards against callers who are sent to a part of the nodes only, since not all
/// know each other when the first callers come.
#[test]
fn nodes_that_start_together_know_each_other_within_seconds() {
    for nodes in FLEETS {
        for seed in 1..=3 {
            started(nodes, seed);
        }
    }
    started(380, 1);
}

/// Guards against callers who are sent to dead nodes for long, where many die at once.
#[test]
fn a_third_that_dies_is_missed_by_all() {
    for nodes in FLEETS {
        for seed in 1..=3 {
            let mut network = started(nodes, seed);
            (0..nodes).filter(|node| node % 3 == 1).for_each(|node| network.kill(node));
            let missed = network.run_until(MISSED_WITHIN, |network| network.mistaken() == 0);
            assert!(missed.is_ok(), "{nodes}, seed {seed}: {} pairs", network.mistaken());
            assert_eq!(network.lost(), 0, "{nodes} nodes, seed {seed}: living ones lost");
        }
    }
}

/// Guards against nodes that are taken for dead on links that lose packets.
#[test]
fn lossy_links_lose_no_node() {
    for nodes in FLEETS {
        let mut network = started(nodes, 1);
        network.loss = 0.2;
        for _ in 0..100 {
            network.run_for(ms(200));
            assert_eq!(network.lost(), 0, "{nodes} nodes");
        }
        network.loss = 0.0;
        let known = network.run_until(secs(2), |network| network.unknown() == 0);
        assert!(known.is_ok(), "{nodes} nodes: {} pairs unknown", network.unknown());
    }
}

/// Guards against a suspended node that stays lost after it wakes, or that takes all
/// others for dead since they were silent while it slept.
#[test]
fn a_suspended_node_is_missed_and_comes_back() {
    for nodes in FLEETS {
        let mut network = started(nodes, 1);
        network.suspend(1, secs(6));
        network.run_for(secs(5));
        assert!(network.unknown() >= nodes - 1, "{nodes} nodes: it is named all the while");
        network.run_for(ms(1_050));
        let known = network.run_until(secs(2), |network| network.unknown() == 0);
        assert!(known.is_ok(), "{nodes} nodes: {} pairs unknown", network.unknown());
    }
}

/// Guards against a fleet that stays in two parts after a partition.
#[test]
fn the_ends_of_a_partition_find_each_other_again() {
    for nodes in FLEETS {
        let mut network = started(nodes, 1);
        network.cut = nodes / 3 + 1;
        network.run_for(secs(10));
        assert!(network.lost() > 0, "{nodes} nodes: the cut was noticed");
        network.cut = 0;
        let known = network.run_until(secs(5), |network| network.unknown() == 0);
        assert!(known.is_ok(), "{nodes} nodes: {} pairs unknown", network.unknown());
    }
}

/// Guards against nodes that are held for dead after a restart, also those whose
/// clock stepped back, so that their start looks older than the one before.
#[test]
fn all_that_restart_are_known_again() {
    for nodes in FLEETS {
        let mut network = started(nodes, 1);
        (0..nodes).for_each(|node| network.kill(node));
        network.run_for(secs(1));
        (0..nodes).for_each(|node| network.restart(node, if node % 2 == 0 { 2 } else { 0 }));
        let known = network.run_until(secs(3), |network| network.unknown() == 0);
        assert!(known.is_ok(), "{nodes} nodes: {} pairs unknown", network.unknown());
        // One after the other, beside nodes that remember it.
        for node in 0..nodes.min(9) {
            network.kill(node);
            network.run_for(ms(700));
            network.restart(node, u64::from(node % 2 == 0) * 4);
            let known = network.run_until(secs(2), |network| network.unknown() == 0);
            assert!(known.is_ok(), "{nodes} nodes: {} pairs unknown", network.unknown());
        }
    }
}

/// Guards against control traffic that grows with the fleet.
#[test]
fn what_a_node_sends_does_not_grow_with_the_fleet() {
    let rates = [79, 380].map(|nodes| {
        let mut network = started(nodes, 1);
        network.run_for(secs(10));
        let (sent, records) = (network.sent, network.records);
        network.run_for(secs(10));
        let per_node = |count: u64| count as f64 / 10.0 / nodes as f64;
        (per_node(network.sent - sent), per_node(network.records - records))
    });
    let [(small, few), (large, many)] = rates;
    assert!(large <= small * 1.1, "{small:.1} and {large:.1} datagrams a second");
    assert!(few < 1.0 && many < 1.0, "{few:.2} and {many:.2} records a second in calm");
}
