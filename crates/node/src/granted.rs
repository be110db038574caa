//! What an owner keeps of each permit that is out, each ask that waits and each
//! stream that it did not grant.

use hickory_unit::{id, size};
use hickory_wire::message::{Permit, Refusal, Weights};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// How long after its deadline a stream may still be found on a target before
/// it is swept: the sender ends it at the deadline, and its message may be
/// under way.
pub(crate) const SWEEP_GRACE: Duration = Duration::from_secs(2);

/// A stream that the target holds and this owner did not grant: a former
/// owner did.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Foreign {
    /// When it was first seen without anybody who stands for it.
    pub(crate) orphaned_since: Option<Instant>,
}

/// A permit that is out.
#[derive(Clone, Debug)]
pub(crate) struct Granted {
    pub(crate) stream: id::Stream,
    pub(crate) request_deadline: Instant,
    pub(crate) priority: u8,
    /// Hash of account and content.
    pub(crate) fingerprint: u64,
    /// KV cache at its greatest.
    pub(crate) kv: size::Tokens,
    /// What runs it, on an engine.
    pub(crate) weights: Option<Weights>,
    /// When the caller's connection went, where it did.
    pub(crate) caller_left_at: Option<Instant>,
    /// When it was granted, while its asker has not been told.
    pub(crate) undelivered_since: Option<Instant>,
    /// Whether the target's death is counted against it already.
    pub(crate) is_death_counted: bool,
    /// The node that serves it.
    pub(crate) node: id::Node,
}

/// An ask in the queue.
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

    pub(crate) fn is_overdue(&self, now: Instant, resume: Duration) -> bool {
        let is_long_unserved =
            self.caller_left_at.is_some_and(|at| now.saturating_duration_since(at) > resume);
        is_long_unserved || now > self.request_deadline + SWEEP_GRACE
    }
}
