//! A node of a replay: giver and taker.

use super::case::{Case, FAST_LINK_BYTES_PER_SECOND, Fault, LINK_BYTES_PER_SECOND};
use super::link::Link;
use hickory_policy::spread::{Recipients, Sources, UploadMeter};
use rand::rngs::StdRng;
use rand::seq::{SliceRandom, index};
use std::time::Duration;

/// What a taker has asked for and not got yet.
#[derive(Clone, Copy, Debug)]
pub struct Ask {
    pub giver: usize,
    pub number: u64,
    /// When the last was heard of it, as far as no answer is on a link.
    pub last: Duration,
}

/// A node.
pub struct Node {
    /// Of the same rate up and down.
    pub link: Link,
    /// The version it has; zero is none.
    pub has: u32,
    /// When it had that.
    pub had: Duration,
    /// The newest version it has heard of.
    pub want: u32,
    /// The bytes it has of a version whose giver fell silent.
    pub pieces: (u32, f64),
    pub ask: Option<Ask>,
    /// When it looks again out of turn.
    pub wake: Duration,
    pub givers: Sources<usize>,
    pub meter: UploadMeter,
    pub given: Recipients<usize>,
    /// The versions that it has heard others to have.
    versions: Vec<u32>,
    pub alive: bool,
    /// Whether no fault keeps it from the document.
    pub spared: bool,
    pub cut: bool,
    pub stopped: bool,
    pub resumed: bool,
}

impl Node {
    fn new(nodes: usize, rate: f64, spared: bool) -> Self {
        Self {
            link: Link::new(rate),
            has: 0,
            had: Duration::ZERO,
            want: 0,
            pieces: (0, 0.0),
            ask: None,
            wake: Duration::ZERO,
            givers: Sources::default(),
            meter: UploadMeter::default(),
            given: Recipients::default(),
            versions: vec![0; nodes],
            alive: true,
            spared,
            cut: false,
            stopped: false,
            resumed: false,
        }
    }

    /// Takes over a configuration.
    pub fn own(&mut self, version: u32, now: Duration) {
        if version > self.has {
            (self.has, self.had) = (version, now);
            self.want = self.want.max(version);
            self.given.clear();
        }
    }

    /// Hears that another has a version.
    pub fn hear(&mut self, from: usize, version: u32) {
        self.versions[from] = self.versions[from].max(version);
        if version > self.want {
            self.want = version;
            self.givers = Sources::default();
        }
    }

    /// Those that it has heard to have what it wants.
    pub fn heard(&self) -> Vec<usize> {
        let versions = self.versions.iter().enumerate();
        versions.filter(|(_, version)| **version >= self.want).map(|(node, _)| node).collect()
    }

    /// Whether it still waits for the answer to this ask.
    pub fn asks(&self, number: u64) -> bool {
        self.ask.is_some_and(|ask| ask.number == number)
    }

    /// The bytes that it has of a version.
    pub fn kept(&self, version: u32) -> f64 {
        if self.pieces.0 == version { self.pieces.1 } else { 0.0 }
    }
}

/// Draws the nodes of a case: which of them have fast links or meet a fault.
pub fn draw(case: &Case, random: &mut StdRng) -> Vec<Node> {
    let takers = case.nodes - case.first;
    let hit = match case.fault {
        Fault::Stop { part, .. } => (takers as f64 * part).ceil() as usize,
        Fault::Cut { .. } => case.nodes / 3,
        Fault::None | Fault::Death { .. } => 0,
    };
    let mut order: Vec<usize> = (case.first..case.nodes).collect();
    order.shuffle(random);
    let fast = index::sample(random, case.nodes, case.fast).into_vec();
    let rate = |node| match fast.contains(&node) {
        true => FAST_LINK_BYTES_PER_SECOND,
        false => LINK_BYTES_PER_SECOND,
    };
    let new = |node| Node::new(case.nodes, rate(node), !order[..hit].contains(&node));
    (0..case.nodes).map(new).collect()
}
