//! A request that crashes each target that runs it.

use crate::support::{Scene, eventually, expected, options};
use serde_json::json;

const MARKER: &str = "CRASHES-ENGINES";

/// One request kills the engine that runs it, is tried again alone, kills that
/// one, and is quarantined. Its caller sends it again through every node and
/// is refused at once. Innocent requests that ran beside it get their whole
/// answers, and no third engine dies.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_costs_two_engines_at_most() {
    let mut options = options();
    options.engines = 6;
    options.engine.model.speed = 2.0;
    options.engine.crash_marker = Some(MARKER.to_owned());
    let scene = Scene::start(3, options).await;
    let innocents = (0..12).map(|i| {
        let scene = &scene;
        async move {
            let prompt = format!("innocent {i}");
            let at = scene.nodes[i % 3].callers;
            let mut stream = scene.complete(at, &prompt, 60).await.unwrap();
            stream.rest().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected(&prompt, 60));
        }
    });
    let crash = async {
        let busy = || async { (scene.kv_used() > 0).then_some(()) };
        eventually("innocent requests run", busy).await;
        let prompt = format!("{MARKER} in the middle of a prompt");
        let mut first = scene.complete(scene.nodes[0].callers, &prompt, 10).await.unwrap();
        first.rest().await;
        let problem = first.problem.expect("a refusal");
        assert_eq!(problem["reason"], json!("quarantined"), "{problem}");
        for node in &scene.nodes {
            let mut again = scene.complete(node.callers, &prompt, 10).await.unwrap();
            again.rest().await;
            let problem = again.problem.expect("a refusal");
            assert_eq!(problem["reason"], json!("quarantined"), "{problem}");
            assert_eq!(problem["ran"], json!("no"), "{problem}");
        }
    };
    let (_, ()) = tokio::join!(futures::future::join_all(innocents), crash);
    assert!(scene.dead_engines() <= 2, "{} engines died", scene.dead_engines());
}

/// Two engines freeze under one request, one after the other. Neither of them
/// died: the third goes on with the stream, and its content is not quarantined.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_met_two_frozen_engines_is_not_quarantined() {
    let mut options = options();
    options.engine.model.speed = 0.5;
    let scene = Scene::start(2, options).await;
    let prompt = "met frozen engines";
    let mut stream = scene.complete(scene.nodes[0].callers, prompt, 40).await.unwrap();
    let mut frozen: Vec<usize> = Vec::new();
    for _ in 0..2 {
        let count = scene.standins.engines.len();
        let holder = eventually("an engine runs the stream", || async {
            let runs = |i: &usize| scene.standins.engines[*i].service().kv_used().0 > 0;
            (0..count).filter(|i| !frozen.contains(i)).find(runs)
        })
        .await;
        assert!(stream.next().await, "{:?}", stream.problem);
        scene.standins.engines[holder].faults().freeze();
        frozen.push(holder);
    }
    stream.rest().await;
    assert_eq!(stream.problem, None);
    assert_eq!(stream.text, expected(prompt, 40));
}
