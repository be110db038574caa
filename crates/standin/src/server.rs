//! The HTTP server of all stand-ins, which applies the faults of connections and calls.

use crate::control::apply_switch;
use crate::fault::{Faults, Loss, RunState, Switch};
use crate::socket::Gated;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use socket2::{Domain, Protocol, Socket, Type};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::OnceLock;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Runtime;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

/// Worker threads of the runtime: enough for a small fleet next to the tests that use it on the
/// same machine.
const WORKER_THREADS: usize = 3;

/// Delay before a switch is applied, so that its answer can be sent first.
const SWITCH_DELAY: Duration = Duration::from_millis(10);

/// Length of the accept queue. If a burst of hundreds of streams overflowed it, SYNs would be
/// dropped, and TCP retransmits a SYN only after a second.
const LISTEN_BACKLOG: i32 = 1_024;

/// Number of pieces of a streamed body that are buffered for a slow reader.
const MAX_BUFFERED_PIECES: usize = 64;

/// A call with its complete body.
#[derive(Clone, Debug)]
pub struct Call {
    /// The method.
    pub method: http::Method,
    /// The path, without the query.
    pub path: String,
    query: String,
    /// The headers.
    pub headers: http::HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Call {
    /// Returns the percent-decoded value of a query parameter; empty if it is absent.
    pub fn query(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| percent_decode(value)).unwrap_or_default()
    }

    /// Parses the body as JSON; returns the error reply if it is malformed.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| Reply::status(400, &e.to_string()))
    }

    /// Parses the body as JSON and returns the reply of `act`, or the error reply.
    pub(crate) fn answer_json<T: DeserializeOwned>(&self, act: impl FnOnce(T) -> Reply) -> Reply {
        match self.json() {
            Ok(body) => act(body),
            Err(reply) => reply,
        }
    }
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let Some((first, tail)) = rest.split_first() {
        rest = tail;
        let code = tail.get(..2).and_then(|two| std::str::from_utf8(two).ok());
        let code = code.and_then(|two| u8::from_str_radix(two, 16).ok());
        match (first, code) {
            (b'%', Some(code)) => {
                bytes.push(code);
                rest = &tail[2..];
            }
            _ => bytes.push(*first),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The body of a reply.
#[derive(Debug)]
pub enum Content {
    /// The complete body.
    Whole(Option<Bytes>),
    /// A body sent in pieces; the connection is cut if the sender is dropped before
    /// [`Piece::End`].
    Stream(mpsc::Receiver<Piece>),
}

/// A piece of a streamed body.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The connection was cut before the body was complete.
#[derive(Clone, Copy, Debug, derive_more::Display, derive_more::Error)]
#[display("cut")]
pub struct Cut;

impl Body for Content {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(pieces) => pieces.poll_recv(cx).map(|piece| match piece {
                Some(Piece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(Piece::End) => None,
                None => Some(Err(Cut)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }
}

/// The answer to a call.
#[derive(Debug)]
pub struct Reply {
    status: u16,
    content: Content,
    cut: bool,
}

impl Reply {
    /// Creates a reply with status 200 and a JSON document.
    pub fn json<T: Serialize>(value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(200, body.into())
    }

    /// Creates a reply with a status and a line of text.
    pub fn status(status: u16, text: &str) -> Self {
        Self::whole(status, Bytes::copy_from_slice(text.as_bytes()))
    }

    /// Creates a reply with status 200 and a streamed body, and the sender of its pieces.
    pub fn stream() -> (mpsc::Sender<Piece>, Self) {
        let (sender, receiver) = mpsc::channel(MAX_BUFFERED_PIECES);
        (sender, Self { status: 200, content: Content::Stream(receiver), cut: false })
    }

    /// Creates a reply that cuts the connection instead of answering.
    pub fn cut() -> Self {
        Self { status: 0, content: Content::Whole(None), cut: true }
    }

    fn whole(status: u16, body: Bytes) -> Self {
        Self { status, content: Content::Whole(Some(body)), cut: false }
    }

    /// Replaces the status.
    pub fn with_status(self, status: u16) -> Self {
        Self { status, ..self }
    }
}

/// The calls that a stand-in answers, and the faults that are specific to it.
pub trait Service: Clone + Send + Sync + 'static {
    /// Answers a call.
    fn call(&self, call: Call) -> impl Future<Output = Reply> + Send;

    /// Discards the memory of the process; called when the process dies and when it restarts as a
    /// new incarnation.
    fn reset(&self, _faults: &Faults) {}

    /// Applies a fault that is specific to this stand-in; returns `false` if it does not support
    /// the fault.
    fn switch(&self, _switch: &Switch) -> bool {
        false
    }
}

/// A running stand-in; stops when dropped.
#[derive(Debug)]
pub struct Handle<S> {
    address: SocketAddr,
    faults: Faults,
    service: S,
}

impl<S> Handle<S> {
    /// Returns the address on which the stand-in listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the fault switches.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// Returns the service itself, which bypasses the faults.
    pub fn service(&self) -> &S {
        &self.service
    }
}

impl<S> Drop for Handle<S> {
    fn drop(&mut self) {
        self.faults.stop();
    }
}

/// Returns the runtime that all stand-ins of the process share.
pub(crate) fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name("standin")
            .enable_all()
            .build()
            .expect("failed to start the runtime of the stand-ins")
    })
}

/// Listens on `listen` (port 0: any free port) and serves `service`.
pub fn spawn<S: Service>(listen: SocketAddr, service: S) -> std::io::Result<Handle<S>> {
    spawn_with(listen, service, Faults::none())
}

/// Like [`spawn`], with fault switches that the service already uses.
pub(crate) fn spawn_with<S: Service>(
    listen: SocketAddr,
    service: S,
    faults: Faults,
) -> std::io::Result<Handle<S>> {
    let _context = runtime().enter();
    let listener = bind(listen)?;
    let address = listener.local_addr()?;
    runtime().spawn(accept_connections(listener, address, service.clone(), faults.clone()));
    Ok(Handle { address, faults, service })
}

fn bind(listen: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(listen), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&listen.into())?;
    socket.listen(LISTEN_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

async fn accept_connections<S: Service>(
    listener: TcpListener,
    address: SocketAddr,
    service: S,
    faults: Faults,
) {
    let mut run_state = faults.run_state();
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let current = *run_state.borrow_and_update();
        match (current, &listener) {
            (RunState::Up, None) => {
                service.reset(&faults);
                listener = rebind(address).await;
            }
            (RunState::Down | RunState::Stopped, _) => {
                let was_up = listener.take().is_some();
                connections.shutdown().await;
                if was_up {
                    service.reset(&faults);
                }
            }
            (RunState::Up, Some(_)) => {}
        }
        faults.acknowledge(current);
        if current == RunState::Stopped {
            return;
        }
        match &listener {
            Some(listener) => {
                tokio::select! {
                    _ = run_state.changed() => {}
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        connections.spawn(serve_connection(stream, service.clone(), faults.clone()));
                    },
                    Some(_) = connections.join_next(), if !connections.is_empty() => {}
                }
            }
            None => {
                let _ = run_state.changed().await;
            }
        }
    }
}

