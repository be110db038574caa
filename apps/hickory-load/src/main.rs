//! Callers and experiments against a hickoryrun fleet.

use clap::{Parser, Subcommand};
use eyre::Result;
use hickory_load::experiment::{self, Name};
use std::process::ExitCode;

/// Seeded callers against a fleet, and the experiments that measure one.
///
/// Exit codes: 0 done (an experiment that misses a goal is done too and says
/// so), 1 could not be run, 2 bad arguments, 3 an answer was wrong or lost.
#[derive(Debug, Parser)]
#[command(name = "hickory-load", version)]
struct Arguments {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs one experiment on processes or threads of its own and prints its
    /// figures.
    Experiment {
        /// Which.
        #[arg(value_parser = parse_name)]
        name: Name,
        /// Seed of the workload: the same seed gives the same requests.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print JSON in place of a table.
        #[arg(long)]
        json: bool,
    },
}

fn parse_name(text: &str) -> Result<Name, String> {
    let known = || Name::ALL.iter().map(Name::to_string).collect::<Vec<_>>().join(", ");
    Name::parse(text).ok_or_else(|| format!("no such experiment; there are: {}", known()))
}

fn main() -> Result<ExitCode> {
    match Arguments::parse().command {
        Command::Experiment { name, seed, json } => {
            let sheet = experiment::run_experiment(name, seed)?;
            match json {
                true => println!("{}", serde_json::to_string_pretty(&sheet)?),
                false => print!("{sheet}"),
            }
            Ok(ExitCode::SUCCESS)
        }
    }
}
