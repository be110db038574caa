//! A request on its way through the fleet, and how it went.

use crate::load::Request;
use hickory_policy::limit::Ticket;
use hickory_policy::refuse::Reason;
use hickory_unit::id;
use std::time::Duration;

/// How a request went.
#[derive(Clone, Debug)]
pub struct Record {
    pub request: Request,
    /// Time to the first token.
    pub first_token: Option<Duration>,
    /// Time to the end.
    pub ended_after: Option<Duration>,
    /// The refusal and when it came.
    pub refusal: Option<(Reason, Duration)>,
    /// Sent to a target, whatever came of it.
    pub was_sent: bool,
}

pub(crate) struct Flight {
    pub(crate) record: Record,
    pub(crate) target: Option<usize>,
    pub(crate) ticket: Ticket,
    pub(crate) attempt: u32,
    pub(crate) tried_targets: Vec<usize>,
    /// When the attempt was sent, and the time to its first token from then.
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
