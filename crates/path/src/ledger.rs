//! The ledger of allocations: which requests run on which targets, as known to this node. It also
//! holds the request rates that targets state, which are counted against what is sent to them.
//!
//! A node records the requests that it places itself. All nodes also report what they place in a
//! group of targets to the owner of the group and its successor. An allocation is reported again
//! every half second while it lasts and expires if the reports stop, so a lost datagram or a dead
//! node leaves no stale allocation.

use crate::capacity::Learned;
use crate::view::{Tag, Target};
use hickory_policy::capacity::Start;
use hickory_policy::engine::Profile;
use hickory_policy::iteration::{Engine, PendingPrefill};
use hickory_policy::plan::Load;
use hickory_policy::rate_limit::RateLimits;
use hickory_unit::id;
use hickory_unit::size::Tokens;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long an allocation of a peer lasts without a new report: four report intervals.
const PEER_ALLOCATION_TTL: Duration = Duration::from_secs(2);

/// The window for counting the requests sent to a cold target.
const COLD_SEND_WINDOW: Duration = Duration::from_secs(1);

/// The maximum delay until a first token is reported: the decode steps of one engine iteration, the
/// network latency from the engine to the requesting node, and a datagram.
const FIRST_TOKEN_REPORT_DELAY: Duration = Duration::from_millis(100);

/// The divisor of the exponential moving average of answer times: the latest time has a weight of
/// one over this number.
const TYPICAL_TIME_SMOOTHING: u32 = 16;

/// The phase that a request is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Phase {
    /// The prompt is being prefilled.
    Prefill,
    /// The answer is being decoded.
    Decode,
}

/// The resources allocated to a request, as reported between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Allocation {
    /// The service of the request.
    pub service: id::Service,
    /// The target that the request was sent to.
    pub target: Tag,
    /// Further engines that prefill parts of the prompt.
    pub helpers: Vec<Tag>,
    /// The time that each engine, including the target, spends on its part of the prefill.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub prefill_time: Duration,
    /// The number of prompt tokens.
    #[serde(deserialize_with = "hickory_unit::bounded::tokens")]
    pub prompt: Tokens,
    /// The expected number of answer tokens.
    #[serde(deserialize_with = "hickory_unit::bounded::tokens")]
    pub expected_answer: Tokens,
    /// Memory by engine; empty if the target holds all of it.
    pub memory: Vec<(Tag, Tokens)>,
    /// The longest inter-token latency that the stream should have.
    #[serde(deserialize_with = "hickory_unit::bounded::optional_time")]
    pub max_token_gap: Option<Duration>,
    /// Whether the prompt is short.
    pub is_short: bool,
    /// The phase that the request is in.
    pub phase: Phase,
    /// The time since the request was placed.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub age: Duration,
}

#[derive(Clone, Debug)]
struct Entry {
    allocation: Allocation,
    placed: Instant,
    refreshed: Instant,
    /// The start of a request of a plain service.
    start: Option<Start>,
    /// The expected time to the first token by the state of the engine when it was placed.
    expected_time: Option<Duration>,
}

impl Entry {
    /// Whether the duration of this request is typical of its service. That of a long prompt
    /// depends on its length, and a request that ended before decode has no meaningful duration.
    fn is_typical(&self) -> bool {
        let Allocation { prompt, is_short, phase, .. } = &self.allocation;
        prompt.0 == 0 || (*is_short && *phase == Phase::Decode)
    }

    fn pending_prefill(&self, is_primary: bool) -> PendingPrefill {
        PendingPrefill {
            placed_at: self.placed,
            chunk_time: self.allocation.prefill_time,
            is_primary,
            notification_delay: FIRST_TOKEN_REPORT_DELAY,
        }
    }
}

impl Allocation {
    /// The engines that prefill the prompt.
    pub(crate) fn engines(&self) -> impl Iterator<Item = Tag> {
        std::iter::once(self.target).chain(self.helpers.iter().copied())
    }
}

/// Identifies an allocation within its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct AllocationId(pub u32);

/// The known allocations of this node and its peers.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    own: HashMap<AllocationId, Entry>,
    peers: HashMap<id::Node, HashMap<AllocationId, Entry>>,
    last_id: u32,
    sends: HashMap<Tag, VecDeque<Instant>>,
    rate_limits: RateLimits<Tag>,
    /// When each engine last ended an iteration, as observed by the arrival of a first token.
    iteration_ends: HashMap<Tag, Instant>,
    /// Moving averages of how long a request of a plain service, or a short stream, takes.
    typical_times: HashMap<id::Service, Duration>,
    learned: Learned,
}

impl Ledger {
    /// Opens a ledger whose IDs follow `last_id`. If that is random, answers to an earlier process of
    /// this node match none of its requests, even if they come from an older version, which doesn't
    /// state which process they are for.
    pub fn open(last_id: u32) -> Self {
        Self { last_id, ..Self::default() }
    }

