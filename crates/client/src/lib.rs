//! HTTP client with pooled connections and errors that state whether a call may have run.
//!
//! After a failure a caller may retry, or report a call as not run, only if no byte of it can have
//! reached the other end. [`Error`] makes this distinction. A call is never sent twice: it is
//! written to another connection only if a pooled connection was closed before the first byte.

mod channel;
mod connection;
mod exchange;
mod framing;
mod pool;
pub mod tunnel;

use bytes::{Bytes, BytesMut};
pub use channel::{Channel, RelayError, SendError};
use connection::Connection;
pub use connection::{Ending, RELAY_PROTOCOL, describe};
use derive_more::Display;
pub use exchange::{Exchange, Reuse};
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use pool::Pool;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// The cause of a failed call, by whether the other end may have received it.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// No process listens at the address.
    #[display("not sent: connection refused")]
    Refused,
    /// No byte of the call was written.
    #[display("not sent: {_0}")]
    #[error(ignore)]
    NotSent(String),
    /// Bytes of the call may have arrived, and no complete response was received.
    #[display("no answer: {_0}")]
    #[error(ignore)]
    Unknown(String),
}

/// A call.
#[derive(Clone, Debug)]
pub struct Call<'a> {
    /// The method.
    pub method: http::Method,
    /// The path with its query.
    pub path: &'a str,
    /// The idempotency key, sent as a header.
    pub key: Option<&'a str>,
    /// The body.
    pub body: Bytes,
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: http::StatusCode,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The address of the relay that forwarded the connection.
    pub relay: Option<SocketAddr>,
    /// The body.
    pub body: Bytes,
}

/// A client. Clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<Pool>,
    connect_timeout: Duration,
    user_timeout: Duration,
    translations: Arc<HashMap<SocketAddr, SocketAddr>>,
    max_head: usize,
    max_body: usize,
}

/// The limit of a whole response as a multiple of the progress timeout: a response that trickles
/// must not block its caller forever.
const MAX_PROGRESS_TIMEOUTS: u32 = 10;

/// The default time for which sent bytes may stay unacknowledged. It exceeds the timeouts of all
/// calls.
const DEFAULT_USER_TIMEOUT: Duration = Duration::from_secs(10);

/// The default bound of a response's head.
const DEFAULT_MAX_HEAD_BYTES: usize = 64 << 10;

/// The smallest bound of a response's head: the least buffer that hyper accepts.
const MIN_MAX_HEAD_BYTES: usize = 8 << 10;

/// The default bound of a response that is read as a whole. It exceeds the largest answers of the
/// store, which are lists of all targets and configurations of some megabytes.
const DEFAULT_MAX_BODY_BYTES: usize = 32 << 20;

impl Client {
    /// Creates a client without connections.
    pub fn open(connect_timeout: Duration) -> Self {
        Self {
            pool: Arc::default(),
            connect_timeout,
            user_timeout: DEFAULT_USER_TIMEOUT,
            translations: Arc::default(),
            max_head: DEFAULT_MAX_HEAD_BYTES,
            max_body: DEFAULT_MAX_BODY_BYTES,
        }
    }

    /// Sets the TCP user timeout, after which unacknowledged bytes break a connection.
    #[must_use]
    pub fn with_user_timeout(self, user_timeout: Duration) -> Self {
        Self { user_timeout, ..self }
    }

    /// Sets the addresses to connect to in place of others, such as those of emulated links.
    #[must_use]
    pub fn with_translations(self, translations: HashMap<SocketAddr, SocketAddr>) -> Self {
        Self { translations: Arc::new(translations), ..self }
    }

    /// Sets the bound of a response's head, at least 8 KB. Each connection buffers at most as much.
    #[must_use]
    pub fn with_max_head(self, bytes: usize) -> Self {
        Self { max_head: bytes.max(MIN_MAX_HEAD_BYTES), ..self }
    }

    /// Sets the bound of responses that are read as a whole. A longer one fails its call, and its
    /// connection is closed.
    #[must_use]
    pub fn with_max_body(self, bytes: usize) -> Self {
        Self { max_body: bytes, ..self }
    }

    /// Returns the address to connect to in order to reach `address`.
    pub fn translate(&self, address: SocketAddr) -> SocketAddr {
        self.translations.get(&address).copied().unwrap_or(address)
    }

    async fn open_connection(&self, address: SocketAddr) -> Result<Connection, Error> {
        let address = self.translate(address);
        Connection::open(address, self.connect_timeout, self.user_timeout, self.max_head).await
    }

