//! A model engine in steps: prefill in chunks by priority, then one token a
//! step for each stream of the batch.

use hickory_target::engine::{Cancelled, Priority};
use hickory_unit::{id, size};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// What an engine bears and how fast it is when warm.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// KV cache capacity.
    pub kv_capacity: size::Tokens,
    /// Prompt tokens prefilled a second.
    pub prefill_rate: u64,
    /// Streams in the batch at once.
    pub streams_max: u32,
    /// Prompt tokens prefilled at most in one step.
    pub chunk: size::Tokens,
    /// Time of a step that decodes one stream.
    pub step: Duration,
    /// Time that each further stream adds to a step.
    pub step_stream: Duration,
    /// Time divided by this, so that tests run fast.
    pub speed: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            kv_capacity: size::Tokens(450_000),
            prefill_rate: 40_000,
            streams_max: 64,
            chunk: size::Tokens(2_048),
            step: Duration::from_millis(12),
            step_stream: Duration::from_micros(150),
            speed: 1.0,
        }
    }
}

/// Work for the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The stream.
    pub stream: id::Stream,
    /// Tokens of the prompt.
    pub prompt: size::Tokens,
    /// Tokens to generate.
    pub max_tokens: size::Tokens,
    /// The greater goes first.
    pub priority: Priority,
}

/// Why the engine does not begin a stream.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, derive_more::Error)]
pub enum Refused {
    /// The prompt and its answer are greater than the KV cache.
    #[display("too long")]
    TooLong,
    /// A stream with this id has begun before.
    #[display("known")]
    Known,
    /// The stream was cancelled before it came.
    #[display("cancelled before it began")]
    Cancelled,
}

/// How far a stream is.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum State {
    /// Waits for room in the batch.
    Waiting,
    /// In the batch.
    Running,
    /// Whole.
    Ended,
}

/// How far a stream is, and what it brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Progress {
    /// How far it is.
    pub state: State,
    /// Tokens generated.
    pub generated: u64,
}

#[derive(Debug)]
struct Run {
    job: Job,
    order: u64,
    state: State,
    prefill_left: u64,
    generated: u64,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    options: Options,
    runs: BTreeMap<id::Stream, Run>,
    refused: BTreeSet<id::Stream>,
    order: u64,
    step: Option<Step>,
}

/// The step that runs: what it will have done when it ends.
#[derive(Debug)]
struct Step {
    ends: Instant,
    prefill: Vec<(id::Stream, u64)>,
    decode: Vec<id::Stream>,
}

impl Engine {
    /// An idle engine.
    pub fn open(options: Options) -> Self {
        let (runs, refused) = (BTreeMap::new(), BTreeSet::new());
        Self { options, runs, refused, order: 0, step: None }
    }

    /// Takes a stream into the queue.
    pub fn begin(&mut self, now: Instant, job: Job) -> Result<(), Refused> {
        self.advance(now);
        if job.prompt + job.max_tokens > self.options.kv_capacity {
            return Err(Refused::TooLong);
        }
        if self.refused.contains(&job.stream) {
            return Err(Refused::Cancelled);
        }
        if self.runs.contains_key(&job.stream) {
            return Err(Refused::Known);
        }
        self.order += 1;
        let run = Run {
            order: self.order,
            state: State::Waiting,
            prefill_left: job.prompt.0,
            generated: 0,
            job,
        };
        self.runs.insert(run.job.stream.clone(), run);
        self.start_step(now);
        Ok(())
    }

    /// Stops a stream and frees its memory.
    pub fn cancel(&mut self, now: Instant, stream: &id::Stream) -> Cancelled {
        self.advance(now);
        match self.runs.remove(stream) {
            Some(run) if run.state == State::Ended => Cancelled::Ended,
            Some(_) => Cancelled::Stopped,
            None => {
                self.refused.insert(stream.clone());
                Cancelled::NeverBegun
            }
        }
    }

