//! Percentiles of one decision: choosing a target in a large fleet, and the answer of its owner
//! with a long queue.
//!
//! `cargo bench -p hickory-policy --bench percentile`

mod common;

use common::{candidates, limiter, permit_request, query};
use hickory_policy::limit::{Answer, Outcome};
use hickory_policy::place::choose_target;
use std::hint::black_box;
use std::time::{Duration, Instant};

const ROUNDS: u64 = 200_000;

fn main() {
    let candidates = candidates();
    let (mut now, mut limiter, mut running) = limiter(Instant::now());
    let (mut choices, mut permits, mut both, mut polls) = (vec![], vec![], vec![], vec![]);
    for index in 0..ROUNDS {
        now += Duration::from_micros(50);
        let query = query(index);
        let request = permit_request(now, &query);
        let began = Instant::now();
        black_box(choose_target(&query, &candidates).map(|c| c.hash));
        let chosen = began.elapsed();
        let answer = limiter.request_permit(now, request);
        let answered = began.elapsed();
        choices.push(chosen);
        permits.push(answered - chosen);
        both.push(answered);
        if let Answer::Granted(ticket) = answer {
            running.push(ticket);
        }
        if !running.is_empty() {
            let ended = running.swap_remove(index as usize % running.len());
            limiter.complete(now, ended, Outcome::Completed(None));
        }
        let began = Instant::now();
        running.extend(limiter.poll(now).into_iter().filter(|(_, a)| a.is_ok()).map(|(t, _)| t));
        polls.push(began.elapsed());
    }
    println!("{ROUNDS} rounds, {} asks queued at the end", limiter.waiting());
    print("choose a target", choices);
    print("ask its owner", permits);
    print("both", both);
    print("poll", polls);
}

fn print(name: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let at =
        |quantile: f64| times[(times.len() as f64 * quantile) as usize].as_nanos() as f64 / 1e3;
    let (p50, p99, p999) = (at(0.5), at(0.99), at(0.999));
    println!("{name:<18} p50 {p50:7.2} us   p99 {p99:7.2} us   p99.9 {p999:7.2} us");
}
