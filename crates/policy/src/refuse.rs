//! Why a request is refused or tried again. Each reason has a counter.

use derive_more::Display;
use std::time::Duration;

/// Whether a refused request ran.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Ran {
    /// It certainly did not, and never will.
    #[display("no")]
    No,
    /// It may have.
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

            /// The HTTP status that goes with the reason.
            pub fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// Reads a reason as displayed.
            pub fn parse(text: &str) -> Option<Self> {
                match text { $($text => Some(Self::$name),)* _ => None }
            }
        }
    };
}

reasons! {
    /// The body is not the JSON that is asked for.
    Malformed = "malformed", 400;
    /// A header is missing or can't be read.
    BadHeader = "bad-header", 400;
    /// The deadline is absurd: zero, or greater than any request may take.
    BadDeadline = "bad-deadline", 400;
    /// The idempotency key is no UUIDv7, or missing where one is needed.
    BadKey = "bad-key", 400;
    /// The idempotency key was used with another content.
    KeyReused = "key-reused", 422;
    /// The idempotency key is older than the ledger keeps.
    KeyTooOld = "key-too-old", 400;
    /// No token, or one that belongs to no account.
    Unauthenticated = "unauthenticated", 401;
    /// The account may not use the model or service.
    Forbidden = "forbidden", 403;
    /// No such model, adapter, version, service or request.
    NotFound = "not-found", 404;
    /// The method is not one the path takes.
    BadMethod = "bad-method", 405;
    /// The body is over the bound.
    TooLarge = "too-large", 413;
    /// The prompt is greater than the fleet can hold at once.
    TooLong = "too-long", 422;
    /// The request crashed targets and is not run again.
    Quarantined = "quarantined", 422;
    /// The node has no configuration yet.
    NotReady = "not-ready", 503;
    /// The node has heard of a newer configuration than the one it has, by which
    /// the request has no route, account or room, or may not have what it names.
    Behind = "behind", 503;
    /// The node is stopping.
    Draining = "draining", 503;
    /// The queue is too long for the deadline.
    Overloaded = "overloaded", 429;
    /// The account has no retries left.
    RetryBudget = "retry-budget", 429;
    /// No target that may run it takes work.
    NoTarget = "no-target", 503;
    /// The owner of the target can't be reached.
    NoOwner = "no-owner", 503;
    /// The claim for a non-idempotent request could not be written.
    LedgerDown = "ledger-down", 503;
    /// The same non-idempotent request was sent before.
    AlreadyClaimed = "already-claimed", 409;
    /// The deadline passed.
    Deadline = "deadline", 504;
    /// The target failed while the request ran.
    TargetFailed = "target-failed", 502;
    /// The stream is not held anywhere any more.
    StreamLost = "stream-lost", 410;
}

/// Why an attempt is made again.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RetryReason {
    /// No byte reached the target.
    #[display("not_sent")]
    NotSent,
    /// The target answered that it did not begin.
    #[display("refused")]
    Refused,
    /// The target failed before the end, and the work may be repeated.
    #[display("target_failed")]
    TargetFailed,
    /// The stream made no progress for too long.
    #[display("stalled")]
    Stalled,
    /// The asked node does not own the target.
    #[display("not_owner")]
    NotOwner,
    /// The owner did not answer.
    #[display("owner_silent")]
    OwnerSilent,
    /// The permit was dead when it arrived.
    #[display("stale_permit")]
    StalePermit,
    /// The target's queue was too long, another one is tried.
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

/// A refusal: final, and said at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// Whether it ran.
    pub ran: Ran,
    /// When to come back; `None` where coming back is no use.
    pub retry_after: Option<Duration>,
    /// What a person reads.
    pub detail: String,
}
