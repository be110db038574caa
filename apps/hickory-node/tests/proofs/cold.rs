//! A target that has just started or has turned cold receives no more requests than
//! it can handle.

use crate::support::{Cluster, OPERATOR, eventually, expected_text, options};
use hickory_standin::fleet;
use rustix::process::Signal;
use std::time::Duration;

/// Returns options for engines that start cold and crash when overloaded.
fn cold_engines() -> fleet::Options {
    let mut options = options();
    options.engine.model.speed = 4.0;
    options.engine.model.warmth = 0;
    options.engine.model.warm_up_time = Duration::from_secs(40);
    options.engine.model.crashes_on_overload = true;
    options.engine.model.max_streams = 32;
    options
}

impl Cluster {
    /// Counts how often any engine was sent more than its capacity.
    fn count_overloads(&self) -> u64 {
        let engines = self.standins.engines.iter();
        engines.map(|engine| engine.service().with_engine(|e| e.counts().overloads)).sum()
    }

    /// Sends `count` requests at once, in turn through the given nodes, and returns
    /// the number of complete answers. Refusals are allowed, wrong answers are not.
    async fn burst(&self, name: &str, count: usize, nodes: &[usize]) -> usize {
        let requests = (0..count).map(|i| async move {
            let prompt = format!("{name} {i}");
            let at = self.nodes[nodes[i % nodes.len()]].callers;
            let Ok(mut stream) = self.complete(at, &prompt, 8).await else { return false };
            stream.read_to_end().await;
            let completed = stream.is_done && stream.text == expected_text(&prompt, 8);
            assert!(completed || !stream.is_done, "a wrong answer");
            completed
        });
        let completed = futures::future::join_all(requests).await;
        completed.into_iter().filter(|completed| *completed).count()
    }
}

/// All nodes send a burst to engines that have just started. Their owners admit
/// what a cold engine can handle, and more as it warms up: no engine is overloaded,
/// and every request is answered.
#[tokio::test(flavor = "multi_thread")]
async fn cold_engines_are_not_overloaded() {
    let cluster = Cluster::start(3, cold_engines()).await;
    assert_eq!(cluster.burst("burst", 120, &[0, 1, 2]).await, 120);
    assert_eq!(cluster.count_overloads(), 0);
}

/// An owner is killed during the warm-up of its engine. Its successor doesn't know
/// what was granted before, and still must not overload any engine.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_killed_during_warm_up_overloads_no_engine() {
    let mut cluster = Cluster::start(3, cold_engines()).await;
    let dead = cluster.owner("engine-0").await;
    let survivors = [(dead + 1) % 3, (dead + 2) % 3];
    // These streams outlive the owner. The successor didn't grant them, but
    // must count them too.
    let mut running = Vec::new();
    while cluster.standins.engines[0].service().kv_used().0 == 0 {
        let prompt = format!("running {}", running.len());
        let at = cluster.nodes[survivors[0]].callers;
        let mut stream = cluster.complete(at, &prompt, 1_000).await.unwrap();
        assert!(stream.next().await);
        running.push(stream);
    }
    cluster.nodes[dead].kill();
    let completed = cluster.burst("second", 90, &survivors).await;
    assert_eq!(cluster.count_overloads(), 0);
    assert!(completed > 0);
    for (i, stream) in running.iter_mut().enumerate() {
        stream.read_to_end().await;
        assert_eq!(stream.text, expected_text(&format!("running {i}"), 1_000));
    }
}

/// An owner is paused for longer than its lease and another node takes over its
/// targets. The paused node then resumes and still believes that it is the owner.
/// The permits of both nodes together must not exceed the engine's capacity.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_that_resumes_overloads_no_engine() {
    let cluster = Cluster::start(3, cold_engines()).await;
    cluster.nodes[0].signal(Signal::STOP);
    let (first, ()) = tokio::join!(cluster.burst("paused", 60, &[1, 2]), async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        cluster.nodes[0].signal(Signal::CONT);
    });
    let second = cluster.burst("gone on", 60, &[0, 1, 2]).await;
    assert_eq!(cluster.count_overloads(), 0);
    assert!(first > 0 && second > 0);
}

/// The key-value service is down while engines are cold. Owners continue with half
/// of each engine's capacity, and no engine is overloaded.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_platform_overloads_no_engine() {
    let cluster = Cluster::start(3, cold_engines()).await;
    cluster.standins.store.faults().kill();
    let completed = cluster.burst("outage", 90, &[0, 1, 2]).await;
    assert_eq!(cluster.count_overloads(), 0);
    assert!(completed > 0);
}

/// The key-value service is down, so owners can't confirm their ownership. Another
/// node may also believe that it is the owner, so each one admits only half of the
/// engine's capacity.
#[tokio::test(flavor = "multi_thread")]
async fn unconfirmed_owners_use_half_of_the_bound() {
    let mut options = options();
    options.engine.model.max_streams = 32;
    let cluster = Cluster::start(2, options).await;
    let at = cluster.nodes[0].admin;
    let all_bounds_equal = |expected: u64| {
        let cluster = &cluster;
        move || async move {
            let targets = cluster.get(at, "/v1/admin/targets", OPERATOR).await?;
            let engines = targets.as_array()?.iter().filter(|t| t["kind"] == "engine");
            let bounds: Vec<u64> = engines.filter_map(|t| t["bound"].as_u64()).collect();
            (bounds.len() == 3 && bounds.iter().all(|bound| *bound == expected)).then_some(())
        }
    };
    eventually("all engines have their full bound", all_bounds_equal(32)).await;
    cluster.standins.store.faults().kill();
    eventually("all engines have half of their bound", all_bounds_equal(16)).await;
    cluster.standins.store.faults().restart();
    eventually("all engines have their full bound again", all_bounds_equal(32)).await;
}

/// Warm engines turn cold under load without reporting it. Requests already in
/// flight may overload them for a moment; then their owners detect the slowdown and
/// raise the load in steps again. No engine crashes, and every request is answered.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_turn_cold_unannounced_do_not_crash() {
    let mut options = cold_engines();
    options.engine.model.warmth = 100;
    options.engine.model.speed = 1.0;
    let cluster = Cluster::start(3, options).await;
    assert_eq!(cluster.burst("warm", 60, &[0, 1, 2]).await, 60);
    cluster.standins.engines.iter().for_each(|engine| engine.service().turn_cold());
    // The first bursts arrive before any node can detect that the engines are
    // cold; the later ones must not overload them.
    for round in 0..4 {
        let completed = cluster.burst(&format!("cold {round}"), 90, &[0, 1, 2]).await;
        assert_eq!(cluster.count_dead_engines(), 0, "an engine crashed in round {round}");
        assert_eq!(completed, 90);
    }
}
