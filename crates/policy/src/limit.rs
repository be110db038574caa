//! The limit that a target's owner keeps on it: who may send now, who waits, and
//! who is refused. Room is granted by [`crate::room`] under the bound of
//! [`crate::ramp`], in the order of [`crate::fair`]; `crate::grant` joins them.
//!
//! Load pattern: all nodes ask for the same target at once, short and long work
//! mixed, while the target warms up, changes owner or leaves.

use crate::fair::Queue;
use crate::pace::Pace;
pub use crate::permit::{Answer, Capacity, Observed, Outcome, PermitRequest, Ticket, priority_of};
use crate::ramp::{ColdCause, Ramp};
use crate::refuse::Reason;
use crate::room::{Bound, Claim, Room};
use hickory_unit::{id, size};
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::{Duration, Instant};

/// A permit's life, counted by the asker from the moment it sent the ask. A
/// new owner waits this long before its first grant, so that no permit of the
/// former owner that it knows nothing of can still be used.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(2);

/// How long after its deadline a permit's room is kept: the sender cancels at
/// the deadline, and the cancel takes this long at most where it gets through
/// at all. Without an end, an owner that never hears of the outcome would
/// lose the room for good.
pub const CANCEL_GRACE: Duration = Duration::from_secs(2);

/// Asks that wait at most. At the least work of an ask, about 10 ms of an
/// engine, more could not start within the greatest usual deadline.
pub const MAX_QUEUE_LENGTH: usize = 4_096;

/// How long room is held for an urgent long ask that was refused, or whose
/// permit came back unused. Such an ask is one part of a prompt that needs
/// several engines at once and can't queue at any; without held room short
/// work would take each slot as it comes free and the prompt never start. Its
/// node tries again within a second.
pub const CLAIM_LIFETIME: Duration = Duration::from_secs(3);

/// The least time that a refused caller is told to stay away.
pub(crate) const MIN_RETRY_AFTER: Duration = Duration::from_millis(500);

#[derive(Clone, Debug)]
pub(crate) struct Waiting {
    pub(crate) request: PermitRequest,
    /// The time that it came with.
    pub(crate) initial_time_left: Duration,
    /// The last moment at which a start is in time, by the pace when it came.
    pub(crate) latest_start: Instant,
}

#[derive(Clone, Debug)]
pub(crate) struct Grant {
    pub(crate) request: PermitRequest,
    pub(crate) at: Instant,
    /// The time to the first token that was to be expected.
    pub(crate) expected: Duration,
}

/// The permits and the queue of one target.
#[derive(Debug)]
pub struct Limiter {
    capacity: Capacity,
    ramp: Ramp,
    pub(crate) room: Room,
    pub(crate) pace: Pace,
    pub(crate) queue: Queue,
    pub(crate) waiting: HashMap<Ticket, Waiting>,
    pub(crate) exclusive_queue: VecDeque<(Ticket, Instant)>,
    pub(crate) granted: HashMap<Ticket, Grant>,
    pub(crate) expiry: BTreeSet<(Instant, Ticket)>,
    latest_starts: BTreeSet<(Instant, Ticket)>,
    last_advanced: Option<Instant>,
    pub(crate) grants_held_until: Option<Instant>,
    /// Room held for urgent long asks, and until when.
    pub(crate) held_claim: Option<(Claim, Instant)>,
    is_lease_confirmed: bool,
    pub(crate) is_accepting: bool,
    /// Whether work failed on the target and no load report has come since.
    pub(crate) may_be_dead: bool,
    pub(crate) max_queue_length: usize,
    pub(crate) last_shed: Option<Instant>,
    next_ticket: Ticket,
}

impl Limiter {
    /// A limiter for a cold target, with nothing granted.
    pub fn new(capacity: Capacity) -> Self {
        Self {
            ramp: Ramp::new(capacity.streams),
            pace: Pace::open(capacity.prefill_rate, capacity.streams),
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

    /// As `open`, for an owner that takes the target over: nothing is granted
    /// within one permit life.
    pub fn new_after_takeover(now: Instant, capacity: Capacity) -> Self {
        let hold = Some(now + PERMIT_LIFETIME);
        Self { grants_held_until: hold, ..Self::new(capacity) }
    }

    /// Sets how many asks may wait.
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

    /// Says whether the owner's lease is confirmed. While it is not, another
    /// owner may grant too: each keeps to half, so that both together stay
    /// within the bound.
    pub fn set_lease_confirmed(&mut self, now: Instant, is_confirmed: bool) {
        self.advance(now);
        self.is_lease_confirmed = is_confirmed;
    }

    /// Says whether the target takes new work. Where its zone is out, it
    /// leaves or its owner drains, the asks that wait are refused at once, so
    /// that their nodes can go elsewhere while there is time.
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

    /// Takes in a load report, which shows that the target lives; says why the
    /// target ramps anew, if it does.
    pub fn observe(&mut self, now: Instant, observed: &Observed) -> Option<ColdCause> {
        self.advance(now);
        self.may_be_dead = false;
        self.room.set_foreign(observed.foreign_streams, observed.foreign_kv);
        for (ticket, left) in &observed.prefill_left {
            if let Some(grant) = self.granted.get(ticket) {
                self.room.correct(*ticket, grant.request.lane(), *left, self.capacity.prefill_rate);
            }
        }
        self.pace.set_warmth(observed.sample.warmth);
        self.ramp.observe(now, observed.sample)
    }

    /// Asks for a permit.
    ///
    /// Refused at once is what can't end before its deadline by what stands
    /// before it: the caller can use its time elsewhere, and the queue holds
    /// only work that will be of use.
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
        if self.next_grant(now) == Some(ticket) || is_urgent && self.fits_claimed(now, ticket) {
            self.grant(now, ticket);
            return Answer::Granted(ticket);
        }
        if is_urgent {
            if let Some(request) = self.dequeue(ticket) {
                self.keep_claim(now, &request);
            }
            return Answer::Refused(Reason::Overloaded, MIN_RETRY_AFTER);
        }
        Answer::Queued(ticket)
    }

    /// Grants what fits now, and gives up on what can't be in time.
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
        answers.extend(self.shed(now).into_iter().map(|t| (t, Err(Reason::Overloaded))));
        answers
    }

