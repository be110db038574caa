//! The seeded workload: which requests are sent, when, and by which account.
//!
//! The whole plan is generated from the seed before the first request is sent, so
//! that policies can be compared under exactly the same load.

use derive_more::Display;
use hickory_unit::size;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The length class of a prompt.
#[derive(
    Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub enum Length {
    /// A thousand tokens, for example a question of a customer.
    #[display("1k")]
    #[serde(rename = "1k")]
    Short,
    /// Ten thousand tokens, for example a catalogue page.
    #[display("10k")]
    #[serde(rename = "10k")]
    Medium,
    /// A hundred thousand tokens, for example the report of a season.
    #[display("100k")]
    #[serde(rename = "100k")]
    Long,
    /// A million tokens, for example an archive; exceeds the memory of one engine.
    #[display("1M")]
    #[serde(rename = "1M")]
    Huge,
}

impl Length {
    /// All classes, in ascending order.
    pub const ALL: &[Self] = &[Self::Short, Self::Medium, Self::Long, Self::Huge];

    /// Returns the number of tokens of a prompt of the class.
    pub fn tokens(self) -> size::Tokens {
        size::Tokens(match self {
            Self::Short => 1_000,
            Self::Medium => 10_000,
            Self::Long => 100_000,
            Self::Huge => 1_000_000,
        })
    }
}

/// The service class of a request.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person is waiting for the answer.
    #[display("interactive")]
    Interactive,
    /// The answer is needed, but no person is waiting for it.
    #[display("batch")]
    Batch,
}

/// The arrival process of requests.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrival {
    /// A Poisson process with the mean rate.
    Poisson,
    /// Bursts of this many simultaneous requests. The bursts are a Poisson process
    /// with the same mean rate of requests.
    Bursts(u32),
    /// This many simultaneous requests at the start of the part and none later. The
    /// rate is ignored.
    Once(u32),
}

/// A part of the workload: one kind of completion with its own arrival process.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The length class of the prompts.
    pub length: Length,
    /// The service class.
    pub class: Class,
    /// Mean rate, in requests per second.
    pub rate: f64,
    /// The arrival process.
    pub arrival: Arrival,
    /// Number of tokens to generate.
    pub max_tokens: u64,
    /// Time from the intended send time until the answer must be complete.
    pub deadline: Duration,
    /// Start of the part, relative to the start of the run.
    pub from: Duration,
    /// The accounts that send its requests, as a half-open range of indexes; `None` for
    /// all. The skew applies within the range.
    pub accounts: Option<(usize, usize)>,
}

impl Part {
    /// Creates a part with `rate` requests per second from the start of the run.
    /// Interactive answers have 32 tokens and a deadline of 20 s, batch answers 64
    /// tokens and a deadline of 120 s.
    pub fn new(length: Length, class: Class, rate: f64) -> Self {
        let (max_tokens, seconds) = match class {
            Class::Interactive => (32, 20),
            Class::Batch => (64, 120),
        };
        let deadline = Duration::from_secs(seconds);
        let (arrival, from) = (Arrival::Poisson, Duration::ZERO);
        Self { length, class, rate, arrival, max_tokens, deadline, from, accounts: None }
    }
}

/// Calls of a plain service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Calls {
    /// The service.
    pub service: String,
    /// The path within it, with its leading slash.
    pub path: String,
    /// Mean rate, in calls per second.
    pub rate: f64,
    /// Whether a call must not be executed twice; each call then has its own UUIDv7
    /// idempotency key.
    pub once: bool,
    /// Time from the intended send time until the call must be answered.
    pub deadline: Duration,
}

/// A workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// Duration of the workload.
    pub duration: Duration,
    /// The model of the completions.
    pub model: String,
    /// The completions.
    pub parts: Vec<Part>,
    /// The calls of plain services.
    pub calls: Vec<Calls>,
    /// Skew of the load over the accounts: account `i` is drawn with weight
    /// `1 / (i + 1)^skew`; zero means a uniform distribution.
    pub skew: f64,
    /// Fraction of the streamed requests whose caller disconnects mid-stream, 0 to 1.
    pub hang_up: f64,
    /// Maximum number of retries of a refused or broken request.
    pub resends: u32,
    /// Number of caller processes to simulate. Each caches its own entry address.
    pub callers: u32,
}

impl Options {
    /// Creates a mixed workload of all lengths with `rate` requests per second in
    /// total. 3% of the prompts have 100,000 tokens and 1% a million.
    pub fn mixed(seed: u64, duration: Duration, rate: f64) -> Self {
        use Class::{Batch, Interactive};
        let parts = vec![
            Part::new(Length::Short, Interactive, rate * 0.85),
            Part::new(Length::Medium, Interactive, rate * 0.11),
            Part::new(Length::Long, Batch, rate * 0.03),
            Part::new(Length::Huge, Batch, rate * 0.01),
        ];
        Self { parts, ..Self::empty(seed, duration) }
    }

