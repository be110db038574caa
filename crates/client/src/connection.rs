//! An HTTP/1 connection that carries one call at a time.

use crate::framing::{Checked, Malformed, Pending};
use crate::tunnel::{Silence, Tunnel};
use crate::{Error, RelayError};
use bytes::Bytes;
use http::{StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::TcpKeepalive;
use std::error::Error as _;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// TCP keepalive probes. A pending call such as a watch sends no data, so without probes it would
/// wait forever on a connection whose other end has become unreachable.
const KEEPALIVE: TcpKeepalive = TcpKeepalive::new()
    .with_time(Duration::from_secs(1))
    .with_interval(Duration::from_secs(1))
    .with_retries(2);

/// The protocol that a connection to a relay switches to. Nodes without [`crate::tunnel`] name it
/// without a version, and those whose relays send no heartbeats with an earlier version.
pub const RELAY_PROTOCOL: &str = "hickory-relay/3";

type Request = http::Request<Full<Bytes>>;

/// A connection.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// The request whose response is being waited for.
    pending: Pending,
    /// A duplicate of the socket, to check its state without waiting.
    socket: std::net::TcpStream,
}

/// A request that got no response.
pub(crate) struct Failure {
    pub(crate) text: String,
    pub(crate) ending: Ending,
    /// The request if no byte of it has been written.
    pub(crate) unsent: Option<Request>,
}

impl Connection {
    /// Connects within `timeout`. The connection breaks if sent bytes stay unacknowledged for
    /// `user_timeout`: after a network partition it would otherwise hold its request until the
    /// deadline.
    pub(crate) async fn open(
        address: SocketAddr,
        timeout: Duration,
        user_timeout: Duration,
        max_head: usize,
    ) -> Result<Self, Error> {
        let not_sent = |error: &dyn std::fmt::Display| Error::NotSent(error.to_string());
        let connect = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connect.await.map_err(|e| not_sent(&e))?.map_err(|e| match e.kind() {
            ErrorKind::ConnectionRefused => Error::Refused,
            _ => not_sent(&e),
        })?;
        let (socket, stream) = set_options(stream, user_timeout).map_err(|e| not_sent(&e))?;
        let pending = Pending::default();
        let stream = TokioIo::new(Checked::new(stream, pending.clone(), max_head));
        let handshake = builder(max_head).handshake(stream).await;
        let (sender, driver) = handshake.map_err(|e| not_sent(&e))?;
        tokio::spawn(driver);
        Ok(Self { sender, pending, socket })
    }

    /// Connects to a relay, which connects to the destination that `path` names and then forwards
    /// all bytes.
    pub(crate) async fn open_relayed(
        relay: SocketAddr,
        path: &str,
        timeout: Duration,
        user_timeout: Duration,
        max_head: usize,
    ) -> Result<Self, RelayError> {
        let unavailable =
            |error: &dyn std::fmt::Display| RelayError::Unavailable(error.to_string());
        let connect = tokio::time::timeout(timeout, TcpStream::connect(relay));
        let stream = connect.await.map_err(|e| unavailable(&e))?.map_err(|e| unavailable(&e))?;
        let (socket, stream) = set_options(stream, user_timeout).map_err(|e| unavailable(&e))?;
        let pending = Pending::default();
        let stream = TokioIo::new(Checked::new(stream, pending.clone(), max_head));
        let handshake = builder(max_head).handshake(stream).await;
        let (mut sender, driver) = handshake.map_err(|e| unavailable(&e))?;
        tokio::spawn(driver.with_upgrades());
        let request = http::Request::builder()
            .uri(path)
            .header(header::HOST, relay.to_string())
            .header(header::CONNECTION, "upgrade")
            .header(header::UPGRADE, RELAY_PROTOCOL)
            .body(Full::<Bytes>::default())
            .map_err(|e| unavailable(&e))?;
        pending.set(&request);
        let response = sender.send_request(request).await.map_err(|e| unavailable(&e))?;
        match response.status() {
            StatusCode::SWITCHING_PROTOCOLS => {}
            StatusCode::BAD_GATEWAY => return Err(RelayError::Refused),
            StatusCode::FAILED_DEPENDENCY => return Err(RelayError::Unsure),
            StatusCode::MISDIRECTED_REQUEST => return Err(RelayError::Stopping),
            status @ StatusCode::GONE => {
                return Err(RelayError::Declined(format!("status {status}")));
            }
            status => return Err(RelayError::Unavailable(format!("status {status}"))),
        }
        if response.headers().get(header::UPGRADE).is_none_or(|name| name != RELAY_PROTOCOL) {
            return Err(RelayError::Unavailable("it doesn't speak this protocol".into()));
        }
        let upgraded = hyper::upgrade::on(response).await.map_err(|e| unavailable(&e))?;
        let (tunnel, pending) = (Tunnel::new(TokioIo::new(upgraded)), Pending::default());
        let tunnel = TokioIo::new(Checked::new(tunnel, pending.clone(), max_head));
        let handshake = builder(max_head).handshake(tunnel).await;
        let (sender, driver) = handshake.map_err(|e| unavailable(&e))?;
        tokio::spawn(driver);
        Ok(Self { sender, pending, socket })
    }

