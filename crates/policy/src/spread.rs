//! How a large document spreads from node to node. A node takes on only what its
//! link sends within a moment ([`Meter`]) and names those it gave to before
//! ([`Given`]) to those it turns away; whoever has the whole gives it on, so that
//! the last of `n` nodes has it after about log `n` rounds. Those who ask go to any
//! giver that is not known to be busy ([`Givers`]).
//!
//! Load pattern: a few nodes have a new document, and all others ask for it at the
//! same moment, over links that carry a few copies a second.

use hickory_unit::rate;
use hickory_unit::size::Bytes;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Answers up to this size are always taken on: the word that a target leaves
/// must not wait behind a document.
const SMALL_ANSWER: Bytes = Bytes(2 << 10);

/// How long what was taken on may keep the link busy before one more is turned
/// away. Whoever is admitted waits this long for its first byte, which has to
/// be far below the time after which it would take the giver for silent.
const MAX_BACKLOG: Duration = Duration::from_millis(50);

/// The longest that one is told to wait before it asks the same giver again:
/// others have the document by then.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// A longer time isn't foretold: the rate of the link is not what it was taken
/// for.
const MAX_SEND_TIME: Duration = Duration::from_secs(60);

/// How long bytes are counted before they tell the rate of a link.
const MIN_RATE_SAMPLE_TIME: Duration = Duration::from_millis(25);

/// A link counts as slower than it is said to be from this on: takers differ in what
/// they take as well.
const MIN_SLOWDOWN: f64 = 2.0;

/// A link that takes this many times longer than it is said to is as good as cut.
const MAX_SLOWDOWN: f64 = 1_000.0;

/// Nodes named to one that is turned away.
const MAX_REFERRALS: usize = 6;

/// What a connection takes of an answer before its link has sent any of it.
const CONNECTION_BUFFER_BYTES: u64 = 64 << 10;

/// What a node is sending.
///
/// It counts the bytes that its link has not taken yet, by the rate at which it
/// takes them: one that carries less than it is said to, or is full of callers'
/// answers, would be promised to many at once, and none would get its document
/// in time.
#[derive(Clone, Debug, Default)]
pub struct UploadMeter {
    transfers: Vec<Transfer>,
    last_ticket: u32,
}

/// An answer that is being sent.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    ticket: Ticket,
    size: Bytes,
    remaining: Bytes,
    started: Instant,
    /// When the link last took some of it.
    last_progress: Instant,
    /// When its connection's buffers were full, and what was taken of it then.
    buffers_full: Option<(Instant, u64)>,
}

/// Names an answer that was taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u32);

/// An answer that was not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy {
    /// How long until it may be asked for again.
    pub wait: Duration,
}

impl UploadMeter {
    /// Takes on an answer of this size, if the link can begin it soon.
    ///
    /// Whoever is turned away waits until the link is idle, and not just until
    /// the next can be taken on: many wait for that, and their asking would
    /// fill the link.
    pub fn admit(
        &mut self,
        now: Instant,
        size: Bytes,
        link: rate::BytesPerSecond,
    ) -> Result<Ticket, Busy> {
        let backlog = self.backlog(now, link);
        if size > SMALL_ANSWER && backlog > MAX_BACKLOG {
            return Err(Busy { wait: backlog.min(MAX_WAIT) });
        }
        self.last_ticket = self.last_ticket.wrapping_add(1);
        let ticket = Ticket(self.last_ticket);
        self.transfers.push(Transfer {
            ticket,
            size,
            remaining: size,
            started: now,
            last_progress: now,
            buffers_full: None,
        });
        Ok(ticket)
    }

    /// Whether the link is too busy for more than the smallest answers.
    pub fn is_busy(&mut self, now: Instant, link: rate::BytesPerSecond) -> bool {
        self.backlog(now, link) > MAX_BACKLOG
    }

