//! A node of a replay, both source and requester.

use super::case::{Case, FAST_LINK_BYTES_PER_SECOND, Fault, LINK_BYTES_PER_SECOND};
use super::link::Link;
use hickory_policy::spread::{Recipients, Sources, UploadMeter};
use rand::rngs::StdRng;
use rand::seq::{SliceRandom, index};
use std::time::Duration;

/// A pending request.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub source: usize,
    pub number: u64,
    /// Last progress, while no answer is on a link.
    pub last: Duration,
}

/// A node.
pub struct Node {
    /// Has the same rate up and down.
    pub link: Link,
    /// Version of the document that the node has; zero for none.
    pub version: u32,
    /// When it received that version.
    pub completed_at: Duration,
    /// Newest version announced to it.
    pub wanted_version: u32,
    /// Version that an interrupted answer was sending, and the number of bytes kept of it.
    pub partial: (u32, f64),
    pub request: Option<Request>,
    /// Time of the next extra poll.
    pub next_poll: Duration,
    pub sources: Sources<usize>,
    pub meter: UploadMeter,
    pub recipients: Recipients<usize>,
    /// Versions announced by the other nodes.
    versions: Vec<u32>,
    pub is_alive: bool,
    /// Whether the case's fault does not prevent it from receiving the document.
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

    /// Stores a configuration.
    pub fn store_version(&mut self, version: u32, now: Duration) {
        if version > self.version {
            (self.version, self.completed_at) = (version, now);
            self.wanted_version = self.wanted_version.max(version);
            self.recipients.clear();
        }
    }

    /// Records that another node has a version.
    pub fn note_version(&mut self, from: usize, version: u32) {
        self.versions[from] = self.versions[from].max(version);
        if version > self.wanted_version {
            self.wanted_version = version;
            self.sources = Sources::default();
        }
    }

    /// Returns the nodes known to have the wanted version.
    pub fn holders(&self) -> Vec<usize> {
        let versions = self.versions.iter().enumerate();
        versions
            .filter(|(_, version)| **version >= self.wanted_version)
            .map(|(node, _)| node)
            .collect()
    }

    /// Returns whether the answer to this request is still pending.
    pub fn awaits(&self, number: u64) -> bool {
        self.request.is_some_and(|request| request.number == number)
    }

    /// Returns the number of bytes kept of a version.
    pub fn partial_bytes(&self, version: u32) -> f64 {
        if self.partial.0 == version { self.partial.1 } else { 0.0 }
    }
}

/// Creates the nodes of a case; selects at random which have fast links or are affected by a fault.
pub fn draw(case: &Case, random: &mut StdRng) -> Vec<Node> {
    let requesters = case.nodes - case.initial_holders;
    let affected = match case.fault {
        Fault::StopReading { fraction, .. } => (requesters as f64 * fraction).ceil() as usize,
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
