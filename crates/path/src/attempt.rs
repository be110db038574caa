//! One attempt: sends a request to a target and reads the head of the response.

use crate::body;
use crate::core::Core;
use crate::dialect::{Dialect, Helper, ResponseHead, TargetRequest};
use crate::holding::Holder;
use crate::links::{self, CallError, ConnectError};
use crate::place::Place;
use crate::serve::Job;
use crate::statement::{self, Answer, Source};
use crate::stream::{Next, Reader};
use crate::view::{Tag, Target};
use bytes::Bytes;
use derive_more::Display;
use hickory_client::{Error, Exchange, Reuse};
use hickory_policy::crash::Ending;
use hickory_policy::misdirection::Misdirection;
use hickory_policy::refuse::RetryReason;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::{id, size};
use http::{HeaderMap, Method, StatusCode, Uri};
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;

/// The maximum idle time of a connection that is reused for a request which may run only once. A
/// connection that was idle for longer may be closed at the other end.
const MAX_REUSE_IDLE_TIME: Duration = Duration::from_millis(500);

/// The bound of a response that states that the request was not run, which is a short text.
const MAX_REJECTION_BYTES: size::Bytes = size::Bytes(64 << 10);

/// A request as received, kept for further attempts.
#[derive(Debug)]
pub(crate) struct Message {
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// The parameters of an attempt.
#[derive(Clone, Debug)]
pub(crate) struct Parameters<'a> {
    /// The caller's ID of its attempt, which a response must repeat.
    pub(crate) attempt: &'a str,
    pub(crate) account: Option<&'a id::Account>,
    pub(crate) time_left: Duration,
    pub(crate) urgency: Option<u8>,
    pub(crate) resume_after: Option<u64>,
    pub(crate) helpers: &'a [Helper],
    /// Whether the caller names a version of the weights.
    pub(crate) names_version: bool,
    /// Whether the request may run only once.
    pub(crate) is_non_repeatable: bool,
    /// Whether the caller has already received a part of the stream.
    pub(crate) is_resumed: bool,
}

/// Why an attempt failed.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The target refused the connection.
    #[display("not sent: connection refused")]
    ConnectionRefused,
    /// No byte reached the target.
    #[display("not sent: {_0}")]
    NotSent(String),
    /// No byte reached the target, because of this node's own link to it.
    #[display("not sent: {_0}")]
    LinkDown(String),
    /// A target stated that it didn't run the request. The response may name another target as the
    /// cause.
    #[display("not run, status {status}{}", name_refusing_target(*refusing_target))]
    NotRun { status: StatusCode, refusing_target: Option<SocketAddr> },
    /// A target didn't run the request because of what the request itself names. This says nothing on
    /// other requests.
    #[display("not run because of the request, status {status}{}", name_refusing_target(*refusing_target))]
    RequestRejected { status: StatusCode, refusing_target: Option<SocketAddr> },
    /// An engine didn't reserve memory for the request.
    #[display("not sent: {detail}")]
    NotReserved { target: Tag, detail: String },
    /// The connection failed; the request may have run.
    #[display("no answer: {detail}")]
    OutcomeUnknown { detail: String, ending: Ending },
    /// The response doesn't belong to the request or is malformed; the request may have run.
    #[display("not its answer: {_0}")]
    InvalidAnswer(&'static str),
    /// No response arrived before the deadline.
    #[display("timeout")]
    DeadlineExceeded,
    /// The target was silent for too long, and a retry has been spent to try another one beside it.
    #[display("stalled")]
    Stalled,
}

fn name_refusing_target(refusing_target: Option<SocketAddr>) -> String {
    refusing_target.map_or_else(String::new, |target| format!(", because of {target}"))
}

impl Failure {
    /// Creates the failure of a connection on which the answer was being read.
    pub(crate) fn broken(error: &hyper::Error) -> Self {
        let ending = links::ending(hickory_client::Ending::from(error));
        Self::OutcomeUnknown { detail: hickory_client::describe(error), ending }
    }

    /// Creates the failure of an answer whose connection was closed before its end.
    pub(crate) fn closed(detail: &str) -> Self {
        Self::OutcomeUnknown { detail: detail.into(), ending: Ending::Closed }
    }

    /// Leaves out the relay that forwarded the answer if it fell silent.
    pub(crate) fn note_relay<D: Dialect, S: Store, C: Clock>(
        &self,
        core: &Core<D, S, C>,
        target: &Target,
        relay: Option<SocketAddr>,
    ) {
        if let Self::OutcomeUnknown { ending, .. } = self {
            links::note_ending(core, target, relay, *ending);
        }
    }

