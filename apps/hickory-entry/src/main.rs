//! The hickoryrun daemon of an entry host. It reads the settings and runs a node until
//! SIGTERM.

use clap::Parser;
use eyre::WrapErr;
use hickory_adapter::name::{DEFAULT_SETTINGS_PATH, SETTINGS_VARIABLE};
use hickory_adapter::{Platform, settings, store};
use hickory_path::Node;
use hickory_path::settings::Settings;
use hickory_unit::clock;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The timeout of a call to the platform's store: about a hundred times its usual duration.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The interval at which the settings file is checked for changes that came without a
/// signal.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// How long connections may take to finish after the node has closed.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_millis(100);

/// Runs a node that serves callers together with the other nodes of a fleet.
#[derive(Debug, Parser)]
#[command(name = "hickory-entry", version)]
struct Options {
    /// Settings file; overrides the path in the environment.
    settings: Option<PathBuf>,
    /// Minimum level of log lines: off, error, warn, info, debug or trace.
    #[arg(long, default_value = "info")]
    log: log::LevelFilter,
    /// Port on which metrics are served, at any path; without it they are not served.
    #[arg(long)]
    metrics: Option<u16>,
    /// Read and check the settings, then exit.
    #[arg(long)]
    check: bool,
}

fn main() -> eyre::Result<()> {
    let options = Options::parse();
    // A single thread is enough for a quarter of a core, and each further thread costs
    // memory for its stack and its allocations.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let signals = runtime.block_on(async { Signals::open() })?;
    let path = options.settings.clone().unwrap_or_else(settings_path);
    let mut settings = read_settings(&path)?;
    settings.metrics = options.metrics.map(|port| SocketAddr::new(settings.callers.ip(), port));
    if options.check {
        println!("{settings:#?}");
        return Ok(());
    }
    hickory_telemetry::logs::open_stdout(options.log)?;
    hickory_telemetry::logs::set_node(&settings.node);
    runtime.block_on(run(settings, &path, signals))
}

/// The signals to the daemon. They are handled before the settings are read, as SIGHUP, which states
/// that these have changed, would otherwise end a process that is starting.
#[derive(Debug)]
struct Signals {
    terminate: Signal,
    interrupt: Signal,
    hang_up: Signal,
}

impl Signals {
    fn open() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            hang_up: signal(SignalKind::hangup())?,
        })
    }
}

fn settings_path() -> PathBuf {
    std::env::var_os(SETTINGS_VARIABLE).map_or_else(|| DEFAULT_SETTINGS_PATH.into(), PathBuf::from)
}

fn read_settings(path: &Path) -> eyre::Result<Settings> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    settings::read(&text).map_err(|finding| eyre::eyre!(finding.in_file(&path.display())))
}

async fn run(settings: Settings, path: &Path, mut signals: Signals) -> eyre::Result<()> {
    let store = store::Store::open(settings.store, STORE_TIMEOUT);
    log::info!(node = settings.node.as_str(), callers:% = settings.callers; "started");
    let mut active = settings.clone();
    let node: Node<Platform, _, _> = Node::spawn(settings, store, clock::BootTime::start()).await?;
    loop {
        let is_stopping = tokio::select! {
            _ = signals.terminate.recv() => true,
            _ = signals.interrupt.recv() => true,
            task = node.failed() => return Err(task_failed(task)),
            _ = signals.hang_up.recv() => false,
            () = tokio::time::sleep(SETTINGS_POLL_INTERVAL) => false,
        };
        // The settings are read on each of these: the grace period that counts from SIGTERM may
        // just have changed.
        match read_settings(path) {
            Ok(settings) if settings.bounds != active.bounds => {
                log::info!("settings taken over");
                active = settings.clone();
                node.reload(settings);
            }
            Ok(_) => {}
            Err(error) => log::error!("can't read the settings: {error}"),
        }
        if is_stopping {
            break;
        }
    }
    // The grace period that held at SIGTERM counts: the settings aren't read any more.
    node.drain();
    tokio::select! {
        () = node.closed() => {}
        task = node.failed() => return Err(task_failed(task)),
    }
    // Let connections send their last bytes before the process ends.
    tokio::time::sleep(CLOSE_GRACE_PERIOD).await;
    Ok(())
}

fn task_failed(task: &str) -> eyre::Report {
    eyre::eyre!("the task `{task}` has panicked; the process ends, so that it is started again")
}