    /// Returns an ID for a new request of this node.
    pub fn next_id(&mut self) -> AllocationId {
        self.last_id = self.last_id.wrapping_add(1);
        AllocationId(self.last_id)
    }

    /// Records a request that this node places now.
    pub fn record(&mut self, now: Instant, id: AllocationId, allocation: Allocation) {
        let target = allocation.target;
        let known = self.own.remove(&id);
        let is_new = known.is_none();
        let entry = self.open_entry(now, now, allocation, known);
        self.own.insert(id, entry);
        if is_new {
            self.note_send(now, target);
        }
    }

    /// Records the first token of a request of this node.
    pub fn begin_decode(&mut self, now: Instant, id: AllocationId) {
        if let Some(entry) = self.own.get_mut(&id) {
            entry.allocation.phase = Phase::Decode;
            self.iteration_ends.insert(entry.allocation.target, now);
            let elapsed = now.saturating_duration_since(entry.placed);
            self.learned.note_first_token(
                now,
                entry.allocation.target,
                elapsed,
                entry.expected_time.take(),
            );
        }
    }

    /// Removes a request of this node.
    pub fn finish(&mut self, now: Instant, id: AllocationId) {
        let entry = self.own.remove(&id);
        self.note_end(now, None, entry.as_ref());
        self.note_typical_time(now, entry);
    }

    /// Returns the entry of an allocation that is recorded, or refreshed if it is known.
    fn open_entry(
        &mut self,
        now: Instant,
        placed: Instant,
        allocation: Allocation,
        known: Option<Entry>,
    ) -> Entry {
        let (start, expected_time) = match known {
            Some(known) if known.allocation.target == allocation.target => {
                (known.start, known.expected_time)
            }
            Some(known) => {
                self.learned.withdraw(&known.allocation, known.start);
                (self.learned.begin(now, placed, &allocation), None)
            }
            None => {
                let expected = self.expect_first_token(now, &allocation);
                (self.learned.begin(now, placed, &allocation), expected)
            }
        };
        Entry { allocation, placed, refreshed: now, start, expected_time }
    }

    /// Returns the expected time to the first token of a prompt that is placed now: that of the
    /// engine with the most work; `None` if the speeds of engines aren't learned.
    fn expect_first_token(&self, now: Instant, allocation: &Allocation) -> Option<Duration> {
        let profile = self.learned.profile(allocation)?;
        let indexes: HashMap<Tag, usize> = allocation.engines().zip(0..).collect();
        let count = 1 + allocation.helpers.len();
        let (mut loads, mut engines) =
            (vec![Load::default(); count], vec![Engine::default(); count]);
        for entry in self.current(now) {
            add_allocation(entry, &indexes, &mut loads, &mut engines);
        }
        let time_on = |(tag, index): (Tag, usize)| {
            let (load, engine) = (&loads[index], &mut engines[index]);
            engine.decoding_streams = load.decoding_streams;
            engine.decode_context = load.decode_context;
            engine.last_iteration_end = self.iteration_ends.get(&tag).copied();
            let backlog = engine.backlog(now, profile);
            let iteration = profile.iteration_time(backlog.decoding_streams, load.decode_context);
            backlog.prefill_start_delay + allocation.prefill_time + iteration
        };
        indexes.into_iter().map(time_on).max()
    }

    fn note_end(&mut self, now: Instant, node: Option<&id::Node>, entry: Option<&Entry>) {
        if let Some(entry) = entry {
            self.learned.end(now, node, &entry.allocation, entry.start);
        }
    }

    /// Returns what is learned of the targets.
    pub(crate) fn learned_mut(&mut self) -> &mut Learned {
        &mut self.learned
    }

    fn note_typical_time(&mut self, now: Instant, entry: Option<Entry>) {
        let Some(entry) = entry.filter(|entry| entry.is_typical()) else { return };
        let elapsed = now.saturating_duration_since(entry.placed);
        let typical_time = self.typical_times.entry(entry.allocation.service).or_insert(elapsed);
        *typical_time =
            (*typical_time * (TYPICAL_TIME_SMOOTHING - 1) + elapsed) / TYPICAL_TIME_SMOOTHING;
    }

    /// Returns how long a request of a plain service, or a short stream, typically takes; `None`
    /// before the first one has ended.
    pub fn typical_time(&self, service: &id::Service) -> Option<Duration> {
        self.typical_times.get(service).copied()
    }

