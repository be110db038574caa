//! Decides whether a stopping node takes a request: only if it can be expected to end within the
//! rest of the grace period.
//!
//! Load pattern: nodes are restarted in turn under load, and callers send to a stopping node for
//! seconds, on open connections and to cached addresses. Most streams take a second, some nearly the
//! whole grace period. A stream that is cut off is lost, while one that is refused at once runs
//! elsewhere.

use std::time::{Duration, Instant};

/// The length of a period of which the longest duration is kept.
const PERIOD: Duration = Duration::from_secs(60);

/// The number of requests from which their longest duration is used.
const MIN_REQUESTS: u32 = 100;

/// The expected time is this multiple of the longest recent duration. One request in a hundred may
/// exceed the longest of the hundred before it.
const DURATION_MARGIN: f64 = 1.5;

/// The expected time of an answer of which too few are known, as a multiple of its goal.
const GOAL_MULTIPLE: u32 = 5;

/// Durations within a period.
#[derive(Clone, Copy, Debug)]
struct Period {
    began: Instant,
    requests: u32,
    longest: Duration,
}

/// The durations of a route's requests, from arrival to end, within the last one to two periods.
#[derive(Clone, Debug, Default)]
pub struct Durations {
    current: Option<Period>,
    previous: Option<Period>,
}

impl Durations {
    /// Records a request that has ended, in whatever way.
    pub fn record(&mut self, now: Instant, duration: Duration) {
        self.expire(now);
        let new = Period { began: now, requests: 0, longest: Duration::ZERO };
        let period = self.current.get_or_insert(new);
        period.requests += 1;
        period.longest = period.longest.max(duration);
    }

    /// Returns the longest recent duration; `None` if too few are known.
    pub fn longest(&mut self, now: Instant) -> Option<Duration> {
        self.expire(now);
        let periods = [self.current, self.previous].into_iter().flatten();
        let requests: u32 = periods.clone().map(|period| period.requests).sum();
        let longest = periods.map(|period| period.longest).max();
        longest.filter(|_| requests >= MIN_REQUESTS)
    }

    /// Returns whether no recent duration is known.
    pub fn is_empty(&mut self, now: Instant) -> bool {
        self.expire(now);
        self.current.is_none() && self.previous.is_none()
    }

    fn expire(&mut self, now: Instant) {
        let age = |period: &Period| now.saturating_duration_since(period.began);
        if self.current.is_some_and(|period| age(&period) >= PERIOD) {
            self.previous = self.current.take();
        }
        self.previous = self.previous.filter(|period| age(period) < PERIOD * 2);
    }
}

/// A request that arrives at a stopping node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// The time until its deadline, at which it ends in any case.
    pub time_left: Duration,
    /// The longest recent duration of its route's requests, if enough are known.
    pub longest: Option<Duration>,
    /// The time within which the whole answer is wanted; `None` for a stream, whose goal is only its
    /// first event.
    pub answer_goal: Option<Duration>,
}

impl Arrival {
    /// Returns the time within which the request can be expected to end.
    pub fn expected_time(&self) -> Duration {
        let longest = self.longest.map(|longest| longest.mul_f64(DURATION_MARGIN));
        let by_goal = self.answer_goal.map(|goal| goal * GOAL_MULTIPLE);
        longest.or(by_goal).map_or(self.time_left, |time| time.min(self.time_left))
    }

    /// Returns whether the request can be expected to end within `grace_left`.
    pub fn fits(&self, grace_left: Duration) -> bool {
        self.expected_time() <= grace_left
    }
}
