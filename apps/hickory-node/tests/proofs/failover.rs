//! A caller receives the complete answer to its own request, before its deadline,
//! when connections and engines fail.

use crate::support::{
    ACCOUNT, Cluster, MODEL, OPERATOR, Stream, WAIT_TIMEOUT, eventually, expected_text, options,
    times,
};
use hickory_model::batch::Stall;
use hickory_standin::fault::Loss;
use hickory_standin::fleet;
use rustix::process::Signal;
use serde_json::json;
use std::time::Duration;
use tokio::io::AsyncWriteExt;

/// Returns options for streams that take a few seconds, so that a fault hits them
/// while they run.
fn slow_engine_options() -> fleet::Options {
    let mut options = options();
    options.engine.model.speed = 0.5;
    options
}

/// Opens a stream through the first node and reads a few tokens.
async fn begin_stream(cluster: &Cluster, prompt: &str, tokens: u64) -> Stream {
    let mut stream = cluster.complete(cluster.nodes[0].callers, prompt, tokens).await.unwrap();
    for _ in 0..3 {
        assert!(stream.next().await);
    }
    stream
}

async fn assert_complete(cluster: &Cluster, prompt: &str, tokens: u64, mut stream: Stream) {
    stream.read_to_end().await;
    assert_eq!(stream.problem, None);
    assert_eq!(stream.text, expected_text(prompt, tokens));
    assert!(stream.is_done);
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}

/// All connections between nodes and engines break in mid-stream, while the engines
/// keep running. The caller doesn't notice.
#[tokio::test(flavor = "multi_thread")]
async fn a_cut_engine_connection_is_hidden_from_the_caller() {
    let cluster = Cluster::start(2, slow_engine_options()).await;
    let stream = begin_stream(&cluster, "cut", 40).await;
    cluster.standins.engines.iter().for_each(|engine| engine.faults().cut());
    assert_complete(&cluster, "cut", 40, stream).await;
}

/// The connections break repeatedly, each time after a few tokens. The stream makes
/// progress in between, so no break uses up a retry and the stream is not
/// abandoned.
#[tokio::test(flavor = "multi_thread")]
async fn repeated_connection_cuts_are_hidden_from_the_caller() {
    let cluster = Cluster::start(2, slow_engine_options()).await;
    let mut stream = begin_stream(&cluster, "cut often", 60).await;
    for _ in 0..15 {
        assert!(stream.next().await && stream.next().await);
        cluster.standins.engines.iter().for_each(|engine| engine.faults().cut());
    }
    assert_complete(&cluster, "cut often", 60, stream).await;
}

/// All open connections to the engines go silent for good in mid-stream, while new
/// connections work. The stream is resumed over a new connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_connection_to_the_engine_is_replaced() {
    let cluster = Cluster::start(2, slow_engine_options()).await;
    let stream = begin_stream(&cluster, "silent", 40).await;
    cluster.standins.engines.iter().for_each(|engine| engine.faults().silence());
    assert_complete(&cluster, "silent", 40, stream).await;
}

/// The engine crashes in mid-stream. Another one continues after the last token
/// that the caller received.
#[tokio::test(flavor = "multi_thread")]
async fn a_dead_engine_is_replaced_in_mid_stream() {
    let cluster = Cluster::start(2, slow_engine_options()).await;
    let stream = begin_stream(&cluster, "dead", 40).await;
    let holds = |engine: &&hickory_standin::engine::Handle| engine.service().kv_used().0 > 0;
    cluster
        .standins
        .engines
        .iter()
        .find(holds)
        .expect("an engine holds the stream")
        .faults()
        .kill();
    assert_complete(&cluster, "dead", 40, stream).await;
}

/// The engine freezes in mid-stream and another one continues the stream. When the
/// engine thaws, the stream that it still holds is cancelled.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_is_replaced_and_freed_when_it_thaws() {
    let cluster = Cluster::start(2, slow_engine_options()).await;
    let mut stream = begin_stream(&cluster, "frozen", 40).await;
    let holds = |engine: &&hickory_standin::engine::Handle| engine.service().kv_used().0 > 0;
    let engine = cluster.standins.engines.iter().find(holds).expect("an engine holds the stream");
    engine.faults().freeze();
    stream.read_to_end().await;
    assert_eq!(stream.text, expected_text("frozen", 40));
    engine.faults().thaw();
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}

