//! Cache events, which are delayed and may be lost.

use hickory_target::engine::CacheEvent;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Maximum number of events kept; older ones are dropped.
const MAX_EVENTS: usize = 10_000;

/// The log of one engine's cache events.
#[derive(Debug)]
pub struct Log {
    events: VecDeque<(Instant, CacheEvent)>,
    seq: u64,
    loss_interval: u64,
}

impl Log {
    /// Returns an empty log that loses every `loss_interval`-th event; 0 loses
    /// none.
    pub fn new(loss_interval: u64) -> Self {
        Self { events: VecDeque::new(), seq: 0, loss_interval }
    }

    /// Appends an event.
    pub fn push(&mut self, now: Instant, prefix: u64, stored: bool) {
        self.seq += 1;
        if self.loss_interval > 0 && self.seq.is_multiple_of(self.loss_interval) {
            return;
        }
        self.events.push_back((now, CacheEvent { seq: self.seq, prefix, stored }));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the events after number `after` that are at least `lag` old.
    pub fn list(&self, now: Instant, after: u64, lag: Duration) -> Vec<CacheEvent> {
        let first = self.events.partition_point(|(_, event)| event.seq <= after);
        let due = self.events.iter().skip(first).take_while(|(at, _)| *at + lag <= now);
        due.map(|(_, event)| event.clone()).collect()
    }
}
