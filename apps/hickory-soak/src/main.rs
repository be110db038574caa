//! A fault soak: entry daemons as real processes, stand-ins for the store and the
//! replicas, a proxy on every link, and faults injected from outside, all
//! reproducible by seed.
//!
//! It checks what callers and replicas see: each answer is complete and belongs to
//! the caller's own request, nothing that may run once runs twice, refusals are
//! true, streams are in order, answers arrive in time, no process serves a
//! configuration older than one it has already served, replicas get no more requests
//! than they state that they take, requests that crash engines by one part of their
//! prompts are refused after a few crashes, and callers of hosts that have lost their links to
//! the replicas are served. Around planned stops, reloads and changes of the configuration no answer
//! is lost.

mod caller;
mod check;
mod draw;
mod episode;
mod fault;
mod host;
mod lag;
mod lost;
mod planned;
mod proxy;
mod run;

use clap::Parser;
use run::Faults;
use std::path::PathBuf;
use std::time::Duration;

/// The processes of a run stay below 200, and their addresses differ in the last octet.
const MAX_NODES: i64 = 190;

/// Runs one or more seeds; the exit status is 1 if a promise was broken.
#[derive(Debug, Parser)]
#[command(name = "hickory-soak", version)]
struct Options {
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of seeds to run, one after the other.
    #[arg(long, default_value_t = 1)]
    seeds: u64,
    /// Seconds of faults for each seed.
    #[arg(long, default_value_t = 10)]
    seconds: u64,
    /// The faults from which to draw.
    #[arg(long, value_enum, default_value_t = Faults::All)]
    faults: Faults,
    /// Number of nodes; each is a process.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u8).range(1..=MAX_NODES))]
    nodes: u8,
    /// Number of concurrent callers.
    #[arg(long, default_value_t = 24)]
    callers: usize,
    /// Path of the entry daemon.
    #[arg(long)]
    program: PathBuf,
    /// Path of another version of the daemon, which every second node runs.
    #[arg(long)]
    other_program: Option<PathBuf>,
    /// Print each fault with its time.
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
            faults: options.faults,
            nodes: options.nodes,
            callers: options.callers,
            program: options.program.clone(),
            other_program: options.other_program.clone(),
            print_events: options.events,
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
