//! Baseline policies that the decisions are compared with, behind the same traits.
//!
//! [`Fifo`] with [`RoundRobin`]: each target admits requests in the order of arrival while it has
//! free slots and memory, and targets are chosen in rotation. [`Unbounded`] with [`LeastLoaded`]:
//! each request is sent immediately to the target whose latest (delayed) report shows the fewest
//! streams, and queues inside the engine.

use crate::fair::Lane;
use crate::limit::{
    Answer, Capacity, Limiter, Observed, Outcome, PermitRequest, Ticket, priority_of,
};
use crate::place::{Candidate, Query, choose_target};
use crate::refuse::Reason;
use hickory_unit::size;
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// State of a target as published to the nodes that choose targets.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Prompt tokens granted or queued.
    pub queued_prefill: size::Tokens,
    /// Those of them that belong to long prompts.
    pub queued_long: size::Tokens,
    /// KV cache in use.
    pub kv_used: size::Tokens,
    /// Current prefill rate in prompt tokens per second, if known.
    pub prefill_rate: Option<u64>,
    /// Maximum number of concurrent streams.
    pub stream_limit: u32,
    /// Streams granted.
    pub running: u32,
    /// Requests queued.
    pub waiting: u32,
}

/// Admission control of one target.
pub trait Limit {
    /// Creates a limit for a newly discovered target.
    fn new(capacity: Capacity) -> Self;
    /// Requests a permit.
    fn request_permit(&mut self, now: Instant, request: PermitRequest) -> Answer;
    /// Grants queued requests and refuses those that have expired.
    fn poll(&mut self, now: Instant) -> Vec<(Ticket, Result<(), Reason>)>;
    /// Processes a load report; `streams` is the number of streams that it shows.
    fn observe(&mut self, now: Instant, observed: &Observed, streams: u32);
    /// Releases a permit.
    fn complete(&mut self, now: Instant, ticket: Ticket, outcome: Outcome);
    /// Sets whether the target accepts new work; returns the queued requests that are refused.
    fn set_accepting(&mut self, now: Instant, accepting: bool) -> Vec<(Ticket, Reason)>;
    /// Replaces the partners' shares.
    fn set_shares(&mut self, shares: &[(hickory_unit::id::Partner, f64)]);
    /// Returns the state that is published to the nodes.
    fn state(&self) -> State;
    /// Returns the priority at which an engine runs the work of a lane.
    fn priority(lane: Lane) -> u8;
}

/// A policy that chooses a target.
pub trait Place {
    /// Chooses one of the candidates; returns its index.
    fn choose(&mut self, query: &Query, candidates: &[Candidate]) -> Option<usize>;
}

impl Limit for Limiter {
    fn new(capacity: Capacity) -> Self {
        Self::new(capacity)
    }

    fn request_permit(&mut self, now: Instant, request: PermitRequest) -> Answer {
        self.request_permit(now, request)
    }

    fn poll(&mut self, now: Instant) -> Vec<(Ticket, Result<(), Reason>)> {
        self.poll(now)
    }

    fn observe(&mut self, now: Instant, observed: &Observed, _streams: u32) {
        self.observe(now, observed);
    }

    fn complete(&mut self, now: Instant, ticket: Ticket, outcome: Outcome) {
        self.complete(now, ticket, outcome);
    }

    fn set_accepting(&mut self, now: Instant, accepting: bool) -> Vec<(Ticket, Reason)> {
        self.set_accepting(now, accepting)
    }

    fn set_shares(&mut self, shares: &[(hickory_unit::id::Partner, f64)]) {
        self.set_shares(shares.iter().cloned());
    }

    fn state(&self) -> State {
        State {
            queued_prefill: self.prefill_queued(),
            queued_long: self.prefill_queued_of(true),
            kv_used: self.kv_used(),
            prefill_rate: Some(self.prefill_rate()),
            stream_limit: self.stream_limit(),
            running: self.running() as u32,
            waiting: self.waiting() as u32,
        }
    }

    fn priority(lane: Lane) -> u8 {
        priority_of(lane)
    }
}

/// The policy in production use: [`choose_target`].
#[derive(Clone, Copy, Debug, Default)]
pub struct Estimate;

impl Place for Estimate {
    fn choose(&mut self, query: &Query, candidates: &[Candidate]) -> Option<usize> {
        let chosen = choose_target(query, candidates)?;
        candidates.iter().position(|c| c.hash == chosen.hash)
    }
}

/// Returns why a request must be refused regardless of the load, or `None` if it can be admitted.
fn find_refusal(
    now: Instant,
    request: &PermitRequest,
    accepting: bool,
    capacity: Capacity,
) -> Option<Reason> {
    if !accepting {
        return Some(Reason::NoTarget);
    }
    if request.deadline <= now {
        return Some(Reason::Deadline);
    }
    (request.cost.kv() > capacity.kv).then_some(Reason::TooLong)
}

/// Admission by free slots and memory, in the order of arrival.
#[derive(Clone, Debug)]
pub struct Fifo {
    capacity: Capacity,
    granted: BTreeMap<Ticket, PermitRequest>,
    queue: VecDeque<(Ticket, PermitRequest)>,
    kv: size::Tokens,
    accepting: bool,
    next: Ticket,
}

impl Fifo {
    fn fits(&self, request: &PermitRequest) -> bool {
        self.granted.len() < self.capacity.streams as usize
            && self.kv + request.cost.kv() <= self.capacity.kv
    }

