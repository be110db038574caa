//! Replay of fleets of which many nodes die or are cut off: who watches the store, and from when on.

#[path = "../../policy/tests/network/mod.rs"]
#[expect(dead_code, reason = "the tests of the membership use the rest")]
mod network;

use hickory_path::watcher::{Candidate, choose_checked, is_selected, takeover_delay};
use hickory_policy::directory;
use hickory_policy::membership::Membership;
use hickory_unit::id;
use network::Network;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const FLEET_SIZES: [usize; 4] = [3, 12, 195, 985];

/// The time limit for a node to watch the store after the watching nodes have died. A configuration is in
/// force everywhere 2 s after its acknowledgement, and a quarter of that is left to read and spread it.
const MAX_TAKEOVER_TIME: Duration = Duration::from_millis(1_500);

/// The maximum number of nodes that watch at the same time: a few sets of the usual three, of which some
/// haven't been relieved yet.
const MAX_WATCHERS: usize = 12;

/// The time after which more than three answers of the directory may not name a dead node any more, less
/// the second for which a caller may keep an answer.
const MAX_NAMING_TIME: Duration = Duration::from_secs(5);
const MAX_LATE_ANSWERS: usize = 3;

/// The number of addresses in an answer of the directory.
const NAMED_ADDRESSES: usize = 64;

/// The interval at which the watching nodes are counted. A node watches for a second at least.
const COUNT_INTERVAL: Duration = Duration::from_millis(250);

/// The time in which the watching nodes are counted.
const COUNT_TIME: Duration = Duration::from_secs(3);

/// The timeout of a call to a store that doesn't answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

fn candidates(now: Instant, table: &Membership) -> Vec<Candidate<'_>> {
    let own = table.own_record();
    let own = Candidate {
        node: &own.node,
        is_store_unreachable: own.contact.is_store_unreachable,
        is_silent: false,
    };
    let peers = table.alive().map(|record| Candidate {
        node: &record.node,
        is_store_unreachable: record.contact.is_store_unreachable,
        is_silent: table.is_silent(now, &record.node),
    });
    peers.chain([own]).collect()
}

fn is_watching(now: Instant, table: &Membership) -> bool {
    is_selected(&table.own_record().node, &candidates(now, table))
}

fn count_watching(network: &Network) -> usize {
    network.tables().filter(|(now, table)| is_watching(*now, table)).count()
}

/// Counts the running nodes whose answers to callers name a stopped one.
fn count_naming_stopped(network: &Network) -> usize {
    let running: HashSet<SocketAddr> =
        network.tables().map(|(_, table)| table.own_record().contact.caller_address).collect();
    let names_stopped = |table: &Membership| {
        let own = table.own_record();
        let candidates = table.alive().chain([own]).map(|record| directory::Candidate {
            node: &record.node,
            address: record.contact.caller_address,
            capacity: record.contact.capacity,
        });
        let named = directory::choose(&own.node, candidates, NAMED_ADDRESSES);
        named.iter().any(|address| !running.contains(address))
    };
    network.tables().filter(|(_, table)| names_stopped(table)).count()
}

fn start(nodes: usize, seed: u64) -> Network {
    let mut network = Network::start(nodes, seed);
    network.choose_checked = |table| {
        let node = &table.own_record().node;
        // Whether a node is silent doesn't count here.
        choose_checked(node, &candidates(Instant::now(), table))
    };
    let known = network.run_until(Duration::from_secs(5), |n| n.unknown_pairs() == 0);
    assert!(known.is_ok(), "{nodes} nodes, seed {seed}: {} pairs unknown", network.unknown_pairs());
    network.run_for(Duration::from_secs(2));
    network
}

/// Which nodes die together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Loss {
    AllBut(usize),
    /// All but each tenth.
    NineOfTen,
    Half,
    /// A third of them, with all that watch.
    Zone,
}

const LOSSES: [Loss; 5] =
    [Loss::AllBut(1), Loss::AllBut(2), Loss::NineOfTen, Loss::Half, Loss::Zone];

impl Loss {
    fn kill(self, network: &mut Network) {
        let nodes = network.tables().count();
        let watching: Vec<bool> =
            network.tables().map(|(now, table)| is_watching(now, table)).collect();
        let is_lost = |node: usize| match self {
            Self::AllBut(survivor) => node != survivor,
            Self::NineOfTen => nodes > 10 && node % 10 != 3,
            Self::Half => node % 2 == 1,
            Self::Zone => node % 3 == 1 || nodes > 3 && watching[node],
        };
        (0..nodes).filter(|node| is_lost(*node)).for_each(|node| network.kill(node));
    }
}

