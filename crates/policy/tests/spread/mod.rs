//! Replays the distribution of a large configuration between nodes, without sockets: nodes have
//! links of given rates that answers share equally, and follow either the rules of `spread` or a
//! policy without limits.
#![allow(dead_code, reason = "each test binary uses a part")]

pub mod case;
mod fault;
mod link;
mod node;
mod queue;

use case::{Case, Outcome, Policy};
use hickory_policy::spread::{Busy, Choice, MAX_SILENCE, Ticket};
use hickory_unit::rate::BytesPerSecond;
use hickory_unit::size::Bytes;
use link::Answer;
use node::{Node, Request};
use queue::{Event, Queue};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// One-way delay between two nodes.
const LATENCY: Duration = Duration::from_millis(1);

/// Interval between two polls of a requester.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout for a complete answer without limits.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Interval between two announcements of a node's version, in small and in large fleets.
const GOSSIP_INTERVALS: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(500)];

/// Number of nodes of the largest small fleet.
const MAX_SMALL_FLEET_NODES: usize = 16;

/// Size in bytes of an answer without a document.
pub const BUSY_ANSWER_BYTES: f64 = 300.0;

/// Replays end at this time even if nodes lack the document.
pub const MAX_REPLAY_TIME: Duration = Duration::from_secs(30);

/// A fleet during a replay.
pub struct Fleet {
    case: Case,
    policy: Policy,
    nodes: Vec<Node>,
    queue: Queue,
    random: StdRng,
    begin: Instant,
    now: Duration,
    requests: u64,
    busy: u64,
    max_answers_per_link: usize,
}

/// Replays a case.
pub fn play(case: &Case, policy: Policy, seed: u64) -> Outcome {
    let mut fleet = Fleet::new(case, policy, seed);
    while let Some((at, event)) = fleet.queue.pop() {
        if at > MAX_REPLAY_TIME || fleet.is_done() {
            break;
        }
        fleet.now = at;
        fleet.handle(event);
    }
    fleet.outcome()
}

impl Fleet {
    fn new(case: &Case, policy: Policy, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let nodes = node::draw(case, &mut random);
        let mut queue = Queue::default();
        let interval = GOSSIP_INTERVALS[usize::from(case.nodes > MAX_SMALL_FLEET_NODES)];
        for node in 0..case.nodes {
            queue.push(LATENCY + POLL_INTERVAL.mul_f64(random.random()), Event::Poll(node));
            queue.push(interval.mul_f64(random.random()), Event::Gossip(node, interval));
        }
        for version in 1..=case.versions {
            queue.push(case.write_interval * (version - 1), Event::Publish(version));
        }
        fault::schedule_faults(case, &mut queue);
        let (begin, now) = (Instant::now(), Duration::ZERO);
        let case = *case;
        Self {
            case,
            policy,
            nodes,
            queue,
            random,
            begin,
            now,
            requests: 0,
            busy: 0,
            max_answers_per_link: 0,
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Publish(version) => self.publish(version),
            Event::Announcement { from, version } => self.receive_announcement(from, version),
            Event::Gossip(node, interval) => self.gossip(node, interval),
            Event::Poll(node) => {
                self.queue.push(self.now + POLL_INTERVAL, Event::Poll(node));
                self.fetch_if_behind(node);
            }
            Event::PollEarly(node) => self.fetch_if_behind(node),
            Event::Request { source, requester, number } => {
                self.handle_request(source, requester, number)
            }
            Event::Rejection { requester, number, wait, referrals } => {
                self.handle_rejection(requester, number, wait, &referrals);
            }
            Event::Sent { source, generation } => self.handle_sent(source, generation),
            Event::Received { requester, number, version } => {
                self.handle_received(requester, number, version)
            }
            Event::Timeout { requester, number } => self.handle_timeout(requester, number),
            Event::Die => self.die(),
            Event::Cut(is_cut) => self.cut(is_cut),
            Event::ResumeReading(node) => self.resume_reading(node),
        }
    }

    /// The initial holders receive a configuration from the store and announce it.
    fn publish(&mut self, version: u32) {
        for node in 0..self.case.initial_holders {
            if self.nodes[node].is_alive {
                self.nodes[node].store_version(version, self.now);
                self.queue.push(self.now + LATENCY, Event::Announcement { from: node, version });
            }
        }
    }

