//! Decides how responses are framed, and checks it byte by byte before the HTTP library parses them.
//!
//! The library guesses where a head or a chunk departs from the grammar (RFC 9112): a response with an
//! unknown transfer coding ends with its connection, lists of equal lengths count as one, and a bare
//! line feed ends a line. What it then hands out may be a part of the body, or contain framing. Here,
//! a response whose length can be told in two ways, or in none, is an error. Names and values of
//! fields are left to the library, which accepts only those of the grammar.

use derive_more::Display;
use http::Method;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The bound of a line between chunks.
const MAX_CHUNK_LINE_BYTES: usize = 4 << 10;

/// The most bytes of a line about the framing that an error quotes.
const MAX_QUOTED_BYTES: usize = 40;

/// The statuses that responses may have.
const STATUSES: std::ops::RangeInclusive<u16> = 100..=599;

/// What each response begins with.
const HTTP_1: &[u8] = b"HTTP/1.";

/// A response that isn't framed as the grammar demands. Callers get its text, so that it quotes only
/// what states the framing: other bytes may belong to another request.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("malformed response: expected {expected}, found {found}")]
pub(crate) struct Malformed {
    expected: &'static str,
    found: String,
}

impl Malformed {
    fn counting(expected: &'static str, found: &[u8]) -> Self {
        Self { expected, found: format!("{} other bytes", found.len()) }
    }

    fn quoting(expected: &'static str, line: &[u8]) -> Self {
        let quoted = &line[..line.len().min(MAX_QUOTED_BYTES)];
        Self { expected, found: format!("`{}`", quoted.escape_ascii()) }
    }
}

/// What the framing of a response depends on in its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Request {
    is_head: bool,
    is_upgrade: bool,
}

/// The request on a connection that waits for a response, if there is one.
#[derive(Clone, Debug, Default)]
pub(crate) struct Pending(Arc<Mutex<Option<Request>>>);

impl Pending {
    /// Expects the response to a request.
    pub(crate) fn set<B>(&self, request: &http::Request<B>) {
        let is_head = request.method() == Method::HEAD;
        let is_upgrade = request.headers().contains_key(http::header::UPGRADE);
        *self.lock() = Some(Request { is_head, is_upgrade });
    }

    fn take(&self) -> Option<Request> {
        self.lock().take()
    }