    /// Notes what is left of an answer.
    pub fn record_remaining(&mut self, now: Instant, ticket: Ticket, remaining: Bytes) {
        let transfer = self.transfers.iter_mut().find(|transfer| transfer.ticket == ticket);
        if let Some(transfer) = transfer.filter(|transfer| transfer.remaining != remaining) {
            (transfer.remaining, transfer.last_progress) = (remaining, now);
            let taken = transfer.size.0.saturating_sub(remaining.0);
            if taken >= CONNECTION_BUFFER_BYTES {
                transfer.buffers_full.get_or_insert((now, taken));
            }
        }
    }

    /// Notes that an answer has ended.
    pub fn finish(&mut self, ticket: Ticket) {
        self.transfers.retain(|transfer| transfer.ticket != ticket);
    }

    /// How long the link is busy with what was taken on. One who stopped
    /// reading, or reads for longer than takers do, holds no place.
    fn backlog(&mut self, now: Instant, link: rate::BytesPerSecond) -> Duration {
        let age = |at: Instant| now.saturating_duration_since(at);
        self.transfers.retain(|transfer| {
            age(transfer.started) < MAX_TRANSFER_TIME && age(transfer.last_progress) < MAX_SILENCE
        });
        let remaining =
            self.transfers.iter().map(|transfer| transfer.remaining.0).fold(0, u64::saturating_add);
        let time = link.time_for(Bytes(remaining)).min(MAX_SEND_TIME);
        time.mul_f64(self.slowdown(now, link)).min(MAX_SEND_TIME)
    }

    /// How many times longer the link takes than it is said to, as far as it shows.
    fn slowdown(&self, now: Instant, link: rate::BytesPerSecond) -> f64 {
        let is_rate_known = self.transfers.iter().any(|transfer| transfer.is_rate_known(now));
        let rate: f64 = self.transfers.iter().map(|transfer| transfer.rate(now)).sum();
        let slowdown = if link.0.is_finite() { link.0 / rate.max(1.0) } else { 1.0 };
        match is_rate_known && slowdown >= MIN_SLOWDOWN {
            true => slowdown.min(MAX_SLOWDOWN),
            false => 1.0,
        }
    }
}

impl Transfer {
    /// Whether the rate at which it is sent shows.
    fn is_rate_known(&self, now: Instant) -> bool {
        self.buffers_full
            .is_some_and(|(at, _)| now.saturating_duration_since(at) >= MIN_RATE_SAMPLE_TIME)
    }

    /// Bytes a second that the link has sent of it: since its connection's buffers were
    /// full, if they are.
    fn rate(&self, now: Instant) -> f64 {
        let (since, before) = self.buffers_full.unwrap_or((self.started, 0));
        let sent = self.size.0 - self.remaining.0.min(self.size.0) - before;
        let time = now.saturating_duration_since(since).as_secs_f64();
        if time > 0.0 { sent as f64 / time } else { 0.0 }
    }
}

/// The nodes that were given a document lately, which can give it on.
#[derive(Clone, Debug)]
pub struct Recipients<K> {
    /// With the time at which each has it, the oldest first.
    nodes: VecDeque<(Instant, K)>,
}

impl<K> Default for Recipients<K> {
    fn default() -> Self {
        Self { nodes: VecDeque::new() }
    }
}

impl<K: Clone + PartialEq> Recipients<K> {
    /// Notes a node once the whole was sent to it: one that died, was cut off or
    /// stopped reading is never named. It has the document at `at`, a moment
    /// later, as the end may still be in buffers.
    pub fn record(&mut self, at: Instant, node: K) {
        self.nodes.retain(|(_, known)| *known != node);
        self.nodes.push_back((at, node));
        if self.nodes.len() > MAX_REFERRALS * 2 {
            self.nodes.pop_front();
        }
    }

    /// The latest of those that have it by now.
    pub fn recent(&self, now: Instant) -> Vec<K> {
        let done = self.nodes.iter().rev().filter(|(at, _)| *at <= now);
        done.take(MAX_REFERRALS).map(|(_, node)| node.clone()).collect()
    }

