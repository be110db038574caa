//! A request that crashes every target that runs it.

use crate::support::{Cluster, eventually, expected_text, options};
use serde_json::json;

const MARKER: &str = "CRASHES-ENGINES";

/// A request crashes the engine that runs it, is retried alone on another engine,
/// crashes that one too, and is quarantined. Its caller resends it through every
/// node and is refused at once. Other requests that ran on the same engines are
/// answered completely, and no third engine crashes.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_crashes_at_most_two_engines() {
    let mut options = options();
    options.engines = 6;
    options.engine.model.speed = 2.0;
    options.engine.crash_marker = Some(MARKER.to_owned());
    let cluster = Cluster::start(3, options).await;
    let other_requests = (0..12).map(|i| {
        let cluster = &cluster;
        async move {
            let prompt = format!("innocent {i}");
            let at = cluster.nodes[i % 3].callers;
            let mut stream = cluster.complete(at, &prompt, 60).await.unwrap();
            stream.read_to_end().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected_text(&prompt, 60));
        }
    });
    let crash = async {
        let busy = || async { (cluster.kv_used() > 0).then_some(()) };
        eventually("other requests run", busy).await;
        let prompt = format!("{MARKER} in the middle of a prompt");
        let mut first = cluster.complete(cluster.nodes[0].callers, &prompt, 10).await.unwrap();
        first.read_to_end().await;
        let problem = first.problem.expect("a refusal");
        assert_eq!(problem["reason"], json!("quarantined"), "{problem}");
        for node in &cluster.nodes {
            let mut again = cluster.complete(node.callers, &prompt, 10).await.unwrap();
            again.read_to_end().await;
            let problem = again.problem.expect("a refusal");
            assert_eq!(problem["reason"], json!("quarantined"), "{problem}");
            assert_eq!(problem["ran"], json!("no"), "{problem}");
        }
    };
    let (_, ()) = tokio::join!(futures::future::join_all(other_requests), crash);
    assert!(cluster.count_dead_engines() <= 2, "{} engines crashed", cluster.count_dead_engines());
}

/// Two engines freeze one after the other while they run the same request. Neither
/// crashed, so the third engine continues the stream and the content is not
/// quarantined.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_hits_two_frozen_engines_is_not_quarantined() {
    let mut options = options();
    options.engine.model.speed = 0.5;
    let cluster = Cluster::start(2, options).await;
    let prompt = "met frozen engines";
    let mut stream = cluster.complete(cluster.nodes[0].callers, prompt, 40).await.unwrap();
    let mut frozen: Vec<usize> = Vec::new();
    for _ in 0..2 {
        let count = cluster.standins.engines.len();
        let holder = eventually("an engine runs the stream", || async {
            let runs = |i: &usize| cluster.standins.engines[*i].service().kv_used().0 > 0;
            (0..count).filter(|i| !frozen.contains(i)).find(runs)
        })
        .await;
        assert!(stream.next().await, "{:?}", stream.problem);
        cluster.standins.engines[holder].faults().freeze();
        frozen.push(holder);
    }
    stream.read_to_end().await;
    assert_eq!(stream.problem, None);
    assert_eq!(stream.text, expected_text(prompt, 40));
}
