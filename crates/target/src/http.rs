//! HTTP clients for the target interfaces.
//!
//! A stream is a response of JSON lines on its own connection; its caller must apply a timeout for
//! progress. Short calls share a pooled client; [`hickory_client`] classifies its failures.

use crate::Error;
use crate::engine::{CacheEvent, Cancelled, Engines, Event, Generate, Handle, Order, Report};
use crate::service::{self, Call, Reply, Services};
use bytes::{Buf, Bytes, BytesMut};
use futures::Stream;
use hickory_client::Client;
use hickory_unit::id;
use http::{Method, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// Timeout for connecting to a target.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout for an import. The call returns when the KV cache is copied, which takes seconds for the
/// largest ones.
const IMPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// The bound of an event's line and of an error's text. A target may send bytes without end.
const MAX_LINE_BYTES: usize = 256 << 10;

/// An HTTP client for all targets.
#[derive(Clone, Debug)]
pub struct Targets {
    client: Client,
    timeout: Duration,
}

/// The body of an order request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FencedOrder {
    /// The fencing epoch.
    pub fence: id::Epoch,
    /// The order.
    pub order: Order,
}

/// The body of an import request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ImportRequest {
    /// The engine that holds the KV cache.
    pub from: SocketAddr,
    /// The handle of the KV cache.
    pub handle: Handle,
}

/// The body of a resume request.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ResumeRequest {
    /// The stream to resume.
    pub stream: id::Stream,
    /// Index of the first token to return.
    pub from: u64,
}

impl Targets {
    /// Creates a client whose short calls time out after `timeout`.
    pub fn open(timeout: Duration) -> Self {
        Self { client: Client::open(CONNECT_TIMEOUT.min(timeout)), timeout }
    }

    async fn call_json<B: Serialize, T: DeserializeOwned>(
        &self,
        method: Method,
        at: SocketAddr,
        path: &str,
        body: Option<&B>,
        timeout: Duration,
    ) -> Result<T, Error> {
        let call = hickory_client::Call { method, path, key: None, body: encode(body)? };
        let answer = self.client.exchange(at, call, timeout).await?;
        check_status(answer.status, &answer.body)?;
        serde_json::from_slice(&answer.body).map_err(|e| Error::Unknown(e.to_string()))
    }

    async fn open_stream<B: Serialize>(
        &self,
        at: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<Tokens, Error> {
        let body = encode(Some(body))?;
        let call = hickory_client::Call { method: Method::POST, path, key: None, body };
        let response = self.client.open_stream(at, call).await?;
        let status = response.status();
        let body = response.into_body();
        if status.is_success() {
            return Ok(Tokens { body, buffer: BytesMut::new(), searched: 0, ended: false });
        }
        let text = Limited::new(body, MAX_LINE_BYTES).collect().await;
        // A response that is malformed refuses nothing.
        let text = text.map_err(|error| Error::Unknown(error.to_string()))?;
        check_status(status, &text.to_bytes())?;
        Err(Error::Unknown(format!("status {status}")))
    }
}

impl From<hickory_client::Error> for Error {
    fn from(error: hickory_client::Error) -> Self {
        match error {
            error @ hickory_client::Error::Refused => Self::NotSent(error.to_string()),
            hickory_client::Error::NotSent(text) => Self::NotSent(text),
            hickory_client::Error::Unknown(text) => Self::Unknown(text),
        }
    }
}

fn encode<B: Serialize>(body: Option<&B>) -> Result<Bytes, Error> {
    let body = body.map(serde_json::to_vec).transpose();
    Ok(body.map_err(|e| Error::NotSent(e.to_string()))?.unwrap_or_default().into())
}

/// Converts an HTTP status to an error. Only a client error (4xx) means that the target did not
/// start the request; after a server error (5xx) it may have failed midway.
fn check_status(status: StatusCode, body: &[u8]) -> Result<(), Error> {
    match status {
        StatusCode::NOT_FOUND => Err(Error::NotFound),
        StatusCode::CONFLICT => Err(Error::Stale),
        status if status.is_success() => Ok(()),
        status if status.is_client_error() => {
            Err(Error::Refused(String::from_utf8_lossy(body).into_owned()))
        }
        status => Err(Error::Unknown(format!("status {status}"))),
    }
}

/// The events of a stream, parsed from JSON lines.
#[derive(Debug)]
pub struct Tokens {
    body: Incoming,
    buffer: BytesMut,
    /// The number of bytes of the buffer that contain no end of a line.
    searched: usize,
    ended: bool,
}

impl Stream for Tokens {
    type Item = Result<Event, Error>;

