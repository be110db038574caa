//! Which asks can't be met before their deadlines. They are refused when they are
//! asked, or as soon as a slower pace or a smaller share shows it.
//!
//! Load pattern: more comes than the target bears, and each ask has a deadline.

use crate::limit::{Answer, Limiter, MIN_RETRY_AFTER, PermitRequest, Ticket, Waiting};
use crate::refuse::Reason;
use std::time::{Duration, Instant};

/// By how much the estimate of a wait is raised before it is held against the
/// time left. Under overload the queue fills up to what is let in: without a
/// margin each ask would start at the last moment, and a small error of the
/// estimate would cut off answers that are half done.
const WAIT_MARGIN: f64 = 1.4;

/// Between two looks for queued asks that have become hopeless, and by how
/// much a wait must exceed the time that is left: the rates are measured over
/// seconds and are off by as much.
const SHED_INTERVAL: Duration = Duration::from_secs(1);
const SHED_FACTOR: f64 = 1.25;

impl Limiter {
    /// Refuses at once an ask that could not end before its deadline by what
    /// stands before it, or that the queue has no place for.
    pub(crate) fn refuse_late(&self, now: Instant, ask: &PermitRequest) -> Option<Answer> {
        let long = ask.cost.is_long();
        let ahead = self.queue.work_ahead(&ask.partner, &ask.account, long);
        let hold = self
            .grants_held_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let wait = hold + self.pace.time_for(ahead + self.room.in_flight(long) as u64, long);
        let time = self.pace.time_of(ask.cost, ask.deadline - now);
        let late = (now + wait.mul_f64(WAIT_MARGIN) + time).checked_duration_since(ask.deadline);
        if let Some(late) = late.filter(|late| !late.is_zero()) {
            return Some(Answer::Refused(Reason::Overloaded, late.max(MIN_RETRY_AFTER)));
        }
        // A partner that fills the queue may not shut the others out of it:
        // past the bound only partners below their part of it are let in.
        let own = self.queue.waiting_of(&ask.partner) as f64;
        let full = self.waiting.len() >= self.max_queue_length;
        let over = own >= self.max_queue_length as f64 * self.queue.part_of(&ask.partner);
        (full && (over || self.waiting.len() >= 2 * self.max_queue_length))
            .then(|| Answer::Refused(Reason::Overloaded, wait.max(MIN_RETRY_AFTER)))
    }

    /// Whether an ask could not end in time by the present pace, which may
    /// have slowed down since it came: what is begun then is cut off half
    /// done, and its share is spent on nothing.
    pub(crate) fn is_late(&self, now: Instant, ticket: Ticket) -> bool {
        self.waiting.get(&ticket).is_some_and(
            |Waiting { request: ask, initial_time_left: came_with, .. }| {
                now + self.pace.time_of(ask.cost, *came_with) > ask.deadline
            },
        )
    }

    /// Refuses queued asks that have become hopeless: the target slowed down,
    /// or their partner's share was cut. Left in the queue they would make
    /// every later ask of their account look late, until nothing but them is
    /// queued and the partner's share goes to others.
    pub(crate) fn shed(&mut self, now: Instant) -> Vec<Ticket> {
        if self.last_shed.is_some_and(|at| now < at + SHED_INTERVAL) {
            return Vec::new();
        }
        self.last_shed = Some(now);
        let left = |ticket: Ticket| {
            let latest = self.waiting.get(&ticket).map_or(now, |waiting| waiting.latest_start);
            latest.saturating_duration_since(now).mul_f64(SHED_FACTOR)
        };
        let sizes = [false, true].into_iter();
        let named: Vec<Ticket> =
            sizes.flat_map(|long| self.queue.hopeless(long, self.pace.rate(long), left)).collect();
        for &ticket in &named {
            self.dequeue(ticket);
        }
        named
    }
}
