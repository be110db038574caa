//! The encoding of a connection that a relay forwards, which states the regular end of its bytes.
//!
//! The kernel closes the connections of a process that ends in the regular way, whatever was still
//! to be sent. A response that ends with its connection is therefore complete only if the relay
//! states the end.
//!
//! Bytes pass as they are, except that [`ESCAPE`] begins a block: two bytes give its length, and
//! that many bytes follow, among which [`ESCAPE`] has no meaning. An empty block is the end. Text
//! contains no [`ESCAPE`], so short events have no overhead.
//!
//! A relay that has had nothing to forward for [`HEARTBEAT_INTERVAL`] sends a heartbeat, encoded as a
//! length that no block has. It distinguishes a silent target from a relay that is frozen or
//! unreachable.

use std::future::Future;
use std::io::{self, ErrorKind, IoSlice};
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::{Instant, Sleep};

/// The byte that begins a block. It occurs in no UTF-8 text.
const ESCAPE: u8 = 0xff;

/// The length of the head of a block.
const HEAD_BYTES: usize = 3;

/// The most bytes that a relay reads and forwards at once, which the length of a block can state.
const MAX_BLOCK_BYTES: usize = 8 << 10;

/// The end of a connection.
pub const END: [u8; HEAD_BYTES] = [ESCAPE, 0, 0];

/// The length that encodes a heartbeat.
const HEARTBEAT_LENGTH: u16 = u16::MAX;

/// What a relay sends when it has nothing to forward.
pub const HEARTBEAT: [u8; HEAD_BYTES] = [ESCAPE, 0xff, 0xff];

/// The time without forwarded bytes after which a relay sends a heartbeat.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(300);

/// The time without any byte after which a relay counts as gone: three heartbeats, one of which may be
/// lost and sent again.
const MAX_SILENCE: Duration = Duration::from_millis(1_000);

/// No byte has come from the relay for too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, derive_more::Display, derive_more::Error)]
#[display("no byte from the relay for {} ms", MAX_SILENCE.as_millis())]
pub struct Silence;

/// A buffer of a relay, with room for the head of a block.
#[derive(Debug)]
pub struct Buffer(Box<[u8; HEAD_BYTES + MAX_BLOCK_BYTES]>);

impl Default for Buffer {
    fn default() -> Self {
        Self(Box::new([0; HEAD_BYTES + MAX_BLOCK_BYTES]))
    }
}

impl Buffer {
    /// Returns the part to read bytes into.
    pub fn data(&mut self) -> &mut [u8] {
        &mut self.0[HEAD_BYTES..]
    }

    /// Returns the encoding of the first `length` bytes of the data.
    pub fn encode(&mut self, length: usize) -> &[u8] {
        let encoded = &mut self.0[..HEAD_BYTES + length];
        if memchr::memchr(ESCAPE, &encoded[HEAD_BYTES..]).is_none() {
            return &encoded[HEAD_BYTES..];
        }
        let [high, low] = (length as u16).to_be_bytes();
        encoded[..HEAD_BYTES].copy_from_slice(&[ESCAPE, high, low]);
        encoded
    }
}

/// What the next byte from a relay is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Data, or the begin of a block.
    Plain,
    /// The first byte of a block's length.
    Length,
    /// The second byte of a block's length, of which the first is known.
    LengthAfter(u8),
    /// Data within a block of which so many bytes are left.
    Block(u16),
    /// Nothing: the end was stated.
    Ended,
}

/// A connection to a relay, whose bytes are decoded as they are read. It ends with an error unless
/// the relay stated the end, and with [`Silence`] if the relay falls silent.
#[derive(Debug)]
pub struct Tunnel<T> {
    inner: T,
    state: State,
    /// When bytes last arrived.
    heard_at: Instant,
    /// Wakes the reader when the relay may have been silent for too long.
    timer: Pin<Box<Sleep>>,
}

impl<T> Tunnel<T> {
    /// Decodes what is read from `inner`.
    pub fn new(inner: T) -> Self {
        let (heard_at, timer) = (Instant::now(), Box::pin(tokio::time::sleep(MAX_SILENCE)));
        Self { inner, state: State::Plain, heard_at, timer }
    }

    /// Waits until the relay has been silent for too long.
    fn poll_silence(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.timer.as_mut().poll(context));
            let limit = self.heard_at + MAX_SILENCE;
            if Instant::now() >= limit {
                return Poll::Ready(());
            }
            self.timer.as_mut().reset(limit);
        }
    }

    /// Decodes bytes in place. Returns the length of the data, which is then at their begin.
    fn decode(&mut self, bytes: &mut [u8]) -> usize {
        let (mut read, mut written) = (0, 0);
        while let Some(&byte) = bytes.get(read) {
            let rest = &bytes[read..];
            let length = match self.state {
                State::Plain => memchr::memchr(ESCAPE, rest).unwrap_or(rest.len()),
                State::Block(left) => rest.len().min(left.into()),
                State::Length | State::LengthAfter(_) => 0,
                State::Ended => break,
            };
            if read != written {
                bytes.copy_within(read..read + length, written);
            }
            (read, written) = (read + length, written + length);
            self.state = match self.state {
                State::Plain if length == 0 => State::Length,
                State::Length => State::LengthAfter(byte),
                State::LengthAfter(high) => match u16::from_be_bytes([high, byte]) {
                    0 => State::Ended,
                    HEARTBEAT_LENGTH => State::Plain,
                    length => State::Block(length),
                },
                State::Block(left) if usize::from(left) > length => {
                    State::Block(left - length as u16)
                }
                State::Plain | State::Block(_) | State::Ended => State::Plain,
            };
            read += usize::from(length == 0);
        }
        written
    }
}

impl<T: AsyncRead + Unpin> AsyncRead for Tunnel<T> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let start = buffer.filled().len();
        while self.state != State::Ended && buffer.remaining() > 0 {
            if Pin::new(&mut self.inner).poll_read(context, buffer)?.is_pending() {
                ready!(self.poll_silence(context));
                return Poll::Ready(Err(io::Error::new(ErrorKind::TimedOut, Silence)));
            }
            self.heard_at = Instant::now();
            if buffer.filled().len() == start {
                let error = "the relay closed the connection before its end";
                return Poll::Ready(Err(io::Error::new(ErrorKind::ConnectionAborted, error)));
            }
            let length = self.decode(&mut buffer.filled_mut()[start..]);
            buffer.set_filled(start + length);
            if length > 0 {
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl<T: AsyncWrite + Unpin> AsyncWrite for Tunnel<T> {
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
