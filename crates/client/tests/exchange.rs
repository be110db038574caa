//! Calls and their errors, against servers that misbehave at the byte level.

use bytes::Bytes;
use hickory_client::{Call, Client, Error};
use http::Method;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const LONG_TIMEOUT: Duration = Duration::from_secs(10);
const SHORT_TIMEOUT: Duration = Duration::from_millis(150);

/// The action of a server on a request.
#[derive(Clone, Copy, PartialEq)]
enum Action {
    /// Responds with the request's key.
    Respond,
    /// Responds, then closes the connection without announcing it.
    RespondAndClose,
    /// Reads the request and closes the connection.
    Close,
    /// Sends a part of the response and closes the connection.
    Truncated,
    /// Sends bytes that are not HTTP.
    Garbage,
    /// Sends nothing more on this connection.
    NoResponse,
    /// Responds after the client's timeout.
    LateResponse,
}

#[derive(Clone)]
struct Server {
    address: SocketAddr,
    request_counts: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Server {
    async fn open(
        action_for: impl Fn(usize, usize) -> Action + Clone + Send + Sync + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let request_counts = Arc::<Mutex<BTreeMap<_, _>>>::default();
        let server = Self { address: listener.local_addr().unwrap(), request_counts };
        let handler = server.clone();
        tokio::spawn(async move {
            for connection in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (action_for, handler) = (action_for.clone(), handler.clone());
                tokio::spawn(async move {
                    handler.serve(stream, |request| action_for(connection, request)).await;
                });
            }
        });
        server
    }

    async fn serve(&self, stream: TcpStream, action_for: impl Fn(usize) -> Action + Send) {
        let mut stream = BufReader::new(stream);
        for number in 0.. {
            let Some(key) = read_request(&mut stream).await else { return };
            *self.request_counts.lock().unwrap().entry(key.clone()).or_default() += 1;
            let response = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{key}", key.len());
            let action = action_for(number);
            let bytes = match action {
                Action::Respond | Action::RespondAndClose => response.as_str(),
                Action::Close => return,
                Action::Truncated => &response[..response.len() - 1],
                Action::Garbage => "no protocol at all\r\n\r\n",
                Action::NoResponse => std::future::pending().await,
                Action::LateResponse => {
                    tokio::time::sleep(2 * SHORT_TIMEOUT).await;
                    response.as_str()
                }
            };
            let _ = stream.write_all(bytes.as_bytes()).await;
            if !matches!(action, Action::Respond | Action::LateResponse) {
                return;
            }
        }
    }

    fn count(&self, key: &str) -> u32 {
        self.request_counts.lock().unwrap().get(key).copied().unwrap_or(0)
    }
}

/// Reads a request with its body. Returns its idempotency key.
async fn read_request(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let (mut key, mut length) = (String::new(), 0);
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        match line.trim_end().split_once(": ") {
            Some(("idempotency-key", value)) => key = value.to_owned(),
            Some(("content-length", value)) => length = value.parse().ok()?,
            None if line.trim_end().is_empty() => break,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(key)
}

async fn call(
    client: &Client,
    address: SocketAddr,
    key: &str,
    timeout: Duration,
) -> Result<Bytes, Error> {
    let call = Call { method: Method::POST, path: "/", key: Some(key), body: "body".into() };
    client.exchange(address, call, timeout).await.map(|response| response.body)
}

fn is_unknown(result: &Result<Bytes, Error>) -> bool {
    matches!(result, Err(Error::Unknown(_)))
}

/// A call that was written and got no complete response may have run. It must not be reported as
/// not sent, and must not be resent.
#[tokio::test]
async fn a_failure_after_sending_is_unknown_and_not_resent() {
    let actions = [
        Action::Close,
        Action::Truncated,
        Action::Garbage,
        Action::NoResponse,
        Action::LateResponse,
    ];
    for (number, action) in actions.into_iter().enumerate() {
        for pooled in [false, true] {
            let fails_at = usize::from(pooled);
            let action_for =
                move |_, request| if request == fails_at { action } else { Action::Respond };
            let server = Server::open(action_for).await;
            let client = Client::open(LONG_TIMEOUT);
            if pooled {
                call(&client, server.address, "before", LONG_TIMEOUT).await.unwrap();
            }
            let result = call(&client, server.address, "key", SHORT_TIMEOUT).await;
            assert!(is_unknown(&result), "{number} {pooled}: {result:?}");
            assert_eq!(server.count("key"), 1, "{number} {pooled}");
        }
    }
}

#[tokio::test]
async fn a_refused_connection_is_a_distinct_error() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = call(&Client::open(LONG_TIMEOUT), address, "key", LONG_TIMEOUT).await;
    assert_eq!(result, Err(Error::Refused));
}

