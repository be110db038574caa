//! The hickoryrun node daemon: settings in, a node that runs until SIGTERM.

use clap::Parser;
use eyre::{WrapErr, eyre};
use hickory_node::Node;
use std::path::PathBuf;
use tokio::signal::unix::{SignalKind, signal};

/// Serves callers beside the other nodes of a fleet.
///
/// Prints one JSON line with its addresses on standard output when it is
/// ready. SIGTERM and SIGINT begin a planned stop, which cuts no request; the
/// exit status is 0 after one.
#[derive(Debug, Parser)]
#[command(name = "hickory-node", version)]
struct Options {
    /// Settings, in JSON with comments.
    settings: PathBuf,
    /// Least level of log lines: error, warn, info, debug or trace.
    #[arg(long, default_value = "info")]
    log: log::LevelFilter,
    /// File that log lines are appended to; standard error where not given.
    #[arg(long)]
    log_file: Option<PathBuf>,
    /// Threads that serve.
    #[arg(long, default_value_t = 2)]
    threads: usize,
}

fn main() -> eyre::Result<()> {
    let options = Options::parse();
    hickory_telemetry::logs::open(options.log, options.log_file.as_deref())?;
    let path = options.settings.display();
    let text = std::fs::read_to_string(&options.settings).wrap_err_with(|| format!("{path}"))?;
    let settings = hickory_settings::parse_node(&text).map_err(|findings| {
        let lines: Vec<String> = findings.iter().map(|f| format!("{path}: {f}")).collect();
        eyre!("{}", lines.join("\n"))
    })?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(options.threads)
        .enable_all()
        .build()?;
    runtime.block_on(run(settings))
}

async fn run(settings: hickory_settings::Node) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let name = settings.node.clone();
    let node = Node::spawn(settings).await?;
    println!(
        r#"{{"node":"{name}","callers":"{}","admin":"{}","peers":"{}"}}"#,
        node.callers(),
        node.admin(),
        node.peers()
    );
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
