//! The warm-up of an engine, which limits its speed and capacity after a start.

use crate::option::Options;
use std::time::Instant;

/// Warm-up rate of an idle engine, relative to a busy one.
const IDLE_WARM_UP_RATE: f64 = 0.25;

/// The warmth of an engine.
#[derive(Clone, Debug)]
pub struct Warmth {
    /// From 0 to 100.
    level: f64,
    updated_at: Instant,
    /// When the engine last turned cold without reporting it.
    turned_cold_at: Option<Instant>,
}

impl Warmth {
    /// Returns the initial warmth given by the options.
    pub fn new(now: Instant, options: &Options) -> Self {
        Self { level: f64::from(options.warmth.min(100)), updated_at: now, turned_cold_at: None }
    }

    /// Advances the time to `now`, with the engine busy or idle since the last
    /// call.
    pub fn advance(&mut self, now: Instant, busy: bool, options: &Options) {
        let elapsed_seconds = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let rate = if busy { 1.0 } else { IDLE_WARM_UP_RATE };
        let warm_up_seconds = options.scale(options.warm_up_time).as_secs_f64();
        if warm_up_seconds > 0.0 {
            self.level = (self.level + 100.0 * rate * elapsed_seconds / warm_up_seconds).min(100.0);
        } else {
            self.level = 100.0;
        }
        self.updated_at = self.updated_at.max(now);
    }

    /// Resets the warmth to cold without reporting it.
    pub fn turn_cold(&mut self, now: Instant) {
        self.level = 0.0;
        self.turned_cold_at = Some(now);
    }

    /// Returns the warmth from 0 (cold) to 100 (warm).
    pub fn level(&self) -> u8 {
        self.level as u8
    }

    /// Returns the speed as a fraction of that of a warm engine.
    pub fn speed(&self, options: &Options) -> f64 {
        options.cold_speed_fraction + (1.0 - options.cold_speed_fraction) * self.level / 100.0
    }

    /// Returns how many running and waiting streams the engine can handle.
    pub fn stream_capacity(&self, options: &Options) -> u32 {
        let fraction = options.cold_streams_fraction
            + (1.0 - options.cold_streams_fraction) * self.level / 100.0;
        ((f64::from(options.max_streams) * fraction).ceil() as u32).max(1)
    }

    /// Returns whether `streams` exceed the capacity. A warm engine queues what it
    /// can't run, so it is never overloaded.
    pub fn is_overloaded(&self, streams: u32, options: &Options) -> bool {
        self.level < 100.0 && streams > self.stream_capacity(options)
    }

    /// Returns whether the engine turned cold so recently that no caller can have
    /// detected it.
    pub fn is_within_detection_time(&self, now: Instant, options: &Options) -> bool {
        self.turned_cold_at.is_some_and(|at| now < at + options.cold_detection_time)
    }
}
