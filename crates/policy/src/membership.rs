//! Group membership by gossip, in the manner of SWIM.
//!
//! Each node probes one other node at a time, and asks a few others to probe it if it does not
//! answer. A node that stays silent is suspected and declared dead unless it refutes the suspicion.
//! Updates are piggybacked on probes and pushed to a few other nodes, so the traffic per node does
//! not grow with the fleet, and an update reaches all of `n` nodes in about log `n` rounds.
//!
//! Load pattern: hundreds of nodes of which many die, freeze, are cut off or start at once.

use crate::gossip::{Exchange, Message, Outgoing};
use crate::isolation::Isolation;
use crate::join::Seeds;
use crate::member::{Contact, Record, State};
use crate::probe::Probes;
use crate::pull::Pulls;
pub use crate::roster::StateCounts;
use crate::roster::{Peer, Roster};
use crate::rumor::{MAX_RECORDS, Rumors};
use hickory_unit::id;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, IteratorRandom, SliceRandom};
use rand::{Rng, SeedableRng};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Interval between calls of [`Membership::tick`].
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

const PROBE_INTERVAL: Duration = Duration::from_millis(200);

/// Time from suspicion until a node is declared dead.
const SUSPICION_TIMEOUT: Duration = Duration::from_secs(3);

/// Interval between requests to a suspect to refute the suspicion.
const REMINDER_INTERVAL: Duration = Duration::from_millis(500);

/// Time for which dead nodes are remembered, so that late records don't revive them.
const DEAD_RETENTION: Duration = Duration::from_secs(60);

/// Interval between attempts to reach a dead node, which rejoin the sides of a partition.
const RECONNECT_INTERVAL: Duration = Duration::from_secs(1);

/// Number of peers below which a node in its start phase contacts its seeds again.
const MIN_PEERS: usize = 3;

/// Number of records sent to a node that joins. It learns of the others from these nodes, so that a
/// seed's load doesn't grow with the square of the nodes that start.
const MAX_JOIN_RECORDS: usize = MAX_RECORDS;

/// Maximum number of records in one answer. A node that lacks more pulls again from another peer.
const MAX_ANSWER_RECORDS: usize = 40 * MAX_RECORDS;

/// Number of nodes asked to probe an unresponsive node.
const INDIRECT_PROBES: usize = 3;

/// Number of nodes that updates are pushed to.
const PUSH_FANOUT: usize = 3;

/// A longer interval between ticks means that this host was suspended or had no processor time, so
/// the silence of other nodes proves nothing.
const MAX_TICK_DELAY: Duration = Duration::from_millis(400);

/// A node's table of all nodes.
#[derive(Clone, Debug)]
pub struct Membership {
    roster: Roster,
    rumors: Rumors,
    probes: Probes,
    isolation: Isolation,
    /// Nodes still to be probed in this round.
    probe_round: Vec<id::Node>,
    seeds: Seeds,
    pulls: Pulls,
    last_tick: Instant,
    last_probe: Option<Instant>,
    last_reconnect: Instant,
    /// Nodes newly suspected by this node, for its log.
    new_suspects: Vec<id::Node>,
    random: SmallRng,
}

impl Membership {
    /// Creates the table of a node that knows the addresses of some other nodes.
    pub fn new(now: Instant, own: Record, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        Self {
            roster: Roster::new(own),
            rumors: Rumors::default(),
            probes: Probes::open(random.random()),
            isolation: Isolation::default(),
            probe_round: Vec::new(),
            seeds: Seeds::new(seeds, &mut random),
            pulls: Pulls::new(now),
            last_tick: now,
            last_probe: None,
            last_reconnect: now,
            new_suspects: Vec::new(),
            random,
        }
    }

    /// Returns this node's record.
    pub fn own_record(&self) -> &Record {
        &self.roster.own
    }

    /// Replaces the published contact of this node.
    pub fn set_contact(&mut self, contact: Contact) {
        let own = &mut self.roster.own;
        if own.contact != contact {
            // The digest covers versions, not contacts.
            own.contact = contact;
            let (incarnation, version) = (own.incarnation, own.version);
            self.raise_own_version(incarnation, version);
        }
    }

    /// Adds addresses where other nodes may be.
    pub fn add_seeds(&mut self, seeds: impl Iterator<Item = SocketAddr>) {
        self.seeds.add(seeds);
    }

    /// Returns the other nodes that are alive.
    pub fn alive(&self) -> impl Iterator<Item = &Record> {
        self.roster.with_state(|state| state == State::Alive)
    }

