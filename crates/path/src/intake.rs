//! Listening: callers, the platform's question whether the node is ready,
//! callers who ask where to connect, and peers that fetch items.

use crate::config::Limits;
use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::reply::{self, Reply};
use crate::settings::Settings;
use crate::{entry, serve, sync_server};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::watch;

/// How long sent bytes may stay without an acknowledgement before the kernel
/// closes a caller's connection: what lies between may have forgotten it.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// The least buffer that hyper takes for a request's head.
const BUFFER_LEAST: usize = 8 << 10;

/// How long a connection for control may be idle.
const CONTROL_IDLE: Duration = Duration::from_secs(5);

/// The kernel's buffer of what is sent to a peer. A larger one takes a whole
/// document at once, and the node would not know what its link has carried.
const SYNC_BUFFER: usize = 32 << 10;

/// A pause after a failed accept: out of descriptors, most likely.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// The listening sockets of a node.
#[derive(Debug)]
pub struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    sync: TcpListener,
    metrics: Option<TcpListener>,
    pub(crate) peers: Arc<UdpSocket>,
}

impl Sockets {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// An address that can't be bound.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        let sync = TcpListener::bind(settings.sync).await?;
        Self::bind_with(settings, sync, UdpSocket::bind(settings.peers).await?).await
    }

    /// Binds the addresses of the settings, and listens for peers at other
    /// sockets than those that they are told of: what stands before a host's
    /// address, as a stand-in of its link does, listens there.
    ///
    /// # Errors
    ///
    /// An address that can't be bound.
    pub async fn bind_with(
        settings: &Settings,
        sync: TcpListener,
        peers: UdpSocket,
    ) -> io::Result<Self> {
        let metrics = match settings.metrics {
            Some(address) => Some(TcpListener::bind(address).await?),
            None => None,
        };
        Ok(Self {
            metrics,
            callers: TcpListener::bind(settings.callers).await?,
            ready: TcpListener::bind(settings.ready).await?,
            directory: TcpListener::bind(settings.directory).await?,
            sync,
            peers: Arc::new(peers),
        })
    }
}

/// Starts listening.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>, sockets: Sockets) {
    let limits = |core: &Core<D, S, C>| {
        core.view().configuration.as_ref().map_or_else(Limits::default, |c| c.limits)
    };
    let control = |_: &Core<D, S, C>| Limits { idle_timeout: CONTROL_IDLE, ..Limits::default() };
    tokio::spawn(accept(core.clone(), sockets.callers, limits, serve::serve));
    tokio::spawn(accept(core.clone(), sockets.ready, control, answer_ready));
    tokio::spawn(accept(core.clone(), sockets.directory, control, answer_directory));
    // Inherited by the connections of peers.
    if let Err(error) = socket2::SockRef::from(&sockets.sync).set_send_buffer_size(SYNC_BUFFER) {
        log::warn!("send buffer for peers: {error}");
    }
    tokio::spawn(accept(core.clone(), sockets.sync, control, answer_sync));
    if let Some(metrics) = sockets.metrics {
        tokio::spawn(accept(core.clone(), metrics, control, answer_metrics));
    }
}

async fn accept<D, S, C, A, F>(
    core: Arc<Core<D, S, C>>,
    listener: TcpListener,
    limits: impl Fn(&Core<D, S, C>) -> Limits + Send + 'static,
    answer: A,
) where
    D: Dialect,
    S: Store,
    C: Clock,
    A: Fn(Arc<Core<D, S, C>>, Request<Incoming>) -> F + Copy + Send + Sync + 'static,
    F: Future<Output = Response<Reply>> + Send + 'static,
{
    let mut stage = core.stage.subscribe();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let limits = limits(&core);
                    tokio::spawn(serve_connection(core.clone(), stream, limits, answer));
                }
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
            () = wait_closed(&mut stage) => return,
        }
    }
}

async fn wait_closed(stage: &mut watch::Receiver<Stage>) {
    // The sender lives as long as the node.
    let _ = stage.wait_for(|stage| *stage == Stage::Closed).await;
}

async fn serve_connection<D, S, C, A, F>(
    core: Arc<Core<D, S, C>>,
    stream: TcpStream,
    limits: Limits,
    answer: A,
) where
    D: Dialect,
    S: Store,
    C: Clock,
    A: Fn(Arc<Core<D, S, C>>, Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Reply>> + Send + 'static,
{
    // Both fail only where the connection is closed already.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let mut stage = core.stage.subscribe();
    let service = service_fn(|request| {
        let (core, answered) = (core.clone(), answer(core.clone(), request));
        async move {
            let mut response = answered.await;
            if core.stage() != Stage::Serving {
                // Makes a caller with a kept connection ask again where to go.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size((limits.max_header.0 as usize * 2).max(BUFFER_LEAST))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // An error is the caller's going away.
        _ = connection.as_mut() => return,
        () = wait_closed(&mut stage) => {}
    }
    connection.as_mut().graceful_shutdown();
    let _ = connection.await;
}

async fn answer_ready<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    _: Request<Incoming>,
) -> Response<Reply> {
    let status = if core.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    reply::plain(status, "")
}

async fn answer_directory<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    _: Request<Incoming>,
) -> Response<Reply> {
    match entry::answer(&core) {
        Some(body) => reply::json(StatusCode::OK, body),
        None => reply::plain(StatusCode::SERVICE_UNAVAILABLE, "no node takes callers"),
    }
}

async fn answer_metrics<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    _: Request<Incoming>,
) -> Response<Reply> {
    core.metrics.peers(core.count_peers());
    core.metrics.suspects(core.suspects().len());
    reply::plain(StatusCode::OK, &core.metrics.render())
}

async fn answer_sync<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    request: Request<Incoming>,
) -> Response<Reply> {
    sync_server::answer(&core, request.uri())
}
