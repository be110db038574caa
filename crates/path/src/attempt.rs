//! One target_request of a request to a target, up to the head of the answer.

use crate::core::Core;
use crate::dialect::{Dialect, Helper, ResponseHead, TargetRequest};
use crate::place::Place;
use crate::view::Tag;
use bytes::Bytes;
use derive_more::Display;
use hickory_client::{Error, Exchange, Reuse};
use hickory_policy::refuse::Retry;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use http::{HeaderMap, Method, StatusCode, Uri};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;

/// How fresh a connection must be for a request that may run only is_non_repeatable.
const MAX_REUSE_IDLE_TIME: Duration = Duration::from_millis(500);

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
pub(crate) struct Parameters<'a> {
    /// The caller's id of its attempt, by which answers are known.
    pub(crate) attempt: &'a str,
    pub(crate) account: Option<&'a id::Account>,
    pub(crate) time_left: Duration,
    pub(crate) urgency: Option<u8>,
    pub(crate) resume_after: Option<u64>,
    pub(crate) helpers: &'a [Helper],
    /// Whether the request may run only is_non_repeatable.
    pub(crate) is_non_repeatable: bool,
}

/// Why an attempt brought no answer.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Failure {
    /// Nothing listens at the target.
    #[display("not sent: connection refused")]
    ConnectionRefused,
    /// No byte reached the target.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// A target says that it has not run, and may name the one at fault.
    #[display("not run, status {status}{}", name_refusing_target(*refusing_target))]
    NotRun { status: StatusCode, refusing_target: Option<SocketAddr> },
    /// A target reserved no memory for it.
    #[display("not sent: {detail}")]
    NotReserved { target: Tag, detail: String },
    /// It may have run.
    #[display("no answer: {_0}")]
    OutcomeUnknown(String),
    /// What came is not an answer to it; it may have run.
    #[display("not its answer: {_0}")]
    InvalidAnswer(&'static str),
    /// Nothing came until the deadline.
    #[display("timeout")]
    DeadlineExceeded,
    /// Nothing came for long, and a repeat was taken to try another target.
    #[display("stalled")]
    Stalled,
}

fn name_refusing_target(refusing_target: Option<SocketAddr>) -> String {
    refusing_target.map_or_else(String::new, |target| format!(", because of {target}"))
}

impl Failure {
    /// What it is counted as.
    pub(crate) fn reason(&self) -> Retry {
        match self {
            Self::ConnectionRefused | Self::NotSent(_) | Self::NotReserved { .. } => Retry::NotSent,
            Self::NotRun { .. } => Retry::Refused,
            Self::OutcomeUnknown(_) | Self::InvalidAnswer(_) => Retry::TargetFailed,
            Self::DeadlineExceeded | Self::Stalled => Retry::Stalled,
        }
    }
}

/// An answer whose head is there.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    pub(crate) exchange: Exchange,
    pub(crate) head: ResponseHead,
}

/// Sends and waits for the head of the answer.
pub(crate) async fn send<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    message: &Message,
    place: &Place<D, S, C>,
    parameters: &Parameters<'_>,
) -> Result<OpenResponse, Failure> {
    let request = build_request::<D>(message, &place.target.id, parameters);
    let reuse =
        if parameters.is_non_repeatable { Reuse::Within(MAX_REUSE_IDLE_TIME) } else { Reuse::Any };
    let sent = core.client.send(place.target.entry.address, request, reuse).await;
    let exchange = sent.map_err(|error| match error {
        Error::Refused => Failure::ConnectionRefused,
        Error::NotSent(text) => Failure::NotSent(text),
        Error::Unknown(text) => Failure::OutcomeUnknown(text),
    })?;
    let head = D::parse_response_head(&exchange.head.headers);
    check_response(&head, exchange.head.status, parameters)?;
    Ok(OpenResponse { exchange, head })
}

/// Whether an answer is this request's, and says that it ran.
fn check_response(
    head: &ResponseHead,
    status: StatusCode,
    parameters: &Parameters<'_>,
) -> Result<(), Failure> {
    let is_foreign = head.attempt.as_deref().is_some_and(|attempt| attempt != parameters.attempt);
    if is_foreign {
        return Err(Failure::InvalidAnswer("it bears another id"));
    }
    if head.has_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure::NotRun { status, refusing_target: head.refusing_target });
    }
    if status.is_success() && !head.is_signed {
        return Err(Failure::InvalidAnswer("it is not signed"));
    }
    if status.is_success() && head.is_encoded {
        return Err(Failure::InvalidAnswer("its body is encoded"));
    }
    if status.is_informational() || status.is_redirection() {
        return Err(Failure::InvalidAnswer("no target answers so"));
    }
    Ok(())
}

fn build_request<D: Dialect>(
    message: &Message,
    target: &id::Target,
    parameters: &Parameters<'_>,
) -> http::Request<Full<Bytes>> {
    let mut request = http::Request::new(Full::new(message.body.clone()));
    *request.method_mut() = message.method.clone();
    *request.uri_mut() = message.uri.clone();
    *request.headers_mut() = message.headers.clone();
    let target_request = TargetRequest {
        time_left: parameters.time_left,
        target,
        account: parameters.account,
        urgency: parameters.urgency,
        resume_after: parameters.resume_after,
        helpers: parameters.helpers,
    };
    D::write_target_headers(&target_request, request.headers_mut());
    request
}
