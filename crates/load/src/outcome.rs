//! How a request ended, as its caller saw it.

use crate::content::Fault;
use crate::mix::{Class, Length};
use compact_str::CompactString;
use derive_more::Display;
use hickory_policy::refuse::{Ran, Reason};
use std::time::Duration;

/// How long after the deadline a final answer still counts as in time: the
/// way back over loopback and the wake-up of a busy caller.
pub const LATE_TOLERANCE: Duration = Duration::from_millis(250);

/// A refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Reason,
    /// Whether the request ran.
    pub ran: Ran,
    /// When to come back.
    pub retry_after: Option<Duration>,
}

/// Why an answer is not whole, beside a refusal.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum Failure {
    /// No node took a connection.
    #[display("unreachable")]
    Unreachable,
    /// The connection broke and the request could not be taken up again.
    #[display("broken")]
    Broken,
    /// The system said, after the answer had begun, that it failed.
    #[display("told-{}", _0.reason)]
    Reported(Refused),
    /// The answer breaks the interface.
    #[display("protocol: {_0}")]
    Protocol(CompactString),
}

/// How a request ended.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub enum End {
    /// The whole right answer came in time.
    #[display("whole")]
    Whole,
    /// It was refused, and the last refusal stands.
    #[display("refused")]
    Refused(Refused),
    /// It failed, and the caller was told or could tell.
    #[display("failed")]
    Failed(Failure),
    /// A final answer came after the deadline.
    #[display("late")]
    Late,
    /// No final answer came, even after the deadline.
    #[display("unanswered")]
    Unanswered,
    /// Something that is not the answer came.
    #[display("wrong")]
    Wrong(Fault),
    /// The caller hung up on purpose.
    #[display("hung-up")]
    HungUp,
}

/// What kind of request it was.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Kind {
    /// A completion with a prompt of this length.
    #[display("{_0}")]
    Completion(Length),
    /// A call of a plain service.
    #[display("call")]
    Call,
}

/// What a caller saw of one exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The end.
    pub end: End,
    /// From the intended send time to the first token.
    pub first_token: Option<Duration>,
    /// Between each two tokens.
    pub gaps: Vec<Duration>,
    /// From the intended send time to the end.
    pub time: Duration,
    /// Tokens that came and were right.
    pub tokens: u64,
    /// Every refusal, also those after which it was sent again.
    pub refusals: Vec<Refused>,
    /// Times that the stream was taken up again.
    pub resumes: u32,
    /// Times that the request was sent again.
    pub resends: u32,
}

impl Outcome {
    /// An exchange of which nothing has come yet, with the end that it has if
    /// nothing does.
    pub fn open(end: End) -> Self {
        Self {
            end,
            first_token: None,
            gaps: Vec::new(),
            time: Duration::ZERO,
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
    /// When it was to be sent, from the start of the run.
    pub at: Duration,
    /// What kind it was.
    pub kind: Kind,
    /// Who waited.
    pub class: Class,
    /// The account, by index.
    pub account: usize,
    /// What came of it.
    pub outcome: Outcome,
}
