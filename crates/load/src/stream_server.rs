//! Compares the latency of streamed answers from the HTTP servers of oxhttp and
//! hyper.
//!
//! Both serve the same token source on loopback and are read through a plain
//! socket, so that only the server differs.

use bytes::Bytes;
use eyre::{Context, ContextCompat, Result, bail};
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

/// Number of ports tried for oxhttp's server, which binds the port itself and can't
/// report one that the system has assigned.
const BIND_ATTEMPTS: u32 = 8;

/// Generates the tokens of one answer. It is called on a dedicated thread and may
/// block.
pub trait Source: Send + 'static {
    /// Returns the next token, or `None` at the end.
    fn next_token(&mut self) -> Option<Bytes>;
}

/// A source that generates `count` tokens at intervals of `gap`.
#[derive(Clone, Copy, Debug)]
pub struct Ticker {
    /// Number of tokens left.
    pub count: u32,
    /// Delay before each token.
    pub gap: Duration,
}

impl Source for Ticker {
    fn next_token(&mut self) -> Option<Bytes> {
        self.count = self.count.checked_sub(1)?;
        thread::sleep(self.gap);
        Some(Bytes::from_static(b"data: token\n\n"))
    }
}

/// The HTTP server under test.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Server {
    /// oxhttp's blocking server.
    Oxhttp,
    /// hyper's HTTP/1.1 server.
    Hyper,
}

/// When the bytes of one answer arrived, relative to the time of the request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Arrival {
    /// The server.
    pub server: Server,
    /// The first byte of the response head, in milliseconds.
    pub first_byte_ms: f64,
    /// The first byte of the body, in milliseconds.
    pub first_token_ms: f64,
    /// The end of the body, in milliseconds.
    pub end_ms: f64,
    /// Number of socket reads that returned data.
    pub reads: usize,
}

/// Measures both servers with `count` tokens at intervals of `gap`.
pub fn measure_servers(count: u32, gap: Duration) -> Result<Vec<Arrival>> {
    [Server::Oxhttp, Server::Hyper]
        .into_iter()
        .map(|server| {
            let address = spawn_server(server, Ticker { count, gap })?;
            measure_answer(server, address)
        })
        .collect()
}

/// Starts a server that answers one request from `source`.
///
/// oxhttp's server can't be stopped, so its listener stays open as long as the
/// process runs; hyper's server ends with its connection.
pub fn spawn_server(server: Server, source: impl Source) -> Result<SocketAddr> {
    match server {
        Server::Oxhttp => spawn_oxhttp(source),
        Server::Hyper => spawn_hyper(source),
    }
}

/// Sends a request and reads until the server closes the connection. After each read,
/// calls `on_read` with all bytes of the response so far, including its head.
pub fn read_answer(address: SocketAddr, mut on_read: impl FnMut(&[u8])) -> Result<()> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.write_all(b"GET / HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n")?;
    let mut answer = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk)? {
            0 => return Ok(()),
            read => answer.extend_from_slice(&chunk[..read]),
        }
        on_read(&answer);
    }
}

/// Returns the bytes after the head of an HTTP response.
pub fn split_body(answer: &[u8]) -> &[u8] {
    let head = answer.windows(4).position(|four| four == b"\r\n\r\n");
    head.map_or(&[], |head| &answer[head + 4..])
}

fn measure_answer(server: Server, address: SocketAddr) -> Result<Arrival> {
    let start = Instant::now();
    let passed = || start.elapsed().as_secs_f64() * 1e3;
    let mut first_byte_ms = None;
    let mut first_token_ms = None;
    let mut reads = 0;
    read_answer(address, |answer| {
        reads += 1;
        first_byte_ms.get_or_insert_with(passed);
        if !split_body(answer).is_empty() {
            first_token_ms.get_or_insert_with(passed);
        }
    })?;
    let first_byte_ms =
        first_byte_ms.context("the server closed the connection without sending a response")?;
    let first_token_ms = first_token_ms.context("the server sent a response without a body")?;
    Ok(Arrival { server, first_byte_ms, first_token_ms, end_ms: passed(), reads })
}

struct SourceReader<S>(S, Bytes);

impl<S: Source> Read for SourceReader<S> {
    fn read(&mut self, into: &mut [u8]) -> std::io::Result<usize> {
        if self.1.is_empty() {
            self.1 = self.0.next_token().unwrap_or_default();
        }
        let length = self.1.len().min(into.len());
        into[..length].copy_from_slice(&self.1.split_to(length));
        Ok(length)
    }
}

fn spawn_oxhttp(source: impl Source) -> Result<SocketAddr> {
    let source = std::sync::Arc::new(Mutex::new(Some(source)));
    for _ in 0..BIND_ATTEMPTS {
        let address = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()?;
        let source = source.clone();
        let server = oxhttp::Server::new(move |_| answer_oxhttp(&source)).bind(address);
        match server.spawn() {
            Ok(_) => return Ok(address),
            Err(error) if error.kind() == std::io::ErrorKind::AddrInUse => {}
            Err(error) => return Err(error).context("starting oxhttp's server"),
        }
    }
    bail!("oxhttp's server found no free port in {BIND_ATTEMPTS} attempts")
}

fn answer_oxhttp<S: Source>(
    source: &Mutex<Option<S>>,
) -> oxhttp::model::Response<oxhttp::model::Body> {
    use oxhttp::model::{Body, Response, StatusCode};
    let source = source.lock().ok().and_then(|mut source| source.take());
    let Some(source) = source else {
        let mut response = Response::new(Body::empty());
        *response.status_mut() = StatusCode::GONE;
        return response;
    };
    Response::new(Body::from_read(SourceReader(source, Bytes::new())))
}

fn spawn_hyper(source: impl Source) -> Result<SocketAddr> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    let address = listener.local_addr()?;
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        runtime.block_on(serve_hyper(listener, source))
    });
    Ok(address)
}

async fn serve_hyper(listener: TcpListener, source: impl Source) -> std::io::Result<()> {
    listener.set_nonblocking(true)?;
    let (stream, _) = tokio::net::TcpListener::from_std(listener)?.accept().await?;
    stream.set_nodelay(true)?;
    let source = Mutex::new(Some(source));
    let service = service_fn(|_| {
        let source = source.lock().ok().and_then(|mut source| source.take());
        async { Ok::<_, Infallible>(http::Response::new(stream_source(source))) }
    });
    let served =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    served.await.map_err(std::io::Error::other)
}

fn stream_source(
    source: Option<impl Source>,
) -> StreamBody<impl futures::Stream<Item = Result<Frame<Bytes>, Infallible>>> {
    let (sender, receiver) = tokio::sync::mpsc::channel(1);
    thread::spawn(move || {
        let mut source = source?;
        while let Some(token) = source.next_token() {
            sender.blocking_send(token).ok()?;
        }
        Some(())
    });
    StreamBody::new(futures::stream::unfold(receiver, |mut receiver| async {
        let token = receiver.recv().await?;
        Some((Ok(Frame::data(token)), receiver))
    }))
}