    /// Runs the steps that end by `now`.
    pub fn advance(&mut self, now: Instant) {
        while let Some(step) = self.step.take_if(|step| step.ends <= now) {
            let ends = step.ends;
            self.end_step(step);
            self.start_step(ends);
        }
    }

    /// When the running step ends; `None` where the engine is idle.
    pub fn next_step(&self) -> Option<Instant> {
        self.step.as_ref().map(|step| step.ends)
    }

    /// How far a stream is.
    pub fn progress(&self, stream: &id::Stream) -> Option<Progress> {
        let run = self.runs.get(stream)?;
        Some(Progress { state: run.state.clone(), generated: run.generated })
    }

    /// Streams held, ended ones left out, with KV cache and prefill left.
    pub fn held(&self) -> Vec<hickory_target::engine::Held> {
        let live = self.runs.values().filter(|run| run.state != State::Ended);
        live.map(|run| hickory_target::engine::Held {
            stream: run.job.stream.clone(),
            kv: run.job.prompt + run.job.max_tokens,
            prefill_left: size::Tokens(run.prefill_left),
        })
        .collect()
    }

    /// KV cache in use.
    pub fn kv_used(&self) -> size::Tokens {
        let running = self.runs.values().filter(|run| run.state == State::Running);
        running.map(|run| run.job.prompt + run.job.max_tokens).sum()
    }

    fn admit(&mut self) {
        let mut waiting: Vec<_> = self
            .runs
            .values()
            .filter(|run| run.state == State::Waiting)
            .map(|run| (std::cmp::Reverse(run.job.priority), run.order, run.job.stream.clone()))
            .collect();
        waiting.sort();
        for (_, _, stream) in waiting {
            let running = self.runs.values().filter(|r| r.state == State::Running).count();
            let used = self.kv_used();
            let Some(run) = self.runs.get_mut(&stream) else { continue };
            let room = used + run.job.prompt + run.job.max_tokens <= self.options.kv_capacity;
            if !room || running >= self.options.streams_max as usize {
                break;
            }
            run.state = State::Running;
        }
    }

    fn start_step(&mut self, now: Instant) {
        if self.step.is_some() {
            return;
        }
        self.admit();
        let mut running: Vec<_> =
            self.runs.values().filter(|run| run.state == State::Running).collect();
        running.sort_by_key(|run| (std::cmp::Reverse(run.job.priority), run.order));
        let mut budget = self.options.chunk.0;
        let mut step = Step { ends: now, prefill: Vec::new(), decode: Vec::new() };
        for run in running {
            if run.prefill_left == 0 {
                step.decode.push(run.job.stream.clone());
            } else if budget > 0 {
                let chunk = run.prefill_left.min(budget);
                budget -= chunk;
                step.prefill.push((run.job.stream.clone(), chunk));
            }
        }
        if step.decode.is_empty() && step.prefill.is_empty() {
            return;
        }
        step.ends = now + self.step_time(self.options.chunk.0 - budget, step.decode.len());
        self.step = Some(step);
    }

    fn step_time(&self, prefill: u64, decode: usize) -> Duration {
        let chunk = prefill as f64 / self.options.prefill_rate as f64;
        let batch = match decode {
            0 => Duration::ZERO,
            n => self.options.step + self.options.step_stream * (n as u32 - 1),
        };
        Duration::from_secs_f64((chunk + batch.as_secs_f64()) / self.options.speed)
    }

    fn end_step(&mut self, step: Step) {
        for (stream, chunk) in step.prefill {
            if let Some(run) = self.runs.get_mut(&stream) {
                run.prefill_left -= chunk;
            }
        }
        for stream in step.decode {
            if let Some(run) = self.runs.get_mut(&stream) {
                run.generated += 1;
                if run.generated >= run.job.max_tokens.0 {
                    run.state = State::Ended;
                }
            }
        }
    }
}
