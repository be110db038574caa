//! Which nodes are alive, by gossip.
//!
//! A node probes one other at a time, and asks a few more to probe one that is
//! silent. A node that stays silent is suspected, and counts as dead unless it
//! refutes that. What changes travels on the probes and is pushed to a few
//! others at once, so what a node sends doesn't grow with the fleet, and news
//! reaches all in a logarithm of the nodes.
//!
//! Load pattern: hundreds of nodes of which many die, freeze, are cut off or
//! start at the same moment.

use crate::gossip::{Exchange, Message, Outgoing};
use crate::member::{Contact, Record, State};
use crate::probe::Probes;
pub use crate::roster::StateCounts;
use crate::roster::{Peer, Roster};
use crate::rumor::{RECORDS_MOST, Rumors};
use hickory_unit::id;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Between two calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Between two probes.
const PROBE_EVERY: Duration = Duration::from_millis(200);

/// How long a node is suspected before it counts as dead.
const DEAD_AFTER: Duration = Duration::from_secs(3);

/// Between two attempts to have a suspect refute.
const PRESS_EVERY: Duration = Duration::from_millis(500);

/// How long the dead are remembered, so that late statements don't revive them.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// Between two attempts to reach a dead node: the ends of a partition find each
/// other again by it.
const RECONNECT_EVERY: Duration = Duration::from_secs(1);

/// Between two requests for all records, which a node makes where its table
/// differs from a peer's.
const PULL_EVERY: Duration = Duration::from_secs(2);

/// The same while news is under way, which explains most differences.
const PULL_EVERY_IN_CHURN: Duration = Duration::from_secs(3);

/// The same in the first seconds, in which the table fills.
const PULL_EVERY_YOUNG: Duration = Duration::from_millis(500);

/// How long a table counts as young.
const YOUNG: Duration = Duration::from_secs(3);

/// Peers below which a node that has just started asks its seeds again.
const JOINED: usize = 3;

/// Between two calls of a node that found nobody yet.
const JOIN_EVERY: Duration = Duration::from_millis(300);

/// Nodes that are asked to probe a silent one.
const HELPERS: usize = 3;

/// Nodes that news is pushed to.
const FANOUT: usize = 3;

/// A call to [`Membership::tick`] that comes so late was held up: the host was
/// suspended or had no processor time, and silence of others proves nothing.
const HELD_UP: Duration = Duration::from_millis(400);

/// A node's table of all nodes.
#[derive(Clone, Debug)]
pub struct Membership {
    roster: Roster,
    rumors: Rumors,
    probes: Probes,
    /// Nodes that are still to be probed in this round.
    round: Vec<id::Node>,
    seeds: Vec<SocketAddr>,
    began: Instant,
    ticked: Instant,
    probed: Option<Instant>,
    joined: Option<Instant>,
    reconnected: Instant,
    pulled: Option<Instant>,
    /// Nodes that this one found silent, for its log.
    silent: Vec<id::Node>,
    random: SmallRng,
}

impl Membership {
    /// Opens the table of a node that knows where some others may be.
    pub fn new(now: Instant, own: Record, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            roster: Roster::new(own),
            rumors: Rumors::default(),
            probes: Probes::default(),
            round: Vec::new(),
            seeds,
            began: now,
            ticked: now,
            probed: None,
            joined: None,
            reconnected: now,
            pulled: None,
            silent: Vec::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// This node's record.
    pub fn own_record(&self) -> &Record {
        &self.roster.own
    }

    /// Takes what this node says of itself.
    pub fn set_contact(&mut self, contact: Contact) {
        let own = &mut self.roster.own;
        if own.contact != contact {
            // The digest is of versions, not of contacts.
            own.contact = contact;
            let (incarnation, version) = (own.incarnation, own.version);
            self.raise_own(incarnation, version);
        }
    }

    /// Takes where further nodes may be.
    pub fn add_seeds(&mut self, seeds: impl Iterator<Item = SocketAddr>) {
        for seed in seeds {
            if !self.seeds.contains(&seed) {
                self.seeds.push(seed);
            }
        }
    }

    /// Other nodes that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &Record> {
        self.roster.with_state(|state| state == State::Alive)
    }