/// Guards against a call that runs twice, or is reported as not run although it ran. A server may
/// close an idle connection while a call is being written to it. Only a call of which no byte was
/// written may be sent on a new connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_connection_closed_while_idle_never_causes_a_second_send() {
    let server = Server::open(|_, _| Action::RespondAndClose).await;
    let client = Client::open(LONG_TIMEOUT);
    for number in 0..2_000 {
        let key = format!("key-{number}");
        let result = call(&client, server.address, &key, LONG_TIMEOUT).await;
        let count = server.count(&key);
        match result {
            Ok(body) => assert_eq!((body.as_ref(), count), (key.as_bytes(), 1)),
            Err(Error::Refused | Error::NotSent(_)) => assert_eq!(count, 0),
            Err(Error::Unknown(_)) => assert!(count <= 1, "{count}"),
        }
    }
}

/// Guards against returning the response to another call. After a timeout the late response arrives
/// on the same connection and would be read by the next call, so the connection must be closed.
#[tokio::test]
async fn a_late_response_is_never_matched_to_another_call() {
    let server = Server::open(
        |_, request| if request == 0 { Action::LateResponse } else { Action::Respond },
    )
    .await;
    let client = Client::open(LONG_TIMEOUT);
    let first = call(&client, server.address, "first", SHORT_TIMEOUT).await;
    assert!(is_unknown(&first));
    tokio::time::sleep(2 * SHORT_TIMEOUT).await;
    // The server responds late to the first call on each new connection.
    let second = call(&client, server.address, "second", LONG_TIMEOUT).await.unwrap();
    assert_eq!(second, "second");
}

/// Guards against one timeout for each idle connection, when a middlebox has dropped the state of
/// open connections and new ones work. The first timeout must close all idle connections to the
/// address, so that at most one call fails.
#[tokio::test]
async fn unresponsive_connections_cost_one_timeout() {
    let action_for = |connection, request| match (connection, request) {
        (0..8, 0) | (8.., _) => Action::Respond,
        _ => Action::NoResponse,
    };
    let server = Server::open(action_for).await;
    let client = Client::open(LONG_TIMEOUT);
    let calls = (0..8).map(|_| call(&client, server.address, "warm", LONG_TIMEOUT));
    let warm = futures::future::join_all(calls).await;
    assert!(warm.iter().all(Result::is_ok));
    assert!(is_unknown(&call(&client, server.address, "lost", SHORT_TIMEOUT).await));
    for number in 0..8 {
        let key = format!("after-{number}");
        assert_eq!(call(&client, server.address, &key, LONG_TIMEOUT).await.unwrap(), key);
    }
}

/// Under random concurrent faults, each response belongs to its own call, a call arrives at most
/// once, and a call reported as not sent never arrives. Timing may turn a response into a timeout
/// but must not break these rules.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_calls_are_never_mixed_up_or_duplicated() {
    for seed in 0..4 {
        let server =
            Server::open(move |connection, request| draw_action(seed, connection, request)).await;
        let client = Client::open(LONG_TIMEOUT);
        let callers = (0..16).map(|caller| call_sequentially(&client, &server, caller));
        let responses: usize = futures::future::join_all(callers).await.into_iter().sum();
        assert!(responses > 0, "{seed}");
        let request_counts = server.request_counts.lock().unwrap();
        assert!(request_counts.values().all(|count| *count == 1), "{seed}");
    }
}

/// Draws the action of a server from a hash; in most cases it responds.
fn draw_action(seed: usize, connection: usize, request: usize) -> Action {
    let mut hash = (seed * 1_000_003 + connection * 1_009 + request + 1) as u64;
    for _ in 0..3 {
        hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    match hash >> 32 & 31 {
        0 => Action::RespondAndClose,
        1 => Action::Close,
        2 => Action::Truncated,
        3 => Action::Garbage,
        4 => Action::NoResponse,
        5 => Action::LateResponse,
        _ => Action::Respond,
    }
}

/// Makes calls sequentially. Returns the number of responses.
async fn call_sequentially(client: &Client, server: &Server, caller: usize) -> usize {
    let mut responses = 0;
    for number in 0..100 {
        let key = format!("key-{caller}-{number}");
        let result = call(client, server.address, &key, SHORT_TIMEOUT / 5).await;
        let count = server.count(&key);
        match result {
            Ok(body) => {
                assert_eq!((body.as_ref(), count), (key.as_bytes(), 1));
                responses += 1;
            }
            Err(Error::Refused) => assert_eq!(count, 0),
            Err(Error::NotSent(text)) => assert_eq!(count, 0, "{text}"),
            Err(Error::Unknown(text)) => assert!(count <= 1, "{count} {text}"),
        }
    }
    responses
}
