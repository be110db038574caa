//! The owner's state of one target: permits, running streams and the queue. [`crate::sweep`]
//! finds orphaned work on the target.
//!
//! It does no input or output: the time and the target's reports are passed in, so that tests
//! need no sockets.

use crate::granted::{Foreign, Granted, Waiting};
use crate::orders::Loads;
use hickory_policy::cost::{Class, Cost};
use hickory_policy::limit::{self, Answer, Capacity, Limiter, Ticket, priority_of};
use hickory_policy::refuse::Reason;
use hickory_release::configuration::Configuration;
use hickory_target::engine::{self, Handle};
use hickory_unit::{id, size};
use hickory_wire::message::{
    Adoption, Ending, Outcome, Permit, PermitRequest, Refusal, TargetState, Weights,
};
use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;

/// Refusal reason for an ask that remains in the queue. The asker repeats the ask, so that the
/// lifetime of a permit always starts at a recent ask.
pub(crate) const QUEUED_REASON: &str = "queued";

/// Refusal reason for a node that wants to keep a stream which another node has taken over.
pub(crate) const TAKEN_REASON: &str = "taken";

/// Retry delay for a target that accepts no work now; other targets can be asked at once.
const RETRY_ELSEWHERE_AFTER: Duration = Duration::from_millis(500);

/// An owned target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) target: id::Target,
    pub(crate) epoch: id::Epoch,
    pub(crate) capacity: Capacity,
    pub(crate) is_accepting: bool,
    pub(crate) ready: Vec<Weights>,
    pub(crate) kv_used: size::Tokens,
    pub(crate) kv_capacity: size::Tokens,
    pub(crate) incarnation: Option<id::Incarnation>,
    pub(crate) limiter: Limiter,
    pub(crate) permits: HashMap<Ticket, Granted>,
    /// Tickets of permits and of queued asks, by stream.
    pub(crate) tickets: HashMap<id::Stream, Ticket>,
    pub(crate) waiting: HashMap<Ticket, Waiting>,
    pub(crate) ended: HashMap<id::Stream, Instant>,
    pub(crate) foreign: HashMap<id::Stream, Foreign>,
    pub(crate) last_adopted: Ticket,
    pub(crate) pending_cancels: Vec<id::Stream>,
    pub(crate) pending_drops: Vec<Handle>,
    /// Whether the target's death has been counted; reset by its next report.
    pub(crate) is_dead: bool,
    /// Loads of weights onto the engine.
    pub(crate) loads: Loads,
    /// Fingerprints of the requests that nodes reported as running when the target died. The
    /// next load report clears them; [`Target::record_death`] returns them.
    pub(crate) reported_deaths: Vec<u64>,
    /// The configuration from which the limiter's shares and weights were set.
    pub(crate) release: id::Release,
    /// The state that was last published to peers, with its version.
    pub(crate) published: Option<(u64, TargetState)>,
}

/// First ticket of adopted streams. The range is disjoint from the limiter's own tickets:
/// adopted streams are accounted for by the load report, not by the limiter.
const FIRST_ADOPTED_TICKET: Ticket = 1 << 63;

pub(crate) fn refuse(reason: impl std::fmt::Display, retry_after: Duration) -> Refusal {
    Refusal { reason: reason.to_string(), retry_after, is_not_owner: false }
}

pub(crate) fn refuse_not_owner() -> Refusal {
    Refusal {
        reason: Reason::NoOwner.to_string(),
        retry_after: Duration::from_millis(200),
        is_not_owner: true,
    }
}

/// The first answer to an ask.
pub(crate) enum AskResult {
    Answered(Result<Permit, Refusal>),
    Queued(oneshot::Receiver<Result<Permit, Refusal>>),
}

