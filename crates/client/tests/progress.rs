//! Answers that take long because they are large, and such that never end.

use bytes::Bytes;
use hickory_client::{Call, Client, Error, Response};
use http::Method;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How long a call may be without a byte.
const PROGRESS_TIMEOUT: Duration = Duration::from_millis(300);

/// Between two parts of an answer that goes on.
const CHUNK_INTERVAL: Duration = Duration::from_millis(100);

/// A server that promises so many parts, and sends some of them.
async fn spawn_server(announced_bytes: usize, sent_bytes: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {announced_bytes}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
        for _ in 0..sent_bytes {
            tokio::time::sleep(CHUNK_INTERVAL).await;
            if stream.write_all(b"x").await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn call(address: SocketAddr) -> Result<Response, Error> {
    let call = Call { method: Method::GET, path: "/", key: None, body: Bytes::new() };
    Client::open(PROGRESS_TIMEOUT)
        .exchange_with_progress_timeout(address, call, PROGRESS_TIMEOUT)
        .await
}

/// A node stays without its configuration although the store sends it. The
/// answer is large and the link slow: it comes steadily, for longer than the
/// time that a small one may take. Given up on and begun anew it never ends.
#[tokio::test]
async fn a_slow_but_steady_response_is_read_completely() {
    let response = call(spawn_server(10, 10).await).await.unwrap();
    assert_eq!(response.body.len(), 10);
}

#[tokio::test]
async fn a_response_without_progress_times_out() {
    let start = Instant::now();
    let result = call(spawn_server(10, 3).await).await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    assert!(start.elapsed() < CHUNK_INTERVAL * 3 + PROGRESS_TIMEOUT * 2, "{:?}", start.elapsed());
}

/// A server that sends a byte now and then holds a caller for good.
#[tokio::test]
async fn a_response_that_never_ends_times_out() {
    let start = Instant::now();
    let result = call(spawn_server(1_000, 1_000).await).await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    assert!(start.elapsed() < PROGRESS_TIMEOUT * 20, "{:?}", start.elapsed());
}

/// A caller that has no time left waits on for an answer which trickles. A call
/// that is bounded as a whole ends by its time, whatever comes of the answer.
#[tokio::test]
async fn a_call_with_a_total_timeout_ends_in_time() {
    let start = Instant::now();
    let call = Call { method: Method::GET, path: "/", key: None, body: Bytes::new() };
    let address = spawn_server(10, 10).await;
    let result = Client::open(PROGRESS_TIMEOUT).exchange(address, call, PROGRESS_TIMEOUT).await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    assert!(start.elapsed() < PROGRESS_TIMEOUT * 2, "{:?}", start.elapsed());
}
