//! Permit requests to the owner of a target, the owner's answers, and the outcomes reported back.

use crate::cost::{Class, Cost};
use crate::fair::Lane;
use crate::ramp::Sample;
use crate::refuse::Reason;
use hickory_unit::{id, size};
use std::time::{Duration, Instant};

/// Capacity of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Maximum number of concurrent streams (or calls).
    pub streams: u32,
    /// KV cache size.
    pub kv: size::Tokens,
    /// Prefill rate in prompt tokens per second.
    pub prefill_rate: u64,
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Partner whose share is charged.
    pub partner: id::Partner,
    /// Account that sent the request.
    pub account: id::Account,
    /// Latency class of the request.
    pub class: Class,
    /// Estimated cost of the request.
    pub cost: Cost,
    /// Time by which the request must have ended.
    pub deadline: Instant,
    /// Whether the request must run with no other request on the target.
    pub is_exclusive: bool,
    /// Whether the request must be granted or refused immediately, without queueing.
    pub is_urgent: bool,
}

impl PermitRequest {
    /// Returns the lane that the request is queued in.
    pub fn lane(&self) -> Lane {
        Lane { class: self.class, is_long: self.cost.is_long() }
    }
}

/// Returns the priority at which an engine runs the work of a lane: short before long, and
/// interactive before batch within each.
pub fn priority_of(lane: Lane) -> u8 {
    let base = if lane.is_long { 0 } else { 2 };
    base + u8::from(lane.class == Class::Interactive)
}

/// Identifies a permit request and the permit granted for it.
pub type Ticket = u64;

/// Answer to a permit request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// The permit is granted; the work may be sent now.
    Granted(Ticket),
    /// The request is queued; [`crate::limit::Limiter::poll`] returns the ticket later.
    Queued(Ticket),
    /// The request is refused; the caller may retry elsewhere, or here after the given delay.
    Refused(Reason, Duration),
}

/// A load report, with the streams of this limiter separated from all others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Warmth of the target.
    pub sample: Sample,
    /// Streams without a permit from this owner: streams of a former owner, or orphans. Streams
    /// whose permit was released within the reporting delay are left out.
    pub foreign_streams: u32,
    /// KV cache used by those streams and by the handles that the target holds.
    pub foreign_kv: size::Tokens,
    /// Remaining prompt tokens to prefill, by granted ticket.
    pub prefill_left: Vec<(Ticket, size::Tokens)>,
}

/// Result of the work done under a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The work completed; holds the time to first token where it was measured.
    Completed(Option<Duration>),
    /// The caller or its node gave up; says nothing about the target's health.
    Abandoned,
    /// The target refused the work, failed or stalled.
    Failed,
}