impl Target {
    pub(crate) fn open(target: id::Target, epoch: id::Epoch) -> Self {
        let capacity = Capacity { streams: 0, kv: size::Tokens(0), prefill_rate: 0 };
        Self {
            target,
            epoch,
            capacity,
            is_accepting: false,
            ready: Vec::new(),
            kv_used: size::Tokens(0),
            kv_capacity: size::Tokens(0),
            incarnation: None,
            limiter: Limiter::new(capacity),
            permits: HashMap::new(),
            tickets: HashMap::new(),
            waiting: HashMap::new(),
            ended: HashMap::new(),
            foreign: HashMap::new(),
            last_adopted: FIRST_ADOPTED_TICKET,
            pending_cancels: Vec::new(),
            pending_drops: Vec::new(),
            is_dead: false,
            loads: Loads::default(),
            reported_deaths: Vec::new(),
            release: id::Release(0),
            published: None,
        }
    }

    /// Sets the target's capacity and recreates the limiter, unless a permit is held or an ask
    /// is queued.
    pub(crate) fn set_capacity(&mut self, capacity: Capacity) {
        if self.capacity != capacity && self.permits.is_empty() && self.waiting.is_empty() {
            self.capacity = capacity;
            self.limiter = Limiter::new(capacity);
            self.release = id::Release(0);
        }
    }

    /// Sets the limiter's shares and weights from a configuration.
    pub(crate) fn apply_configuration(&mut self, configuration: &Configuration) {
        if self.release == configuration.version {
            return;
        }
        self.release = configuration.version;
        let partners = configuration.partners.iter();
        self.limiter.set_shares(partners.map(|(name, partner)| (name.clone(), partner.share)));
        let accounts = configuration.accounts.iter();
        self.limiter.set_weights(accounts.map(|(name, account)| (name.clone(), account.weight)));
    }

    /// Sets whether the target accepts new work, and whether this node is confirmed as its
    /// only owner. If the target accepts none, queued asks are refused at once, so that the
    /// askers can try other targets in time.
    pub(crate) fn set_availability(
        &mut self,
        now: Instant,
        is_accepting: bool,
        is_confirmed: bool,
    ) {
        self.is_accepting = is_accepting;
        self.limiter.set_lease_confirmed(now, is_confirmed);
        for (ticket, reason) in self.limiter.set_accepting(now, is_accepting) {
            self.answer(now, ticket, Err(refuse(reason, RETRY_ELSEWHERE_AFTER)));
        }
    }

    pub(crate) fn ask(
        &mut self,
        now: Instant,
        permit_lifetime: Duration,
        ask: &PermitRequest,
    ) -> AskResult {
        // A repeated ask: its last answer was lost, or it is still queued.
        if let Some(ticket) = self.tickets.get(&ask.stream).copied() {
            return self.ask_again(now, permit_lifetime, ticket);
        }
        if !self.is_accepting {
            return AskResult::Answered(Err(refuse(Reason::NoTarget, RETRY_ELSEWHERE_AFTER)));
        }
        let request_deadline = now + ask.time_left;
        let request = limit::PermitRequest {
            partner: ask.partner.clone(),
            account: ask.account.clone(),
            class: if ask.is_batch { Class::Batch } else { Class::Interactive },
            cost: Cost { prefill: ask.cost.prefill, decode: ask.cost.decode },
            deadline: request_deadline,
            is_exclusive: ask.runs_alone,
            is_urgent: ask.must_not_queue,
        };
        let priority = priority_of(request.lane());
        match self.limiter.request_permit(now, request) {
            Answer::Granted(ticket) => {
                let granted = Granted::open(ask.stream.clone(), request_deadline, priority);
                let (fingerprint, kv) = (ask.fingerprint, ask.cost.kv);
                let weights = ask.weights.clone();
                self.insert_permit(ticket, Granted { fingerprint, kv, weights, ..granted });
                AskResult::Answered(Ok(self.make_permit(ticket, priority, permit_lifetime)))
            }
            Answer::Queued(ticket) => {
                let (responder, wait) = oneshot::channel();
                let (stream, responder) = (ask.stream.clone(), Some(responder));
                self.tickets.insert(stream.clone(), ticket);
                let waiting = Waiting {
                    stream,
                    asked_at: now,
                    request_deadline,
                    priority,
                    fingerprint: ask.fingerprint,
                    kv: ask.cost.kv,
                    weights: ask.weights.clone(),
                    responder,
                };
                self.waiting.insert(ticket, waiting);
                AskResult::Queued(wait)
            }
            Answer::Refused(reason, after) => AskResult::Answered(Err(refuse(reason, after))),
        }
    }