    /// Returns the allocations of this node with their current age, to report them to peers.
    pub fn own_allocations(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (AllocationId, Allocation)> {
        self.own.iter().map(move |(&id, entry)| {
            let age = now.saturating_duration_since(entry.placed);
            (id, Allocation { age, ..entry.allocation.clone() })
        })
    }

    /// Records or refreshes an allocation that a peer reported.
    pub fn record_peer(
        &mut self,
        now: Instant,
        node: &id::Node,
        id: AllocationId,
        allocation: Allocation,
    ) {
        let placed = now.checked_sub(allocation.age).unwrap_or(now);
        let target = allocation.target;
        let known = self.peers.get_mut(node).and_then(|allocations| allocations.remove(&id));
        let is_new = known.is_none();
        let entry = self.open_entry(now, placed, allocation, known);
        let allocations = match self.peers.get_mut(node) {
            Some(allocations) => allocations,
            None => self.peers.entry(node.clone()).or_default(),
        };
        allocations.insert(id, entry);
        if is_new {
            self.note_send(placed, target);
        }
    }

    /// Records the first token of a peer's request.
    pub fn begin_peer_decode(&mut self, now: Instant, node: &id::Node, id: AllocationId) {
        if let Some(entry) =
            self.peers.get_mut(node).and_then(|allocations| allocations.get_mut(&id))
        {
            entry.allocation.phase = Phase::Decode;
            self.iteration_ends.insert(entry.allocation.target, now);
            let elapsed = now.saturating_duration_since(entry.placed);
            self.learned.note_first_token(
                now,
                entry.allocation.target,
                elapsed,
                entry.expected_time.take(),
            );
        }
    }

    /// Removes a peer's request.
    pub fn finish_peer(&mut self, now: Instant, node: &id::Node, id: AllocationId) {
        let entry = self.peers.get_mut(node).and_then(|allocations| allocations.remove(&id));
        self.note_end(now, Some(node), entry.as_ref());
        self.note_typical_time(now, entry);
    }

    /// Removes all requests of a peer that has restarted.
    pub fn forget_node(&mut self, node: &id::Node) {
        for entry in self.peers.remove(node).into_iter().flat_map(HashMap::into_values) {
            self.learned.withdraw(&entry.allocation, entry.start);
        }
        self.learned.forget_node(node);
    }

    /// Returns the request rates that targets state.
    pub fn rate_limits(&self) -> &RateLimits<Tag> {
        &self.rate_limits
    }

    /// Returns the request rates that targets state, to apply a statement.
    pub fn rate_limits_mut(&mut self) -> &mut RateLimits<Tag> {
        &mut self.rate_limits
    }

    /// Removes allocations that peers no longer report, and other outdated records.
    pub fn expire(&mut self, now: Instant) {
        for allocations in self.peers.values_mut() {
            allocations.retain(|_, entry| {
                let is_fresh = now.saturating_duration_since(entry.refreshed) < PEER_ALLOCATION_TTL;
                if !is_fresh {
                    self.learned.withdraw(&entry.allocation, entry.start);
                }
                is_fresh
            });
        }
        self.peers.retain(|_, allocations| !allocations.is_empty());
        self.iteration_ends
            .retain(|_, at| now.saturating_duration_since(*at) < PEER_ALLOCATION_TTL);
        self.rate_limits.expire(now);
        self.sends.retain(|_, times| {
            times.retain(|at| now.saturating_duration_since(*at) < COLD_SEND_WINDOW);
            !times.is_empty()
        });
    }

    /// Returns the number of requests sent to a target within the last second.
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

    /// Computes the load of each target from the current allocations.
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
                engine.decoding_streams = load.decoding_streams;
                engine.decode_context = load.decode_context;
                engine.last_iteration_end = self.iteration_ends.get(&target.tag).copied();
                let backlog = engine.backlog(now, profile);
                load.prefill_backlog = backlog.prefill_left;
                load.prefill_start_delay = backlog.prefill_start_delay;
                load.next_iteration_prefill = backlog.next_iteration_prefill;
                load.decoding_streams = backlog.decoding_streams;
            }
        }
        loads
    }

    fn note_send(&mut self, at: Instant, tag: Tag) {
        self.sends.entry(tag).or_default().push_back(at);
        self.rate_limits.record_send(at, tag);
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
        load.short_requests += u32::from(allocation.is_short);
        load.inter_token_target =
            load.inter_token_target.into_iter().chain(allocation.max_token_gap).min();
        match allocation.phase {
            Phase::Decode => {
                load.decoding_streams += 1;
                load.decode_context += allocation.prompt + allocation.expected_answer;
            }
            Phase::Prefill => engines[target].pending_prefills.push(entry.pending_prefill(true)),
        }
        if allocation.memory.is_empty() {
            loads[target].kv_used += allocation.prompt + allocation.expected_answer;
        }
    }
    for &(tag, tokens) in &allocation.memory {
        if let Some(&index) = indexes.get(&tag) {
            loads[index].kv_used += tokens;
        }
    }
    if allocation.phase == Phase::Decode {
        return;
    }
    for index in allocation.helpers.iter().filter_map(|tag| indexes.get(tag)) {
        loads[*index].helper_chunks += 1;
        engines[*index].pending_prefills.push(entry.pending_prefill(false));
    }
}