    /// Closes the idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Makes a call and reads the whole response within `timeout`.
    ///
    /// The connection is reused only after a complete and timely response, so that a late response
    /// is never matched to a later call. A failure also closes the idle connections to `address`:
    /// what made one of them unresponsive has likely affected the others, and each of them would
    /// cost another call its timeout.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        call: Call<'_>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.exchange_with_timeouts(address, call, timeout, timeout).await
    }

    /// Makes a call whose response may be large.
    ///
    /// Like [`Client::exchange`], but `timeout` bounds the time until the response headers and then
    /// between two parts of the body. A limit on the whole would discard a response that arrives
    /// steadily over a slow link. In total the call may take ten times `timeout`.
    pub async fn exchange_with_progress_timeout(
        &self,
        address: SocketAddr,
        call: Call<'_>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.exchange_with_timeouts(address, call, timeout, timeout * MAX_PROGRESS_TIMEOUTS).await
    }

    /// Makes a call over a new connection and returns the response when its headers have arrived.
    /// Dropping the response closes the connection. Only connecting has a timeout; the caller
    /// limits the rest.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        call: Call<'_>,
    ) -> Result<http::Response<Incoming>, Error> {
        let mut connection = self.open_connection(address).await?;
        let request = make_request(address, call)?;
        connection.send(request).await.map_err(|failure| match failure.unsent {
            Some(_) => Error::NotSent(failure.text),
            None => Error::Unknown(failure.text),
        })
    }

    /// Makes a call over an open connection and reads the whole response within `timeout`.
    pub async fn exchange_over(
        &self,
        channel: Channel,
        address: SocketAddr,
        call: Call<'_>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        let request = make_request(address, call)?;
        let exchange = async {
            let mut exchange = channel.send(request).await.map_err(|failure| failure.error)?;
            let body = read_body(&mut exchange.body, timeout, self.max_body).await?;
            let status = exchange.head.status;
            let headers = std::mem::take(&mut exchange.head.headers);
            let relay = exchange.relay();
            exchange.release(None);
            Ok(Response { status, headers, relay, body })
        };
        let timed_out = |_| Err(Error::Unknown("timeout".into()));
        tokio::time::timeout(timeout, exchange).await.unwrap_or_else(timed_out)
    }

    /// Makes a call with a timeout between the parts of its response and one for the whole.
    async fn exchange_with_timeouts(
        &self,
        address: SocketAddr,
        call: Call<'_>,
        progress_timeout: Duration,
        total_timeout: Duration,
    ) -> Result<Response, Error> {
        let is_written = AtomicBool::new(false);
        let exchange = self.exchange_pooled(address, call, progress_timeout, &is_written);
        let result = match tokio::time::timeout(total_timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Self::timeout_error(&is_written)),
        };
        if result.is_err() {
            self.pool.close_idle(address);
        }
        result
    }

    async fn exchange_pooled(
        &self,
        address: SocketAddr,
        call: Call<'_>,
        progress_timeout: Duration,
        is_written: &AtomicBool,
    ) -> Result<Response, Error> {
        let head = self.send_pooled(address, call, is_written);
        let head = tokio::time::timeout(progress_timeout, head).await;
        let mut exchange = head.unwrap_or_else(|_| Err(Self::timeout_error(is_written)))?;
        let body = read_body(&mut exchange.body, progress_timeout, self.max_body).await?;
        let status = exchange.head.status;
        let headers = std::mem::take(&mut exchange.head.headers);
        exchange.release(None);
        Ok(Response { status, headers, relay: None, body })
    }

    /// Returns the error for a call that timed out.
    fn timeout_error(is_written: &AtomicBool) -> Error {
        match is_written.load(Ordering::Relaxed) {
            true => Error::Unknown("timeout".into()),
            false => Error::NotSent("timeout".into()),
        }
    }

    async fn send_pooled(
        &self,
        address: SocketAddr,
        call: Call<'_>,
        is_written: &AtomicBool,
    ) -> Result<Exchange, Error> {
        let mut request = make_request(address, call)?;
        loop {
            let pooled = self.take_idle(address, Reuse::Any);
            let is_pooled = pooled.is_some();
            let channel = match pooled {
                Some(channel) => channel,
                None => self.connect(address).await?,
            };
            is_written.store(true, Ordering::Relaxed);
            let failure = match channel.send(request).await {
                Ok(exchange) => return Ok(exchange),
                Err(failure) => failure,
            };
            // The request is returned only if no byte of it was written, so the next attempt can't
            // send it twice.
            let Some(unsent) = failure.unsent else { return Err(failure.error) };
            is_written.store(false, Ordering::Relaxed);
            if !is_pooled {
                return Err(failure.error);
            }
            request = unsent;
        }
    }
}

/// Reads a body of at most `max_bytes` with a timeout between its parts.
async fn read_body(
    body: &mut Incoming,
    progress_timeout: Duration,
    max_bytes: usize,
) -> Result<Bytes, Error> {
    let too_long = || Error::Unknown(format!("a body of more than {max_bytes} bytes"));
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(too_long());
    }
    let mut bytes = BytesMut::new();
    loop {
        match tokio::time::timeout(progress_timeout, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    if bytes.len() + data.len() > max_bytes {
                        return Err(too_long());
                    }
                    bytes.extend_from_slice(&data);
                }
            }
            Ok(Some(Err(error))) => return Err(Error::Unknown(describe(&error))),
            Ok(None) => return Ok(bytes.freeze()),
            Err(_) => return Err(Error::Unknown("timeout".into())),
        }
    }
}

fn make_request(address: SocketAddr, call: Call<'_>) -> Result<http::Request<Full<Bytes>>, Error> {
    let mut request = http::Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(http::header::HOST, address.to_string())
        .header(http::header::CONTENT_TYPE, "application/json");
    if let Some(key) = call.key {
        request = request.header("idempotency-key", key);
    }
    request.body(Full::new(call.body)).map_err(|e| Error::NotSent(e.to_string()))
}

/// Percent-encodes the characters that are not allowed in a query value.
pub fn escape(text: &str) -> String {
    text.bytes()
        .map(|b| match b {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'/' | b'-' | b'_' | b'.' => {
                char::from(b).to_string()
            }
            _ => format!("%{b:02X}"),
        })
        .collect()
}