    fn lock(&self) -> MutexGuard<'_, Option<Request>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What of a head the framing depends on.
#[derive(Clone, Copy, Debug, Default)]
struct Head {
    /// The minor version and the status, after the status line.
    status_line: Option<(u8, u16)>,
    length: Option<u64>,
    is_chunked: bool,
    /// Whether it states that the connection ends with the response.
    states_close: bool,
    /// Whether it states that the connection goes on.
    states_keep_alive: bool,
}

impl Head {
    /// Reads a line of the head other than the last one.
    fn read(&mut self, line: &[u8]) -> Result<(), Malformed> {
        if self.status_line.is_none() {
            self.status_line = Some(parse_status_line(line)?);
            return Ok(());
        }
        let Some(colon) = memchr::memchr(b':', line) else {
            return Err(Malformed::counting("a field", line));
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        let is_named = |expected: &str| name.eq_ignore_ascii_case(expected.as_bytes());
        if is_named("content-length") {
            if self.length.is_some() {
                return Err(Malformed::quoting("one Content-Length", line));
            }
            let length = parse_number(value, 10);
            self.length =
                Some(length.ok_or_else(|| Malformed::quoting("a Content-Length in digits", line))?);
        } else if is_named("transfer-encoding") {
            if self.is_chunked || !value.eq_ignore_ascii_case(b"chunked") {
                return Err(Malformed::quoting("no Transfer-Encoding but `chunked`", line));
            }
            self.is_chunked = true;
        } else if is_named("connection") {
            let options = || value.split(|&byte| byte == b',').map(<[u8]>::trim_ascii);
            self.states_close |= options().any(|option| option.eq_ignore_ascii_case(b"close"));
            self.states_keep_alive |=
                options().any(|option| option.eq_ignore_ascii_case(b"keep-alive"));
        } else if is_named("keep-alive") {
            self.states_keep_alive = true;
        }
        Ok(())
    }

    /// Decides what follows the head.
    fn next_state(&self, request: Request) -> Result<State, Malformed> {
        let error = |expected| Err(Malformed { expected, found: self.to_string() });
        let (minor_version, status) = self.status_line.unwrap_or_default();
        if self.is_chunked && (self.length.is_some() || minor_version == 0) {
            return error("`chunked` without a Content-Length, from version 1.1 on");
        }
        match (status, self.length) {
            (101, _) if request.is_upgrade => Ok(State::Upgraded),
            (101, _) => error("no change of protocol"),
            (100..200, None) if !self.is_chunked && minor_version > 0 => {
                Ok(State::Head(Self::default()))
            }
            (100..200, _) => error("an informational response without a body"),
            (204, None | Some(0)) if !self.is_chunked => Ok(State::Idle),
            (204, _) => error("status 204 without a body"),
            (304, _) => Ok(State::Idle),
            _ if request.is_head => Ok(State::Idle),
            (_, Some(0)) => Ok(State::Idle),
            (_, Some(length)) => Ok(State::Length(length)),
            (_, None) if self.is_chunked => Ok(State::ChunkSize),
            (_, None) if self.states_keep_alive && !self.states_close => {
                error("a Content-Length on a connection that goes on")
            }
            (_, None) => Ok(State::UntilClose),
        }
    }
}

impl std::fmt::Display for Head {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (minor_version, status) = self.status_line.unwrap_or_default();
        write!(formatter, "HTTP/1.{minor_version} {status}")?;
        if let Some(length) = self.length {
            write!(formatter, ", length {length}")?;
        }
        formatter.write_str(if self.is_chunked { ", chunked" } else { "" })
    }
}

/// Parses a status line. Returns the minor version and the status.
fn parse_status_line(line: &[u8]) -> Result<(u8, u16), Malformed> {
    let parse = || {
        let (&minor_version, rest) = line.strip_prefix(HTTP_1)?.split_first()?;
        let (status, rest) = rest.strip_prefix(b" ")?.split_first_chunk::<3>()?;
        let status = u16::try_from(parse_number(status, 10)?).ok()?;
        let is_valid = matches!(minor_version, b'0' | b'1')
            && STATUSES.contains(&status)
            && rest.starts_with(b" ");
        is_valid.then_some((minor_version - b'0', status))
    };
    parse().ok_or_else(|| Malformed::counting("a status line with a status of 100 to 599", line))
}

/// Parses a number of digits alone.
fn parse_number(digits: &[u8], radix: u32) -> Option<u64> {
    let is_digit = |&byte: &u8| char::from(byte).is_digit(radix);
    let text = std::str::from_utf8(digits).ok().filter(|_| digits.iter().all(is_digit))?;
    u64::from_str_radix(text, radix).ok()
}

/// Parses the line before a chunk, and returns the size of the chunk.
fn parse_chunk_line(line: &[u8]) -> Result<u64, Malformed> {
    let end = memchr::memchr(b';', line).unwrap_or(line.len());
    let (digits, extension) = line.split_at(end);
    let size = parse_number(digits, 16).filter(|_| !extension.iter().any(is_control));
    size.ok_or_else(|| Malformed::counting("a chunk size", line))
}

/// Returns whether a byte is a control character that no field or chunk extension may contain.
fn is_control(byte: &u8) -> bool {
    byte.is_ascii_control() && *byte != b'\t'
}

/// Checks a line of the trailers. The framing is known by then, and no trailer changes it.
fn check_trailer(line: &[u8]) -> Result<(), Malformed> {
    let name = memchr::memchr(b':', line).map(|colon| &line[..colon]);
    let frames = |name: &[u8]| {
        ["content-length", "transfer-encoding"]
            .iter()
            .any(|framing| name.eq_ignore_ascii_case(framing.as_bytes()))
    };
    match name {
        Some(name) if !frames(name) => Ok(()),
        _ => Err(Malformed::counting("a trailer that doesn't frame the response", line)),
    }
}

/// What the next byte belongs to.
#[derive(Clone, Copy, Debug)]
enum State {
    /// Nothing: the last response has ended.
    Idle,
    /// A head of which some lines have been read.
    Head(Head),
    /// A body of which so many bytes are left.
    Length(u64),
    /// The line before a chunk.
    ChunkSize,
    /// A chunk of which so many bytes are left.
    Chunk(u64),
    /// The end of the line after a chunk.
    ChunkEnd,
    /// The trailers.
    Trailers,
    /// A body that ends with the connection.
    UntilClose,
    /// Another protocol.
    Upgraded,
}

/// Follows the framing of the responses on a connection.
#[derive(Debug)]
struct Scanner {
    pending: Pending,
    request: Request,
    state: State,
    /// The part of a line that has arrived.
    line: Vec<u8>,
    /// The bytes of the heads before the body, or of the trailers.
    field_bytes: usize,
    max_field_bytes: usize,
}

impl Scanner {
    /// Checks the next bytes of a connection. Returns the number of bytes before those of another
    /// response that nothing has asked for.
    fn scan(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        let mut rest = bytes;
        while !rest.is_empty() {
            let length = match &mut self.state {
                State::UntilClose | State::Upgraded => rest.len(),
                State::Length(left) | State::Chunk(left) => {
                    let length = rest.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= length as u64;
                    length
                }
                State::Idle => match self.pending.take() {
                    Some(request) => {
                        (self.request, self.field_bytes) = (request, 0);
                        self.state = State::Head(Head::default());
                        0
                    }
                    None if rest.len() < bytes.len() && begins_response(rest) => break,
                    None => return Err(Malformed::counting("the end of the response", rest)),
                },
                State::Head(_) | State::ChunkSize | State::ChunkEnd | State::Trailers => {
                    self.read_line(rest)?
                }
            };
            rest = &rest[length..];
            match self.state {
                State::Length(0) => self.state = State::Idle,
                State::Chunk(0) => self.state = State::ChunkEnd,
                _ => {}
            }
        }
        Ok(bytes.len() - rest.len())
    }