    fn poll_next(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let this = self.get_mut();
        loop {
            if this.ended {
                return Poll::Ready(None);
            }
            let unsearched = this.buffer.get(this.searched..).unwrap_or_default();
            if let Some(end) = unsearched.iter().position(|b| *b == b'\n') {
                let line = this.buffer.split_to(this.searched + end);
                this.buffer.advance(1);
                this.searched = 0;
                let event = serde_json::from_slice::<Event>(&line)
                    .map_err(|e| Error::Unknown(e.to_string()));
                this.ended = !matches!(event, Ok(Event::Token { .. }));
                return Poll::Ready(Some(event));
            }
            this.searched = this.buffer.len();
            if this.searched > MAX_LINE_BYTES {
                this.ended = true;
                return Poll::Ready(Some(Err(Error::Unknown("an event is too long".into()))));
            }
            match ready!(Pin::new(&mut this.body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        this.buffer.extend_from_slice(&data);
                    }
                }
                // A body without the explicit end marker was cut off: the answer is incomplete even
                // if the body ended normally.
                Some(Err(e)) => {
                    this.ended = true;
                    let text = hickory_client::describe(&e);
                    return Poll::Ready(Some(Err(Error::Unknown(text))));
                }
                None => {
                    this.ended = true;
                    return Poll::Ready(Some(Err(Error::Unknown("cut".into()))));
                }
            }
        }
    }
}

impl Engines for Targets {
    type Tokens = Tokens;

    async fn generate(&self, at: SocketAddr, generate: &Generate) -> Result<Tokens, Error> {
        self.open_stream(at, "/v1/generate", generate).await
    }

    async fn resume(
        &self,
        at: SocketAddr,
        stream: &id::Stream,
        from: u64,
    ) -> Result<Tokens, Error> {
        let body = ResumeRequest { stream: stream.clone(), from };
        self.open_stream(at, "/v1/resume", &body).await
    }

    async fn cancel(&self, at: SocketAddr, stream: &id::Stream) -> Result<Cancelled, Error> {
        self.call_json(Method::POST, at, "/v1/cancel", Some(stream), self.timeout).await
    }

    async fn report(&self, at: SocketAddr) -> Result<Report, Error> {
        self.call_json(Method::GET, at, "/v1/report", None::<&()>, self.timeout).await
    }

    async fn order(&self, at: SocketAddr, fence: id::Epoch, order: &Order) -> Result<(), Error> {
        let body = FencedOrder { fence, order: order.clone() };
        self.call_json(Method::POST, at, "/v1/order", Some(&body), self.timeout).await
    }

    async fn cache_events(&self, at: SocketAddr, after: u64) -> Result<Vec<CacheEvent>, Error> {
        self.call_json(
            Method::GET,
            at,
            &format!("/v1/cache-events?after={after}"),
            None::<&()>,
            self.timeout,
        )
        .await
    }

    async fn import(&self, at: SocketAddr, from: SocketAddr, handle: &Handle) -> Result<(), Error> {
        let body = ImportRequest { from, handle: handle.clone() };
        self.call_json(Method::POST, at, "/v1/import", Some(&body), IMPORT_TIMEOUT).await
    }

    async fn drop_handle(&self, at: SocketAddr, handle: &Handle) -> Result<(), Error> {
        self.call_json(Method::POST, at, "/v1/drop", Some(handle), self.timeout).await
    }
}

impl Services for Targets {
    async fn call(&self, at: SocketAddr, call: Call) -> Result<Reply, Error> {
        let path = format!("/call{}", call.path);
        let (method, key) = (Method::POST, call.key.as_deref());
        let request = hickory_client::Call { method, path: &path, key, body: call.body };
        let answer = self.client.exchange(at, request, call.timeout).await?;
        Ok(Reply { status: answer.status.as_u16(), body: answer.body })
    }

    async fn report(&self, at: SocketAddr) -> Result<service::Report, Error> {
        self.call_json(Method::GET, at, "/report", None::<&()>, self.timeout).await
    }
}