    /// Shuts down both directions, so that the other end is notified now and not when the last
    /// handle is dropped.
    pub(crate) fn close(&self) {
        // This fails only if the connection is already closed.
        let _ = self.socket.shutdown(std::net::Shutdown::Both);
    }

    /// Resets the connection to cancel its call: bytes that are held up on the way would otherwise
    /// arrive once the path is back, and the call would run.
    pub(crate) fn abort(&self) {
        // Both fail only if the connection is already closed. The driver then closes its handle,
        // and the last one that is closed resets the connection. Shutting down the other direction
        // would first end it in the regular way.
        let _ = socket2::SockRef::from(&self.socket).set_linger(Some(Duration::ZERO));
        let _ = self.socket.shutdown(std::net::Shutdown::Read);
    }

    /// Returns whether the connection is open and has no data to read. It checks the socket, since
    /// the driver notices a close only when its task next runs. A call written until then could not
    /// be distinguished from one that ran.
    pub(crate) fn is_idle(&self) -> bool {
        let peek_result = self.socket.peek(&mut [0]);
        let is_empty = peek_result.is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
        is_empty && !self.sender.is_closed()
    }

    /// Sends a request and waits for the response headers.
    pub(crate) async fn send(
        &mut self,
        request: Request,
    ) -> Result<http::Response<Incoming>, Failure> {
        if let Err(error) = self.sender.ready().await {
            let (text, ending) = (describe(&error), Ending::from(&error));
            return Err(Failure { text, ending, unsent: Some(request) });
        }
        self.pending.set(&request);
        self.sender.try_send_request(request).await.map_err(|mut failure| {
            let (text, ending) = (describe(failure.error()), Ending::from(failure.error()));
            Failure { text, ending, unsent: failure.take_message() }
        })
    }
}

/// Returns the text of an error, which states what a malformed response has in place of what.
pub fn describe(error: &hyper::Error) -> String {
    let malformed =
        io_errors(error).find(|error| error.get_ref().is_some_and(|inner| inner.is::<Malformed>()));
    malformed.map_or_else(|| error.to_string(), ToString::to_string)
}

/// Returns the I/O errors among the causes of an error.
fn io_errors(error: &hyper::Error) -> impl Iterator<Item = &std::io::Error> {
    let sources = std::iter::successors(error.source(), |&error| error.source());
    sources.filter_map(|error| error.downcast_ref())
}

/// How a connection ended before the end of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The other end closed it.
    Closed,
    /// It was reset, or timed out.
    Broken,
    /// The relay that forwarded it fell silent.
    RelaySilent,
}

impl From<&hyper::Error> for Ending {
    fn from(error: &hyper::Error) -> Self {
        let is_silence =
            |error: &std::io::Error| error.get_ref().is_some_and(|inner| inner.is::<Silence>());
        if io_errors(error).any(is_silence) {
            Self::RelaySilent
        } else if error.is_incomplete_message()
            || io_errors(error).any(|error| error.kind() == ErrorKind::UnexpectedEof)
        {
            Self::Closed
        } else {
            Self::Broken
        }
    }
}

/// Creates the builder of connections, which read at most `max_head` bytes ahead of the caller. A
/// longer head breaks its connection.
fn builder(max_head: usize) -> http1::Builder {
    let mut builder = http1::Builder::new();
    builder.max_buf_size(max_head);
    builder
}

/// Sets the options of a connection. Returns the socket, and a duplicate to send and receive on.
fn set_options(
    stream: TcpStream,
    user_timeout: Duration,
) -> std::io::Result<(std::net::TcpStream, TcpStream)> {
    let socket = stream.into_std()?;
    socket.set_nodelay(true)?;
    let options = socket2::SockRef::from(&socket);
    options.set_tcp_user_timeout(Some(user_timeout))?;
    options.set_tcp_keepalive(&KEEPALIVE)?;
    let duplicate = TcpStream::from_std(socket.try_clone()?)?;
    Ok((socket, duplicate))
}
