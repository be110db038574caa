//! Measures how long a configuration takes to spread over a fleet and how many bytes are sent, with
//! and without the limits of `spread`.
//!
//! `cargo run --release -p hickory-policy --example spread -- --seeds 10`

#[path = "../tests/spread/mod.rs"]
mod model;

use clap::Parser;
use model::case::{Case, Outcome, Policy};
use std::time::Duration;

/// Sizes of the configurations in bytes.
const SIZES: [u64; 4] = [10_000, 60_000, 270_000, 1_000_000];

/// Numbers of nodes of the fleets.
const NODES: [usize; 5] = [9, 30, 80, 300, 380];

/// Measures how configurations spread over a fleet.
#[derive(Parser)]
struct Options {
    /// Number of seeds to replay, starting from 1.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
}

fn main() {
    let options = Options::parse();
    println!("                    all at once                by turns");
    println!("  bytes  nodes    last   0.9  sent  most    last   0.9  sent  most  busy");
    for size in SIZES {
        for nodes in NODES {
            let case = Case::new(nodes, size);
            print!("{size:7}  {nodes:5}");
            for policy in [Policy::Unlimited, Policy::Metered] {
                let play = |seed| model::play(&case, policy, seed);
                let outcomes: Vec<Outcome> = (1..=options.seeds).map(play).collect();
                print_row(&case, policy, &outcomes);
            }
            println!();
        }
    }
    println!("last, 0.9: seconds until all and 0.9 of the nodes have it (-: not within");
    println!(
        "{} s for some seed); sent: bytes sent per byte needed;",
        model::MAX_REPLAY_TIME.as_secs()
    );
    println!("most: concurrent answers on one link; busy: busy answers per requester.");
}

fn print_row(case: &Case, policy: Policy, outcomes: &[Outcome]) {
    let mean = |figure: fn(&Outcome) -> f64| {
        outcomes.iter().map(figure).sum::<f64>() / outcomes.len() as f64
    };
    let last = mean_time(outcomes, 1.0);
    let most = mean_time(outcomes, 0.9);
    let sent = outcomes.iter().map(|outcome| outcome.overhead(case)).sum::<f64>();
    let widest = outcomes.iter().map(|outcome| outcome.max_answers_per_link).max().unwrap_or(0);
    print!("  {last:>6} {most:>5} {:5.2} {widest:5}", sent / outcomes.len() as f64);
    if policy == Policy::Metered {
        print!(" {:5.1}", mean(|outcome| outcome.busy_answers as f64 / outcome.requesters as f64));
    }
}

fn mean_time(outcomes: &[Outcome], fraction: f64) -> String {
    let times: Option<Vec<Duration>> =
        outcomes.iter().map(|outcome| outcome.time_of_fraction(fraction)).collect();
    times.map_or("-".into(), |times| {
        let sum = times.iter().sum::<Duration>().as_secs_f64();
        format!("{:.2}", sum / times.len() as f64)
    })
}
