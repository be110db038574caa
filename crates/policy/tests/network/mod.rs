//! A simulated network of nodes that keep their tables of members.

use hickory_policy::gossip::{Message, Outgoing};
use hickory_policy::member::{Capacity, Contact, Record, State};
use hickory_policy::membership::{Membership, TICK_INTERVAL};
use hickory_unit::id;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// The time between news and its being pushed.
const GATHER: Duration = Duration::from_millis(10);

/// One way between two nodes.
const DELAY: std::ops::Range<f64> = 0.0002..0.003;

/// The nodes that the others know at their start.
const SEEDS: usize = 3;

#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Push(usize),
    Deliver(usize),
}

struct Letter {
    to: usize,
    from: usize,
    message: Message,
}

struct Node {
    membership: Membership,
    is_running: bool,
    /// What it does is put off until then.
    held_until: Duration,
    is_push_due: bool,
    starts: u64,
}

pub struct Network {
    origin: Instant,
    pub now: Duration,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    letters: Vec<Option<Letter>>,
    count: u64,
    random: StdRng,
    /// Part of the datagrams that is lost.
    pub loss: f64,
    /// Nodes below this number and the others don't reach each other.
    pub cut: usize,
    /// Datagrams that were sent.
    pub sent: u64,
    /// Records in them.
    pub records: u64,
}

fn name(node: usize) -> id::Node {
    format!("node-{node:04}").as_str().into()
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + node as u32), 7_340))
}

fn number(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => unreachable!("nodes have addresses of version 4"),
    }
}

impl Network {
    /// Nodes that start within 0.3 s of each other.
    pub fn start(nodes: usize, seed: u64) -> Self {
        let origin = Instant::now() + Duration::from_secs(3_600);
        let mut network = Self {
            origin,
            now: Duration::ZERO,
            nodes: Vec::new(),
            events: BinaryHeap::new(),
            letters: Vec::new(),
            count: 0,
            random: StdRng::seed_from_u64(seed),
            loss: 0.0,
            cut: 0,
            sent: 0,
            records: 0,
        };
        for node in 0..nodes {
            let membership = network.open(node, 1);
            let held_until = Duration::ZERO;
            let node =
                Node { membership, is_running: true, held_until, is_push_due: false, starts: 1 };
            network.nodes.push(node);
        }
        for node in 0..nodes {
            let at = Duration::from_millis(network.random.random_range(0..300));
            network.schedule(at, Event::Tick(node));
        }
        network
    }

    fn open(&mut self, node: usize, incarnation: u64) -> Membership {
        let at = address(node);
        let contact = Contact {
            peer_address: at,
            caller_address: at,
            sync_address: at,
            is_ready: true,
            is_synced: false,
            is_store_unreachable: false,
            capacity: Capacity(1),
        };
        let (version, state) = (0, State::Alive);
        let incarnation = id::Incarnation(incarnation);
        let own = Record { node: name(node), incarnation, version, state, contact };
        let seeds = (0..SEEDS).map(address).collect();
        Membership::new(self.origin + self.now, own, seeds, self.random.random())
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.count += 1;
        self.events.push(Reverse((at, self.count, event)));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_running = false;
    }

    /// Starts a node anew whose clock is off by some time since its last start.
    pub fn restart(&mut self, node: usize, incarnation: u64) {
        self.nodes[node].membership = self.open(node, incarnation);
        self.nodes[node].is_running = true;
        self.nodes[node].starts += 1;
        self.schedule(self.now, Event::Tick(node));
    }

    /// Suspends a node; what it is sent meanwhile waits.
    pub fn suspend(&mut self, node: usize, time: Duration) {
        self.nodes[node].held_until = self.now + time;
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.play(event);
        }
        self.now = end;
    }

    fn play(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node) | Event::Push(node) => *node,
            Event::Deliver(letter) => self.letters[*letter].as_ref().map_or(0, |letter| letter.to),
        };
        if self.nodes[node].held_until > self.now {
            self.schedule(self.nodes[node].held_until, event);
            return;
        }
        if !self.nodes[node].is_running {
            return;
        }
        let now = self.origin + self.now;
        let out = match event {
            Event::Tick(node) => {
                self.schedule(self.now + TICK_INTERVAL, Event::Tick(node));
                self.nodes[node].membership.tick(now)
            }
            Event::Push(node) => {
                self.nodes[node].is_push_due = false;
                self.nodes[node].membership.push_news()
            }
            Event::Deliver(letter) => {
                let Some(Letter { to, from, message }) = self.letters[letter].take() else {
                    return;
                };
                self.nodes[to].membership.receive(now, &name(from), address(from), message)
            }
        };
        self.send(node, out);
        if self.nodes[node].membership.has_unsent_news() && !self.nodes[node].is_push_due {
            self.nodes[node].is_push_due = true;
            self.schedule(self.now + GATHER, Event::Push(node));
        }
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for (to, message) in out {
            self.sent += 1;
            self.records += count_records(&message);
            let to = number(to);
            if to >= self.nodes.len() || (to < self.cut) != (from < self.cut) {
                continue;
            }
            if self.random.random_bool(self.loss) {
                continue;
            }
            let delay = Duration::from_secs_f64(self.random.random_range(DELAY));
            self.letters.push(Some(Letter { to, from, message }));
            self.schedule(self.now + delay, Event::Deliver(self.letters.len() - 1));
        }
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_running)
    }

    /// Pairs of running nodes of which the first doesn't hold the second for alive.
    pub fn unknown(&self) -> usize {
        let running = self.running().count();
        let is_running =
            |record: &&Record| self.nodes[number(record.contact.peer_address)].is_running;
        let known = |node: &Node| node.membership.alive().filter(is_running).count();
        running * (running - 1) - self.running().map(known).sum::<usize>()
    }

    /// Pairs of which the first is running and holds the second for alive, which is not.
    pub fn mistaken(&self) -> usize {
        let is_wrong =
            |record: &&Record| !self.nodes[number(record.contact.peer_address)].is_running;
        self.running().map(|node| node.membership.alive().filter(is_wrong).count()).sum()
    }

    /// Pairs of running nodes of which the first holds the second for dead.
    pub fn lost(&self) -> usize {
        let is_lost = |by: &&Node, node: &Node| {
            let record = by.membership.get(&node.membership.own_record().node);
            record.is_some_and(|record| record.state == State::Dead)
        };
        let lost = |by: &Node| self.running().filter(|node| is_lost(&by, node)).count();
        self.running().map(lost).sum()
    }

    /// Runs until a condition holds; the time that it took.
    pub fn run_until(
        &mut self,
        most: Duration,
        holds: impl Fn(&Self) -> bool,
    ) -> Result<Duration, Duration> {
        let began = self.now;
        while self.now - began < most {
            self.run_for(Duration::from_millis(50));
            if holds(self) {
                return Ok(self.now - began);
            }
        }
        Err(most)
    }
}

fn count_records(message: &Message) -> u64 {
    match message {
        Message::Ping(exchange) | Message::Ack(exchange) => exchange.records.len() as u64,
        Message::Rumor(records) | Message::Members(records) => records.len() as u64,
        Message::Pull(_) => 1,
        Message::IndirectPing { .. } => 0,
    }
}
