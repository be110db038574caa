//! Listeners for callers, the platform's readiness check, directory requests, metrics and peers
//! that fetch items.

use crate::config::Limits;
use crate::core::{Core, OpenConnection, Stage};
use crate::dialect::Dialect;
use crate::holding::Holder;
use crate::relay::{self, RELAY_PATH};
use crate::reply::{self, Reply};
use crate::settings::Settings;
use crate::{directory, serve, supervisor, sync_server};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use std::collections::HashMap;
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream, UdpSocket};

/// How long sent bytes may stay unacknowledged before the kernel closes a caller's connection. A
/// middlebox may have dropped the connection's state without notice.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(5);

/// The minimum buffer size that hyper accepts for a request's head.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// The idle timeout of control connections.
const CONTROL_IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// The kernel's send buffer for a peer connection. A larger buffer accepts a whole document at
/// once, and the node couldn't tell how much the link has carried.
const PEER_SEND_BUFFER_BYTES: usize = 32 << 10;

/// The pause after a failed accept, which is most likely due to a lack of file descriptors.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// How long the refusal of a request may take to be written to a connection that holds too much.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// The listening sockets of a node.
#[derive(Debug)]
pub struct Sockets {
    callers: TcpListener,
    ready: TcpListener,
    directory: TcpListener,
    sync: TcpListener,
    metrics: Option<TcpListener>,
    pub(crate) peers: Arc<UdpSocket>,
    pub(crate) target_links: HashMap<SocketAddr, SocketAddr>,
}

impl Sockets {
    /// Binds the addresses of the settings.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
    pub async fn bind(settings: &Settings) -> io::Result<Self> {
        let sync = TcpListener::bind(settings.sync).await?;
        Self::bind_with(settings, sync, UdpSocket::bind(settings.peers).await?).await
    }

    /// Binds the addresses of the settings, except that it listens for peers on the given sockets.
    /// These may differ from the advertised addresses if a proxy, such as an emulated link, listens
    /// there.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound.
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
            target_links: HashMap::new(),
        })
    }

    /// Connects to targets at other addresses than the advertised ones, at which emulated links
    /// listen.
    #[must_use]
    pub fn with_target_links(self, target_links: HashMap<SocketAddr, SocketAddr>) -> Self {
        Self { target_links, ..self }
    }
}

/// Starts all listeners.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(core: &Arc<Core<D, S, C>>, sockets: Sockets) {
    let limits = |core: &Core<D, S, C>| {
        core.view().configuration.as_ref().map_or_else(Limits::default, |c| c.limits)
    };
    let control =
        |_: &Core<D, S, C>| Limits { idle_timeout: CONTROL_IDLE_TIMEOUT, ..Limits::default() };
    supervisor::spawn(
        core,
        "listener for callers",
        accept(core.clone(), sockets.callers, limits, serve::serve),
    );
    supervisor::spawn(
        core,
        "listener for readiness",
        accept(core.clone(), sockets.ready, control, answer_ready),
    );
    supervisor::spawn(
        core,
        "listener for directory",
        accept(core.clone(), sockets.directory, control, answer_directory),
    );
    // The accepted connections inherit this option.
    if let Err(error) =
        socket2::SockRef::from(&sockets.sync).set_send_buffer_size(PEER_SEND_BUFFER_BYTES)
    {
        log::warn!("send buffer of peer connections can't be set: {error}");
    }
    supervisor::spawn(
        core,
        "listener for peers",
        accept(core.clone(), sockets.sync, control, answer_sync),
    );
    if let Some(metrics) = sockets.metrics {
        supervisor::spawn(
            core,
            "listener for metrics",
            accept(core.clone(), metrics, control, answer_metrics),
        );
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
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    let (limits, open) = (limits(&core), OpenConnection::begin(&core));
                    tokio::spawn(serve_connection(core.clone(), stream, limits, answer, open));
                }
                Err(error) => {
                    log::warn!("accept failed: {error}");
                    tokio::time::sleep(ACCEPT_RETRY_INTERVAL).await;
                }
            },
            () = core.wait_for_stage(Stage::Closing) => return,
        }
    }
}

async fn serve_connection<D, S, C, A, F>(
    core: Arc<Core<D, S, C>>,
    stream: TcpStream,
    limits: Limits,
    answer: A,
    _open: OpenConnection<D, S, C>,
) where
    D: Dialect,
    S: Store,
    C: Clock,
    A: Fn(Arc<Core<D, S, C>>, Request<Incoming>) -> F + Send + Sync + 'static,
    F: Future<Output = Response<Reply>> + Send + 'static,
{
    // Both calls fail only if the connection is closed already.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT));
    let closing = core.clone();
    let holder = Holder::open(&core.holdings);
    let service = service_fn(|mut request: Request<Incoming>| {
        let holder = holder.clone();
        holder.set_answering(false);
        request.extensions_mut().insert(holder.clone());
        let (core, response_future) = (core.clone(), answer(core.clone(), request));
        async move {
            let mut response = response_future.await;
            holder.set_answering(true);
            if core.stage() != Stage::Serving || holder.is_chosen() {
                // Makes a caller with a persistent connection query the directory again.
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size((limits.max_header.0 as usize * 2).max(MIN_HEAD_BUFFER_BYTES))
        .serve_connection(TokioIo::new(stream), service)
        .with_upgrades();
    let mut connection = std::pin::pin!(connection);
    tokio::select! {
        // An error means that the caller closed the connection.
        _ = connection.as_mut() => return,
        () = closing.wait_for_stage(Stage::Closing) => {}
        () = holder.chosen() => {
            if !holder.is_answering() {
                // The request is being refused. An error means that this takes too long, and then
                // the connection is closed as well.
                let _ = tokio::time::timeout(REFUSAL_TIMEOUT, connection).await;
            }
            return;
        }
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
    match directory::render(&core) {
        Some(body) => reply::json(StatusCode::OK, body),
        None => reply::plain(StatusCode::SERVICE_UNAVAILABLE, "no node takes callers"),
    }
}

async fn answer_metrics<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    _: Request<Incoming>,
) -> Response<Reply> {
    core.metrics.set_connected_peers(core.count_peers());
    core.metrics.set_suspects(core.parts().count_suspects());
    reply::plain(StatusCode::OK, &core.metrics.render())
}

async fn answer_sync<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    request: Request<Incoming>,
) -> Response<Reply> {
    match request.uri().path() {
        RELAY_PATH => relay::answer(core, request).await,
        _ => sync_server::answer(&core, request.uri()),
    }
}
