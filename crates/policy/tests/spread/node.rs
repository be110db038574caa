//! A node of a replay: giver and taker.

use super::case::{Case, FAST_LINK_BYTES_PER_SECOND, Fault, LINK_BYTES_PER_SECOND};
use super::link::Link;
use hickory_policy::spread::{Recipients, Sources, UploadMeter};
use rand::rngs::StdRng;
use rand::seq::{SliceRandom, index};
use std::time::Duration;

/// What a taker has asked for and not got yet.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub source: usize,
    pub number: u64,
    /// When the last was heard of it, as far as no answer is on a link.
    pub last: Duration,
}

/// A node.
pub struct Node {
    /// Of the same rate up and down.
    pub link: Link,
    /// The version it has; zero is none.
    pub version: u32,
    /// When it had that.
    pub completed_at: Duration,
    /// The newest version it has heard of.
    pub wanted_version: u32,
    /// The bytes it has of a version whose giver fell silent.
    pub partial: (u32, f64),
    pub request: Option<Request>,
    /// When it looks again out of turn.
    pub next_poll: Duration,
    pub sources: Sources<usize>,
    pub meter: UploadMeter,
    pub recipients: Recipients<usize>,
    /// The versions that it has heard others to have.
    versions: Vec<u32>,
    pub is_alive: bool,
    /// Whether no fault keeps it from the document.
    pub is_unaffected: bool,
    pub is_cut_off: bool,
    pub has_stopped_reading: bool,
    pub has_resumed_reading: bool,
}

impl Node {
    fn new(nodes: usize, rate: f64, is_unaffected: bool) -> Self {
        Self {
            link: Link::new(rate),
            version: 0,
            completed_at: Duration::ZERO,
            wanted_version: 0,
            partial: (0, 0.0),
            request: None,
            next_poll: Duration::ZERO,
            sources: Sources::default(),
            meter: UploadMeter::default(),
            recipients: Recipients::default(),
            versions: vec![0; nodes],
            is_alive: true,
            is_unaffected,
            is_cut_off: false,
            has_stopped_reading: false,
            has_resumed_reading: false,
        }
    }

    /// Takes over a configuration.
    pub fn store_version(&mut self, version: u32, now: Duration) {
        if version > self.version {
            (self.version, self.completed_at) = (version, now);
            self.wanted_version = self.wanted_version.max(version);
            self.recipients.clear();
        }
    }

    /// Hears that another has a version.
    pub fn note_version(&mut self, from: usize, version: u32) {
        self.versions[from] = self.versions[from].max(version);
        if version > self.wanted_version {
            self.wanted_version = version;
            self.sources = Sources::default();
        }
    }

    /// Those that it has heard to have what it wants.
    pub fn holders(&self) -> Vec<usize> {
        let versions = self.versions.iter().enumerate();
        versions
            .filter(|(_, version)| **version >= self.wanted_version)
            .map(|(node, _)| node)
            .collect()
    }

    /// Whether it still waits for the answer to this ask.
    pub fn awaits(&self, number: u64) -> bool {
        self.request.is_some_and(|request| request.number == number)
    }

    /// The bytes that it has of a version.
    pub fn partial_bytes(&self, version: u32) -> f64 {
        if self.partial.0 == version { self.partial.1 } else { 0.0 }
    }
}

/// Draws the nodes of a case: which of them have fast links or meet a fault.
pub fn draw(case: &Case, random: &mut StdRng) -> Vec<Node> {
    let requesters = case.nodes - case.initial_holders;
    let affected = match case.fault {
        Fault::StopReading { part, .. } => (requesters as f64 * part).ceil() as usize,
        Fault::Cut { .. } => case.nodes / 3,
        Fault::None | Fault::Death { .. } => 0,
    };
    let mut order: Vec<usize> = (case.initial_holders..case.nodes).collect();
    order.shuffle(random);
    let fast = index::sample(random, case.nodes, case.fast_nodes).into_vec();
    let rate = |node| match fast.contains(&node) {
        true => FAST_LINK_BYTES_PER_SECOND,
        false => LINK_BYTES_PER_SECOND,
    };
    let new = |node| Node::new(case.nodes, rate(node), !order[..affected].contains(&node));
    (0..case.nodes).map(new).collect()
}
