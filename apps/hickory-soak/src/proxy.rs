//! A loopback proxy that can delay, reset or silence its connections.

use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// How the proxy handles the bytes of its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Mode {
    /// Forwards them.
    Pass,
    /// Delays each read.
    Delay(Duration),
    /// Resets every connection, including new ones.
    Reset,
    /// Forwards nothing in either direction; connections stay open.
    Silence,
    /// Forwards outgoing bytes but nothing in return.
    OneWay,
}

/// A running proxy.
#[derive(Clone, Debug)]
pub(crate) struct Proxy {
    pub(crate) address: SocketAddr,
    mode: watch::Sender<Mode>,
    /// The modes since the start, each with its begin.
    history: Arc<Mutex<Vec<(Instant, Mode)>>>,
}

impl Proxy {
    /// Listens on a free port of `at` and forwards connections to `to`.
    pub(crate) async fn spawn(at: IpAddr, to: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((at, 0)).await?;
        let (mode, seen) = watch::channel(Mode::Pass);
        let address = listener.local_addr()?;
        tokio::spawn(async move {
            while let Ok((near, _)) = listener.accept().await {
                tokio::spawn(serve(near, to, seen.clone()));
            }
        });
        Ok(Self { address, mode, history: Arc::default() })
    }

    pub(crate) fn set(&self, mode: Mode) {
        self.history().push((Instant::now(), mode));
        self.mode.send_replace(mode);
    }

    /// Returns whether bytes were held up or lost at any time in the interval.
    pub(crate) fn was_disturbed(&self, from: Instant, to: Instant) -> bool {
        let history = self.history();
        let ends = history.iter().skip(1).map(|(at, _)| Some(*at)).chain([None]);
        let mut modes = history.iter().zip(ends);
        modes.any(|((begin, mode), end)| {
            *mode != Mode::Pass && *begin <= to && end.is_none_or(|end| end >= from)
        })
    }

    fn history(&self) -> MutexGuard<'_, Vec<(Instant, Mode)>> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn serve(near: TcpStream, to: SocketAddr, mode: watch::Receiver<Mode>) {
    if *mode.borrow() == Mode::Reset {
        return reset(&near);
    }
    let Ok(far) = TcpStream::connect(to).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let mut watched = mode.clone();
    let (near_socket, far_socket) = (socket2::SockRef::from(&near), socket2::SockRef::from(&far));
    // Duplicated sockets allow a reset while both directions are being copied.
    let (Ok(near_duplicate), Ok(far_duplicate)) = (near_socket.try_clone(), far_socket.try_clone())
    else {
        return;
    };
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let out = copy(near_read, far_write, mode.clone(), true);
    let back = copy(far_read, near_write, mode, false);
    tokio::select! {
        // A direction ends when its sender closes; the connection ends with both.
        _ = async { tokio::join!(out, back) } => {}
        _ = watched.wait_for(|mode| *mode == Mode::Reset) => {
            for duplicate in [&near_duplicate, &far_duplicate] {
                let _ = duplicate.set_linger(Some(Duration::ZERO));
            }
        }
    }
}

fn reset(stream: &TcpStream) {
    // This fails only if the connection is already closed.
    let _ = socket2::SockRef::from(stream).set_linger(Some(Duration::ZERO));
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    mut mode: watch::Receiver<Mode>,
    is_outgoing: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let read = match from.read(&mut buffer).await {
            Ok(read) if read > 0 => read,
            _ => break,
        };
        let passes = |mode: &Mode| match mode {
            Mode::Pass | Mode::Delay(_) | Mode::Reset => true,
            Mode::OneWay => is_outgoing,
            Mode::Silence => false,
        };
        let now = *mode.borrow();
        if let Mode::Delay(time) = now {
            tokio::time::sleep(time).await;
        }
        if mode.wait_for(passes).await.is_err() || to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
    // The receiver may already be gone.
    let _ = to.shutdown().await;
}
