//! What runs where, as far as this node was told.
//!
//! A node knows what it placed itself. The owner of a group of targets and its
//! successor are told by all nodes what they placed there. An allocation is told again
//! every half second while it lasts, and forgotten where it isn't: a datagram that
//! is lost or a node that dies leaves nothing behind.

use crate::view::{Tag, Target};
use hickory_policy::engine::Profile;
use hickory_policy::iteration::{Engine, PendingPrefill};
use hickory_policy::plan::Load;
use hickory_unit::id;
use hickory_unit::size::Tokens;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a peer's allocation lasts without being told again: four tellings.
const STALE: Duration = Duration::from_secs(2);

/// The window in which sendings to a cold target are counted.
const COLD_WINDOW: Duration = Duration::from_secs(1);

/// How long the word of a first token may take: a stride, the way to its node and
/// a datagram.
const WORD: Duration = Duration::from_millis(100);

/// The weight of the last answer in what an answer of a plain service usually takes.
const USUAL_WEIGHT: u32 = 16;

/// How far a request has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Stage {
    /// Its prompt is being read.
    Reading,
    /// Its stream is being written.
    Writing,
}

/// A request's place, as told between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// The service.
    pub service: id::Service,
    /// The target that was sent the request.
    pub first: Tag,
    /// Engines that read parts of it, besides.
    pub helpers: Vec<Tag>,
    /// What each of them reads.
    pub part: Duration,
    /// Prompt tokens.
    pub prompt: Tokens,
    /// Answer tokens, at a guess.
    pub answer: Tokens,
    /// Memory by engine, where it isn't all at the first.
    pub memory: Vec<(Tag, Tokens)>,
    /// The longest pause that its stream is to keep.
    pub gap: Option<Duration>,
    /// Whether it is a short prompt.
    pub short: bool,
    /// How far it has come.
    pub stage: Stage,
    /// How long ago it was placed.
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    allocation: Allocation,
    placed: Instant,
    told: Instant,
}

impl Entry {
    /// Whether it tells how long requests of its service take: a long prompt takes
    /// as long as it is, and what ended before it was written took no time.
    fn is_usual(&self) -> bool {
        let Allocation { prompt, short, stage, .. } = &self.allocation;
        prompt.0 == 0 || (*short && *stage == Stage::Writing)
    }

    fn read(&self, writes: bool) -> PendingPrefill {
        PendingPrefill {
            placed_at: self.placed,
            chunk_time: self.allocation.part,
            is_primary: writes,
            notification_delay: WORD,
        }
    }
}

impl Allocation {
    /// The engines that read it.
    pub(crate) fn engines(&self) -> impl Iterator<Item = Tag> {
        std::iter::once(self.first).chain(self.helpers.iter().copied())
    }
}

/// Names an allocation within its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Number(pub u32);

/// The allocations that are known.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: HashMap<Number, Entry>,
    peers: HashMap<id::Node, HashMap<Number, Entry>>,
    last: u32,
    sent: HashMap<Tag, VecDeque<Instant>>,
    /// When a pass of an engine was last seen to end, by a first token.
    passes: HashMap<Tag, Instant>,
    /// What an answer of a plain service, or a short stream, usually takes.
    usual: HashMap<id::Service, Duration>,
}

impl Ledger {
    /// A number for a further request of this node.
    pub fn next_number(&mut self) -> Number {
        self.last = self.last.wrapping_add(1);
        Number(self.last)
    }

    /// Notes a request that this node places now.
    pub fn place(&mut self, now: Instant, number: Number, allocation: Allocation) {
        let first = allocation.first;
        let entry = Entry { allocation, placed: now, told: now };
        if self.own.insert(number, entry).is_none() {
            self.note_sent(now, first);
        }
    }

    /// Notes the first token of an own request.
    pub fn begin_writing(&mut self, now: Instant, number: Number) {
        if let Some(entry) = self.own.get_mut(&number) {
            entry.allocation.stage = Stage::Writing;
            self.passes.insert(entry.allocation.first, now);
        }
    }

    /// Forgets an own request.
    pub fn end(&mut self, now: Instant, number: Number) {
        let entry = self.own.remove(&number);
        self.note_usual(now, entry);
    }

    fn note_usual(&mut self, now: Instant, entry: Option<Entry>) {
        let Some(entry) = entry.filter(|entry| entry.is_usual()) else { return };
        let took = now.saturating_duration_since(entry.placed);
        let usual = self.usual.entry(entry.allocation.service).or_insert(took);
        *usual = (*usual * (USUAL_WEIGHT - 1) + took) / USUAL_WEIGHT;
    }

    /// What an answer of a plain service, or a short stream, usually takes, if one was
    /// seen.
    pub fn usual_time(&self, service: &id::Service) -> Option<Duration> {
        self.usual.get(service).copied()
    }

    /// The own requests, as they are told to peers.
    pub fn tell(&self, now: Instant) -> impl Iterator<Item = (Number, Allocation)> {
        self.own.iter().map(move |(&number, entry)| {
            let age = now.saturating_duration_since(entry.placed);
            (number, Allocation { age, ..entry.allocation.clone() })
        })
    }

