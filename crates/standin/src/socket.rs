//! A connection of a stand-in that stops reading and writing while a fault blocks it.

use crate::fault::Faults;
use std::pin::Pin;
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A socket that does no I/O while its stand-in is frozen, and none at all once it is silenced.
pub(crate) struct Gated {
    stream: TcpStream,
    number: u64,
    faults: Faults,
}

impl Gated {
    /// Wraps the socket of connection `number`.
    pub(crate) fn open(stream: TcpStream, number: u64, faults: Faults) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, number, faults }
    }
}

impl AsyncRead for Gated {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        if self.faults.blocks_io(self.number, cx.waker()) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Gated {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        if self.faults.blocks_io(self.number, cx.waker()) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        if self.faults.blocks_io(self.number, cx.waker()) {
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
