//! Nodes that crash: callers resume through another node, and engines free the
//! memory of abandoned streams.

use crate::support::{Cluster, eventually, expected_text, options};
use std::time::Duration;

/// The caller's node is killed in mid-stream. The caller connects to another node
/// with the id of the last event it received and gets the remaining tokens, with no
/// duplicate and no gap. Afterwards the engine's memory is free.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_node_loses_no_token() {
    let mut options = options();
    options.engine.model.speed = 0.2;
    let mut cluster = Cluster::start(3, options).await;
    let prompt = "the season report of all agencies";
    let mut stream = cluster.complete(cluster.nodes[0].callers, prompt, 60).await.unwrap();
    for _ in 0..5 {
        assert!(stream.next().await);
    }
    cluster.nodes[0].kill();
    while stream.next().await {}
    let mut text = stream.text.clone();
    let at = cluster.nodes[1].callers;
    let mut rest = eventually("the stream is resumed", || async {
        let rest = cluster.resume(at, &stream.request_id, &stream.last_event_id).await.ok()?;
        (rest.status == 200).then_some(rest)
    })
    .await;
    rest.read_to_end().await;
    text.push_str(&rest.text);
    assert_eq!(text, expected_text(prompt, 60));
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}

/// The caller disconnects and doesn't return. The stream is cancelled on the engine
/// when the resume window ends, well before its deadline.
#[tokio::test(flavor = "multi_thread")]
async fn a_stream_without_caller_is_cancelled() {
    let mut options = options();
    options.engine.model.speed = 0.1;
    let cluster = Cluster::start(2, options).await;
    let mut stream = cluster.complete(cluster.nodes[0].callers, "hang up", 300).await.unwrap();
    assert!(stream.next().await);
    assert!(cluster.kv_used() > 0);
    drop(stream);
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}

/// A node is killed while it serves a stream on a target that it owns, and the
/// caller doesn't return. The target's next owner didn't grant the stream but finds
/// it in the load report, and cancels it when the resume window ends, well before
/// the deadline.
#[tokio::test(flavor = "multi_thread")]
async fn streams_of_a_killed_owner_are_cancelled() {
    let mut options = options();
    options.engine.model.speed = 0.1;
    options.engines = 1;
    let mut cluster = Cluster::start(2, options).await;
    let owner = cluster.owner("engine-0").await;
    let (at, time_left) = (cluster.nodes[owner].callers, Duration::from_secs(600));
    let mut stream = cluster.complete_within(at, "never resumed", 3_000, time_left).await.unwrap();
    assert!(stream.next().await);
    cluster.nodes[owner].kill();
    eventually("all memory is free", || async { (cluster.kv_used() == 0).then_some(()) }).await;
}
