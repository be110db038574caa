//! A server that answers every request with the same bytes.

use crate::answer::{After, Answer};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// The time between the bytes of a response and a reset, which would otherwise discard them.
const RESET_DELAY: Duration = Duration::from_millis(20);

/// What a server answers.
#[derive(Clone, Debug)]
pub struct Options {
    /// The response.
    pub answer: Answer,
    /// Its status.
    pub status: u16,
    /// Its header lines besides those of the framing.
    pub fields: String,
    /// Its body.
    pub body: String,
    /// The most bytes that are written at once.
    pub segment: usize,
}

/// A running server, which stops when this is dropped.
#[derive(Debug)]
pub struct Responder {
    address: SocketAddr,
    listening: JoinHandle<()>,
}

impl Responder {
    /// Listens on a port of the loopback address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn spawn(options: Options) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let listening = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let options = options.clone();
                // The client may close its connection at any time.
                tokio::spawn(async move { respond(stream, options).await.ok() });
            }
        });
        Ok(Self { address, listening })
    }

    /// Returns the address on which it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Responder {
    fn drop(&mut self) {
        self.listening.abort();
    }
}

/// Answers the first request on a connection.
async fn respond(stream: TcpStream, options: Options) -> io::Result<()> {
    let Options { answer, status, fields, body, segment } = options;
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    read_request(&mut stream).await?;
    for part in answer.bytes_with_status(status, &fields, &body).chunks(segment) {
        stream.write_all(part).await?;
        tokio::task::yield_now().await;
    }
    match answer.after {
        After::Closed => {}
        After::Open => {
            stream.read_u8().await?;
        }
        After::Reset => {
            tokio::time::sleep(RESET_DELAY).await;
            socket2::SockRef::from(stream.get_ref()).set_linger(Some(Duration::ZERO))?;
        }
    }
    Ok(())
}

/// Reads a request with its body.
async fn read_request(stream: &mut BufReader<TcpStream>) -> io::Result<()> {
    let mut length = 0;
    loop {
        let mut line = String::new();
        stream.read_line(&mut line).await?;
        let line = line.trim_end().to_ascii_lowercase();
        if let Some(value) = line.strip_prefix("content-length: ") {
            length = value.parse().unwrap_or_default();
        }
        if line.is_empty() {
            break;
        }
    }
    stream.read_exact(&mut vec![0; length]).await?;
    Ok(())
}
