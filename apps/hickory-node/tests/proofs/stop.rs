//! A planned stop is a graceful shutdown that interrupts no request.

use crate::support::{ACCOUNT, Cluster, MODEL, eventually, expected_text, options, times};
use rustix::process::Signal;
use serde_json::json;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// A node gets SIGTERM during a stream, and a second caller that has cached the
/// node's address connects during the shutdown. Both get complete answers, and the
/// process exits with status 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
    let mut options = options();
    options.engine.model.speed = 1.0;
    let mut cluster = Cluster::start(3, options).await;
    let at = cluster.nodes[0].callers;
    let mut first = cluster.complete(at, "a long review of the archive", 80).await.unwrap();
    assert!(first.next().await);
    cluster.nodes[0].signal(Signal::TERM);
    let mut second = cluster.complete(at, "asked at a kept address", 5).await.unwrap();
    second.read_to_end().await;
    assert_eq!(second.text, expected_text("asked at a kept address", 5));
    first.read_to_end().await;
    assert_eq!(first.text, expected_text("a long review of the archive", 80));
    assert!(first.is_done && second.is_done);
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

/// Two of three nodes are stopped at once during streams, and the third takes over
/// their targets. No stream is interrupted, both processes exit with status 0, and
/// the third node still serves.
#[tokio::test(flavor = "multi_thread")]
async fn two_planned_stops_at_once_cut_no_request() {
    let mut options = options();
    options.engine.model.speed = 2.0;
    let mut cluster = Cluster::start(3, options).await;
    let mut streams = Vec::new();
    for (i, node) in cluster.nodes.iter().enumerate().take(2) {
        let prompt = format!("stream {i}");
        let mut stream = cluster.complete(node.callers, &prompt, 60).await.unwrap();
        assert!(stream.next().await);
        streams.push((prompt, stream));
    }
    cluster.nodes[0].signal(Signal::TERM);
    cluster.nodes[1].signal(Signal::TERM);
    for (prompt, stream) in &mut streams {
        stream.read_to_end().await;
        assert_eq!(stream.text, expected_text(prompt, 60));
    }
    assert!(cluster.nodes[0].wait_for_exit().await.success());
    assert!(cluster.nodes[1].wait_for_exit().await.success());
    cluster.wait_until_ready(&cluster.nodes[2], 5).await;
    let mut last = cluster.complete(cluster.nodes[2].callers, "still here?", 5).await.unwrap();
    last.read_to_end().await;
    assert_eq!(last.text, expected_text("still here?", 5));
}

/// A node is stopped while the key-value service is down, so it can neither
/// announce that it is draining nor hand over its targets. Its stream is not
/// interrupted, it still exits with status 0, and the other nodes keep serving.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_during_an_outage_cuts_no_request() {
    let mut options = options();
    options.engine.model.speed = 1.0;
    let mut cluster = Cluster::start(3, options).await;
    let at = cluster.nodes[0].callers;
    let mut stream = cluster.complete(at, "an outage", 60).await.unwrap();
    assert!(stream.next().await);
    cluster.standins.store.faults().kill();
    cluster.nodes[0].signal(Signal::TERM);
    let mut kept = cluster.complete(at, "a kept address", 5).await.unwrap();
    kept.read_to_end().await;
    assert_eq!(kept.text, expected_text("a kept address", 5));
    stream.read_to_end().await;
    assert_eq!(stream.text, expected_text("an outage", 60));
    assert!(cluster.nodes[0].wait_for_exit().await.success());
    let mut other = cluster.complete(cluster.nodes[1].callers, "the others", 5).await.unwrap();
    other.read_to_end().await;
    assert_eq!(other.text, expected_text("the others", 5));
}

