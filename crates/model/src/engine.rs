//! A simulated model engine that runs in steps. Each step prefills chunks in order
//! of priority and decodes one token for each sequence of the batch.

use crate::batch::{Key, Sequence, Stall, Step};
use crate::event::Log;
use crate::handle::KeptCache;
use crate::history::History;
pub use crate::job::{Counts, Failure, Job, Progress, Refusal, State};
use crate::loading::{Fetch, WeightSet};
use crate::memory::Memory;
use crate::warmth::Warmth;
use hickory_target::engine::{
    CacheEvent, Cancelled, Handle, HeldStream, Order, Report, Role, Weights,
};
use hickory_unit::{id, size};
use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::{Duration, Instant};

pub use crate::option::Options;

/// Number of reports recorded during the report lag.
const REPORTS_PER_LAG: u32 = 4;

#[derive(Clone, Copy, Debug)]
pub(crate) enum Location {
    Waiting(Key),
    Running(Key),
    Done(Progress),
}

/// A simulated engine.
#[derive(Debug)]
pub struct Engine {
    pub(crate) options: Options,
    incarnation: id::Incarnation,
    pub(crate) waiting: BTreeMap<Key, Sequence>,
    pub(crate) batch: BTreeMap<Key, Sequence>,
    pub(crate) locations: HashMap<id::Stream, Location>,
    pub(crate) ended: VecDeque<(Instant, id::Stream)>,
    pub(crate) finished: History,
    cancelled_early: History,
    pub(crate) memory: Memory,
    pub(crate) handles: BTreeMap<Handle, KeptCache>,
    weights: WeightSet,
    role: Role,
    fence: id::Epoch,
    pub(crate) warmth: Warmth,
    pub(crate) log: Log,
    reports: VecDeque<(Instant, Report)>,
    last_position: u64,
    pub(crate) step: Option<Step>,
    pub(crate) stall: Stall,
    pub(crate) crashed: bool,
    pub(crate) counts: Counts,
}

impl Engine {
    /// Returns an idle engine that has just started.
    pub fn new(now: Instant, incarnation: id::Incarnation, options: Options) -> Self {
        let mut engine = Self {
            incarnation,
            waiting: BTreeMap::new(),
            batch: BTreeMap::new(),
            locations: HashMap::new(),
            ended: VecDeque::new(),
            finished: History::default(),
            cancelled_early: History::default(),
            memory: Memory::new(options.kv_capacity.0),
            handles: BTreeMap::new(),
            weights: WeightSet::new(&options),
            role: Role::Both,
            fence: id::Epoch(0),
            warmth: Warmth::new(now, &options),
            log: Log::new(options.event_loss_interval),
            reports: VecDeque::new(),
            last_position: 0,
            step: None,
            stall: Stall::None,
            crashed: false,
            counts: Counts::default(),
            options,
        };
        engine.reports.push_back((now, engine.current_report()));
        engine
    }

    /// Adds a stream to the queue.
    pub fn begin(&mut self, now: Instant, job: Job) -> Result<(), Refusal> {
        self.advance(now);
        let covered = self.check(&job)?;
        let stream_count = self.waiting.len() + self.batch.len() + 1;
        if self.warmth.is_overloaded(stream_count as u32, &self.options) {
            self.counts.overloads += 1;
            if self.options.crashes_on_overload
                && !self.warmth.is_within_detection_time(now, &self.options)
            {
                self.crashed = true;
                return Err(Refusal::Crashed);
            }
        }
        self.last_position += 1;
        let prompt = job.prompt.0.max(1);
        let key = (Reverse(job.priority), self.last_position);
        if let Some(kept) = job.import.as_ref().and_then(|handle| self.handles.get_mut(handle)) {
            kept.users += 1;
        }
        let sequence = Sequence {
            stream: job.stream.clone(),
            weights: job.weights,
            prompt_tokens: prompt,
            max_tokens: if job.keep_as.is_some() { 0 } else { job.max_tokens.0 },
            blocks: job.blocks,
            import: job.import,
            keep_as: job.keep_as,
            crashes_engine: job.crashes_engine,
            shared_blocks: 0,
            reserved_tokens: 0,
            prefill_left: (prompt - covered).max(1),
            generated: 0,
        };
        self.locations.insert(job.stream, Location::Waiting(key));
        self.waiting.insert(key, sequence);
        self.start_step(now);
        Ok(())
    }