/// Listens again on the port of the killed process.
async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    loop {
        match bind(address) {
            Ok(listener) => return Some(listener),
            // Another socket may use the port as the local port of a connection for some
            // milliseconds.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn serve_connection<S: Service>(stream: TcpStream, service: S, faults: Faults) {
    let number = faults.next_connection();
    let gated = Gated::open(stream, number, faults.clone());
    let handler = hyper::service::service_fn(|request| handle_request(request, &service, &faults));
    let connection = hyper::server::conn::http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(None)
        .half_close(false)
        .serve_connection(TokioIo::new(gated), handler);
    tokio::select! {
        _ = connection => {}
        () = faults.wait_cut(number) => {}
    }
}

async fn handle_request<S: Service>(
    request: http::Request<Incoming>,
    service: &S,
    faults: &Faults,
) -> Result<http::Response<Content>, Cut> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Cut)?.to_bytes();
    faults.wait_thawed().await;
    let path = parts.uri.path().to_owned();
    let query = parts.uri.query().unwrap_or_default().to_owned();
    let call = Call { method: parts.method, path, query, headers: parts.headers, body };
    if call.path == "/fault" {
        return Ok(respond(call.answer_json(|switch| schedule_switch(faults, service, switch))));
    }
    let delay = faults.delay();
    if !delay.is_zero() {
        tokio::time::sleep(delay).await;
    }
    let loss = faults.take_loss(&call.path);
    if loss == Some(Loss::Call) {
        return Err(Cut);
    }
    let reply = service.call(call).await;
    match loss {
        Some(Loss::Silence) => std::future::pending().await,
        Some(Loss::Answer) => Err(Cut),
        _ if reply.cut => Err(Cut),
        _ => Ok(respond(reply)),
    }
}

/// Applies a switch that was sent to the stand-in itself after a short delay, so that the answer
/// is sent before a kill or a freeze.
fn schedule_switch<S: Service>(faults: &Faults, service: &S, switch: Switch) -> Reply {
    let (faults, service) = (faults.clone(), service.clone());
    tokio::spawn(async move {
        tokio::time::sleep(SWITCH_DELAY).await;
        tokio::task::spawn_blocking(move || apply_switch(&faults, &service, &switch)).await
    });
    Reply::json(&()).with_status(202)
}

fn respond(reply: Reply) -> http::Response<Content> {
    let mut response = http::Response::new(reply.content);
    *response.status_mut() = http::StatusCode::from_u16(reply.status).unwrap_or_default();
    response
}
