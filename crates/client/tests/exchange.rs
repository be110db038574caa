//! What calls do and what their failures mean, against servers that
//! misbehave byte by byte.

use bytes::Bytes;
use hickory_client::{Call, Client, Error};
use http::Method;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const LONG: Duration = Duration::from_secs(10);
const SHORT: Duration = Duration::from_millis(150);

/// What a server does with the n-th request on its c-th connection.
#[derive(Clone, Copy, PartialEq)]
enum Act {
    /// Answers with the request's key.
    Answer,
    /// Answers, then closes at once without having said so.
    AnswerAndClose,
    /// Reads the request and closes.
    Close,
    /// Sends a part of the answer and closes.
    Part,
    /// Sends no HTTP.
    Garbage,
    /// Says nothing more on this connection.
    Silence,
    /// Answers after the client gave up.
    Late,
}

#[derive(Clone)]
struct Server {
    address: SocketAddr,
    received: Arc<Mutex<BTreeMap<String, u32>>>,
}

impl Server {
    async fn open(plan: impl Fn(usize, usize) -> Act + Clone + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let received = Arc::<Mutex<BTreeMap<_, _>>>::default();
        let server = Self { address: listener.local_addr().unwrap(), received };
        let shared = server.clone();
        tokio::spawn(async move {
            for connection in 0.. {
                let Ok((stream, _)) = listener.accept().await else { return };
                let (plan, shared) = (plan.clone(), shared.clone());
                tokio::spawn(async move {
                    shared.serve(stream, |request| plan(connection, request)).await;
                });
            }
        });
        server
    }

    async fn serve(&self, stream: TcpStream, plan: impl Fn(usize) -> Act + Send) {
        let mut stream = BufReader::new(stream);
        for number in 0.. {
            let Some(key) = read_request(&mut stream).await else { return };
            *self.received.lock().unwrap().entry(key.clone()).or_default() += 1;
            let answer = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{key}", key.len());
            let act = plan(number);
            let bytes = match act {
                Act::Answer | Act::AnswerAndClose => answer.as_str(),
                Act::Close => return,
                Act::Part => &answer[..answer.len() - 1],
                Act::Garbage => "no protocol at all\r\n\r\n",
                Act::Silence => std::future::pending().await,
                Act::Late => {
                    tokio::time::sleep(2 * SHORT).await;
                    answer.as_str()
                }
            };
            let _ = stream.write_all(bytes.as_bytes()).await;
            if !matches!(act, Act::Answer | Act::Late) {
                return;
            }
        }
    }

    fn count(&self, key: &str) -> u32 {
        self.received.lock().unwrap().get(key).copied().unwrap_or(0)
    }
}

/// Reads a request with its body; gives its idempotency key.
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

async fn call(client: &Client, at: SocketAddr, key: &str, time: Duration) -> Result<Bytes, Error> {
    let call = Call { method: Method::POST, path: "/", key: Some(key), body: "body".into() };
    client.exchange(at, call, time).await.map(|answer| answer.body)
}

fn is_unknown(result: &Result<Bytes, Error>) -> bool {
    matches!(result, Err(Error::Unknown(_)))
}

/// A call whose bytes went out and that got no whole answer may have run: it
/// must not look like one that was not sent, and must not be sent again.
#[tokio::test]
async fn failed_after_sending_is_unknown_and_sent_once() {
    let acts = [Act::Close, Act::Part, Act::Garbage, Act::Silence, Act::Late];
    for (number, act) in acts.into_iter().enumerate() {
        for pooled in [false, true] {
            let fails_at = usize::from(pooled);
            let plan = move |_, request| if request == fails_at { act } else { Act::Answer };
            let server = Server::open(plan).await;
            let client = Client::open(LONG);
            if pooled {
                call(&client, server.address, "before", LONG).await.unwrap();
            }
            let result = call(&client, server.address, "key", SHORT).await;
            assert!(is_unknown(&result), "{number} {pooled}: {result:?}");
            assert_eq!(server.count("key"), 1, "{number} {pooled}");
        }
    }
}

#[tokio::test]
async fn a_refused_connect_is_told_from_other_failures() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let result = call(&Client::open(LONG), address, "key", LONG).await;
    assert_eq!(result, Err(Error::Refused));
}

