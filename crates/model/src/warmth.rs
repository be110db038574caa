//! How warm an engine is, and what it bears for that.

use crate::option::Options;
use std::time::Instant;

/// Part of the speed at which an idle engine warms.
const IDLE_WARM_UP_RATE: f64 = 0.25;

/// How warm an engine is.
#[derive(Clone, Debug)]
pub struct Warmth {
    /// From 0 to 100.
    level: f64,
    updated_at: Instant,
    /// When the engine last turned cold without saying so.
    turned_cold_at: Option<Instant>,
}

impl Warmth {
    /// As warm as the options say.
    pub fn new(now: Instant, options: &Options) -> Self {
        Self { level: f64::from(options.warmth.min(100)), updated_at: now, turned_cold_at: None }
    }

    /// Lets the time up to `now` pass, under work or idle.
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

    /// Turns cold without a word.
    pub fn turn_cold(&mut self, now: Instant) {
        self.level = 0.0;
        self.turned_cold_at = Some(now);
    }

    /// From 0 (cold) to 100.
    pub fn level(&self) -> u8 {
        self.level as u8
    }

    /// The part of its speed that the engine has.
    pub fn speed(&self, options: &Options) -> f64 {
        options.cold_speed_fraction + (1.0 - options.cold_speed_fraction) * self.level / 100.0
    }

    /// Streams, running and waiting, that the engine bears.
    pub fn stream_capacity(&self, options: &Options) -> u32 {
        let fraction = options.cold_streams_fraction
            + (1.0 - options.cold_streams_fraction) * self.level / 100.0;
        ((f64::from(options.max_streams) * fraction).ceil() as u32).max(1)
    }

    /// Whether `streams` are more than the engine bears. A warm engine
    /// queues what it can't run and bears any number.
    pub fn is_overloaded(&self, streams: u32, options: &Options) -> bool {
        self.level < 100.0 && streams > self.stream_capacity(options)
    }

    /// Whether a silent return to cold is so recent that no caller can know
    /// of it.
    pub fn is_within_detection_time(&self, now: Instant, options: &Options) -> bool {
        self.turned_cold_at.is_some_and(|at| now < at + options.cold_detection_time)
    }
}
