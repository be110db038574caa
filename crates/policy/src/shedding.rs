//! Load shedding: refuses permit requests that can't meet their deadlines, on arrival or as soon as
//! a lower throughput or a smaller share makes them late.
//!
//! Load pattern: more requests arrive than the target can serve, and each has a deadline.

use crate::limit::{Answer, Limiter, MIN_RETRY_AFTER, PermitRequest, Ticket, Waiting};
use crate::refuse::Reason;
use std::time::{Duration, Instant};

/// Factor on the estimated wait before it is compared with the remaining time. Under overload the
/// queue fills up to what is admitted. Without a margin each request would start at the last
/// moment, and a small estimation error would cut off half-finished answers.
const WAIT_SAFETY_FACTOR: f64 = 1.4;

/// Interval between two checks for queued requests that will be late, and the factor by which a
/// wait must exceed the remaining time: rates are measured over seconds and are off by as much.
const SHED_INTERVAL: Duration = Duration::from_secs(1);
const SHED_FACTOR: f64 = 1.25;

impl Limiter {
    /// Refuses a request on arrival that could not end before its deadline behind the work ahead of
    /// it, or for which the queue has no room.
    pub(crate) fn refuse_late(&self, now: Instant, request: &PermitRequest) -> Option<Answer> {
        let is_long = request.cost.is_long();
        let work_ahead = self.queue.work_ahead(&request.partner, &request.account, is_long);
        let hold = self
            .grants_held_until
            .map_or(Duration::ZERO, |until| until.saturating_duration_since(now));
        let wait = hold
            + self
                .throughput
                .queue_time(work_ahead + self.room.prefill_in_flight(is_long) as u64, is_long);
        let service_time = self.throughput.service_time(request.cost, request.deadline - now);
        let lateness = (now + wait.mul_f64(WAIT_SAFETY_FACTOR) + service_time)
            .checked_duration_since(request.deadline);
        if let Some(lateness) = lateness.filter(|lateness| !lateness.is_zero()) {
            return Some(Answer::Refused(Reason::Overloaded, lateness.max(MIN_RETRY_AFTER)));
        }
        // A partner that fills the queue must not exclude the others. Beyond the maximum length,
        // only partners that use less than their share of the queue are admitted.
        let own_requests = self.queue.waiting_requests_of(&request.partner) as f64;
        let is_full = self.waiting.len() >= self.max_queue_length;
        let is_over_share =
            own_requests >= self.max_queue_length as f64 * self.queue.share_of(&request.partner);
        (is_full && (is_over_share || self.waiting.len() >= 2 * self.max_queue_length))
            .then(|| Answer::Refused(Reason::Overloaded, wait.max(MIN_RETRY_AFTER)))
    }

    /// Whether a request could not end in time at the current throughput, which may have dropped
    /// since it arrived. If started, it would be cut off half-finished and its share would be
    /// wasted.
    pub(crate) fn is_late(&self, now: Instant, ticket: Ticket) -> bool {
        self.waiting.get(&ticket).is_some_and(|Waiting { request, initial_time_left, .. }| {
            now + self.throughput.service_time(request.cost, *initial_time_left) > request.deadline
        })
    }

    /// Refuses queued requests that have become too late because the target slowed down or the
    /// share of their partner was cut. If they stayed, every later request of their account would
    /// look late, until only they are queued and the partner's share goes to others.
    pub(crate) fn shed_late(&mut self, now: Instant) -> Vec<Ticket> {
        if self.last_shed.is_some_and(|at| now < at + SHED_INTERVAL) {
            return Vec::new();
        }
        self.last_shed = Some(now);
        let time_left = |ticket: Ticket| {
            let latest = self.waiting.get(&ticket).map_or(now, |waiting| waiting.latest_start);
            latest.saturating_duration_since(now).mul_f64(SHED_FACTOR)
        };
        let sizes = [false, true].into_iter();
        let late: Vec<Ticket> = sizes
            .flat_map(|is_long| {
                self.queue.find_late(is_long, self.throughput.grant_rate(is_long), time_left)
            })
            .collect();
        for &ticket in &late {
            self.dequeue(ticket);
        }
        late
    }
}
