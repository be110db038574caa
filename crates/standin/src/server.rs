//! The HTTP server that all stand-ins share, with the faults at its socket.

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

/// Threads of the runtime: enough for a small fleet beside the tests that use
/// it on the same machine.
const WORKER_THREADS: usize = 3;

/// Time for the answer to a switch to go out before it is applied.
const SWITCH_DELAY: Duration = Duration::from_millis(10);

/// Connections that wait to be accepted: a burst of hundreds of streams must
/// not meet the second that TCP takes to send a lost SYN again.
const LISTEN_BACKLOG: i32 = 1_024;

/// Pieces of a streamed body that wait for a slow reader.
const MAX_BUFFERED_PIECES: usize = 64;

/// A call, read whole.
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
    /// A value of the query, unescaped; empty where absent.
    pub fn query(&self, name: &str) -> String {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map(|(_, value)| unescape(value)).unwrap_or_default()
    }

    /// The body as JSON, or the reply to a body that is not.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, Reply> {
        serde_json::from_slice(&self.body).map_err(|e| Reply::status(400, &e.to_string()))
    }

    /// Answers with `act` on the body as JSON.
    pub(crate) fn answer_json<T: DeserializeOwned>(&self, act: impl FnOnce(T) -> Reply) -> Reply {
        match self.json() {
            Ok(body) => act(body),
            Err(reply) => reply,
        }
    }
}

fn unescape(text: &str) -> String {
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
    /// Known whole.
    Whole(Option<Bytes>),
    /// Sent piece by piece; cut when the sender is dropped without
    /// [`Piece::End`].
    Stream(mpsc::Receiver<Piece>),
}

/// A piece of a streamed body.
#[derive(Debug)]
pub enum Piece {
    /// Bytes.
    Data(Bytes),
    /// The body is whole.
    End,
}

/// A body that broke off.
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
    /// 200 with a JSON document.
    pub fn json<T: Serialize>(value: &T) -> Self {
        let body = serde_json::to_vec(value).unwrap_or_default();
        Self::whole(200, body.into())
    }

    /// A status with a line of text.
    pub fn status(status: u16, text: &str) -> Self {
        Self::whole(status, Bytes::copy_from_slice(text.as_bytes()))
    }

    /// 200 with a body that is sent piece by piece.
    pub fn stream() -> (mpsc::Sender<Piece>, Self) {
        let (send, receive) = mpsc::channel(MAX_BUFFERED_PIECES);
        (send, Self { status: 200, content: Content::Stream(receive), cut: false })
    }

    /// No answer: the connection is cut.
    pub fn cut() -> Self {
        Self { status: 0, content: Content::Whole(None), cut: true }
    }

    fn whole(status: u16, body: Bytes) -> Self {
        Self { status, content: Content::Whole(Some(body)), cut: false }
    }

    /// The same with another status.
    pub fn with_status(self, status: u16) -> Self {
        Self { status, ..self }
    }
}

/// What a stand-in does with a call.
pub trait Service: Clone + Send + Sync + 'static {
    /// Answers a call.
    fn call(&self, call: Call) -> impl Future<Output = Reply> + Send;

    /// Loses what the process held in memory: called when it dies, and when
    /// it starts again as a new incarnation.
    fn reset(&self, _faults: &Faults) {}

    /// Applies a fault that only this stand-in has; `false` where it has no
    /// such fault.
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
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The switches of its faults.
    pub fn faults(&self) -> &Faults {
        &self.faults
    }

    /// What it serves, past all faults.
    pub fn service(&self) -> &S {
        &self.service
    }
}

impl<S> Drop for Handle<S> {
    fn drop(&mut self) {
        self.faults.stop();
    }
}

/// The runtime of all stand-ins of the process.
pub(crate) fn runtime() -> &'static Runtime {
    static RUNTIME: OnceLock<Runtime> = OnceLock::new();
    RUNTIME.get_or_init(|| {
        tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKER_THREADS)
            .thread_name("standin")
            .enable_all()
            .build()
            .expect("threads and sockets for the stand-ins")
    })
}

/// Listens at `listen` (port 0: any) and serves.
pub fn spawn<S: Service>(listen: SocketAddr, service: S) -> std::io::Result<Handle<S>> {
    spawn_with(listen, service, Faults::none())
}

/// The same with switches made before.
pub(crate) fn spawn_with<S: Service>(
    listen: SocketAddr,
    service: S,
    faults: Faults,
) -> std::io::Result<Handle<S>> {
    let _context = runtime().enter();
    let listener = bind(listen)?;
    let address = listener.local_addr()?;
    runtime().spawn(run(listener, address, service.clone(), faults.clone()));
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

async fn run<S: Service>(listener: TcpListener, address: SocketAddr, service: S, faults: Faults) {
    let mut run_state = faults.run_state();
    let mut listener = Some(listener);
    let mut connections = JoinSet::new();
    loop {
        let now = *run_state.borrow_and_update();
        match (now, &listener) {
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
        faults.acknowledge(now);
        if now == RunState::Stopped {
            return;
        }
        match &listener {
            Some(listener) => {
                tokio::select! {
                    _ = run_state.changed() => {}
                    accepted = listener.accept() => if let Ok((stream, _)) = accepted {
                        connections.spawn(serve(stream, service.clone(), faults.clone()));
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

/// Listens again on the port of the dead process.
async fn rebind(address: SocketAddr) -> Option<TcpListener> {
    loop {
        match bind(address) {
            Ok(listener) => return Some(listener),
            // Another socket may hold the port as its own end of a connection
            // for a moment; it is given back within milliseconds.
            Err(_) => tokio::time::sleep(Duration::from_millis(5)).await,
        }
    }
}

async fn serve<S: Service>(stream: TcpStream, service: S, faults: Faults) {
    let number = faults.next_connection();
    let gated = Gated::open(stream, number, faults.clone());
    let handler = hyper::service::service_fn(|request| handle(request, &service, &faults));
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

async fn handle<S: Service>(
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

/// Applies a switch that came to the stand-in itself, a moment later, so that
/// the answer is out before a kill or a freeze.
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
