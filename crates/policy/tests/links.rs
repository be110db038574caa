//! A node's own links to targets: when they count as down, and replays of fleets of which a part
//! loses its links.

use hickory_policy::links::{Change, Links, Relays};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against giving up on all links because of old failures, and on a single one.
#[test]
fn all_links_are_presumed_down_after_two_without_a_connection_between() {
    let start = Instant::now();
    let mut links = Links::default();
    assert_eq!(links.record_down(start, 1), Some(Change::Down));
    assert_eq!(links.record_connection(start + ms(10), 3), None);
    assert_eq!(links.record_down(start + ms(20), 2), Some(Change::Down));
    assert!(links.is_down(1) && links.is_down(2) && !links.is_down(3));
    assert_eq!(links.record_down(start + ms(30), 4), Some(Change::AllDown));
    assert!(links.is_down(3));
    assert_eq!(links.record_connection(start + ms(40), 3), Some(Change::Up));
    assert!(links.is_down(1) && links.is_down(2) && links.is_down(4) && !links.is_down(3));
}

/// Guards against checking links all the time, and against leaving one down that works.
#[test]
fn links_are_checked_at_an_interval_and_at_once_after_one_works() {
    let start = Instant::now();
    let mut links = Links::default();
    let targets = [1, 2, 3];
    assert_eq!(links.next_probe(start, &targets, 0), None);
    links.record_down(start, 1);
    links.record_down(start, 2);
    assert!(links.next_probe(start, &targets, 0).is_some());
    assert_eq!(links.next_probe(start + ms(100), &targets, 0), None);
    links.record_connection(start + ms(600), 3);
    assert_eq!(links.next_probe(start + ms(600), &targets, 0), Some(1));
    links.record_connection(start + ms(601), 1);
    assert_eq!(links.next_probe(start + ms(601), &targets, 5), Some(2));
    assert_eq!(links.next_probe(start + ms(1_200), &[1, 3], 0), None, "a target that is gone");
}

/// Guards against a check of the link for each request on a silent target.
#[test]
fn a_silent_target_is_checked_once_a_second() {
    let start = Instant::now();
    let mut links = Links::default();
    assert!(links.begin_check(start, 1));
    assert!(!links.begin_check(start + ms(900), 1));
    assert!(links.begin_check(start + ms(900), 2));
    assert!(links.begin_check(start + ms(1_000), 1));
    links.record_down(start + ms(1_100), 1);
    assert!(!links.begin_check(start + ms(3_000), 1), "it is known to be down");
}

/// Guards against asking a peer again that has just failed, and against never trying another.
#[test]
fn proven_peers_are_preferred_and_failed_ones_are_left_out() {
    let start = Instant::now();
    let mut relays = Relays::default();
    let peers = [1, 2, 3, 4];
    relays.record(start, 2, true);
    relays.record(start, 3, false);
    let chosen: Vec<u32> =
        (0..800).filter_map(|random| relays.choose(start, &peers, &[], random)).collect();
    assert_eq!(chosen.len(), 800);
    assert_eq!(chosen.iter().filter(|peer| **peer == 2).count(), 700);
    assert!(!chosen.contains(&3));
    assert!(chosen.contains(&1) && chosen.contains(&4));
    assert_eq!(relays.choose(start, &peers, &[1, 2, 4], 7), None);
    assert_eq!(relays.choose(start + ms(2_000), &peers, &[1, 2, 4], 7), Some(3));
}

const TARGETS: u32 = 135;
const ZONES: usize = 5;

/// Requests that each node gets per second.
const RATE: f64 = 2.0;

/// When the links are cut, and when they are back.
const CUT: std::ops::Range<Duration> = ms(5_000)..ms(17_000);

/// Time after the cut from which on callers must be served.
const REACTION_TIME: Duration = ms(3_000);

/// Time in which a request must be connected.
const MAX_CONNECT_TIME: Duration = ms(500);

const STEP: Duration = ms(10);
const ROUND_TRIP: Duration = ms(2);
const CONNECT_TIMEOUT: Duration = ms(400);
const HEDGE_DELAY: Duration = ms(100);
const RELAY_CONNECT_TIMEOUT: Duration = ms(200);
const MAX_PEERS_ASKED: usize = 3;

/// How a cut link answers.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    Refuses,
    Hangs,
}

/// Which nodes lose their links.
#[derive(Clone, Copy, Debug)]
enum Share {
    Zone,
    Half,
    /// No node does; a sixth of the targets is down instead.
    TargetsDown,
}

/// What became of the requests of cut nodes after the reaction time.
#[derive(Default)]
struct Tally {
    requests: usize,
    in_time: usize,
    relayed_by: Vec<usize>,
    /// Whether any node presumed all of its links down.
    was_any_isolated: bool,
    are_all_direct_after: bool,
}

struct Replay {
    now: Duration,
    origin: Instant,
    links: Vec<Links<u32>>,
    relays: Vec<Relays<usize>>,
    is_cut: Vec<bool>,
    cut: Cut,
    share: Share,
    random: StdRng,
    tally: Tally,
}

