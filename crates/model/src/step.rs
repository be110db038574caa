//! The steps of an engine: streams are taken from the queue into the batch,
//! move on by a step, and end.

use crate::batch::{Key, Run, Step, plan_step};
use crate::engine::{Engine, Place};
use crate::job::{Failure, Progress, State};
use crate::prefix::BLOCK;
use std::time::Instant;

impl Engine {
    /// Takes streams from the queue into the batch, in order. The first that
    /// does not fit holds up those behind it, as engines do to be fair.
    fn admit(&mut self, now: Instant) {
        while self.batch.len() < self.options.max_streams as usize {
            let Some(mut entry) = self.waiting.first_entry() else { return };
            let run = entry.get_mut();
            let cached = self.memory.count_cached(&run.blocks);
            let skipped = cached as u64 * BLOCK.0;
            let (shared, reserved) = match run.is_shared() {
                true => (cached, run.prompt - skipped + run.max_tokens),
                false => (0, run.prefill_left + run.max_tokens),
            };
            if !self.memory.reserve(now, &run.blocks[..shared], reserved, &mut self.log) {
                return;
            }
            run.shared = shared;
            run.reserved = reserved;
            let before = run.prefill_left;
            run.prefill_left = before.min((run.prompt - skipped).max(1));
            self.counts.cache_hits += before - run.prefill_left;
            self.counts.cache_misses += run.prefill_left;
            let (key, run) = entry.remove_entry();
            self.places.insert(run.stream.clone(), Place::Running(key));
            self.batch.insert(key, run);
        }
    }

    pub(crate) fn start_step(&mut self, now: Instant) {
        if self.step.is_some() || self.crashed {
            return;
        }
        self.admit(now);
        let speed = self.warmth.speed(&self.options);
        self.step = plan_step(now, &self.batch, self.stall, speed, &self.options);
    }

    pub(crate) fn end_step(&mut self, step: Step) {
        let at = step.ends;
        for (key, chunk) in step.prefill {
            let Some(run) = self.batch.get_mut(&key) else { continue };
            run.prefill_left -= chunk;
            if run.crashes_engine {
                self.crashed = true;
                return;
            }
            if run.prefill_left == 0 {
                self.end_prefill(at, key);
            }
        }
        for key in step.decode {
            let Some(run) = self.batch.get_mut(&key) else { continue };
            run.generated += 1;
            self.counts.generated += 1;
            if run.generated >= run.max_tokens {
                self.end_run(at, key, State::Ended);
            }
        }
    }

    /// Shares the prefilled blocks, and ends a stream that wants no tokens.
    fn end_prefill(&mut self, now: Instant, key: Key) {
        let Some(run) = self.batch.get_mut(&key) else { return };
        if run.is_shared() {
            self.memory.share(now, &run.blocks, run.shared, &mut self.log);
            run.reserved -= (run.blocks.len() - run.shared) as u64 * BLOCK.0;
            run.shared = run.blocks.len();
        }
        if run.max_tokens == 0 {
            self.end_run(now, key, State::Ended);
        }
    }

    fn end_run(&mut self, now: Instant, key: Key, state: State) {
        let removed = self.batch.remove(&key).or_else(|| self.waiting.remove(&key));
        let Some(mut run) = removed else { return };
        let progress = Progress { state, generated: run.generated };
        self.places.insert(run.stream.clone(), Place::Done(progress));
        self.past.insert(run.stream.clone());
        self.ended.push_back((now, run.stream.clone()));
        if state == State::Ended && run.keep_as.is_some() {
            self.keep(now, &mut run);
        }
        self.free(run);
    }

    pub(crate) fn free(&mut self, run: Run) {
        self.memory.release(&run.blocks[..run.shared], run.reserved);
        if let Some(handle) = run.import {
            self.leave(&handle);
            self.collect(handle);
        }
    }

    pub(crate) fn fail(&mut self, now: Instant, failure: Failure, which: impl Fn(&Run) -> bool) {
        let all = self.batch.iter().chain(self.waiting.iter());
        let keys: Vec<Key> = all.filter(|(_, run)| which(run)).map(|(key, _)| *key).collect();
        for key in keys {
            self.end_run(now, key, State::Failed(failure));
        }
    }

    pub(crate) fn forget(&mut self, now: Instant) {
        let keep = self.options.ended_retention;
        while let Some((_, stream)) = self.ended.pop_front_if(|(at, _)| *at + keep <= now) {
            self.places.remove(&stream);
        }
    }
}