/// The caller sees an order taken twice, or "not run" for one that ran. The
/// server closes idle connections at any moment, also while a call is being
/// written to one; a client that sends such a call again on suspicion runs it
/// twice. Only a call of which nothing was written may go to a new
/// connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn connection_closed_while_idle_never_sends_twice() {
    let server = Server::open(|_, _| Act::AnswerAndClose).await;
    let client = Client::open(LONG);
    for number in 0..2_000 {
        let key = format!("key-{number}");
        let result = call(&client, server.address, &key, LONG).await;
        let count = server.count(&key);
        match result {
            Ok(body) => assert_eq!((body.as_ref(), count), (key.as_bytes(), 1)),
            Err(Error::Refused | Error::NotSent(_)) => assert_eq!(count, 0),
            Err(Error::Unknown(_)) => assert!(count <= 1, "{count}"),
        }
    }
}

/// The caller sees the answer to another call. A call times out, its answer
/// comes late on the same connection, and the next call takes it for its own;
/// a connection with a timed-out exchange is therefore closed.
#[tokio::test]
async fn late_answer_is_never_taken_for_another() {
    let server =
        Server::open(|_, request| if request == 0 { Act::Late } else { Act::Answer }).await;
    let client = Client::open(LONG);
    let first = call(&client, server.address, "first", SHORT).await;
    assert!(is_unknown(&first));
    tokio::time::sleep(2 * SHORT).await;
    // Each new connection answers its first call late.
    let second = call(&client, server.address, "second", LONG).await.unwrap();
    assert_eq!(second, "second");
}

/// The caller sees one timeout for each idle connection. Something between
/// the two ends has lost track of the open connections; new ones work. After
/// the first timeout all idle connections to that address are closed, so one
/// call fails at most.
#[tokio::test]
async fn silent_connections_cost_one_timeout() {
    let plan = |connection, request| match (connection, request) {
        (0..8, 0) | (8.., _) => Act::Answer,
        _ => Act::Silence,
    };
    let server = Server::open(plan).await;
    let client = Client::open(LONG);
    let calls = (0..8).map(|_| call(&client, server.address, "warm", LONG));
    let warm = futures::future::join_all(calls).await;
    assert!(warm.iter().all(Result::is_ok));
    assert!(is_unknown(&call(&client, server.address, "lost", SHORT).await));
    for number in 0..8 {
        let key = format!("after-{number}");
        assert_eq!(call(&client, server.address, &key, LONG).await.unwrap(), key);
    }
}

/// Whatever goes wrong, in any order and at once, an answer is that to its
/// own call, a call arrives at most once, and one that is not sent never
/// arrives. Timing may turn an answer into a timeout, never break these.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn calls_at_once_are_never_crossed_or_doubled() {
    for seed in 0..4 {
        let server = Server::open(move |connection, request| draw(seed, connection, request)).await;
        let client = Client::open(LONG);
        let callers = (0..16).map(|caller| call_in_turn(&client, &server, caller));
        let answered: usize = futures::future::join_all(callers).await.into_iter().sum();
        assert!(answered > 0, "{seed}");
        let received = server.received.lock().unwrap();
        assert!(received.values().all(|count| *count == 1), "{seed}");
    }
}

/// What a server does, drawn from a hash; mostly it answers.
fn draw(seed: usize, connection: usize, request: usize) -> Act {
    let mut hash = (seed * 1_000_003 + connection * 1_009 + request + 1) as u64;
    for _ in 0..3 {
        hash = (hash ^ (hash >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    }
    match hash >> 32 & 31 {
        0 => Act::AnswerAndClose,
        1 => Act::Close,
        2 => Act::Part,
        3 => Act::Garbage,
        4 => Act::Silence,
        5 => Act::Late,
        _ => Act::Answer,
    }
}

/// Makes calls one after another; gives how many were answered.
async fn call_in_turn(client: &Client, server: &Server, caller: usize) -> usize {
    let mut answered = 0;
    for number in 0..100 {
        let key = format!("key-{caller}-{number}");
        let result = call(client, server.address, &key, SHORT / 5).await;
        let count = server.count(&key);
        match result {
            Ok(body) => {
                assert_eq!((body.as_ref(), count), (key.as_bytes(), 1));
                answered += 1;
            }
            Err(Error::Refused) => assert_eq!(count, 0),
            Err(Error::NotSent(text)) => assert_eq!(count, 0, "{text}"),
            Err(Error::Unknown(text)) => assert!(count <= 1, "{count} {text}"),
        }
    }
    answered
}