impl Replay {
    fn run(nodes: usize, cut: Cut, share: Share, seed: u64) -> Tally {
        let is_cut = |node: usize| match share {
            Share::Zone => node.is_multiple_of(ZONES),
            Share::Half => node.is_multiple_of(2),
            Share::TargetsDown => false,
        };
        let mut replay = Self {
            now: Duration::ZERO,
            origin: Instant::now(),
            links: vec![Links::default(); nodes],
            relays: vec![Relays::default(); nodes],
            is_cut: (0..nodes).map(is_cut).collect(),
            cut,
            share,
            random: StdRng::seed_from_u64(seed),
            tally: Tally { relayed_by: vec![0; nodes], ..Tally::default() },
        };
        let targets: Vec<u32> = (0..TARGETS).collect();
        while replay.now < CUT.end + ms(2_000) {
            for node in 0..nodes {
                if replay.random.random_bool(RATE * STEP.as_secs_f64()) {
                    replay.request(node);
                }
                let (now, random) = (replay.origin + replay.now, replay.random.random());
                if let Some(target) = replay.links[node].next_probe(now, &targets, random) {
                    replay.connect_directly(node, target);
                }
            }
            replay.now += STEP;
        }
        replay.tally.are_all_direct_after = replay.links.iter().all(|l| !l.are_all_down());
        replay.tally
    }

    fn clock(&self) -> Instant {
        self.origin + self.now
    }

    fn is_target_down(&self, target: u32) -> bool {
        matches!(self.share, Share::TargetsDown) && target.is_multiple_of(6)
    }

    /// Returns whether a node is cut off now.
    fn is_isolated(&self, node: usize) -> bool {
        self.is_cut[node] && CUT.contains(&self.now)
    }

    fn connect_directly(&mut self, node: usize, target: u32) -> bool {
        let is_connected = !self.is_isolated(node) && !self.is_target_down(target);
        if is_connected {
            self.links[node].record_connection(self.origin + self.now, target);
        }
        is_connected
    }

    /// Connects through peers; returns whether one did, and the time that it took.
    fn connect_relayed(&mut self, node: usize, target: u32) -> (bool, Duration) {
        let peers: Vec<usize> = (0..self.links.len()).filter(|peer| *peer != node).collect();
        let (mut tried, mut time) = (Vec::new(), Duration::ZERO);
        while tried.len() < MAX_PEERS_ASKED {
            let (now, random) = (self.clock(), self.random.random());
            let Some(peer) = self.relays[node].choose(now, &peers, &tried, random) else { break };
            let knows_that_it_is_cut = self.links[peer].are_all_down();
            let is_connected = !knows_that_it_is_cut && self.connect_directly(peer, target);
            let refuses = self.is_target_down(target) && !self.is_isolated(peer);
            time += match self.cut {
                Cut::Hangs if self.is_isolated(peer) && !knows_that_it_is_cut => {
                    RELAY_CONNECT_TIMEOUT
                }
                _ => ROUND_TRIP,
            };
            self.relays[node].record(now, peer, is_connected || refuses);
            if is_connected || refuses {
                self.tally.relayed_by[peer] += usize::from(is_connected);
                return (is_connected, time);
            }
            tried.push(peer);
        }
        (false, time)
    }

    fn request(&mut self, node: usize) {
        self.tally.was_any_isolated |= self.links[node].are_all_down();
        let target = self.random.random_range(0..TARGETS);
        let (is_connected, time) = if self.links[node].is_down(target) {
            self.connect_relayed(node, target)
        } else if self.connect_directly(node, target) {
            (true, ROUND_TRIP)
        } else {
            let (is_relayed, time) = self.connect_relayed(node, target);
            if is_relayed {
                self.links[node].record_down(self.origin + self.now, target);
            }
            let began = if self.cut == Cut::Hangs { HEDGE_DELAY } else { ROUND_TRIP };
            (is_relayed, if is_relayed { began + time } else { CONNECT_TIMEOUT })
        };
        if self.is_isolated(node) && self.now >= CUT.start + REACTION_TIME {
            self.tally.requests += 1;
            self.tally.in_time += usize::from(is_connected && time <= MAX_CONNECT_TIME);
        }
    }
}

/// Guards against nodes without links that don't find a peer with links, and against peers that
/// carry far more than others, at the size of the largest fleet and twice that.
#[test]
fn nodes_that_lose_their_links_connect_through_peers() {
    for nodes in [9, 195, 390] {
        for cut in [Cut::Refuses, Cut::Hangs] {
            for share in [Share::Zone, Share::Half] {
                for seed in 1..=3 {
                    let case = format!("{nodes} nodes, {cut:?}, {share:?}, seed {seed}");
                    let tally = Replay::run(nodes, cut, share, seed);
                    let served = tally.in_time as f64 / tally.requests as f64;
                    assert!(served >= 0.98, "{case}: {served:.3} of {}", tally.requests);
                    let carried: usize = tally.relayed_by.iter().sum();
                    let carriers = tally.relayed_by.iter().filter(|count| **count > 0).count();
                    let mean = carried as f64 / carriers as f64;
                    let max = tally.relayed_by.iter().copied().max().unwrap_or_default() as f64;
                    assert!(max <= 6.0 * mean, "{case}: one of {mean:.0} carries {max:.0}");
                    assert!(tally.are_all_direct_after, "{case}: relayed after the cut");
                }
            }
        }
    }
}

/// Guards against taking the failure of targets for the failure of links.
#[test]
fn targets_that_are_down_are_not_taken_for_links() {
    for nodes in [9, 195, 390] {
        let tally = Replay::run(nodes, Cut::Refuses, Share::TargetsDown, 1);
        assert!(!tally.was_any_isolated, "{nodes} nodes");
    }
}

/// Guards against finding links that are down one request at a time.
#[test]
fn one_link_that_is_down_is_a_reason_to_check_all() {
    let start = Instant::now();
    let mut links = Links::default();
    assert!(!links.take_sweep(start));
    links.record_down(start, 1);
    assert!(links.take_sweep(start));
    links.record_down(start + ms(100), 1);
    assert!(!links.take_sweep(start + ms(5_000)), "it was known to be down");
    links.record_down(start + ms(100), 2);
    assert!(!links.take_sweep(start + ms(1_900)), "one has just begun");
    assert!(links.take_sweep(start + ms(2_000)));
}
