//! Every planned stop is a graceful shutdown that cuts off no request.

use crate::support::{Scene, eventually, expected, options, times};
use rustix::process::Signal;
use serde_json::json;
use std::time::{Duration, Instant};

/// A caller is in the middle of a stream when its node gets SIGTERM; a second
/// caller still has the node's address and connects during the stop. Both get
/// their whole answers, and the process ends with status 0.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_cuts_no_request() {
    let mut options = options();
    options.engine.model.speed = 1.0;
    let mut scene = Scene::start(3, options).await;
    let at = scene.nodes[0].callers;
    let mut first = scene.complete(at, "a long review of the archive", 80).await.unwrap();
    assert!(first.next().await);
    scene.nodes[0].signal(Signal::TERM);
    let mut second = scene.complete(at, "asked at a kept address", 5).await.unwrap();
    second.rest().await;
    assert_eq!(second.text, expected("asked at a kept address", 5));
    first.rest().await;
    assert_eq!(first.text, expected("a long review of the archive", 80));
    assert!(first.done && second.done);
    assert!(scene.nodes[0].exited().await.success());
}

/// Two nodes of three are stopped at once under streams; the third takes their
/// targets over. No stream is cut, both end with status 0, and the third
/// still serves.
#[tokio::test(flavor = "multi_thread")]
async fn two_planned_stops_at_once_cut_no_request() {
    let mut options = options();
    options.engine.model.speed = 2.0;
    let mut scene = Scene::start(3, options).await;
    let mut streams = Vec::new();
    for (i, node) in scene.nodes.iter().enumerate().take(2) {
        let prompt = format!("stream {i}");
        let mut stream = scene.complete(node.callers, &prompt, 60).await.unwrap();
        assert!(stream.next().await);
        streams.push((prompt, stream));
    }
    scene.nodes[0].signal(Signal::TERM);
    scene.nodes[1].signal(Signal::TERM);
    for (prompt, stream) in &mut streams {
        stream.rest().await;
        assert_eq!(stream.text, expected(prompt, 60));
    }
    assert!(scene.nodes[0].exited().await.success());
    assert!(scene.nodes[1].exited().await.success());
    scene.ready(&scene.nodes[2], 5).await;
    let mut last = scene.complete(scene.nodes[2].callers, "still here?", 5).await.unwrap();
    last.rest().await;
    assert_eq!(last.text, expected("still here?", 5));
}

/// A node is stopped while the key-value service is down, so it can neither
/// say that it leaves nor hand its targets over. Its stream is not cut, it
/// still ends with status 0, and the others go on.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_during_an_outage_cuts_no_request() {
    let mut options = options();
    options.engine.model.speed = 1.0;
    let mut scene = Scene::start(3, options).await;
    let at = scene.nodes[0].callers;
    let mut stream = scene.complete(at, "an outage", 60).await.unwrap();
    assert!(stream.next().await);
    scene.standins.store.faults().kill();
    scene.nodes[0].signal(Signal::TERM);
    let mut kept = scene.complete(at, "a kept address", 5).await.unwrap();
    kept.rest().await;
    assert_eq!(kept.text, expected("a kept address", 5));
    stream.rest().await;
    assert_eq!(stream.text, expected("an outage", 60));
    assert!(scene.nodes[0].exited().await.success());
    let mut other = scene.complete(scene.nodes[1].callers, "the others", 5).await.unwrap();
    other.rest().await;
    assert_eq!(other.text, expected("the others", 5));
}

/// A node without any request is stopped. For as long as callers may keep an
/// answer that names it, they connect there and are served.
#[tokio::test(flavor = "multi_thread")]
async fn a_stopping_node_serves_kept_addresses() {
    let keep = Duration::from_secs(2);
    let mut times = times();
    times["entry_keep_ms"] = json!(keep.as_millis() as u64);
    let mut scene = Scene::start_with(2, options(), &times).await;
    scene.ready(&scene.nodes[0], 5).await;
    let at = scene.nodes[0].callers;
    scene.nodes[0].signal(Signal::TERM);
    // Half of the time: a request that is begun just before its end may come
    // after it.
    let end = Instant::now() + keep / 2;
    for i in 0.. {
        if Instant::now() >= end {
            break;
        }
        let prompt = format!("kept {i}");
        let mut stream =
            scene.complete(at, &prompt, 2).await.expect("the node still takes callers");
        stream.rest().await;
        assert_eq!(stream.text, expected(&prompt, 2));
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert!(scene.nodes[0].exited().await.success());
}

/// One node is stopped and another one killed at the same time, both with a
/// stream. The stream of the first is not cut and its process ends with status
/// 0; the caller of the second resumes through the third and gets the rest.
#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_beside_a_kill_cuts_no_request() {
    let mut options = options();
    options.engine.model.speed = 0.5;
    let mut scene = Scene::start(3, options).await;
    let mut streams = Vec::new();
    for node in &scene.nodes[..2] {
        let mut stream = scene.complete(node.callers, "both", 60).await.unwrap();
        assert!(stream.next().await);
        streams.push(stream);
    }
    scene.nodes[0].signal(Signal::TERM);
    scene.nodes[1].kill();
    let (mut killed, mut stopped) = (streams.remove(1), streams.remove(0));
    while killed.next().await {}
    let at = scene.nodes[2].callers;
    let mut rest = eventually("the stream is taken up", || async {
        let rest = scene.resume(at, &killed.request, &killed.event).await.ok()?;
        (rest.status == 200).then_some(rest)
    })
    .await;
    rest.rest().await;
    assert_eq!(killed.text + &rest.text, expected("both", 60));
    stopped.rest().await;
    assert_eq!(stopped.text, expected("both", 60));
    assert!(stopped.done);
    assert!(scene.nodes[0].exited().await.success());
}

/// Two of three nodes are stopped at once while the key-value service is down:
/// neither can hand over, no stream is cut, both end with status 0.
#[tokio::test(flavor = "multi_thread")]
async fn two_planned_stops_during_an_outage_cut_no_request() {
    let mut options = options();
    options.engine.model.speed = 0.1;
    let mut scene = Scene::start(3, options).await;
    let mut streams = Vec::new();
    for (i, node) in scene.nodes.iter().enumerate().take(2) {
        let prompt = format!("outage {i}");
        let mut stream = scene.complete(node.callers, &prompt, 60).await.unwrap();
        assert!(stream.next().await);
        streams.push((prompt, stream));
    }
    scene.standins.store.faults().kill();
    scene.nodes[0].signal(Signal::TERM);
    scene.nodes[1].signal(Signal::TERM);
    for (prompt, stream) in &mut streams {
        stream.rest().await;
        assert_eq!(stream.text, expected(prompt, 60));
        assert!(stream.done);
    }
    assert!(scene.nodes[0].exited().await.success());
    assert!(scene.nodes[1].exited().await.success());
}
