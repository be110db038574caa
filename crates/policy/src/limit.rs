//! Admission control of one target, run by its owner: decides which requests are granted, queued or
//! refused. [`crate::room`] checks free capacity under the limit of [`crate::ramp`],
//! [`crate::fair`] defines the order, and `crate::grant` combines them.
//!
//! Load pattern: all nodes request permits for the same target at the same time, with short and
//! long work mixed, while the target warms up, changes owner or leaves.

use crate::fair::Queue;
pub use crate::permit::{Answer, Capacity, Observed, Outcome, PermitRequest, Ticket, priority_of};
use crate::ramp::{ColdCause, Ramp};
use crate::refuse::Reason;
use crate::room::{Bound, Claim, Room};
use crate::throughput::Throughput;
use hickory_unit::{id, size};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// Validity of a permit, counted by the requester from the moment it sent the request. A new owner
/// waits this long before its first grant, so that unknown permits of the former owner have
/// expired.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(2);

/// Time after the deadline for which a permit keeps its capacity. The sender cancels at the
/// deadline, and a cancel that arrives at all does so within this time. Without this limit, an
/// owner that never receives the outcome would lose the capacity forever.
pub const CANCEL_GRACE: Duration = Duration::from_secs(2);

/// Maximum number of queued requests. Even with the shortest requests, about 10 ms of an engine's
/// time each, more could not start within the longest usual deadline.
pub const MAX_QUEUE_LENGTH: usize = 4_096;

/// Time for which capacity is held for an urgent long request that was refused or whose permit was
/// returned unused. Such a request is for one chunk of a prompt that needs several engines at the
/// same time and can't queue at any of them. Without held capacity, short work would take each slot
/// as it becomes free and the prompt would never start. Its node retries within a second.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(3);

/// Minimum retry delay sent with a refusal.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: PermitRequest,
    /// Time left until the deadline when the request arrived.
    pub(crate) initial_time_left: Duration,
    /// Latest start that still meets the deadline, by the throughput at arrival.
    pub(crate) latest_start: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) request: PermitRequest,
    pub(crate) at: Instant,
    /// Predicted time to first token.
    pub(crate) expected: Duration,
}

/// Permits and queue of one target.
#[derive(Debug)]
pub struct Limiter {
    capacity: Capacity,
    ramp: Ramp,
    pub(crate) room: Room,
    pub(crate) throughput: Throughput,
    pub(crate) queue: Queue,
    pub(crate) waiting: HashMap<Ticket, Waiting>,
    pub(crate) exclusive_queue: VecDeque<(Ticket, Instant)>,
    pub(crate) granted: HashMap<Ticket, Grant>,
    pub(crate) expiry: BTreeSet<(Instant, Ticket)>,
    latest_starts: BTreeSet<(Instant, Ticket)>,
    last_advanced: Option<Instant>,
    pub(crate) grants_held_until: Option<Instant>,
    /// Capacity held for urgent long requests, and the end of the hold.
    pub(crate) held_claim: Option<(Claim, Instant)>,
    is_lease_confirmed: bool,
    pub(crate) is_accepting: bool,
    /// Whether work failed on the target and no load report has arrived since.
    pub(crate) may_be_dead: bool,
    pub(crate) max_queue_length: usize,
    pub(crate) last_shed: Option<Instant>,
    next_ticket: Ticket,
}

