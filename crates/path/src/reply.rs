//! Answers to callers.

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

/// A stream that ended before its last event. The connection is closed on it,
/// so that what the caller has does not look complete.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
#[display("the stream broke off")]
pub struct Broken;

impl std::error::Error for Broken {}

/// Pieces of a value, each with its length before it. They are written as the
/// connection takes them, so that a large value is not copied as a whole for
/// each peer that asks for it.
#[derive(Debug)]
pub struct Pieces {
    value: Arc<ChunkedValue>,
    left: VecDeque<chunk::Id>,
    /// Bytes that the connection has not taken yet.
    unsent: watch::Sender<size::Bytes>,
}

impl Pieces {
    /// Those of the named pieces that the value has, each once.
    pub(crate) fn of(value: Arc<ChunkedValue>, pieces: &[chunk::Id]) -> Self {
        let mut named = HashSet::new();
        let is_wanted = |id: &chunk::Id| value.chunk(*id).is_some() && named.insert(*id);
        let left: VecDeque<_> = pieces.iter().copied().filter(is_wanted).collect();
        let sizes = left.iter().filter_map(|id| value.chunk(*id)).map(|piece| piece.len() as u64);
        let unsent = watch::channel(size::Bytes(sizes.sum())).0;
        Self { value, left, unsent }
    }

    /// Their number.
    pub(crate) fn len(&self) -> usize {
        self.left.len()
    }

    /// The bytes that are still to be sent, until the answer ends.
    pub(crate) fn unsent(&self) -> watch::Receiver<size::Bytes> {
        self.unsent.subscribe()
    }

    fn next(&mut self) -> Option<Result<Bytes, Broken>> {
        let piece = self.value.chunk(self.left.pop_front()?)?;
        let size = size::Bytes(piece.len() as u64);
        self.unsent.send_modify(|unsent| *unsent = unsent.saturating_sub(size));
        let mut frame = BytesMut::new();
        let written = LengthDelimitedCodec::new().encode(Bytes::copy_from_slice(piece), &mut frame);
        Some(written.map(|()| frame.freeze()).map_err(|_| Broken))
    }
}

/// The body of an answer.
#[derive(Debug)]
pub enum Reply {
    /// A whole body.
    Whole(Full<Bytes>),
    /// A stream.
    Events(mpsc::Receiver<Result<Bytes, Broken>>),
    /// Pieces of a value, for a peer.
    Pieces(Pieces),
}

impl Body for Reply {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(body) => {
                let frame = ready!(Pin::new(body).poll_frame(cx));
                Poll::Ready(frame.map(|frame| frame.map_err(|never| match never {})))
            }
            Self::Events(events) => {
                let event = ready!(events.poll_recv(cx));
                Poll::Ready(event.map(|event| event.map(Frame::data)))
            }
            Self::Pieces(pieces) => Poll::Ready(pieces.next().map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Events(_) | Self::Pieces(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Events(_) | Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// A whole answer with a head of a target's.
pub(crate) fn whole(head: http::response::Parts, body: Bytes) -> Response<Reply> {
    Response::from_parts(head, Reply::Whole(Full::new(body)))
}

/// An answer of plain text.
pub(crate) fn plain(status: StatusCode, text: &str) -> Response<Reply> {
    let body = Bytes::copy_from_slice(text.as_bytes());
    let mut response = Response::new(Reply::Whole(Full::new(body)));
    *response.status_mut() = status;
    response
}

/// An answer in JSON.
pub(crate) fn json(status: StatusCode, body: String) -> Response<Reply> {
    let mut response = Response::new(Reply::Whole(Full::new(body.into())));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Tells the caller when to come back.
pub(crate) fn set_retry_after(response: &mut Response<Reply>, time: Duration) {
    let text = format!("{:.2}", time.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&text) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}
