//! The hickoryrun node daemon: settings in, a node that runs until SIGTERM.

use clap::Parser;
use hickory_node::Node;
use hickory_settings::Level;
use hickory_telemetry::logs::First;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// How long the last log lines are given to be written.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Serves callers beside the other nodes of a fleet.
///
/// Prints one JSON line with its addresses on standard output when it is ready,
/// and its log behind that. SIGTERM and SIGINT begin a planned stop, which cuts
/// no request; the exit status is 0 after one.
#[derive(Debug, Parser)]
#[command(name = "hickory-node", version)]
struct Options {
    /// Settings, in JSON with comments.
    settings: PathBuf,
    /// Least level of log lines, in place of the one in the settings: off,
    /// error, warn, info, debug or trace.
    #[arg(long)]
    log: Option<log::LevelFilter>,
    /// File that log lines are appended to, in place of the one in the
    /// settings; without either they go to standard output.
    #[arg(long)]
    log_file: Option<PathBuf>,
    /// Threads that serve.
    #[arg(long, default_value_t = 2)]
    threads: usize,
}

fn main() -> eyre::Result<()> {
    let options = Options::parse();
    let settings = hickory_settings::open(&options.settings)?;
    let level = options.log.unwrap_or_else(|| to_level_filter(settings.logs.level));
    let file = options.log_file.as_deref().or(settings.logs.file.as_deref());
    let first = hickory_telemetry::logs::open_with_first(level, file)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()?;
    let result = runtime.block_on(run(settings, first));
    std::thread::sleep(LOG_FLUSH_TIME);
    result
}

fn to_level_filter(level: Level) -> log::LevelFilter {
    match level {
        Level::Off => log::LevelFilter::Off,
        Level::Error => log::LevelFilter::Error,
        Level::Warn => log::LevelFilter::Warn,
        Level::Info => log::LevelFilter::Info,
        Level::Debug => log::LevelFilter::Debug,
        Level::Trace => log::LevelFilter::Trace,
    }
}

async fn run(settings: hickory_settings::Node, first: First) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let name = settings.node.clone();
    let node = Node::spawn(settings).await?;
    first.write(&format!(
        r#"{{"node":"{name}","callers":"{}","admin":"{}","peers":"{}"}}"#,
        node.callers(),
        node.admin(),
        node.peers()
    ));
    log::info!("serving callers on {}", node.callers());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.closed() => return Ok(()),
    }
    log::info!("planned stop begun");
    node.drain();
    node.closed().await;
    log::info!("planned stop done");
    Ok(())
}
