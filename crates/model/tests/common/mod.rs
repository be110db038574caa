//! An engine on a simulated clock, which advances by the engine's steps.
#![allow(dead_code)]

use hickory_model::engine::{Engine, Job, Options, Progress, State};
use hickory_model::prefix;
use hickory_target::engine::{Handle, Priority, Weights};
use hickory_unit::{id, size};
use std::time::{Duration, Instant};
use uuid::Uuid;

pub struct TestEngine {
    pub engine: Engine,
    pub now: Instant,
    start: Instant,
}

pub fn weights() -> Weights {
    Weights { model: "m".into(), version: "1".into(), adapter: None }
}

pub fn options() -> Options {
    Options { loaded: vec![weights()], report_lag: Duration::ZERO, ..Options::default() }
}

pub fn stream(number: u128) -> id::Stream {
    let request = id::Request(Uuid::from_u128(number));
    id::Stream { request, attempt: 0, sender: "node-a".into(), deadline_ms: 0 }
}

pub fn handle(number: u128, part: u32) -> Handle {
    Handle { stream: stream(number), part }
}

/// Returns a job whose prompt shares no prefix with another job.
pub fn job(number: u128, prompt: u64, max_tokens: u64) -> Job {
    Job {
        stream: stream(number),
        weights: weights(),
        prompt: size::Tokens(prompt),
        blocks: Vec::new(),
        max_tokens: size::Tokens(max_tokens),
        priority: Priority(1),
        import: None,
        keep_as: None,
        crashes_engine: false,
    }
}

/// Returns a job with the given prompt text.
pub fn job_with_prompt(number: u128, prompt: &str, max_tokens: u64) -> Job {
    let tokens = size::Tokens::from_bytes(size::Bytes(prompt.len() as u64));
    Job { blocks: prefix::hash_blocks(prompt), ..job(number, tokens.0, max_tokens) }
}

/// Returns a text of `blocks` blocks; texts with different seeds differ from the
/// first block.
pub fn text(seed: char, blocks: usize) -> String {
    seed.to_string().repeat(blocks * prefix::BLOCK_BYTES)
}

impl TestEngine {
    pub fn new(options: Options) -> Self {
        let now = Instant::now();
        let engine = Engine::new(now, id::Incarnation(1), options);
        Self { engine, now, start: now }
    }

    pub fn begin(&mut self, job: Job) {
        self.engine.begin(self.now, job).expect("the engine accepts the job");
    }

    /// Advances the clock by `time`.
    pub fn advance_by(&mut self, time: Duration) {
        self.now += time;
        self.engine.advance(self.now);
    }

    /// Advances the clock step by step until `done` returns true; panics if the
    /// engine becomes idle before that.
    pub fn run_until(&mut self, done: impl Fn(&Engine) -> bool) -> Duration {
        while !done(&self.engine) {
            self.now = self.engine.next_step().expect("the engine is not idle");
            self.engine.advance(self.now);
        }
        self.now - self.start
    }

    pub fn run_to_end(&mut self, number: u128) -> Duration {
        self.run_until(|engine| engine.progress(&stream(number)).is_none_or(is_done))
    }

    pub fn run_to_first_token(&mut self, number: u128) -> Duration {
        self.run_until(|engine| count_generated(engine, number) > 0)
    }

    pub fn state(&self, number: u128) -> Option<State> {
        self.engine.progress(&stream(number)).map(|progress| progress.state)
    }

    pub fn used_tokens(&self) -> u64 {
        self.engine.kv_used().0
    }
}

fn is_done(progress: Progress) -> bool {
    !matches!(progress.state, State::Waiting | State::Running)
}

pub fn count_generated(engine: &Engine, number: u128) -> u64 {
    engine.progress(&stream(number)).map_or(0, |progress| progress.generated)
}
