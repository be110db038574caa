//! Simulated callers and experiments against a hickoryrun fleet.

mod options;

use clap::Parser;
use eyre::{Result, WrapErr};
use hickory_load::experiment::{self, Name};
use hickory_load::run;
use options::{Arguments, Command, Run};
use std::process::ExitCode;

/// Exit status if a request got neither a complete answer nor a refusal.
const EXIT_REQUEST_LOST: u8 = 3;

/// Exit status with `--strict` if a measured figure misses its goal.
const EXIT_GOAL_MISSED: u8 = 4;

fn main() -> Result<ExitCode> {
    match Arguments::parse().command {
        Command::Run(run) => send_workload(run),
        Command::Experiment { name, seed, json, strict } => {
            run_experiment(name, seed, json, strict)
        }
    }
}

fn send_workload(arguments: Run) -> Result<ExitCode> {
    let options = arguments.to_options()?;
    let json = arguments.json;
    let report = run::run(options, arguments.entries, arguments.tokens).wrap_err("callers")?;
    match json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{report}"),
    }
    Ok(if report.lost() > 0 { ExitCode::from(EXIT_REQUEST_LOST) } else { ExitCode::SUCCESS })
}

fn run_experiment(name: Name, seed: u64, json: bool, strict: bool) -> Result<ExitCode> {
    let sheet = experiment::run_experiment(name, seed)?;
    match json {
        true => println!("{}", serde_json::to_string_pretty(&sheet)?),
        false => print!("{sheet}"),
    }
    let has_missed_goal = sheet.figures.iter().any(|figure| figure.met == Some(false));
    Ok(if strict && has_missed_goal { ExitCode::from(EXIT_GOAL_MISSED) } else { ExitCode::SUCCESS })
}