    fn receive_announcement(&mut self, from: usize, version: u32) {
        for node in 0..self.nodes.len() {
            if node != from && self.can_reach(from, node) {
                self.nodes[node].note_version(from, version);
            }
        }
    }

    fn gossip(&mut self, node: usize, interval: Duration) {
        if self.nodes[node].is_alive {
            self.queue.push(self.now + interval, Event::Gossip(node, interval));
            let version = self.nodes[node].version;
            if version > 0 {
                self.queue.push(self.now + LATENCY, Event::Announcement { from: node, version });
            }
        }
    }

    /// A node that is behind requests the document, unless a request is pending.
    fn fetch_if_behind(&mut self, me: usize) {
        let node = &mut self.nodes[me];
        if !node.is_alive || node.request.is_some() || node.version >= node.wanted_version {
            return;
        }
        let (holders, random) = (node.holders(), self.random.random::<f64>());
        if self.policy == Policy::Unlimited {
            let index = (random * holders.len() as f64) as usize;
            if let Some(source) = holders.get(index) {
                self.request(*source, me);
            }
            return;
        }
        match node.sources.choose(self.begin + self.now, &holders, random) {
            Choice::Fetch(source) => self.request(source, me),
            Choice::Wait(wait) if node.next_poll <= self.now && wait < POLL_INTERVAL => {
                node.next_poll = self.now + wait;
                self.queue.push(node.next_poll, Event::PollEarly(me));
            }
            Choice::Wait(_) | Choice::NoSource => {}
        }
    }

    fn request(&mut self, source: usize, requester: usize) {
        self.requests += 1;
        let number = self.requests;
        self.nodes[requester].request = Some(Request { source, number, last: self.now });
        self.queue.push(self.now + LATENCY, Event::Request { source, requester, number });
        let timeout = self.timeout(requester, source);
        self.queue.push(self.now + timeout, Event::Timeout { requester, number });
    }

    /// Returns how long a requester waits for the beginning of an answer, or, without limits, for
    /// all of it.
    fn timeout(&self, requester: usize, source: usize) -> Duration {
        match self.policy {
            Policy::Unlimited => TIMEOUT,
            Policy::Metered => {
                let node = &self.nodes[requester];
                node.sources.response_timeout(source, &node.holders())
            }
        }
    }

    /// A source processes a request.
    fn handle_request(&mut self, source: usize, requester: usize, number: u64) {
        let version = self.nodes[source].version;
        if !self.can_reach(requester, source) || !self.nodes[requester].awaits(number) {
            return;
        }
        if version <= self.nodes[requester].version {
            return self.reject(source, requester, number, None);
        }
        let remaining = self.case.size as f64 - self.nodes[requester].partial_bytes(version);
        let mut ticket = None;
        if self.policy == Policy::Metered {
            match self.admit(source, remaining) {
                Ok(admitted) => ticket = Some(admitted),
                Err(busy) => return self.reject(source, requester, number, Some(busy)),
            }
        }
        self.stop_reading(requester);
        let silent_since = self.nodes[requester].has_stopped_reading.then_some(self.now);
        let down_rate = self.nodes[requester].link.rate;
        let answer =
            Answer { requester, number, version, remaining, down_rate, silent_since, ticket };
        self.nodes[source].link.add(self.now, answer);
        self.max_answers_per_link =
            self.max_answers_per_link.max(self.nodes[source].link.answers.len());
        self.schedule_next_end(source);
    }

    /// Asks the upload meter of a source, after it has recorded what the link has sent.
    fn admit(&mut self, source: usize, remaining: f64) -> Result<Ticket, Busy> {
        let (now, node) = (self.begin + self.now, &mut self.nodes[source]);
        node.link.run(self.now);
        for answer in &node.link.answers {
            if let Some(ticket) = answer.ticket {
                node.meter.record_remaining(now, ticket, Bytes(answer.remaining.ceil() as u64));
            }
        }
        node.meter.admit(now, Bytes(remaining.ceil() as u64), BytesPerSecond(node.link.rate))
    }

    /// Sends an answer without a document: the source is busy or has no newer version.
    fn reject(&mut self, source: usize, requester: usize, number: u64, busy: Option<Busy>) {
        self.busy += 1;
        let node = &mut self.nodes[source];
        let mut referrals = node.recipients.recent(self.begin + self.now);
        referrals.retain(|other| *other != requester);
        let after = node.link.add_short(self.now, BUSY_ANSWER_BYTES);
        let wait = busy.map(|busy| busy.wait);
        let rejection = Event::Rejection { requester, number, wait, referrals };
        self.queue.push(self.now + after + LATENCY, rejection);
        self.schedule_next_end(source);
    }

