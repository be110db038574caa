//! Replays of fleets whose store is restored from a copy: a few nodes read the store, the others
//! fetch from peers.

use hickory_path::items::{Items, Update};
use hickory_store::store::{Entry, Era, Revision};
use hickory_unit::size;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, IteratorRandom};
use rand::{Rng, SeedableRng};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The time of a round: a node reads the store, or asks a peer and gets its answer.
const ROUND: Duration = Duration::from_millis(50);

/// The length of a replay in rounds.
const ROUNDS: u32 = 800;

/// The number of rounds between two configurations, and between two changes of targets.
const CONFIGURATION_INTERVAL: u32 = 20;
const TARGET_INTERVAL: u32 = 40;

/// When a copy is taken, when the store is down, and when it is restored, in rounds of each period.
const PERIOD: u32 = 400;
const COPY_AT: u32 = 80;
const DOWN_FROM: u32 = 150;
const RESTORED_AT: u32 = 190;

/// When the operator writes its newest configuration again.
const WRITTEN_AGAIN_AT: u32 = 197;

/// The number of rounds after which an acknowledged configuration must be in force: two seconds.
const CONFIGURATION_ROUNDS: u32 = 40;

/// The number of rounds after a disruption in which a node isn't bound.
const CONTACT_ROUNDS: u32 = 60;

/// The control traffic that a node may cause on average, in bytes per second.
const MAX_TRAFFIC: f64 = 5_000.0;

/// The limit of one answer, and the answers that a node gives in a round.
const MAX_ANSWER: size::Bytes = size::Bytes(24 << 10);
const MAX_ANSWERS: u32 = 4;

/// The size of the revisions in a datagram's head.
const HEAD_BYTES: usize = 16;

const READERS: usize = 3;
const FANOUT: usize = 4;

const CONFIG: &str = "op/config";

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A tenth of the nodes restarts every ten seconds.
    NodesRestart,
    /// A third of the nodes, readers among them, reaches nothing for four seconds around a restore.
    NodesCut,
}

#[derive(Clone, Debug, Default)]
struct Store {
    entries: BTreeMap<String, Entry>,
    era: u32,
    number: u64,
}

impl Store {
    fn revision(&self) -> Revision {
        Revision::in_era(Era::new(self.era).unwrap(), self.number)
    }

    /// Returns the store as it comes back from this copy: all revisions are of the new era.
    fn restore(&self, era: u32) -> Self {
        let mut store = Self { era, ..self.clone() };
        for entry in store.entries.values_mut() {
            let number = entry.revision.number();
            entry.revision = Revision::in_era(Era::new(era).unwrap(), number);
        }
        store
    }

    fn write(&mut self, key: &str, value: String) {
        self.number += 1;
        let revision = self.revision();
        self.entries.insert(key.into(), Entry { key: key.into(), value, revision });
    }
}

struct Node {
    items: Items,
    head: Revision,
    /// The revisions that peers announced, by node.
    heads: BTreeMap<usize, Revision>,
    announced: Revision,
    /// From which round on the node is bound.
    bound_from: u32,
    is_cut: bool,
    version: u64,
    answers: u32,
    sent_bytes: usize,
    store_calls: u32,
}

impl Node {
    fn start(bound_from: u32) -> Self {
        Self {
            items: Items::with_versions(|key, text| (key == CONFIG).then(|| text.parse().ok())?),
            head: Revision::default(),
            heads: BTreeMap::new(),
            announced: Revision::default(),
            bound_from,
            is_cut: false,
            version: 0,
            answers: 0,
            sent_bytes: 0,
            store_calls: 0,
        }
    }

    fn version(&self) -> u64 {
        let text = self.items.get(CONFIG).and_then(|item| item.value.clone());
        text.map_or(0, |text| text.parse().unwrap())
    }
}

struct Replay {
    store: Store,
    copy: Store,
    nodes: Vec<Node>,
    /// Acknowledged configurations: version and round.
    acknowledged: Vec<(u64, u32)>,
    random: StdRng,
    origin: Instant,
    late: u32,
    regressions: u32,
}

