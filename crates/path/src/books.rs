//! What runs where, as far as this node was told.
//!
//! A node knows what it placed itself. The owner of a group of targets and its
//! successor are told by all nodes what they placed there. A booking is told again
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

/// How long a peer's booking lasts without being told again: four tellings.
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
pub struct Booking {
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
struct Kept {
    booking: Booking,
    placed: Instant,
    told: Instant,
}

impl Kept {
    fn read(&self, writes: bool) -> Read {
        Read { placed: self.placed, part: self.booking.part, writes, word: WORD }
    }
}

impl Booking {
    /// The engines that read it.
    pub(crate) fn engines(&self) -> impl Iterator<Item = Tag> {
        std::iter::once(self.first).chain(self.helpers.iter().copied())
    }
}

/// Names a booking within its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Number(pub u32);

/// The bookings that are known.
#[derive(Clone, Debug, Default)]
pub struct Books {
    own: HashMap<Number, Kept>,
    peers: HashMap<id::Node, HashMap<Number, Kept>>,
    last: u32,
    sent: HashMap<Tag, VecDeque<Instant>>,
    /// When a pass of an engine was last seen to end, by a first token.
    passes: HashMap<Tag, Instant>,
    /// What an answer of a plain service usually takes.
    usual: HashMap<id::Service, Duration>,
}

impl Books {
    /// A number for a further request of this node.
    pub fn next_number(&mut self) -> Number {
        self.last = self.last.wrapping_add(1);
        Number(self.last)
    }

    /// Notes a request that this node places now.
    pub fn place(&mut self, now: Instant, number: Number, booking: Booking) {
        let first = booking.first;
        let kept = Kept { booking, placed: now, told: now };
        if self.own.insert(number, kept).is_none() {
            self.note_sent(now, first);
        }
    }

    /// Notes the first token of an own request.
    pub fn begin_writing(&mut self, now: Instant, number: Number) {
        if let Some(kept) = self.own.get_mut(&number) {
            kept.booking.stage = Stage::Writing;
            self.passes.insert(kept.booking.first, now);
        }
    }

    /// Forgets an own request.
    pub fn end(&mut self, now: Instant, number: Number) {
        let kept = self.own.remove(&number);
        self.note_usual(now, kept);
    }

    fn note_usual(&mut self, now: Instant, kept: Option<Kept>) {
        // A prompt's answer takes as long as it is.
        let Some(kept) = kept.filter(|kept| kept.booking.prompt.0 == 0) else { return };
        let took = now.saturating_duration_since(kept.placed);
        let usual = self.usual.entry(kept.booking.service).or_insert(took);
        *usual = (*usual * (USUAL_WEIGHT - 1) + took) / USUAL_WEIGHT;
    }

    /// What an answer of a plain service usually takes, if one was seen.
    pub fn usual_time(&self, service: &id::Service) -> Option<Duration> {
        self.usual.get(service).copied()
    }

    /// The own requests, as they are told to peers.
    pub fn tell(&self, now: Instant) -> impl Iterator<Item = (Number, Booking)> {
        self.own.iter().map(move |(&number, kept)| {
            let age = now.saturating_duration_since(kept.placed);
            (number, Booking { age, ..kept.booking.clone() })
        })
    }

    /// Takes a peer's booking.
    pub fn take(&mut self, now: Instant, node: &id::Node, number: Number, booking: Booking) {
        let placed = now.checked_sub(booking.age).unwrap_or(now);
        let first = booking.first;
        let bookings = match self.peers.get_mut(node) {
            Some(bookings) => bookings,
            None => self.peers.entry(node.clone()).or_default(),
        };
        let kept = Kept { booking, placed, told: now };
        if bookings.insert(number, kept).is_none() {
            self.note_sent(placed, first);
        }
    }

    /// Notes the first token of a peer's request.
    pub fn take_writing(&mut self, now: Instant, node: &id::Node, number: Number) {
        if let Some(kept) = self.peers.get_mut(node).and_then(|all| all.get_mut(&number)) {
            kept.booking.stage = Stage::Writing;
            self.passes.insert(kept.booking.first, now);
        }
    }

    /// Forgets a peer's request.
    pub fn take_end(&mut self, now: Instant, node: &id::Node, number: Number) {
        let kept = self.peers.get_mut(node).and_then(|bookings| bookings.remove(&number));
        self.note_usual(now, kept);
    }

    /// Forgets all requests of a peer, which started anew.
    pub fn forget(&mut self, node: &id::Node) {
        self.peers.remove(node);
    }

    /// Forgets what peers no longer tell of.
    pub fn expire(&mut self, now: Instant) {
        for bookings in self.peers.values_mut() {
            bookings.retain(|_, kept| now.saturating_duration_since(kept.told) < STALE);
        }
        self.peers.retain(|_, bookings| !bookings.is_empty());
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

    fn all(&self, now: Instant) -> impl Iterator<Item = &Kept> {
        let peers = self.peers.values().flat_map(HashMap::values);
        let is_fresh = move |kept: &&Kept| now.saturating_duration_since(kept.told) < STALE;
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
        for kept in self.all(now) {
            add_booking(kept, &places, &mut loads, &mut engines);
        }
        if let Some(profile) = profile {
            for ((load, engine), target) in loads.iter_mut().zip(&mut engines).zip(targets) {
                engine.writers = load.writers;
                engine.context = load.context;
                engine.ended = self.passes.get(&target.tag).copied();
                let backlog = engine.backlog(now, profile);
                load.backlog = backlog.unread;
                load.begins = backlog.begins;
                load.next = backlog.next;
                load.writers = backlog.writers;
            }
        }
        loads
    }

    fn note_sent(&mut self, at: Instant, tag: Tag) {
        self.sent.entry(tag).or_default().push_back(at);
    }
}

fn add_booking(
    kept: &Kept,
    places: &HashMap<Tag, usize>,
    loads: &mut [Load],
    engines: &mut [Engine],
) {
    let booking = &kept.booking;
    if let Some(&first) = places.get(&booking.first) {
        let load = &mut loads[first];
        load.requests += 1;
        load.short += u32::from(booking.short);
        load.gap = load.gap.into_iter().chain(booking.gap).min();
        match booking.stage {
            Stage::Writing => {
                load.writers += 1;
                load.context += booking.prompt + booking.answer;
            }
            Stage::Reading => engines[first].reads.push(kept.read(true)),
        }
        if booking.memory.is_empty() {
            loads[first].memory += booking.prompt + booking.answer;
        }
    }
    for &(tag, tokens) in &booking.memory {
        if let Some(&place) = places.get(&tag) {
            loads[place].memory += tokens;
        }
    }
    if booking.stage == Stage::Writing {
        return;
    }
    for place in booking.helpers.iter().filter_map(|tag| places.get(tag)) {
        loads[*place].helping += 1;
        engines[*place].reads.push(kept.read(false));
    }
}
