//! How warm an engine is, and what it bears for that.

use crate::option::Options;
use std::time::Instant;

/// Part of the speed at which an idle engine warms.
const IDLE_PART: f64 = 0.25;

/// How warm an engine is.
#[derive(Clone, Debug)]
pub struct Warmth {
    /// From 0 to 100.
    level: f64,
    at: Instant,
    /// When the engine last turned cold without saying so.
    turned_cold: Option<Instant>,
}

impl Warmth {
    /// As warm as the options say.
    pub fn open(now: Instant, options: &Options) -> Self {
        Self { level: f64::from(options.warmth.min(100)), at: now, turned_cold: None }
    }

    /// Lets the time up to `now` pass, under work or idle.
    pub fn pass(&mut self, now: Instant, busy: bool, options: &Options) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        let part = if busy { 1.0 } else { IDLE_PART };
        let whole = options.scale(options.warm_up_time).as_secs_f64();
        if whole > 0.0 {
            self.level = (self.level + 100.0 * part * passed / whole).min(100.0);
        } else {
            self.level = 100.0;
        }
        self.at = self.at.max(now);
    }

    /// Turns cold without a word.
    pub fn turn_cold(&mut self, now: Instant) {
        self.level = 0.0;
        self.turned_cold = Some(now);
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
    pub fn streams(&self, options: &Options) -> u32 {
        let part = options.cold_streams_fraction
            + (1.0 - options.cold_streams_fraction) * self.level / 100.0;
        ((f64::from(options.max_streams) * part).ceil() as u32).max(1)
    }

    /// Whether `streams` are more than the engine bears. A warm engine
    /// queues what it can't run and bears any number.
    pub fn is_over(&self, streams: u32, options: &Options) -> bool {
        self.level < 100.0 && streams > self.streams(options)
    }

    /// Whether a silent return to cold is so recent that no caller can know
    /// of it.
    pub fn is_unnoticed(&self, now: Instant, options: &Options) -> bool {
        self.turned_cold.is_some_and(|at| now < at + options.cold_detection_time)
    }
}
