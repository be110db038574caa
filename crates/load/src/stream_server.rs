//! How soon a streamed answer leaves an HTTP server: oxhttp's beside hyper's.
//!
//! Both serve the same token source on loopback, and the same plain socket
//! reads them, so that what differs is the server alone.

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

/// Ports tried for a server that binds by itself and can't tell its port.
const BIND_ATTEMPTS: u32 = 8;

/// Makes the tokens of one answer; called on a thread of its own, may block.
pub trait Source: Send + 'static {
    /// The next token; `None` at the end.
    fn next_token(&mut self) -> Option<Bytes>;
}

/// A source that makes `count` tokens, one each `gap`.
#[derive(Clone, Copy, Debug)]
pub struct Ticker {
    /// Tokens left.
    pub count: u32,
    /// Time before each token.
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

/// When the bytes of one answer arrived, counted from the request.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Arrival {
    /// The server.
    pub server: Server,
    /// The first byte of all, which opens the response's head, in
    /// milliseconds.
    pub first_byte_ms: f64,
    /// The first byte of the body, in milliseconds.
    pub first_token_ms: f64,
    /// The end of the body, in milliseconds.
    pub end_ms: f64,
    /// Reads that brought bytes.
    pub reads: usize,
}

/// Measures both servers with `count` tokens, one each `gap`.
pub fn measure_servers(count: u32, gap: Duration) -> Result<Vec<Arrival>> {
    [Server::Oxhttp, Server::Hyper]
        .into_iter()
        .map(|server| {
            let address = spawn_server(server, Ticker { count, gap })?;
            measure_answer(server, address)
        })
        .collect()
}

/// Starts a server whose one answer comes from `source`.
///
/// oxhttp's server can't stop listening, so its listener lasts as long as the
/// process; hyper's ends with its connection.
pub fn spawn_server(server: Server, source: impl Source) -> Result<SocketAddr> {
    match server {
        Server::Oxhttp => spawn_oxhttp(source),
        Server::Hyper => spawn_hyper(source),
    }
}

/// Sends the request and calls `on_body` with the bytes of the body so far,
/// each time some arrive, until the server ends the answer.
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

/// The bytes after the head of an HTTP response.
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
    let first_byte_ms = first_byte_ms.context("the server sent nothing")?;
    let first_token_ms = first_token_ms.context("the server sent no body")?;
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
            Err(error) => return Err(error).context("oxhttp's server"),
        }
    }
    bail!("no free port in {BIND_ATTEMPTS} attempts")
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
