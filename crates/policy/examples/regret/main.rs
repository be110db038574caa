//! What placement earns of what could be earned: the part of all credit that our
//! choice gets, that two simpler ones get, and that nobody could exceed who knew
//! every arrival in advance.
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
use phases::{ADVICE, AUDITS, Mix, Phase, alternate, arrive};
use replay::{Chooser, Outcome, Scene};
use std::time::Duration;

/// Measures regret.
#[derive(Parser)]
struct Options {
    /// Seeds to play, from 1.
    #[arg(long, default_value_t = 6)]
    seeds: u64,
    /// Print the parts of each kind that were in time as well.
    #[arg(long)]
    kinds: bool,
    /// Play our choice alone.
    #[arg(long)]
    quick: bool,
}

/// A load and the engines that it meets.
struct Case {
    name: &'static str,
    engines: usize,
    phases: Vec<Phase>,
    /// When all that was known of the engines is forgotten.
    forget: Option<Duration>,
}

fn cases() -> Vec<Case> {
    let usual = || alternate([0.35, 1.3, 2.8], [2.4, 0.5, 0.05]);
    let mut burst = usual();
    burst.push(Phase { begin: 3.0, end: 7.0, factors: [0.0, 0.0, 1.4] });
    burst.push(Phase { begin: 13.0, end: 16.0, factors: [1.2, 0.0, 0.0] });
    let steady = vec![Phase { begin: 0.0, end: 30.0, factors: [1.0; 3] }];
    let case = |name, engines, phases, forget| Case { name, engines, phases, forget };
    vec![
        case("phases", 16, usual(), None),
        case("zone out", 10, usual(), None),
        case("bursts", 16, burst, None),
        case("restart of all", 16, usual(), Some(Duration::from_secs(23))),
        case("steady, zone out", 10, steady, None),
    ]
}

fn main() {
    let options = Options::parse();
    let mixes: [(&str, &Mix, Profile); 2] =
        [("advice", &ADVICE, profile::profile()), ("audits", &AUDITS, profile::small())];
    println!("mix     load               ours  least  fifo  bound  regret");
    for (mix_name, mix, profile) in mixes {
        for case in cases() {
            let load = |seed| arrive(mix, &case.phases, seed);
            let play = |chooser: Chooser| {
                let scene = Scene { forget: case.forget, ..Scene::new(case.engines) };
                let play = |seed| replay::play(&scene, &profile, load(seed), chooser);
                mean(mix, &(1..=options.seeds).map(play).collect::<Vec<_>>())
            };
            let ours = play(replay::choose);
            print!("{mix_name:7} {:18} {:.3}", case.name, ours.0);
            if !options.quick {
                let least = play(replay::choose_least).0;
                let fifo = play(replay::choose_fifo).0;
                let bounds =
                    (1..=options.seeds).map(|seed| bound(mix, &profile, &case, load(seed)));
                let most = bounds.sum::<f64>() / options.seeds as f64;
                print!("  {least:.3}  {fifo:.3}  {most:.3}  {:.3}", most - ours.0);
            }
            println!();
            if options.kinds {
                println!("        in time by kind    {:.3?}", ours.1);
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
    bound::most_credit(mix, profile, case.engines, &requests)
}