    /// Returns the other nodes that are not dead.
    pub fn present(&self) -> impl Iterator<Item = &Record> {
        self.roster.with_state(|state| state != State::Dead)
    }

    /// Returns the record of another node.
    pub fn get(&self, node: &id::Node) -> Option<&Record> {
        self.roster.peers.get(node).map(|peer| &peer.record)
    }

    /// Returns the number of other nodes in each state.
    pub fn count(&self) -> StateCounts {
        self.roster.count()
    }

    /// Returns the nodes suspected by this node itself since the last call.
    pub fn take_new_suspects(&mut self) -> Vec<id::Node> {
        std::mem::take(&mut self.new_suspects)
    }

    /// Returns the addresses of randomly chosen nodes that are alive.
    pub fn pick_alive(&mut self, count: usize) -> Vec<SocketAddr> {
        let alive = self.roster.with_state(|state| state == State::Alive);
        let addresses = alive.map(|record| record.contact.peer_address);
        addresses.choose_multiple(&mut self.random, count)
    }

    /// Returns whether so few probes were answered that the nodes on which this one relies should be
    /// checked.
    pub fn is_check_due(&self, now: Instant) -> bool {
        self.isolation.is_check_due(now)
    }

    /// Asks nodes directly whether they are alive.
    pub fn check(&mut self, now: Instant, nodes: &[id::Node]) -> Vec<Outgoing> {
        self.isolation.begin_check(now, nodes.iter());
        let mut out = Vec::new();
        for node in nodes {
            let Some(to) = self.get(node).map(|record| record.contact.peer_address) else {
                continue;
            };
            let sequence = self.probes.begin_check(now, node.clone());
            out.push((to, self.ping(sequence)));
        }
        out
    }

    /// Returns whether a node was checked and hasn't answered.
    pub fn is_silent(&self, now: Instant, node: &id::Node) -> bool {
        self.isolation.is_silent(now, node)
    }

    /// Returns whether there are updates that were not sent to any node yet.
    pub fn has_unsent_updates(&self) -> bool {
        self.rumors.has_unsent()
    }

    /// Sends unsent updates to a few nodes immediately, or less often if many nodes change at once.
    pub fn push_updates(&mut self, now: Instant) -> Vec<Outgoing> {
        if !self.rumors.start_push(now) {
            return Vec::new();
        }
        let targets = self.pick_alive(PUSH_FANOUT);
        let send = |to| (to, Message::Rumor(self.take_updates()));
        targets.into_iter().map(send).collect()
    }

    /// Runs the periodic work; must be called every [`TICK_INTERVAL`].
    pub fn tick(&mut self, now: Instant) -> Vec<Outgoing> {
        let since_last = now.saturating_duration_since(self.last_tick);
        self.last_tick = now;
        if since_last > MAX_TICK_DELAY {
            self.reset_suspicions(now);
        }
        let mut out = Vec::new();
        self.check_probes(now, &mut out);
        self.remind_suspects(now, &mut out);
        self.expire(now);
        self.join(now, &mut out);
        self.reconnect(now, &mut out);
        if is_due(self.last_probe, now, PROBE_INTERVAL) {
            self.last_probe = Some(now);
            self.probe_next(now, &mut out);
        }
        out
    }

    /// Processes a message and returns the replies.
    pub fn receive(
        &mut self,
        now: Instant,
        node: &id::Node,
        from: SocketAddr,
        message: Message,
    ) -> Vec<Outgoing> {
        self.isolation.note_heard(node);
        match message {
            Message::Ping(Exchange { sequence, digest, records }) => {
                self.apply_all(now, records);
                let mut records = self.updates_for(digest);
                records.extend(self.roster.find_refutable(node));
                let own = Exchange { sequence, digest: self.roster.digest, records };
                let mut out = vec![(from, Message::Ack(own))];
                out.extend(self.pull(now, from, digest));
                out
            }
            Message::Ack(Exchange { sequence, digest, records }) => {
                self.apply_all(now, records);
                self.record_equal_digest(digest);
                if let Some(probed) = self.probes.take_answered(sequence) {
                    self.isolation.note_answer();
                    self.isolation.note_heard(&probed);
                }
                let mut out: Vec<Outgoing> =
                    self.probes.forward_ack(sequence, digest).into_iter().collect();
                out.extend(self.pull(now, from, digest));
                out
            }
            Message::IndirectPing { sequence, to } => {
                let sequence = self.probes.begin_relayed(now, from, sequence);
                vec![(to, self.ping(sequence))]
            }
            Message::Rumor(records) => {
                let own = &self.roster.own.node;
                let is_false_claim = |r: &Record| r.node == *own && r.state != State::Alive;
                let is_refutable = records.iter().any(is_false_claim);
                self.apply_all(now, records);
                let own = || Message::Rumor(vec![self.own_record().clone()]);
                is_refutable.then(|| (from, own())).into_iter().collect()
            }
            Message::Members(records) => {
                let gained = records
                    .into_iter()
                    .map(|record| usize::from(self.apply_without_gossip(now, record)))
                    .sum();
                self.pulls.record_answer(gained);
                Vec::new()
            }
            Message::Pull(own) => {
                let is_joining = self.get(&own.node).is_none();
                let to = own.contact.peer_address;
                self.apply(now, own);
                let count = if is_joining { MAX_JOIN_RECORDS } else { MAX_ANSWER_RECORDS };
                self.send_members(to, self.roster.present(), count)
            }
            Message::Sync { own, summary } => {
                let to = own.contact.peer_address;
                self.apply(now, own);
                let records = self.roster.find_differing(&summary);
                self.send_members(to, records, MAX_ANSWER_RECORDS)
            }
        }
    }

