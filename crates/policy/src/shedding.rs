//! Which asks can't be met before their deadlines. They are refused when they are
//! asked, or as soon as a slower pace or a smaller share shows it.
//!
//! Load pattern: more comes than the target bears, and each ask has a deadline.

use crate::limit::{Answer, Ask, Limiter, RETRY_LEAST, Ticket, Waiting};
use crate::refuse::Reason;
use std::time::{Duration, Instant};

/// By how much the estimate of a wait is raised before it is held against the
/// time left. Under overload the queue fills up to what is let in: without a
/// margin each ask would start at the last moment, and a small error of the
/// estimate would cut off answers that are half done.
const WAIT_SAFETY_FACTOR: f64 = 1.4;

/// Between two looks for queued asks that have become hopeless, and by how
/// much a wait must exceed the time that is left: the rates are measured over
/// seconds and are off by as much.
const SHED_INTERVAL: Duration = Duration::from_secs(1);
const SHED_FACTOR: f64 = 1.25;

impl Limiter {
    /// Refuses at once an ask that could not end before its deadline by what
    /// stands before it, or that the queue has no place for.
    pub(crate) fn refuse_late(&self, now: Instant, ask: &Ask) -> Option<Answer> {
        let long = ask.cost.is_long();
        let work_ahead = self.queue.work_ahead(&ask.partner, &ask.account, long);
        let hold = self.hold.map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let wait = hold
            + self.pace.queue_time(work_ahead + self.room.prefill_in_flight(long) as u64, long);
        let service_time = self.pace.service_time(ask.cost, ask.deadline - now);
        let lateness = (now + wait.mul_f64(WAIT_SAFETY_FACTOR) + service_time)
            .checked_duration_since(ask.deadline);
        if let Some(lateness) = lateness.filter(|lateness| !lateness.is_zero()) {
            return Some(Answer::Refused(Reason::Overloaded, lateness.max(RETRY_LEAST)));
        }
        // A partner that fills the queue may not shut the others out of it:
        // past the bound only partners below their part of it are let in.
        let own_asks = self.queue.waiting_asks_of(&ask.partner) as f64;
        let is_full = self.asks.len() >= self.queue_bound;
        let is_over_share = own_asks >= self.queue_bound as f64 * self.queue.share_of(&ask.partner);
        (is_full && (is_over_share || self.asks.len() >= 2 * self.queue_bound))
            .then(|| Answer::Refused(Reason::Overloaded, wait.max(RETRY_LEAST)))
    }

    /// Whether an ask could not end in time by the present pace, which may
    /// have slowed down since it came: what is begun then is cut off half
    /// done, and its share is spent on nothing.
    pub(crate) fn is_late(&self, now: Instant, ticket: Ticket) -> bool {
        self.asks.get(&ticket).is_some_and(|Waiting { ask, came_with, .. }| {
            now + self.pace.service_time(ask.cost, *came_with) > ask.deadline
        })
    }

    /// Refuses queued asks that have become hopeless: the target slowed down,
    /// or their partner's share was cut. Left in the queue they would make
    /// every later ask of their account look late, until nothing but them is
    /// queued and the partner's share goes to others.
    pub(crate) fn shed_late(&mut self, now: Instant) -> Vec<Ticket> {
        if self.shed.is_some_and(|at| now < at + SHED_INTERVAL) {
            return Vec::new();
        }
        self.shed = Some(now);
        let time_left = |ticket: Ticket| {
            let latest = self.asks.get(&ticket).map_or(now, |waiting| waiting.latest);
            latest.saturating_duration_since(now).mul_f64(SHED_FACTOR)
        };
        let sizes = [false, true].into_iter();
        let late: Vec<Ticket> = sizes
            .flat_map(|long| self.queue.find_late(long, self.pace.grant_rate(long), time_left))
            .collect();
        for &ticket in &late {
            self.forget(ticket);
        }
        late
    }
}
