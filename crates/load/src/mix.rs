//! The seeded workload: which requests are sent, when, by whom.
//!
//! The whole plan is made before the first request is sent, from the seed
//! alone, so that two policies can be put under exactly the same load.

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
    /// A thousand tokens: advice at a counter, a deposit check.
    #[display("1k")]
    #[serde(rename = "1k")]
    Short,
    /// Ten thousand tokens: a catalogue page.
    #[display("10k")]
    #[serde(rename = "10k")]
    Middle,
    /// A hundred thousand tokens: a season's report.
    #[display("100k")]
    #[serde(rename = "100k")]
    Long,
    /// A million tokens: a whole archive, greater than one engine's memory.
    #[display("1M")]
    #[serde(rename = "1M")]
    Huge,
}

impl Length {
    /// All classes, the shortest first.
    pub const ALL: &[Self] = &[Self::Short, Self::Middle, Self::Long, Self::Huge];

    /// Tokens of a prompt of the class.
    pub fn tokens(self) -> size::Tokens {
        size::Tokens(match self {
            Self::Short => 1_000,
            Self::Middle => 10_000,
            Self::Long => 100_000,
            Self::Huge => 1_000_000,
        })
    }
}

/// Who waits for an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A person.
    #[display("interactive")]
    Interactive,
    /// Nobody at once, but it must arrive.
    #[display("batch")]
    Batch,
}

/// When requests arrive.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Arrival {
    /// Independently of each other, at the mean rate.
    Poisson,
    /// In bursts of this many at once, the bursts independently of each
    /// other, at the same mean rate.
    Bursts(u32),
    /// This many at once when the part begins, and none after; the rate plays
    /// no role.
    Once(u32),
}

/// A part of the workload: one kind of completion with its own arrivals.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Part {
    /// The prompts' length.
    pub length: Length,
    /// Who waits.
    pub class: Class,
    /// Mean requests a second.
    pub rate: f64,
    /// How they arrive.
    pub arrival: Arrival,
    /// Tokens to generate.
    pub max_tokens: u64,
    /// Time that each request may take.
    pub deadline: Duration,
    /// When the part begins, from the start of the run.
    pub from: Duration,
    /// The accounts that send it, the first and the one after the last, drawn
    /// by the skew; `None` for all.
    pub accounts: Option<(usize, usize)>,
}

impl Part {
    /// A part with `rate` requests a second that begins with the run; an
    /// answer of 32 tokens in 20 s where a person waits, of 64 in 120 s
    /// otherwise.
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
    /// Mean calls a second.
    pub rate: f64,
    /// Whether a call must not be repeated: each gets its own UUIDv7 key.
    pub once: bool,
    /// Time that each call may take.
    pub deadline: Duration,
}

/// A workload.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// How long requests are sent.
    pub duration: Duration,
    /// The model asked for.
    pub model: String,
    /// The completions.
    pub parts: Vec<Part>,
    /// The calls of plain services.
    pub calls: Vec<Calls>,
    /// Skew over the accounts: account `i` is drawn with weight
    /// `1 / (i + 1)^skew`; zero is even.
    pub skew: f64,
    /// Share of the streamed callers that hang up in mid-stream, 0 to 1.
    pub hang_up: f64,
    /// Times that a refused or broken request is sent again.
    pub resends: u32,
    /// Caller processes to imitate: each keeps its own entry address.
    pub callers: u32,
}

impl Options {
    /// A mixed workload of all lengths for `duration`, `rate` requests a
    /// second in all, of which one in fifty is over a hundred thousand tokens.
    pub fn mixed(seed: u64, duration: Duration, rate: f64) -> Self {
        use Class::{Batch, Interactive};
        let parts = vec![
            Part::new(Length::Short, Interactive, rate * 0.85),
            Part::new(Length::Middle, Interactive, rate * 0.11),
            Part::new(Length::Long, Batch, rate * 0.03),
            Part::new(Length::Huge, Batch, rate * 0.01),
        ];
        Self { parts, ..Self::empty(seed, duration) }
    }

    /// A workload without requests, for parts to be added.
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

/// What a request asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Work {
    /// A completion.
    Completion {
        /// The part of the workload it belongs to.
        part: Part,
        /// Makes the prompt differ from all others.
        salt: u64,
        /// The caller hangs up after this many tokens.
        hang_up: Option<u64>,
    },
    /// A call of a plain service, by its index in [`Options::calls`].
    Call(usize),
}

/// A request of the plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Request {
    /// When it is to be sent, from the start of the run.
    pub at: Duration,
    /// The account that sends it, by index.
    pub account: usize,
    /// The caller that sends it, by index.
    pub caller: u32,
    /// What it asks for.
    pub work: Work,
}

/// All requests of the workload for `accounts` accounts, sorted by time.
///
/// Each part draws from a generator of its own, so that adding a part leaves
/// the others' requests as they were.
pub fn plan_requests(options: &Options, accounts: usize) -> Vec<Request> {
    let weights: Vec<f64> =
        (0..accounts).map(|i| ((i + 1) as f64).powf(options.skew).recip()).collect();
    let mut plan = Vec::new();
    for (index, part) in options.parts.iter().enumerate() {
        let mut random = seed_stream(options.seed, index as u64);
        for at in plan_arrivals(options, part.arrival, part.rate, part.from, &mut random) {
            let work = draw_completion(options, *part, &mut random);
            plan.push(draw_request(options, at, work, &weights, &mut random));
        }
    }
    for (index, calls) in options.calls.iter().enumerate() {
        let mut random = seed_stream(options.seed, 1_000 + index as u64);
        for at in plan_arrivals(options, Arrival::Poisson, calls.rate, Duration::ZERO, &mut random)
        {
            plan.push(draw_request(options, at, Work::Call(index), &weights, &mut random));
        }
    }
    plan.sort_by_key(|request| request.at);
    plan
}

fn seed_stream(seed: u64, stream: u64) -> StdRng {
    StdRng::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(stream))
}

fn draw_request(
    options: &Options,
    at: Duration,
    work: Work,
    weights: &[f64],
    random: &mut StdRng,
) -> Request {
    let (first, end) = match work {
        Work::Completion { part, .. } => part.accounts.unwrap_or((0, weights.len())),
        Work::Call(_) => (0, weights.len()),
    };
    let account = first + draw_index(&weights[first..end], random);
    Request { at, account, caller: random.random_range(0..options.callers.max(1)), work }
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

/// A prompt of exactly `tokens` tokens that no other salt gives; it differs
/// from others in its first block, so that no prefix cache helps.
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
