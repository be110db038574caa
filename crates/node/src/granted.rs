//! An owner's records of permits, of queued asks, and of streams that it did not grant.

use hickory_unit::{id, size};
use hickory_wire::message::{Permit, Refusal, Weights};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Time for which a stream may remain on a target after its deadline before it is swept: the
/// sender cancels it at the deadline, and the cancel may still be in transit.
pub(crate) const SWEEP_GRACE: Duration = Duration::from_secs(2);

/// A stream on the target that was granted by a previous owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Foreign {
    /// When the owner first saw it without a live node that serves it.
    pub(crate) orphaned_since: Option<Instant>,
}

/// A granted permit.
#[derive(Clone, Debug)]
pub(crate) struct Granted {
    pub(crate) stream: id::Stream,
    pub(crate) request_deadline: Instant,
    pub(crate) priority: u8,
    /// Hash of account and content.
    pub(crate) fingerprint: u64,
    /// Maximum size of its KV cache.
    pub(crate) kv: size::Tokens,
    /// The weights that it runs on; `None` for a plain service.
    pub(crate) weights: Option<Weights>,
    /// When the caller disconnected, if it has.
    pub(crate) caller_left_at: Option<Instant>,
    /// When it was granted, if its asker hasn't received the permit yet.
    pub(crate) undelivered_since: Option<Instant>,
    /// Whether a death of the target has already been counted against the request.
    pub(crate) is_death_counted: bool,
    /// The node that serves it.
    pub(crate) node: id::Node,
}

/// A queued ask.
#[derive(Debug)]
pub(crate) struct Waiting {
    pub(crate) stream: id::Stream,
    pub(crate) asked_at: Instant,
    pub(crate) request_deadline: Instant,
    pub(crate) priority: u8,
    pub(crate) fingerprint: u64,
    pub(crate) kv: size::Tokens,
    pub(crate) weights: Option<Weights>,
    pub(crate) responder: Option<oneshot::Sender<Result<Permit, Refusal>>>,
}

impl Granted {
    pub(crate) fn open(stream: id::Stream, request_deadline: Instant, priority: u8) -> Self {
        let node = stream.sender.clone();
        let (fingerprint, kv, weights) = (0, size::Tokens(0), None);
        Self {
            stream,
            request_deadline,
            priority,
            fingerprint,
            kv,
            weights,
            caller_left_at: None,
            undelivered_since: None,
            is_death_counted: false,
            node,
        }
    }

    pub(crate) fn is_overdue(&self, now: Instant, resume_window: Duration) -> bool {
        let is_long_unserved =
            self.caller_left_at.is_some_and(|at| now.saturating_duration_since(at) > resume_window);
        is_long_unserved || now > self.request_deadline + SWEEP_GRACE
    }
}
