//! What the owner of a target is asked and told, and what it answers.

use crate::cost::{Class, Cost};
use crate::fair::Lane;
use crate::ramp::Sample;
use crate::refuse::Reason;
use hickory_unit::{id, size};
use std::time::{Duration, Instant};

/// What a target bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Streams (or calls) at once.
    pub streams: u32,
    /// KV cache.
    pub kv: size::Tokens,
    /// Prompt tokens a second.
    pub prefill_rate: u64,
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// The partner whose share pays.
    pub partner: id::Partner,
    /// The account.
    pub account: id::Account,
    /// Who waits.
    pub class: Class,
    /// What it weighs.
    pub cost: Cost,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Runs beside no other request.
    pub is_exclusive: bool,
    /// Answer at once, never queue.
    pub is_urgent: bool,
}

impl PermitRequest {
    /// The lane that the ask waits in.
    pub fn lane(&self) -> Lane {
        Lane { class: self.class, long: self.cost.is_long() }
    }
}

/// The priority at which an engine is to run the work of a lane: short before
/// long, interactive before batch.
pub fn priority_of(lane: Lane) -> u8 {
    let base = if lane.long { 0 } else { 2 };
    base + u8::from(lane.class == Class::Interactive)
}

/// Names an ask or the permit it became.
pub type Ticket = u64;

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send now.
    Granted(Ticket),
    /// Wait; [`crate::limit::Limiter::poll`] will name the ticket.
    Queued(Ticket),
    /// Never here; come back after the time given.
    Refused(Reason, Duration),
}

/// What a load report says, with the limiter's own streams told from others.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// How warm the target is.
    pub sample: Sample,
    /// Streams that this owner neither granted nor had granted within the
    /// lag of the report: a former owner's, or orphans.
    pub foreign_streams: u32,
    /// KV cache that they and held handles use.
    pub foreign_kv: size::Tokens,
    /// Prompt tokens not prefilled yet, of granted tickets.
    pub prefill_left: Vec<(Ticket, size::Tokens)>,
}

/// How the work under a permit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It is whole; the time to its first token, where one was measured.
    Completed(Option<Duration>),
    /// It was given up by its caller or its node; tells nothing of the target.
    Abandoned,
    /// The target refused it, failed or stalled.
    Failed,
}
