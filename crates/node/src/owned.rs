//! The owner's side of one target: who may send, what runs and what waits.
//! [`crate::sweep`] finds what is left on the target that nobody stands for.
//!
//! No input or output: the time and the target's reports are passed in, so
//! that it runs in tests without sockets.

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

/// The reason an asker gets whose ask stays in the queue: it asks again, so
/// that the life of the permit it will get begins with a fresh question.
pub(crate) const QUEUED: &str = "queued";

/// The reason a node gets that asks to keep a stream which another node has
/// taken over.
pub(crate) const TAKEN: &str = "taken";

/// When to come back to a target that takes no work now; other targets may be
/// asked at once.
const RETRY_ELSEWHERE: Duration = Duration::from_millis(500);

/// One owned target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) target: id::Target,
    pub(crate) epoch: id::Epoch,
    pub(crate) capacity: Capacity,
    pub(crate) accepting: bool,
    pub(crate) ready: Vec<Weights>,
    pub(crate) kv_used: size::Tokens,
    pub(crate) kv_capacity: size::Tokens,
    pub(crate) incarnation: Option<id::Incarnation>,
    pub(crate) limiter: Limiter,
    pub(crate) permits: HashMap<Ticket, Granted>,
    /// Tickets of permits and of waiting asks, by their streams.
    pub(crate) tickets: HashMap<id::Stream, Ticket>,
    pub(crate) waiting: HashMap<Ticket, Waiting>,
    pub(crate) ended: HashMap<id::Stream, Instant>,
    pub(crate) foreign: HashMap<id::Stream, Foreign>,
    pub(crate) adopted: Ticket,
    pub(crate) cancels: Vec<id::Stream>,
    pub(crate) drops: Vec<Handle>,
    /// Whether the target's death has been counted, until it reports again.
    pub(crate) dead: bool,
    /// The loads of weights onto it.
    pub(crate) loads: Loads,
    /// What its nodes say it died under, until a report confirms or denies it.
    pub(crate) fallen: Vec<u64>,
    /// The configuration whose shares the limiter follows.
    pub(crate) release: id::Release,
    /// What peers were told last, and its version.
    pub(crate) told: Option<(u64, TargetState)>,
}

