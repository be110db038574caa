//! The replica of a plain service that a request is sent to.
//!
//! Load pattern: short requests on a few slots, of which some replicas answer
//! late or fail. A replica that fails at times is still better than one behind
//! whose queue the request would wait for longer than a failure costs.

use crate::plan::Load;
use std::time::Duration;

/// Requests that may run or wait at a replica, as a multiple of its slots: beyond
/// it, a request waits longer than callers do.
const MAX_REQUESTS_PER_SLOT: u32 = 3;

/// A replica's load and how many requests it runs at once.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// What is placed there.
    pub load: &'a Load,
    /// Requests that it runs at once.
    pub slots: u32,
}

impl Candidate<'_> {
    fn is_full(&self) -> bool {
        self.load.requests >= self.slots.max(1) * MAX_REQUESTS_PER_SLOT
    }

    /// What a request is expected to wait for a slot, where a request takes
    /// `usual`.
    fn queue_time(&self, typical_time: Duration) -> Duration {
        let slots = self.slots.max(1);
        let queued = (self.load.requests + 1).saturating_sub(slots);
        typical_time * queued / slots
    }
}

/// The candidate that is expected to answer first, where a request takes `usual`.
///
/// # Errors
///
/// All are full; the time after which there is room.
pub fn choose_replica(
    candidates: &[Candidate<'_>],
    typical_time: Duration,
) -> Result<usize, Duration> {
    let rank = |&index: &usize| {
        let candidate = &candidates[index];
        let load = candidate.load;
        let utilization = load.requests * 1_000 / candidate.slots.max(1);
        (
            candidate.queue_time(typical_time) + load.penalty,
            utilization,
            !load.is_same_zone,
            load.preference,
        )
    };
    let available = (0..candidates.len()).filter(|&index| !candidates[index].is_full());
    available.min_by_key(rank).ok_or(typical_time * (MAX_REQUESTS_PER_SLOT - 1))
}
