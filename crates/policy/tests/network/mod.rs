//! A simulated network of nodes that run the membership protocol.

use hickory_policy::gossip::{Message, Outgoing};
use hickory_policy::member::{Capacity, Contact, Record, State};
use hickory_policy::membership::{Membership, TICK_INTERVAL};
use hickory_unit::id;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Delay between a change and its push.
const PUSH_DELAY: Duration = Duration::from_millis(10);

/// One-way delay between two nodes, in seconds.
const LINK_DELAY: std::ops::Range<f64> = 0.0002..0.003;

/// Number of seed nodes that are known to the others at start.
const SEEDS: usize = 3;

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Tick(usize),
    Push(usize),
    Deliver(usize),
}

#[derive(Clone)]
struct Datagram {
    to: usize,
    from: usize,
    message: Message,
}

#[derive(Clone)]
struct Node {
    membership: Membership,
    is_running: bool,
    /// Events of the node are postponed until this time.
    suspended_until: Duration,
    is_push_due: bool,
    starts: u64,
}

#[derive(Clone)]
pub struct Network {
    origin: Instant,
    pub now: Duration,
    nodes: Vec<Node>,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    datagrams: Vec<Option<Datagram>>,
    event_count: u64,
    random: StdRng,
    /// Fraction of datagrams lost.
    pub loss_rate: f64,
    /// Nodes below this index are cut off from the others.
    pub partition_boundary: usize,
    /// Nodes that are cut off from all others.
    pub isolated: HashSet<usize>,
    /// Returns the nodes to check if a node's probes go unanswered.
    pub choose_checked: fn(&Membership) -> Vec<id::Node>,
    /// Number of datagrams sent.
    pub datagrams_sent: u64,
    /// Number of records in these datagrams.
    pub records_sent: u64,
    /// Encoded bytes that each node has sent.
    pub bytes_by_node: Vec<u64>,
}

fn name(node: usize) -> id::Node {
    format!("node-{node:04}").as_str().into()
}

fn address(node: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + node as u32), 7_340))
}

fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => (u32::from(*address.ip()) - 0x0a00_0000) as usize,
        SocketAddr::V6(_) => unreachable!("nodes have IPv4 addresses"),
    }
}

impl Network {
    /// Starts nodes within 0.3 s of each other.
    pub fn start(nodes: usize, seed: u64) -> Self {
        let origin = Instant::now() + Duration::from_secs(3_600);
        let mut network = Self {
            origin,
            now: Duration::ZERO,
            nodes: Vec::new(),
            events: BinaryHeap::new(),
            datagrams: Vec::new(),
            event_count: 0,
            random: StdRng::seed_from_u64(seed),
            loss_rate: 0.0,
            partition_boundary: 0,
            isolated: HashSet::new(),
            choose_checked: |_| Vec::new(),
            datagrams_sent: 0,
            records_sent: 0,
            bytes_by_node: vec![0; nodes],
        };
        for node in 0..nodes {
            let membership = network.new_membership(node, 1);
            let suspended_until = Duration::ZERO;
            let node = Node {
                membership,
                is_running: true,
                suspended_until,
                is_push_due: false,
                starts: 1,
            };
            network.nodes.push(node);
        }
        for node in 0..nodes {
            let at = Duration::from_millis(network.random.random_range(0..300));
            network.schedule(at, Event::Tick(node));
        }
        network
    }