/// Permits for adopted streams are numbered from here, out of the way of the
/// limiter's own: these streams are not its to count, they stand in the load
/// report.
const ADOPTED_FIRST: Ticket = 1 << 63;

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
pub(crate) enum Begun {
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
            accepting: false,
            ready: Vec::new(),
            kv_used: size::Tokens(0),
            kv_capacity: size::Tokens(0),
            incarnation: None,
            limiter: Limiter::open(capacity),
            permits: HashMap::new(),
            tickets: HashMap::new(),
            waiting: HashMap::new(),
            ended: HashMap::new(),
            foreign: HashMap::new(),
            adopted: ADOPTED_FIRST,
            cancels: Vec::new(),
            drops: Vec::new(),
            dead: false,
            loads: Loads::default(),
            fallen: Vec::new(),
            release: id::Release(0),
            told: None,
        }
    }

    /// Sets what the target bears; the first report opens the limiter.
    pub(crate) fn set_capacity(&mut self, capacity: Capacity) {
        if self.capacity != capacity && self.permits.is_empty() && self.waiting.is_empty() {
            self.capacity = capacity;
            self.limiter = Limiter::open(capacity);
            self.release = id::Release(0);
        }
    }

    /// Makes the limiter follow the shares and weights of a configuration.
    pub(crate) fn follow(&mut self, configuration: &Configuration) {
        if self.release == configuration.version {
            return;
        }
        self.release = configuration.version;
        let partners = configuration.partners.iter();
        self.limiter.set_shares(partners.map(|(name, partner)| (name.clone(), partner.share)));
        let accounts = configuration.accounts.iter();
        self.limiter.set_weights(accounts.map(|(name, account)| (name.clone(), account.weight)));
    }

    /// Says whether the target takes new work, and whether this owner is sure
    /// to be the only one. Who waits for a target that takes none is told at
    /// once, to go elsewhere while there is time.
    pub(crate) fn set_terms(&mut self, now: Instant, accepting: bool, confirmed: bool) {
        self.accepting = accepting;
        self.limiter.set_confirmed(now, confirmed);
        for (ticket, reason) in self.limiter.set_accepting(now, accepting) {
            self.answer(now, ticket, Err(refuse(reason, RETRY_ELSEWHERE)));
        }
    }

    pub(crate) fn ask(&mut self, now: Instant, life: Duration, ask: &PermitRequest) -> Begun {
        // The same ask again: its last answer was lost, or it stays queued.
        if let Some(ticket) = self.tickets.get(&ask.stream).copied() {
            return self.ask_again(now, life, ticket);
        }
        if !self.accepting {
            return Begun::Answered(Err(refuse(Reason::NoTarget, RETRY_ELSEWHERE)));
        }
        let until = now + ask.time_left;
        let wanted = limit::Ask {
            partner: ask.partner.clone(),
            account: ask.account.clone(),
            class: if ask.is_batch { Class::Batch } else { Class::Interactive },
            cost: Cost { prefill: ask.cost.prefill, decode: ask.cost.decode },
            deadline: until,
            alone: ask.runs_alone,
            urgent: ask.must_not_queue,
        };
        let priority = priority_of(wanted.lane());
        match self.limiter.ask(now, wanted) {
            Answer::Granted(ticket) => {
                let granted = Granted::to(ask.stream.clone(), until, priority);
                let (fingerprint, kv) = (ask.fingerprint, ask.cost.kv);
                let weights = ask.weights.clone();
                self.insert_permit(ticket, Granted { fingerprint, kv, weights, ..granted });
                Begun::Answered(Ok(self.make_permit(ticket, priority, life)))
            }
            Answer::Queued(ticket) => {
                let (waker, wait) = oneshot::channel();
                let (stream, waker) = (ask.stream.clone(), Some(waker));
                self.tickets.insert(stream.clone(), ticket);
                let waiting = Waiting {
                    stream,
                    asked: now,
                    until,
                    priority,
                    fingerprint: ask.fingerprint,
                    kv: ask.cost.kv,
                    weights: ask.weights.clone(),
                    waker,
                };
                self.waiting.insert(ticket, waiting);
                Begun::Queued(wait)
            }
            Answer::Refused(reason, after) => Begun::Answered(Err(refuse(reason, after))),
        }
    }

    fn ask_again(&mut self, now: Instant, life: Duration, ticket: Ticket) -> Begun {
        if let Some(waiting) = self.waiting.get_mut(&ticket) {
            let (waker, wait) = oneshot::channel();
            waiting.asked = now;
            waiting.waker = Some(waker);
            return Begun::Queued(wait);
        }
        let priority = self.permits.get_mut(&ticket).map_or(0, |granted| {
            granted.untold = None;
            granted.priority
        });
        Begun::Answered(Ok(self.make_permit(ticket, priority, life)))
    }

    fn make_permit(&self, id: Ticket, priority: u8, life: Duration) -> Permit {
        Permit { id, epoch: self.epoch, lifetime: life, priority }
    }

    fn insert_permit(&mut self, ticket: Ticket, granted: Granted) {
        self.tickets.insert(granted.stream.clone(), ticket);
        self.permits.insert(ticket, granted);
    }

    pub(crate) fn withdraw(&mut self, stream: &id::Stream) {
        let waits = self.tickets.get(stream).filter(|ticket| self.waiting.contains_key(ticket));
        if let Some(ticket) = waits.copied() {
            self.tickets.remove(stream);
            self.waiting.remove(&ticket);
            self.limiter.finish(ticket);
        }
    }

    /// Grants what fits now.
    pub(crate) fn poll(&mut self, now: Instant, life: Duration) {
        for (ticket, answer) in self.limiter.poll(now) {
            let priority = self.waiting.get(&ticket).map_or(0, |waiting| waiting.priority);
            let answer = match answer {
                Ok(()) => Ok(self.make_permit(ticket, priority, life)),
                Err(reason) => Err(refuse(reason, RETRY_ELSEWHERE)),
            };
            self.answer(now, ticket, answer);
        }
    }

    /// Answers who waits under a ticket.
    fn answer(&mut self, now: Instant, ticket: Ticket, answer: Result<Permit, Refusal>) {
        let Some(waiting) = self.waiting.remove(&ticket) else { return };
        self.tickets.remove(&waiting.stream);
        let granted = answer.is_ok();
        let told = waiting.waker.is_some_and(|waker| waker.send(answer).is_ok());
        if granted {
            let granted = Granted::to(waiting.stream, waiting.until, waiting.priority);
            let untold = (!told).then_some(now);
            let (fingerprint, kv, weights) = (waiting.fingerprint, waiting.kv, waiting.weights);
            let granted = Granted { untold, fingerprint, kv, weights, ..granted };
            self.insert_permit(ticket, granted);
        }
    }

    /// Weights that something runs on or waits for; while streams of a former
    /// owner are held, all that the engine has.
    pub(crate) fn busy_weights(&self) -> HashSet<engine::Weights> {
        let granted = self.permits.values().filter_map(|granted| granted.weights.as_ref());
        let waiting = self.waiting.values().filter_map(|waiting| waiting.weights.as_ref());
        let foreign = self.ready.iter().filter(|_| !self.foreign.is_empty());
        granted.chain(waiting).chain(foreign).map(crate::permit::from_wire).collect()
    }

    /// Asks that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Whether another node than the asking one serves the stream.
    pub(crate) fn is_taken(&self, adopt: &Adoption) -> bool {
        let ticket = self.tickets.get(&adopt.stream);
        let granted = ticket.and_then(|ticket| self.permits.get(ticket));
        granted.is_some_and(|granted| granted.node != adopt.node)
    }

    pub(crate) fn adopt(
        &mut self,
        adopt: &Adoption,
        until: Instant,
        life: Duration,
    ) -> Option<Permit> {
        let ticket = self.tickets.get(&adopt.stream).copied();
        let known = ticket.and_then(|ticket| Some((ticket, self.permits.get_mut(&ticket)?)));
        let id = match known {
            Some((ticket, granted)) => {
                granted.left = None;
                granted.node = adopt.node.clone();
                ticket
            }
            None => {
                self.foreign.remove(&adopt.stream)?;
                self.adopted += 1;
                let mut granted = Granted::to(adopt.stream.clone(), until, 0);
                granted.node = adopt.node.clone();
                self.insert_permit(self.adopted, granted);
                self.adopted
            }
        };
        Some(self.make_permit(id, 0, life))
    }

    /// Takes in how a permitted attempt ended.
    pub(crate) fn end(&mut self, now: Instant, outcome: &Outcome) {
        if outcome.epoch != self.epoch {
            self.end_foreign(now, outcome);
            return;
        }
        match outcome.ending {
            Ending::CallerDisconnected => {
                if let Some(granted) = self.permits.get_mut(&outcome.permit) {
                    granted.left = Some(now);
                }
            }
            Ending::Lost => {
                // The memory is the target's until it confirms the cancel; the
                // permit goes then.
                if let Some(granted) = self.permits.get(&outcome.permit) {
                    self.cancels.push(granted.stream.clone());
                }
            }
            Ending::Finished => {
                self.give_back(
                    now,
                    outcome.permit,
                    limit::Outcome::Whole(outcome.time_to_first_token),
                );
            }
            Ending::Cancelled | Ending::NotSent => {
                self.give_back(now, outcome.permit, limit::Outcome::Dropped);
            }
            Ending::TargetDied => {
                // The owner may have seen the death before its node told of it:
                // counted twice, it would quarantine a request after one death.
                let granted = self.permits.get(&outcome.permit);
                let granted = granted.filter(|granted| !granted.counted);
                self.fallen.extend(granted.map(|granted| granted.fingerprint));
                self.give_back(now, outcome.permit, limit::Outcome::Failed);
            }
        }
    }

    /// A permit of a former owner ended: its stream stands in the report and
    /// is counted and swept from there.
    fn end_foreign(&mut self, now: Instant, outcome: &Outcome) {
        let Some(stream) = &outcome.stream else { return };
        match outcome.ending {
            Ending::Lost => self.cancels.push(stream.clone()),
            Ending::CallerDisconnected => {
                self.foreign.insert(stream.clone(), Foreign { alone: Some(now) });
            }
            Ending::Finished | Ending::Cancelled | Ending::NotSent | Ending::TargetDied => {
                self.foreign.remove(stream);
                self.ended.insert(stream.clone(), now);
            }
        }
    }

    pub(crate) fn give_back(&mut self, now: Instant, ticket: Ticket, outcome: limit::Outcome) {
        self.limiter.settle(now, ticket, outcome);
        if let Some(granted) = self.permits.remove(&ticket) {
            self.tickets.remove(&granted.stream);
            self.ended.insert(granted.stream, now);
        }
    }

    /// What peers are to know, with the version of its last change.
    pub(crate) fn tell(&mut self, next: impl FnOnce() -> u64) -> Option<(u64, TargetState)> {
        let state = self.state();
        if self.told.as_ref().is_none_or(|(_, told)| *told != state) {
            self.told = Some((next(), state));
        }
        self.told.clone()
    }

    /// What peers would be told now.
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
            stream_limit: self.limiter.bound(),
            running: self.limiter.running() as u32,
            waiting: self.limiter.waiting() as u32,
            incarnation: self.incarnation.unwrap_or_default(),
            ready: self.ready.clone(),
            is_accepting: self.accepting,
            prefixes: Vec::new(),
        }
    }
}
