//! What the log tells of a request that met a failure.

use crate::support::{Scene, eventually, expected, options};
use serde_json::Value;

/// The engine dies in the middle of a stream and another one goes on. The
/// caller sees nothing of it; the operator finds one line that names the
/// request, the attempt, the account, the target and its zone.
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_attempt_is_logged_with_what_it_was_about() {
    let mut options = options();
    options.engine.model.speed = 0.5;
    let scene = Scene::start(1, options).await;
    let mut stream = scene.complete(scene.nodes[0].callers, "logged", 30).await.unwrap();
    assert!(stream.next().await);
    let holds = |engine: &&hickory_standin::engine::Handle| engine.service().kv_used().0 > 0;
    let engine = scene.standins.engines.iter().position(|e| holds(&e)).expect("one holds it");
    scene.standins.engines[engine].faults().kill();
    stream.rest().await;
    assert_eq!(stream.text, expected("logged", 30));

    let line = eventually("a line about the attempt", || async {
        let text = std::fs::read_to_string(&scene.nodes[0].log).ok()?;
        let mut lines = text.lines().filter_map(|line| serde_json::from_str::<Value>(line).ok());
        lines.find(|line| line["message"].as_str().is_some_and(|m| m.starts_with("attempt failed")))
    })
    .await;
    assert_eq!(line["level"], "WARN");
    let about = &line["attributes"];
    assert_eq!(about["request"], stream.request.as_str());
    assert_eq!(about["attempt"], "0");
    assert_eq!(about["target"], format!("engine-{engine}"));
    assert_eq!(about["zone"], ["a", "b", "c"][engine % 3]);
    assert!(about["account"].is_string(), "{line}");
}
