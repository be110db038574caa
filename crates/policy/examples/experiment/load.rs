//! Seeded request arrivals.

use hickory_policy::cost::{Class, Cost};
use hickory_unit::size;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// A request of the load.
#[derive(Clone, Debug)]
pub struct Request {
    /// Arrival time from the start.
    pub at: Duration,
    pub partner: &'static str,
    pub class: Class,
    pub cost: Cost,
    /// Time from arrival to the deadline.
    pub time_left: Duration,
}

/// A kind of request that arrives at a rate.
#[derive(Clone, Copy, Debug)]
pub struct Kind {
    pub partner: &'static str,
    pub class: Class,
    /// Minimum and maximum number of prompt tokens.
    pub prompt: (u64, u64),
    pub decode: u64,
    /// Requests per second.
    pub rate: f64,
    pub time_left: Duration,
    /// Span of arrivals, in seconds.
    pub span_seconds: (f64, f64),
}

/// Generates Poisson arrivals of all kinds, sorted by time.
pub fn generate_arrivals(kinds: &[Kind], seed: u64) -> Vec<Request> {
    let mut requests = Vec::new();
    for (index, kind) in kinds.iter().enumerate() {
        // Each kind has its own random generator, so the short requests are the same with and
        // without long ones.
        let mut random = SmallRng::seed_from_u64(seed ^ (index as u64) << 32);
        let mut at = kind.span_seconds.0;
        loop {
            at += -(1.0 - random.random::<f64>()).ln() / kind.rate;
            if at >= kind.span_seconds.1 {
                break;
            }
            let prompt = random.random_range(kind.prompt.0..=kind.prompt.1);
            let cost = Cost { prefill: size::Tokens(prompt), decode: size::Tokens(kind.decode) };
            requests.push(Request {
                at: Duration::from_secs_f64(at),
                partner: kind.partner,
                class: kind.class,
                cost,
                time_left: kind.time_left,
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}
