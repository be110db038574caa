//! What a target holds, as its load reports show it, and what of that nobody
//! stands for any more.
//!
//! A node may die, freeze or lose a message at any moment; what it left on a
//! target is found here by the sender and the deadline in each stream's id,
//! and released without the node.

use crate::granted::{Foreign, SWEEP_GRACE};
use crate::owned::Target;
use hickory_policy::limit::{self, Capacity, Observed, Ticket};
use hickory_policy::ramp::Sample;
use hickory_target::engine::{Handle, HeldStream, Report};
use hickory_unit::{id, size};
use std::time::{Duration, Instant};

/// How long an ended stream may still stand in load reports, which lag.
const REPORT_LAG: Duration = Duration::from_secs(3);

/// With what a load report is read.
pub(crate) struct Found<F> {
    pub(crate) now: Instant,
    pub(crate) wall_ms: u64,
    /// How long a stream whose caller is gone is kept for a resume.
    pub(crate) resume: Duration,
    /// Whether a node is known to be there; true while nothing is known.
    pub(crate) is_live: F,
}

impl<F: Fn(&id::Node) -> bool> Found<F> {
    fn is_long_ago(&self, at: Instant) -> bool {
        self.now.saturating_duration_since(at) > self.resume
    }

    fn is_overdue(&self, stream: &id::Stream) -> bool {
        stream.deadline_ms.saturating_add(SWEEP_GRACE.as_millis() as u64) < self.wall_ms
    }
}

impl Target {
    /// Takes out of queue and books what nobody stands for any more, and
    /// names the streams to cancel on the target.
    pub(crate) fn sweep(&mut self, now: Instant, life: Duration, resume: Duration) {
        let old = |at: Instant| now.saturating_duration_since(at) > life;
        let silent = self.waiting.values().filter(|waiting| old(waiting.asked));
        let silent: Vec<id::Stream> = silent.map(|waiting| waiting.stream.clone()).collect();
        silent.iter().for_each(|stream| self.withdraw(stream));
        let untold = self.permits.iter().filter(|(_, granted)| granted.untold.is_some_and(old));
        let untold: Vec<Ticket> = untold.map(|(ticket, _)| *ticket).collect();
        for ticket in untold {
            self.give_back(now, ticket, limit::Outcome::Dropped);
        }
        let overdue = self.permits.values().filter(|granted| granted.is_overdue(now, resume));
        self.cancels.extend(overdue.map(|granted| granted.stream.clone()));
        self.ended.retain(|_, at| now.saturating_duration_since(*at) < REPORT_LAG);
    }

    /// Takes in a load report: what the target bears, what it holds, and what
    /// of that nobody stands for.
    pub(crate) fn take_report<F>(&mut self, report: &Report, found: &Found<F>)
    where
        F: Fn(&id::Node) -> bool,
    {
        self.incarnation = Some(report.incarnation);
        self.dead = false;
        self.fallen.clear();
        self.kv_used = report.kv_used;
        self.kv_capacity = report.kv_capacity;
        let ready = report.loaded.iter().filter(|loaded| loaded.ready);
        self.ready = ready.map(|loaded| crate::permit::to_wire(&loaded.weights)).collect();
        self.set_capacity(Capacity {
            streams: report.streams_max,
            kv: report.kv_capacity,
            prefill_rate: report.prefill_rate,
        });
        self.mark_gone(found);
        self.sweep_held(report, found);
        self.sweep_handles(report, found);
        let observed = self.observe(report);
        self.observe_load(found.now, &observed);
    }

    /// Takes a load report's warmth and foreign work into the limit.
    pub(crate) fn observe_load(&mut self, now: Instant, observed: &Observed) {
        if let Some(cold) = self.limiter.observe(now, observed) {
            log::info!(target = self.target.as_str(), cold:% = cold; "target ramps anew");
        }
    }

    fn observe(&self, report: &Report) -> Observed {
        // What has ended stands in the report until its lag has passed.
        let own = |held: &&HeldStream| !self.is_foreign(&held.stream);
        let foreign = report.streams.iter().filter(|held| self.is_foreign(&held.stream));
        let streams: size::Tokens = report.streams.iter().filter(own).map(|held| held.kv).sum();
        // A part of a long prompt stays on the engine as a kept KV cache when
        // its stream has ended; its permit stands for it.
        let kept = report.handles.iter().filter_map(|handle| {
            let held = report.streams.iter().any(|held| held.stream == handle.stream);
            let ticket = self.tickets.get(&handle.stream).filter(|_| !held)?;
            self.permits.get(ticket).map(|granted| granted.kv)
        });
        let owned_kv = streams + kept.sum::<size::Tokens>();
        let left = report.streams.iter().filter_map(|held| {
            let ticket = self.tickets.get(&held.stream)?;
            Some((*ticket, held.prefill_left))
        });
        Observed {
            sample: Sample {
                incarnation: report.incarnation,
                warmth: report.warmth,
                cache_hits: report.cache_hits,
                cache_misses: report.cache_misses,
            },
            foreign: foreign.count() as u32,
            foreign_kv: report.kv_used.saturating_sub(owned_kv),
            prefill_left: left.collect(),
        }
    }

