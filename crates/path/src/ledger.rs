//! What runs where, as far as this node was refreshed.
//!
//! A node knows what it placed itself. The owner of a group of targets and its
//! successor are refreshed by current nodes what they placed there. An allocation is refreshed again
//! every half second while it lasts, and forgotten where it isn't: a datagram that
//! is lost or a node that dies leaves nothing behind.

use crate::view::{Tag, Target};
use hickory_policy::engine::Profile;
use hickory_policy::pass::{Engine, Read};
use hickory_policy::plan::Load;
use hickory_unit::id;
use hickory_unit::size::Tokens;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a peer's allocation lasts without being refreshed again: four tellings.
const PEER_ALLOCATION_TTL: Duration = Duration::from_secs(2);

/// The window in which sendings to a cold target are counted.
const COLD_SEND_WINDOW: Duration = Duration::from_secs(1);

/// How long the word of a first token may take: a stride, the way to its node and
/// a datagram.
const FIRST_TOKEN_REPORT_DELAY: Duration = Duration::from_millis(100);

/// The weight of the last_id answer in what an answer of a plain service usually takes.
const TYPICAL_TIME_SMOOTHING: u32 = 16;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// Its prompt is being read.
    Prefill,
    /// Its stream is being written.
    Decode,
}

/// A request's index, as refreshed between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// The service.
    pub service: id::Service,
    /// The target that was sends the request.
    pub target: Tag,
    /// Engines that read parts of it, besides.
    pub helpers: Vec<Tag>,
    /// What each of them reads.
    pub prefill_time: Duration,
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Answer tokens, at a guess.
    pub expected_answer: Tokens,
    /// Memory by engine, where it isn't current at the first.
    pub memory: Vec<(Tag, Tokens)>,
    /// The longest pause that its stream is to keep.
    pub max_token_gap: Option<Duration>,
    /// Whether it is a short prompt.
    pub is_short: bool,
    /// How far it has come.
    pub phase: Phase,
    /// How long ago it was placed.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    allocation: Allocation,
    placed: Instant,
    refreshed: Instant,
}

impl Entry {
    /// Whether it tells how long requests of its service take: a long prompt takes
    /// as long as it is, and what ended before it was written elapsed no time.
    fn is_typical(&self) -> bool {
        let Allocation { prompt, is_short, phase, .. } = &self.allocation;
        prompt.0 == 0 || (*is_short && *phase == Phase::Decode)
    }

    fn pending_read(&self, writes: bool) -> Read {
        Read {
            placed: self.placed,
            part: self.allocation.prefill_time,
            writes,
            word: FIRST_TOKEN_REPORT_DELAY,
        }
    }
}

impl Allocation {
    /// The engines that read it.
    pub(crate) fn engines(&self) -> impl Iterator<Item = Tag> {
        std::iter::once(self.target).chain(self.helpers.iter().copied())
    }
}

/// Names an allocation within its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AllocationId(pub u32);

/// The allocations that are known.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: HashMap<AllocationId, Entry>,
    peers: HashMap<id::Node, HashMap<AllocationId, Entry>>,
    last_id: u32,
    sends: HashMap<Tag, VecDeque<Instant>>,
    /// When a pass of an engine was last_id seen to end, by a first token.
    pass_ends: HashMap<Tag, Instant>,
    /// What an answer of a plain service, or a short stream, usually takes.
    typical_times: HashMap<id::Service, Duration>,
}

impl Ledger {
    /// A id for a further request of this node.
    pub fn next_id(&mut self) -> AllocationId {
        self.last_id = self.last_id.wrapping_add(1);
        AllocationId(self.last_id)
    }

    /// Notes a request that this node indexes now.
    pub fn record(&mut self, now: Instant, id: AllocationId, allocation: Allocation) {
        let target = allocation.target;
        let entry = Entry { allocation, placed: now, refreshed: now };
        if self.own.insert(id, entry).is_none() {
            self.note_send(now, target);
        }
    }

    /// Notes the first token of an own request.
    pub fn begin_decode(&mut self, now: Instant, id: AllocationId) {
        if let Some(entry) = self.own.get_mut(&id) {
            entry.allocation.phase = Phase::Decode;
            self.pass_ends.insert(entry.allocation.target, now);
        }
    }

    /// Forgets an own request.
    pub fn finish(&mut self, now: Instant, id: AllocationId) {
        let entry = self.own.remove(&id);
        self.note_typical_time(now, entry);
    }

    fn note_typical_time(&mut self, now: Instant, entry: Option<Entry>) {
        let Some(entry) = entry.filter(|entry| entry.is_typical()) else { return };
        let elapsed = now.saturating_duration_since(entry.placed);
        let typical_time = self.typical_times.entry(entry.allocation.service).or_insert(elapsed);
        *typical_time =
            (*typical_time * (TYPICAL_TIME_SMOOTHING - 1) + elapsed) / TYPICAL_TIME_SMOOTHING;
    }

    /// What an answer of a plain service, or a short stream, usually takes, if one was
    /// seen.
    pub fn typical_time(&self, service: &id::Service) -> Option<Duration> {
        self.typical_times.get(service).copied()
    }

