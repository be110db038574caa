//! Random faults, drawn from the seed, which may overlap.

use crate::caller::{self, FIRST_PART};
use crate::episode::{Episode, Kind};
use crate::planned;
use crate::proxy::{Mode, Proxy};
use crate::run::{Faults, Run, Scope};
use hickory_adapter_standin::caller::request_with_parts;
use hickory_adapter_standin::cut::State;
use hickory_adapter_standin::store::Fault;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// Maximum time between the starts of two faults. Faults last longer than this, so
/// that they overlap.
const MAX_GAP_MS: u64 = 900;

/// Range of fault durations.
const DURATION_MS: std::ops::Range<u64> = 200..2_500;

/// Maximum age of the copy from which the store is restored when the store goes away.
const MAX_COPY_AGE_MS: u64 = 5_000;

/// Maximum time after which operators and replicas write again what the copy lacks.
const MAX_REWRITE_DELAY_MS: u64 = 1_500;

/// Duration of faults whose effect is checked over their time.
const EPISODE_TIME: Duration = Duration::from_secs(9);

/// Interval between two requests with a part under which engines crash.
const CRASHING_REQUEST_INTERVAL: Duration = Duration::from_millis(500);

/// Interval at which replicas are checked for crashes. A replica closes its connections some time
/// after it has crashed, when its links must refuse new ones already.
const CRASH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time until a crashed replica is back.
const RESTART_TIME: Duration = Duration::from_millis(1_500);

/// Time in which a node must serve again after a fault.
const RECOVERY_TIME: Duration = Duration::from_secs(3);

/// Number of kinds of faults, without planned work.
const FAULT_KINDS: u32 = 18;

/// Injects faults for `time`.
pub(crate) async fn inject_faults(run: Arc<Run>, time: Duration) {
    let mut random = StdRng::seed_from_u64(run.seed);
    let end = Instant::now() + time;
    let mut running = Vec::new();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(random.random_range(50..MAX_GAP_MS))).await;
        let duration = Duration::from_millis(random.random_range(DURATION_MS));
        running.push(tokio::spawn(inject_fault(run.clone(), random.random(), duration)));
    }
    for fault in running {
        // A panic in a fault task has already been printed.
        let _ = fault.await;
    }
}

async fn inject_fault(run: Arc<Run>, seed: u64, duration: Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let kind = match run.faults {
        Faults::Planned => FAULT_KINDS + random.random_range(0..planned::KINDS),
        Faults::All => random.random_range(0..FAULT_KINDS + planned::KINDS),
    };
    match kind {
        FAULT_KINDS.. => planned::work(&run, &mut random, kind - FAULT_KINDS).await,
        0..=1 => disturb_link(&run, &mut random, duration).await,
        2 => pause(&run, &mut random, duration).await,
        3 => kill(&run, &mut random, duration).await,
        4 => planned::stop_any(&run, &mut random).await,
        5..=6 => disturb_store(&run, &mut random, duration).await,
        7 => drain(&run, &mut random, duration).await,
        8 => limit_rate(&run, &mut random).await,
        9 => cut_target_links(&run, &mut random).await,
        10..=11 => state_leave(&run, &mut random).await,
        12 => ask_for_rest(&run, &mut random).await,
        13 => crash_under_part(&run, &mut random).await,
        14 => turn_cold(&run, &mut random).await,
        15 => restore_store(&run, &mut random, duration).await,
        _ => change_configuration(&run),
    }
}

async fn disturb_link(run: &Run, random: &mut StdRng, duration: Duration) {
    let modes = [Mode::Delay(Duration::from_millis(150)), Mode::Reset, Mode::Silence, Mode::OneWay];
    let mode = *modes.choose(random).unwrap_or(&Mode::Pass);
    let links: Vec<&Proxy> = run.links().collect();
    let Some(link) = links.choose(random) else { return };
    run.print_event(&format!("link {} {mode:?} for {duration:?}", link.address));
    link.set(mode);
    tokio::time::sleep(duration).await;
    link.set(Mode::Pass);
}

async fn pause(run: &Run, random: &mut StdRng, duration: Duration) {
    let Some(host) = run.hosts.choose(random) else { return };
    run.print_event(&format!("{} paused for {duration:?}", host.settings.node));
    host.disturb(duration + RECOVERY_TIME);
    host.disturb_unplanned(duration);
    host.signal(Signal::STOP);
    tokio::time::sleep(duration).await;
    host.signal(Signal::CONT);
}