    fn grant(&mut self, ticket: Ticket, request: PermitRequest) {
        self.kv += request.cost.kv();
        self.granted.insert(ticket, request);
    }
}

impl Limit for Fifo {
    fn new(capacity: Capacity) -> Self {
        let (granted, queue) = (BTreeMap::new(), VecDeque::new());
        Self { capacity, granted, queue, kv: size::Tokens(0), accepting: true, next: 1 }
    }

    fn request_permit(&mut self, now: Instant, request: PermitRequest) -> Answer {
        if let Some(reason) = find_refusal(now, &request, self.accepting, self.capacity) {
            return Answer::Refused(reason, Duration::ZERO);
        }
        let ticket = self.next;
        self.next += 1;
        if self.queue.is_empty() && self.fits(&request) {
            self.grant(ticket, request);
            return Answer::Granted(ticket);
        }
        self.queue.push_back((ticket, request));
        Answer::Queued(ticket)
    }

    fn poll(&mut self, now: Instant) -> Vec<(Ticket, Result<(), Reason>)> {
        let mut answers = Vec::new();
        while let Some((_, request)) = self.queue.front() {
            let is_late = request.deadline <= now;
            if !is_late && !self.fits(request) {
                break;
            }
            let Some((ticket, request)) = self.queue.pop_front() else { break };
            if is_late {
                answers.push((ticket, Err(Reason::Deadline)));
            } else {
                self.grant(ticket, request);
                answers.push((ticket, Ok(())));
            }
        }
        answers
    }

    fn observe(&mut self, _now: Instant, _observed: &Observed, _streams: u32) {}

    fn complete(&mut self, _now: Instant, ticket: Ticket, _outcome: Outcome) {
        if let Some(request) = self.granted.remove(&ticket) {
            self.kv -= request.cost.kv();
        }
        self.queue.retain(|(queued, _)| *queued != ticket);
    }

    fn set_accepting(&mut self, _now: Instant, accepting: bool) -> Vec<(Ticket, Reason)> {
        self.accepting = accepting;
        if accepting {
            return Vec::new();
        }
        self.queue.drain(..).map(|(ticket, _)| (ticket, Reason::NoTarget)).collect()
    }

    fn set_shares(&mut self, _shares: &[(hickory_unit::id::Partner, f64)]) {}

    fn state(&self) -> State {
        let requests = self.granted.values().chain(self.queue.iter().map(|(_, request)| request));
        State {
            queued_prefill: requests.map(|request| request.cost.prefill).sum(),
            queued_long: size::Tokens(0),
            kv_used: self.kv,
            prefill_rate: None,
            stream_limit: self.capacity.streams,
            running: self.granted.len() as u32,
            waiting: self.queue.len() as u32,
        }
    }

    fn priority(_lane: Lane) -> u8 {
        0
    }
}

/// Chooses targets in rotation.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

impl Place for RoundRobin {
    fn choose(&mut self, query: &Query, candidates: &[Candidate]) -> Option<usize> {
        let turns = (0..candidates.len()).map(|step| (self.next + step) % candidates.len());
        let chosen = turns.into_iter().find(|&i| candidates[i].kv_capacity >= query.cost.kv())?;
        self.next = chosen + 1;
        Some(chosen)
    }
}

/// No limit: every request is granted immediately.
#[derive(Clone, Debug)]
pub struct Unbounded {
    capacity: Capacity,
    running: BTreeMap<Ticket, PermitRequest>,
    reported: u32,
    accepting: bool,
    next: Ticket,
}

impl Limit for Unbounded {
    fn new(capacity: Capacity) -> Self {
        Self { capacity, running: BTreeMap::new(), reported: 0, accepting: true, next: 1 }
    }

    fn request_permit(&mut self, now: Instant, request: PermitRequest) -> Answer {
        if let Some(reason) = find_refusal(now, &request, self.accepting, self.capacity) {
            return Answer::Refused(reason, Duration::ZERO);
        }
        let ticket = self.next;
        self.next += 1;
        self.running.insert(ticket, request);
        Answer::Granted(ticket)
    }

    fn poll(&mut self, _now: Instant) -> Vec<(Ticket, Result<(), Reason>)> {
        Vec::new()
    }

    fn observe(&mut self, _now: Instant, _observed: &Observed, streams: u32) {
        self.reported = streams;
    }

    fn complete(&mut self, _now: Instant, ticket: Ticket, _outcome: Outcome) {
        self.running.remove(&ticket);
    }

    fn set_accepting(&mut self, _now: Instant, accepting: bool) -> Vec<(Ticket, Reason)> {
        self.accepting = accepting;
        Vec::new()
    }

    fn set_shares(&mut self, _shares: &[(hickory_unit::id::Partner, f64)]) {}

    fn state(&self) -> State {
        State { running: self.reported, stream_limit: self.capacity.streams, ..State::default() }
    }

    fn priority(_lane: Lane) -> u8 {
        0
    }
}

/// Chooses the target with the fewest streams, by its report and what this node has sent since.
#[derive(Clone, Copy, Debug, Default)]
pub struct LeastLoaded;

impl Place for LeastLoaded {
    fn choose(&mut self, query: &Query, candidates: &[Candidate]) -> Option<usize> {
        let capable = candidates.iter().enumerate();
        let capable = capable.filter(|(_, c)| c.kv_capacity >= query.cost.kv());
        let fewest = capable.min_by_key(|(_, c)| (c.running + c.waiting, c.hash ^ query.random));
        fewest.map(|(index, _)| index)
    }
}
