//! Cases of the replay and their outcomes.

use std::time::Duration;

/// Rate of a normal link, in bytes per second.
pub const LINK_BYTES_PER_SECOND: f64 = 2.5e6;

/// Rate of a fast link, in bytes per second.
pub const FAST_LINK_BYTES_PER_SECOND: f64 = 25e6;

/// How sources and requesters behave.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Every requester asks a source for the whole document at each poll, every source serves all
    /// requests, and incomplete answers are discarded after the timeout.
    Unlimited,
    /// Sources and requesters follow the rules of `spread`.
    Metered,
}

/// A fault injected into the replay.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// Two of the initial holders die without notice.
    Death {
        at: Duration,
    },
    /// Some requesters stop reading from their first answer on, for a time.
    StopReading {
        fraction: f64,
        time: Duration,
    },
    /// A third of the nodes, none of them an initial holder, is cut off from the others.
    Cut {
        begin: Duration,
        end: Duration,
    },
}

/// A fleet and the documents that are distributed in it.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub nodes: usize,
    /// Size of a configuration in bytes.
    pub size: u64,
    /// Number of nodes that have each configuration when it is written.
    pub initial_holders: usize,
    /// Number of nodes with a fast link.
    pub fast_nodes: usize,
    /// Number of configurations written, each replacing the one before.
    pub versions: u32,
    /// Interval between two writes.
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

    /// Returns when the last configuration is written.
    pub fn last_write(&self) -> Duration {
        self.write_interval * (self.versions - 1)
    }
}

/// Outcome of a replay.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Sorted times at which the requesters that are alive had the last configuration; those that
    /// never received it are left out.
    pub completion_times: Vec<Duration>,
    /// The same for the requesters that are unaffected by the fault.
    pub unaffected_times: Vec<Duration>,
    /// Number of requesters that are alive.
    pub requesters: usize,
    /// Number of requesters that are alive and unaffected by the fault.
    pub unaffected_requesters: usize,
    /// Bytes of configurations sent.
    pub bytes_sent: f64,
    /// Number of answers without a document.
    pub busy_answers: u64,
    /// Maximum number of concurrent answers on one link.
    pub max_answers_per_link: usize,
}

impl Outcome {
    /// Returns when the last requester had the configuration.
    pub fn last_time(&self) -> Option<Duration> {
        self.time_of_fraction(1.0)
    }

    /// Returns when this fraction of the requesters had the configuration.
    pub fn time_of_fraction(&self, fraction: f64) -> Option<Duration> {
        let count = (self.requesters as f64 * fraction).ceil() as usize;
        self.completion_times.get(count - 1).copied()
    }

    /// Returns when the last of the requesters that are unaffected by the fault had the
    /// configuration.
    pub fn last_unaffected_time(&self) -> Option<Duration> {
        self.unaffected_times.get(self.unaffected_requesters - 1).copied()
    }

    /// Returns the number of bytes sent per byte that had to be sent.
    pub fn overhead(&self, case: &Case) -> f64 {
        self.bytes_sent / (case.size * self.requesters as u64 * u64::from(case.versions)) as f64
    }
}
