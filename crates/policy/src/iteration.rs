//! Simulation of an engine's batching iterations, to predict when it starts to prefill another
//! prompt.
//!
//! An engine with decoding streams prefills all pending prompts at the start of an iteration and
//! then decodes several steps. Prompts that arrive meanwhile are prefilled in the next iteration. A
//! model in which the backlog drains evenly would send more prompts into an iteration that is
//! already full.
//!
//! Load pattern: several short prompts within one iteration.

use crate::engine::Profile;
use hickory_unit::size::Tokens;
use std::time::{Duration, Instant};

/// An engine that should have finished a prefill, but whose first token is overdue, is assumed to
/// need at least the chunk time divided by this.
const OVERDUE_DIVISOR: u32 = 5;

/// Number of iterations after which a known iteration end is too old to simulate from: each
/// iteration is estimated with an error of a few per cent.
const MAX_SIMULATED_ITERATIONS: u32 = 8;

/// A chunk that was sent to an engine and whose first token hasn't been reported.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingPrefill {
    /// When it was sent.
    pub placed_at: Instant,
    /// Prefill time of the chunk.
    pub chunk_time: Duration,
    /// Whether the engine also decodes the answer.
    pub is_primary: bool,
    /// Maximum time from the end of the prefill until the first token is reported.
    pub notification_delay: Duration,
}

/// Known state of an engine's iterations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// Chunks to prefill.
    pub pending_prefills: Vec<PendingPrefill>,
    /// Streams that are known to be decoding.
    pub decoding_streams: u32,
    /// Context of these streams.
    pub decode_context: Tokens,
    /// Last known end of an iteration.
    pub last_iteration_end: Option<Instant>,
}

/// Work that an engine does before another prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Time until all placed chunks are prefilled.
    pub prefill_left: Duration,
    /// Time until another prompt is prefilled: the rest of the running iteration, and the prefills
    /// that come before the prompt in the next one.
    pub prefill_start_delay: Duration,
    /// Prefill time of the placed chunks in the next iteration.
    pub next_iteration_prefill: Duration,
    /// Estimated number of decoding streams in the next iteration.
    pub decoding_streams: u32,
}

impl Engine {
    /// Estimates the present backlog by simulating the iterations since the last known end of one.
    pub fn backlog(&mut self, now: Instant, profile: &Profile) -> Backlog {
        self.pending_prefills.sort_unstable();
        let Some(mut end) = self.simulation_start(now, profile) else {
            let start_delay = self.decode_time(self.decoding_streams, profile) / 2;
            return Backlog {
                prefill_start_delay: start_delay,
                decoding_streams: self.decoding_streams,
                ..Backlog::default()
            };
        };
        let mut pending = self.pending_prefills.as_slice();
        let mut streams = self.decoding_streams;
        let mut last_prefill_end = end;
        while end <= now {
            if streams == 0 {
                let Some(next) = pending.first() else { break };
                end = end.max(next.placed_at);
            }
            let (started, still_pending) =
                pending.split_at(pending.partition_point(|prefill| prefill.placed_at <= end));
            let prefill_time: Duration = started.iter().map(|prefill| prefill.chunk_time).sum();
            end += prefill_time + self.decode_time(streams, profile);
            streams += started.iter().filter(|prefill| prefill.is_primary).count() as u32;
            pending = still_pending;
            if !started.is_empty() {
                last_prefill_end = end;
            }
        }
        let pending_time: Duration = pending.iter().map(|prefill| prefill.chunk_time).sum();
        // Prompts that are prefilled together with another one are also decoded with it.
        streams += pending.iter().filter(|prefill| prefill.is_primary).count() as u32;
        let start_delay = end.saturating_duration_since(now) + pending_time;
        let prefill_left = match pending.is_empty() {
            true => last_prefill_end
                .saturating_duration_since(now)
                .max(self.overdue_prefill(now, last_prefill_end)),
            false => start_delay,
        };
        Backlog {
            prefill_left,
            prefill_start_delay: start_delay.max(prefill_left),
            next_iteration_prefill: pending_time,
            decoding_streams: streams,
        }
    }

    /// Returns the time from which to simulate iterations, or `None` if no end of an iteration and
    /// no pending prefill is known.
    fn simulation_start(&self, now: Instant, profile: &Profile) -> Option<Instant> {
        let horizon = self.decode_time(self.decoding_streams, profile) * MAX_SIMULATED_ITERATIONS;
        let last_end =
            self.last_iteration_end.filter(|&at| now.saturating_duration_since(at) < horizon);
        last_end.or(self.pending_prefills.first().map(|prefill| prefill.placed_at))
    }

    /// Returns the decode time of an iteration.
    fn decode_time(&self, streams: u32, profile: &Profile) -> Duration {
        match streams {
            0 => Duration::ZERO,
            _ => profile.iteration_time(streams, self.decode_context),
        }
    }

    /// Returns the estimated remaining prefill if the engine is slower than predicted, which shows
    /// when first tokens are overdue.
    fn overdue_prefill(&self, now: Instant, expected_end: Instant) -> Duration {
        let overdue = self
            .pending_prefills
            .iter()
            .filter(|prefill| now > expected_end + prefill.notification_delay);
        overdue.map(|prefill| prefill.chunk_time / OVERDUE_DIVISOR).sum()
    }
}
