//! What happens later in a replay, in the order of time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

/// Something that happens.
#[derive(Clone, Debug)]
pub enum Event {
    /// The first nodes hear a configuration from the store.
    Publish(u32),
    /// The others hear which version a node has.
    Announcement {
        from: usize,
        version: u32,
    },
    /// A node tells which version it has, as it does at this distance.
    Gossip(usize, Duration),
    Poll(usize),
    PollEarly(usize),
    /// A request is at its giver.
    Request {
        source: usize,
        requester: usize,
        number: u64,
    },
    /// An answer without a document is at its taker; with a wait if the giver
    /// is busy.
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
    /// The last of an answer is at its taker.
    Received {
        requester: usize,
        number: u64,
        version: u32,
    },
    /// A taker sees whether an answer still comes.
    Timeout {
        requester: usize,
        number: u64,
    },
    Die,
    /// The fleet is cut in two, or whole again.
    Cut(bool),
    /// A taker that stopped reads again.
    ResumeReading(usize),
}

/// Events by time; those of one time in the order in which they were put in.
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
