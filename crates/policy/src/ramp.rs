//! Slow start of a target, once per incarnation. The limit starts at two streams and at most
//! doubles per step, after as many completed requests as the limit allows streams or after a report
//! of a warmer target. It never exceeds what the reported warmth allows.
//!
//! Load pattern: a target has just started or lost its caches, and every node has work for it.

use hickory_unit::id;
use std::time::{Duration, Instant};

/// Streams allowed on a cold target. A single stream would not show how the target performs with
/// concurrent work, and a cold target can handle a few.
pub const COLD_STREAM_LIMIT: u32 = 2;

/// Minimum interval between doublings, so that the work admitted by the last one shows in latency
/// and failures.
const MIN_STEP_INTERVAL: Duration = Duration::from_millis(500);

/// Minimum interval between doublings that are based on reports alone, which are delayed.
const MIN_REPORT_STEP_INTERVAL: Duration = Duration::from_secs(1);

/// A drop of the reported warmth by this many points means that the target is cold again. Smaller
/// drops are noise.
const COLD_WARMTH_DROP: u8 = 20;

/// Number of consecutive late first tokens after which a target counts as cold; a token is late if
/// it takes more than [`LATE_FACTOR`] times the expected time and more than [`MIN_LATE_TIME`]. One
/// late token can be caused by a long step, three in a row can't.
const COLD_LATE_FIRST_TOKENS: u32 = 3;
const LATE_FACTOR: u32 = 4;
const MIN_LATE_TIME: Duration = Duration::from_millis(250);

/// Prefix cache hit rates above which the cache counts as warm and below which it counts as empty.
const WARM_HIT_RATE: f64 = 0.2;
const EMPTY_HIT_RATE: f64 = 0.02;

/// Minimum number of prompt tokens for a meaningful hit rate.
const MIN_HIT_SAMPLE_TOKENS: u64 = 32_768;

/// Warmth of a target in a load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sample {
    /// Incarnation of the target.
    pub incarnation: id::Incarnation,
    /// Warmth from 0 (cold) to 100.
    pub warmth: u8,
    /// Prompt tokens found in the prefix cache since the start.
    pub cache_hits: u64,
    /// Prompt tokens prefilled since the start.
    pub cache_misses: u64,
}

/// Why a target restarts its slow start.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, Hash)]
pub enum ColdCause {
    /// The target's process was replaced.
    #[display("restarted")]
    Restarted,
    /// The reported warmth dropped.
    #[display("warmth_fell")]
    WarmthFell,
    /// The prefix cache had hits before and has none now.
    #[display("cache_emptied")]
    CacheEmptied,
    /// First tokens take several times the expected time.
    #[display("latency_leapt")]
    LatencyLeapt,
}

/// Slow start limit of one target.
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
    /// Creates the ramp of a cold target that can run `full` streams when warm.
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

    /// Returns the current maximum number of streams.
    pub fn stream_limit(&self) -> u32 {
        let warm = self
            .last
            .map_or(self.full_limit, |sample| limit_at_warmth(self.full_limit, sample.warmth));
        self.ramped_limit.min(warm)
    }

    /// Returns the current limit as a fraction of the full one, from 0 to 1.
    pub fn ramp_fraction(&self) -> f64 {
        f64::from(self.stream_limit()) / f64::from(self.full_limit.max(1))
    }

    /// Processes a load report. Returns the cause if the slow start begins again.
    ///
    /// The first report of a target that was warm before this owner took over allows half of the
    /// streams that it implies; the other half waits for the owner's own measurements.
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

    /// Records completed work; `first_token` holds the measured and the expected time to first
    /// token. Returns the cause if the slow start begins again.
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

    /// Records a failure or refusal, which halves the limit and stops its growth until new
    /// successes.
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
            // Too few tokens: they are counted with the next report.
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

    fn reset(&mut self, now: Instant, limit: u32) {
        self.ramped_limit = limit.max(1).min(self.ramped_limit).min(self.full_limit);
        self.successes_since_step = 0;
        self.consecutive_late = 0;
        self.last_step = Some(now);
    }
}

/// Returns the streams that a target of this warmth can run, at least [`COLD_STREAM_LIMIT`].
fn limit_at_warmth(full: u32, warmth: u8) -> u32 {
    let streams = u64::from(full) * u64::from(warmth.min(100)) / 100;
    (streams as u32).max(COLD_STREAM_LIMIT).min(full)
}