    /// Other nodes that are not known to be dead.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        self.roster.with_state(|state| state != State::Dead)
    }

    /// The record of another node.
    pub fn get(&self, node: &id::Node) -> Option<&Record> {
        self.roster.peers.get(node).map(|peer| &peer.record)
    }

    /// How many other nodes are in each state.
    pub fn count(&self) -> StateCounts {
        self.roster.count()
    }

    /// The nodes that this one itself found silent since it was last asked.
    pub fn take_new_suspects(&mut self) -> Vec<id::Node> {
        std::mem::take(&mut self.silent)
    }

    /// Some nodes that are alive, chosen at random.
    pub fn pick_alive(&mut self, count: usize) -> Vec<SocketAddr> {
        let alive = self.roster.with_state(|state| state == State::Alive);
        let addresses = alive.map(|record| record.contact.peer_address);
        addresses.choose_multiple(&mut self.random, count)
    }

    /// Whether there is news that was told to nobody yet.
    pub fn has_unsent_news(&self) -> bool {
        self.rumors.has_unsent_news()
    }

    /// Tells news to a few others at once.
    pub fn push_news(&mut self) -> Vec<Outgoing> {
        if !self.has_unsent_news() {
            return Vec::new();
        }
        let targets = self.pick_alive(FANOUT);
        let send = |to| (to, Message::Rumor(self.take_news()));
        targets.into_iter().map(send).collect()
    }

    /// Does what is due; called every [`TICK`].
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let since_last = now.saturating_duration_since(self.ticked);
        self.ticked = now;
        if since_last > HELD_UP {
            self.forgive(now);
        }
        let mut out = Vec::new();
        self.check_probes(now, &mut out);
        self.press_suspects(now, &mut out);
        self.expire(now);
        self.join(now, &mut out);
        self.reconnect(now, &mut out);
        if is_due(self.probed, now, PROBE_EVERY) {
            self.probed = Some(now);
            out.extend(self.probe_next(now));
        }
        out
    }

    /// Takes a message of a node.
    pub fn receive(
        &mut self,
        now: Instant,
        node: &id::Node,
        from: SocketAddr,
        message: Message,
    ) -> Vec<Outgoing> {
        match message {
            Message::Ping(Exchange { sequence, digest, records }) => {
                self.take_all(now, records);
                let mut records = self.answer_news(digest);
                records.extend(self.roster.find_false(node));
                let own = Exchange { sequence, digest: self.roster.digest, records };
                let mut out = vec![(from, Message::Ack(own))];
                out.extend(self.pull(now, from, digest));
                out
            }
            Message::Ack(Exchange { sequence, digest, records }) => {
                self.take_all(now, records);
                self.note_alike(digest);
                let mut out: Vec<Outgoing> =
                    self.probes.answer(sequence, digest).into_iter().collect();
                out.extend(self.pull(now, from, digest));
                out
            }
            Message::IndirectPing { sequence, to } => {
                let sequence = self.probes.begin_for(now, from, sequence);
                vec![(to, self.ping(sequence))]
            }
            Message::Rumor(records) => {
                let own = &self.roster.own.node;
                let is_false = |r: &Record| r.node == *own && r.state != State::Alive;
                let is_denied = records.iter().any(is_false);
                self.take_all(now, records);
                let own = || Message::Rumor(vec![self.own_record().clone()]);
                is_denied.then(|| (from, own())).into_iter().collect()
            }
            Message::Members(records) => {
                for record in records {
                    self.take_quietly(now, record);
                }
                Vec::new()
            }
            Message::Pull(own) => {
                let to = own.contact.peer_address;
                self.take(now, own);
                self.tell_all(to)
            }
        }
    }

    fn tell_all(&self, to: SocketAddr) -> Vec<Outgoing> {
        let records = self.roster.present();
        let list = |records: &[Record]| (to, Message::Members(records.to_vec()));
        records.chunks(RECORDS_MOST).map(list).collect()
    }

    /// Asks for all records where the tables differ.
    fn pull(&mut self, now: Instant, from: SocketAddr, digest: u64) -> Option<Outgoing> {
        let is_young = now.saturating_duration_since(self.began) < YOUNG;
        let every = match (is_young, self.rumors.is_empty()) {
            (true, _) => PULL_EVERY_YOUNG,
            (false, true) => PULL_EVERY,
            (false, false) => PULL_EVERY_IN_CHURN,
        };
        if digest == self.roster.digest || !is_due(self.pulled, now, every) {
            return None;
        }
        self.pulled = Some(now);
        Some((from, Message::Pull(self.own_record().clone())))
    }

    fn take_all(&mut self, now: Instant, records: Vec<Record>) {
        records.into_iter().for_each(|record| self.take(now, record));
    }

    fn take(&mut self, now: Instant, record: Record) {
        let node = record.node.clone();
        if self.take_quietly(now, record) {
            self.enqueue(node);
        }
    }

    /// Takes a record that needn't be told; whether it was news.
    fn take_quietly(&mut self, now: Instant, record: Record) -> bool {
        if record.node == self.own_record().node {
            self.refute(&record);
            return false;
        }
        let known = self.get(&record.node);
        let is_news = known.is_none_or(|known| known.rank() < record.rank());
        if is_news {
            self.roster.insert(now, record);
        }
        is_news
    }

    /// Changes what this node holds of another one, and tells it.
    fn change(&mut self, now: Instant, record: Record) {
        let node = record.node.clone();
        self.roster.insert(now, record);
        self.enqueue(node);
    }

    /// Answers a statement about this node that is later than its own, or that
    /// doesn't hold.
    fn refute(&mut self, record: &Record) {
        if record.rank() > self.own_record().rank() {
            self.raise_own(record.incarnation, record.version);
        }
    }

    fn raise_own(&mut self, incarnation: id::Incarnation, version: u32) {
        self.roster.raise_own(incarnation, version);
        self.enqueue(self.own_record().node.clone());
    }

    fn enqueue(&mut self, node: id::Node) {
        self.rumors.add(node, self.roster.peers.len() + 1);
    }

    fn take_news(&mut self) -> Vec<Record> {
        self.rumors.take(&self.roster)
    }

    /// News for a node whose table has this digest.
    fn answer_news(&mut self, digest: u64) -> Vec<Record> {
        self.note_alike(digest);
        if digest == self.roster.digest { Vec::new() } else { self.take_news() }
    }

    fn note_alike(&mut self, digest: u64) {
        if digest == self.roster.digest {
            self.rumors.note_alike();
        }
    }

    /// Drops what this node would conclude from silence while it was held up.
    fn forgive(&mut self, now: Instant) {
        self.probes.forget();
        for peer in
            self.roster.peers.values_mut().filter(|peer| peer.record.state == State::Suspect)
        {
            peer.since = now;
        }
    }

    fn check_probes(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        for node in self.probes.take_failed(now) {
            self.suspect(now, &node, out);
        }
        for (sequence, node) in self.probes.take_silent(now) {
            let Some(to) = self.get(&node).map(|r| r.contact.peer_address) else { continue };
            out.push((to, self.ping(sequence)));
            let helpers = self.pick_alive(HELPERS).into_iter().filter(|helper| *helper != to);
            out.extend(helpers.map(|helper| (helper, Message::IndirectPing { sequence, to })));
        }
    }

    fn suspect(&mut self, now: Instant, node: &id::Node, out: &mut Vec<Outgoing>) {
        let known = self.get(node).filter(|record| record.state == State::Alive);
        let Some(record) = known.cloned() else { return };
        let record = Record { state: State::Suspect, ..record };
        // The suspect hears of it and can refute it at once.
        out.push((record.contact.peer_address, Message::Rumor(vec![record.clone()])));
        self.silent.push(record.node.clone());
        self.change(now, record);
    }

    /// Tells suspects again that they are suspected: a refutation may have been lost.
    fn press_suspects(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        for peer in
            self.roster.peers.values_mut().filter(|peer| peer.record.state == State::Suspect)
        {
            if now.saturating_duration_since(peer.pressed) >= PRESS_EVERY {
                peer.pressed = now;
                out.push((
                    peer.record.contact.peer_address,
                    Message::Rumor(vec![peer.record.clone()]),
                ));
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_over = |peer: &Peer, state, time| {
            peer.record.state == state && now.saturating_duration_since(peer.since) >= time
        };
        let over =
            self.roster.peers.values().filter(|peer| is_over(peer, State::Suspect, DEAD_AFTER));
        let dead: Vec<Record> =
            over.map(|peer| Record { state: State::Dead, ..peer.record.clone() }).collect();
        for record in dead {
            self.change(now, record);
        }
        self.roster.peers.retain(|_, peer| !is_over(peer, State::Dead, FORGOTTEN_AFTER));
    }

    fn join(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        if self.present().count() >= JOINED || !is_due(self.joined, now, JOIN_EVERY) {
            return;
        }
        let is_late = now.saturating_duration_since(self.began) > YOUNG;
        if is_late && self.alive().next().is_some() {
            return;
        }
        self.joined = Some(now);
        let own = self.own_record().contact.peer_address;
        let seeds = self.seeds.iter().filter(|seed| **seed != own);
        out.extend(seeds.map(|seed| (*seed, Message::Pull(self.own_record().clone()))));
    }

    fn reconnect(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        if now.saturating_duration_since(self.reconnected) < RECONNECT_EVERY {
            return;
        }
        self.reconnected = now;
        let dead = self.roster.with_state(|state| state == State::Dead);
        let dead: Vec<Record> = dead.cloned().collect();
        if let Some(record) = dead.choose(&mut self.random) {
            let to = record.contact.peer_address;
            out.push((to, Message::Rumor(vec![record.clone(), self.own_record().clone()])));
        }
    }

    fn probe_next(&mut self, now: Instant) -> Option<Outgoing> {
        if self.round.is_empty() {
            self.round = self.present().map(|record| record.node.clone()).collect();
            self.round.shuffle(&mut self.random);
        }
        while let Some(node) = self.round.pop() {
            let Some(record) = self.get(&node).filter(|r| r.state != State::Dead) else { continue };
            let to = record.contact.peer_address;
            let sequence = self.probes.begin(now, node);
            return Some((to, self.ping(sequence)));
        }
        None
    }

    fn ping(&mut self, sequence: u32) -> Message {
        Message::Ping(Exchange { sequence, digest: self.roster.digest, records: self.take_news() })
    }
}

fn is_due(last: Option<Instant>, now: Instant, every: Duration) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= every)
}
