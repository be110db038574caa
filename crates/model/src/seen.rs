//! Which streams an engine has seen.

use hickory_unit::id;
use std::collections::{HashSet, VecDeque};

/// Streams remembered; the oldest are forgotten first.
const SEEN_MAX: usize = 65_536;

/// The last streams of which something is remembered.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    all: HashSet<id::Stream>,
    order: VecDeque<id::Stream>,
}

impl Seen {
    pub(crate) fn contains(&self, stream: &id::Stream) -> bool {
        self.all.contains(stream)
    }

    pub(crate) fn insert(&mut self, stream: id::Stream) {
        if !self.all.insert(stream.clone()) {
            return;
        }
        self.order.push_back(stream);
        if self.order.len() > SEEN_MAX
            && let Some(oldest) = self.order.pop_front()
        {
            self.all.remove(&oldest);
        }
    }
}