    /// Sends records, or a sample of them if they are more than `count`. An empty answer says that
    /// there are none.
    fn send_members(
        &mut self,
        to: SocketAddr,
        mut records: Vec<Record>,
        count: usize,
    ) -> Vec<Outgoing> {
        if records.is_empty() {
            return vec![(to, Message::Members(records))];
        }
        let (sample, _) = records.partial_shuffle(&mut self.random, count);
        let list = |records: &[Record]| (to, Message::Members(records.to_vec()));
        sample.chunks(MAX_RECORDS).map(list).collect()
    }

    /// Requests the records that differ if the digests do.
    fn pull(&mut self, now: Instant, from: SocketAddr, digest: u64) -> Option<Outgoing> {
        if digest == self.roster.digest {
            return None;
        }
        let is_churning = !self.rumors.is_empty();
        let request = self.pulls.next(now, &self.roster, is_churning, self.random.random())?;
        Some((from, request))
    }

    fn apply_all(&mut self, now: Instant, records: Vec<Record>) {
        records.into_iter().for_each(|record| self.apply(now, record));
    }

    fn apply(&mut self, now: Instant, record: Record) {
        let node = record.node.clone();
        if self.apply_without_gossip(now, record) {
            self.enqueue_update(node);
        }
    }

    /// Applies a record without disseminating it; returns whether it changed the table.
    fn apply_without_gossip(&mut self, now: Instant, record: Record) -> bool {
        if record.node == self.own_record().node {
            self.refute(&record);
            return false;
        }
        let known = self.get(&record.node);
        let is_newer = known.is_none_or(|known| known.rank() < record.rank());
        if is_newer {
            self.roster.insert(now, record);
        }
        is_newer
    }

    /// Applies and disseminates a state that this node itself found.
    fn apply_own_finding(&mut self, now: Instant, record: Record) {
        let node = record.node.clone();
        self.roster.insert(now, record);
        self.enqueue_update(node);
    }

    /// Answers a later or false statement about this node with a higher version.
    fn refute(&mut self, record: &Record) {
        if record.rank() > self.own_record().rank() {
            self.raise_own_version(record.incarnation, record.version);
        }
    }

    fn raise_own_version(&mut self, incarnation: id::Incarnation, version: u32) {
        self.roster.raise_own_version(incarnation, version);
        self.enqueue_update(self.own_record().node.clone());
    }

    fn enqueue_update(&mut self, node: id::Node) {
        self.rumors.add(node, self.roster.peers.len() + 1);
    }

    fn take_updates(&mut self) -> Vec<Record> {
        self.rumors.take(&self.roster)
    }

    /// Returns the updates to send to a node whose table has this digest.
    fn updates_for(&mut self, digest: u64) -> Vec<Record> {
        self.record_equal_digest(digest);
        if digest == self.roster.digest { Vec::new() } else { self.take_updates() }
    }

    fn record_equal_digest(&mut self, digest: u64) {
        if digest == self.roster.digest {
            self.rumors.record_equal_digest();
        }
    }

    /// Discards unanswered probes and restarts the timers of suspects.
    fn reset_suspicions(&mut self, now: Instant) {
        self.probes.clear();
        self.isolation.reset();
        for peer in
            self.roster.peers.values_mut().filter(|peer| peer.record.state == State::Suspect)
        {
            peer.state_since = now;
        }
    }

