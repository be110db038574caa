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
/// the median, and some are too low by several times.
const MAX_ANSWER_PER_ESTIMATE: u64 = 5;

/// The least time that a stream is expected to take. A pause of its engine would prolong a shorter
/// one by several times, which says nothing of longer ones.
const MIN_STREAM_TIME: Duration = Duration::from_secs(1);

/// The part of an engine's memory that is assumed to be in use while it decodes, as a divisor.
const CONTEXT_DIVISOR: u64 = 2;

/// The least multiple of its goal that an answer is expected to take. The goal of an answer is what
/// most take, and that of a stream is only a part of its time.
const MIN_ANSWER_MULTIPLE: f64 = 5.0;

/// The margin over the slowest recent request, for the scatter of requests of the same length.
const SLOWNESS_MARGIN: f64 = 1.05;

/// The longest silence of a target within a stream, for which callers wait.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// The part of a stop, as a divisor, after which a stream must fit even if its target falls silent.
/// By then most callers know of the stop. Earlier ones would often be refused in vain, as few targets
/// fall silent.
const SILENCE_MARGIN_DIVISOR: u32 = 3;

/// The progress of a stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stop {
    /// The time since its start.
    pub elapsed: Duration,
    /// The time for which requests may go on.
    pub left: Duration,
}

impl Stop {
    /// Returns whether a request can be expected to end in time, by the recent ones of its route. Its
    /// deadline ends it in any case, `time_left` from now.
    pub fn fits(self, nominal: Nominal, slowness: Option<f64>, time_left: Duration) -> bool {
        let expected = nominal.expected_time(slowness, time_left);
        let is_late = self.elapsed >= (self.elapsed + self.left) / SILENCE_MARGIN_DIVISOR;
        let silence = match nominal {
            Nominal::Stream { .. } | Nominal::Unknown if is_late => MAX_SILENCE,
            _ => Duration::ZERO,
        };
        expected.saturating_add(silence).min(time_left) < self.left
    }
}

/// What is known in advance of the time of a request; what takes longer is greater.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Nominal {
    /// An answer in one piece, with its goal.
    Answer(Duration),
    /// A stream.
    Stream {
        /// The time until its last event, by what its caller expects.
        expected: Duration,
        /// The same if the answer has its maximum length.
        max: Duration,
    },
    /// A stream of unknown length.
    Unknown,
}

/// The lengths of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The maximum length of the answer.
    pub max: Tokens,
    /// The length of the answer that the caller expects.
    pub estimate: Option<Tokens>,
}

impl Nominal {
    /// Returns what is known of a stream's time at an engine: its goal for the first event, or the
    /// time of its prefill if that is longer, and the time to decode the answer. An estimate below
    /// the mean length counts as the mean length.
    pub fn stream(goal: Duration, profile: &Profile, answer: Answer) -> Self {
        let estimate = answer.estimate.filter(|tokens| tokens.0 > 0);
        let estimate = estimate.map(|tokens| tokens.0.saturating_mul(MAX_ANSWER_PER_ESTIMATE));
        let expected = estimate.map_or(answer.max.0, |tokens| tokens.max(profile.mean_answer.0));
        let context = Tokens(profile.kv_capacity.0 / CONTEXT_DIVISOR);
        let iteration_time = profile.iteration_time(profile.slots, context).as_secs_f64();
        let token_time = iteration_time / f64::from(profile.steps_per_iteration.max(1));
        let first_event_time = goal.max(profile.prefill_time(answer.prompt));
        let time = |tokens: u64| {
            let decode_time = Duration::try_from_secs_f64(token_time * tokens as f64);
            let time = first_event_time.saturating_add(decode_time.unwrap_or(Duration::MAX));
            time.max(MIN_STREAM_TIME)
        };
        Self::Stream { expected: time(expected.min(answer.max.0)), max: time(answer.max.0) }
    }

    /// Returns the duration of such a request as a multiple of what was known; `None` if nothing
    /// was. A caller's estimate that was too low doesn't count.
    fn multiple(self, duration: Duration) -> Option<f64> {
        let time = match self {
            Self::Answer(goal) => goal,
            Self::Stream { expected, .. } if duration <= expected => expected,
            Self::Stream { max, .. } => max,
            Self::Unknown => return None,
        };
        (!time.is_zero()).then(|| duration.as_secs_f64() / time.as_secs_f64())
    }

    /// Returns the time within which the request can be expected to end, by the recent ones of its
    /// route. Its deadline ends it in any case, `time_left` from now, and is expected of a stream if
    /// none has been answered.
    pub fn expected_time(self, slowness: Option<f64>, time_left: Duration) -> Duration {
        let (nominal, min_multiple) = match self {
            Self::Answer(time) => (time, MIN_ANSWER_MULTIPLE),
            Self::Stream { expected, .. } if slowness.is_some() => (expected, 1.0),
            Self::Stream { .. } | Self::Unknown => return time_left,
        };
        let multiple = slowness.unwrap_or_default().max(min_multiple);
        let time = Duration::try_from_secs_f64(nominal.as_secs_f64() * multiple);
        time.map_or(time_left, |time| time.min(time_left))
    }
}

/// The slowest of a route's requests, as a multiple of what was known in advance, within the last one
/// to two periods.
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
        let Some(multiple) = nominal.multiple(duration) else { return };
        let period = self.current.get_or_insert(Period { began: now, largest: multiple });
        period.largest = period.largest.max(multiple);
    }

    /// Returns the multiple that further requests may reach; `None` if no request was answered.
    pub fn multiple(&mut self, now: Instant) -> Option<f64> {
        self.expire(now);
        let periods = [self.current, self.previous].into_iter().flatten();
        let largest = periods.map(|period| period.largest).max_by(f64::total_cmp);
        largest.map(|largest| largest * SLOWNESS_MARGIN)
    }

    fn expire(&mut self, now: Instant) {
        let age = |period: &Period| now.saturating_duration_since(period.began);
        if self.current.is_some_and(|period| age(&period) >= PERIOD) {
            self.previous = self.current.take();
        }
        self.previous = self.previous.filter(|period| age(period) < PERIOD * 2);
    }
}