/// The caller's node freezes in mid-stream. The caller gives up on it and resumes
/// through another node. When the first node resumes, it finds that its stream was
/// superseded and doesn't disturb the caller's new stream.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_node_does_not_block_its_callers() {
    let cluster = Cluster::start(3, slow_engine_options()).await;
    let stream = begin_stream(&cluster, "node", 60).await;
    cluster.nodes[0].signal(Signal::STOP);
    let at = cluster.nodes[1].callers;
    let mut rest = eventually("the stream is resumed", || async {
        let rest = cluster.resume(at, &stream.request_id, &stream.last_event_id).await.ok()?;
        (rest.status == 200).then_some(rest)
    })
    .await;
    assert!(rest.next().await);
    cluster.nodes[0].signal(Signal::CONT);
    rest.read_to_end().await;
    assert_eq!(stream.text.clone() + &rest.text, expected_text("node", 60));
    drop(stream);
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}

/// All engines stall. The caller gets its final answer at the deadline, not later,
/// and the engines free their memory.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_stalls_everywhere_ends_at_its_deadline() {
    // The progress timeout is longer than the deadline, so that only the
    // deadline can end the request.
    let mut times = times();
    times["progress_ms"] = json!(120_000);
    let cluster = Cluster::start_with(2, options(), &times).await;
    for node in &cluster.nodes {
        cluster.wait_until_ready(node, 5).await;
    }
    cluster.standins.engines.iter().for_each(|engine| engine.faults().freeze());
    let at = cluster.nodes[0].callers;
    let ask = async {
        let wait = Duration::from_secs(2);
        let mut stream = cluster.complete_within(at, "never", 5, wait).await.unwrap();
        stream.read_to_end().await;
        stream
    };
    let stream = tokio::time::timeout(WAIT_TIMEOUT, ask)
        .await
        .expect("the final answer is received before the timeout");
    let problem = stream.problem.expect("a refusal");
    assert_eq!(problem["ran"], json!("unknown"), "{problem}");
    cluster.standins.engines.iter().for_each(|engine| engine.faults().thaw());
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}

/// Many streams run at once through all nodes while the connections to the engines
/// are cut repeatedly. Each caller gets its own answer, complete.
#[tokio::test(flavor = "multi_thread")]
async fn answers_are_not_mixed_up() {
    let mut options = options();
    options.engine.model.speed = 4.0;
    let cluster = Cluster::start(3, options).await;
    let ask = |i: usize| {
        let cluster = &cluster;
        async move {
            let prompt = format!("own prompt {i}");
            let at = cluster.nodes[i % 3].callers;
            let mut stream = cluster.complete(at, &prompt, 20).await.unwrap();
            stream.read_to_end().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected_text(&prompt, 20));
        }
    };
    let cuts = async {
        for _ in 0..5 {
            tokio::time::sleep(Duration::from_millis(20)).await;
            cluster.standins.engines.iter().for_each(|engine| engine.faults().cut());
        }
    };
    let (_, ()) = tokio::join!(futures::future::join_all((0..60).map(ask)), cuts);
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}

/// The only engine that serves the model loses a request before reading it, once
/// and several times in a row. The node retries there until the engine reads the
/// request.
#[tokio::test(flavor = "multi_thread")]
async fn the_only_engine_is_retried_after_a_lost_request() {
    let mut options = options();
    options.engines = 1;
    let cluster = Cluster::start(2, options).await;
    for times in [1, 5] {
        cluster.standins.engines[0].faults().lose(Loss::Call, "/v1/generate", times);
        let prompt = format!("lost {times} times");
        let stream = cluster.complete(cluster.nodes[0].callers, &prompt, 5).await.unwrap();
        assert_complete(&cluster, &prompt, 5, stream).await;
    }
}

/// Two engines lose a request and then their load reports. Neither crashed, so the
/// request is not counted as the cause of a crash.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_load_report_is_not_an_engine_failure() {
    let mut options = options();
    options.engines = 2;
    let cluster = Cluster::start(2, options).await;
    for engine in &cluster.standins.engines {
        engine.faults().lose(Loss::Call, "/v1/generate", 1);
        engine.faults().lose(Loss::Call, "/v1/report", 40);
    }
    let at = cluster.nodes[0].callers;
    let mut stream = cluster.complete(at, "no death", 5).await.unwrap();
    stream.read_to_end().await;
    let reason = stream.problem.map(|problem| problem["reason"].clone());
    assert_ne!(reason, Some(json!("quarantined")));
    eventually("the same content is served", || async {
        let mut stream = cluster.complete(at, "no death", 5).await.ok()?;
        stream.read_to_end().await;
        (stream.text == expected_text("no death", 5)).then_some(())
    })
    .await;
}