    /// Takes a peer's allocation.
    pub fn take(&mut self, now: Instant, node: &id::Node, number: Number, allocation: Allocation) {
        let placed = now.checked_sub(allocation.age).unwrap_or(now);
        let first = allocation.first;
        let allocations = match self.peers.get_mut(node) {
            Some(allocations) => allocations,
            None => self.peers.entry(node.clone()).or_default(),
        };
        let entry = Entry { allocation, placed, told: now };
        if allocations.insert(number, entry).is_none() {
            self.note_sent(placed, first);
        }
    }

    /// Notes the first token of a peer's request.
    pub fn take_writing(&mut self, now: Instant, node: &id::Node, number: Number) {
        if let Some(entry) = self.peers.get_mut(node).and_then(|all| all.get_mut(&number)) {
            entry.allocation.stage = Stage::Writing;
            self.passes.insert(entry.allocation.first, now);
        }
    }

    /// Forgets a peer's request.
    pub fn take_end(&mut self, now: Instant, node: &id::Node, number: Number) {
        let entry = self.peers.get_mut(node).and_then(|allocations| allocations.remove(&number));
        self.note_usual(now, entry);
    }

    /// Forgets all requests of a peer, which started anew.
    pub fn forget(&mut self, node: &id::Node) {
        self.peers.remove(node);
    }

    /// Forgets what peers no longer tell of.
    pub fn expire(&mut self, now: Instant) {
        for allocations in self.peers.values_mut() {
            allocations.retain(|_, entry| now.saturating_duration_since(entry.told) < STALE);
        }
        self.peers.retain(|_, allocations| !allocations.is_empty());
        self.passes.retain(|_, at| now.saturating_duration_since(*at) < STALE);
        self.sent.retain(|_, times| {
            times.retain(|at| now.saturating_duration_since(*at) < COLD_WINDOW);
            !times.is_empty()
        });
    }

    /// Requests sent to a target within the last second.
    pub fn sent_lately(&self, now: Instant, tag: Tag) -> usize {
        let is_late = |at: &&Instant| now.saturating_duration_since(**at) < COLD_WINDOW;
        self.sent.get(&tag).map_or(0, |times| times.iter().filter(is_late).count())
    }

    fn all(&self, now: Instant) -> impl Iterator<Item = &Entry> {
        let peers = self.peers.values().flat_map(HashMap::values);
        let is_fresh = move |entry: &&Entry| now.saturating_duration_since(entry.told) < STALE;
        self.own.values().chain(peers.filter(is_fresh))
    }

    /// What each of the targets has to do.
    pub fn loads(
        &self,
        now: Instant,
        targets: &[Arc<Target>],
        profile: Option<&Profile>,
    ) -> Vec<Load> {
        let places: HashMap<Tag, usize> =
            targets.iter().enumerate().map(|(place, target)| (target.tag, place)).collect();
        let mut loads = vec![Load::default(); targets.len()];
        let mut engines = vec![Engine::default(); targets.len()];
        for entry in self.all(now) {
            add_allocation(entry, &places, &mut loads, &mut engines);
        }
        if let Some(profile) = profile {
            for ((load, engine), target) in loads.iter_mut().zip(&mut engines).zip(targets) {
                engine.decoding_streams = load.decoding_streams;
                engine.decode_context = load.decode_context;
                engine.last_iteration_end = self.passes.get(&target.tag).copied();
                let backlog = engine.backlog(now, profile);
                load.prefill_backlog = backlog.prefill_left;
                load.prefill_start_delay = backlog.prefill_start_delay;
                load.next_iteration_prefill = backlog.next_iteration_prefill;
                load.decoding_streams = backlog.decoding_streams;
            }
        }
        loads
    }

    fn note_sent(&mut self, at: Instant, tag: Tag) {
        self.sent.entry(tag).or_default().push_back(at);
    }
}

fn add_allocation(
    entry: &Entry,
    places: &HashMap<Tag, usize>,
    loads: &mut [Load],
    engines: &mut [Engine],
) {
    let allocation = &entry.allocation;
    if let Some(&first) = places.get(&allocation.first) {
        let load = &mut loads[first];
        load.requests += 1;
        load.short_requests += u32::from(allocation.short);
        load.inter_token_target = load.inter_token_target.into_iter().chain(allocation.gap).min();
        match allocation.stage {
            Stage::Writing => {
                load.decoding_streams += 1;
                load.decode_context += allocation.prompt + allocation.answer;
            }
            Stage::Reading => engines[first].pending_prefills.push(entry.read(true)),
        }
        if allocation.memory.is_empty() {
            loads[first].kv_used += allocation.prompt + allocation.answer;
        }
    }
    for &(tag, tokens) in &allocation.memory {
        if let Some(&place) = places.get(&tag) {
            loads[place].kv_used += tokens;
        }
    }
    if allocation.stage == Stage::Writing {
        return;
    }
    for place in allocation.helpers.iter().filter_map(|tag| places.get(tag)) {
        loads[*place].helper_chunks += 1;
        engines[*place].pending_prefills.push(entry.read(false));
    }
}
