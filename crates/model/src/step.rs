//! The steps of an engine: admits streams from the queue to the batch, advances
//! them by one step, and ends them.

use crate::batch::{Key, Sequence, Step, plan_step};
use crate::engine::{Engine, Location};
use crate::job::{Failure, Progress, State};
use crate::prefix::BLOCK_TOKENS;
use std::time::Instant;

impl Engine {
    /// Admits streams from the queue to the batch, in order. The first stream that
    /// doesn't fit blocks those behind it (head-of-line blocking), as in real
    /// engines, which do so for fairness.
    fn admit(&mut self, now: Instant) {
        while self.batch.len() < self.options.max_streams as usize {
            let Some(mut entry) = self.waiting.first_entry() else { return };
            let sequence = entry.get_mut();
            let cached = self.memory.count_cached(&sequence.blocks);
            let skipped = cached as u64 * BLOCK_TOKENS.0;
            let (shared, reserved) = match sequence.uses_prefix_cache() {
                true => (cached, sequence.prompt_tokens - skipped + sequence.max_tokens),
                false => (0, sequence.prefill_left + sequence.max_tokens),
            };
            if !self.memory.reserve(now, &sequence.blocks[..shared], reserved, &mut self.log) {
                return;
            }
            sequence.shared_blocks = shared;
            sequence.reserved_tokens = reserved;
            let before = sequence.prefill_left;
            sequence.prefill_left = before.min((sequence.prompt_tokens - skipped).max(1));
            self.counts.cache_hits += before - sequence.prefill_left;
            self.counts.cache_misses += sequence.prefill_left;
            let (key, sequence) = entry.remove_entry();
            self.locations.insert(sequence.stream.clone(), Location::Running(key));
            self.batch.insert(key, sequence);
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
        let at = step.ends_at;
        for (key, chunk) in step.prefill {
            let Some(sequence) = self.batch.get_mut(&key) else { continue };
            sequence.prefill_left -= chunk;
            if sequence.crashes_engine {
                self.crashed = true;
                return;
            }
            if sequence.prefill_left == 0 {
                self.end_prefill(at, key);
            }
        }
        for key in step.decode {
            let Some(sequence) = self.batch.get_mut(&key) else { continue };
            sequence.generated += 1;
            self.counts.generated += 1;
            if sequence.generated >= sequence.max_tokens {
                self.end_sequence(at, key, State::Ended);
            }
        }
    }

    /// Shares the prefilled blocks, and ends a stream that generates no tokens.
    fn end_prefill(&mut self, now: Instant, key: Key) {
        let Some(sequence) = self.batch.get_mut(&key) else { return };
        if sequence.uses_prefix_cache() {
            self.memory.share_blocks(now, &sequence.blocks, sequence.shared_blocks, &mut self.log);
            sequence.reserved_tokens -=
                (sequence.blocks.len() - sequence.shared_blocks) as u64 * BLOCK_TOKENS.0;
            sequence.shared_blocks = sequence.blocks.len();
        }
        if sequence.max_tokens == 0 {
            self.end_sequence(now, key, State::Ended);
        }
    }

    fn end_sequence(&mut self, now: Instant, key: Key, state: State) {
        let removed = self.batch.remove(&key).or_else(|| self.waiting.remove(&key));
        let Some(mut sequence) = removed else { return };
        let progress = Progress { state, generated: sequence.generated };
        self.locations.insert(sequence.stream.clone(), Location::Done(progress));
        self.finished.insert(sequence.stream.clone());
        self.ended.push_back((now, sequence.stream.clone()));
        if state == State::Ended && sequence.keep_as.is_some() {
            self.keep_cache(now, &mut sequence);
        }
        self.free_memory(sequence);
    }

    pub(crate) fn free_memory(&mut self, sequence: Sequence) {
        self.memory.release(&sequence.blocks[..sequence.shared_blocks], sequence.reserved_tokens);
        if let Some(handle) = sequence.import {
            self.release_user(&handle);
            self.free_unused(handle);
        }
    }

    pub(crate) fn fail_sequences(
        &mut self,
        now: Instant,
        failure: Failure,
        which: impl Fn(&Sequence) -> bool,
    ) {
        let all = self.batch.iter().chain(self.waiting.iter());
        let keys: Vec<Key> =
            all.filter(|(_, sequence)| which(sequence)).map(|(key, _)| *key).collect();
        for key in keys {
            self.end_sequence(now, key, State::Failed(failure));
        }
    }

    pub(crate) fn forget_ended(&mut self, now: Instant) {
        let keep = self.options.ended_retention;
        while let Some((_, stream)) = self.ended.pop_front_if(|(at, _)| *at + keep <= now) {
            self.locations.remove(&stream);
        }
    }
}
