//! A fault soak: real entry daemons as processes, stand-ins for the store and
//! the replicas, proxies on every link, and faults from outside, all by seed.
//!
//! It checks what callers and replicas see: each answer whole and the caller's
//! own, nothing that may run once run twice, refusals true, streams in order,
//! answers in time, nothing new to what is leaving, no configuration older than
//! one that the same process has served.

mod caller;
mod check;
mod fault;
mod host;
mod proxy;
mod run;

use clap::Parser;
use std::path::PathBuf;
use std::time::Duration;

/// Plays seeds; the exit status is 1 where a promise was broken.
#[derive(Debug, Parser)]
#[command(name = "hickory-soak", version)]
struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Seeds to play, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds of faults a seed.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// Nodes; each is a process.
    #[arg(long, default_value_t = 3)]
    nodes: u8,
    /// Callers at once.
    #[arg(long, default_value_t = 12)]
    callers: usize,
    /// The entry daemon.
    #[arg(long)]
    program: PathBuf,
    /// Print each event with its time.
    #[arg(long)]
    events: bool,
}

fn main() -> eyre::Result<()> {
    let options = Options::parse();
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    let mut violations = 0;
    for seed in options.seed..options.seed + options.seeds {
        let plan = run::Plan {
            seed,
            fault_duration: Duration::from_secs(options.seconds),
            nodes: options.nodes,
            callers: options.callers,
            program: options.program.clone(),
            print: options.events,
        };
        let report = runtime.block_on(run::run_seed(&plan))?;
        println!("seed {seed}: {report}");
        violations += report.violations.len();
    }
    if violations > 0 {
        eyre::bail!("{violations} promises broken");
    }
    Ok(())
}
