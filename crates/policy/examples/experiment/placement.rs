//! Requests that the fleet takes in: placed, sent to an engine, refused.

use crate::fleet::{Fleet, NODES, weights};
use crate::flight::{Flight, Record, stream_of};
use crate::load::Request;
use hickory_model::job::Job;
use hickory_policy::baseline::{Limit, Place};
use hickory_policy::limit::{Answer, Ask, Ticket};
use hickory_policy::place::{
    Candidate, MAX_IMMEDIATE_ASKS, Query, counts_as_ask, wants_immediate_answer,
};
use hickory_policy::refuse::Reason;
use hickory_target::engine::Priority;
use std::time::Duration;

/// Targets that a node asks for one attempt.
const ASKS: usize = 4;

impl<L: Limit, P: Place + Default> Fleet<L, P> {
    pub(crate) fn submit(&mut self, request: Request) {
        let index = self.flights.len();
        self.deadlines.insert((request.at + request.left, index));
        let record = Record { request, first: None, ended: None, refused: None, begun: false };
        self.flights.push(Flight {
            record,
            target: None,
            ticket: 0,
            attempt: 0,
            tried: Vec::new(),
            sent: Duration::ZERO,
            first: None,
        });
        self.place(index);
    }

    /// Chooses targets for a request until one takes it or queues it.
    pub(crate) fn place(&mut self, index: usize) {
        let mut reason = Reason::NoTarget;
        let (mut asked, mut full) = (0, Vec::new());
        while asked < ASKS {
            // Who was asked for an answer at once may queue the ask now.
            if asked >= MAX_IMMEDIATE_ASKS {
                full.clear();
            }
            let Some((target, at_once)) = self.choose(index, asked, &full) else { break };
            let now = self.now();
            let wanted = Ask { urgent: at_once, ..self.ask_of(index) };
            match self.targets[target].limit.ask(now, wanted) {
                Answer::Granted(ticket) => {
                    self.flights[index].tried.push(target);
                    self.targets[target].tickets.insert(ticket, index);
                    return self.send(index, target, ticket);
                }
                Answer::Queued(ticket) => {
                    self.flights[index].tried.push(target);
                    self.targets[target].tickets.insert(ticket, index);
                    let flight = &mut self.flights[index];
                    (flight.target, flight.ticket) = (Some(target), ticket);
                    return;
                }
                Answer::Refused(why, _) => {
                    reason = why;
                    asked += usize::from(counts_as_ask(why));
                    let list = if at_once && counts_as_ask(why) {
                        &mut full
                    } else {
                        &mut self.flights[index].tried
                    };
                    list.push(target);
                }
            }
        }
        self.refuse(index, reason);
    }

    fn choose(&mut self, index: usize, ask: usize, full: &[usize]) -> Option<(usize, bool)> {
        let flight = &self.flights[index];
        let node = &mut self.nodes[index % NODES];
        let able = |i: &usize| node.view[*i].1 && !flight.tried.contains(i) && !full.contains(i);
        let able: Vec<usize> = (0..node.view.len()).filter(able).collect();
        let candidates: Vec<Candidate> = able.iter().map(|&i| node.view[i].0.clone()).collect();
        if candidates.is_empty() {
            return None;
        }
        let request = &flight.record.request;
        let random = (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ ask as u64;
        let query = Query { cost: request.cost, class: request.class, prefix: None, random };
        let chosen = able[node.place.choose(&query, &candidates)?];
        let view = &mut node.view[chosen].0;
        view.queued_prefill += request.cost.prefill;
        if request.cost.is_long() {
            view.queued_long += request.cost.prefill;
        }
        view.kv_free = view.kv_free.saturating_sub(request.cost.kv());
        view.running += 1;
        Some((chosen, wants_immediate_answer(request.cost, ask, able.len())))
    }

    fn ask_of(&self, index: usize) -> Ask {
        let request = &self.flights[index].record.request;
        Ask {
            partner: request.partner.into(),
            account: format!("{}-{}", request.partner, index % 10).as_str().into(),
            class: request.class,
            cost: request.cost,
            deadline: self.start + request.at + request.left,
            alone: false,
            urgent: false,
        }
    }

    pub(crate) fn send(&mut self, index: usize, target: usize, ticket: Ticket) {
        let (now, passed) = (self.now(), self.passed());
        let lane = self.ask_of(index).lane();
        let flight = &mut self.flights[index];
        flight.record.begun = true;
        (flight.target, flight.ticket) = (Some(target), ticket);
        (flight.sent, flight.first) = (passed, None);
        let t = &mut self.targets[target];
        if let Some((zone, out)) = self.zone_out.filter(|&(zone, _)| zone == t.zone) {
            self.late_send = Some(passed - out);
            debug_assert_eq!(zone, t.zone);
        }
        let job = Job {
            stream: stream_of(index, flight.attempt),
            weights: weights(),
            prompt: flight.record.request.cost.prefill,
            blocks: Vec::new(),
            max_tokens: flight.record.request.cost.decode,
            priority: Priority(L::priority(lane)),
            import: None,
            keep_as: None,
            crashes_engine: false,
        };
        t.running.insert(index);
        // A refusal shows in the engine's state, which the next look finds.
        let _ = t.engine.begin(now, job);
    }

    pub(crate) fn refuse(&mut self, index: usize, reason: Reason) {
        let passed = self.passed();
        let record = &mut self.flights[index].record;
        record.refused = Some((reason, passed.saturating_sub(record.request.at)));
        self.deadlines.remove(&(record.request.at + record.request.left, index));
    }
}
