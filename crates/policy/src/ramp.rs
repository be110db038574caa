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
const STEP: Duration = Duration::from_millis(500);

/// The least time between doublings that rest on reports alone, which lag.
const REPORT_STEP: Duration = Duration::from_secs(1);

/// A fall of the reported warmth that counts as cold again, in points. Less
/// is noise of the report.
const WARMTH_FALL: u8 = 20;

/// First tokens in a row that must be late by [`LATE_FACTOR`] and
/// [`LATE_LEAST`] before the target counts as cold: one may have met a long
/// step, three have not.
const LATE_IN_A_ROW: u32 = 3;
const LATE_FACTOR: u32 = 4;
const LATE_LEAST: Duration = Duration::from_millis(250);

/// Hit rate of the prefix cache that counts as warm, and as vanished.
const HITS_WARM: f64 = 0.2;
const HITS_GONE: f64 = 0.02;

/// Prompt tokens that must have passed before a hit rate says something.
const HITS_SAMPLE: u64 = 32_768;

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
    full: u32,
    grown: u32,
    last: Option<Sample>,
    hit_rate: Option<f64>,
    successes: u32,
    late: u32,
    stepped: Option<Instant>,
}

impl Ramp {
    /// A cold target that bears `full` streams when warm.
    pub fn new(full: u32) -> Self {
        Self {
            full,
            grown: COLD_STREAM_LIMIT.min(full),
            last: None,
            hit_rate: None,
            successes: 0,
            late: 0,
            stepped: None,
        }
    }

    /// Streams that the target may be given now.
    pub fn stream_limit(&self) -> u32 {
        let warm = self.last.map_or(self.full, |sample| warm_part(self.full, sample.warmth));
        self.grown.min(warm)
    }

    /// The part of the full bound that is open, from 0 to 1.
    pub fn ramp_fraction(&self) -> f64 {
        f64::from(self.stream_limit()) / f64::from(self.full.max(1))
    }

    /// Takes in a load report; says why the target ramps anew, if it does.
    ///
    /// The first report of a target that was warm before this owner came
    /// opens half of what it says at once: the other half waits for the
    /// owner's own experience.
    pub fn observe(&mut self, now: Instant, sample: Sample) -> Option<ColdCause> {
        let Some(last) = self.last.replace(sample) else {
            self.grown = self.grown.max(warm_part(self.full, sample.warmth) / 2);
            self.stepped = Some(now);
            return None;
        };
        let cold = self.find_cold(last, sample);
        match cold {
            Some(ColdCause::Restarted | ColdCause::WarmthFell) => {
                self.restart(now, COLD_STREAM_LIMIT)
            }
            Some(_) => self.restart(now, self.full / 4),
            None => self.grow_on_report(now, sample),
        }
        cold
    }

    /// Work ended well; `first_token` is what it took and what it should
    /// have taken.
    pub fn record_success(
        &mut self,
        now: Instant,
        first_token: Option<(Duration, Duration)>,
    ) -> Option<ColdCause> {
        if let Some((took, expected)) = first_token {
            let late = took > (expected * LATE_FACTOR).max(LATE_LEAST);
            self.late = if late { self.late + 1 } else { 0 };
        }
        if self.late >= LATE_IN_A_ROW {
            self.restart(now, (self.grown / 4).max(COLD_STREAM_LIMIT));
            return Some(ColdCause::LatencyLeapt);
        }
        self.successes += 1;
        if self.successes >= self.grown && self.may_step(now, STEP) {
            self.double(now);
        }
        None
    }

    /// The target failed or refused: half of the bound, and no growth before
    /// new successes.
    pub fn record_failure(&mut self, now: Instant) {
        self.restart(now, self.grown / 2);
    }

    fn find_cold(&mut self, last: Sample, sample: Sample) -> Option<ColdCause> {
        if last.incarnation != sample.incarnation {
            self.hit_rate = None;
            return Some(ColdCause::Restarted);
        }
        if sample.warmth.saturating_add(WARMTH_FALL) <= last.warmth {
            return Some(ColdCause::WarmthFell);
        }
        self.cache_emptied(last, sample).then_some(ColdCause::CacheEmptied)
    }

    fn cache_emptied(&mut self, last: Sample, sample: Sample) -> bool {
        let hits = sample.cache_hits.saturating_sub(last.cache_hits);
        let tokens = hits + sample.cache_misses.saturating_sub(last.cache_misses);
        if tokens < HITS_SAMPLE {
            // Too few to judge: counted with the next report.
            let counted = Sample { warmth: sample.warmth, ..last };
            self.last = Some(counted);
            return false;
        }
        let rate = hits as f64 / tokens as f64;
        let before = self.hit_rate.unwrap_or(rate);
        let emptied = before >= HITS_WARM && rate < HITS_GONE;
        self.hit_rate = Some(if emptied { rate } else { before.mul_add(0.7, rate * 0.3) });
        emptied
    }

    fn grow_on_report(&mut self, now: Instant, sample: Sample) {
        let warmer = warm_part(self.full, sample.warmth) > self.grown;
        if warmer && self.may_step(now, REPORT_STEP) {
            self.double(now);
        }
    }

    fn may_step(&self, now: Instant, step: Duration) -> bool {
        self.stepped.is_none_or(|at| now.saturating_duration_since(at) >= step)
    }

    fn double(&mut self, now: Instant) {
        self.grown = self.grown.saturating_mul(2).min(self.full);
        self.successes = 0;
        self.stepped = Some(now);
    }

    fn restart(&mut self, now: Instant, bound: u32) {
        self.grown = bound.max(1).min(self.grown).min(self.full);
        self.successes = 0;
        self.late = 0;
        self.stepped = Some(now);
    }
}

/// The part of `full` that a target of this warmth bears, at least one.
fn warm_part(full: u32, warmth: u8) -> u32 {
    let part = u64::from(full) * u64::from(warmth.min(100)) / 100;
    (part as u32).max(COLD_STREAM_LIMIT).min(full)
}
