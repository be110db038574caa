//! Distribution of a large document from node to node. A node accepts only the transfers that its
//! link can start within a moment ([`UploadMeter`]); the nodes that it rejects are referred to
//! earlier recipients ([`Recipients`]). Every node with the complete document serves it, so all `n`
//! nodes have it after about log `n` rounds. A requester asks any source that is not known to be
//! busy ([`Sources`]).
//!
//! Load pattern: a few nodes have a new document and all others request it at the same time, over
//! links that can carry a few copies per second.

use hickory_unit::rate;
use hickory_unit::size::Bytes;
use std::collections::{HashMap, VecDeque};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// Answers up to this size are always accepted: small messages such as a target's announcement that
/// it leaves must not queue behind a document.
const SMALL_ANSWER: Bytes = Bytes(2 << 10);

/// Longest time that accepted transfers may keep the link busy before further ones are rejected. An
/// accepted requester waits this long for its first byte, so it must be well below the requester's
/// timeout.
const MAX_BACKLOG: Duration = Duration::from_millis(50);

/// Longest wait that a rejected requester is given before it may ask the same source again; by then
/// other nodes have the document.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// Cap on estimated transfer times. A longer estimate means that the assumed link rate is wrong.
const MAX_SEND_TIME: Duration = Duration::from_secs(60);

/// Minimum time over which bytes are counted before a link's rate is estimated.
const MIN_RATE_SAMPLE_TIME: Duration = Duration::from_millis(25);

/// Minimum slowdown against the configured rate that is taken into account; smaller ones can come
/// from slow readers.
const MIN_SLOWDOWN: f64 = 2.0;

/// Upper bound of the slowdown; a link slower than this is treated as cut.
const MAX_SLOWDOWN: f64 = 1_000.0;

/// Maximum number of nodes that a rejected requester is referred to.
const MAX_REFERRALS: usize = 6;

/// Bytes that a connection buffers before the link has sent any of them.
const CONNECTION_BUFFER_BYTES: u64 = 64 << 10;

/// Transfers that a node is sending.
///
/// It tracks the bytes not yet sent and the rate at which the link sends them. If a link is slower
/// than configured, or full of answers to callers, the configured rate would let in too many
/// transfers, and none would finish in time.
#[derive(Clone, Debug, Default)]
pub struct UploadMeter {
    transfers: Vec<Transfer>,
    last_ticket: u32,
}

/// A transfer in progress.
#[derive(Clone, Copy, Debug)]
struct Transfer {
    ticket: Ticket,
    size: Bytes,
    remaining: Bytes,
    started: Instant,
    /// When the link last sent some of it.
    last_progress: Instant,
    /// When the buffers of its connection became full, and the bytes accepted until then.
    buffers_full: Option<(Instant, u64)>,
}

/// Identifies an accepted transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket(u32);

/// Rejection of a transfer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy {
    /// Time until the requester may ask again.
    pub wait: Duration,
}

impl UploadMeter {
    /// Accepts a transfer of this size if the link can start it soon.
    ///
    /// A rejected requester is asked to wait until the link is idle, not just until the next
    /// transfer can be accepted: many nodes wait for that, and their requests would fill the link.
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

    /// Returns whether the link is too busy for all but the smallest answers.
    pub fn is_busy(&mut self, now: Instant, link: rate::BytesPerSecond) -> bool {
        self.backlog(now, link) > MAX_BACKLOG
    }

    /// Records the remaining bytes of a transfer.
    pub fn record_remaining(&mut self, now: Instant, ticket: Ticket, remaining: Bytes) {
        let transfer = self.transfers.iter_mut().find(|transfer| transfer.ticket == ticket);
        if let Some(transfer) = transfer.filter(|transfer| transfer.remaining != remaining) {
            (transfer.remaining, transfer.last_progress) = (remaining, now);
            let accepted = transfer.size.0.saturating_sub(remaining.0);
            if accepted >= CONNECTION_BUFFER_BYTES {
                transfer.buffers_full.get_or_insert((now, accepted));
            }
        }
    }

    /// Records that a transfer has ended.
    pub fn finish(&mut self, ticket: Ticket) {
        self.transfers.retain(|transfer| transfer.ticket != ticket);
    }

    /// Returns how long the link is busy with accepted transfers. Transfers whose reader has
    /// stopped, or takes longer than requesters read, are dropped.
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

    /// Returns the measured factor by which the link is slower than configured.
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
    /// Returns whether enough was sent to estimate the rate.
    fn is_rate_known(&self, now: Instant) -> bool {
        self.buffers_full
            .is_some_and(|(at, _)| now.saturating_duration_since(at) >= MIN_RATE_SAMPLE_TIME)
    }

    /// Returns the rate in bytes per second at which the link sends this transfer, measured from
    /// the time the buffers of its connection were full, or from the start while they are not.
    fn rate(&self, now: Instant) -> f64 {
        let (since, before) = self.buffers_full.unwrap_or((self.started, 0));
        let sent = self.size.0 - self.remaining.0.min(self.size.0) - before;
        let time = now.saturating_duration_since(since).as_secs_f64();
        if time > 0.0 { sent as f64 / time } else { 0.0 }
    }
}

