//! One sending of a request to a target, up to the head of the answer.

use crate::core::Core;
use crate::dialect::{Answer, Dialect, Helper, Sending};
use crate::place::Place;
use crate::view::Tag;
use bytes::Bytes;
use derive_more::Display;
use hickory_client::{Error, Exchange, Reuse};
use hickory_policy::refuse::RetryReason;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use http::{HeaderMap, Method, StatusCode, Uri};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;

/// How fresh a connection must be for a request that may run only once.
const FRESH: Duration = Duration::from_millis(500);

/// A request as it came, kept for further attempts.
#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// What an attempt is sent with.
#[derive(Clone, Debug)]
pub(crate) struct Terms<'a> {
    /// The caller's id of its attempt, by which answers are known.
    pub(crate) attempt: &'a str,
    pub(crate) account: Option<&'a id::Account>,
    pub(crate) time_left: Duration,
    pub(crate) urgency: Option<u8>,
    pub(crate) resume_after: Option<u64>,
    pub(crate) helpers: &'a [Helper],
    /// Whether the request may run only once.
    pub(crate) once: bool,
}

/// Why an attempt brought no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing listens at the target.
    #[display("not sent: connection refused")]
    Down,
    /// No byte reached the target.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// A target says that it has not run, and may name the one at fault.
    #[display("not run, status {status}{}", name_fault(*at_fault))]
    NotRun { status: StatusCode, at_fault: Option<SocketAddr> },
    /// A target reserved no memory for it.
    #[display("not sent: {detail}")]
    NotReserved { target: Tag, detail: String },
    /// It may have run.
    #[display("no answer: {_0}")]
    Unknown(String),
    /// What came is not an answer to it; it may have run.
    #[display("not its answer: {_0}")]
    Spoiled(&'static str),
    /// Nothing came until the deadline.
    #[display("timeout")]
    Late,
    /// Nothing came for long, and a repeat was taken to try another target.
    #[display("stalled")]
    Stalled,
}

fn name_fault(at_fault: Option<SocketAddr>) -> String {
    at_fault.map_or_else(String::new, |target| format!(", because of {target}"))
}

impl Failure {
    /// What it is counted as.
    pub(crate) fn reason(&self) -> RetryReason {
        match self {
            Self::Down | Self::NotSent(_) | Self::NotReserved { .. } => RetryReason::NotSent,
            Self::NotRun { .. } => RetryReason::Refused,
            Self::Unknown(_) | Self::Spoiled(_) => RetryReason::TargetFailed,
            Self::Late | Self::Stalled => RetryReason::Stalled,
        }
    }
}

/// An answer whose head is there.
#[derive(Debug)]
pub(crate) struct Opened {
    pub(crate) exchange: Exchange,
    pub(crate) answer: Answer,
}

/// Sends and waits for the head of the answer.
pub(crate) async fn send<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    message: &Message,
    place: &Place<D, S, C>,
    terms: &Terms<'_>,
) -> Result<Opened, Failure> {
    let request = build::<D>(message, &place.target.id, terms);
    let reuse = if terms.once { Reuse::Within(FRESH) } else { Reuse::Any };
    let sent = core.client.send(place.target.entry.address, request, reuse).await;
    let exchange = sent.map_err(|error| match error {
        Error::Refused => Failure::Down,
        Error::NotSent(text) => Failure::NotSent(text),
        Error::Unknown(text) => Failure::Unknown(text),
    })?;
    let answer = D::read_answer(&exchange.head.headers);
    check(&answer, exchange.head.status, terms)?;
    Ok(Opened { exchange, answer })
}

/// Whether an answer is this request's, and says that it ran.
fn check(answer: &Answer, status: StatusCode, terms: &Terms<'_>) -> Result<(), Failure> {
    let is_foreign = answer.attempt.as_deref().is_some_and(|attempt| attempt != terms.attempt);
    if is_foreign {
        return Err(Failure::Spoiled("it bears another id"));
    }
    if answer.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::NotRun { status, at_fault: answer.at_fault });
    }
    if status.is_success() && !answer.signed {
        return Err(Failure::Spoiled("it is not signed"));
    }
    if status.is_success() && answer.encoded {
        return Err(Failure::Spoiled("its body is encoded"));
    }
    if status.is_informational() || status.is_redirection() {
        return Err(Failure::Spoiled("no target answers so"));
    }
    Ok(())
}

fn build<D: Dialect>(
    message: &Message,
    target: &id::Target,
    terms: &Terms<'_>,
) -> http::Request<Full<Bytes>> {
    let mut request = http::Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.clone();
    let sending = Sending {
        time_left: terms.time_left,
        target,
        account: terms.account,
        urgency: terms.urgency,
        resume_after: terms.resume_after,
        helpers: terms.helpers,
    };
    D::write_send(&sending, request.headers_mut());
    request
}