    /// Cancels a stream and frees its memory.
    pub fn cancel(&mut self, now: Instant, stream: &id::Stream) -> Cancelled {
        self.advance(now);
        let stopped = match self.locations.get(stream) {
            Some(Location::Done(_)) => None,
            Some(Location::Waiting(key)) => self.waiting.remove(key),
            Some(Location::Running(key)) => self.batch.remove(key),
            None if self.finished.contains(stream) => None,
            None => {
                self.cancelled_early.insert(stream.clone());
                return Cancelled::NeverBegun;
            }
        };
        self.locations.remove(stream);
        self.finished.insert(stream.clone());
        match stopped {
            Some(sequence) => {
                self.free_memory(sequence);
                self.start_step(now);
                Cancelled::Stopped
            }
            None => Cancelled::Ended,
        }
    }

    /// Runs the steps that end by `now`.
    pub fn advance(&mut self, now: Instant) {
        if self.crashed {
            return;
        }
        while let Some(step) = self.step.take_if(|step| step.ends_at <= now) {
            let ends = step.ends_at;
            self.warmth.advance(ends, true, &self.options);
            self.end_step(step);
            if self.crashed {
                return;
            }
            self.start_step(ends);
            self.record_report(ends);
        }
        self.warmth.advance(now, self.step.is_some(), &self.options);
        self.start_step(now);
        self.record_report(now);
        self.forget_ended(now);
    }

    /// Returns when the running step ends; `None` if the engine is idle.
    pub fn next_step(&self) -> Option<Instant> {
        self.step.as_ref().filter(|_| !self.crashed).map(|step| step.ends_at)
    }

    /// Returns the progress of a stream; `None` if the engine doesn't know it or no
    /// longer remembers it.
    pub fn progress(&self, stream: &id::Stream) -> Option<Progress> {
        match self.locations.get(stream)? {
            Location::Waiting(_) => Some(Progress { state: State::Waiting, generated: 0 }),
            Location::Running(key) => {
                let generated = self.batch.get(key)?.generated;
                Some(Progress { state: State::Running, generated })
            }
            Location::Done(progress) => Some(*progress),
        }
    }

    /// Returns whether the engine has crashed; a crashed engine does nothing.
    pub fn is_crashed(&self) -> bool {
        self.crashed
    }

    /// Returns the load report, which is delayed by the report lag.
    pub fn report(&mut self, now: Instant) -> Report {
        self.advance(now);
        let lag = self.options.report_lag;
        if lag.is_zero() {
            return self.current_report();
        }
        self.record_report(now);
        let visible = self.reports.iter().rev().find(|(at, _)| *at + lag <= now);
        let visible = visible.or(self.reports.front()).map(|(_, report)| report.clone());
        visible.unwrap_or_else(|| self.current_report())
    }

    /// Records a report for later, delayed reads.
    fn record_report(&mut self, now: Instant) {
        let interval = self.options.report_lag / REPORTS_PER_LAG;
        let last = self.reports.back().map(|(at, _)| *at);
        if last.is_some_and(|last| now < last + interval) || interval.is_zero() {
            return;
        }
        self.reports.push_back((now, self.current_report()));
        if self.reports.len() > 2 * REPORTS_PER_LAG as usize {
            self.reports.pop_front();
        }
    }

    /// Returns the current load report, without the lag.
    pub fn current_report(&self) -> Report {
        let sequences = self.batch.values().chain(self.waiting.values());
        Report {
            incarnation: self.incarnation,
            kv_capacity: self.options.kv_capacity,
            kv_used: self.kv_used(),
            prefill_rate: self.options.prefill_rate,
            streams_max: self.options.max_streams,
            warmth: self.warmth.level(),
            streams: sequences.map(report_sequence).collect(),
            handles: self.handles.keys().cloned().collect(),
            pins: self.memory.pins(),
            loaded: self.weights.list(),
            role: self.role,
            fence: self.options.checks_fence.then_some(self.fence),
            cache_hits: self.counts.cache_hits,
            cache_misses: self.counts.cache_misses,
        }
    }

    /// Returns the cache events after number `after` that are visible by now.
    pub fn cache_events(&self, now: Instant, after: u64) -> Vec<CacheEvent> {
        self.log.list(now, after, self.options.event_lag)
    }

