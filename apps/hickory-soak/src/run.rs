//! One run of the soak: its processes, stand-ins and records.

use crate::check::{self, Record};
use crate::episode::Episode;
use crate::host::Host;
use crate::lag::Lag;
use crate::planned::GRACE_PERIODS;
use crate::proxy::Proxy;
use crate::{caller, episode, fault, lost};
use eyre::WrapErr;
use hickory_adapter_standin::configuration::{SECOND_SERVICE, Variant};
use hickory_adapter_standin::cut::Links;
use hickory_adapter_standin::replica::Replica;
use hickory_adapter_standin::store::Store;
use hickory_adapter_standin::{caller as standin, entry_key, process_ip, settings};
use std::collections::HashSet;
use std::fmt;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, AtomicU64};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Services, each with its number of replicas.
const REPLICAS: [(&str, u8); 3] = [("plain", 3), (SECOND_SERVICE, 2), ("model", 4)];

/// Number of events in a complete stream.
const EVENTS_PER_STREAM: u64 = 12;

/// The requests per second that a cold engine takes.
pub(crate) const COLD_RATE: usize = 2;

/// Fraction of requests that a replica answers with a fault.
const REPLICA_FAULT_RATE: f64 = 0.08;

/// The same while all else is planned.
const PLANNED_REPLICA_FAULT_RATE: f64 = 0.03;

/// The last octet before that of the first node; smaller ones are of stand-ins.
const FIRST_NODE_OCTET: u8 = 10;

/// Time between the last fault and the check, in which the callers' last requests
/// end.
const SETTLE_TIME: Duration = Duration::from_secs(6);

/// The faults from which a run draws.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub(crate) enum Faults {
    /// Stops, restarts, changed settings and configurations.
    Planned,
    /// Planned work and all faults.
    All,
}

/// The parameters of a run.
#[derive(Clone, Debug)]
pub(crate) struct Plan {
    pub(crate) seed: u64,
    pub(crate) fault_duration: Duration,
    pub(crate) faults: Faults,
    pub(crate) nodes: u8,
    pub(crate) callers: usize,
    pub(crate) program: PathBuf,
    /// The program of every second host, to run two versions side by side.
    pub(crate) other_program: Option<PathBuf>,
    pub(crate) print_events: bool,
}

/// The stand-ins, the hosts, and the requests that callers recorded.
#[derive(Debug)]
pub(crate) struct Run {
    pub(crate) seed: u64,
    pub(crate) faults: Faults,
    pub(crate) store: Store,
    pub(crate) replicas: Vec<(Replica, Proxy)>,
    pub(crate) store_links: Vec<Proxy>,
    /// The links of each host to all replicas.
    pub(crate) target_links: Vec<Links>,
    episodes: Mutex<Vec<Episode>>,
    /// The replicas that are about to start again after a crash.
    restarting: Mutex<HashSet<String>>,
    /// Held while the store is down and an engine turns cold.
    pub(crate) outage_lock: tokio::sync::Mutex<()>,
    /// Held while engines crash under a part of prompts.
    pub(crate) crash_lock: tokio::sync::Mutex<()>,
    pub(crate) hosts: Vec<Arc<Host>>,
    pub(crate) events_per_stream: u64,
    /// The newest configuration version.
    pub(crate) version: AtomicU64,
    pub(crate) has_ended: AtomicBool,
    /// What operators have changed in the configuration.
    variant: Mutex<Variant>,
    /// The number of hosts that are being stopped.
    stopping: Mutex<usize>,
    /// Times of faults that aren't of one host.
    outages: Mutex<Vec<Outage>>,
    pub(crate) lag: Lag,
    records: Mutex<Vec<Record>>,
    started_at: Instant,
    print_events: bool,
}

/// What a fault that isn't of one host disturbs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    Store,
    Target(String),
}

/// The time of a fault that isn't of one host.
#[derive(Clone, Debug)]
pub(crate) struct Outage {
    pub(crate) scope: Scope,
    pub(crate) begin: Instant,
    /// None while it lasts.
    pub(crate) end: Option<Instant>,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub(crate) struct Report {
    pub(crate) requests: usize,
    pub(crate) served: usize,
    pub(crate) violations: Vec<String>,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { requests, served, violations } = self;
        let broken = violations.len();
        write!(f, "{requests} requests, {served} served, {broken} promises broken")?;
        violations.iter().take(10).try_for_each(|finding| write!(f, "\n  {finding}"))
    }
}