/// Returns the largest number of nodes that watch at the same time from now on.
fn count_most_watching(network: &mut Network) -> usize {
    let intervals = COUNT_TIME.div_duration_f64(COUNT_INTERVAL) as usize;
    let watching = (0..intervals).map(|_| {
        network.run_for(COUNT_INTERVAL);
        count_watching(network)
    });
    watching.max().unwrap_or_default()
}

/// Guards against a time until configurations, leaving targets and revoked keys take effect that grows
/// with the number of hosts lost.
#[test]
fn a_node_that_is_left_watches_however_many_are_lost() {
    for nodes in FLEET_SIZES {
        let started = start(nodes, 1);
        for loss in LOSSES {
            let mut network = started.clone();
            loss.kill(&mut network);
            let took = network.run_until(MAX_TAKEOVER_TIME, |n| count_watching(n) > 0);
            println!("{nodes} nodes, {loss:?}: {took:?}");
            assert!(took.is_ok(), "{nodes} nodes, {loss:?}: nobody watches");
        }
    }
}

/// Guards against a survivor that names lost hosts to callers for longer the more of them there are.
#[test]
fn lost_nodes_are_found_however_many_they_are() {
    for nodes in FLEET_SIZES {
        let started = start(nodes, 1);
        for loss in [Loss::AllBut(1), Loss::NineOfTen, Loss::Zone] {
            let mut network = started.clone();
            loss.kill(&mut network);
            network.run_for(MAX_NAMING_TIME);
            let late = count_naming_stopped(&network);
            println!("{nodes} nodes, {loss:?}: {late} nodes name lost ones");
            assert!(late <= MAX_LATE_ANSWERS, "{nodes} nodes, {loss:?}: {late} name lost ones");
        }
    }
}

/// Guards against a herd of calls to the store while nodes find out that others are lost.
#[test]
fn few_nodes_watch_while_others_are_lost() {
    for nodes in FLEET_SIZES {
        let started = start(nodes, 1);
        for loss in LOSSES {
            let mut network = started.clone();
            loss.kill(&mut network);
            let most = count_most_watching(&mut network);
            println!("{nodes} nodes, {loss:?}: {most} watch at once");
            assert!(most <= MAX_WATCHERS, "{nodes} nodes, {loss:?}: {most} watch at once");
        }
    }
}

/// Guards against nodes that are cut off each by itself and bring all others to call the store, too.
#[test]
fn a_node_that_is_cut_off_watches_alone() {
    for nodes in FLEET_SIZES {
        let started = start(nodes, 1);
        for cut in [1, nodes / 10] {
            let mut network = started.clone();
            network.isolated = (0..cut).collect();
            let most = count_most_watching(&mut network);
            println!("{nodes} nodes, {cut} cut off: {most} watch at once");
            assert!(most <= MAX_WATCHERS + cut, "{nodes} nodes, {cut} cut off: {most} at once");
            if nodes > 3 && cut == 1 {
                network.isolated.clear();
                network.run_for(MAX_NAMING_TIME);
                assert_eq!(count_watching(&network), 3, "{nodes} nodes, reconnected");
            }
        }
    }
}

/// Guards against a herd of calls to a store that turns nearly all nodes away while a zone is lost.
#[test]
fn few_nodes_call_a_store_that_turns_them_away() {
    for nodes in [12, 195, 985] {
        let mut network = start(nodes, 1);
        Loss::Zone.kill(&mut network);
        let mut selected: HashMap<id::Node, Duration> = HashMap::new();
        let (mut most, start) = (0, network.now);
        while network.now - start < Duration::from_secs(5) {
            network.run_for(COUNT_INTERVAL);
            let at = network.now;
            let mut calling = Vec::new();
            for (now, table) in network.tables() {
                let node = &table.own_record().node;
                let candidates = candidates(now, table);
                if !is_selected(node, &candidates) {
                    selected.remove(node);
                    continue;
                }
                let since = *selected.entry(node.clone()).or_insert(at);
                if at - since >= takeover_delay(node, &candidates) {
                    calling.push((node.clone(), since));
                }
            }
            most = most.max(calling.len());
            for (node, since) in calling {
                if at - since >= CALL_TIMEOUT {
                    network.set_store_unreachable(&node, true);
                }
            }
        }
        println!("{nodes} nodes: {most} call a store that turns them away");
        assert!(most <= 2 * MAX_WATCHERS, "{nodes} nodes: {most} at once");
    }
}