impl Limiter {
    /// Creates the limiter of a cold target without permits.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            ramp: Ramp::new(capacity.streams),
            throughput: Throughput::open(capacity.prefill_rate, capacity.streams),
            capacity,
            room: Room::default(),
            queue: Queue::open(),
            waiting: HashMap::new(),
            exclusive_queue: VecDeque::new(),
            granted: HashMap::new(),
            expiry: BTreeSet::new(),
            latest_starts: BTreeSet::new(),
            last_advanced: None,
            grants_held_until: None,
            held_claim: None,
            is_lease_confirmed: true,
            is_accepting: true,
            may_be_dead: false,
            max_queue_length: MAX_QUEUE_LENGTH,
            last_shed: None,
            next_ticket: 1,
        }
    }

    /// Like `new`, for an owner that takes over the target: it grants nothing for one permit
    /// lifetime.
    pub fn new_after_takeover(now: Instant, capacity: Capacity) -> Self {
        let hold = Some(now + PERMIT_LIFETIME);
        Self { grants_held_until: hold, ..Self::new(capacity) }
    }

    /// Sets the maximum number of queued requests.
    pub fn set_max_queue_length(&mut self, length: usize) {
        self.max_queue_length = length;
    }

    /// Replaces the partners' shares.
    pub fn set_shares(&mut self, shares: impl IntoIterator<Item = (id::Partner, f64)>) {
        self.queue.set_shares(shares);
        self.last_shed = None;
    }

    /// Replaces the accounts' weights within their partners.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (id::Account, f64)>) {
        self.queue.set_weights(weights);
    }

    /// Sets whether the owner's lease is confirmed. Without a confirmed lease another owner may
    /// grant at the same time; each then uses half of the limit, so that both together stay within
    /// it.
    pub fn set_lease_confirmed(&mut self, now: Instant, is_confirmed: bool) {
        self.advance(now);
        self.is_lease_confirmed = is_confirmed;
    }

    /// Sets whether the target accepts new work. When it stops, because its zone is out of service,
    /// the target leaves or its owner drains, queued requests are refused immediately, so that
    /// their nodes can still use another target before the deadline.
    pub fn set_accepting(&mut self, now: Instant, accepting: bool) -> Vec<(Ticket, Reason)> {
        self.advance(now);
        self.is_accepting = accepting;
        if accepting {
            return Vec::new();
        }
        let mut tickets: Vec<Ticket> = self.waiting.keys().copied().collect();
        tickets.sort_unstable();
        for &ticket in &tickets {
            self.dequeue(ticket);
        }
        tickets.into_iter().map(|ticket| (ticket, Reason::NoTarget)).collect()
    }

    /// Processes a load report, which proves that the target is alive. Returns the cause if the
    /// target restarts its slow start.
    pub fn observe(&mut self, now: Instant, observed: &Observed) -> Option<ColdCause> {
        self.advance(now);
        self.may_be_dead = false;
        self.room.set_foreign(observed.foreign_streams, observed.foreign_kv);
        for (ticket, left) in &observed.prefill_left {
            if let Some(grant) = self.granted.get(ticket) {
                self.room.correct_prefill(
                    *ticket,
                    grant.request.lane(),
                    *left,
                    self.capacity.prefill_rate,
                );
            }
        }
        self.throughput.set_warmth(observed.sample.warmth);
        self.ramp.observe(now, observed.sample)
    }

    /// Requests a permit.
    ///
    /// Requests that can't finish before their deadline, given the work queued ahead, are refused
    /// immediately: the caller can use the time elsewhere, and the queue holds only work that can
    /// still succeed.
    pub fn request_permit(&mut self, now: Instant, request: PermitRequest) -> Answer {
        self.advance(now);
        if request.deadline <= now {
            return Answer::Refused(Reason::Deadline, Duration::ZERO);
        }
        if request.cost.kv() > self.capacity.kv {
            return Answer::Refused(Reason::TooLong, Duration::ZERO);
        }
        if !self.is_accepting || self.may_be_dead {
            return Answer::Refused(Reason::NoTarget, Duration::ZERO);
        }
        if let Some(refusal) = self.refuse_late(now, &request) {
            return refusal;
        }
        let ticket = self.next_ticket;
        let is_urgent = request.is_urgent;
        self.next_ticket += 1;
        self.enqueue(now, ticket, request);
        if self.next_grant(now) == Some(ticket) || is_urgent && self.fits_in_claim(now, ticket) {
            self.grant(now, ticket);
            return Answer::Granted(ticket);
        }
        if is_urgent {
            if let Some(request) = self.dequeue(ticket) {
                self.hold_claim(now, &request);
            }
            return Answer::Refused(Reason::Overloaded, MIN_RETRY_AFTER);
        }
        Answer::Queued(ticket)
    }

    /// Grants the requests that fit now, and refuses those that can't meet their deadline.
    pub fn poll(&mut self, now: Instant) -> Vec<(Ticket, Result<(), Reason>)> {
        self.advance(now);
        let mut answers = Vec::new();
        while let Some(&(latest_start, ticket)) = self.latest_starts.first() {
            if latest_start > now {
                break;
            }
            self.dequeue(ticket);
            answers.push((ticket, Err(Reason::Deadline)));
        }
        while let Some(ticket) = self.next_grant(now) {
            if self.is_late(now, ticket) {
                self.dequeue(ticket);
                answers.push((ticket, Err(Reason::Overloaded)));
                continue;
            }
            self.grant(now, ticket);
            answers.push((ticket, Ok(())));
        }
        answers.extend(self.shed_late(now).into_iter().map(|t| (t, Err(Reason::Overloaded))));
        answers
    }

    /// Returns when [`Self::poll`] should be called next if no other event occurs.
    pub fn next_poll(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return self.expiry.first().map(|&(at, _)| at);
        }
        let latest_start = self.latest_starts.first().map(|&(at, _)| at);
        let tick = now + Duration::from_millis(5);
        latest_start.into_iter().chain([tick.max(self.grants_held_until.unwrap_or(tick))]).min()
    }

    /// Records that the first token of a permit's work arrived.
    pub fn record_first_token(&mut self, now: Instant, ticket: Ticket) {
        self.advance(now);
        if let Some(grant) = self.granted.get(&ticket) {
            self.room.finish_prefill(ticket, grant.request.lane());
        }
    }

    /// Releases a permit, or removes a request from the queue, when the outcome is unknown.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.dequeue(ticket);
        if let (Some(grant), Some(now)) = (self.remove_grant(ticket), self.last_advanced)
            && grant.request.is_urgent
        {
            self.hold_claim(now, &grant.request);
        }
    }

    /// Releases a permit and learns from its outcome. Returns the cause if the target restarts its
    /// slow start.
    ///
    /// After a failure nothing is granted until the next load report. A permit for a dead target
    /// would waste an attempt, and a suspect queued behind the request that killed the target would
    /// be blamed for the death.
    pub fn complete(
        &mut self,
        now: Instant,
        ticket: Ticket,
        outcome: Outcome,
    ) -> Option<ColdCause> {
        self.advance(now);
        self.dequeue(ticket);
        let grant = self.remove_grant(ticket)?;
        match outcome {
            Outcome::Abandoned => None,
            Outcome::Failed => {
                self.may_be_dead = true;
                self.ramp.record_failure(now);
                None
            }
            Outcome::Completed(first_token) => {
                let first = first_token.unwrap_or(grant.expected);
                let decode = now.saturating_duration_since(grant.at).saturating_sub(first);
                self.throughput.record_decode(grant.request.cost.decode, decode);
                self.ramp.record_success(now, first_token.map(|took| (took, grant.expected)))
            }
        }
    }

    /// Returns the number of granted streams.
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns the KV cache granted.
    pub fn kv_granted(&self) -> size::Tokens {
        self.granted.values().map(|grant| grant.request.cost.kv()).sum()
    }

    /// Returns the KV cache in use, including streams granted by others.
    pub fn kv_used(&self) -> size::Tokens {
        size::Tokens(self.room.kv())
    }

    /// Returns the prompt tokens that are queued, plus those that are granted but by estimate not
    /// prefilled yet.
    pub fn prefill_queued(&self) -> size::Tokens {
        self.prefill_queued_of(false) + self.prefill_queued_of(true)
    }

    /// Like [`Self::prefill_queued`], for short or for long work only.
    pub fn prefill_queued_of(&self, is_long: bool) -> size::Tokens {
        let queued = self.queue.queued_work(is_long);
        size::Tokens(self.room.prefill_in_flight(is_long) as u64 + queued)
    }

    /// Returns the current maximum number of streams on the target.
    pub fn stream_limit(&self) -> u32 {
        self.current_bound().slots
    }

    /// Returns the prefill rate in prompt tokens per second at the target's current warmth.
    pub fn prefill_rate(&self) -> u64 {
        self.throughput.current_prefill_rate()
    }

    /// Returns the fraction of the full limit that the slow start allows, from 0 to 1.
    pub fn ramp_fraction(&self) -> f64 {
        self.ramp.ramp_fraction()
    }

    /// Returns whether the target accepts new work.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting
    }

    pub(crate) fn current_bound(&self) -> Bound {
        let owners = if self.is_lease_confirmed { 1 } else { 2 };
        Bound {
            slots: self.ramp.stream_limit() / owners,
            kv: size::Tokens(self.capacity.kv.0 / u64::from(owners)),
            prefill_rate: self.throughput.shared_prefill_rate(),
        }
    }

    fn advance(&mut self, now: Instant) {
        self.last_advanced = Some(now);
        self.room.advance_prefill(now, self.throughput.shared_prefill_rate());
        let waits = [false, true].map(|is_long| self.queue.queued_work(is_long) > 0);
        self.throughput.advance(now, waits);
        while let Some(&(at, ticket)) = self.expiry.first() {
            if at > now {
                break;
            }
            self.remove_grant(ticket);
        }
    }

    fn enqueue(&mut self, now: Instant, ticket: Ticket, request: PermitRequest) {
        let initial_time_left = request.deadline.saturating_duration_since(now);
        let time = self.throughput.service_time(request.cost, initial_time_left);
        let latest_start = request.deadline.checked_sub(time).unwrap_or(now).max(now);
        self.latest_starts.insert((latest_start, ticket));
        if request.is_exclusive {
            self.exclusive_queue.push_back((ticket, now));
        } else {
            let flow = (&request.partner, &request.account);
            self.queue.push(now, flow, request.lane(), request.cost.work(), ticket);
        }
        self.waiting.insert(ticket, Waiting { request, initial_time_left, latest_start });
    }

    /// Removes a request from the queue.
    pub(crate) fn dequeue(&mut self, ticket: Ticket) -> Option<PermitRequest> {
        let Waiting { request, latest_start, .. } = self.waiting.remove(&ticket)?;
        self.queue.remove(ticket);
        if request.is_exclusive {
            self.exclusive_queue.retain(|&(queued, _)| queued != ticket);
        }
        self.latest_starts.remove(&(latest_start, ticket));
        Some(request)
    }

    /// Removes a granted permit and frees its capacity.
    fn remove_grant(&mut self, ticket: Ticket) -> Option<Grant> {
        let grant = self.granted.remove(&ticket)?;
        self.room.release(ticket, grant.request.lane(), grant.request.cost);
        self.expiry.remove(&(grant.request.deadline + CANCEL_GRACE, ticket));
        Some(grant)
    }
}