    /// Whether a stream that the target holds was granted by a former owner.
    fn is_foreign(&self, stream: &id::Stream) -> bool {
        !self.tickets.contains_key(stream) && !self.ended.contains_key(stream)
    }

    /// Finds among the streams that the target holds those that nobody stands
    /// for: their deadline is past, or their node is gone and none has taken
    /// them up for the time of a resume.
    fn sweep_held<F>(&mut self, report: &Report, found: &Found<F>)
    where
        F: Fn(&id::Node) -> bool,
    {
        let known = std::mem::take(&mut self.foreign);
        let held = report.streams.iter().map(|held| &held.stream);
        for stream in held.filter(|stream| self.is_foreign(stream)).collect::<Vec<_>>() {
            let before = known.get(stream).and_then(|foreign| foreign.alone);
            let alone = before.or_else(|| (!(found.is_live)(&stream.sender)).then_some(found.now));
            self.foreign.insert(stream.clone(), Foreign { alone });
        }
        let orphans = self.foreign.iter().filter(|(stream, foreign)| {
            let alone = foreign.alone.is_some_and(|at| found.is_long_ago(at));
            found.is_overdue(stream) || alone
        });
        self.cancels.extend(orphans.map(|(stream, _)| stream.clone()));
    }

    /// Finds kept KV caches whose work is over: the sender of a placement over
    /// several engines drops them itself, unless it died half-way.
    fn sweep_handles<F>(&mut self, report: &Report, found: &Found<F>)
    where
        F: Fn(&id::Node) -> bool,
    {
        let orphans = report.handles.iter().filter(|handle| {
            let stream = &handle.stream;
            let alone = self.foreign.get(stream).and_then(|foreign| foreign.alone);
            let gone = !(found.is_live)(&stream.sender) && alone.is_none();
            found.is_overdue(stream) || (gone && !self.tickets.contains_key(stream))
        });
        self.drops = orphans.cloned().collect();
    }

    /// The kept KV caches to drop now.
    pub(crate) fn take_drops(&mut self) -> Vec<Handle> {
        std::mem::take(&mut self.drops)
    }

    /// Marks what gone nodes served, as if their callers had left: another
    /// node may take it up.
    fn mark_gone<F>(&mut self, found: &Found<F>)
    where
        F: Fn(&id::Node) -> bool,
    {
        for granted in self.permits.values_mut() {
            if granted.left.is_none() && !(found.is_live)(&granted.node) {
                granted.left = Some(found.now);
            }
        }
    }

    /// The streams to cancel now, each once.
    pub(crate) fn take_cancels(&mut self) -> Vec<id::Stream> {
        let mut cancels = std::mem::take(&mut self.cancels);
        cancels.sort();
        cancels.dedup();
        cancels
    }

    /// The target confirmed that a stream is gone.
    pub(crate) fn cancelled(&mut self, now: Instant, stream: &id::Stream) {
        if let Some(ticket) = self.tickets.get(stream).copied() {
            self.give_back(now, ticket, limit::Outcome::Dropped);
        }
        if self.foreign.remove(stream).is_some() {
            self.ended.insert(stream.clone(), now);
        }
    }

    /// The target did not answer a cancel: tried again.
    pub(crate) fn cancel_again(&mut self, stream: id::Stream) {
        self.cancels.push(stream);
    }

    /// The target died, by a closed port or a new incarnation: what ran on it,
    /// once for each death.
    pub(crate) fn take_death(&mut self) -> Vec<u64> {
        let told = std::mem::take(&mut self.fallen);
        if std::mem::replace(&mut self.dead, true) {
            return told;
        }
        let ran = self.permits.values_mut().map(|granted| {
            granted.counted = true;
            granted.fingerprint
        });
        ran.filter(|fingerprint| *fingerprint != 0).chain(told).collect()
    }

    /// The target runs as a new process: what was granted to the old one is
    /// gone with it.
    pub(crate) fn restarted(&mut self, now: Instant) {
        let tickets: Vec<Ticket> = self.permits.keys().copied().collect();
        for ticket in tickets {
            self.give_back(now, ticket, limit::Outcome::Dropped);
        }
        self.cancels.clear();
        self.foreign.clear();
    }
}