/// A node without any requests is stopped. Callers that have cached its address can
/// connect and are served for as long as the cached answer is valid.
#[tokio::test(flavor = "multi_thread")]
async fn a_draining_node_serves_cached_addresses() {
    let keep = Duration::from_secs(2);
    let mut times = times();
    times["entry_keep_ms"] = json!(keep.as_millis() as u64);
    let mut cluster = Cluster::start_with(2, options(), &times).await;
    cluster.wait_until_ready(&cluster.nodes[0], 5).await;
    let at = cluster.nodes[0].callers;
    cluster.nodes[0].signal(Signal::TERM);
    // Use only half of the time: a request sent just before the end could
    // arrive after it.
    let end = Instant::now() + keep / 2;
    for i in 0.. {
        if Instant::now() >= end {
            break;
        }
        let prompt = format!("kept {i}");
        let mut stream =
            cluster.complete(at, &prompt, 2).await.expect("the node still accepts callers");
        stream.read_to_end().await;
        assert_eq!(stream.text, expected_text(&prompt, 2));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

/// One node is stopped and another one is killed at the same time, each during a
/// stream. The first node's stream is not interrupted and its process exits with
/// status 0; the caller of the second node resumes through the third and gets the
/// remaining tokens.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_beside_a_kill_cuts_no_request() {
    let mut options = options();
    options.engine.model.speed = 0.5;
    let mut cluster = Cluster::start(3, options).await;
    let mut streams = Vec::new();
    for node in &cluster.nodes[..2] {
        let mut stream = cluster.complete(node.callers, "both", 60).await.unwrap();
        assert!(stream.next().await);
        streams.push(stream);
    }
    cluster.nodes[0].signal(Signal::TERM);
    cluster.nodes[1].kill();
    let (mut killed, mut stopped) = (streams.remove(1), streams.remove(0));
    while killed.next().await {}
    let at = cluster.nodes[2].callers;
    let mut rest = eventually("the stream is resumed", || async {
        let rest = cluster.resume(at, &killed.request_id, &killed.last_event_id).await.ok()?;
        (rest.status == 200).then_some(rest)
    })
    .await;
    rest.read_to_end().await;
    assert_eq!(killed.text + &rest.text, expected_text("both", 60));
    stopped.read_to_end().await;
    assert_eq!(stopped.text, expected_text("both", 60));
    assert!(stopped.is_done);
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

/// Two of three nodes are stopped at once while the key-value service is down.
/// Neither can hand over its targets; still no stream is interrupted and both
/// processes exit with status 0.
#[tokio::test(flavor = "multi_thread")]
async fn two_planned_stops_during_an_outage_cut_no_request() {
    let mut options = options();
    options.engine.model.speed = 0.1;
    let mut cluster = Cluster::start(3, options).await;
    let mut streams = Vec::new();
    for (i, node) in cluster.nodes.iter().enumerate().take(2) {
        let prompt = format!("outage {i}");
        let mut stream = cluster.complete(node.callers, &prompt, 60).await.unwrap();
        assert!(stream.next().await);
        streams.push((prompt, stream));
    }
    cluster.standins.store.faults().kill();
    cluster.nodes[0].signal(Signal::TERM);
    cluster.nodes[1].signal(Signal::TERM);
    for (prompt, stream) in &mut streams {
        stream.read_to_end().await;
        assert_eq!(stream.text, expected_text(prompt, 60));
        assert!(stream.is_done);
    }
    assert!(cluster.nodes[0].wait_for_exit().await.success());
    assert!(cluster.nodes[1].wait_for_exit().await.success());
}

/// The time for which a caller pauses: longer than a stopping node that has nothing to do lives.
const CALLER_PAUSE: Duration = Duration::from_secs(2);

/// Opens a connection that takes only a few kilobytes before it is read.
async fn connect_with_small_buffer(at: SocketAddr) -> TcpStream {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket2::SockRef::from(&socket).set_tcp_mss(536).unwrap();
    socket.connect(at).await.unwrap()
}

/// Formats a request for a streamed completion.
fn write_request(max_tokens: u64) -> String {
    let body = json!({
        "model": MODEL, "prompt": "slow", "max_tokens": max_tokens, "stream": true,
    });
    let body = body.to_string();
    format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ACCOUNT}\r\n\
         x-time-left-ms: 30000\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Reads to the end of a response; returns whether it is complete.
async fn read_complete(mut stream: TcpStream) -> bool {
    let mut text = Vec::new();
    // An error means that the connection broke.
    let _ = stream.read_to_end(&mut text).await;
    String::from_utf8_lossy(&text).contains("data: [DONE]")
}

/// Guards against a node that ends while it reads a request's body.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_a_request_that_is_being_read() {
    let mut cluster = Cluster::start(2, options()).await;
    let mut stream = connect_with_small_buffer(cluster.nodes[0].callers).await;
    let request = write_request(5);
    let (first, rest) = request.split_at(request.len() - 10);
    stream.write_all(first.as_bytes()).await.unwrap();
    cluster.nodes[0].signal(Signal::TERM);
    tokio::time::sleep(CALLER_PAUSE).await;
    stream.write_all(rest.as_bytes()).await.unwrap();
    assert!(read_complete(stream).await);
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}

/// Guards against a node that ends before a caller has read the answer that is written to it.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_waits_for_a_caller_that_reads_late() {
    let mut cluster = Cluster::start(2, options()).await;
    let mut stream = connect_with_small_buffer(cluster.nodes[0].callers).await;
    stream.write_all(write_request(600).as_bytes()).await.unwrap();
    eventually("the stream runs", || async { (cluster.kv_used() > 0).then_some(()) }).await;
    cluster.nodes[0].signal(Signal::TERM);
    eventually("it is generated", || async { (cluster.kv_used() == 0).then_some(()) }).await;
    tokio::time::sleep(CALLER_PAUSE).await;
    assert!(read_complete(stream).await);
    assert!(cluster.nodes[0].wait_for_exit().await.success());
}
