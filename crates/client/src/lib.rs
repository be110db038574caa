//! HTTP calls with pooled connections, and what a failed call means.
//!
//! What a caller may do after a failure (send again, call it not run) hangs
//! on whether a byte of the call can have reached the other end, so that is
//! what [`Error`] tells apart. A call is never sent twice: only one that was
//! not begun to be written, because a pooled connection turned out closed, is
//! written to another connection.

mod connection;
mod exchange;
mod pool;

use bytes::{Bytes, BytesMut};
use connection::Connection;
use derive_more::Display;
pub use exchange::{Exchange, Reuse};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use pool::{MAX_IDLE_TIME, Pool};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// Why a call failed, by what the other end can have seen of it.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// Nothing listens at the address.
    #[display("not sent: connection refused")]
    Refused,
    /// No byte of the call was written.
    #[display("not sent: {_0}")]
    #[error(ignore)]
    NotSent(String),
    /// Bytes may have arrived, and no whole answer came.
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

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Response {
    /// The status.
    pub status: http::StatusCode,
    /// The body.
    pub body: Bytes,
}

/// A client; clones share its connections.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<Pool>,
    connect_timeout: Duration,
    user_timeout: Duration,
}

/// How much longer than a silence a whole answer may take: one that comes a byte
/// now and then must not hold its caller for good.
const MAX_PROGRESS_TIMEOUTS: u32 = 10;

/// How long sent bytes may stay unacknowledged where nothing else is asked
/// for; longer than any timeout that callers put on their calls.
const DEFAULT_USER_TIMEOUT: Duration = Duration::from_secs(10);

impl Client {
    /// A client without connections.
    pub fn open(connect_timeout: Duration) -> Self {
        Self { pool: Arc::default(), connect_timeout, user_timeout: DEFAULT_USER_TIMEOUT }
    }

    /// The same client, whose connections break where sent bytes stay
    /// unacknowledged for `user_timeout`.
    #[must_use]
    pub fn with_user_timeout(self, user_timeout: Duration) -> Self {
        Self { user_timeout, ..self }
    }

    /// Closes the idle connections to `at`.
    pub fn close_idle(&self, address: SocketAddr) {
        self.pool.close_idle(address);
    }

    /// Makes a call and reads the answer whole, within `timeout`.
    ///
    /// The connection is used again only after an answer that came whole and
    /// in time, so that a late answer is never taken for that of a later
    /// call. A failure also closes the idle connections to `at`: whatever
    /// made one of them silent has likely silenced the others, and each would
    /// cost a further call its timeout.
    pub async fn exchange(
        &self,
        address: SocketAddr,
        call: Call<'_>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.exchange_with_timeouts(address, call, timeout, timeout).await
    }

    /// Makes a call whose answer may be large.
    ///
    /// As [`Client::exchange`], but `timeout` bounds the time until the head of
    /// the answer, and then from one part of it to the next. A bound on the
    /// whole would give up on what a slow link carries steadily, and what came
    /// of it would be lost. In all it may take ten times as long.
    pub async fn exchange_with_progress_timeout(
        &self,
        address: SocketAddr,
        call: Call<'_>,
        timeout: Duration,
    ) -> Result<Response, Error> {
        self.exchange_with_timeouts(address, call, timeout, timeout * MAX_PROGRESS_TIMEOUTS).await
    }

    /// Makes a call over a connection of its own and gives the answer as soon
    /// as its head is there; dropping the answer closes the connection. The
    /// caller bounds the time.
    pub async fn open_stream(
        &self,
        address: SocketAddr,
        call: Call<'_>,
    ) -> Result<http::Response<Incoming>, Error> {
        let mut connection =
            Connection::open(address, self.connect_timeout, self.user_timeout).await?;
        let request = make_request(address, call)?;
        connection.send(request).await.map_err(|failure| match failure.unsent {
            Some(_) => Error::NotSent(failure.text),
            None => Error::Unknown(failure.text),
        })
    }

    /// A call whose answer is never silent for longer than `silence`, and comes
    /// whole within `most`.
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
        let (connection, response) =
            head.unwrap_or_else(|_| Err(Self::timeout_error(is_written)))?;
        let status = response.status();
        let body = read_body(response.into_body(), progress_timeout).await?;
        self.pool.put(address, connection, MAX_IDLE_TIME);
        Ok(Response { status, body })
    }

    /// What a call is that was given up on.
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
    ) -> Result<(Connection, http::Response<Incoming>), Error> {
        let mut request = make_request(address, call)?;
        loop {
            let pooled = self.pool.take(address, MAX_IDLE_TIME);
            let is_pooled = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => Connection::open(address, self.connect_timeout, self.user_timeout).await?,
            };
            is_written.store(true, Ordering::Relaxed);
            let failure = match connection.send(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(failure) => failure,
            };
            // The request comes back only where none of it has been written,
            // so what follows is no second sending.
            let Some(unsent) = failure.unsent else {
                return Err(Error::Unknown(failure.text));
            };
            is_written.store(false, Ordering::Relaxed);
            if !is_pooled {
                return Err(Error::NotSent(failure.text));
            }
            request = unsent;
        }
    }
}

/// Reads a body whose parts come within `silence` of each other.
async fn read_body(mut body: Incoming, progress_timeout: Duration) -> Result<Bytes, Error> {
    let mut bytes = BytesMut::new();
    loop {
        match tokio::time::timeout(progress_timeout, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Ok(Some(Err(error))) => return Err(Error::Unknown(error.to_string())),
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

/// Escapes what a query value may not hold.
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
