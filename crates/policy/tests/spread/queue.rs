//! Event queue of a replay.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// An event of the replay.
#[derive(Clone, Debug)]
pub enum Event {
    /// The initial holders receive a configuration from the store.
    Publish(u32),
    /// The version of a node is announced to the others.
    Announcement {
        from: usize,
        version: u32,
    },
    /// A node announces its version, and repeats this at the given interval.
    Gossip(usize, Duration),
    Poll(usize),
    PollEarly(usize),
    /// A request arrives at its source.
    Request {
        source: usize,
        requester: usize,
        number: u64,
    },
    /// An answer without a document arrives at the requester, with a wait if the source is busy.
    Rejection {
        requester: usize,
        number: u64,
        wait: Option<Duration>,
        referrals: Vec<usize>,
    },
    /// A link has sent an answer.
    Sent {
        source: usize,
        generation: u64,
    },
    /// The end of an answer arrives at the requester.
    Received {
        requester: usize,
        number: u64,
        version: u32,
    },
    /// A requester checks whether its answer still makes progress.
    Timeout {
        requester: usize,
        number: u64,
    },
    Die,
    /// The fleet is partitioned, or joined again.
    Cut(bool),
    /// A requester resumes reading.
    ResumeReading(usize),
}

/// Events ordered by time, and by insertion for equal times.
#[derive(Default)]
pub struct Queue {
    times: BinaryHeap<Reverse<(Duration, u64)>>,
    events: BTreeMap<u64, Event>,
    count: u64,
}

impl Queue {
    pub fn push(&mut self, at: Duration, event: Event) {
        self.times.push(Reverse((at, self.count)));
        self.events.insert(self.count, event);
        self.count += 1;
    }

    pub fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse((at, number)) = self.times.pop()?;
        self.events.remove(&number).map(|event| (at, event))
    }
}