async fn kill(run: &Run, random: &mut StdRng, duration: Duration) {
    let Some(host) = run.hosts.choose(random) else { return };
    run.print_event(&format!("{} killed, back after {duration:?}", host.settings.node));
    host.disturb(duration + RECOVERY_TIME);
    host.disturb_unplanned(duration);
    host.signal(Signal::KILL);
    let Ok(_guard) = host.restart_lock.try_lock() else { return };
    host.wait(Duration::from_secs(1)).await;
    tokio::time::sleep(duration).await;
    run.restart(host);
}

async fn disturb_store(run: &Run, random: &mut StdRng, duration: Duration) {
    // An outage with its own end is under way.
    if run.outage_lock.try_lock().is_err() {
        return;
    }
    let faults = [Fault::Status(503), Fault::Status(429), Fault::ResponseLost, Fault::Unresponsive];
    let fault = *faults.choose(random).unwrap_or(&Fault::None);
    run.print_event(&format!("store {fault:?} for {duration:?}"));
    run.begin_outage(Scope::Store);
    run.store.set_fault(fault);
    if random.random_bool(0.3) {
        run.store.compact();
    }
    tokio::time::sleep(duration).await;
    run.store.set_fault(Fault::None);
    run.end_outage(&Scope::Store);
}

/// The store comes back from a copy. Operators and replicas write again what is lost.
async fn restore_store(run: &Run, random: &mut StdRng, duration: Duration) {
    let Ok(_guard) = run.outage_lock.try_lock() else { return };
    let copy = run.store.copy();
    tokio::time::sleep(Duration::from_millis(random.random_range(0..MAX_COPY_AGE_MS))).await;
    run.print_event(&format!("store away for {duration:?}, then restored"));
    run.begin_outage(Scope::Store);
    run.store.set_fault(Fault::Status(503));
    tokio::time::sleep(duration).await;
    let latest = run.store.copy();
    run.store.restore(&copy);
    run.store.set_fault(Fault::None);
    tokio::time::sleep(Duration::from_millis(random.random_range(0..MAX_REWRITE_DELAY_MS))).await;
    run.store.write_again(&latest, &copy);
    run.end_outage(&Scope::Store);
}

async fn drain(run: &Run, random: &mut StdRng, duration: Duration) {
    let Some((replica, _)) = run.replicas.choose(random) else { return };
    run.print_event(&format!("{} leaves for {duration:?}", replica.name));
    run.store.put(&run.entry_key(replica), &replica.entry("draining"));
    tokio::time::sleep(duration).await;
    run.store.put(&run.entry_key(replica), &replica.entry("ready"));
}

async fn limit_rate(run: &Run, random: &mut StdRng) {
    let replica = random.random_range(0..run.replicas.len());
    let limit = random.random_range(1.0..4.0);
    let (stand_in, _) = &run.replicas[replica];
    if stand_in.has_rate_limit() {
        return;
    }
    run.print_event(&format!("{} states {limit:.1} requests per second", stand_in.name));
    let begin = Instant::now();
    stand_in.set_rate_limit(Some(limit));
    tokio::time::sleep(EPISODE_TIME).await;
    stand_in.set_rate_limit(None);
    run.add_episode(Episode {
        kind: Kind::RateLimit { replica, limit },
        begin,
        end: Instant::now(),
    });
}

async fn cut_target_links(run: &Run, random: &mut StdRng) {
    let host = random.random_range(0..run.hosts.len());
    let states = [State::Reset, State::Refusing, State::Silent];
    let state = *states.choose(random).unwrap_or(&State::Reset);
    run.print_event(&format!("{} loses its replicas, {state:?}", run.hosts[host].settings.node));
    let begin = Instant::now();
    run.target_links[host].set_all(state);
    tokio::time::sleep(EPISODE_TIME).await;
    run.target_links[host].set_all(State::Up);
    run.add_episode(Episode { kind: Kind::Cut { host }, begin, end: Instant::now() });
}

/// A replica states in its answers that it leaves, its entry doesn't; another incarnation follows.
async fn state_leave(run: &Run, random: &mut StdRng) {
    let replica = random.random_range(0..run.replicas.len());
    let (stand_in, _) = &run.replicas[replica];
    if stand_in.is_leaving() {
        return;
    }
    run.print_event(&format!("{} states that it leaves", stand_in.name));
    let begin = Instant::now();
    stand_in.set_leaving(true);
    tokio::time::sleep(EPISODE_TIME).await;
    let end = Instant::now();
    stand_in.set_leaving(false);
    stand_in.replace();
    run.store.put(&run.entry_key(stand_in), &stand_in.entry("ready"));
    run.add_episode(Episode { kind: Kind::Leave { replica }, begin, end });
}

