//! Which nodes callers are sent to.

use hickory_policy::entry::{ADDRESSES_MAX, choose};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

fn nodes(zone: u8, count: u16) -> Vec<SocketAddr> {
    (0..count).map(|node| SocketAddr::from(([10, zone, 0, 1], 1_000 + node))).collect()
}

/// Guards against fleets of which the first nodes by name get all callers.
#[test]
fn all_nodes_of_a_large_fleet_are_named_equally_often() {
    const ANSWERS: usize = 20_000;
    let mut random = SmallRng::seed_from_u64(1);
    let others = [nodes(2, 100), nodes(3, 100)].concat();
    let mut named: HashMap<SocketAddr, usize> = HashMap::new();
    for _ in 0..ANSWERS {
        let answer = choose(nodes(1, 100), others.clone(), &mut random);
        assert_eq!(answer.len(), ADDRESSES_MAX);
        assert_eq!(answer.iter().collect::<HashSet<_>>().len(), ADDRESSES_MAX);
        answer.into_iter().for_each(|address| *named.entry(address).or_default() += 1);
    }
    for zone in [nodes(1, 100), others] {
        let counts: Vec<usize> =
            zone.iter().map(|address| named.get(address).copied().unwrap_or_default()).collect();
        let (least, most) = (counts.iter().min().unwrap(), counts.iter().max().unwrap());
        assert!(least * 10 >= most * 8, "named {least} to {most} times");
    }
}

/// Guards against requests and answers that cross zones for nothing, and against
/// callers that know nobody once their zone is lost.
#[test]
fn most_nodes_are_of_the_callers_zone_and_some_of_others() {
    let mut random = SmallRng::seed_from_u64(1);
    for (own, others) in [(22, 45), (3, 6), (1, 2), (100, 200), (100, 3)] {
        let answer = choose(nodes(1, own), nodes(2, others), &mut random);
        let near = answer.iter().filter(|address| address.ip() == nodes(1, 1)[0].ip()).count();
        let far = answer.len() - near;
        assert!(far >= 4.min(usize::from(others)), "{own} and {others}: {near}, {far}");
        assert!(near >= usize::from(own).min(ADDRESSES_MAX - far), "{own} and {others}: {near}");
        assert!(far <= 4.max(near), "{own} and {others}: {near}, {far}");
    }
}

#[test]
fn a_caller_of_no_known_zone_is_sent_anywhere() {
    let mut random = SmallRng::seed_from_u64(1);
    assert_eq!(choose(Vec::new(), nodes(2, 200), &mut random).len(), ADDRESSES_MAX);
    assert_eq!(choose(Vec::new(), nodes(2, 3), &mut random).len(), 3);
    assert_eq!(choose(nodes(1, 3), Vec::new(), &mut random).len(), 3);
    assert!(choose(Vec::new(), Vec::new(), &mut random).is_empty());
}
