//! Reasons for refusals and retries. Each reason has a counter.

use derive_more::Display;
use std::time::Duration;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Ran {
    /// The request did not run and never will.
    #[display("no")]
    No,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident = $text:literal, $status:literal;)*) => {
        /// Why a request is refused.
        #[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub enum Reason {
            $($(#[$doc])* #[display($text)] $name,)*
        }

        impl Reason {
            /// All reasons, for the counters.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// Returns the HTTP status of the reason.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// Parses a reason from its displayed form.
            pub fn parse(text: &str) -> Option<Self> {
                match text { $($text => Some(Self::$name),)* _ => None }
            }
        }
    };
}

reasons! {
    /// The body is not valid JSON of the expected form.
    Malformed = "malformed", 400;
    /// A header is missing or invalid.
    BadHeader = "bad-header", 400;
    /// The deadline is zero or above the maximum for any request.
    BadDeadline = "bad-deadline", 400;
    /// The idempotency key is not a UUIDv7, or is missing where one is required.
    BadKey = "bad-key", 400;
    /// The idempotency key was used with different content.
    KeyReused = "key-reused", 422;
    /// The idempotency key is older than the retention of the ledger.
    KeyTooOld = "key-too-old", 400;
    /// There is no token, or the token belongs to no account.
    Unauthenticated = "unauthenticated", 401;
    /// The account may not use the model or service.
    Forbidden = "forbidden", 403;
    /// No such model, adapter, version, service or request exists.
    NotFound = "not-found", 404;
    /// The path does not support the method.
    BadMethod = "bad-method", 405;
    /// The body exceeds the size limit.
    TooLarge = "too-large", 413;
    /// The prompt is longer than the fleet can hold at once.
    TooLong = "too-long", 422;
    /// The request crashed targets and is not run again.
    Quarantined = "quarantined", 422;
    /// The prompt contains parts under which engines crashed.
    PartQuarantined = "part-quarantined", 422;
    /// Targets crashed under copies of the request, and whether it is the cause isn't decided yet.
    Suspected = "suspected", 503;
    /// The node has no configuration yet.
    NotReady = "not-ready", 503;
    /// The node knows that a newer configuration exists. Under its present one the request has no
    /// route, account or capacity, or may not use the model or service that it names.
    Behind = "behind", 503;
    /// The node is shutting down.
    Draining = "draining", 503;
    /// The queue is too long for the deadline.
    Overloaded = "overloaded", 429;
    /// The retry budget of the account is exhausted.
    RetryBudget = "retry-budget", 429;
    /// No target that can run the request accepts work.
    NoTarget = "no-target", 503;
    /// The owner of the target can't be reached.
    NoOwner = "no-owner", 503;
    /// The claim for a non-idempotent request could not be written.
    LedgerDown = "ledger-down", 503;
    /// The same non-idempotent request was sent before.
    AlreadyClaimed = "already-claimed", 409;
    /// The deadline has passed.
    Deadline = "deadline", 504;
    /// The target failed while the request ran.
    TargetFailed = "target-failed", 502;
    /// No node or engine holds the stream any more.
    StreamLost = "stream-lost", 410;
}

/// Why a request is attempted again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RetryReason {
    /// No byte reached the target.
    #[display("not_sent")]
    NotSent,
    /// The target answered that it did not start the work.
    #[display("refused")]
    Refused,
    /// The target failed before the end, and the work may be repeated.
    #[display("target_failed")]
    TargetFailed,
    /// The stream made no progress for too long.
    #[display("stalled")]
    Stalled,
    /// The node that was asked for a permit does not own the target.
    #[display("not_owner")]
    NotOwner,
    /// The owner did not answer.
    #[display("owner_silent")]
    OwnerSilent,
    /// The permit had expired when it arrived.
    #[display("stale_permit")]
    StalePermit,
    /// The target's queue was too long; another target is tried.
    #[display("queue_long")]
    QueueLong,
}

impl RetryReason {
    /// All reasons, for the counters.
    pub const ALL: &[Self] = &[
        Self::NotSent,
        Self::Refused,
        Self::TargetFailed,
        Self::Stalled,
        Self::NotOwner,
        Self::OwnerSilent,
        Self::StalePermit,
        Self::QueueLong,
    ];
}

/// A final refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to retry; `None` if retrying can't help.
    pub retry_after: Option<Duration>,
    /// Explanation for people.
    pub detail: String,
}
