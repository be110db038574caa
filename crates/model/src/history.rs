//! A bounded history of streams, to recognise their ids later.

use hickory_unit::id;
use std::collections::{HashSet, VecDeque};

/// Maximum number of streams remembered; the oldest are dropped first.
const MAX_STREAMS: usize = 65_536;

/// The most recent streams.
#[derive(Debug, Default)]
pub(crate) struct History {
    streams: HashSet<id::Stream>,
    order: VecDeque<id::Stream>,
}

impl History {
    pub(crate) fn contains(&self, stream: &id::Stream) -> bool {
        self.streams.contains(stream)
    }

    pub(crate) fn insert(&mut self, stream: id::Stream) {
        if !self.streams.insert(stream.clone()) {
            return;
        }
        self.order.push_back(stream);
        if self.order.len() > MAX_STREAMS
            && let Some(oldest) = self.order.pop_front()
        {
            self.streams.remove(&oldest);
        }
    }
}