impl Replay {
    fn run(count: usize, fault: Fault, seed: u64) -> Self {
        let mut replay = Self {
            store: Store { era: 1, ..Store::default() },
            copy: Store::default(),
            nodes: (0..count).map(|_| Node::start(0)).collect(),
            acknowledged: Vec::new(),
            random: StdRng::seed_from_u64(seed),
            origin: Instant::now(),
            late: 0,
            regressions: 0,
        };
        for target in 0..count {
            replay.store.write(&format!("servers/{target}"), "x".repeat(180));
        }
        for round in 0..ROUNDS {
            replay.write(round);
            replay.disrupt(round, fault);
            replay.read_store(round);
            replay.announce(round);
            replay.fetch(round);
            replay.check(round);
        }
        replay
    }

    fn is_down(round: u32) -> bool {
        (DOWN_FROM..RESTORED_AT).contains(&(round % PERIOD))
    }

    /// Writes configurations and targets, and restores the store from a copy in each period.
    fn write(&mut self, round: u32) {
        match round % PERIOD {
            COPY_AT => self.copy = self.store.clone(),
            RESTORED_AT => {
                self.store = self.copy.restore(self.store.era + 1);
            }
            WRITTEN_AGAIN_AT => {
                let newest = self.acknowledged.last().map(|(version, _)| version.to_string());
                self.store.write(CONFIG, newest.unwrap_or_default());
            }
            _ => {}
        }
        if Self::is_down(round) {
            return;
        }
        if round.is_multiple_of(CONFIGURATION_INTERVAL) {
            let version = u64::from(round) + 1;
            self.store.write(CONFIG, version.to_string());
            self.acknowledged.push((version, round));
        }
        if round.is_multiple_of(TARGET_INTERVAL) {
            let target = self.random.random_range(0..self.nodes.len());
            self.store.write(&format!("servers/{target}"), "y".repeat(180));
        }
    }

    fn disrupt(&mut self, round: u32, fault: Fault) {
        match fault {
            Fault::NodesRestart if round.is_multiple_of(200) => {
                for _ in 0..self.nodes.len().div_ceil(10) {
                    let node = self.random.random_range(0..self.nodes.len());
                    let sent_bytes = self.nodes[node].sent_bytes;
                    self.nodes[node] = Node { sent_bytes, ..Node::start(round + CONTACT_ROUNDS) };
                }
            }
            Fault::NodesCut if round % PERIOD == RESTORED_AT - 40 => self.set_cut(round, true),
            Fault::NodesCut if round % PERIOD == (RESTORED_AT + 40) % PERIOD => {
                self.set_cut(round, false);
            }
            _ => {}
        }
    }

    fn set_cut(&mut self, round: u32, is_cut: bool) {
        for node in self.nodes.iter_mut().step_by(3) {
            node.is_cut = is_cut;
            node.bound_from = if is_cut { u32::MAX } else { round + CONTACT_ROUNDS };
        }
    }

    /// Lets the first nodes that reach the store read it if it has changed.
    fn read_store(&mut self, round: u32) {
        if Self::is_down(round) {
            return;
        }
        let (now, revision) = (self.origin + ROUND * round, self.store.revision());
        let readers = self.nodes.iter_mut().filter(|node| !node.is_cut).take(READERS);
        for node in readers.filter(|node| node.head < revision) {
            node.store_calls += 1;
            node.items.apply_snapshot(now, "", self.store.entries.values(), revision);
            node.head = node.items.newest_revision("");
        }
    }

    /// Lets nodes announce what they have: to a few peers if it is new, else in the head of a datagram
    /// of the membership protocol, ten times a second.
    fn announce(&mut self, round: u32) {
        for from in 0..self.nodes.len() {
            let head = self.nodes[from].head;
            let is_new = head > self.nodes[from].announced;
            let fanout = if is_new { FANOUT } else { usize::from(round.is_multiple_of(2)) };
            self.nodes[from].announced = head;
            for to in (0..self.nodes.len()).choose_multiple(&mut self.random, fanout) {
                self.nodes[from].sent_bytes += HEAD_BYTES;
                let is_lost = self.random.random_bool(0.1);
                if !is_lost && !self.nodes[from].is_cut && !self.nodes[to].is_cut {
                    self.nodes[to].heads.insert(from, head);
                }
            }
        }
    }

