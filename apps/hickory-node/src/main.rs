//! The hickoryrun node daemon: reads its settings and runs a node until SIGTERM.

use clap::Parser;
use hickory_node::Node;
use hickory_settings::Level;
use hickory_telemetry::logs::FirstLine;
use std::path::PathBuf;
use std::time::Duration;
use tokio::signal::unix::{SignalKind, signal};

/// Time for the log writer thread to flush its queue before the process exits.
const LOG_FLUSH_TIME: Duration = Duration::from_millis(100);

/// Runs one node of a fleet, which serves callers.
///
/// When the node is ready, prints one JSON line with its addresses to standard
/// output, followed by its log lines. SIGTERM and SIGINT start a graceful
/// shutdown, which interrupts no request and ends with exit status 0.
#[derive(Debug, Parser)]
#[command(name = "hickory-node", version)]
struct Options {
    /// Path of the settings file, in JSON with comments.
    settings: PathBuf,
    /// Minimum log level, which overrides the settings: off, error, warn, info,
    /// debug or trace.
    #[arg(long)]
    log: Option<log::LevelFilter>,
    /// File to append log lines to, which overrides the settings; without a file
    /// in either place they are written to standard output.
    #[arg(long)]
    log_file: Option<PathBuf>,
    /// Number of worker threads.
    #[arg(long, default_value_t = 2)]
    threads: usize,
}

fn main() -> eyre::Result<()> {
    let options = Options::parse();
    let settings = hickory_settings::open(&options.settings)?;
    let level = options.log.unwrap_or_else(|| to_level_filter(settings.logs.level));
    let file = options.log_file.as_deref().or(settings.logs.file.as_deref());
    let first = hickory_telemetry::logs::open_with_first_line(level, file)?;
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

async fn run(settings: hickory_settings::Settings, first: FirstLine) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let name = settings.node.clone();
    let node = Node::spawn(settings).await?;
    first.write(&format!(
        r#"{{"node":"{name}","callers":"{}","admin":"{}","peers":"{}"}}"#,
        node.caller_address(),
        node.admin_address(),
        node.peer_address()
    ));
    log::info!("serving callers on {}", node.caller_address());
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
        () = node.wait_closed() => return Ok(()),
    }
    log::info!("planned stop begun");
    node.drain();
    node.wait_closed().await;
    log::info!("planned stop done");
    Ok(())
}