/// Returns a configuration in which cold engines take few requests.
fn configure(version: u64, variant: Variant) -> String {
    let cold_rate = format!(r#""cold-per-s":{COLD_RATE}.0"#);
    variant.write(version).replace(r#""cold-per-s":38.0"#, &cold_rate)
}

/// Returns the address of a node, which depends on the process, so that soaks can run side by side.
fn node_ip(number: u8) -> IpAddr {
    match process_ip() {
        IpAddr::V4(ip) => {
            let [a, b, c, _] = ip.octets();
            IpAddr::from([a, b, c, FIRST_NODE_OCTET + number])
        }
        IpAddr::V6(_) => unreachable!("the addresses of a process are IPv4"),
    }
}

/// Runs one seed.
pub(crate) async fn run_seed(plan: &Plan) -> eyre::Result<Report> {
    let directory = std::env::temp_dir().join(format!("soak-{}-{}", std::process::id(), plan.seed));
    std::fs::create_dir_all(&directory).wrap_err_with(|| directory.display().to_string())?;
    let run = Arc::new(Run::open(plan, directory.clone()).await?);
    for host in &run.hosts {
        host.start().wrap_err("an entry daemon can't be started")?;
    }
    for host in &run.hosts {
        standin::wait_until_ready(host.settings.ready).await;
    }
    let callers: Vec<_> = (0..plan.callers)
        .map(|number| tokio::spawn(caller::send_requests(run.clone(), number)))
        .collect();
    tokio::spawn(fault::restart_replicas(run.clone()));
    fault::inject_faults(run.clone(), plan.fault_duration).await;
    tokio::time::sleep(SETTLE_TIME).await;
    run.has_ended.store(true, std::sync::atomic::Ordering::Relaxed);
    for caller in callers {
        // A panic in a caller task has already been printed.
        let _ = caller.await;
    }
    let report = run.report();
    // The next seed's daemons listen at the same addresses.
    for host in &run.hosts {
        host.wait(Duration::ZERO).await;
    }
    if report.violations.is_empty() {
        // A leftover temporary directory does no harm.
        let _ = std::fs::remove_dir_all(&directory);
    } else {
        println!("logs of seed {}: {}", plan.seed, directory.display());
    }
    Ok(report)
}

impl Run {
    async fn open(plan: &Plan, directory: PathBuf) -> eyre::Result<Self> {
        let store = Store::spawn().await;
        let mut replicas = Vec::new();
        for (service, count) in REPLICAS {
            for number in 1..=count {
                let mut replica =
                    Replica::spawn(&format!("{service}-{number}"), service, EVENTS_PER_STREAM)
                        .await;
                let link = Proxy::spawn(replica.address.ip(), replica.address).await?;
                replica.advertised_address = Some(link.address);
                let fault_rate = match plan.faults {
                    Faults::Planned => PLANNED_REPLICA_FAULT_RATE,
                    Faults::All => REPLICA_FAULT_RATE,
                };
                replica.inject_faults(fault_rate, plan.seed ^ u64::from(number));
                store.put(&entry_key(&replica.name), &replica.entry("ready"));
                replicas.push((replica, link));
            }
        }
        store.put_configuration(&configure(1, Variant::default()));
        let grace = GRACE_PERIODS[(plan.seed % GRACE_PERIODS.len() as u64) as usize];
        let (mut store_links, mut target_links) = (Vec::new(), Vec::new());
        let mut hosts = Vec::new();
        for number in 1..=plan.nodes {
            let own_links = Links::open(replicas.iter().map(|(_, link)| link.address)).await;
            let view = store.spawn_view(own_links.addresses()).await;
            target_links.push(own_links);
            let link = Proxy::spawn(view.address.ip(), view.address).await?;
            let ip = node_ip(number);
            let mut settings = settings(&format!("node-{number}"), link.address);
            settings.bounds.grace = grace;
            let addresses = [
                &mut settings.callers,
                &mut settings.ready,
                &mut settings.directory,
                &mut settings.sync,
                &mut settings.peers,
            ];
            for (port, address) in (21_001..).zip(addresses) {
                *address = SocketAddr::new(ip, port);
            }
            settings.seeds = vec![SocketAddr::new(node_ip(1), 21_004)];
            store_links.push(link);
            // Versions stand side by side on every second host.
            let other = plan.other_program.as_ref().filter(|_| number % 2 == 0);
            let program = other.unwrap_or(&plan.program).clone();
            let host = Host::open(settings, program, other.is_some(), directory.clone());
            hosts.push(Arc::new(host));
        }
        Ok(Self {
            seed: plan.seed,
            faults: plan.faults,
            store,
            replicas,
            store_links,
            target_links,
            episodes: Mutex::default(),
            restarting: Mutex::default(),
            outage_lock: tokio::sync::Mutex::default(),
            crash_lock: tokio::sync::Mutex::default(),
            hosts,
            events_per_stream: EVENTS_PER_STREAM,
            version: AtomicU64::new(1),
            has_ended: AtomicBool::new(false),
            variant: Mutex::default(),
            stopping: Mutex::default(),
            outages: Mutex::default(),
            lag: Lag::spawn(),
            records: Mutex::default(),
            started_at: Instant::now(),
            print_events: plan.print_events,
        })
    }

    /// Returns whether a crashed replica is not about to start again yet, and notes that it is.
    pub(crate) fn begin_restart(&self, replica: &str) -> bool {
        let mut restarting = self.restarting.lock().unwrap_or_else(PoisonError::into_inner);
        restarting.insert(replica.to_owned())
    }

    pub(crate) fn end_restart(&self, replica: &str) {
        self.restarting.lock().unwrap_or_else(PoisonError::into_inner).remove(replica);
    }

    pub(crate) fn links(&self) -> impl Iterator<Item = &Proxy> {
        self.replicas.iter().map(|(_, link)| link).chain(&self.store_links)
    }

    pub(crate) fn entry_key(&self, replica: &Replica) -> String {
        entry_key(&replica.name)
    }

    pub(crate) fn write_configuration(&self, version: u64) {
        let variant = *self.variant.lock().unwrap_or_else(PoisonError::into_inner);
        self.store.put_configuration(&configure(version, variant));
    }

    /// Changes what the next configurations contain.
    pub(crate) fn change_variant(&self, change: impl FnOnce(&mut Variant)) -> Variant {
        let mut variant = self.variant.lock().unwrap_or_else(PoisonError::into_inner);
        change(&mut variant);
        *variant
    }

    /// Returns whether one more host may be stopped, and counts it if so. At most half of the hosts
    /// are stopped at a time, rounded up.
    pub(crate) fn begin_stop(&self) -> bool {
        let mut stopping = self.stopping.lock().unwrap_or_else(PoisonError::into_inner);
        let may_stop = *stopping < self.hosts.len().div_ceil(2);
        *stopping += usize::from(may_stop);
        may_stop
    }

    pub(crate) fn end_stop(&self) {
        *self.stopping.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
    }

    pub(crate) fn begin_outage(&self, scope: Scope) {
        let outage = Outage { scope, begin: Instant::now(), end: None };
        self.outages.lock().unwrap_or_else(PoisonError::into_inner).push(outage);
    }

    pub(crate) fn end_outage(&self, scope: &Scope) {
        let mut outages = self.outages.lock().unwrap_or_else(PoisonError::into_inner);
        let running = outages.iter_mut().filter(|o| o.scope == *scope && o.end.is_none());
        running.for_each(|outage| outage.end = Some(Instant::now()));
    }

    /// Returns whether there was an outage at any time in the interval.
    pub(crate) fn had_outage(&self, scope: &Scope, from: Instant, to: Instant) -> bool {
        let outages = self.outages.lock().unwrap_or_else(PoisonError::into_inner);
        let mut outages = outages.iter().filter(|outage| outage.scope == *scope);
        outages.any(|o| o.begin <= to && o.end.is_none_or(|end| end >= from))
    }

    /// Restarts a host's process.
    pub(crate) fn restart(&self, host: &Host) {
        if let Err(error) = host.start() {
            self.print_event(&format!("{} can't be started: {error}", host.settings.node));
        }
    }

    /// Formats a time as events show it.
    pub(crate) fn format_time(&self, at: Instant) -> String {
        format!("{:.3} s", at.saturating_duration_since(self.started_at).as_secs_f64())
    }

    pub(crate) fn print_event(&self, event: &str) {
        if self.print_events {
            println!("{:>7.3} s  {event}", self.started_at.elapsed().as_secs_f64());
        }
    }

    pub(crate) fn record(&self, record: Record) {
        self.records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
    }

    pub(crate) fn add_episode(&self, episode: Episode) {
        self.episodes.lock().unwrap_or_else(PoisonError::into_inner).push(episode);
    }

    pub(crate) fn records(&self) -> Vec<Record> {
        let mut records = self.records.lock().unwrap_or_else(PoisonError::into_inner).clone();
        records.sort_by_key(|record| record.ended_at);
        records
    }

    pub(crate) fn episodes(&self) -> Vec<Episode> {
        self.episodes.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn report(&self) -> Report {
        let records = self.records();
        let is_served = |record: &&Record| record.answer.is_complete && record.answer.status == 200;
        Report {
            requests: records.len(),
            served: records.iter().filter(is_served).count(),
            violations: [
                lost::check(self),
                check::check(self),
                episode::check(self, &self.episodes()),
            ]
            .concat(),
        }
    }
}
