//! Responses to callers and peers.

use crate::body::Blocks;
use crate::chunk::{self, ChunkedValue};
use bytes::{Bytes, BytesMut};
use hickory_unit::size;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use std::collections::{HashSet, VecDeque};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio_util::codec::{Encoder, LengthDelimitedCodec};

/// A stream that ended before its last event. The connection is closed with this error, so that the
/// caller can't mistake the stream for complete.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
#[display("the stream ended before its last event")]
pub struct Interrupted;

impl std::error::Error for Interrupted {}

/// A part of a stream of events.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Part {
    /// Complete events.
    Events(Bytes),
    /// The regular end. A stream whose sender is dropped without it was interrupted.
    End,
}

/// Length-prefixed chunks of a value. Each is encoded only when the connection is ready for it, so
/// that a large value isn't copied as a whole for each peer that requests it.
#[derive(Debug)]
pub struct Chunks {
    value: Arc<ChunkedValue>,
    remaining: VecDeque<chunk::Id>,
    /// Bytes that the connection hasn't accepted yet.
    unsent: watch::Sender<size::Bytes>,
}

impl Chunks {
    /// Selects those of the requested chunks that the value has, without duplicates.
    pub(crate) fn new(value: Arc<ChunkedValue>, chunks: &[chunk::Id]) -> Self {
        let mut requested = HashSet::new();
        let is_wanted = |id: &chunk::Id| value.chunk(*id).is_some() && requested.insert(*id);
        let remaining: VecDeque<_> = chunks.iter().copied().filter(is_wanted).collect();
        let sizes =
            remaining.iter().filter_map(|id| value.chunk(*id)).map(|chunk| chunk.len() as u64);
        let unsent = watch::channel(size::Bytes(sizes.sum())).0;
        Self { value, remaining, unsent }
    }

    /// Returns the number of remaining chunks.
    pub(crate) fn len(&self) -> usize {
        self.remaining.len()
    }

    /// Returns a watch on the bytes that are still to be sent; it closes when the response ends.
    pub(crate) fn unsent(&self) -> watch::Receiver<size::Bytes> {
        self.unsent.subscribe()
    }

    fn next(&mut self) -> Option<Result<Bytes, Interrupted>> {
        let chunk = self.value.chunk(self.remaining.pop_front()?)?;
        let size = size::Bytes(chunk.len() as u64);
        self.unsent.send_modify(|unsent| *unsent = unsent.saturating_sub(size));
        let mut frame = BytesMut::new();
        let written = LengthDelimitedCodec::new().encode(Bytes::copy_from_slice(chunk), &mut frame);
        Some(written.map(|()| frame.freeze()).map_err(|_| Interrupted))
    }
}

/// The body of a response.
#[derive(Debug)]
pub enum Reply {
    /// A complete body.
    Whole(Full<Bytes>),
    /// A stream of events.
    Events(mpsc::Receiver<Part>),
    /// Chunks of a value, for a peer.
    Chunks(Chunks),
    /// A complete body of a target.
    Blocks(Blocks),
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Interrupted;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Interrupted>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Events(events) => Poll::Ready(match ready!(events.poll_recv(cx)) {
                Some(Part::Events(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Part::End) => None,
                None => Some(Err(Interrupted)),
            }),
            Self::Chunks(chunks) => Poll::Ready(chunks.next().map(|chunk| chunk.map(Frame::data))),
            Self::Blocks(blocks) => {
                Poll::Ready(blocks.pop_front().map(|block| Ok(Frame::data(block))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Events(_) | Self::Chunks(_) => false,
            Self::Blocks(blocks) => blocks.is_empty(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events(_) | Self::Chunks(_) => SizeHint::default(),
            Self::Blocks(blocks) => SizeHint::with_exact(blocks.len()),
        }
    }
}

/// Builds a response from a target's response head and complete body.
pub(crate) fn with_head(head: http::response::Parts, body: Blocks) -> Response<Reply> {
    Response::from_parts(head, Reply::Blocks(body))
}

/// Builds a plain text response.
pub(crate) fn plain(status: StatusCode, text: &str) -> Response<Reply> {
    let body = Bytes::copy_from_slice(text.as_bytes());
    let mut response = Response::new(Reply::Whole(Full::new(body)));
    *response.status_mut() = status;
    response
}

/// Builds a JSON response.
pub(crate) fn json(status: StatusCode, body: String) -> Response<Reply> {
    let mut response = Response::new(Reply::Whole(Full::new(body.into())));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Sets the response's Retry-After header.
pub(crate) fn set_retry_after(response: &mut Response<Reply>, time: Duration) {
    let text = format!("{:.2}", time.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&text) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
