//! Answers that take long because they are large, and such that never end.

use bytes::Bytes;
use hickory_client::{Answer, Call, Client, Error};
use http::Method;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

/// How long a call may be without a byte.
const SILENCE: Duration = Duration::from_millis(300);

/// Between two parts of an answer that goes on.
const PAUSE: Duration = Duration::from_millis(100);

/// A server that promises so many parts, and sends some of them.
async fn open(promised: usize, sent: usize) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _ = stream.read(&mut [0; 1024]).await;
        let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {promised}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
        for _ in 0..sent {
            tokio::time::sleep(PAUSE).await;
            if stream.write_all(b"x").await.is_err() {
                return;
            }
        }
        std::future::pending::<()>().await;
    });
    address
}

async fn call(at: SocketAddr) -> Result<Answer, Error> {
    let call = Call { method: Method::GET, path: "/", key: None, body: Bytes::new() };
    Client::open(SILENCE).exchange_steady(at, call, SILENCE).await
}

/// A node stays without its configuration although the store sends it. The
/// answer is large and the link slow: it comes steadily, for longer than the
/// time that a small one may take. Given up on and begun anew it never ends.
#[tokio::test]
async fn an_answer_that_goes_on_is_read_to_its_end() {
    let answer = call(open(10, 10).await).await.unwrap();
    assert_eq!(answer.body.len(), 10);
}

#[tokio::test]
async fn an_answer_that_falls_silent_is_given_up_on() {
    let began = Instant::now();
    let result = call(open(10, 3).await).await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    assert!(began.elapsed() < PAUSE * 3 + SILENCE * 2, "{:?}", began.elapsed());
}

/// A server that sends a byte now and then holds a caller for good.
#[tokio::test]
async fn an_answer_that_never_ends_is_given_up_on() {
    let began = Instant::now();
    let result = call(open(1_000, 1_000).await).await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    assert!(began.elapsed() < SILENCE * 20, "{:?}", began.elapsed());
}

/// A caller that has no time left waits on for an answer which trickles. A call
/// that is bounded as a whole ends by its time, whatever comes of the answer.
#[tokio::test]
async fn a_call_that_is_bounded_as_a_whole_ends_in_time() {
    let began = Instant::now();
    let call = Call { method: Method::GET, path: "/", key: None, body: Bytes::new() };
    let at = open(10, 10).await;
    let result = Client::open(SILENCE).exchange(at, call, SILENCE).await;
    assert!(matches!(result, Err(Error::Unknown(_))), "{result:?}");
    assert!(began.elapsed() < SILENCE * 2, "{:?}", began.elapsed());
}
