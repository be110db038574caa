//! HTTP adapters of the target ports.
//!
//! Streams are JSON lines over a connection of their own; short calls share a
//! pooled client. A connection on which an exchange timed out is closed, so
//! that a late answer can't be taken for the answer to a later call.

use crate::Error;
use crate::engine::{CacheEvent, Cancelled, Engines, Event, Generate, Handle, Order, Report};
use crate::service::{self, Call, Reply, Services};
use bytes::{Buf, Bytes, BytesMut};
use futures::Stream;
use hickory_unit::id;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

/// How long a connect to a target may take.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Targets over HTTP.
#[derive(Clone, Debug)]
pub struct Targets {
    client: Client<HttpConnector, Full<Bytes>>,
    timeout: Duration,
}

/// The body of an order.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Fenced {
    /// The fencing number.
    pub fence: id::Epoch,
    /// The order.
    pub order: Order,
}

/// The body of an import.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Import {
    /// The engine that holds the KV cache.
    pub from: SocketAddr,
    /// The KV cache.
    pub handle: Handle,
}

/// The body of a resume.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Resume {
    /// The stream.
    pub stream: id::Stream,
    /// The first token wanted.
    pub from: u64,
}

impl Targets {
    /// Opens the adapters; each short call ends within `timeout`.
    pub fn open(timeout: Duration) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT.min(timeout)));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .build(connector);
        Self { client, timeout }
    }

    async fn send(
        &self,
        method: &str,
        at: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: Bytes,
    ) -> Result<http::Response<Incoming>, Error> {
        let mut request = http::Request::builder()
            .method(method)
            .uri(format!("http://{at}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request.body(Full::new(body)).map_err(|e| Error::NotSent(e.to_string()))?;
        self.client.request(request).await.map_err(|e| {
            if e.is_connect() {
                Error::NotSent(e.to_string())
            } else {
                Error::Unknown(e.to_string())
            }
        })
    }

    async fn call_json<B: Serialize, T: DeserializeOwned>(
        &self,
        method: &str,
        at: SocketAddr,
        path: &str,
        body: Option<&B>,
    ) -> Result<T, Error> {
        let exchange = async {
            let response = self.send(method, at, path, None, encode(body)?).await?;
            let status = response.status();
            let body = response.into_body().collect().await;
            let body = body.map_err(|e| Error::Unknown(e.to_string()))?.to_bytes();
            check_status(status, &body)?;
            serde_json::from_slice(&body).map_err(|e| Error::Unknown(e.to_string()))
        };
        tokio::time::timeout(self.timeout, exchange)
            .await
            .map_err(|_| Error::Unknown("timeout".into()))?
    }

    async fn open_stream<B: Serialize>(
        &self,
        at: SocketAddr,
        path: &str,
        body: &B,
    ) -> Result<Tokens, Error> {
        let response = self.send("POST", at, path, None, encode(Some(body))?).await?;
        let status = response.status();
        let body = response.into_body();
        if status.is_success() {
            return Ok(Tokens { body, line: BytesMut::new(), ended: false });
        }
        let text = body.collect().await.map(|b| b.to_bytes()).unwrap_or_default();
        check_status(status, &text)?;
        Err(Error::Unknown(format!("status {status}")))
    }
}

fn encode<B: Serialize>(body: Option<&B>) -> Result<Bytes, Error> {
    let body = body.map(serde_json::to_vec).transpose();
    Ok(body.map_err(|e| Error::NotSent(e.to_string()))?.unwrap_or_default().into())
}

/// Reads a refusal from a status; a target that refuses has not begun.
fn check_status(status: http::StatusCode, body: &[u8]) -> Result<(), Error> {
    match status.as_u16() {
        200..=299 => Ok(()),
        404 => Err(Error::NotFound),
        409 => Err(Error::Stale),
        _ => Err(Error::Refused(String::from_utf8_lossy(body).into_owned())),
    }
}

/// The tokens of a stream, from JSON lines.
#[derive(Debug)]
pub struct Tokens {
    body: Incoming,
    line: BytesMut,
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
            if let Some(end) = this.line.iter().position(|b| *b == b'\n') {
                let line = this.line.split_to(end);
                this.line.advance(1);
                let event = serde_json::from_slice::<Event>(&line)
                    .map_err(|e| Error::Unknown(e.to_string()));
                this.ended = !matches!(event, Ok(Event::Token { .. }));
                return Poll::Ready(Some(event));
            }
            match ready!(Pin::new(&mut this.body).poll_frame(cx)) {
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        this.line.extend_from_slice(&data);
                    }
                }
                // A body that stops without its explicit end is cut: the
                // answer is not whole, whatever has come so far.
                Some(Err(e)) => {
                    this.ended = true;
                    return Poll::Ready(Some(Err(Error::Unknown(e.to_string()))));
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
        let body = Resume { stream: stream.clone(), from };
        self.open_stream(at, "/v1/resume", &body).await
    }

    async fn cancel(&self, at: SocketAddr, stream: &id::Stream) -> Result<Cancelled, Error> {
        self.call_json("POST", at, "/v1/cancel", Some(stream)).await
    }

    async fn report(&self, at: SocketAddr) -> Result<Report, Error> {
        self.call_json("GET", at, "/v1/report", None::<&()>).await
    }

    async fn order(&self, at: SocketAddr, fence: id::Epoch, order: &Order) -> Result<(), Error> {
        let body = Fenced { fence, order: order.clone() };
        self.call_json("POST", at, "/v1/order", Some(&body)).await
    }

    async fn cache_events(&self, at: SocketAddr, after: u64) -> Result<Vec<CacheEvent>, Error> {
        self.call_json("GET", at, &format!("/v1/cache-events?after={after}"), None::<&()>).await
    }

    async fn import(&self, at: SocketAddr, from: SocketAddr, handle: &Handle) -> Result<(), Error> {
        let body = Import { from, handle: handle.clone() };
        self.call_json("POST", at, "/v1/import", Some(&body)).await
    }

    async fn drop_handle(&self, at: SocketAddr, handle: &Handle) -> Result<(), Error> {
        self.call_json("POST", at, "/v1/drop", Some(handle)).await
    }
}

impl Services for Targets {
    async fn call(&self, at: SocketAddr, call: Call) -> Result<Reply, Error> {
        let exchange = async {
            let path = format!("/call{}", call.path);
            let response = self.send("POST", at, &path, call.key.as_deref(), call.body).await?;
            let status = response.status().as_u16();
            let body = response.into_body().collect().await;
            let body = body.map_err(|e| Error::Unknown(e.to_string()))?.to_bytes();
            Ok(Reply { status, body })
        };
        tokio::time::timeout(call.timeout, exchange)
            .await
            .map_err(|_| Error::Unknown("timeout".into()))?
    }

    async fn report(&self, at: SocketAddr) -> Result<service::Report, Error> {
        self.call_json("GET", at, "/report", None::<&()>).await
    }
}