    /// Lets nodes that are behind a peer fetch from one.
    fn fetch(&mut self, round: u32) {
        let now = self.origin + ROUND * round;
        self.nodes.iter_mut().for_each(|node| node.answers = 0);
        for node in 0..self.nodes.len() {
            let head = self.nodes[node].head;
            let ahead = self.nodes[node].heads.iter().filter(|(_, known)| **known > head);
            let ahead: Vec<usize> = ahead.map(|(peer, _)| *peer).collect();
            let Some(&peer) = ahead.choose(&mut self.random) else {
                self.nodes[node].items.note_complete("", head);
                continue;
            };
            let complete = self.nodes[node].items.complete("");
            let source = &mut self.nodes[peer];
            if source.is_cut || source.answers >= MAX_ANSWERS {
                continue;
            }
            let updates = source.items.changes_after("", head, complete, MAX_ANSWER);
            source.answers += 1;
            source.sent_bytes += updates.iter().map(size_of_update).sum::<usize>();
            if self.nodes[node].is_cut {
                continue;
            }
            let node = &mut self.nodes[node];
            for update in updates {
                if !node.items.check_known("", &update) {
                    break;
                }
                node.items.apply(now, update);
            }
            node.head = node.items.newest_revision("");
        }
    }

    /// Counts nodes that go back to an older configuration or don't have an acknowledged one in time.
    fn check(&mut self, round: u32) {
        let due = self.acknowledged.iter().rev();
        let due = due.clone().find(|(_, at)| {
            let is_in_time = at + CONFIGURATION_ROUNDS <= round;
            let was_down = (*at..=round).any(Self::is_down);
            is_in_time && !was_down
        });
        let due = due.map_or(0, |(version, _)| *version);
        for node in &mut self.nodes {
            let version = node.version();
            self.regressions += u32::from(version < node.version);
            node.version = version;
            self.late += u32::from(version < due && round >= node.bound_from);
        }
    }

    /// Counts nodes that lack what the store has.
    fn count_incomplete(&self) -> usize {
        let is_incomplete = |node: &&Node| {
            self.store.entries.iter().any(|(key, entry)| {
                let value = node.items.get(key).and_then(|item| item.value.clone());
                value.as_deref() != Some(&entry.value)
            })
        };
        let bound = self.nodes.iter().filter(|node| node.bound_from < ROUNDS);
        bound.filter(is_incomplete).count()
    }

    fn max_traffic(&self) -> f64 {
        let bytes = self.nodes.iter().map(|node| node.sent_bytes).max().unwrap_or_default();
        bytes as f64 / (ROUND * ROUNDS).as_secs_f64()
    }

    fn mean_traffic(&self) -> f64 {
        let bytes: usize = self.nodes.iter().map(|node| node.sent_bytes).sum();
        bytes as f64 / (ROUND * ROUNDS).as_secs_f64() / self.nodes.len() as f64
    }
}

fn size_of_update(update: &Update) -> usize {
    update.key.len() + update.value.as_deref().map_or(0, str::len) + 40
}

fn assert_newest_configuration(fault: Fault) {
    for nodes in [9, 195, 390] {
        let replay = Replay::run(nodes, fault, 1);
        let case = format!("{nodes} nodes, {fault:?}");
        let (mean, max) = (replay.mean_traffic(), replay.max_traffic());
        let calls = replay.nodes.iter().map(|node| node.store_calls).sum::<u32>();
        println!(
            "{case}: {} late, {} regressions, {mean:.0} B/s on average, {max:.0} at most, {calls} calls",
            replay.late, replay.regressions
        );
        assert_eq!((replay.late, replay.regressions), (0, 0), "{case}");
        assert_eq!(replay.count_incomplete(), 0, "{case}");
        assert!(mean < MAX_TRAFFIC, "{case}: {mean} B/s");
    }
}

/// Guards against configurations that aren't in force in time, or go back, since the store is restored
/// from a copy, twice in a row.
#[test]
fn a_fleet_has_the_newest_configuration_after_each_restore() {
    assert_newest_configuration(Fault::None);
}

/// The same while nodes restart, without what they knew.
#[test]
fn a_fleet_with_nodes_that_restart_has_the_newest_configuration_after_each_restore() {
    assert_newest_configuration(Fault::NodesRestart);
}

/// The same while nodes are cut off when the store is restored, those that read it among them.
#[test]
fn a_fleet_with_nodes_that_were_cut_off_has_the_newest_configuration_after_each_restore() {
    assert_newest_configuration(Fault::NodesCut);
}