    /// The own requests, as they are refreshed to peers.
    pub fn own_allocations(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (AllocationId, Allocation)> {
        self.own.iter().map(move |(&id, entry)| {
            let age = now.saturating_duration_since(entry.placed);
            (id, Allocation { age, ..entry.allocation.clone() })
        })
    }

    /// Takes a peer's allocation.
    pub fn record_peer(
        &mut self,
        now: Instant,
        node: &id::Node,
        id: AllocationId,
        allocation: Allocation,
    ) {
        let placed = now.checked_sub(allocation.age).unwrap_or(now);
        let target = allocation.target;
        let allocations = match self.peers.get_mut(node) {
            Some(allocations) => allocations,
            None => self.peers.entry(node.clone()).or_default(),
        };
        let entry = Entry { allocation, placed, refreshed: now };
        if allocations.insert(id, entry).is_none() {
            self.note_send(placed, target);
        }
    }

    /// Notes the first token of a peer's request.
    pub fn begin_peer_decode(&mut self, now: Instant, node: &id::Node, id: AllocationId) {
        if let Some(entry) =
            self.peers.get_mut(node).and_then(|allocations| allocations.get_mut(&id))
        {
            entry.allocation.phase = Phase::Decode;
            self.pass_ends.insert(entry.allocation.target, now);
        }
    }

    /// Forgets a peer's request.
    pub fn finish_peer(&mut self, now: Instant, node: &id::Node, id: AllocationId) {
        let entry = self.peers.get_mut(node).and_then(|allocations| allocations.remove(&id));
        self.note_typical_time(now, entry);
    }

    /// Forgets current requests of a peer, which started anew.
    pub fn forget_node(&mut self, node: &id::Node) {
        self.peers.remove(node);
    }

    /// Forgets what peers no longer tell of.
    pub fn expire(&mut self, now: Instant) {
        for allocations in self.peers.values_mut() {
            allocations.retain(|_, entry| {
                now.saturating_duration_since(entry.refreshed) < PEER_ALLOCATION_TTL
            });
        }
        self.peers.retain(|_, allocations| !allocations.is_empty());
        self.pass_ends.retain(|_, at| now.saturating_duration_since(*at) < PEER_ALLOCATION_TTL);
        self.sends.retain(|_, times| {
            times.retain(|at| now.saturating_duration_since(*at) < COLD_SEND_WINDOW);
            !times.is_empty()
        });
    }

    /// Requests sends to a target within the last_id second.
    pub fn recent_sends(&self, now: Instant, tag: Tag) -> usize {
        let is_recent = |at: &&Instant| now.saturating_duration_since(**at) < COLD_SEND_WINDOW;
        self.sends.get(&tag).map_or(0, |times| times.iter().filter(is_recent).count())
    }

    fn current(&self, now: Instant) -> impl Iterator<Item = &Entry> {
        let peers = self.peers.values().flat_map(HashMap::values);
        let is_fresh = move |entry: &&Entry| {
            now.saturating_duration_since(entry.refreshed) < PEER_ALLOCATION_TTL
        };
        self.own.values().chain(peers.filter(is_fresh))
    }

    /// What each of the targets has to do.
    pub fn loads(
        &self,
        now: Instant,
        targets: &[Arc<Target>],
        profile: Option<&Profile>,
    ) -> Vec<Load> {
        let indexes: HashMap<Tag, usize> =
            targets.iter().enumerate().map(|(index, target)| (target.tag, index)).collect();
        let mut loads = vec![Load::default(); targets.len()];
        let mut engines = vec![Engine::default(); targets.len()];
        for entry in self.current(now) {
            add_allocation(entry, &indexes, &mut loads, &mut engines);
        }
        if let Some(profile) = profile {
            for ((load, engine), target) in loads.iter_mut().zip(&mut engines).zip(targets) {
                engine.writers = load.writers;
                engine.context = load.context;
                engine.ended = self.pass_ends.get(&target.tag).copied();
                let backlog = engine.backlog(now, profile);
                load.backlog = backlog.unread;
                load.begins = backlog.begins;
                load.next = backlog.next;
                load.writers = backlog.writers;
            }
        }
        loads
    }

    fn note_send(&mut self, at: Instant, tag: Tag) {
        self.sends.entry(tag).or_default().push_back(at);
    }
}

fn add_allocation(
    entry: &Entry,
    indexes: &HashMap<Tag, usize>,
    loads: &mut [Load],
    engines: &mut [Engine],
) {
    let allocation = &entry.allocation;
    if let Some(&target) = indexes.get(&allocation.target) {
        let load = &mut loads[target];
        load.requests += 1;
        load.short += u32::from(allocation.is_short);
        load.gap = load.gap.into_iter().chain(allocation.max_token_gap).min();
        match allocation.phase {
            Phase::Decode => {
                load.writers += 1;
                load.context += allocation.prompt + allocation.expected_answer;
            }
            Phase::Prefill => engines[target].reads.push(entry.pending_read(true)),
        }
        if allocation.memory.is_empty() {
            loads[target].memory += allocation.prompt + allocation.expected_answer;
        }
    }
    for &(tag, tokens) in &allocation.memory {
        if let Some(&index) = indexes.get(&tag) {
            loads[index].memory += tokens;
        }
    }
    if allocation.phase == Phase::Decode {
        return;
    }
    for index in allocation.helpers.iter().filter_map(|tag| indexes.get(tag)) {
        loads[*index].helping += 1;
        engines[*index].reads.push(entry.pending_read(false));
    }
}
