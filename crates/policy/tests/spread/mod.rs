//! Replays how a large configuration spreads from node to node, without
//! sockets: nodes with links of given rates, shared fairly, and the decisions
//! of `spread` or those of a fleet in which everybody asks at once.
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
use node::{Ask, Node};
use queue::{Event, Queue};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

/// Between two nodes, in one direction.
const LATENCY: Duration = Duration::from_millis(1);

/// Between two looks of a taker.
const LOOK: Duration = Duration::from_millis(50);

/// Where everybody asks at once, an answer is given up after this time in all.
const TIMEOUT: Duration = Duration::from_millis(700);

/// Between two beats by which nodes hear what others have: in small fleets and
/// in large ones.
const BEATS: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(500)];

/// Nodes of the largest small fleet.
const SMALL_NODES: usize = 16;

/// The bytes of an answer without a document.
pub const BUSY_BYTES: f64 = 300.0;

/// Replays end here, whoever has the document.
pub const END: Duration = Duration::from_secs(30);

/// A fleet in the middle of a replay.
pub struct Fleet {
    case: Case,
    policy: Policy,
    nodes: Vec<Node>,
    queue: Queue,
    random: StdRng,
    begin: Instant,
    now: Duration,
    asks: u64,
    busy: u64,
    widest: usize,
}

/// Replays a case.
pub fn play(case: &Case, policy: Policy, seed: u64) -> Outcome {
    let mut fleet = Fleet::open(case, policy, seed);
    while let Some((at, event)) = fleet.queue.pop() {
        if at > END || fleet.is_done() {
            break;
        }
        fleet.now = at;
        fleet.handle(event);
    }
    fleet.outcome()
}

