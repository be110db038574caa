//! The limit that a target's owner keeps on it.
//!
//! First slice: a bound on streams and KV memory with a first-in, first-out
//! queue; fair shares, the ramp after a start and headroom come next.

use crate::cost::{Class, Cost};
use crate::refuse::Reason;
use hickory_unit::{id, size};
use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant};

/// What a target bears.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Streams (or calls) at once.
    pub streams: u32,
    /// KV cache.
    pub kv: size::Tokens,
    /// Prompt tokens a second.
    pub prefill_rate: u64,
}

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The partner whose share pays.
    pub partner: id::Partner,
    /// The account.
    pub account: id::Account,
    /// Who waits.
    pub class: Class,
    /// What it weighs.
    pub cost: Cost,
    /// When the request must have ended.
    pub deadline: Instant,
    /// Runs beside no other request.
    pub alone: bool,
    /// Answer at once, never queue.
    pub urgent: bool,
}

/// Names an ask or the permit it became.
pub type Ticket = u64;

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Send now.
    Granted(Ticket),
    /// Wait; [`Limiter::poll`] will name the ticket.
    Queued(Ticket),
    /// Never here; come back after the time given.
    Refused(Reason, Duration),
}

/// The permits and the queue of one target.
#[derive(Debug)]
pub struct Limiter {
    capacity: Capacity,
    granted: BTreeMap<Ticket, Ask>,
    queue: VecDeque<(Ticket, Ask)>,
    next: Ticket,
}

impl Limiter {
    /// A limiter with nothing granted.
    pub fn open(capacity: Capacity) -> Self {
        Self { capacity, granted: BTreeMap::new(), queue: VecDeque::new(), next: 1 }
    }

    /// Asks for a permit.
    pub fn ask(&mut self, now: Instant, ask: Ask) -> Answer {
        if ask.deadline <= now {
            return Answer::Refused(Reason::Deadline, Duration::ZERO);
        }
        if ask.cost.kv() > self.capacity.kv {
            return Answer::Refused(Reason::TooLong, Duration::ZERO);
        }
        let ticket = self.next;
        self.next += 1;
        if self.queue.is_empty() && self.fits(&ask) {
            self.granted.insert(ticket, ask);
            return Answer::Granted(ticket);
        }
        self.queue.push_back((ticket, ask));
        Answer::Queued(ticket)
    }

    /// Grants what fits now, and gives up on what can't be in time.
    pub fn poll(&mut self, now: Instant) -> Vec<(Ticket, Result<(), Reason>)> {
        let mut answers = Vec::new();
        while let Some((_, ask)) = self.queue.front() {
            let late = ask.deadline <= now;
            if !late && !self.fits(ask) {
                break;
            }
            if let Some((ticket, ask)) = self.queue.pop_front() {
                let answer = if late { Err(Reason::Deadline) } else { Ok(()) };
                answers.push((ticket, answer));
                if !late {
                    self.granted.insert(ticket, ask);
                }
            }
        }
        answers
    }

    /// Takes back a permit, or takes an ask out of the queue.
    pub fn finish(&mut self, ticket: Ticket) {
        self.granted.remove(&ticket);
        self.queue.retain(|(queued, _)| *queued != ticket);
    }

    /// Streams granted.
    pub fn running(&self) -> usize {
        self.granted.len()
    }

    /// Asks that wait.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// KV cache granted.
    pub fn kv_granted(&self) -> size::Tokens {
        self.granted.values().map(|ask| ask.cost.kv()).sum()
    }

    /// Prompt tokens granted or queued.
    pub fn prefill_queued(&self) -> size::Tokens {
        let queued = self.queue.iter().map(|(_, ask)| ask);
        self.granted.values().chain(queued).map(|ask| ask.cost.prefill).sum()
    }

    fn fits(&self, ask: &Ask) -> bool {
        self.granted.len() < self.capacity.streams as usize
            && self.kv_granted() + ask.cost.kv() <= self.capacity.kv
    }
}