    /// Creates a workload without requests, to which parts can be added.
    pub fn empty(seed: u64, duration: Duration) -> Self {
        Self {
            seed,
            duration,
            model: "oak".into(),
            parts: Vec::new(),
            calls: Vec::new(),
            skew: 1.0,
            hang_up: 0.0,
            resends: 3,
            callers: 16,
        }
    }
}

/// The operation that a request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// A completion.
    Completion {
        /// The part of the workload that it belongs to.
        part: Part,
        /// A random value that makes the prompt unique.
        salt: u64,
        /// The caller disconnects after this many tokens.
        hang_up: Option<u64>,
    },
    /// A call of a plain service, by its index in [`Options::calls`].
    Call(usize),
}

/// A planned request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// Intended send time, relative to the start of the run.
    pub send_at: Duration,
    /// The account that sends it, by index.
    pub account: usize,
    /// The caller that sends it, by index.
    pub caller: u32,
    /// The requested operation.
    pub work: Work,
}

/// Returns all requests of the workload for `accounts` accounts, sorted by time.
///
/// Each part has its own random generator, so that adding a part doesn't change
/// the requests of the other parts.
pub fn plan_requests(options: &Options, accounts: usize) -> Vec<Request> {
    let weights: Vec<f64> =
        (0..accounts).map(|i| ((i + 1) as f64).powf(options.skew).recip()).collect();
    let mut plan = Vec::new();
    for (index, part) in options.parts.iter().enumerate() {
        let mut random = seed_generator(options.seed, index as u64);
        for at in plan_arrivals(options, part.arrival, part.rate, part.from, &mut random) {
            let work = draw_completion(options, *part, &mut random);
            plan.push(draw_request(options, at, work, &weights, &mut random));
        }
    }
    for (index, calls) in options.calls.iter().enumerate() {
        let mut random = seed_generator(options.seed, 1_000 + index as u64);
        for at in plan_arrivals(options, Arrival::Poisson, calls.rate, Duration::ZERO, &mut random)
        {
            plan.push(draw_request(options, at, Work::Call(index), &weights, &mut random));
        }
    }
    plan.sort_by_key(|request| request.send_at);
    plan
}

fn seed_generator(seed: u64, stream: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(stream))
}

fn draw_request(
    options: &Options,
    send_at: Duration,
    work: Work,
    weights: &[f64],
    random: &mut StdRng,
) -> Request {
    let (first, end) = match work {
        Work::Completion { part, .. } => part.accounts.unwrap_or((0, weights.len())),
        Work::Call(_) => (0, weights.len()),
    };
    let account = first + draw_index(&weights[first..end], random);
    Request { send_at, account, caller: random.random_range(0..options.callers.max(1)), work }
}

fn draw_completion(options: &Options, part: Part, random: &mut StdRng) -> Work {
    let hangs_up = random.random_bool(options.hang_up.clamp(0.0, 1.0));
    let after = random.random_range(1..part.max_tokens.max(2));
    Work::Completion { part, salt: random.random(), hang_up: hangs_up.then_some(after) }
}

fn plan_arrivals(
    options: &Options,
    arrival: Arrival,
    rate: f64,
    from: Duration,
    random: &mut StdRng,
) -> Vec<Duration> {
    let size = match arrival {
        Arrival::Poisson => 1,
        Arrival::Bursts(size) => size.max(1),
        Arrival::Once(count) => return vec![from; count as usize],
    };
    if rate <= 0.0 {
        return Vec::new();
    }
    let mut arrivals = Vec::new();
    let mut at = from.as_secs_f64();
    loop {
        at += draw_exponential(rate / f64::from(size), random);
        if at >= options.duration.as_secs_f64() {
            return arrivals;
        }
        arrivals.extend((0..size).map(|_| Duration::from_secs_f64(at)));
    }
}

fn draw_exponential(rate: f64, random: &mut StdRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln() / rate
}

fn draw_index(weights: &[f64], random: &mut StdRng) -> usize {
    let mut left = random.random::<f64>() * weights.iter().sum::<f64>();
    for (index, weight) in weights.iter().enumerate() {
        left -= weight;
        if left < 0.0 {
            return index;
        }
    }
    weights.len().saturating_sub(1)
}

/// Returns a prompt of exactly `tokens` tokens that is unique to `salt`. Prompts
/// differ in their first block, so that prefix caches have no effect.
pub fn make_prompt(salt: u64, tokens: size::Tokens) -> String {
    const FILLER: &str = "lime plaster wants a breathing primer and two thin coats of paint; ";
    let bytes = (tokens.0 * size::BYTES_PER_TOKEN) as usize;
    let mut prompt = String::with_capacity(bytes + FILLER.len());
    prompt.push_str(&format!("{salt:016x} "));
    while prompt.len() < bytes {
        prompt.push_str(FILLER);
    }
    prompt.truncate(bytes);
    prompt
}
