//! Engines load and unload weights as configured: a new version is loaded while the
//! old one serves, and a withdrawn version is unloaded after its last stream.

use crate::support::{Cluster, MODEL, OPERATOR, eventually, expected_text, options, weights};
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

impl Cluster {
    /// Counts the engines that have the version loaded and ready.
    fn count_serving(&self, version: &str) -> usize {
        let wanted = Weights { version: version.into(), ..weights() };
        let engines = self.standins.engines.iter();
        let reports = engines.map(|engine| engine.service().with_engine(|e| e.current_report()));
        let has = |l: &hickory_target::engine::LoadedWeights| l.ready && l.weights == wanted;
        reports.filter(|report| report.loaded.iter().any(has)).count()
    }
}

/// A new version is rolled out and the old one is withdrawn while callers keep
/// sending requests that name no version. No request is refused: the old version
/// serves until the new one is ready, and a stream that runs on it finishes before
/// it is unloaded.
#[tokio::test(flavor = "multi_thread")]
async fn a_version_rollout_refuses_no_request() {
    let mut options = options();
    options.engine.model.speed = 1.0;
    options.weights.bytes_per_second = size::Bytes(40_000_000_000);
    let cluster = Cluster::start(2, options).await;
    let at = cluster.nodes[0].callers;
    let mut running = cluster.complete(at, "on the old version", 450).await.unwrap();
    assert!(running.next().await);
    let requests = async {
        for i in 0..40 {
            let prompt = format!("ask {i}");
            let mut stream = cluster.complete(at, &prompt, 2).await.unwrap();
            stream.read_to_end().await;
            assert_eq!(stream.problem, None);
            assert_eq!(stream.text, expected_text(&prompt, 2));
        }
    };
    let rollout = async {
        cluster.apply_note(&model_note(1, "2", &["1", "2"])).await;
        let loaded = || async { (cluster.count_serving("2") == 3).then_some(()) };
        eventually("all engines serve the new version", loaded).await;
        cluster.apply_note(&model_note(2, "2", &["2"])).await;
    };
    let ((), ()) = tokio::join!(requests, rollout);
    running.read_to_end().await;
    assert_eq!(running.text, expected_text("on the old version", 450));
    let unloaded = || async { (cluster.count_serving("1") == 0).then_some(()) };
    eventually("the old version is unloaded", unloaded).await;
}

/// No engine has weights, as after a zone outage. They load one after the other,
/// within the weight store's limit of concurrent loads, until all serve.
#[tokio::test(flavor = "multi_thread")]
async fn empty_engines_load_within_the_limit_of_the_weight_store() {
    let mut options = options();
    options.engines = 5;
    options.engine.loaded = Vec::new();
    options.weights.bytes_per_second = size::Bytes(40_000_000_000);
    let cluster = Cluster::start_unready(2, options).await;
    let max_loading = std::sync::atomic::AtomicUsize::new(0);
    eventually("all engines serve", || async {
        let engines = cluster.standins.engines.iter();
        let reports = engines.map(|engine| engine.service().with_engine(|e| e.current_report()));
        let loading = reports.filter(|report| report.loaded.iter().any(|l| !l.ready)).count();
        max_loading.fetch_max(loading, std::sync::atomic::Ordering::Relaxed);
        (cluster.count_serving("1") == 5).then_some(())
    })
    .await;
    assert!(max_loading.into_inner() <= 2, "more concurrent loads than the weight store allows");
}

/// The owner of an engine is paused while a new version replaces the old one, and
/// then resumes with its old configuration, by which it would load the old version
/// and unload the new one. Such orders have no lasting effect, whether or not the
/// engine checks fencing epochs.
#[tokio::test(flavor = "multi_thread")]
async fn stale_orders_of_a_paused_owner_do_not_last() {
    for fencing in [true, false] {
        let mut options = options();
        options.engine.model.checks_fence = fencing;
        options.weights.bytes_per_second = size::Bytes(40_000_000_000);
        let cluster = Cluster::start(3, options).await;
        let paused = cluster.owner("engine-0").await;
        let other = &cluster.nodes[(paused + 1) % 3];
        cluster.nodes[paused].signal(Signal::STOP);
        let (status, answer) = cluster.post_note(other, &model_note(1, "2", &["2"])).await;
        assert_eq!(status, 200, "{answer}");
        let replaced = || async { (cluster.count_serving("2") == 3).then_some(()) };
        eventually("all engines serve the new version", replaced).await;
        cluster.nodes[paused].signal(Signal::CONT);
        let settled = || async {
            let health = cluster.get(cluster.nodes[paused].admin, "/health", OPERATOR).await?;
            let known = health["version"] == json!(2);
            (known && cluster.count_serving("2") == 3 && cluster.count_serving("1") == 0)
                .then_some(())
        };
        eventually("only the new version is served", settled).await;
    }
}
