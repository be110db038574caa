//! Decides when another target is tried beside one that has sent nothing.
//!
//! Load pattern: the host of an engine loses power while the engine prefills a prompt. The
//! connection stays open and silent, so that only the time tells.

use std::time::Duration;

/// The minimum time to wait for a target's first response or event before trying another target.
/// Shorter silences are iterations of a busy engine.
const MIN_TIMEOUT: Duration = Duration::from_millis(700);

/// A target counts as stalled after this many times the expected time, in addition to the allowance
/// for delays that the expected time doesn't include.
const EXPECTED_TIME_FACTOR: u32 = 3;

/// The allowance for a request with a patient goal. Its goal is no measure of such delays, and
/// with the goal as the allowance an attempt would last until the caller gives up.
const PATIENT_ALLOWANCE: Duration = Duration::from_secs(1);

/// A request whose first response is awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Wait {
    /// The expected time of the response, from when the request was sent.
    pub expected_time: Duration,
    /// The goal of the request's route.
    pub goal: Duration,
    /// Whether the goal is long compared with what most requests take.
    pub is_patient: bool,
    /// The time left until the deadline.
    pub time_left: Duration,
}

impl Wait {
    /// Returns the time after which the target counts as stalled; `None` if another target could
    /// no longer answer in the time that would be left.
    pub fn stall_timeout(&self) -> Option<Duration> {
        let allowance = if self.is_patient { PATIENT_ALLOWANCE } else { self.goal };
        let timeout = (self.expected_time * EXPECTED_TIME_FACTOR + allowance).max(MIN_TIMEOUT);
        let next_attempt = if self.is_patient { self.expected_time } else { self.goal };
        (timeout + next_attempt < self.time_left).then_some(timeout)
    }
}
