//! The outcome of a request, as its caller saw it.

use crate::content::Fault;
use crate::mix::{Class, Length};
use compact_str::CompactString;
use derive_more::Display;
use hickory_policy::refuse::{Ran, Reason};
use std::time::Duration;

/// Time after the deadline within which an answer still counts as in time. It
/// covers the transfer over loopback and the scheduling delay of a busy caller.
pub const LATE_TOLERANCE: Duration = Duration::from_millis(250);

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// The reason.
    pub reason: Reason,
    /// Whether the request may have run.
    pub ran: Ran,
    /// The delay before a retry, if the refusal states one.
    pub retry_after: Option<Duration>,
}

/// Why a request failed without a refusal.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// No node accepted a connection.
    #[display("unreachable")]
    Unreachable,
    /// The connection broke and the request could be neither resumed nor retried.
    #[display("broken")]
    Broken,
    /// The system reported a failure after the answer had started.
    #[display("told-{}", _0.reason)]
    Reported(Refused),
    /// The answer violates the protocol.
    #[display("protocol: {_0}")]
    Protocol(CompactString),
}

/// How a request ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum End {
    /// The complete and correct answer arrived in time.
    #[display("whole")]
    Whole,
    /// The request was refused; holds the last refusal.
    #[display("refused")]
    Refused(Refused),
    /// The request failed, and the caller could detect that it did.
    #[display("failed")]
    Failed(Failure),
    /// The final answer arrived after the deadline.
    #[display("late")]
    Late,
    /// No final answer arrived, even after the deadline.
    #[display("unanswered")]
    Unanswered,
    /// The answer has wrong content.
    #[display("wrong")]
    Wrong(Fault),
    /// The caller disconnected on purpose.
    #[display("hung-up")]
    HungUp,
}

/// The kind of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A completion with a prompt of this length.
    #[display("{_0}")]
    Completion(Length),
    /// A call of a plain service.
    #[display("call")]
    Call,
}

/// The outcome of one request, with its latencies and retries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// How the request ended.
    pub end: End,
    /// Time from the intended send time to the first token.
    pub first_token: Option<Duration>,
    /// The inter-token latencies.
    pub gaps: Vec<Duration>,
    /// Time from the intended send time to the end.
    pub latency: Duration,
    /// Number of correct tokens received.
    pub tokens: u64,
    /// All refusals, including those after which the request was retried.
    pub refusals: Vec<Refused>,
    /// Number of times that the stream was resumed.
    pub resumes: u32,
    /// Number of retries of the request.
    pub resends: u32,
}

impl Outcome {
    /// Creates the outcome of a request that has received no data. `end` applies if
    /// none arrives.
    pub fn open(end: End) -> Self {
        Self {
            end,
            first_token: None,
            gaps: Vec::new(),
            latency: Duration::ZERO,
            tokens: 0,
            refusals: Vec::new(),
            resumes: 0,
            resends: 0,
        }
    }
}

/// One request of a run with its outcome.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Sample {
    /// Intended send time, relative to the start of the run.
    pub send_at: Duration,
    /// The kind of request.
    pub kind: Kind,
    /// The service class.
    pub class: Class,
    /// The account, by index.
    pub account: usize,
    /// The outcome.
    pub outcome: Outcome,
}
