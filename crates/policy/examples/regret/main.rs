//! Measures how much of the possible credit placement earns: the fraction of the total credit for
//! our policy, for two simpler ones, and an upper bound for any policy that knows every arrival in
//! advance.
//!
//! `cargo run --release -p hickory-policy --example regret -- --seeds 6`

mod bound;
#[path = "../../tests/engines/mod.rs"]
mod engines;
#[path = "../../tests/phases/mod.rs"]
mod phases;
#[path = "../../tests/profile/mod.rs"]
mod profile;
#[path = "../../tests/replay/mod.rs"]
mod replay;

use clap::Parser;
use engines::Request;
use hickory_policy::engine::Profile;
use phases::{ADVICE, ARCHIVES, AUDITS, Mix, Phase, alternate_phases, draw_arrivals};
use replay::{Outcome, Policy, Setup};
use std::time::Duration;

/// Measures the regret of the placement policy.
#[derive(Parser)]
struct Options {
    /// Number of seeds to simulate, from 1.
    #[arg(long, default_value_t = 6)]
    seeds: u64,
    /// Also print the fractions of each kind that were answered in time.
    #[arg(long)]
    kinds: bool,
    /// Simulate only our policy.
    #[arg(long)]
    quick: bool,
}

/// A load and the number of engines.
struct Case {
    name: &'static str,
    engines: usize,
    phases: Vec<Phase>,
    /// When the owner forgets all placements.
    forget: Option<Duration>,
}

/// Returns the cases, with the numbers of engines multiplied by `scale`.
fn cases(scale: f64) -> Vec<Case> {
    let alternating = || alternate_phases([0.35, 1.3, 2.8], [2.4, 0.5, 0.05]);
    let mut burst = alternating();
    burst.push(Phase { begin: 3.0, end: 7.0, factors: [0.0, 0.0, 1.4] });
    burst.push(Phase { begin: 13.0, end: 16.0, factors: [1.2, 0.0, 0.0] });
    let mixed = vec![
        Phase { begin: 0.0, end: 5.0, factors: [1.6, 0.3, 0.0] },
        Phase { begin: 5.0, end: 30.0, factors: [1.0; 3] },
    ];
    let steady = vec![Phase { begin: 0.0, end: 30.0, factors: [1.0; 3] }];
    let case = |name, engines: f64, phases, forget| Case {
        name,
        engines: (engines * scale) as usize,
        phases,
        forget,
    };
    vec![
        case("phases", 16.0, alternating(), None),
        case("half out", 8.0, alternating(), None),
        case("zone out", 10.0, alternating(), None),
        case("bursts", 16.0, burst, None),
        case("restart of all", 16.0, alternating(), Some(Duration::from_secs(23))),
        case("steady, zone out", 10.0, steady, None),
        case("mixed, most out", 6.4, mixed, None),
    ]
}

fn main() {
    let options = Options::parse();
    let small = [("advice", &ADVICE, profile::profile()), ("audits", &AUDITS, profile::small())];
    let large = ("archives", &ARCHIVES, profile::narrow());
    let small = small.into_iter().map(|mix| (mix, cases(1.0)));
    let mixes = small.chain([(large, cases(78.0 / 16.0))]);
    println!("mix      load               ours  least  fifo  bound  regret");
    for ((mix_name, mix, profile), cases) in mixes {
        for case in cases {
            let load = |seed| draw_arrivals(mix, &case.phases, seed);
            let play = |chooser: Policy| {
                let scene = Setup { forget_at: case.forget, ..Setup::new(case.engines) };
                let play = |seed| replay::run(&scene, &profile, load(seed), chooser);
                mean(mix, &(1..=options.seeds).map(play).collect::<Vec<_>>())
            };
            let by_plan = play(replay::choose_by_plan);
            print!("{mix_name:8} {:18} {:.3}", case.name, by_plan.0);
            if !options.quick {
                let least_loaded = play(replay::choose_least_loaded).0;
                let round_robin = play(replay::choose_round_robin).0;
                let bounds =
                    (1..=options.seeds).map(|seed| bound(mix, &profile, &case, load(seed)));
                let bound_mean = bounds.sum::<f64>() / options.seeds as f64;
                print!(
                    "  {least_loaded:.3}  {round_robin:.3}  {bound_mean:.3}  {:.3}",
                    bound_mean - by_plan.0
                );
            }
            println!();
            if options.kinds {
                println!("        in time by kind    {:.3?}", by_plan.1);
            }
        }
    }
}

fn mean(mix: &Mix, outcomes: &[Outcome]) -> (f64, [f64; 3]) {
    let count = outcomes.len() as f64;
    outcomes.iter().fold((0.0, [0.0; 3]), |(credit, kinds), outcome| {
        let in_time = outcome.in_time();
        let added = std::array::from_fn(|kind| kinds[kind] + in_time[kind] / count);
        (credit + outcome.credit(mix) / count, added)
    })
}

fn bound(mix: &Mix, profile: &Profile, case: &Case, requests: Vec<Request>) -> f64 {
    bound::max_credit(mix, profile, case.engines, &requests)
}
