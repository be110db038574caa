//! What is replayed, and how it ended.

use std::time::Duration;

/// The rate of a usual link, in bytes per second.
pub const LINK_BYTES_PER_SECOND: f64 = 2.5e6;

/// The rate of a fast link, in bytes per second.
pub const FAST_LINK_BYTES_PER_SECOND: f64 = 25e6;

/// How givers and takers behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Every taker asks a giver for the whole at each look, every giver gives
    /// to all, and what is not there in time is thrown away.
    AtOnce,
    /// Givers and takers follow the rules of `spread`.
    ByTurns,
}

/// A fault, or none.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Two of the first nodes die, without a word to those they send to.
    Death {
        at: Duration,
    },
    /// Some takers ask and then read nothing, from their first answer on.
    Stop {
        part: f64,
        time: Duration,
    },
    /// A third of the nodes, none of the first, is cut off from the others.
    Cut {
        begin: Duration,
        end: Duration,
    },
}

/// A fleet and what spreads in it.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub nodes: usize,
    /// Bytes of a configuration.
    pub size: u64,
    /// Nodes that have each configuration when it is written.
    pub first: usize,
    /// Nodes with a fast link.
    pub fast: usize,
    /// Configurations that are written, each in place of the one before.
    pub versions: u32,
    /// Between two of them.
    pub pause: Duration,
    pub fault: Fault,
}

impl Case {
    pub fn new(nodes: usize, size: u64) -> Self {
        let pause = Duration::ZERO;
        Self { nodes, size, first: 3, fast: 0, versions: 1, pause, fault: Fault::None }
    }

    /// When the last configuration is written.
    pub fn written(&self) -> Duration {
        self.pause * (self.versions - 1)
    }
}

/// How a replay ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When each taker that lives had the last configuration, in order; those
    /// that never had it are not in it.
    pub times: Vec<Duration>,
    /// As `times`, of those alone that no fault kept from it.
    pub spared: Vec<Duration>,
    /// Takers that live, and those of them that no fault kept from it.
    pub takers: usize,
    pub spared_takers: usize,
    /// Bytes of configurations that were sent.
    pub bytes: f64,
    pub busy: u64,
    /// The greatest number of answers on one link.
    pub widest: usize,
}

impl Outcome {
    /// When the last node had it.
    pub fn last(&self) -> Option<Duration> {
        self.part(1.0)
    }

    /// When this part of the takers had it.
    pub fn part(&self, part: f64) -> Option<Duration> {
        let count = (self.takers as f64 * part).ceil() as usize;
        self.times.get(count - 1).copied()
    }

    /// When the last node had it that no fault kept from it.
    pub fn last_spared(&self) -> Option<Duration> {
        self.spared.get(self.spared_takers - 1).copied()
    }

    /// Bytes that were sent, for each that had to be.
    pub fn overhead(&self, case: &Case) -> f64 {
        self.bytes / (case.size * self.takers as u64 * u64::from(case.versions)) as f64
    }
}