    fn ask_again(&mut self, now: Instant, permit_lifetime: Duration, ticket: Ticket) -> AskResult {
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            let (responder, wait) = oneshot::channel();
            waiting.asked_at = now;
            waiting.responder = Some(responder);
            return AskResult::Queued(wait);
        }
        let priority = self.permits.get_mut(&ticket).map_or(0, |granted| {
            granted.undelivered_since = None;
            granted.priority
        });
        AskResult::Answered(Ok(self.make_permit(ticket, priority, permit_lifetime)))
    }

    fn make_permit(&self, id: Ticket, priority: u8, life: Duration) -> Permit {
        Permit { id, epoch: self.epoch, lifetime: life, priority }
    }

    fn insert_permit(&mut self, ticket: Ticket, granted: Granted) {
        self.tickets.insert(granted.stream.clone(), ticket);
        self.permits.insert(ticket, granted);
    }

    pub(crate) fn withdraw(&mut self, stream: &id::Stream) {
        let queued = self.tickets.get(stream).filter(|ticket| self.waiting.contains_key(ticket));
        if let Some(ticket) = queued.copied() {
            self.tickets.remove(stream);
            self.waiting.remove(&ticket);
            self.limiter.cancel(ticket);
        }
    }

    /// Grants the queued asks that fit now.
    pub(crate) fn poll(&mut self, now: Instant, permit_lifetime: Duration) {
        for (ticket, answer) in self.limiter.poll(now) {
            let priority = self.waiting.get(&ticket).map_or(0, |waiting| waiting.priority);
            let answer = match answer {
                Ok(()) => Ok(self.make_permit(ticket, priority, permit_lifetime)),
                Err(reason) => Err(refuse(reason, RETRY_ELSEWHERE_AFTER)),
            };
            self.answer(now, ticket, answer);
        }
    }

    /// Answers the ask that is queued under a ticket.
    fn answer(&mut self, now: Instant, ticket: Ticket, answer: Result<Permit, Refusal>) {
        let Some(waiting) = self.waiting.remove(&ticket) else { return };
        self.tickets.remove(&waiting.stream);
        let granted = answer.is_ok();
        let is_delivered =
            waiting.responder.is_some_and(|responder| responder.send(answer).is_ok());
        if granted {
            let granted = Granted::open(waiting.stream, waiting.request_deadline, waiting.priority);
            let undelivered_since = (!is_delivered).then_some(now);
            let (fingerprint, kv, weights) = (waiting.fingerprint, waiting.kv, waiting.weights);
            let granted = Granted { undelivered_since, fingerprint, kv, weights, ..granted };
            self.insert_permit(ticket, granted);
        }
    }

    /// Returns the weights that running or queued requests use; while streams of a previous
    /// owner are held, all weights that are ready on the engine.
    pub(crate) fn busy_weights(&self) -> HashSet<engine::Weights> {
        let granted = self.permits.values().filter_map(|granted| granted.weights.as_ref());
        let waiting = self.waiting.values().filter_map(|waiting| waiting.weights.as_ref());
        let foreign = self.ready.iter().filter(|_| !self.foreign.is_empty());
        granted.chain(waiting).chain(foreign).map(crate::permit::from_wire).collect()
    }

    /// Returns the number of queued asks.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Returns whether a node other than the asking one serves the stream.
    pub(crate) fn is_served_elsewhere(&self, adopt: &Adoption) -> bool {
        let ticket = self.tickets.get(&adopt.stream);
        let granted = ticket.and_then(|ticket| self.permits.get(ticket));
        granted.is_some_and(|granted| granted.node != adopt.node)
    }

    pub(crate) fn adopt(
        &mut self,
        adopt: &Adoption,
        request_deadline: Instant,
        permit_lifetime: Duration,
    ) -> Option<Permit> {
        let ticket = self.tickets.get(&adopt.stream).copied();
        let known = ticket.and_then(|ticket| Some((ticket, self.permits.get_mut(&ticket)?)));
        let id = match known {
            Some((ticket, granted)) => {
                granted.caller_left_at = None;
                granted.node = adopt.node.clone();
                ticket
            }
            None => {
                self.foreign.remove(&adopt.stream)?;
                self.last_adopted += 1;
                let mut granted = Granted::open(adopt.stream.clone(), request_deadline, 0);
                granted.node = adopt.node.clone();
                self.insert_permit(self.last_adopted, granted);
                self.last_adopted
            }
        };
        Some(self.make_permit(id, 0, permit_lifetime))
    }

    /// Applies the outcome of a permitted attempt.
    pub(crate) fn apply_outcome(&mut self, now: Instant, outcome: &Outcome) {
        if outcome.epoch != self.epoch {
            self.apply_foreign_outcome(now, outcome);
            return;
        }
        match outcome.ending {
            Ending::CallerDisconnected => {
                if let Some(granted) = self.permits.get_mut(&outcome.permit) {
                    granted.caller_left_at = Some(now);
                }
            }
            Ending::Lost => {
                // The target's memory is in use until it confirms the cancel; only then is the
                // permit released.
                if let Some(granted) = self.permits.get(&outcome.permit) {
                    self.pending_cancels.push(granted.stream.clone());
                }
            }
            Ending::Finished => {
                self.release_permit(
                    now,
                    outcome.permit,
                    limit::Outcome::Completed(outcome.time_to_first_token),
                );
            }
            Ending::Cancelled | Ending::NotSent => {
                self.release_permit(now, outcome.permit, limit::Outcome::Abandoned);
            }
            Ending::TargetDied => {
                // The owner may have detected the death before the node reported it. Counting
                // it twice would quarantine a request after a single death.
                let granted = self.permits.get(&outcome.permit);
                let granted = granted.filter(|granted| !granted.is_death_counted);
                self.reported_deaths.extend(granted.map(|granted| granted.fingerprint));
                self.release_permit(now, outcome.permit, limit::Outcome::Failed);
            }
        }
    }

    /// Applies the outcome of a previous owner's permit: its stream is counted and swept by the
    /// load report, not by the limiter.
    fn apply_foreign_outcome(&mut self, now: Instant, outcome: &Outcome) {
        let Some(stream) = &outcome.stream else { return };
        match outcome.ending {
            Ending::Lost => self.pending_cancels.push(stream.clone()),
            Ending::CallerDisconnected => {
                self.foreign.insert(stream.clone(), Foreign { orphaned_since: Some(now) });
            }
            Ending::Finished | Ending::Cancelled | Ending::NotSent | Ending::TargetDied => {
                self.foreign.remove(stream);
                self.ended.insert(stream.clone(), now);
            }
        }
    }

    pub(crate) fn release_permit(&mut self, now: Instant, ticket: Ticket, outcome: limit::Outcome) {
        self.limiter.complete(now, ticket, outcome);
        if let Some(granted) = self.permits.remove(&ticket) {
            self.tickets.remove(&granted.stream);
            self.ended.insert(granted.stream, now);
        }
    }

    /// Returns the state for peers with the version of its last change; `next` allocates a new
    /// version if the state has changed.
    pub(crate) fn publish(&mut self, next: impl FnOnce() -> u64) -> Option<(u64, TargetState)> {
        let state = self.state();
        if self.published.as_ref().is_none_or(|(_, published)| *published != state) {
            self.published = Some((next(), state));
        }
        self.published.clone()
    }

    /// Returns the current state for peers.
    pub(crate) fn state(&self) -> TargetState {
        let used = self.kv_used.max(self.limiter.kv_used());
        TargetState {
            target: self.target.clone(),
            epoch: self.epoch,
            queued_prefill: self.limiter.prefill_queued(),
            queued_long: self.limiter.prefill_queued_of(true),
            kv_free: self.kv_capacity.saturating_sub(used),
            kv_capacity: self.kv_capacity,
            prefill_rate: self.limiter.prefill_rate(),
            stream_limit: self.limiter.stream_limit(),
            running: self.limiter.running() as u32,
            waiting: self.limiter.waiting() as u32,
            incarnation: self.incarnation.unwrap_or_default(),
            ready: self.ready.clone(),
            is_accepting: self.is_accepting,
            prefixes: Vec::new(),
        }
    }
}
