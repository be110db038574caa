//! Decides whether a stopping node takes a request: only if it can be expected to end within the
//! rest of the grace period.
//!
//! Load pattern: nodes are restarted in turn under load, and callers send to a stopping node for
//! seconds, on open connections and to cached addresses. Most streams take a second, some nearly the
//! whole grace period. A stream that is cut off is lost, while one that is refused at once runs
//! elsewhere. Refusing all of them would fail callers that find several nodes stopping.

use crate::engine::Profile;
use hickory_unit::size::Tokens;
use std::time::{Duration, Instant};

/// The length of a period of which the largest multiple is kept.
const PERIOD: Duration = Duration::from_secs(60);

/// An answer has at most this multiple of the length that its caller expects. Estimates are right at
/// the median, and one in a thousand is too low by a factor of four.
const MAX_ANSWER_PER_ESTIMATE: u64 = 5;

/// The part of an engine's memory that is assumed to be in use while it decodes, as a divisor.
const CONTEXT_DIVISOR: u64 = 2;

/// The least multiple of its goal that an answer is expected to take. The goal of an answer is what
/// most take, and that of a stream is only a part of its time.
const MIN_ANSWER_MULTIPLE: f64 = 5.0;

/// The margin over the slowest recent request, for the scatter of requests of the same length.
const SLOWNESS_MARGIN: f64 = 1.05;

/// What is known in advance of the time of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Nominal {
    /// An answer in one piece, with its goal.
    Answer(Duration),
    /// A stream, with the time until its last event: its goal for the first event and the time to
    /// decode an answer of maximum length.
    Stream(Duration),
    /// A stream of unknown length.
    Unknown,
}

impl Nominal {
    /// Returns what is known of a stream's time at an engine.
    pub fn stream(
        goal: Duration,
        profile: &Profile,
        max_answer: Tokens,
        estimate: Option<Tokens>,
    ) -> Self {
        let estimate = estimate.map(|tokens| tokens.0.saturating_mul(MAX_ANSWER_PER_ESTIMATE));
        let tokens = estimate.map_or(max_answer.0, |tokens| tokens.min(max_answer.0));
        let context = Tokens(profile.kv_capacity.0 / CONTEXT_DIVISOR);
        let iteration_time = profile.iteration_time(profile.slots, context).as_secs_f64();
        let decode_time = iteration_time / f64::from(profile.steps_per_iteration.max(1));
        let decode_time = Duration::try_from_secs_f64(decode_time * tokens as f64);
        Self::Stream(goal.saturating_add(decode_time.unwrap_or(Duration::MAX)))
    }

    fn time(self) -> Option<Duration> {
        match self {
            Self::Answer(time) | Self::Stream(time) => Some(time),
            Self::Unknown => None,
        }
    }

    /// Returns the time within which the request can be expected to end, by the recent ones of its
    /// route. Its deadline ends it in any case, `time_left` from now, and is expected of a stream if
    /// none has been answered.
    pub fn expected_time(self, slowness: Option<f64>, time_left: Duration) -> Duration {
        let (nominal, min_multiple) = match self {
            Self::Answer(time) => (time, MIN_ANSWER_MULTIPLE),
            Self::Stream(time) if slowness.is_some() => (time, 1.0),
            Self::Stream(_) | Self::Unknown => return time_left,
        };
        let multiple = (slowness.unwrap_or_default() * SLOWNESS_MARGIN).max(min_multiple);
        let time = Duration::try_from_secs_f64(nominal.as_secs_f64() * multiple);
        time.map_or(time_left, |time| time.min(time_left))
    }
}

/// The largest time of a route's requests, as a multiple of what was known in advance, within the
/// last one to two periods.
#[derive(Clone, Copy, Debug, Default)]
pub struct Slowness {
    current: Option<Period>,
    previous: Option<Period>,
}

#[derive(Clone, Copy, Debug)]
struct Period {
    began: Instant,
    largest: f64,
}

impl Slowness {
    /// Records a request that was answered completely.
    pub fn record(&mut self, now: Instant, nominal: Nominal, duration: Duration) {
        self.expire(now);
        let Some(time) = nominal.time().filter(|time| !time.is_zero()) else { return };
        let multiple = duration.as_secs_f64() / time.as_secs_f64();
        let period = self.current.get_or_insert(Period { began: now, largest: multiple });
        period.largest = period.largest.max(multiple);
    }

    /// Returns the largest recent multiple; `None` if no request was answered.
    pub fn largest(&mut self, now: Instant) -> Option<f64> {
        self.expire(now);
        let periods = [self.current, self.previous].into_iter().flatten();
        periods.map(|period| period.largest).max_by(f64::total_cmp)
    }

    fn expire(&mut self, now: Instant) {
        let age = |period: &Period| now.saturating_duration_since(period.began);
        if self.current.is_some_and(|period| age(&period) >= PERIOD) {
            self.previous = self.current.take();
        }
        self.previous = self.previous.filter(|period| age(period) < PERIOD * 2);
    }
}