    fn handle_rejection(
        &mut self,
        me: usize,
        number: u64,
        wait: Option<Duration>,
        referrals: &[usize],
    ) {
        let (now, random) = (self.begin + self.now, self.random.random());
        let node = &mut self.nodes[me];
        let Some(request) = node.request.take_if(|r| r.number == number) else { return };
        match wait {
            Some(wait) => {
                node.sources.record_busy(now, request.source, Busy { wait }, referrals, random)
            }
            None => node.sources.record_failure(now, request.source),
        }
        self.fetch_if_behind(me);
    }

    /// Completes the answers that a link has sent, unless the schedule has changed since.
    fn handle_sent(&mut self, source: usize, generation: u64) {
        if self.nodes[source].link.generation != generation {
            return;
        }
        for answer in self.nodes[source].link.remove_sent(self.now) {
            let Answer { requester, number, version, ticket, .. } = answer;
            let node = &mut self.nodes[source];
            if let Some(ticket) = ticket {
                node.meter.finish(ticket);
            }
            if node.version == version {
                node.recipients.record(self.begin + self.now, requester);
            }
            if let Some(request) =
                self.nodes[requester].request.as_mut().filter(|request| request.number == number)
            {
                request.last = self.now;
            }
            self.queue.push(self.now + LATENCY, Event::Received { requester, number, version });
        }
        self.schedule_next_end(source);
    }

    fn schedule_next_end(&mut self, source: usize) {
        let link = &self.nodes[source].link;
        if let Some(end) = link.next_end() {
            self.queue.push(end, Event::Sent { source, generation: link.generation });
        }
    }

    fn handle_received(&mut self, requester: usize, number: u64, version: u32) {
        let node = &mut self.nodes[requester];
        if node.is_alive && node.request.take_if(|request| request.number == number).is_some() {
            node.store_version(version, self.now);
        }
    }

    /// Gives up a request after its timeout, or if no byte has arrived for that long.
    fn handle_timeout(&mut self, me: usize, number: u64) {
        let Some(request) = self.nodes[me].request.filter(|r| r.number == number) else { return };
        let link = &mut self.nodes[request.source].link;
        let answer = link.answers.iter().find(|answer| answer.number == number);
        if self.policy == Policy::Metered {
            let until = match answer {
                Some(answer) => answer.silent_since.unwrap_or(self.now) + MAX_SILENCE,
                None => request.last + self.timeout(me, request.source),
            };
            if self.now < until {
                self.queue.push(until, Event::Timeout { requester: me, number });
                return;
            }
        }
        let link = &mut self.nodes[request.source].link;
        let answer = link.remove(self.now, number);
        if let Some(ticket) = answer.as_ref().and_then(|answer| answer.ticket) {
            self.nodes[request.source].meter.finish(ticket);
        }
        self.schedule_next_end(request.source);
        let node = &mut self.nodes[me];
        node.request = None;
        if self.policy == Policy::Metered {
            node.sources.record_failure(self.begin + self.now, request.source);
            if let Some(answer) = answer {
                node.partial = (answer.version, self.case.size as f64 - answer.remaining);
            }
            self.fetch_if_behind(me);
        }
    }

    fn is_done(&self) -> bool {
        self.nodes.iter().all(|node| !node.is_alive || node.version == self.case.versions)
    }

    fn outcome(self) -> Outcome {
        let requesters =
            || self.nodes[self.case.initial_holders..].iter().filter(|node| node.is_alive);
        let times = |only_unaffected: bool| {
            let counted = requesters().filter(|node| node.is_unaffected || !only_unaffected);
            let completed = counted.filter(|node| node.version == self.case.versions);
            let mut times: Vec<Duration> = completed.map(|node| node.completed_at).collect();
            times.sort();
            times
        };
        Outcome {
            completion_times: times(false),
            unaffected_times: times(true),
            requesters: requesters().count(),
            unaffected_requesters: requesters().filter(|node| node.is_unaffected).count(),
            bytes_sent: self.nodes.iter().map(|node| node.link.sent).sum(),
            busy_answers: self.busy,
            max_answers_per_link: self.max_answers_per_link,
        }
    }
}