    fn check_probes(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        for node in self.probes.take_failed(now) {
            self.suspect(now, &node, out);
        }
        for (sequence, node) in self.probes.take_unanswered(now) {
            self.isolation.note_unanswered();
            let Some(to) = self.get(&node).map(|r| r.contact.peer_address) else { continue };
            out.push((to, self.ping(sequence)));
            let relays = self.pick_alive(INDIRECT_PROBES).into_iter().filter(|relay| *relay != to);
            out.extend(relays.map(|relay| (relay, Message::IndirectPing { sequence, to })));
        }
    }

    fn suspect(&mut self, now: Instant, node: &id::Node, out: &mut Vec<Outgoing>) {
        let known = self.get(node).filter(|record| record.state == State::Alive);
        let Some(record) = known.cloned() else { return };
        let record = Record { state: State::Suspect, ..record };
        // The suspect receives the suspicion too, so it can refute it immediately.
        out.push((record.contact.peer_address, Message::Rumor(vec![record.clone()])));
        self.new_suspects.push(record.node.clone());
        self.apply_own_finding(now, record);
    }

    /// Resends suspicions to the suspects, since a refutation may have been lost.
    fn remind_suspects(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        for peer in
            self.roster.peers.values_mut().filter(|peer| peer.record.state == State::Suspect)
        {
            if now.saturating_duration_since(peer.last_reminder) >= REMINDER_INTERVAL {
                peer.last_reminder = now;
                out.push((
                    peer.record.contact.peer_address,
                    Message::Rumor(vec![peer.record.clone()]),
                ));
            }
        }
    }

    fn expire(&mut self, now: Instant) {
        let is_over = |peer: &Peer, state, time| {
            peer.record.state == state && now.saturating_duration_since(peer.state_since) >= time
        };
        let over =
            self.roster.peers.values().filter(|p| is_over(p, State::Suspect, SUSPICION_TIMEOUT));
        let dead: Vec<Record> =
            over.map(|peer| Record { state: State::Dead, ..peer.record.clone() }).collect();
        for record in dead {
            self.apply_own_finding(now, record);
        }
        self.roster.peers.retain(|_, peer| !is_over(peer, State::Dead, DEAD_RETENTION));
    }

    fn join(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        if self.present().count() >= MIN_PEERS {
            return;
        }
        if !self.pulls.is_starting(now) && self.alive().next().is_some() {
            return;
        }
        let own = self.own_record().clone();
        let seeds = self.seeds.next(now, own.contact.peer_address, &mut self.random);
        out.extend(seeds.into_iter().map(|seed| (seed, Message::Pull(own.clone()))));
    }

    fn reconnect(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        if now.saturating_duration_since(self.last_reconnect) < RECONNECT_INTERVAL {
            return;
        }
        self.last_reconnect = now;
        let dead = self.roster.with_state(|state| state == State::Dead);
        let dead: Vec<Record> = dead.cloned().collect();
        if let Some(record) = dead.choose(&mut self.random) {
            let to = record.contact.peer_address;
            out.push((to, Message::Rumor(vec![record.clone(), self.own_record().clone()])));
        }
    }

    /// Probes the next node that isn't dead, and further ones that are alive if the last probes weren't
    /// answered.
    fn probe_next(&mut self, now: Instant, out: &mut Vec<Outgoing>) {
        let count = self.isolation.count_probes();
        let (mut sent, mut has_refilled) = (0, false);
        while sent < count {
            let Some(node) = self.probe_round.pop() else {
                if std::mem::replace(&mut has_refilled, true) {
                    return;
                }
                self.probe_round = self.present().map(|record| record.node.clone()).collect();
                self.probe_round.shuffle(&mut self.random);
                continue;
            };
            let is_further = sent > 0;
            let is_probed = |r: &Record| match is_further {
                true => r.state == State::Alive && !self.probes.is_probed(&r.node),
                false => r.state != State::Dead,
            };
            let Some(record) = self.get(&node).filter(|record| is_probed(record)) else { continue };
            let to = record.contact.peer_address;
            let sequence = self.probes.begin(now, node);
            out.push((to, self.ping(sequence)));
            sent += 1;
        }
    }

    fn ping(&mut self, sequence: u32) -> Message {
        Message::Ping(Exchange {
            sequence,
            digest: self.roster.digest,
            records: self.take_updates(),
        })
    }
}

fn is_due(last: Option<Instant>, now: Instant, interval: Duration) -> bool {
    last.is_none_or(|last| now.saturating_duration_since(last) >= interval)
}
