//! Which nodes watch the store.

use hickory_path::watcher::{Candidate, watches};
use hickory_unit::id;

fn nodes(count: usize) -> Vec<id::Node> {
    (0..count).map(|number| format!("node-{number}").as_str().into()).collect()
}

fn watching(nodes: &[id::Node], away: &[usize]) -> Vec<usize> {
    let candidates: Vec<Candidate<'_>> = nodes
        .iter()
        .enumerate()
        .map(|(place, node)| Candidate { node, store_away: away.contains(&place) })
        .collect();
    (0..nodes.len()).filter(|&place| watches(&nodes[place], &candidates)).collect()
}

#[test]
fn a_few_of_many_watch() {
    assert_eq!(watching(&nodes(79), &[]).len(), 3);
    assert_eq!(watching(&nodes(2), &[]).len(), 2);
    assert_eq!(watching(&nodes(1), &[]).len(), 1);
}

/// A configuration is in force nowhere: the store turns away just those nodes
/// that watch. Others must watch as well, and the first go on trying.
#[test]
fn others_watch_where_the_store_turns_the_first_away() {
    let nodes = nodes(9);
    let first = watching(&nodes, &[]);
    let all = watching(&nodes, &first);
    assert_eq!(all.len(), 6);
    assert!(first.iter().all(|place| all.contains(place)));
}

/// A node that is cut off from its peers hears nobody, and must watch itself.
#[test]
fn a_node_alone_watches() {
    let all = nodes(9);
    for node in &all {
        assert!(watches(node, &[Candidate { node, store_away: true }]));
    }
}
