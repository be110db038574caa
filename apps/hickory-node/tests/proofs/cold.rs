//! A target that has just started, or has turned cold, receives no more load
//! than it can bear.

use crate::support::{OPERATOR, Scene, eventually, expected, options};
use hickory_standin::fleet;
use rustix::process::Signal;
use std::time::Duration;

/// Engines that start cold and fall over under more than they bear.
fn cold_engines() -> fleet::Options {
    let mut options = options();
    options.engine.model.speed = 4.0;
    options.engine.model.warmth = 0;
    options.engine.model.warm_time = Duration::from_secs(40);
    options.engine.model.falls_over = true;
    options.engine.model.streams_max = 32;
    options
}

impl Scene {
    /// Times that any engine was given more than it bore.
    fn overloads(&self) -> u64 {
        let engines = self.standins.engines.iter();
        engines.map(|engine| engine.service().with_engine(|e| e.counts().overloads)).sum()
    }

    /// Sends `count` requests at once through the nodes named, and counts the
    /// whole answers; refusals are allowed, wrong answers are not.
    async fn burst(&self, name: &str, count: usize, nodes: &[usize]) -> usize {
        let asks = (0..count).map(|i| async move {
            let prompt = format!("{name} {i}");
            let at = self.nodes[nodes[i % nodes.len()]].callers;
            let Ok(mut stream) = self.complete(at, &prompt, 8).await else { return false };
            stream.rest().await;
            let whole = stream.done && stream.text == expected(&prompt, 8);
            assert!(whole || !stream.done, "a wrong answer");
            whole
        });
        let whole = futures::future::join_all(asks).await;
        whole.into_iter().filter(|whole| *whole).count()
    }
}

/// All nodes send a burst at engines that have just started. Their owners let
/// through what a cold engine bears and more as it warms: none is ever over
/// its bound, and every request is answered in the end.
#[tokio::test(flavor = "multi_thread")]
async fn cold_engines_are_not_given_more_than_they_bear() {
    let scene = Scene::start(3, cold_engines()).await;
    assert_eq!(scene.burst("burst", 120, &[0, 1, 2]).await, 120);
    assert_eq!(scene.overloads(), 0);
}

/// An owner is killed in the middle of the ramp. Its successor knows nothing
/// of what it granted, and still no engine is given more than it bears.
#[tokio::test(flavor = "multi_thread")]
async fn an_owner_killed_in_the_ramp_overloads_nobody() {
    let mut scene = Scene::start(3, cold_engines()).await;
    let dead = scene.owner("engine-0").await;
    let left = [(dead + 1) % 3, (dead + 2) % 3];
    // Streams that outlast the owner: its successor has not granted them and
    // must count them all the same.
    let mut running = Vec::new();
    while scene.standins.engines[0].service().kv_used().0 == 0 {
        let prompt = format!("running {}", running.len());
        let at = scene.nodes[left[0]].callers;
        let mut stream = scene.complete(at, &prompt, 1_000).await.unwrap();
        assert!(stream.next().await);
        running.push(stream);
    }
    scene.nodes[dead].kill();
    let whole = scene.burst("second", 90, &left).await;
    assert_eq!(scene.overloads(), 0);
    assert!(whole > 0);
    for (i, stream) in running.iter_mut().enumerate() {
        stream.rest().await;
        assert_eq!(stream.text, expected(&format!("running {i}"), 1_000));
    }
}

/// An owner is paused for longer than its lease, another takes its targets
/// over, and the paused one goes on and still thinks itself owner. The permits
/// of both together never exceed what an engine bears.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_owner_that_goes_on_overloads_nobody() {
    let scene = Scene::start(3, cold_engines()).await;
    scene.nodes[0].signal(Signal::STOP);
    let (first, ()) = tokio::join!(scene.burst("paused", 60, &[1, 2]), async {
        tokio::time::sleep(Duration::from_secs(3)).await;
        scene.nodes[0].signal(Signal::CONT);
    });
    let second = scene.burst("gone on", 60, &[0, 1, 2]).await;
    assert_eq!(scene.overloads(), 0);
    assert!(first > 0 && second > 0);
}

/// The key-value service is down while engines are cold: owners go on at half
/// of what the engines bear, and none is over its bound.
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_platform_overloads_nobody() {
    let scene = Scene::start(3, cold_engines()).await;
    scene.standins.store.faults().kill();
    let whole = scene.burst("outage", 90, &[0, 1, 2]).await;
    assert_eq!(scene.overloads(), 0);
    assert!(whole > 0);
}

/// The key-value service is down and its owners can't confirm themselves:
/// another one may take itself for the owner as well, so each keeps to half of
/// what the engines bear.
#[tokio::test(flavor = "multi_thread")]
async fn owners_that_are_not_confirmed_keep_to_half() {
    let mut options = options();
    options.engine.model.streams_max = 32;
    let scene = Scene::start(2, options).await;
    let at = scene.nodes[0].admin;
    let bounded = |most: u64| {
        let scene = &scene;
        move || async move {
            let targets = scene.get(at, "/v1/admin/targets", OPERATOR).await?;
            let engines = targets.as_array()?.iter().filter(|t| t["kind"] == "engine");
            let bounds: Vec<u64> = engines.filter_map(|t| t["bound"].as_u64()).collect();
            (bounds.len() == 3 && bounds.iter().all(|bound| *bound == most)).then_some(())
        }
    };
    eventually("all engines are open in full", bounded(32)).await;
    scene.standins.store.faults().kill();
    eventually("all engines are open by half", bounded(16)).await;
    scene.standins.store.faults().restart();
    eventually("all engines are open in full again", bounded(32)).await;
}

/// Warm engines turn cold without a word in the middle of their work. What
/// was on its way may be too much for a moment; their owners see it and let
/// work in step by step again, so that none falls over and all is answered.
#[tokio::test(flavor = "multi_thread")]
async fn engines_that_turn_cold_in_silence_do_not_fall_over() {
    let mut options = cold_engines();
    options.engine.model.warmth = 100;
    options.engine.model.speed = 1.0;
    let scene = Scene::start(3, options).await;
    assert_eq!(scene.burst("warm", 60, &[0, 1, 2]).await, 60);
    scene.standins.engines.iter().for_each(|engine| engine.service().turn_cold());
    // The first bursts meet engines of which nobody can know yet that they are
    // cold; the later ones must not.
    for round in 0..4 {
        let whole = scene.burst(&format!("cold {round}"), 90, &[0, 1, 2]).await;
        assert_eq!(scene.dead_engines(), 0, "an engine fell over in round {round}");
        assert_eq!(whole, 90);
    }
}