    /// When [`Self::poll`] may have something new to say, if nothing else
    /// happens before.
    pub fn next_poll(&self, now: Instant) -> Option<Instant> {
        if self.waiting.is_empty() {
            return self.expiry.first().map(|&(at, _)| at);
        }
        let latest_start = self.latest_starts.first().map(|&(at, _)| at);
        let tick = now + Duration::from_millis(5);
        latest_start.into_iter().chain([tick.max(self.grants_held_until.unwrap_or(tick))]).min()
    }

    /// Notes that the first token of a permit's work came.
    pub fn record_first_token(&mut self, now: Instant, ticket: Ticket) {
        self.advance(now);
        if let Some(grant) = self.granted.get(&ticket) {
            self.room.start(ticket, grant.request.lane());
        }
    }

    /// Takes back a permit, or takes an ask out of the queue, where nothing
    /// is known of how it went.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.dequeue(ticket);
        if let (Some(grant), Some(now)) = (self.remove_grant(ticket), self.last_advanced)
            && grant.request.is_urgent
        {
            self.keep_claim(now, &grant.request);
        }
    }

    /// Takes back a permit and learns from how its work went; says why the
    /// target ramps anew, if it does.
    ///
    /// After a failure nothing is granted until the next load report: a permit
    /// for a dead target costs an attempt, and a suspect that waited behind
    /// the request that killed the target would be blamed for the death.
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
                self.pace.learn_decode(grant.request.cost.decode, decode);
                self.ramp.record_success(now, first_token.map(|took| (took, grant.expected)))
            }
        }
    }

    /// Streams granted.
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// Asks that wait.
    pub fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// KV cache granted.
    pub fn kv_granted(&self) -> size::Tokens {
        self.granted.values().map(|grant| grant.request.cost.kv()).sum()
    }

    /// KV cache in use, what others granted with it.
    pub fn kv_used(&self) -> size::Tokens {
        size::Tokens(self.room.kv())
    }

    /// Prompt tokens granted and not prefilled by estimate, or queued.
    pub fn prefill_queued(&self) -> size::Tokens {
        self.prefill_queued_of(false) + self.prefill_queued_of(true)
    }

    /// As [`Self::prefill_queued`], of short or of long work only.
    pub fn prefill_queued_of(&self, is_long: bool) -> size::Tokens {
        let queued = self.queue.queued_work(is_long);
        size::Tokens(self.room.in_flight(is_long) as u64 + queued)
    }

    /// Streams that the target may hold at present.
    pub fn stream_limit(&self) -> u32 {
        self.current_bound().slots
    }

    /// Prompt tokens a second at the target's present warmth.
    pub fn prefill_rate(&self) -> u64 {
        self.pace.present_rate()
    }

    /// The part of the full bound that the ramp has opened, from 0 to 1.
    pub fn ramp_fraction(&self) -> f64 {
        self.ramp.ramp_fraction()
    }

    /// Whether the target takes new work.
    pub fn is_accepting(&self) -> bool {
        self.is_accepting
    }

    pub(crate) fn current_bound(&self) -> Bound {
        let parts = if self.is_lease_confirmed { 1 } else { 2 };
        Bound {
            slots: self.ramp.stream_limit() / parts,
            kv: size::Tokens(self.capacity.kv.0 / u64::from(parts)),
            prefill_rate: self.pace.prefill_rate(),
        }
    }

    fn advance(&mut self, now: Instant) {
        self.last_advanced = Some(now);
        self.room.drain(now, self.pace.prefill_rate());
        let waits = [false, true].map(|is_long| self.queue.queued_work(is_long) > 0);
        self.pace.advance(now, waits);
        while let Some(&(at, ticket)) = self.expiry.first() {
            if at > now {
                break;
            }
            self.remove_grant(ticket);
        }
    }

    fn enqueue(&mut self, now: Instant, ticket: Ticket, request: PermitRequest) {
        let initial_time_left = request.deadline.saturating_duration_since(now);
        let time = self.pace.time_of(request.cost, initial_time_left);
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

    /// Takes an ask out of the queue.
    pub(crate) fn dequeue(&mut self, ticket: Ticket) -> Option<PermitRequest> {
        let Waiting { request, latest_start, .. } = self.waiting.remove(&ticket)?;
        self.queue.remove(ticket);
        if request.is_exclusive {
            self.exclusive_queue.retain(|&(queued, _)| queued != ticket);
        }
        self.latest_starts.remove(&(latest_start, ticket));
        Some(request)
    }

    /// Takes a permit back.
    fn remove_grant(&mut self, ticket: Ticket) -> Option<Grant> {
        let grant = self.granted.remove(&ticket)?;
        self.room.remove(ticket, grant.request.lane(), grant.request.cost);
        self.expiry.remove(&(grant.request.deadline + CANCEL_GRACE, ticket));
        Some(grant)
    }
}
