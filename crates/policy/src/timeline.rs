//! When an engine is free for long chunks: after what is placed on it, between the intervals that
//! are planned on it, and as far as its streams tolerate a pause.
//!
//! Load pattern: long prompts that wait for engines whose streams end within seconds.

use crate::engine::Profile;
use crate::plan::{
    Load, MAX_IDLE_BACKLOG, MAX_PAUSE_FRACTION, PACK_SLOT_FRACTION, TARGET_PREFILL_CHUNK_TIME,
};
use std::cmp::Reverse;
use std::time::Duration;

/// Number of engines kept free of long chunks beside those that the short streams need, for short
/// prompts that arrive while the chunks are prefilled.
const SPARE_SHORT_ENGINES: usize = 1;

/// Engines whose numbers of streams differ by fewer than this rank alike for long chunks. A stream
/// tolerates each chunk, but chunk after chunk would end it after its deadline.
const STREAMS_PER_RANK: u32 = 3;

/// The engines that a prompt may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reach {
    /// The usable engines except the spare ones.
    Patient,
    /// The usable engines.
    Usable,
    /// All engines, also those kept free for short prompts.
    All,
}

/// The future of an engine.
#[derive(Clone, Debug)]
pub(crate) struct Timeline {
    /// Time until it has prefilled what is placed there.
    pub(crate) free_at: Duration,
    /// Time by which the streams that it has now are expected to end.
    pub(crate) clear_at: Duration,
    /// Longest chunk that its streams tolerate.
    max_chunk: Duration,
    has_slot: bool,
    /// Intervals planned in this pass, by start.
    planned: Vec<(Duration, Duration)>,
}

impl Timeline {
    /// Returns the future of an engine with this load.
    pub(crate) fn new(profile: &Profile, load: &Load) -> Self {
        let iteration = profile.iteration_time(load.decoding_streams, load.decode_context);
        let has_streams = load.requests > 0 || load.decoding_streams > 0;
        let stream_time = profile.stream_time(load.decoding_streams);
        Self {
            free_at: match load.prefill_backlog <= MAX_IDLE_BACKLOG {
                true => Duration::ZERO,
                false => load.prefill_backlog,
            },
            clear_at: match has_streams {
                true => load.prefill_backlog + stream_time,
                false => Duration::ZERO,
            },
            max_chunk: load.inter_token_target.map_or(Duration::MAX, |target| {
                target.mul_f64(MAX_PAUSE_FRACTION).saturating_sub(iteration)
            }),
            has_slot: load.requests < profile.slots && load.helper_chunks < profile.slots,
            planned: Vec::new(),
        }
    }

    /// Returns the earliest start from `from` on of a chunk that ends before the next planned one.
    pub(crate) fn earliest(&self, from: Duration, chunk_time: Duration) -> Duration {
        let mut start = from.max(self.free_at);
        if !self.has_slot || chunk_time > self.max_chunk {
            start = start.max(self.clear_at);
        }
        for &(begin, end) in &self.planned {
            if start + chunk_time <= begin {
                break;
            }
            start = start.max(end);
        }
        start
    }

    /// Returns the time after which nothing is planned and its present streams have ended.
    pub(crate) fn end(&self) -> Duration {
        let planned = self.planned.last().map_or(Duration::ZERO, |&(_, end)| end);
        planned.max(self.free_at).max(self.clear_at)
    }

    pub(crate) fn insert(&mut self, interval: (Duration, Duration)) {
        let index = self.planned.partition_point(|other| *other <= interval);
        self.planned.insert(index, interval);
    }

    pub(crate) fn remove(&mut self, interval: (Duration, Duration)) {
        if let Some(index) = self.planned.iter().position(|other| *other == interval) {
            self.planned.remove(index);
        }
    }
}

/// Returns the engines that may hold long chunks, and those that the short streams and one more
/// engine's worth of them need.
pub(crate) fn usable_engines(profile: &Profile, loads: &[Load]) -> (Vec<usize>, Vec<usize>) {
    let short: u32 = loads.iter().map(|load| load.short_requests).sum();
    let slots_per_engine = (f64::from(profile.slots) * PACK_SLOT_FRACTION).max(1.0);
    let needed = (f64::from(short) / slots_per_engine).ceil() as usize + SPARE_SHORT_ENGINES;
    let mut engines: Vec<usize> = (0..loads.len()).collect();
    let is_busy = |load: &Load| load.prefill_backlog > TARGET_PREFILL_CHUNK_TIME;
    engines.sort_by_key(|&engine| {
        let load = &loads[engine];
        (is_busy(load), Reverse(load.short_requests), load.preference)
    });
    // A small fleet leaves half of its engines to long prompts.
    let reserved = needed.min(loads.len() / 2);
    let mut usable = engines.split_off(reserved);
    let is_willing = |engine: &usize| !loads[*engine].is_refusing_chunks;
    usable.retain(is_willing);
    engines.retain(is_willing);
    usable.sort_by_key(|&engine| {
        let load = &loads[engine];
        (
            load.penalty,
            load.short_requests,
            load.decoding_streams / STREAMS_PER_RANK,
            Reverse(load.preference),
        )
    });
    (usable, engines)
}
