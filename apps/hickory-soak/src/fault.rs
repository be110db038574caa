//! Faults, drawn from the seed: alone, in series and overlapping.

use crate::proxy::{Mode, Proxy};
use crate::scene::Scene;
use hickory_adapter_standin::store::Fault;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Between two faults at most; they last longer, so that they overlap.
const GAP_MS: u64 = 900;

/// How long a fault lasts, in milliseconds.
const LASTS_MS: std::ops::Range<u64> = 200..2_500;

/// How long a node may take to come back after a fault.
const AFTER: Duration = Duration::from_secs(3);

/// What a stopped process may take beyond its grace time.
const GRACE: Duration = Duration::from_millis(5_300);

/// Causes faults for a time.
pub(crate) async fn run(scene: Arc<Scene>, time: Duration) {
    let mut random = StdRng::seed_from_u64(scene.seed);
    let end = Instant::now() + time;
    let mut under_way = Vec::new();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(random.random_range(50..GAP_MS))).await;
        let lasts = Duration::from_millis(random.random_range(LASTS_MS));
        under_way.push(tokio::spawn(cause(scene.clone(), random.random(), lasts)));
    }
    for fault in under_way {
        // A fault that panicked has printed why.
        let _ = fault.await;
    }
}

async fn cause(scene: Arc<Scene>, seed: u64, lasts: Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    match random.random_range(0..10) {
        0..=1 => harm_link(&scene, &mut random, lasts).await,
        2 => pause(&scene, &mut random, lasts).await,
        3 => kill(&scene, &mut random, lasts).await,
        4 => stop(&scene, &mut random).await,
        5..=6 => harm_store(&scene, &mut random, lasts).await,
        7 => drain(&scene, &mut random, lasts).await,
        _ => change_configuration(&scene),
    }
}

async fn harm_link(scene: &Scene, random: &mut StdRng, lasts: Duration) {
    let modes = [Mode::Delay(Duration::from_millis(150)), Mode::Reset, Mode::Silence, Mode::OneWay];
    let mode = *modes.choose(random).unwrap_or(&Mode::Pass);
    let links: Vec<&Proxy> = scene.links().collect();
    let Some(link) = links.choose(random) else { return };
    scene.say(&format!("link {} {mode:?} for {lasts:?}", link.address));
    link.set(mode);
    tokio::time::sleep(lasts).await;
    link.set(Mode::Pass);
}

async fn pause(scene: &Scene, random: &mut StdRng, lasts: Duration) {
    let Some(host) = scene.hosts.choose(random) else { return };
    scene.say(&format!("{} paused for {lasts:?}", host.settings.node));
    host.disturb(lasts + AFTER);
    host.signal(Signal::STOP);
    tokio::time::sleep(lasts).await;
    host.signal(Signal::CONT);
}

async fn kill(scene: &Scene, random: &mut StdRng, lasts: Duration) {
    let Some(host) = scene.hosts.choose(random) else { return };
    scene.say(&format!("{} killed, back after {lasts:?}", host.settings.node));
    host.disturb(lasts + AFTER);
    host.signal(Signal::KILL);
    let Ok(_turn) = host.turn.try_lock() else { return };
    host.wait(Duration::from_secs(1)).await;
    tokio::time::sleep(lasts).await;
    scene.start(host);
}

async fn stop(scene: &Scene, random: &mut StdRng) {
    let Some(host) = scene.hosts.choose(random) else { return };
    scene.say(&format!("{} stopped", host.settings.node));
    host.disturb(GRACE + AFTER);
    host.signal(Signal::TERM);
    let Ok(_turn) = host.turn.try_lock() else { return };
    if !host.wait(GRACE).await {
        scene.say(&format!("{} did not end within its grace time", host.settings.node));
    }
    scene.start(host);
}

async fn harm_store(scene: &Scene, random: &mut StdRng, lasts: Duration) {
    let faults = [Fault::Status(503), Fault::Status(429), Fault::ResponseLost, Fault::Unresponsive];
    let fault = *faults.choose(random).unwrap_or(&Fault::None);
    scene.say(&format!("store {fault:?} for {lasts:?}"));
    scene.store.set_fault(fault);
    if random.random_bool(0.3) {
        scene.store.compact();
    }
    tokio::time::sleep(lasts).await;
    scene.store.set_fault(Fault::None);
}

async fn drain(scene: &Scene, random: &mut StdRng, lasts: Duration) {
    let Some((replica, _)) = scene.replicas.choose(random) else { return };
    scene.say(&format!("{} leaves for {lasts:?}", replica.name));
    scene.store.put(&scene.entry_key(replica), &replica.entry("draining"));
    tokio::time::sleep(lasts).await;
    scene.store.put(&scene.entry_key(replica), &replica.entry("ready"));
}

fn change_configuration(scene: &Scene) {
    let version = scene.version.fetch_add(1, Ordering::Relaxed) + 1;
    scene.say(&format!("configuration {version}"));
    scene.write_configuration(version);
}
