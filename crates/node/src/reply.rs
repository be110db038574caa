//! Encodes answers to callers: problem documents, completions and event streams.

use crate::event_id::{Position, encode_event_id};
use bytes::Bytes;
use compact_str::CompactString;
use hickory_policy::refuse::{Ran, Refusal};
use hickory_unit::{id, size};
use hickory_wire::proof::Key;
use http::{Response, StatusCode, header};
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use serde::Serialize;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::sync::mpsc;

/// The body of a response: complete, or a stream of events.
#[derive(Debug)]
pub(crate) enum Body {
    /// The complete body.
    Whole(Option<Bytes>),
    /// Events, each written to the connection as it arrives.
    Events(mpsc::Receiver<Bytes>),
}

impl HttpBody for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => {
                events.poll_recv(cx).map(|bytes| bytes.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// A problem document (RFC 9457), extended by what callers need to decide on a retry.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    r#type: String,
    title: String,
    status: u16,
    detail: &'a str,
    reason: String,
    ran: RanStatus,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<u64>,
}

#[derive(Debug, Serialize)]
#[serde(rename_all = "snake_case")]
enum RanStatus {
    No,
    Unknown,
}

fn encode_problem(refusal: &Refusal) -> Vec<u8> {
    let reason = refusal.reason.to_string();
    let problem = Problem {
        r#type: format!("urn:hickoryrun:reason:{reason}"),
        title: reason.replace('-', " "),
        status: refusal.reason.status(),
        detail: &refusal.detail,
        reason,
        ran: match refusal.ran {
            Ran::No => RanStatus::No,
            Ran::Unknown => RanStatus::Unknown,
        },
        retry_after_ms: refusal.retry_after.map(|time| time.as_millis() as u64),
    };
    serde_json::to_vec(&problem).unwrap_or_default()
}

/// Returns the response for a refusal.
pub(crate) fn answer_refusal(refusal: &Refusal) -> Response<Body> {
    let status =
        StatusCode::from_u16(refusal.reason.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    let mut response = Response::new(Body::Whole(Some(encode_problem(refusal).into())));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/problem+json"));
    if let Some(time) = refusal.retry_after {
        let seconds = time.as_millis().div_ceil(1000).max(1) as u64;
        headers.insert(header::RETRY_AFTER, seconds.into());
    }
    response
}

/// Returns a response with a JSON document.
pub(crate) fn answer_json<T: Serialize>(document: &T) -> Response<Body> {
    let bytes = serde_json::to_vec(document).unwrap_or_default();
    let mut response = Response::new(Body::Whole(Some(bytes.into())));
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, header::HeaderValue::from_static("application/json"));
    response
}

/// Returns the response that carries a stream of events.
pub(crate) fn answer_events(events: mpsc::Receiver<Bytes>) -> Response<Body> {
    let mut response = Response::new(Body::Events(events));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, header::HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, header::HeaderValue::from_static("no-store"));
    response
}

/// A completion document: a whole answer, or one piece of a streamed one.
#[derive(Debug, Serialize)]
struct Document<'a> {
    id: id::Request,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Debug, Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'static str>,
}

#[derive(Clone, Copy, Debug, Serialize)]
struct Usage {
    prompt_tokens: size::Tokens,
    completion_tokens: u64,
}

/// Encodes the pieces of one answer.
#[derive(Clone, Debug)]
pub(crate) struct Encoder {
    pub(crate) request: id::Request,
    pub(crate) account: id::Account,
    pub(crate) model: CompactString,
    pub(crate) prompt: size::Tokens,
    pub(crate) fleet_key: Key,
}

impl Encoder {
    /// Returns the event of one token.
    pub(crate) fn encode_token(&self, position: &Position, text: &str) -> Bytes {
        let id = encode_event_id(&self.fleet_key, &self.account, position);
        let mut event = format!("id: {id}\ndata: ").into_bytes();
        self.append_document(&mut event, text, None, None);
        event.into()
    }

    /// Returns the events that end an answer of `count` tokens.
    pub(crate) fn encode_end(&self, count: u64) -> Bytes {
        let mut event = b"data: ".to_vec();
        self.append_document(&mut event, "", Some("length"), Some(count));
        event.extend_from_slice(b"data: [DONE]\n\n");
        event.into()
    }

    /// Returns the event that ends an incomplete answer with a failure.
    pub(crate) fn encode_failure(&self, refusal: &Refusal) -> Bytes {
        let mut event = b"event: error\ndata: ".to_vec();
        event.extend_from_slice(&encode_problem(refusal));
        event.extend_from_slice(b"\n\n");
        event.into()
    }

    /// Returns the whole answer as one document.
    pub(crate) fn answer_whole(&self, text: &str, count: u64) -> Response<Body> {
        answer_json(&self.document(text, Some("length"), Some(count)))
    }

    fn append_document(
        &self,
        event: &mut Vec<u8>,
        text: &str,
        finish_reason: Option<&'static str>,
        count: Option<u64>,
    ) {
        let document = self.document(text, finish_reason, count);
        if let Ok(json) = serde_json::to_vec(&document) {
            event.extend_from_slice(&json);
        }
        event.extend_from_slice(b"\n\n");
    }

    fn document<'a>(
        &'a self,
        text: &'a str,
        finish_reason: Option<&'static str>,
        count: Option<u64>,
    ) -> Document<'a> {
        Document {
            id: self.request,
            object: "text_completion",
            model: &self.model,
            choices: [Choice { index: 0, text, finish_reason }],
            usage: count
                .map(|completion_tokens| Usage { prompt_tokens: self.prompt, completion_tokens }),
        }
    }
}
