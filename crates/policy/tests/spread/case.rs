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
    Unlimited,
    /// Givers and takers follow the rules of `spread`.
    Metered,
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
    StopReading {
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
    pub initial_holders: usize,
    /// Nodes with a fast link.
    pub fast_nodes: usize,
    /// Configurations that are written, each in place of the one before.
    pub versions: u32,
    /// Between two of them.
    pub write_interval: Duration,
    pub fault: Fault,
}

impl Case {
    pub fn new(nodes: usize, size: u64) -> Self {
        let write_interval = Duration::ZERO;
        Self {
            nodes,
            size,
            initial_holders: 3,
            fast_nodes: 0,
            versions: 1,
            write_interval,
            fault: Fault::None,
        }
    }

    /// When the last configuration is written.
    pub fn last_write(&self) -> Duration {
        self.write_interval * (self.versions - 1)
    }
}

/// How a replay ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// When each taker that lives had the last configuration, in order; those
    /// that never had it are not in it.
    pub completion_times: Vec<Duration>,
    /// As `times`, of those alone that no fault kept from it.
    pub unaffected_times: Vec<Duration>,
    /// Takers that live, and those of them that no fault kept from it.
    pub requesters: usize,
    pub unaffected_requesters: usize,
    /// Bytes of configurations that were sent.
    pub bytes_sent: f64,
    pub busy_answers: u64,
    /// The greatest number of answers on one link.
    pub max_answers_per_link: usize,
}

impl Outcome {
    /// When the last node had it.
    pub fn last_time(&self) -> Option<Duration> {
        self.time_of_part(1.0)
    }

    /// When this part of the takers had it.
    pub fn time_of_part(&self, part: f64) -> Option<Duration> {
        let count = (self.requesters as f64 * part).ceil() as usize;
        self.completion_times.get(count - 1).copied()
    }

    /// When the last node had it that no fault kept from it.
    pub fn last_unaffected_time(&self) -> Option<Duration> {
        self.unaffected_times.get(self.unaffected_requesters - 1).copied()
    }

    /// Bytes that were sent, for each that had to be.
    pub fn overhead(&self, case: &Case) -> f64 {
        self.bytes_sent / (case.size * self.requesters as u64 * u64::from(case.versions)) as f64
    }
}