async fn ask_for_rest(run: &Run, random: &mut StdRng) {
    let replica = random.random_range(0..run.replicas.len());
    let seconds = random.random_range(1.5..3.0);
    let (stand_in, _) = &run.replicas[replica];
    if stand_in.has_rest() {
        return;
    }
    run.print_event(&format!("{} asks for {seconds:.1} s of rest", stand_in.name));
    let begin = Instant::now();
    stand_in.set_rest(Some(seconds));
    tokio::time::sleep(EPISODE_TIME).await;
    stand_in.set_rest(None);
    run.add_episode(Episode { kind: Kind::Rest { replica, seconds }, begin, end: Instant::now() });
}

/// An engine turns cold while the store is down, once other faults of the store have ended.
async fn turn_cold(run: &Run, random: &mut StdRng) {
    let Ok(_guard) = run.outage_lock.try_lock() else { return };
    let engines: Vec<usize> =
        (0..run.replicas.len()).filter(|i| run.replicas[*i].0.service == "model").collect();
    let Some(&replica) = engines.choose(random) else { return };
    let (stand_in, _) = &run.replicas[replica];
    tokio::time::sleep(Duration::from_millis(DURATION_MS.end)).await;
    run.print_event(&format!("{} turns cold while the store is down", stand_in.name));
    let begin = Instant::now();
    run.begin_outage(Scope::Store);
    run.store.set_fault(Fault::Status(503));
    stand_in.turn_cold(EPISODE_TIME);
    run.store.put(&run.entry_key(stand_in), &stand_in.entry("ready"));
    tokio::time::sleep(EPISODE_TIME).await;
    run.add_episode(Episode { kind: Kind::Cold { replica }, begin, end: Instant::now() });
    run.store.set_fault(Fault::None);
    run.end_outage(&Scope::Store);
}

/// Engines crash under a part of prompts that callers send through all hosts: in unlike requests, or
/// in one that comes again.
async fn crash_under_part(run: &Run, random: &mut StdRng) {
    let Ok(_guard) = run.crash_lock.try_lock() else { return };
    let part: u32 = random.random();
    let name = format!("{part:x}");
    let is_repeated = random.random_bool(0.5);
    run.print_event(&format!("engines crash under part {name}, repeated: {is_repeated}"));
    let engines = || run.replicas.iter().filter(|(replica, _)| replica.service == "model");
    engines().for_each(|(engine, _)| engine.crash_under(&name));
    let begin = Instant::now();
    for number in 0_u32.. {
        if begin.elapsed() >= EPISODE_TIME {
            break;
        }
        let host = random.random_range(0..run.hosts.len());
        let last = if is_repeated { 0 } else { number };
        let parts = format!("{FIRST_PART}:800,{name}:300,{last:x}:260");
        let attempt = format!("p{name}-{host}-{number}");
        let body = if is_repeated { name.clone() } else { attempt.clone() };
        let request = request_with_parts(&attempt, "/say/1", &parts, &body);
        tokio::spawn(caller::send_once(run.hosts[host].settings.callers, request));
        tokio::time::sleep(CRASHING_REQUEST_INTERVAL).await;
    }
    engines().for_each(|(engine, _)| engine.stop_crashing());
    run.add_episode(Episode { kind: Kind::CrashingPart { part }, begin, end: Instant::now() });
}

/// Starts crashed replicas again after a while. The links to them refuse connections meanwhile.
pub(crate) async fn restart_replicas(run: Arc<Run>) {
    while !run.has_ended.load(Ordering::Relaxed) {
        tokio::time::sleep(CRASH_POLL_INTERVAL).await;
        for (replica, link) in &run.replicas {
            let is_up = replica.has_crashed() && run.begin_restart(&replica.name);
            if !is_up {
                continue;
            }
            run.print_event(&format!("{} crashed", replica.name));
            run.begin_outage(Scope::Target(replica.name.clone()));
            let (up, refusing) = (State::Up, State::Refusing);
            run.target_links.iter().for_each(|links| links.change(link.address, up, refusing));
            let (run, replica, address) = (run.clone(), replica.clone(), link.address);
            tokio::spawn(async move {
                tokio::time::sleep(RESTART_TIME).await;
                replica.restart().await;
                run.target_links.iter().for_each(|links| links.change(address, refusing, up));
                run.store.put(&run.entry_key(&replica), &replica.entry("ready"));
                run.end_outage(&Scope::Target(replica.name.clone()));
                run.end_restart(&replica.name);
            });
        }
    }
}

fn change_configuration(run: &Run) {
    let version = run.version.fetch_add(1, Ordering::Relaxed) + 1;
    run.print_event(&format!("configuration {version}"));
    run.write_configuration(version);
}
