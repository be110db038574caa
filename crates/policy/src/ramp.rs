//! Slow start of a target, once for each incarnation. The bound starts at two
//! streams and doubles at most, each time after a bound's worth of work or a
//! report of a warmer target; it never passes what the target reports warm.
//!
//! Load pattern: a target has just started, or turned cold, and every node has
//! work for it.

use hickory_unit::id;
use std::time::{Duration, Instant};

/// Streams that a cold target is given: one would tell nothing of how it
/// bears work side by side, and a cold target can take a little.
pub const COLD_STREAM_LIMIT: u32 = 2;

/// The least time between two doublings. Work that was let in by the last
/// one needs this long to show in latency and failures.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(500);

/// The least time between doublings that rest on reports alone, which lag.
const MIN_REPORT_STEP_INTERVAL: Duration = Duration::from_secs(1);

/// A fall of the reported warmth that counts as cold again, in points. Less
/// is noise of the report.
const COLD_WARMTH_DROP: u8 = 20;

/// First tokens in a row that must be late by [`LATE_FACTOR`] and
/// [`LATE_LEAST`] before the target counts as cold: one may have met a long
/// step, three have not.
const COLD_LATE_FIRST_TOKENS: u32 = 3;
const LATE_FACTOR: u32 = 4;
const MIN_LATE_TIME: Duration = Duration::from_millis(250);

/// Hit rate of the prefix cache that counts as warm, and as vanished.
const WARM_HIT_RATE: f64 = 0.2;
const EMPTY_HIT_RATE: f64 = 0.02;

/// Prompt tokens that must have passed before a hit rate says something.
const MIN_HIT_SAMPLE_TOKENS: u64 = 32_768;

/// What a load report says of a target's warmth.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// The incarnation.
    pub incarnation: id::Incarnation,
    /// From 0 (cold) to 100.
    pub warmth: u8,
    /// Prompt tokens found in the prefix cache since the start.
    pub cache_hits: u64,
    /// Prompt tokens prefilled since the start.
    pub cache_misses: u64,
}

/// Why a target ramps anew.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Hash)]
pub enum ColdCause {
    /// The process is another one.
    #[display("restarted")]
    Restarted,
    /// The reported warmth fell.
    #[display("warmth_fell")]
    WarmthFell,
    /// The prefix cache, which had served hits, serves none.
    #[display("cache_emptied")]
    CacheEmptied,
    /// First tokens take several times what they should.
    #[display("latency_leapt")]
    LatencyLeapt,
}

/// The bound on streams of one target.
#[derive(Clone, Debug)]
pub struct Ramp {
    full_limit: u32,
    ramped_limit: u32,
    last: Option<Sample>,
    hit_rate: Option<f64>,
    successes_since_step: u32,
    consecutive_late: u32,
    last_step: Option<Instant>,
}

impl Ramp {
    /// A cold target that bears `full` streams when warm.
    pub fn new(full: u32) -> Self {
        Self {
            full_limit: full,
            ramped_limit: COLD_STREAM_LIMIT.min(full),
            last: None,
            hit_rate: None,
            successes_since_step: 0,
            consecutive_late: 0,
            last_step: None,
        }
    }

    /// Streams that the target may be given now.
    pub fn stream_limit(&self) -> u32 {
        let warm = self
            .last
            .map_or(self.full_limit, |sample| limit_at_warmth(self.full_limit, sample.warmth));
        self.ramped_limit.min(warm)
    }

    /// The part of the full bound that is open, from 0 to 1.
    pub fn ramp_fraction(&self) -> f64 {
        f64::from(self.stream_limit()) / f64::from(self.full_limit.max(1))
    }

    /// Takes in a load report; says why the target ramps anew, if it does.
    ///
    /// The first report of a target that was warm before this owner came
    /// opens half of what it says at once: the other half waits for the
    /// owner's own experience.
    pub fn observe(&mut self, now: Instant, sample: Sample) -> Option<ColdCause> {
        let Some(last) = self.last.replace(sample) else {
            self.ramped_limit =
                self.ramped_limit.max(limit_at_warmth(self.full_limit, sample.warmth) / 2);
            self.last_step = Some(now);
            return None;
        };
        let cause = self.detect_cold(last, sample);
        match cause {
            Some(ColdCause::Restarted | ColdCause::WarmthFell) => {
                self.reset(now, COLD_STREAM_LIMIT)
            }
            Some(_) => self.reset(now, self.full_limit / 4),
            None => self.grow_on_report(now, sample),
        }
        cause
    }