/// Nodes that recently received a document and can serve it.
#[derive(Clone, Debug)]
pub struct Recipients<K> {
    /// Each node with the time from which it has the document, oldest first.
    nodes: VecDeque<(Instant, K)>,
}

impl<K> Default for Recipients<K> {
    fn default() -> Self {
        Self { nodes: VecDeque::new() }
    }
}

impl<K: Clone + PartialEq> Recipients<K> {
    /// Records a node after the whole document was sent to it, so that nodes that died, were cut
    /// off or stopped reading are never named. The node counts as a source from `at` on, a moment
    /// later, as the end may still be in buffers.
    pub fn record(&mut self, at: Instant, node: K) {
        self.nodes.retain(|(_, known)| *known != node);
        self.nodes.push_back((at, node));
        if self.nodes.len() > MAX_REFERRALS * 2 {
            self.nodes.pop_front();
        }
    }

    /// Returns the latest recipients that have the document by now.
    pub fn recent(&self, now: Instant) -> Vec<K> {
        let done = self.nodes.iter().rev().filter(|(at, _)| *at <= now);
        done.take(MAX_REFERRALS).map(|(_, node)| node.clone()).collect()
    }

    /// Removes all nodes, because the document has changed.
    pub fn clear(&mut self) {
        self.nodes.clear();
    }
}

/// What a requester of a document does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice<K> {
    /// Request it from this node.
    Fetch(K),
    /// All known sources are busy; try again after this time.
    Wait(Duration),
    /// No source is known.
    NoSource,
}

/// Sources of a document, as known to a requester.
#[derive(Clone, Debug)]
pub struct Sources<K> {
    referrals: Vec<K>,
    busy_until: HashMap<K, Instant>,
    /// Failures since the last answer.
    consecutive_failures: u32,
}

impl<K> Default for Sources<K> {
    fn default() -> Self {
        Self { referrals: Vec::new(), busy_until: HashMap::new(), consecutive_failures: 0 }
    }
}

/// Time for which a failed source is not asked again.
const FAILURE_BACKOFF: Duration = Duration::from_secs(1);

/// Timeout for the first byte if other sources are known. A source accepts only what it can start
/// immediately, so a silent one is most likely dead or cut off, and every moment spent on it delays
/// all the nodes that fetch from this one next.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Number of consecutive failures after which the longer timeout is used: then this node's own link
/// or host is more likely slow than all sources are silent.
const FAILURES_BEFORE_LONG_TIMEOUT: u32 = 3;

/// Timeout for the first byte if no other source is known, and for silence within an answer: a host
/// that was short of processor time continues before it ends.
pub const MAX_SILENCE: Duration = Duration::from_millis(700);

/// Maximum time for which one answer is read. The requester keeps what it received and requests the
/// rest again, from a faster source if there is one. Otherwise a source whose link is nearly cut
/// would hold it for as long as it sends a byte now and then.
pub const MAX_TRANSFER_TIME: Duration = Duration::from_secs(2);

/// Maximum number of referrals kept; further ones would not be better than these.
const MAX_REMEMBERED_REFERRALS: usize = 64;

impl<K: Copy + Eq + Hash> Sources<K> {
    /// Records that a source is busy and the nodes that it referred to. `random` is from 0 to 1 and
    /// spreads the retries of nodes that were rejected together.
    pub fn record_busy(&mut self, now: Instant, source: K, busy: Busy, others: &[K], random: f64) {
        self.record_response();
        self.busy_until.insert(source, now + busy.wait.mul_f64(1.0 + random));
        for other in others {
            if self.referrals.len() < MAX_REMEMBERED_REFERRALS && !self.referrals.contains(other) {
                self.referrals.push(*other);
            }
        }
    }

    /// Records that a source answered.
    pub fn record_response(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records that a source did not answer or broke off.
    pub fn record_failure(&mut self, now: Instant, source: K) {
        self.consecutive_failures += 1;
        self.busy_until.insert(source, now + FAILURE_BACKOFF);
    }

    /// Returns the timeout for the first byte from a source.
    pub fn response_timeout(&self, source: K, holders: &[K]) -> Duration {
        let others = holders.iter().chain(&self.referrals).any(|node| *node != source);
        let has_long_timeout = !others || self.consecutive_failures >= FAILURES_BEFORE_LONG_TIMEOUT;
        if has_long_timeout { MAX_SILENCE } else { RESPONSE_TIMEOUT }
    }

    /// Chooses the next source among the known `holders` of the document and the referrals.
    /// `random` is from 0 to 1.
    pub fn choose(&self, now: Instant, holders: &[K], random: f64) -> Choice<K> {
        let referrals = self.referrals.iter().filter(|node| !holders.contains(node));
        let all: Vec<K> = holders.iter().chain(referrals).copied().collect();
        let wait = |node: &K| {
            let until = self.busy_until.get(node);
            until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
        };
        let free: Vec<K> = all.iter().copied().filter(|node| wait(node).is_zero()).collect();
        if !free.is_empty() {
            let index = (random * free.len() as f64) as usize;
            return Choice::Fetch(free[index.min(free.len() - 1)]);
        }
        all.iter().map(wait).min().map_or(Choice::NoSource, Choice::Wait)
    }
}
