//! The hickoryrun daemon of an entry host: settings in, a node that runs until
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
use tokio::signal::unix::{SignalKind, signal};

/// How long a call to the platform's store may take: some hundred times what
/// it takes in calm.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Between two looks whether the settings file has changed without a signal.
const SETTINGS_LOOK: Duration = Duration::from_secs(5);

/// How long connections are given to end after the node has closed.
const LAST_BYTES: Duration = Duration::from_millis(100);

/// Serves callers beside the other nodes of a fleet.
#[derive(Debug, Parser)]
#[command(name = "hickory-entry", version)]
struct Options {
    /// The settings file, in place of the one that the environment names.
    settings: Option<PathBuf>,
    /// Least level of log lines: off, error, warn, info, debug or trace.
    #[arg(long, default_value = "info")]
    log: log::LevelFilter,
    /// Port on which metrics are served, at any path; none without it.
    #[arg(long)]
    metrics: Option<u16>,
    /// Read the settings, say what is wrong with them, and end.
    #[arg(long)]
    check: bool,
}

fn main() -> eyre::Result<()> {
    let options = Options::parse();
    let path = options.settings.clone().unwrap_or_else(find_settings);
    let mut settings = open_settings(&path)?;
    settings.metrics = options.metrics.map(|port| SocketAddr::new(settings.callers.ip(), port));
    if options.check {
        println!("{settings:#?}");
        return Ok(());
    }
    hickory_telemetry::logs::open_stdout(options.log)?;
    hickory_telemetry::logs::set_node(&settings.node);
    // One thread: a host has a quarter of a core, and each further thread
    // costs memory for its stack and its allocations.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(run(settings, &path))
}

fn find_settings() -> PathBuf {
    std::env::var_os(SETTINGS_VARIABLE).map_or_else(|| DEFAULT_SETTINGS_PATH.into(), PathBuf::from)
}

fn open_settings(path: &Path) -> eyre::Result<Settings> {
    let text = std::fs::read_to_string(path).wrap_err_with(|| path.display().to_string())?;
    settings::read(&text).map_err(|finding| eyre::eyre!(finding.in_file(&path.display())))
}

async fn run(settings: Settings, path: &Path) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let mut hang_up = signal(SignalKind::hangup())?;
    let store = store::Store::open(settings.store, STORE_TIMEOUT);
    log::info!(node = settings.node.as_str(), callers:% = settings.callers; "started");
    let mut known = settings.clone();
    let node: Node<Platform, _, _> = Node::spawn(settings, store, clock::Boot::start()).await?;
    loop {
        tokio::select! {
            _ = terminate.recv() => break,
            _ = interrupt.recv() => break,
            _ = hang_up.recv() => {}
            () = tokio::time::sleep(SETTINGS_LOOK) => {}
        }
        match open_settings(path) {
            Ok(settings) if settings.bounds != known.bounds => {
                log::info!("settings taken over");
                known = settings.clone();
                node.reload(settings);
            }
            Ok(_) => {}
            Err(error) => log::error!("settings can't be read: {error}"),
        }
    }
    node.drain();
    node.closed().await;
    // Connections get their last bytes out before the process ends.
    tokio::time::sleep(LAST_BYTES).await;
    Ok(())
}