/// The engine loses the cancellation of a stream whose caller disconnected. The
/// owner retries until the engine confirms it.
#[tokio::test(flavor = "multi_thread")]
async fn a_lost_cancel_is_retried() {
    let mut options = options();
    options.engine.model.speed = 0.1;
    let cluster = Cluster::start(2, options).await;
    cluster.standins.engines.iter().for_each(|engine| engine.faults().lose_cancels(2));
    drop(begin_stream(&cluster, "hang up", 300).await);
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}

/// Streams on an engine stall, before the first token or in mid-stream, while the
/// engine answers all other calls. The stream continues on another engine and is
/// cancelled on the first one, even though the first cancellations are lost;
/// otherwise it would hold memory until long after the caller is gone.
#[tokio::test(flavor = "multi_thread")]
async fn a_stalled_engine_is_replaced_and_freed() {
    tokio::join!(stall_one_engine(0), stall_one_engine(10));
}

async fn stall_one_engine(after: u64) {
    let cluster = Cluster::start(2, slow_engine_options()).await;
    cluster.standins.engines.iter().for_each(|e| e.service().stall(Stall::After(after)));
    let time_left = Duration::from_secs(600);
    let at = cluster.nodes[0].callers;
    let ask = async {
        let mut stream = cluster.complete_within(at, "stalled", 30, time_left).await.unwrap();
        stream.read_to_end().await;
        stream
    };
    let free_others = async {
        let holder = || async { cluster.standins.engines.iter().position(holds) };
        let stalled = eventually("an engine holds the stream", holder).await;
        let engines = cluster.standins.engines.iter().enumerate();
        engines.filter(|(i, _)| *i != stalled).for_each(|(_, e)| e.service().stall(Stall::None));
        cluster.standins.engines[stalled].faults().lose_cancels(2);
    };
    let (stream, ()) = tokio::join!(ask, free_others);
    assert_complete(&cluster, "stalled", 30, stream).await;
}

fn holds(engine: &hickory_standin::engine::Handle) -> bool {
    engine.service().kv_used().0 > 0
}

/// An engine resumes a stream from its first token, not from the requested
/// position. The caller receives no token twice.
#[tokio::test(flavor = "multi_thread")]
async fn replayed_tokens_are_not_sent_again() {
    let mut options = slow_engine_options();
    options.engine.ignores_resume_position = true;
    let cluster = Cluster::start(2, options).await;
    let stream = begin_stream(&cluster, "replayed", 40).await;
    cluster.standins.engines.iter().for_each(|engine| engine.faults().cut());
    assert_complete(&cluster, "replayed", 40, stream).await;
}

/// An engine freezes and its owner misses its load reports. New requests go to the
/// other engines at once instead of waiting for it. When it thaws, it serves again.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_engine_gets_no_new_work() {
    let cluster = Cluster::start(2, options()).await;
    let accepts = |wanted: bool| {
        let cluster = &cluster;
        move || async move {
            let targets =
                cluster.get(cluster.nodes[0].admin, "/v1/admin/targets", OPERATOR).await?;
            let engine = targets.as_array()?.iter().find(|t| t["target"] == "engine-0")?;
            (engine["accepting"] == json!(wanted)).then_some(())
        }
    };
    cluster.standins.engines[0].faults().freeze();
    eventually("the frozen engine accepts no requests", accepts(false)).await;
    cluster.standins.engines[0].faults().thaw();
    eventually("the engine accepts requests again", accepts(true)).await;
}

/// A caller requests a long answer and keeps its connection open without reading.
/// Its stream is abandoned and the engine frees its memory, long before the
/// deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_never_reads_does_not_hold_its_stream() {
    let mut options = options();
    options.engine.model.speed = 20.0;
    let cluster = Cluster::start(2, options).await;
    let socket = tokio::net::TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    let mut silent = socket.connect(cluster.nodes[0].callers).await.unwrap();
    let body = json!({
        "model": MODEL, "prompt": "unread", "max_tokens": 100_000, "stream": true,
    });
    let body = body.to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {ACCOUNT}\r\n\
         x-time-left-ms: 3600000\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    silent.write_all((head + &body).as_bytes()).await.unwrap();
    let held = || async { (cluster.kv_used() > 0).then_some(()) };
    eventually("the stream runs", held).await;
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
    drop(silent);
}
