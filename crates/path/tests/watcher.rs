//! Selection of the nodes that watch the store.

use hickory_path::watcher::{
    Candidate, StartWait, is_leader, is_selected, is_store_down, takeover_delay,
};
use hickory_unit::id;
use std::time::{Duration, Instant};

fn nodes(count: usize) -> Vec<id::Node> {
    (0..count).map(|number| format!("node-{number}").as_str().into()).collect()
}

fn watching(nodes: &[id::Node], rejected: &[usize]) -> Vec<usize> {
    let candidates: Vec<Candidate<'_>> = nodes
        .iter()
        .enumerate()
        .map(|(index, node)| Candidate {
            node,
            is_store_unreachable: rejected.contains(&index),
            is_silent: false,
        })
        .collect();
    (0..nodes.len()).filter(|&index| is_selected(&nodes[index], &candidates)).collect()
}

#[test]
fn three_of_many_nodes_watch() {
    assert_eq!(watching(&nodes(79), &[]).len(), 3);
    assert_eq!(watching(&nodes(2), &[]).len(), 2);
    assert_eq!(watching(&nodes(1), &[]).len(), 1);
}

/// Guards against a configuration that takes effect nowhere because the store rejects
/// exactly the nodes that watch. Other nodes must watch as well, and the first ones keep
/// trying.
#[test]
fn other_nodes_watch_when_the_store_rejects_the_first() {
    let nodes = nodes(9);
    let first = watching(&nodes, &[]);
    let all = watching(&nodes, &first);
    assert_eq!(all.len(), 6);
    assert!(first.iter().all(|index| all.contains(index)));
}

/// Guards against taking a store that rejects some nodes, or one that serves others, for one that is
/// down.
#[test]
fn the_store_is_down_if_no_node_that_always_watches_reaches_it() {
    let nodes = nodes(9);
    let is_down = |rejected: &[usize]| {
        let candidate = |index: usize| Candidate {
            node: &nodes[index],
            is_store_unreachable: rejected.contains(&index),
            is_silent: false,
        };
        is_store_down(&(0..nodes.len()).map(candidate).collect::<Vec<_>>())
    };
    let first = watching(&nodes, &[]);
    let others: Vec<usize> = (0..nodes.len()).filter(|index| !first.contains(index)).collect();
    assert!(is_down(&first));
    assert!(!is_down(&first[1..]) && !is_down(&others) && !is_down(&[]));
}

/// Guards against all nodes in turn calling a store that is down.
#[test]
fn takeover_delay_grows_with_the_number_of_rejected_nodes() {
    let nodes = nodes(67);
    let first = watching(&nodes, &[]);
    let delay = |me: usize, rejected: &[usize]| {
        let candidate = |index: usize| Candidate {
            node: &nodes[index],
            is_store_unreachable: rejected.contains(&index),
            is_silent: false,
        };
        let candidates: Vec<Candidate<'_>> = (0..nodes.len()).map(candidate).collect();
        takeover_delay(&nodes[me], &candidates)
    };
    let other = (0..nodes.len()).find(|index| !first.contains(index)).unwrap();
    assert_eq!(delay(other, &first[..1]), Duration::ZERO, "one node alone is cut off");
    assert!(first.iter().all(|&index| delay(index, &first).is_zero()));
    let rest: Vec<usize> = (0..nodes.len()).filter(|index| *index != other).collect();
    let delays = [3, 6, 9, 30, 60].map(|rejected| delay(other, &rest[..rejected]));
    assert!(delays.is_sorted() && delays[0] > Duration::ZERO, "{delays:?}");
    assert!(delays[4] <= Duration::from_secs(5), "{delays:?}");
}

/// Checks that a node that is cut off from its peers watches the store itself.
#[test]
fn an_isolated_node_watches() {
    let all = nodes(9);
    for node in &all {
        assert!(is_selected(
            node,
            &[Candidate { node, is_store_unreachable: true, is_silent: false }]
        ));
    }
}

/// Each change of a target's entry costs one call per watching node. Exactly one of them
/// watches without delay; if the store rejects it, another watching node takes its place.
#[test]
fn exactly_one_watcher_leads() {
    let nodes = nodes(9);
    let leading = |rejected: &[usize]| -> Vec<usize> {
        let candidate = |(index, node)| Candidate {
            node,
            is_store_unreachable: rejected.contains(&index),
            is_silent: false,
        };
        let candidates: Vec<Candidate<'_>> = nodes.iter().enumerate().map(candidate).collect();
        (0..nodes.len()).filter(|&index| is_leader(&nodes[index], &candidates)).collect()
    };
    let first = leading(&[]);
    assert_eq!(first.len(), 1);
    let next = leading(&first);
    assert_eq!(next.len(), 1);
    assert_ne!(next, first);
    assert!(watching(&nodes, &first).contains(&next[0]));
}

/// Returns the time for which a node waits whose table grows at these times.
fn start_wait(is_first_start: bool, random: f64, growth_ms: &[u64]) -> Duration {
    let start = Instant::now();
    let mut wait = StartWait::new(start, is_first_start, random);
    let step = Duration::from_millis(10);
    let is_over = |time: &Duration| {
        let peers = growth_ms.iter().filter(|ms| Duration::from_millis(**ms) <= *time).count();
        wait.is_over(start + *time, peers)
    };
    (0..1_000).map(|steps| step * steps).find(is_over).unwrap()
}

/// Guards against a fleet whose nodes all read the store when they start together: each knows only
/// a few others yet and ranks among the first of them.
#[test]
fn a_node_waits_while_its_table_grows() {
    let growth: Vec<u64> = (1..=30).map(|step| step * 30).collect();
    assert!(start_wait(false, 0.0, &growth[..6]) > Duration::from_millis(180));
    assert!(start_wait(true, 0.0, &growth) >= Duration::from_secs(1));
    let endless: Vec<u64> = (1..=300).map(|step| step * 30).collect();
    assert!(start_wait(true, 0.0, &endless) <= Duration::from_secs(2), "it waits for ever");
}

/// Guards against callers of a fleet that was killed whole: its nodes have no configuration while
/// they wait for each other.
#[test]
fn a_restarted_node_decides_while_its_table_still_grows() {
    let growth: Vec<u64> = (1..=300).map(|step| step * 30).collect();
    for random in [0.0, 0.5, 1.0] {
        assert!(start_wait(false, random, &growth) <= Duration::from_millis(300));
        assert!(start_wait(false, random, &[]) <= Duration::from_millis(300));
    }
}

/// Guards against a slow restart of a small fleet, and of a node that joins a running one.
#[test]
fn a_node_decides_soon_after_its_peers_answered() {
    assert!(start_wait(false, 0.9, &[10, 10, 20]) <= Duration::from_millis(100));
    assert!(start_wait(true, 0.0, &[10, 10, 20]) >= Duration::from_secs(1));
}

/// Guards against a fleet whose nodes all read the store because no seed answers them at once.
#[test]
fn nodes_without_peers_read_the_store_one_after_the_other() {
    let waits: Vec<Duration> =
        (0..100).map(|node| start_wait(false, f64::from(node) / 100.0, &[])).collect();
    let early = waits.iter().filter(|wait| **wait <= Duration::from_millis(100)).count();
    assert!(early <= 20, "{early} of 100 nodes read the store at once");
}
