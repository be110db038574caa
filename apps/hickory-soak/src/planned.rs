//! Planned work, which may overlap: stops and restarts, changed settings, and configurations.

use crate::host::Host;
use crate::run::Run;
use hickory_adapter_standin::configuration::Variant;
use hickory_path::settings::Bounds;
use rand::Rng;
use rand::rngs::StdRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rustix::process::Signal;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;

/// Grace periods between SIGTERM and the kill.
pub(crate) const GRACE_PERIODS: [Duration; 3] =
    [Duration::from_millis(5_000), Duration::from_millis(6_500), Duration::from_millis(8_000)];

/// Number of kinds of planned work from which `work` draws.
pub(crate) const KINDS: u32 = 10;

/// Maximum time between the begins of two stops of a series.
const MAX_SERIES_GAP_MS: u64 = 3_000;

/// Maximum time from a changed settings file to SIGTERM.
const MAX_RELOAD_LEAD_MS: u64 = 60;

/// Time from the kill of a process at the end of its grace period until it is gone.
const KILL_TOLERANCE: Duration = Duration::from_millis(300);

/// Time in which a process must serve after its start.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Does planned work of a kind below `KINDS`.
pub(crate) async fn work(run: &Run, random: &mut StdRng, kind: u32) {
    match kind {
        0..=2 => stop_any(run, random).await,
        3 => stop_series(run, random).await,
        4 => hang_up_any(run, random).await,
        5 => change_settings(run, random, true).await,
        6 => change_settings(run, random, false).await,
        _ => change_configuration(run, random),
    }
}

/// Stops a host and starts it again. The settings may change just before SIGTERM, and SIGTERM may
/// come twice.
async fn stop(run: &Run, host: &Host, random: &mut StdRng) {
    let Ok(_guard) = host.restart_lock.try_lock() else { return };
    if !run.begin_stop() {
        return;
    }
    if random.random_bool(0.3) {
        let is_signalled = random.random_bool(0.5);
        reload(run, host, random, is_signalled).await;
        let lead = Duration::from_millis(random.random_range(0..MAX_RELOAD_LEAD_MS));
        if random.random_bool(0.5) {
            tokio::time::sleep(lead).await;
        }
    }
    let grace = host.begin_stop();
    run.print_event(&format!("{} stopped, grace {grace:?}", host.settings.node));
    host.disturb(grace + KILL_TOLERANCE + RECOVERY_TIME);
    let repeat = random.random_bool(0.3).then(|| random.random_range(0.0..0.7));
    let repeat_signal = async {
        if let Some(part) = repeat {
            tokio::time::sleep(grace.mul_f64(part)).await;
            run.print_event(&format!("{} stopped once more", host.settings.node));
            host.signal(Signal::TERM);
        }
    };
    let (has_exited, ()) = tokio::join!(host.end_stop(grace + KILL_TOLERANCE), repeat_signal);
    if !has_exited {
        run.print_event(&format!("{} did not end within its grace time", host.settings.node));
    }
    run.restart(host);
    run.end_stop();
}

pub(crate) async fn stop_any(run: &Run, random: &mut StdRng) {
    if let Some(host) = run.hosts.choose(random) {
        stop(run, host, random).await;
    }
}

/// Stops hosts one after the other, before the first ones are back.
async fn stop_series(run: &Run, random: &mut StdRng) {
    let mut hosts: Vec<_> = run.hosts.iter().collect();
    hosts.shuffle(random);
    let gap = Duration::from_millis(random.random_range(0..MAX_SERIES_GAP_MS));
    let stops = hosts.into_iter().enumerate().map(|(number, host)| {
        let mut random: StdRng = rand::SeedableRng::seed_from_u64(random.random());
        async move {
            tokio::time::sleep(gap * number as u32).await;
            stop(run, host, &mut random).await;
        }
    });
    futures::future::join_all(stops).await;
}

/// Sends SIGHUP without a change.
async fn hang_up_any(run: &Run, random: &mut StdRng) {
    let Some(host) = run.hosts.choose(random) else { return };
    run.print_event(&format!("{} reloads", host.settings.node));
    hang_up(host).await;
}

/// Sends SIGHUP to a process that listens. It ends one that has just started and doesn't handle
/// signals yet.
async fn hang_up(host: &Host) {
    let incarnation = host.incarnation();
    let is_listening = TcpStream::connect(host.settings.callers).await.is_ok();
    if is_listening && host.incarnation() == incarnation {
        host.signal(Signal::HUP);
    }
}

/// Changes the settings of a host that isn't being stopped.
async fn change_settings(run: &Run, random: &mut StdRng, is_signalled: bool) {
    let Some(host) = run.hosts.choose(random) else { return };
    if let Ok(_guard) = host.restart_lock.try_lock() {
        reload(run, host, random, is_signalled).await;
    }
}

async fn reload(run: &Run, host: &Host, random: &mut StdRng, is_signalled: bool) {
    let bounds = host.bounds();
    let mut repeats = bounds.repeats;
    repeats.extra = random.random_range(50.0..200.0);
    let grace = *GRACE_PERIODS.choose(random).unwrap_or(&bounds.grace);
    let node = &host.settings.node;
    run.print_event(&format!("{node} gets grace {grace:?}, signalled: {is_signalled}"));
    if let Err(error) = host.change_bounds(Bounds { grace, repeats, ..bounds }) {
        run.print_event(&format!("{node} doesn't get its settings: {error}"));
    }
    if is_signalled {
        hang_up(host).await;
    }
}

/// Writes the next configuration, which changes timeouts, a route or a key.
fn change_configuration(run: &Run, random: &mut StdRng) {
    let version = run.version.fetch_add(1, Ordering::Relaxed) + 1;
    let variant = run.change_variant(|variant| {
        let Variant { has_other_timeouts, is_route_moved, has_added_route, lacks_second_key } =
            variant;
        let fields = [has_other_timeouts, is_route_moved, has_added_route, lacks_second_key];
        for field in fields {
            *field ^= random.random_bool(0.4);
        }
    });
    run.print_event(&format!("configuration {version} {variant:?}"));
    run.write_configuration(version);
}
