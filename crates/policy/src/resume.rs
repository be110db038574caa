//! Decides how long an interrupted stream may wait to be resumed, and on which engine.
//!
//! Load pattern: many engines fail at once, and their streams are to be resumed on engines that are
//! busy. They can't meet their latency goals any more, but callers accept a pause of limited
//! length.

use crate::engine::Profile;
use crate::plan::{self, Choice, Load, MAX_PAUSE_FRACTION, OVERHEAD, Plan, Query, Refused};
use std::time::{Duration, Instant};

/// Longest pause before a stream is resumed, as a multiple of the longest pause that the caller
/// wants. Callers give up at eight times that pause.
const MAX_PAUSE_FACTOR: u32 = 4;

/// The pause may take at most the remaining time divided by this; the rest is for generating the
/// remaining tokens.
const PAUSE_DIVISOR: u32 = 2;

/// Prefill time of a stream that gives way, as a fraction of the time until it is due. An engine
/// resumes at least three smaller streams in the same time.
const MAX_PREFILL_FRACTION: f64 = 0.3;

/// Interval between two checks for an engine whose next iteration has room.
const ITERATION_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Returns the time by which a stream interrupted now must be resumed, where `gap` is the longest
/// pause that its caller wants.
pub fn resume_deadline(now: Instant, gap: Option<Duration>, deadline: Instant) -> Instant {
    let max_pause = deadline.saturating_duration_since(now) / PAUSE_DIVISOR;
    now + gap.map_or(max_pause, |gap| max_pause.min(gap * MAX_PAUSE_FACTOR))
}

/// An interrupted stream that is to be resumed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// Time left until its pause is the longest that its caller wants.
    pub due_left: Duration,
    /// Whether a zone has just failed, so that many streams are to be resumed at once.
    pub is_one_of_many: bool,
}

impl Stream {
    /// Returns the due time in the order of placement, for a prompt with this prefill time.
    pub fn due(&self, now: Instant, prefill_time: Duration) -> Instant {
        let due = now + self.due_left;
        if self.gives_way(prefill_time) { due + self.due_left } else { due }
    }

    /// Whether it lets smaller streams go first: an engine can resume several of them in the same
    /// time, and they can still be in time.
    fn gives_way(&self, prefill_time: Duration) -> bool {
        self.is_one_of_many
            && !self.due_left.is_zero()
            && prefill_time > self.due_left.mul_f64(MAX_PREFILL_FRACTION)
    }
}

/// Chooses the engines for an interrupted stream. A short prompt isn't packed but goes to the
/// engine with the earliest expected event, among equals to the one with the fewest requests.
///
/// All prompts that an iteration prefills get their next event at its end. A stream that would be
/// late in the next iteration of every engine therefore waits for one that prefills nothing else,
/// and doesn't delay those that can still be in time.
///
/// # Errors
///
/// No engines can serve it in the time left.
pub fn choose_engines(
    query: &Query,
    stream: Stream,
    profile: &Profile,
    loads: &[Load],
) -> Result<Choice, Refused> {
    if !query.is_short {
        return plan::choose_engines(query, profile, loads);
    }
    let prefill_time = profile.prefill_time(query.prompt_tokens);
    let decode_time =
        |load: &Load| profile.iteration_time(load.decoding_streams, load.decode_context);
    // Whether the streams there tolerate the iteration, with other prefills of this time.
    let is_tolerated = |load: &Load, other_prefills: Duration| {
        let time = other_prefills + prefill_time + decode_time(load);
        load.inter_token_target.is_none_or(|target| time <= target.mul_f64(MAX_PAUSE_FRACTION))
    };
    let is_usable = |load: &Load| {
        let has_slot = load.requests < profile.slots && load.helper_chunks < profile.slots;
        has_slot && load.penalty.is_zero() && is_tolerated(load, Duration::ZERO)
    };
    let is_open = |load: &Load| {
        let next_event = load.prefill_start_delay + prefill_time + decode_time(load) + OVERHEAD;
        let joined = load.next_iteration_prefill;
        joined.is_zero() || (next_event <= stream.due_left && is_tolerated(load, joined))
    };
    // Short prompts are packed beside short streams only.
    let spread = |load: &Load| Load {
        short_requests: 0,
        preference: u64::from(load.requests),
        ..load.clone()
    };
    let usable: Vec<usize> = (0..loads.len()).filter(|&index| is_usable(&loads[index])).collect();
    if stream.gives_way(prefill_time) && !usable.is_empty() {
        return Ok(Choice::Wait(ITERATION_POLL_INTERVAL));
    }
    let open: Vec<usize> = usable.iter().copied().filter(|&index| is_open(&loads[index])).collect();
    let candidates: Vec<Load> = open.iter().map(|&index| spread(&loads[index])).collect();
    if let Ok(Choice::Place(plan)) = plan::choose_engines(query, profile, &candidates) {
        return Ok(Choice::Place(Plan { primary: open[plan.primary], ..plan }));
    }
    if open.is_empty() && !usable.is_empty() && !query.goal_left.is_zero() {
        return Ok(Choice::Wait(ITERATION_POLL_INTERVAL));
    }
    plan::choose_engines(query, profile, &loads.iter().map(spread).collect::<Vec<Load>>())
}
