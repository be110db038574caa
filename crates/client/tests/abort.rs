//! Calls that are given up while their bytes are held up on the way.

use bytes::Bytes;
use hickory_client::{Call, Client, Reuse};
use http::Method;
use http_body_util::Full;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::sync::oneshot;

/// The size of a request, more than the receiver takes before it reads and less than the sender
/// hands to the kernel.
const BODY_BYTES: usize = 200_000;

/// The time after which calls are given up.
const TIMEOUT: Duration = Duration::from_millis(100);

/// The time after which the receiver reads.
const HOLD: Duration = Duration::from_millis(400);

/// A server that takes a connection, and reads from it later.
struct Server {
    address: SocketAddr,
    received: oneshot::Receiver<usize>,
}

impl Server {
    /// Writes `head` to the connection once a request arrives, and reads all of it after a while.
    async fn spawn(head: &'static str) -> Self {
        const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let listener = socket.listen(8).unwrap();
        let address = listener.local_addr().unwrap();
        let (sender, received) = oneshot::channel();
        tokio::spawn(async move {
            let (mut stream, _) = listener.accept().await.unwrap();
            stream.peek(&mut [0]).await.unwrap();
            stream.write_all(head.as_bytes()).await.unwrap();
            tokio::time::sleep(HOLD).await;
            sender.send(read_all(&mut stream).await).unwrap();
        });
        Self { address, received }
    }

    /// Asserts that a part of the request was lost.
    async fn assert_cut(self) {
        let received = self.received.await.unwrap();
        assert!(received < BODY_BYTES, "the whole request arrived, {received} bytes");
    }
}

/// Returns the number of bytes until the connection ends in any way.
async fn read_all(stream: &mut TcpStream) -> usize {
    let (mut received, mut buffer) = (0, vec![0; 64 << 10]);
    while let Ok(read @ 1..) = stream.read(&mut buffer).await {
        received += read;
    }
    received
}

fn request() -> http::Request<Full<Bytes>> {
    let body = Full::new(Bytes::from(vec![b'x'; BODY_BYTES]));
    http::Request::post("/").header("host", "test").body(body).unwrap()
}

/// Guards against a request that runs after it was given up before its response.
#[tokio::test]
async fn a_request_that_is_given_up_does_not_arrive_later() {
    let server = Server::spawn("").await;
    let client = Client::open(TIMEOUT);
    let sent = client.send(server.address, request(), Reuse::Any);
    assert!(tokio::time::timeout(TIMEOUT, sent).await.is_err());
    server.assert_cut().await;
}

/// Guards against a request that runs after it was given up within its response.
#[tokio::test]
async fn a_request_that_is_given_up_after_the_head_does_not_arrive_later() {
    let server = Server::spawn("HTTP/1.1 200 X\r\nContent-Length: 9\r\n\r\n").await;
    let client = Client::open(TIMEOUT);
    let exchange = client.send(server.address, request(), Reuse::Any).await.unwrap();
    tokio::time::sleep(TIMEOUT).await;
    drop(exchange);
    server.assert_cut().await;
}

/// Guards against an order that runs after its call has timed out.
#[tokio::test]
async fn a_call_that_times_out_does_not_arrive_later() {
    let server = Server::spawn("").await;
    let client = Client::open(TIMEOUT);
    let body = Bytes::from(vec![b'x'; BODY_BYTES]);
    let call = Call { method: Method::POST, path: "/", key: None, body };
    assert!(client.exchange(server.address, call, TIMEOUT).await.is_err());
    server.assert_cut().await;
}