    /// Work ended well; `first_token` is what it took and what it should
    /// have taken.
    pub fn record_success(
        &mut self,
        now: Instant,
        first_token: Option<(Duration, Duration)>,
    ) -> Option<ColdCause> {
        if let Some((took, expected)) = first_token {
            let is_late = took > (expected * LATE_FACTOR).max(MIN_LATE_TIME);
            self.consecutive_late = if is_late { self.consecutive_late + 1 } else { 0 };
        }
        if self.consecutive_late >= COLD_LATE_FIRST_TOKENS {
            self.reset(now, (self.ramped_limit / 4).max(COLD_STREAM_LIMIT));
            return Some(ColdCause::LatencyLeapt);
        }
        self.successes_since_step += 1;
        if self.successes_since_step >= self.ramped_limit && self.can_step(now, MIN_STEP_INTERVAL) {
            self.double(now);
        }
        None
    }

    /// The target failed or refused: half of the bound, and no growth before
    /// new successes.
    pub fn record_failure(&mut self, now: Instant) {
        self.reset(now, self.ramped_limit / 2);
    }

    fn detect_cold(&mut self, last: Sample, sample: Sample) -> Option<ColdCause> {
        if last.incarnation != sample.incarnation {
            self.hit_rate = None;
            return Some(ColdCause::Restarted);
        }
        if sample.warmth.saturating_add(COLD_WARMTH_DROP) <= last.warmth {
            return Some(ColdCause::WarmthFell);
        }
        self.detect_emptied_cache(last, sample).then_some(ColdCause::CacheEmptied)
    }

    fn detect_emptied_cache(&mut self, last: Sample, sample: Sample) -> bool {
        let hits = sample.cache_hits.saturating_sub(last.cache_hits);
        let tokens = hits + sample.cache_misses.saturating_sub(last.cache_misses);
        if tokens < MIN_HIT_SAMPLE_TOKENS {
            // Too few to judge: counted with the next report.
            let counted = Sample { warmth: sample.warmth, ..last };
            self.last = Some(counted);
            return false;
        }
        let rate = hits as f64 / tokens as f64;
        let before = self.hit_rate.unwrap_or(rate);
        let is_emptied = before >= WARM_HIT_RATE && rate < EMPTY_HIT_RATE;
        self.hit_rate = Some(if is_emptied { rate } else { before.mul_add(0.7, rate * 0.3) });
        is_emptied
    }

    fn grow_on_report(&mut self, now: Instant, sample: Sample) {
        let is_warmer = limit_at_warmth(self.full_limit, sample.warmth) > self.ramped_limit;
        if is_warmer && self.can_step(now, MIN_REPORT_STEP_INTERVAL) {
            self.double(now);
        }
    }

    fn can_step(&self, now: Instant, step: Duration) -> bool {
        self.last_step.is_none_or(|at| now.saturating_duration_since(at) >= step)
    }

    fn double(&mut self, now: Instant) {
        self.ramped_limit = self.ramped_limit.saturating_mul(2).min(self.full_limit);
        self.successes_since_step = 0;
        self.last_step = Some(now);
    }

    fn reset(&mut self, now: Instant, bound: u32) {
        self.ramped_limit = bound.max(1).min(self.ramped_limit).min(self.full_limit);
        self.successes_since_step = 0;
        self.consecutive_late = 0;
        self.last_step = Some(now);
    }
}

/// The part of `full` that a target of this warmth bears, at least one.
fn limit_at_warmth(full: u32, warmth: u8) -> u32 {
    let part = u64::from(full) * u64::from(warmth.min(100)) / 100;
    (part as u32).max(COLD_STREAM_LIMIT).min(full)
}
