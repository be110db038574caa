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
use pool::{IDLE_TIME, Pool};
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
pub struct Answer {
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
    silence: Duration,
}

/// How much longer than a silence a whole answer may take: one that comes a byte
/// now and then must not hold its caller for good.
const ANSWER_SILENCES: u32 = 10;

/// How long sent bytes may stay unacknowledged where nothing else is asked
/// for; longer than any timeout that callers put on their calls.
const SILENCE: Duration = Duration::from_secs(10);

impl Client {
    /// A client without connections.
    pub fn open(connect_timeout: Duration) -> Self {
        Self { pool: Arc::default(), connect_timeout, silence: SILENCE }
    }

    /// The same client, whose connections break where sent bytes stay
    /// unacknowledged for `silence`.
    #[must_use]
    pub fn with_silence(self, silence: Duration) -> Self {
        Self { silence, ..self }
    }

    /// Closes the idle connections to `at`.
    pub fn clear(&self, at: SocketAddr) {
        self.pool.clear(at);
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
        at: SocketAddr,
        call: Call<'_>,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        self.exchange_within(at, call, timeout, timeout).await
    }

    /// Makes a call whose answer may be large.
    ///
    /// As [`Client::exchange`], but `timeout` bounds the time until the head of
    /// the answer, and then from one part of it to the next. A bound on the
    /// whole would give up on what a slow link carries steadily, and what came
    /// of it would be lost. In all it may take ten times as long.
    pub async fn exchange_steady(
        &self,
        at: SocketAddr,
        call: Call<'_>,
        timeout: Duration,
    ) -> Result<Answer, Error> {
        self.exchange_within(at, call, timeout, timeout * ANSWER_SILENCES).await
    }

    /// Makes a call over a connection of its own and gives the answer as soon
    /// as its head is there; dropping the answer closes the connection. The
    /// caller bounds the time.
    pub async fn open_stream(
        &self,
        at: SocketAddr,
        call: Call<'_>,
    ) -> Result<http::Response<Incoming>, Error> {
        let mut connection = Connection::open(at, self.connect_timeout, self.silence).await?;
        let request = make_request(at, call)?;
        connection.send(request).await.map_err(|failure| match failure.unsent {
            Some(_) => Error::NotSent(failure.text),
            None => Error::Unknown(failure.text),
        })
    }

    /// A call whose answer is never silent for longer than `silence`, and comes
    /// whole within `most`.
    async fn exchange_within(
        &self,
        at: SocketAddr,
        call: Call<'_>,
        silence: Duration,
        most: Duration,
    ) -> Result<Answer, Error> {
        let written = AtomicBool::new(false);
        let exchange = self.exchange_on_any(at, call, silence, &written);
        let result = match tokio::time::timeout(most, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Self::late(&written)),
        };
        if result.is_err() {
            self.pool.clear(at);
        }
        result
    }

    async fn exchange_on_any(
        &self,
        at: SocketAddr,
        call: Call<'_>,
        silence: Duration,
        written: &AtomicBool,
    ) -> Result<Answer, Error> {
        let head = self.send_on_any(at, call, written);
        let head = tokio::time::timeout(silence, head).await;
        let (connection, response) = head.unwrap_or_else(|_| Err(Self::late(written)))?;
        let status = response.status();
        let body = read_whole(response.into_body(), silence).await?;
        self.pool.put(at, connection, IDLE_TIME);
        Ok(Answer { status, body })
    }

    /// What a call is that was given up on.
    fn late(written: &AtomicBool) -> Error {
        match written.load(Ordering::Relaxed) {
            true => Error::Unknown("timeout".into()),
            false => Error::NotSent("timeout".into()),
        }
    }

    async fn send_on_any(
        &self,
        at: SocketAddr,
        call: Call<'_>,
        written: &AtomicBool,
    ) -> Result<(Connection, http::Response<Incoming>), Error> {
        let mut request = make_request(at, call)?;
        loop {
            let pooled = self.pool.take(at, IDLE_TIME);
            let is_pooled = pooled.is_some();
            let mut connection = match pooled {
                Some(connection) => connection,
                None => Connection::open(at, self.connect_timeout, self.silence).await?,
            };
            written.store(true, Ordering::Relaxed);
            let failure = match connection.send(request).await {
                Ok(response) => return Ok((connection, response)),
                Err(failure) => failure,
            };
            // The request comes back only where none of it has been written,
            // so what follows is no second sending.
            let Some(unsent) = failure.unsent else {
                return Err(Error::Unknown(failure.text));
            };
            written.store(false, Ordering::Relaxed);
            if !is_pooled {
                return Err(Error::NotSent(failure.text));
            }
            request = unsent;
        }
    }
}

/// Reads a body whose parts come within `silence` of each other.
async fn read_whole(mut body: Incoming, silence: Duration) -> Result<Bytes, Error> {
    let mut whole = BytesMut::new();
    loop {
        match tokio::time::timeout(silence, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    whole.extend_from_slice(&data);
                }
            }
            Ok(Some(Err(error))) => return Err(Error::Unknown(error.to_string())),
            Ok(None) => return Ok(whole.freeze()),
            Err(_) => return Err(Error::Unknown("timeout".into())),
        }
    }
}

fn make_request(at: SocketAddr, call: Call<'_>) -> Result<http::Request<Full<Bytes>>, Error> {
    let mut request = http::Request::builder()
        .method(call.method)
        .uri(call.path)
        .header(http::header::HOST, at.to_string())
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
