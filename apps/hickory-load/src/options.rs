//! The command line.

use clap::{Args, Parser, Subcommand};
use eyre::{Result, ensure};
use hickory_load::experiment::Name;
use hickory_load::mix::{Arrival, Calls, Class, Length, Options, Part};
use hickory_load::run::Credential;
use std::net::SocketAddr;
use std::time::Duration;

/// Sends seeded workloads to a fleet, and runs experiments that measure one.
///
/// Exit statuses: 0 done; 1 could not run; 2 invalid arguments; 3 (run) a
/// request got neither a complete answer nor a refusal; 4 (experiment --strict)
/// a figure misses its goal.
#[derive(Debug, Parser)]
#[command(name = "hickory-load", version)]
pub(crate) struct Arguments {
    #[command(subcommand)]
    pub(crate) command: Command,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Send a seeded workload to a fleet and print what the callers observed.
    Run(Run),
    /// Run one experiment with its own processes and print its figures.
    ///
    /// Nodes are started from the `hickory-node` program in the directory of
    /// this one; build all programs first. Processes are killed
    /// by their id, never by name.
    Experiment {
        /// One of stream-server, short-beside-long, first-token, zone,
        /// shares, overload, relay, control-cost or config.
        #[arg(value_parser = parse_name)]
        name: Name,
        /// Seed of the workload: the same seed gives the same requests.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// Print JSON instead of a table.
        #[arg(long)]
        json: bool,
        /// Exit with status 4 if a figure misses its goal.
        #[arg(long)]
        strict: bool,
    },
}

#[derive(Debug, Args)]
pub(crate) struct Run {
    /// Address of a node to query for the entry address; may be repeated.
    #[arg(long = "entry", required = true, value_name = "IP:PORT")]
    pub(crate) entries: Vec<SocketAddr>,
    /// Account and its token; may be repeated, in order of decreasing load.
    #[arg(long = "token", required = true, value_name = "ACCOUNT=TOKEN", value_parser = parse_token)]
    pub(crate) tokens: Vec<Credential>,
    /// Seed of the workload: the same seed gives the same requests.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Duration of the workload in seconds.
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// Part of the workload: prompt length (1k, 10k, 100k, 1M), class
    /// (interactive, batch) and requests per second, as in 1k:interactive:20;
    /// may be repeated. Without it, a mix of all lengths at 20 requests per
    /// second.
    #[arg(long = "part", value_name = "LENGTH:CLASS:RATE", value_parser = parse_part)]
    parts: Vec<Part>,
    /// Calls to a plain service: service and path, requests per second, and
    /// once (a call must not be repeated) or many, as in orders/place:2:once;
    /// may be repeated.
    #[arg(long = "calls", value_name = "SERVICE/PATH:RATE:once|many", value_parser = parse_calls)]
    calls: Vec<Calls>,
    /// Requests that arrive together, at the same mean rate; 1 means Poisson
    /// arrivals.
    #[arg(long, default_value_t = 1)]
    burst: u32,
    /// Tokens of each answer; the default depends on the class.
    #[arg(long)]
    max_tokens: Option<u64>,
    /// Deadline of each request in seconds; the default depends on the class.
    #[arg(long)]
    deadline: Option<f64>,
    /// Model to request.
    #[arg(long, default_value = "oak")]
    model: String,
    /// Skew of the load over the accounts: the i-th has weight 1/i^skew.
    #[arg(long, default_value_t = 1.0)]
    skew: f64,
    /// Fraction of callers that disconnect in mid-stream, 0 to 1.
    #[arg(long, default_value_t = 0.0)]
    hang_up: f64,
    /// Maximum number of retries of a refused or interrupted request.
    #[arg(long, default_value_t = 3)]
    resends: u32,
    /// Number of simulated caller processes, each with its own entry address.
    #[arg(long, default_value_t = 16)]
    callers: u32,
    /// Print JSON instead of a table.
    #[arg(long)]
    pub(crate) json: bool,
}

impl Run {
    /// Returns the workload that the arguments describe.
    pub(crate) fn to_options(&self) -> Result<Options> {
        ensure!(
            (0.0..=1.0).contains(&self.hang_up),
            "--hang-up: expected a number between 0 and 1"
        );
        let duration = Duration::try_from_secs_f64(self.seconds)?;
        let deadline = self.deadline.map(Duration::try_from_secs_f64).transpose()?;
        let mut options = Options::mixed(self.seed, duration, 20.0);
        if !self.parts.is_empty() || !self.calls.is_empty() {
            options.parts.clone_from(&self.parts);
        }
        for part in &mut options.parts {
            part.max_tokens = self.max_tokens.unwrap_or(part.max_tokens);
            part.deadline = deadline.unwrap_or(part.deadline);
            if self.burst > 1 {
                part.arrival = Arrival::Bursts(self.burst);
            }
        }
        options.calls.clone_from(&self.calls);
        options.model.clone_from(&self.model);
        options.skew = self.skew;
        options.hang_up = self.hang_up;
        options.resends = self.resends;
        options.callers = self.callers;
        Ok(options)
    }
}

fn parse_name(text: &str) -> Result<Name, String> {
    let names = || Name::ALL.iter().map(Name::to_string).collect::<Vec<_>>().join(", ");
    Name::parse(text).ok_or_else(|| format!("expected one of: {}", names()))
}

fn parse_token(text: &str) -> Result<Credential, String> {
    let (account, token) = text.split_once('=').ok_or("expected ACCOUNT=TOKEN")?;
    Ok(Credential { account: account.into(), token: token.into() })
}

fn parse_part(text: &str) -> Result<Part, String> {
    let fields: Vec<_> = text.split(':').collect();
    let [length, class, rate] = fields[..] else {
        return Err("expected LENGTH:CLASS:RATE".into());
    };
    let length = Length::ALL.iter().find(|candidate| candidate.to_string() == length);
    let class = [Class::Interactive, Class::Batch].into_iter().find(|c| c.to_string() == class);
    Ok(Part::new(
        *length.ok_or("expected the length 1k, 10k, 100k or 1M")?,
        class.ok_or("expected the class interactive or batch")?,
        parse_rate(rate)?,
    ))
}

fn parse_calls(text: &str) -> Result<Calls, String> {
    let fields: Vec<_> = text.split(':').collect();
    let [target, rate, repetition] = fields[..] else {
        return Err("expected SERVICE/PATH:RATE:once or SERVICE/PATH:RATE:many".into());
    };
    let (service, path) = target.split_once('/').ok_or("expected SERVICE/PATH")?;
    let once = match repetition {
        "once" => true,
        "many" => false,
        _ => return Err("expected once or many".into()),
    };
    Ok(Calls {
        service: service.into(),
        path: format!("/{path}"),
        rate: parse_rate(rate)?,
        once,
        deadline: Duration::from_secs(10),
    })
}

fn parse_rate(text: &str) -> Result<f64, String> {
    let rate = text.parse::<f64>().ok().filter(|rate| rate.is_finite() && *rate >= 0.0);
    rate.ok_or_else(|| "expected the rate as a number of requests per second, at least 0".into())
}
