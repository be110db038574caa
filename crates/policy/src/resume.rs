//! Decides how long an interrupted stream may wait to be resumed.
//!
//! Load pattern: many engines fail at once, and their streams are to be resumed on engines that are
//! busy. They can't meet their latency goals any more, but callers accept a pause of limited
//! length.

use std::time::{Duration, Instant};

/// Longest pause before a stream is resumed, as a multiple of the longest pause that the caller
/// wants. Callers give up at eight times that pause.
const MAX_PAUSE_FACTOR: u32 = 4;

/// The pause may take at most the remaining time divided by this; the rest is for generating the
/// remaining tokens.
const PAUSE_DIVISOR: u32 = 2;

/// Returns the time by which a stream interrupted now must be resumed, where `gap` is the longest
/// pause that its caller wants.
pub fn resume_deadline(now: Instant, gap: Option<Duration>, deadline: Instant) -> Instant {
    let max_pause = deadline.saturating_duration_since(now) / PAUSE_DIVISOR;
    now + gap.map_or(max_pause, |gap| max_pause.min(gap * MAX_PAUSE_FACTOR))
}