impl Fleet {
    fn open(case: &Case, policy: Policy, seed: u64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let nodes = node::draw(case, &mut random);
        let mut queue = Queue::default();
        let beat = BEATS[usize::from(case.nodes > SMALL_NODES)];
        for node in 0..case.nodes {
            queue.push(LATENCY + LOOK.mul_f64(random.random()), Event::Look(node));
            queue.push(beat.mul_f64(random.random()), Event::Beat(node, beat));
        }
        for version in 1..=case.versions {
            queue.push(case.pause * (version - 1), Event::Write(version));
        }
        fault::foretell(case, &mut queue);
        let (begin, now) = (Instant::now(), Duration::ZERO);
        let case = *case;
        Self { case, policy, nodes, queue, random, begin, now, asks: 0, busy: 0, widest: 0 }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Write(version) => self.write(version),
            Event::Word { from, version } => self.hear(from, version),
            Event::Beat(node, beat) => self.beat(node, beat),
            Event::Look(node) => {
                self.queue.push(self.now + LOOK, Event::Look(node));
                self.seek(node);
            }
            Event::Wake(node) => self.seek(node),
            Event::Request { giver, taker, number } => self.answer(giver, taker, number),
            Event::Refusal { taker, number, wait, named } => {
                self.turn_away(taker, number, wait, &named);
            }
            Event::Sent { giver, generation } => self.send(giver, generation),
            Event::Whole { taker, number, version } => self.take(taker, number, version),
            Event::Silence { taker, number } => self.give_up(taker, number),
            Event::Die => self.die(),
            Event::Cut(is_cut) => self.cut(is_cut),
            Event::Resume(node) => self.resume(node),
        }
    }

    /// The first nodes hear a configuration from the store, and tell all.
    fn write(&mut self, version: u32) {
        for node in 0..self.case.first {
            if self.nodes[node].alive {
                self.nodes[node].own(version, self.now);
                self.queue.push(self.now + LATENCY, Event::Word { from: node, version });
            }
        }
    }

    fn hear(&mut self, from: usize, version: u32) {
        for node in 0..self.nodes.len() {
            if node != from && self.reaches(from, node) {
                self.nodes[node].hear(from, version);
            }
        }
    }

    fn beat(&mut self, node: usize, beat: Duration) {
        if self.nodes[node].alive {
            self.queue.push(self.now + beat, Event::Beat(node, beat));
            let version = self.nodes[node].has;
            if version > 0 {
                self.queue.push(self.now + LATENCY, Event::Word { from: node, version });
            }
        }
    }

    /// A node that is behind asks somebody, if it isn't asking.
    fn seek(&mut self, me: usize) {
        let node = &mut self.nodes[me];
        if !node.alive || node.ask.is_some() || node.has >= node.want {
            return;
        }
        let (heard, random) = (node.heard(), self.random.random::<f64>());
        if self.policy == Policy::AtOnce {
            let place = (random * heard.len() as f64) as usize;
            if let Some(giver) = heard.get(place) {
                self.ask(*giver, me);
            }
            return;
        }
        match node.givers.choose(self.begin + self.now, &heard, random) {
            Choice::Fetch(giver) => self.ask(giver, me),
            Choice::Wait(wait) if node.wake <= self.now && wait < LOOK => {
                node.wake = self.now + wait;
                self.queue.push(node.wake, Event::Wake(me));
            }
            Choice::Wait(_) | Choice::NoSource => {}
        }
    }

    fn ask(&mut self, giver: usize, taker: usize) {
        self.asks += 1;
        let number = self.asks;
        self.nodes[taker].ask = Some(Ask { giver, number, last: self.now });
        self.queue.push(self.now + LATENCY, Event::Request { giver, taker, number });
        let patience = self.patience(taker, giver);
        self.queue.push(self.now + patience, Event::Silence { taker, number });
    }

    /// How long a taker waits for an answer to begin, or for all of it.
    fn patience(&self, taker: usize, giver: usize) -> Duration {
        match self.policy {
            Policy::AtOnce => TIMEOUT,
            Policy::ByTurns => {
                let node = &self.nodes[taker];
                node.givers.response_timeout(giver, &node.heard())
            }
        }
    }

    /// A giver meets a request.
    fn answer(&mut self, giver: usize, taker: usize, number: u64) {
        let version = self.nodes[giver].has;
        if !self.reaches(taker, giver) || !self.nodes[taker].asks(number) {
            return;
        }
        if version <= self.nodes[taker].has {
            return self.refuse(giver, taker, number, None);
        }
        let left = self.case.size as f64 - self.nodes[taker].kept(version);
        let mut ticket = None;
        if self.policy == Policy::ByTurns {
            match self.admit(giver, left) {
                Ok(taken) => ticket = Some(taken),
                Err(busy) => return self.refuse(giver, taker, number, Some(busy)),
            }
        }
        self.stop(taker);
        let silent = self.nodes[taker].stopped.then_some(self.now);
        let down = self.nodes[taker].link.rate;
        let answer = Answer { taker, number, version, left, down, silent, ticket };
        self.nodes[giver].link.add(self.now, answer);
        self.widest = self.widest.max(self.nodes[giver].link.answers.len());
        self.foretell(giver);
    }

    /// Asks a giver's meter, which knows what its link has taken.
    fn admit(&mut self, giver: usize, left: f64) -> Result<Ticket, Busy> {
        let (now, node) = (self.begin + self.now, &mut self.nodes[giver]);
        node.link.run(self.now);
        for answer in &node.link.answers {
            if let Some(ticket) = answer.ticket {
                node.meter.record_remaining(now, ticket, Bytes(answer.left.ceil() as u64));
            }
        }
        node.meter.admit(now, Bytes(left.ceil() as u64), BytesPerSecond(node.link.rate))
    }

    /// Sends an answer without a document: busy, or that there is nothing new.
    fn refuse(&mut self, giver: usize, taker: usize, number: u64, busy: Option<Busy>) {
        self.busy += 1;
        let node = &mut self.nodes[giver];
        let mut named = node.given.recent(self.begin + self.now);
        named.retain(|other| *other != taker);
        let after = node.link.add_short(self.now, BUSY_BYTES);
        let wait = busy.map(|busy| busy.wait);
        let refusal = Event::Refusal { taker, number, wait, named };
        self.queue.push(self.now + after + LATENCY, refusal);
        self.foretell(giver);
    }

    fn turn_away(&mut self, me: usize, number: u64, wait: Option<Duration>, named: &[usize]) {
        let (now, random) = (self.begin + self.now, self.random.random());
        let node = &mut self.nodes[me];
        let Some(ask) = node.ask.take_if(|ask| ask.number == number) else { return };
        match wait {
            Some(wait) => node.givers.record_busy(now, ask.giver, Busy { wait }, named, random),
            None => node.givers.record_failure(now, ask.giver),
        }
        self.seek(me);
    }

    /// A link has sent an answer, unless something changed since that was foretold.
    fn send(&mut self, giver: usize, generation: u64) {
        if self.nodes[giver].link.generation != generation {
            return;
        }
        for answer in self.nodes[giver].link.remove_sent(self.now) {
            let Answer { taker, number, version, ticket, .. } = answer;
            let node = &mut self.nodes[giver];
            if let Some(ticket) = ticket {
                node.meter.finish(ticket);
            }
            if node.has == version {
                node.given.record(self.begin + self.now, taker);
            }
            if let Some(ask) = self.nodes[taker].ask.as_mut().filter(|ask| ask.number == number) {
                ask.last = self.now;
            }
            self.queue.push(self.now + LATENCY, Event::Whole { taker, number, version });
        }
        self.foretell(giver);
    }

    fn foretell(&mut self, giver: usize) {
        let link = &self.nodes[giver].link;
        if let Some(end) = link.next_end() {
            self.queue.push(end, Event::Sent { giver, generation: link.generation });
        }
    }

    fn take(&mut self, taker: usize, number: u64, version: u32) {
        let node = &mut self.nodes[taker];
        if node.alive && node.ask.take_if(|ask| ask.number == number).is_some() {
            node.own(version, self.now);
        }
    }

    /// The time of an ask is over, or no byte has come for that long.
    fn give_up(&mut self, taker: usize, number: u64) {
        let Some(ask) = self.nodes[taker].ask.filter(|ask| ask.number == number) else { return };
        let link = &mut self.nodes[ask.giver].link;
        let answer = link.answers.iter().find(|answer| answer.number == number);
        if self.policy == Policy::ByTurns {
            let until = match answer {
                Some(answer) => answer.silent.unwrap_or(self.now) + MAX_SILENCE,
                None => ask.last + self.patience(taker, ask.giver),
            };
            if self.now < until {
                self.queue.push(until, Event::Silence { taker, number });
                return;
            }
        }
        let link = &mut self.nodes[ask.giver].link;
        let answer = link.remove(self.now, number);
        if let Some(ticket) = answer.as_ref().and_then(|answer| answer.ticket) {
            self.nodes[ask.giver].meter.finish(ticket);
        }
        self.foretell(ask.giver);
        let node = &mut self.nodes[taker];
        node.ask = None;
        if self.policy == Policy::ByTurns {
            node.givers.record_failure(self.begin + self.now, ask.giver);
            if let Some(answer) = answer {
                node.pieces = (answer.version, self.case.size as f64 - answer.left);
            }
            self.seek(taker);
        }
    }

    fn is_done(&self) -> bool {
        self.nodes.iter().all(|node| !node.alive || node.has == self.case.versions)
    }

    fn outcome(self) -> Outcome {
        let takers = || self.nodes[self.case.first..].iter().filter(|node| node.alive);
        let times = |spared: bool| {
            let counted = takers().filter(|node| node.spared || !spared);
            let had = counted.filter(|node| node.has == self.case.versions);
            let mut times: Vec<Duration> = had.map(|node| node.had).collect();
            times.sort();
            times
        };
        Outcome {
            times: times(false),
            spared: times(true),
            takers: takers().count(),
            spared_takers: takers().filter(|node| node.spared).count(),
            bytes: self.nodes.iter().map(|node| node.link.sent).sum(),
            busy: self.busy,
            widest: self.widest,
        }
    }
}