    /// Returns the retry reason that metrics count the failure as.
    pub(crate) fn reason(&self) -> RetryReason {
        match self {
            Self::ConnectionRefused
            | Self::NotSent(_)
            | Self::LinkDown(_)
            | Self::NotReserved { .. } => RetryReason::NotSent,
            Self::NotRun { .. } | Self::RequestRejected { .. } => RetryReason::Refused,
            Self::OutcomeUnknown { .. } | Self::InvalidAnswer(_) => RetryReason::TargetFailed,
            Self::DeadlineExceeded | Self::Stalled => RetryReason::Stalled,
        }
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub(crate) struct OpenResponse {
    pub(crate) exchange: Exchange,
    pub(crate) head: ResponseHead,
}

/// The beginning of an answer.
#[derive(Debug)]
pub(crate) enum Start {
    /// The head of a response whose body is buffered.
    Head(OpenResponse),
    /// The first events of a stream.
    Events(Reader, Next),
}

impl Start {
    /// Returns the status of the answer.
    pub(crate) fn status(&self) -> StatusCode {
        match self {
            Self::Head(response) => response.exchange.head.status,
            Self::Events(reader, _) => reader.exchange.head.status,
        }
    }
}

/// Sends a request and waits for the beginning of the answer: the head of the response, or the
/// first events of a stream.
pub(crate) async fn begin<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    job: &Job,
    place: &Place<D, S, C>,
    parameters: &Parameters<'_>,
) -> Result<Start, Failure> {
    let response = send(core, job, place, parameters).await?;
    let is_success = response.exchange.head.status.is_success();
    if parameters.is_resumed && !is_success {
        return Err(Failure::InvalidAnswer("it failed the resume"));
    }
    if !job.route.kind.is_stream() || !is_success {
        return Ok(Start::Head(response));
    }
    let max_event = core.bounds().sizes.max_event;
    let mut reader = Reader::open(response, parameters.resume_after, max_event, &job.holder);
    match reader.next().await {
        Ok(first) => Ok(Start::Events(reader, first)),
        Err(failure) => {
            failure.note_relay(core, &place.target, reader.exchange.relay());
            Err(failure)
        }
    }
}

/// Sends a request and waits for the head of the response.
async fn send<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    job: &Job,
    place: &Place<D, S, C>,
    parameters: &Parameters<'_>,
) -> Result<OpenResponse, Failure> {
    let request = build_request::<D>(&job.message, &place.target.id, parameters);
    let reuse =
        if parameters.is_non_repeatable { Reuse::Within(MAX_REUSE_IDLE_TIME) } else { Reuse::Any };
    let sent_at = core.now();
    let sent = links::send(core, &place.target, parameters.attempt, request, reuse).await;
    let mut exchange = sent.map_err(|error| match error {
        CallError::NotConnected(ConnectError::Refused) => Failure::ConnectionRefused,
        CallError::NotConnected(ConnectError::Unreachable(text)) => Failure::NotSent(text),
        CallError::NotConnected(
            error @ (ConnectError::Unconfirmed | ConnectError::LinkDown(_)),
        ) => Failure::LinkDown(error.to_string()),
        CallError::Failed(Error::Refused, _) => Failure::ConnectionRefused,
        CallError::Failed(Error::NotSent(text), _) => Failure::NotSent(text),
        CallError::Failed(Error::Unknown(detail), ending) => {
            Failure::OutcomeUnknown { detail, ending }
        }
    })?;
    let head = D::parse_response_head(&exchange.head.headers);
    let status = exchange.head.status;
    let checked = check_response(&head, status, &place.target.id, parameters);
    let is_rejected =
        matches!(checked, Err(Failure::NotRun { .. } | Failure::RequestRejected { .. }));
    if is_rejected {
        let relay = exchange.relay();
        read_rejection(&mut exchange, &job.holder).await.inspect_err(|failure| {
            failure.note_relay(core, &place.target, relay);
        })?;
    }
    if is_rejected || checked.is_ok() {
        let relay = exchange.relay();
        let names_version = parameters.names_version;
        let answer = Answer { head: &head, status, sent_at, names_version, relay };
        statement::note(core, &place.target, Source::Request, &answer);
    }
    checked?;
    Ok(OpenResponse { exchange, head })
}

/// Reads the rest of a response that states that the request was not run. A malformed one states
/// nothing.
async fn read_rejection(exchange: &mut Exchange, holder: &Holder) -> Result<(), Failure> {
    match body::read(&mut exchange.body, MAX_REJECTION_BYTES, holder).await {
        Ok(_) => Ok(()),
        Err(body::Error::TooLong) => Err(Failure::InvalidAnswer("its body is too long")),
        Err(body::Error::Broken(error)) => Err(Failure::broken(&error)),
    }
}

/// Checks that a response belongs to the request and that the request ran.
fn check_response(
    head: &ResponseHead,
    status: StatusCode,
    target: &id::Target,
    parameters: &Parameters<'_>,
) -> Result<(), Failure> {
    let is_foreign = head.attempt.as_deref().is_some_and(|attempt| attempt != parameters.attempt);
    if is_foreign {
        return Err(Failure::InvalidAnswer("it bears another id"));
    }
    if head.has_not_run || status == StatusCode::MISDIRECTED_REQUEST {
        let refusing_target = head.refusing_target;
        return Err(match is_request_rejected(head, status, target, parameters) {
            true => Failure::RequestRejected { status, refusing_target },
            false => Failure::NotRun { status, refusing_target },
        });
    }
    if status.is_success() && !head.is_signed {
        return Err(Failure::InvalidAnswer("it is not signed"));
    }
    if status.is_success() && head.is_encoded {
        return Err(Failure::InvalidAnswer("its body is encoded"));
    }
    if status.is_informational() {
        return Err(Failure::InvalidAnswer("no target answers so"));
    }
    Ok(())
}

/// Returns whether a target rejected a request because of what the caller wrote, as far as is known.
fn is_request_rejected(
    head: &ResponseHead,
    status: StatusCode,
    target: &id::Target,
    parameters: &Parameters<'_>,
) -> bool {
    match status {
        StatusCode::MISDIRECTED_REQUEST => {
            head.misdirection(target, parameters.names_version) != Misdirection::Address
        }
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => false,
        status => status.is_client_error(),
    }
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