    fn new_membership(&mut self, node: usize, incarnation: u64) -> Membership {
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
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    pub fn kill(&mut self, node: usize) {
        self.nodes[node].is_running = false;
    }

    /// Restarts a node with this incarnation, which can be lower than the last one after a clock
    /// step.
    pub fn restart(&mut self, node: usize, incarnation: u64) {
        self.nodes[node].membership = self.new_membership(node, incarnation);
        self.nodes[node].is_running = true;
        self.nodes[node].starts += 1;
        self.schedule(self.now, Event::Tick(node));
    }

    /// Suspends a node; its incoming datagrams wait.
    pub fn suspend(&mut self, node: usize, time: Duration) {
        self.nodes[node].suspended_until = self.now + time;
    }

    pub fn run_for(&mut self, time: Duration) {
        let end = self.now + time;
        while self.events.peek().is_some_and(|Reverse((at, ..))| *at <= end) {
            let Some(Reverse((at, _, event))) = self.events.pop() else { break };
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        let node = match &event {
            Event::Tick(node) | Event::Push(node) => *node,
            Event::Deliver(datagram) => {
                self.datagrams[*datagram].as_ref().map_or(0, |datagram| datagram.to)
            }
        };
        if self.nodes[node].suspended_until > self.now {
            self.schedule(self.nodes[node].suspended_until, event);
            return;
        }
        if !self.nodes[node].is_running {
            return;
        }
        let now = self.origin + self.now;
        let out = match event {
            Event::Tick(node) => {
                self.schedule(self.now + TICK_INTERVAL, Event::Tick(node));
                let membership = &mut self.nodes[node].membership;
                let mut out = membership.tick(now);
                if membership.is_check_due(now) {
                    let checked = (self.choose_checked)(membership);
                    out.extend(membership.check(now, &checked));
                }
                out
            }
            Event::Push(node) => {
                self.nodes[node].is_push_due = false;
                self.nodes[node].membership.push_updates(now)
            }
            Event::Deliver(datagram) => {
                let Some(Datagram { to, from, message }) = self.datagrams[datagram].take() else {
                    return;
                };
                self.nodes[to].membership.receive(now, &name(from), address(from), message)
            }
        };
        self.send(node, out);
        if self.nodes[node].membership.has_unsent_updates() && !self.nodes[node].is_push_due {
            self.nodes[node].is_push_due = true;
            self.schedule(self.now + PUSH_DELAY, Event::Push(node));
        }
    }

    fn send(&mut self, from: usize, out: Vec<Outgoing>) {
        for (to, message) in out {
            self.datagrams_sent += 1;
            self.records_sent += count_records(&message);
            self.bytes_by_node[from] += encoded_bytes(&message);
            let to = index_of(to);
            if to >= self.nodes.len()
                || (to < self.partition_boundary) != (from < self.partition_boundary)
                || self.isolated.contains(&to)
                || self.isolated.contains(&from)
            {
                continue;
            }
            if self.random.random_bool(self.loss_rate) {
                continue;
            }
            let delay = Duration::from_secs_f64(self.random.random_range(LINK_DELAY));
            self.datagrams.push(Some(Datagram { to, from, message }));
            self.schedule(self.now + delay, Event::Deliver(self.datagrams.len() - 1));
        }
    }

    /// Returns the tables of the running nodes, with the time.
    pub fn tables(&self) -> impl Iterator<Item = (Instant, &Membership)> {
        self.running().map(|node| (self.origin + self.now, &node.membership))
    }

    /// Sets whether a node states that it can't reach the store.
    pub fn set_store_unreachable(&mut self, node: &id::Node, is_store_unreachable: bool) {
        let own = self.nodes.iter_mut().find(|n| n.membership.own_record().node == *node).unwrap();
        let contact = own.membership.own_record().contact.clone();
        own.membership.set_contact(Contact { is_store_unreachable, ..contact });
    }

    /// Returns the bytes sent by all nodes.
    pub fn bytes_sent(&self) -> u64 {
        self.bytes_by_node.iter().sum()
    }

    fn running(&self) -> impl Iterator<Item = &Node> {
        self.nodes.iter().filter(|node| node.is_running)
    }

    /// Counts the pairs of running nodes in which the first does not consider the second alive.
    pub fn unknown_pairs(&self) -> usize {
        let running = self.running().count();
        let is_running =
            |record: &&Record| self.nodes[index_of(record.contact.peer_address)].is_running;
        let known = |node: &Node| node.membership.alive().filter(is_running).count();
        running * (running - 1) - self.running().map(known).sum::<usize>()
    }

    /// Counts the pairs in which a running node considers a stopped one alive.
    pub fn mistaken_pairs(&self) -> usize {
        let is_stopped =
            |record: &&Record| !self.nodes[index_of(record.contact.peer_address)].is_running;
        self.running().map(|node| node.membership.alive().filter(is_stopped).count()).sum()
    }

    /// Counts the pairs of running nodes in which the first considers the second dead.
    pub fn lost_pairs(&self) -> usize {
        let is_lost = |observer: &&Node, node: &Node| {
            let record = observer.membership.get(&node.membership.own_record().node);
            record.is_some_and(|record| record.state == State::Dead)
        };
        let lost = |observer: &Node| self.running().filter(|node| is_lost(&observer, node)).count();
        self.running().map(lost).sum()
    }

    /// Runs until a condition holds, for at most `max_time`; returns the elapsed time.
    pub fn run_until(
        &mut self,
        max_time: Duration,
        condition: impl Fn(&Self) -> bool,
    ) -> Result<Duration, Duration> {
        let started = self.now;
        while self.now - started < max_time {
            self.run_for(Duration::from_millis(50));
            if condition(self) {
                return Ok(self.now - started);
            }
        }
        Err(max_time)
    }
}

fn count_records(message: &Message) -> u64 {
    match message {
        Message::Ping(exchange) | Message::Ack(exchange) => exchange.records.len() as u64,
        Message::Rumor(records) | Message::Members(records) => records.len() as u64,
        Message::Pull(_) | Message::Sync { .. } => 1,
        Message::IndirectPing { .. } => 0,
    }
}

fn encoded_bytes(message: &Message) -> u64 {
    postcard::to_stdvec(message).map_or(0, |bytes| bytes.len() as u64)
}
