//! A request in flight and its record.

use crate::load::Request;
use hickory_policy::limit::Ticket;
use hickory_policy::refuse::Reason;
use hickory_unit::id;
use std::time::Duration;

/// A request and its outcome.
#[derive(Clone, Debug)]
pub struct Record {
    pub request: Request,
    /// Time to first token.
    pub first_token: Option<Duration>,
    /// Time from arrival to the end.
    pub ended_after: Option<Duration>,
    /// Reason and time of the refusal.
    pub refusal: Option<(Reason, Duration)>,
    /// Whether it was sent to a target, regardless of the outcome.
    pub was_sent: bool,
}

pub(crate) struct Flight {
    pub(crate) record: Record,
    pub(crate) target: Option<usize>,
    pub(crate) ticket: Ticket,
    pub(crate) attempt: u32,
    pub(crate) tried_targets: Vec<usize>,
    /// When the attempt was sent, and its time to first token from then on.
    pub(crate) sent: Duration,
    pub(crate) first_token: Option<Duration>,
}

pub(crate) fn stream_id(index: usize, attempt: u32) -> id::Stream {
    id::Stream {
        request: id::Request(uuid::Uuid::from_u128(index as u128)),
        attempt,
        sender: "node".into(),
        deadline_ms: 0,
    }
}
