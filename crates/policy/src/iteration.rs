//! When an engine begins to read a further prompt.
//!
//! An engine that writes reads all that is there at the beginning of a pass, and
//! then writes a stride; what comes meanwhile is read in the next pass. A backlog
//! that drains evenly would send further prompts into a pass that is already full.
//!
//! Load pattern: several short prompts within one pass.

use crate::engine::Profile;
use hickory_unit::size::Tokens;
use std::time::{Duration, Instant};

/// The least that an engine still has to read where it should be done and no
/// first token has come, as a part of what was placed.
const OVERDUE_DIVISOR: u32 = 5;

/// Strides after which a pass that was known to end tells nothing more: each is
/// estimated to a few per cent.
const MAX_SIMULATED_ITERATIONS: u32 = 8;

/// A part that an engine was sent and whose first token is not known to have come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PendingPrefill {
    /// When it was sent.
    pub placed_at: Instant,
    /// The time to read it.
    pub chunk_time: Duration,
    /// Whether the engine writes the answer, too.
    pub is_primary: bool,
    /// How long after the reading the word of the first token may take to come.
    pub notification_delay: Duration,
}

/// What is known of an engine's passes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Engine {
    /// What it has to read.
    pub pending_prefills: Vec<PendingPrefill>,
    /// Streams that it is known to write.
    pub decoding_streams: u32,
    /// Their context.
    pub decode_context: Tokens,
    /// When a pass of it was last known to end.
    pub last_iteration_end: Option<Instant>,
}

/// What an engine has to do before a further prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Backlog {
    /// Time to read what was placed and is not read.
    pub prefill_left: Duration,
    /// Time until a further prompt is read: the pass that runs, and what is
    /// read before the prompt in the next one.
    pub prefill_start_delay: Duration,
    /// What it reads in its next pass, of what was placed.
    pub next_iteration_prefill: Duration,
    /// Streams that it writes then, by this reckoning.
    pub decoding_streams: u32,
}

impl Engine {
    /// What it has to do at this moment, by following its passes from the last
    /// one that is known to have ended.
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
        // What is read with a further prompt is written with it.
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

    /// Where to follow the passes from; nothing where nothing is known.
    fn simulation_start(&self, now: Instant, profile: &Profile) -> Option<Instant> {
        let horizon = self.decode_time(self.decoding_streams, profile) * MAX_SIMULATED_ITERATIONS;
        let last_end =
            self.last_iteration_end.filter(|&at| now.saturating_duration_since(at) < horizon);
        last_end.or(self.pending_prefills.first().map(|prefill| prefill.placed_at))
    }

    /// The time that a pass takes to write.
    fn decode_time(&self, streams: u32, profile: &Profile) -> Duration {
        match streams {
            0 => Duration::ZERO,
            _ => profile.iteration_time(streams, self.decode_context),
        }
    }

    /// What is left to read where an engine is slower than it should be: the
    /// word that it has read is long due.
    fn overdue_prefill(&self, now: Instant, expected_end: Instant) -> Duration {
        let overdue = self
            .pending_prefills
            .iter()
            .filter(|prefill| now > expected_end + prefill.notification_delay);
        overdue.map(|prefill| prefill.chunk_time / OVERDUE_DIVISOR).sum()
    }
}