    /// Reads a line, or the part of it that has arrived. Returns its length.
    fn read_line(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        let end = memchr::memchr(b'\n', bytes);
        let length = end.map_or(bytes.len(), |end| end + 1);
        let max_bytes = match self.state {
            State::Head(_) | State::Trailers => {
                self.field_bytes += length;
                self.max_field_bytes.saturating_sub(self.field_bytes - length)
            }
            _ => MAX_CHUNK_LINE_BYTES - self.line.len(),
        };
        if length > max_bytes {
            return Err(Malformed::counting(
                "fewer bytes of a head, trailers or a chunk size",
                bytes,
            ));
        }
        self.line.extend_from_slice(&bytes[..length]);
        if end.is_some() {
            let mut line = std::mem::take(&mut self.line);
            let Some(text) = line.strip_suffix(b"\r\n") else {
                return Err(Malformed::counting("a carriage return at the end of the line", &line));
            };
            self.state = self.next_state(text)?;
            // The next line reuses the allocation.
            line.clear();
            self.line = line;
        }
        Ok(length)
    }

    /// Returns the state after a whole line.
    fn next_state(&mut self, line: &[u8]) -> Result<State, Malformed> {
        match (&mut self.state, line) {
            (State::Head(head), b"") if head.status_line.is_some() => head.next_state(self.request),
            (State::Head(head), _) => {
                head.read(line)?;
                Ok(State::Head(*head))
            }
            (State::ChunkSize, _) => match parse_chunk_line(line)? {
                0 => {
                    self.field_bytes = 0;
                    Ok(State::Trailers)
                }
                size => Ok(State::Chunk(size)),
            },
            (State::ChunkEnd, b"") => Ok(State::ChunkSize),
            (State::ChunkEnd, _) => Err(Malformed::counting("the end of a chunk", line)),
            (State::Trailers, b"") => Ok(State::Idle),
            (State::Trailers, _) => {
                check_trailer(line)?;
                Ok(State::Trailers)
            }
            (state, _) => Ok(*state),
        }
    }
}

/// Returns whether these bytes begin a response, as far as they have arrived.
fn begins_response(bytes: &[u8]) -> bool {
    let length = bytes.len().min(HTTP_1.len());
    bytes[..length] == HTTP_1[..length]
}

/// A connection whose responses are checked as they are read. A malformed one ends it with an error.
#[derive(Debug)]
pub(crate) struct Checked<T> {
    inner: T,
    scanner: Scanner,
    /// Whether bytes were left out that belong to no request.
    has_surplus: bool,
}

impl<T> Checked<T> {
    /// Checks what is read from `inner`. The heads of a response, and its trailers, have at most
    /// `max_field_bytes`.
    pub(crate) fn new(inner: T, pending: Pending, max_field_bytes: usize) -> Self {
        let scanner = Scanner {
            pending,
            request: Request { is_head: false, is_upgrade: false },
            state: State::Idle,
            line: Vec::new(),
            field_bytes: 0,
            max_field_bytes,
        };
        Self { inner, scanner, has_surplus: false }
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Checked<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.has_surplus {
            let error = "another response that nothing asked for";
            return Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, error)));
        }
        let start = buffer.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(context, buffer))?;
        let read = buffer.filled().len() - start;
        match self.scanner.scan(&buffer.filled()[start..]) {
            Ok(length) => {
                self.has_surplus = length < read;
                buffer.set_filled(start + length);
                Poll::Ready(Ok(()))
            }
            Err(error) => {
                buffer.set_filled(start);
                Poll::Ready(Err(io::Error::new(ErrorKind::InvalidData, error)))
            }
        }
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Checked<T> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.inner).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(context)
    }
}