    /// Forgets all: the document has changed.
    pub fn clear(&mut self) {
        self.nodes.clear();
    }
}

/// What one who wants a document does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice<K> {
    /// Asks this node.
    Fetch(K),
    /// All that are known to have it are busy: looks again after this time.
    Wait(Duration),
    /// None is known to have it.
    NoSource,
}

/// Who can give a document, as one who wants it knows them.
#[derive(Clone, Debug)]
pub struct Sources<K> {
    referrals: Vec<K>,
    busy_until: HashMap<K, Instant>,
    /// Failures without an answer between them.
    consecutive_failures: u32,
}

impl<K> Default for Sources<K> {
    fn default() -> Self {
        Self { referrals: Vec::new(), busy_until: HashMap::new(), consecutive_failures: 0 }
    }
}

/// How long a giver that failed is left alone.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// How long a giver may take to begin its answer where others have the document
/// as well. It takes on only what it can begin at once, so one that says nothing
/// has most likely died or is cut off, and each moment spent on it is one that
/// every node behind this one waits for.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Failures in a row after which a taker is patient: not the givers are silent
/// then, but its own link or host is slow.
const FAILURES_BEFORE_LONG_TIMEOUT: u32 = 3;

/// The same where no other is known, and how long an answer that has begun may
/// be silent: a host that was short of its processor goes on after that.
pub const MAX_SILENCE: Duration = Duration::from_millis(700);

/// How long a taker reads one answer. It keeps what came and asks for the rest
/// anew, of one that sends faster if there is any: a giver whose link is nearly
/// cut would hold it for as long as it sends a byte now and then.
pub const MAX_TRANSFER_TIME: Duration = Duration::from_secs(2);

/// Named givers that are remembered; more are as good as these.
const MAX_REMEMBERED_SOURCES: usize = 64;

impl<K: Copy + Eq + Hash> Sources<K> {
    /// Notes that a giver is busy and whom it named in its place. `random` is
    /// from 0 to 1: those who were turned away together come back apart.
    pub fn record_busy(&mut self, now: Instant, source: K, busy: Busy, others: &[K], random: f64) {
        self.record_response();
        self.busy_until.insert(source, now + busy.wait.mul_f64(1.0 + random));
        for other in others {
            if self.referrals.len() < MAX_REMEMBERED_SOURCES && !self.referrals.contains(other) {
                self.referrals.push(*other);
            }
        }
    }

    /// Notes that a giver answered.
    pub fn record_response(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Notes a giver that gave no answer, or broke off.
    pub fn record_failure(&mut self, now: Instant, source: K) {
        self.consecutive_failures += 1;
        self.busy_until.insert(source, now + FAILURE_BACKOFF);
    }

    /// How long one that is asked may take to begin its answer.
    pub fn response_timeout(&self, source: K, holders: &[K]) -> Duration {
        let others = holders.iter().chain(&self.referrals).any(|node| *node != source);
        let has_long_timeout = !others || self.consecutive_failures >= FAILURES_BEFORE_LONG_TIMEOUT;
        if has_long_timeout { MAX_SILENCE } else { RESPONSE_TIMEOUT }
    }

    /// Whom to ask next, of those that are `heard` to have the document and
    /// those that were named. `random` is from 0 to 1.
    pub fn choose(&self, now: Instant, holders: &[K], random: f64) -> Choice<K> {
        let named = self.referrals.iter().filter(|node| !holders.contains(node));
        let all: Vec<K> = holders.iter().chain(named).copied().collect();
        let wait = |node: &K| {
            let until = self.busy_until.get(node);
            until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
        };
        let free: Vec<K> = all.iter().copied().filter(|node| wait(node).is_zero()).collect();
        if !free.is_empty() {
            let place = (random * free.len() as f64) as usize;
            return Choice::Fetch(free[place.min(free.len() - 1)]);
        }
        all.iter().map(wait).min().map_or(Choice::NoSource, Choice::Wait)
    }
}
