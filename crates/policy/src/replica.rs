//! Selection of the replica of a plain service.
//!
//! Load pattern: short requests on few slots, where some replicas answer late or fail. A replica
//! that fails sometimes is still better than one whose queue costs more time than a failure does.

use crate::capacity::Estimate;
use crate::plan::Load;
use std::time::Duration;

/// Maximum number of requests that run or wait at a replica, per slot. With more, a request waits
/// longer than callers do.
const MAX_REQUESTS_PER_SLOT: u32 = 3;

/// A replica with its load and its number of slots.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// Requests that are placed there.
    pub load: &'a Load,
    /// Requests that it runs at once.
    pub slots: u32,
}

impl Candidate<'_> {
    fn is_full(&self) -> bool {
        self.load.requests >= self.slots.max(1) * MAX_REQUESTS_PER_SLOT
    }

    /// Expected wait for a slot, where a request takes `typical_time`.
    fn queue_time(&self, typical_time: Duration) -> Duration {
        let slots = self.slots.max(1);
        let queued = (self.load.requests + 1).saturating_sub(slots);
        typical_time * queued / slots
    }
}

/// Chooses the candidate with the earliest expected answer, where a request takes `typical_time`.
///
/// # Errors
///
/// All candidates are full; returns the time until there is room.
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

/// Chooses the candidate with the earliest expected answer by what has been learned of each, where a
/// request alone takes `typical_time` at the median speed. Candidates of which nothing is known are
/// chosen among as by [`choose_replica`].
///
/// # Errors
///
/// All candidates are full; returns the time until there is room.
pub fn choose_by_estimate(
    candidates: &[Candidate<'_>],
    estimates: &[Estimate],
    typical_time: Duration,
) -> Result<usize, Duration> {
    let requests = |index: usize| candidates[index].load.requests + estimates[index].foreign;
    let is_available =
        |&index: &usize| requests(index) < estimates[index].limit * MAX_REQUESTS_PER_SLOT;
    let rank = |&index: &usize| {
        let (load, estimate) = (candidates[index].load, &estimates[index]);
        let time = estimate.speed.scale(typical_time).mul_f64(estimate.stretch(load.requests));
        let utilization = requests(index) * 1_000 / estimate.limit;
        (time + load.penalty, utilization, !load.is_same_zone, load.preference)
    };
    let available = (0..candidates.len().min(estimates.len())).filter(is_available);
    available.min_by_key(rank).ok_or(typical_time * (MAX_REQUESTS_PER_SLOT - 1))
}
