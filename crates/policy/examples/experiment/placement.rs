//! Placement of requests: choosing a target, sending to its engine, or refusing.

use crate::fleet::{Fleet, NODES, weights};
use crate::flight::{Flight, Record, stream_id};
use crate::load::Request;
use hickory_model::job::Job;
use hickory_policy::baseline::{Limit, Place};
use hickory_policy::limit::{Answer, PermitRequest, Ticket};
use hickory_policy::place::{
    Candidate, MAX_IMMEDIATE_REQUESTS, Query, counts_as_request, wants_immediate_answer,
};
use hickory_policy::refuse::Reason;
use hickory_target::engine::Priority;
use std::time::Duration;

/// Maximum number of targets asked for a permit per attempt.
const MAX_PERMIT_REQUESTS: usize = 4;

impl<L: Limit, P: Place + Default> Fleet<L, P> {
    pub(crate) fn submit(&mut self, request: Request) {
        let index = self.flights.len();
        self.deadlines.insert((request.at + request.time_left, index));
        let record = Record {
            request,
            first_token: None,
            ended_after: None,
            refusal: None,
            was_sent: false,
        };
        self.flights.push(Flight {
            record,
            target: None,
            ticket: 0,
            attempt: 0,
            tried_targets: Vec::new(),
            sent: Duration::ZERO,
            first_token: None,
        });
        self.place(index);
    }

    /// Requests permits from chosen targets until one grants or queues the request.
    pub(crate) fn place(&mut self, index: usize) {
        let mut reason = Reason::NoTarget;
        let (mut requests, mut full) = (0, Vec::new());
        while requests < MAX_PERMIT_REQUESTS {
            // Targets that refused an urgent request may queue it now.
            if requests >= MAX_IMMEDIATE_REQUESTS {
                full.clear();
            }
            let Some((target, is_urgent)) = self.choose(index, requests, &full) else { break };
            let now = self.now();
            let permit_request = PermitRequest { is_urgent, ..self.permit_request(index) };
            match self.targets[target].limit.request_permit(now, permit_request) {
                Answer::Granted(ticket) => {
                    self.flights[index].tried_targets.push(target);
                    self.targets[target].tickets.insert(ticket, index);
                    return self.send(index, target, ticket);
                }
                Answer::Queued(ticket) => {
                    self.flights[index].tried_targets.push(target);
                    self.targets[target].tickets.insert(ticket, index);
                    let flight = &mut self.flights[index];
                    (flight.target, flight.ticket) = (Some(target), ticket);
                    return;
                }
                Answer::Refused(refusal, _) => {
                    reason = refusal;
                    requests += usize::from(counts_as_request(refusal));
                    let list = if is_urgent && counts_as_request(refusal) {
                        &mut full
                    } else {
                        &mut self.flights[index].tried_targets
                    };
                    list.push(target);
                }
            }
        }
        self.refuse(index, reason);
    }

    fn choose(
        &mut self,
        index: usize,
        request_number: usize,
        full: &[usize],
    ) -> Option<(usize, bool)> {
        let flight = &self.flights[index];
        let node = &mut self.nodes[index % NODES];
        let usable =
            |i: &usize| node.view[*i].1 && !flight.tried_targets.contains(i) && !full.contains(i);
        let usable: Vec<usize> = (0..node.view.len()).filter(usable).collect();
        let candidates: Vec<Candidate> = usable.iter().map(|&i| node.view[i].0.clone()).collect();
        if candidates.is_empty() {
            return None;
        }
        let request = &flight.record.request;
        let random = (index as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ request_number as u64;
        let query = Query { cost: request.cost, class: request.class, prefix: None, random };
        let chosen = usable[node.place.choose(&query, &candidates)?];
        let view = &mut node.view[chosen].0;
        view.queued_prefill += request.cost.prefill;
        if request.cost.is_long() {
            view.queued_long += request.cost.prefill;
        }
        view.kv_free = view.kv_free.saturating_sub(request.cost.kv());
        view.running += 1;
        Some((chosen, wants_immediate_answer(request.cost, request_number, usable.len())))
    }

    fn permit_request(&self, index: usize) -> PermitRequest {
        let request = &self.flights[index].record.request;
        PermitRequest {
            partner: request.partner.into(),
            account: format!("{}-{}", request.partner, index % 10).as_str().into(),
            class: request.class,
            cost: request.cost,
            deadline: self.start + request.at + request.time_left,
            is_exclusive: false,
            is_urgent: false,
        }
    }

    pub(crate) fn send(&mut self, index: usize, target: usize, ticket: Ticket) {
        let (now, elapsed) = (self.now(), self.elapsed());
        let lane = self.permit_request(index).lane();
        let flight = &mut self.flights[index];
        flight.record.was_sent = true;
        (flight.target, flight.ticket) = (Some(target), ticket);
        (flight.sent, flight.first_token) = (elapsed, None);
        let t = &mut self.targets[target];
        if let Some((zone, out)) = self.out_zone.filter(|&(zone, _)| zone == t.zone) {
            self.late_send = Some(elapsed - out);
            debug_assert_eq!(zone, t.zone);
        }
        let job = Job {
            stream: stream_id(index, flight.attempt),
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
        // A refusal shows in the engine's state, which is read in the next step.
        let _ = t.engine.begin(now, job);
    }

    pub(crate) fn refuse(&mut self, index: usize, reason: Reason) {
        let elapsed = self.elapsed();
        let record = &mut self.flights[index].record;
        record.refusal = Some((reason, elapsed.saturating_sub(record.request.at)));
        self.deadlines.remove(&(record.request.at + record.request.time_left, index));
    }
}