    /// Applies an order; returns the fetch that has to complete before weights can
    /// be used.
    pub fn apply_order(
        &mut self,
        now: Instant,
        fence: id::Epoch,
        order: &Order,
    ) -> Result<Option<Fetch>, Refusal> {
        self.advance(now);
        if self.options.checks_fence && fence < self.fence {
            return Err(Refusal::StaleFence);
        }
        self.fence = self.fence.max(fence);
        match order {
            Order::Load(weights) => {
                return self.weights.load(weights, &self.options).map_err(|_| Refusal::NoRoom);
            }
            Order::Unload(weights) => self.unload(now, weights),
            Order::Role(role) => self.role = *role,
            Order::Pin(prefix) => self.memory.pin(*prefix),
            Order::Unpin(prefix) => self.memory.unpin(*prefix),
        }
        Ok(None)
    }

    /// Marks weights as read.
    pub fn finish_load(&mut self, weights: &Weights) {
        self.weights.finish(weights);
    }

    /// Returns whether weights are loaded or being loaded.
    pub fn has_weights(&self, weights: &Weights) -> bool {
        self.weights.contains(weights)
    }

    /// Turns the engine cold without reporting it: it becomes slow and loses its
    /// prefix cache.
    pub fn turn_cold(&mut self, now: Instant) {
        self.advance(now);
        self.warmth.turn_cold(now);
        self.memory.clear_cache();
    }

    /// Sets the lag of the load report.
    pub fn set_report_lag(&mut self, lag: Duration) {
        self.options.report_lag = lag;
    }

    /// Stalls the sequences or ends their stall.
    pub fn set_stall(&mut self, now: Instant, stall: Stall) {
        self.advance(now);
        self.stall = stall;
        self.start_step(now);
    }

    /// Returns the KV cache in use by streams, handles and pins.
    pub fn kv_used(&self) -> size::Tokens {
        size::Tokens(self.memory.used_tokens())
    }

    /// Returns the number of running and waiting streams.
    pub fn stream_count(&self) -> usize {
        self.batch.len() + self.waiting.len()
    }

    /// Returns how many running and waiting streams the engine can currently
    /// handle.
    pub fn stream_capacity(&self) -> u32 {
        self.warmth.stream_capacity(&self.options)
    }

    /// Returns the counters since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Checks whether a job may begin; returns the number of leading tokens that
    /// its import covers.
    fn check(&self, job: &Job) -> Result<u64, Refusal> {
        if self.crashed {
            return Err(Refusal::Crashed);
        }
        if self.cancelled_early.contains(&job.stream) {
            return Err(Refusal::Cancelled);
        }
        if self.locations.contains_key(&job.stream) || self.finished.contains(&job.stream) {
            return Err(Refusal::Duplicate);
        }
        if job.keep_as.as_ref().is_some_and(|handle| self.handles.contains_key(handle)) {
            return Err(Refusal::Duplicate);
        }
        if !self.weights.is_ready(&job.weights) {
            return Err(Refusal::NotLoaded);
        }
        let (covered, own) = match &job.import {
            Some(handle) => self.count_covered(handle, job).ok_or(Refusal::UnknownHandle)?,
            None => (0, 0),
        };
        let prefill = job.prompt.0 - covered;
        let is_mismatch = match self.role {
            Role::Both => false,
            Role::Prefill => job.keep_as.is_none(),
            Role::Decode => job.keep_as.is_some() || prefill > self.options.prefill_chunk.0,
        };
        if is_mismatch {
            return Err(Refusal::RoleMismatch);
        }
        let decode = if job.keep_as.is_some() { 0 } else { job.max_tokens.0 };
        if own + prefill + decode > self.options.kv_capacity.0 {
            return Err(Refusal::TooLong);
        }
        Ok(covered)
    }

    fn unload(&mut self, now: Instant, weights: &Weights) {
        self.weights.unload(weights);
        self.fail_sequences(now, Failure::Unloaded, |sequence| sequence.weights == *weights);
    }
}

fn report_sequence(sequence: &Sequence) -> HeldStream {
    HeldStream {
        stream: sequence.stream.clone(),
        kv: size::Tokens(sequence.prompt_tokens + sequence.max_tokens),
        prefill_left: size::Tokens(sequence.prefill_left),
    }
}
