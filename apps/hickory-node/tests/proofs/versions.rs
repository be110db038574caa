//! Weights on engines follow the configuration: a new version goes out beside
//! the old one, and what is withdrawn goes after its last stream.

use crate::support::{MODEL, OPERATOR, Scene, eventually, expected, options, weights};
use hickory_target::engine::Weights;
use hickory_unit::size;
use rustix::process::Signal;
use serde_json::{Value, json};

fn model_note(against: u64, current: &str, versions: &[&str]) -> Value {
    let versions: serde_json::Map<_, _> =
        versions.iter().map(|v| ((*v).to_owned(), json!({ "bytes": 1_000_000 }))).collect();
    json!({
        "against": against,
        "operation": uuid::Uuid::now_v7().to_string(),
        "changed": { "models": { MODEL: { "current": current, "versions": versions } } },
    })
}

impl Scene {
    /// Engines that serve with the version.
    fn serving(&self, version: &str) -> usize {
        let wanted = Weights { version: version.into(), ..weights() };
        let engines = self.standins.engines.iter();
        let reports = engines.map(|engine| engine.service().with_engine(|e| e.take_report()));
        let has = |l: &hickory_target::engine::LoadedWeights| l.ready && l.weights == wanted;
        reports.filter(|report| report.loaded.iter().any(has)).count()
    }
}

/// A new version goes out and the old one is withdrawn, while callers who name
/// no version ask all the time. No request is refused: the old version serves
/// until the new one is ready, and a stream that runs on it ends whole before
/// it is unloaded.
#[tokio::test(flavor = "multi_thread")]
async fn a_new_version_goes_out_without_a_refusal() {
    let mut options = options();
    options.engine.model.speed = 1.0;
    options.weights.bytes_per_second = size::Bytes(40_000_000_000);
    let scene = Scene::start(2, options).await;
    let at = scene.nodes[0].callers;
    let mut running = scene.complete(at, "on the old version", 450).await.unwrap();
    assert!(running.next().await);
    let asks = async {
        for i in 0..40 {
            let prompt = format!("ask {i}");
            let mut stream = scene.complete(at, &prompt, 2).await.unwrap();
            stream.rest().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected(&prompt, 2));
        }
    };
    let rollout = async {
        scene.accept(&model_note(1, "2", &["1", "2"])).await;
        let loaded = || async { (scene.serving("2") == 3).then_some(()) };
        eventually("all engines serve the new version", loaded).await;
        scene.accept(&model_note(2, "2", &["2"])).await;
    };
    let ((), ()) = tokio::join!(asks, rollout);
    running.rest().await;
    assert_eq!(running.text, expected("on the old version", 450));
    let unloaded = || async { (scene.serving("1") == 0).then_some(()) };
    eventually("the old version is unloaded", unloaded).await;
}

/// All engines are empty, as after a zone's return. They load one after the
/// other, no more at once than the weight store bears, until all serve.
#[tokio::test(flavor = "multi_thread")]
async fn empty_engines_load_within_the_bound_of_the_weight_store() {
    let mut options = options();
    options.engines = 5;
    options.engine.loaded = Vec::new();
    options.weights.bytes_per_second = size::Bytes(40_000_000_000);
    let scene = Scene::start_unready(2, options).await;
    let most = std::sync::atomic::AtomicUsize::new(0);
    eventually("all engines serve", || async {
        let engines = scene.standins.engines.iter();
        let reports = engines.map(|engine| engine.service().with_engine(|e| e.take_report()));
        let loading = reports.filter(|report| report.loaded.iter().any(|l| !l.ready)).count();
        most.fetch_max(loading, std::sync::atomic::Ordering::Relaxed);
        (scene.serving("1") == 5).then_some(())
    })
    .await;
    assert!(most.into_inner() <= 2, "more loads at once than the store bears");
}

/// The owner of an engine is paused, a version replaces the old one in the
/// meantime, and the owner goes on with its old configuration: it would load
/// the old version and unload the new one. Whether the engine checks fencing
/// numbers or ignores them, no such order lasts.
#[tokio::test(flavor = "multi_thread")]
async fn late_orders_of_a_paused_owner_do_not_last() {
    for fencing in [true, false] {
        let mut options = options();
        options.engine.model.fencing = fencing;
        options.weights.bytes_per_second = size::Bytes(40_000_000_000);
        let scene = Scene::start(3, options).await;
        let paused = scene.owner("engine-0").await;
        let other = &scene.nodes[(paused + 1) % 3];
        scene.nodes[paused].signal(Signal::STOP);
        let (status, answer) = scene.post_note(other, &model_note(1, "2", &["2"])).await;
        assert_eq!(status, 200, "{answer}");
        let replaced = || async { (scene.serving("2") == 3).then_some(()) };
        eventually("all engines serve the new version", replaced).await;
        scene.nodes[paused].signal(Signal::CONT);
        let settled = || async {
            let health = scene.get(scene.nodes[paused].admin, "/health", OPERATOR).await?;
            let known = health["version"] == json!(2);
            (known && scene.serving("2") == 3 && scene.serving("1") == 0).then_some(())
        };
        eventually("only the new version is served", settled).await;
    }
}
