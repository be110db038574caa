//! Choice of the nodes that directory responses name.

use hickory_policy::directory::{Candidate, choose};
use hickory_policy::member::Capacity;
use hickory_unit::id;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};

/// Nodes that a response may name.
const COUNT: usize = 64;

/// The number of nodes of which one has [`LARGE`] capacity and the others have [`SMALL`].
const LARGE_PERIOD: usize = 20;

const LARGE: Capacity = Capacity(10);
const SMALL: Capacity = Capacity(2);

struct Fleet {
    nodes: Vec<(id::Node, Capacity)>,
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + node as u32), 8_227))
}

impl Fleet {
    fn new(nodes: usize) -> Self {
        let capacity = |node: usize| if node.is_multiple_of(LARGE_PERIOD) { LARGE } else { SMALL };
        let nodes = (0..nodes).map(|node| (format!("n-{node:04}").as_str().into(), capacity(node)));
        Self { nodes: nodes.collect() }
    }

    fn respond(&self, responding: usize, is_ready: impl Fn(usize) -> bool) -> Vec<SocketAddr> {
        let ready = self.nodes.iter().enumerate().filter(|(index, _)| is_ready(*index));
        let candidates = ready.map(|(index, (node, capacity))| Candidate {
            node,
            address: address(index),
            capacity: *capacity,
        });
        choose(&self.nodes[responding].0, candidates, COUNT)
    }
}

/// Guards against callers who all connect to the same few nodes because every response names the
/// first nodes by name.
#[test]
fn responses_spread_callers_by_capacity() {
    for nodes in [100, 1_000, 2_000] {
        let fleet = Fleet::new(nodes);
        let mut named: BTreeMap<SocketAddr, usize> = BTreeMap::new();
        for responding in 0..nodes {
            for address in fleet.respond(responding, |_| true) {
                *named.entry(address).or_default() += 1;
            }
        }
        let count = |capacity: Capacity| -> Vec<usize> {
            let of_capacity = (0..nodes).filter(|node| fleet.nodes[*node].1 == capacity);
            of_capacity.map(|node| named.get(&address(node)).copied().unwrap_or(0)).collect()
        };
        let (small, large) = (count(SMALL), count(LARGE));
        let mean = |counts: &[usize]| counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        assert!(
            small.iter().all(|count| (*count as f64) < 2.0 * mean(&small) && *count > 0),
            "{nodes} nodes: a small node is named {:?} times, the mean is {:.1}",
            small.iter().max(),
            mean(&small)
        );
        assert!(mean(&large) > 1.3 * mean(&small), "{nodes} nodes: capacity doesn't count");
    }
}

/// Guards against callers who close their connections because each response names other nodes.
#[test]
fn a_node_that_leaves_changes_one_address() {
    let fleet = Fleet::new(1_000);
    let before: BTreeSet<SocketAddr> = fleet.respond(7, |_| true).into_iter().collect();
    assert_eq!(before, fleet.respond(7, |_| true).into_iter().collect());
    let gone = *before.first().unwrap();
    let after = fleet.respond(7, |node| address(node) != gone).into_iter().collect();
    assert_eq!(before.difference(&after).collect::<Vec<_>>(), [&gone]);
    assert_eq!(after.len(), COUNT);
}

#[test]
fn small_fleets_are_named_whole() {
    let fleet = Fleet::new(9);
    assert_eq!(fleet.respond(0, |_| true).len(), 9);
    assert_eq!(fleet.respond(0, |node| node == 3), [address(3)]);
    assert_eq!(fleet.respond(0, |_| false), []);
}
