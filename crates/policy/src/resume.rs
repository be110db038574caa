//! When a stream that broke off is to go on.
//!
//! Load pattern: many engines fail at once, and the streams that they wrote are to be
//! resumed on engines that are busy. They can't be in time any more, but are worth
//! something to their callers, who bear a pause for a while.

use std::time::{Duration, Instant};

/// The longest pause in which a stream is resumed, as a multiple of the wanted one.
/// Callers give up at eight.
const MAX_PAUSE_FACTOR: u32 = 4;

/// The part of the time left that the pause may take. The rest is for what is still to
/// be written.
const PAUSE_DIVISOR: u32 = 2;

/// When a stream that breaks off now is to go on, where its caller wants pauses no
/// longer than `gap`.
pub fn resume_deadline(now: Instant, gap: Option<Duration>, deadline: Instant) -> Instant {
    let max_pause = deadline.saturating_duration_since(now) / PAUSE_DIVISOR;
    now + gap.map_or(max_pause, |gap| max_pause.min(gap * MAX_PAUSE_FACTOR))
}
