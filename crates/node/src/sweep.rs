//! Applies load reports of an owned target, and finds orphaned work on it.
//!
//! A node may die, freeze or lose a message at any time. What it left on a target is identified
//! by the sender and the deadline in each stream's id, and released without the node's help.

use crate::granted::{Foreign, SWEEP_GRACE};
use crate::owned::Target;
use hickory_policy::limit::{self, Capacity, Observed, Ticket};
use hickory_policy::ramp::Sample;
use hickory_target::engine::{Handle, HeldStream, Report};
use hickory_unit::{id, size};
use std::time::{Duration, Instant};

/// Time for which an ended stream may still appear in load reports, which lag.
const REPORT_LAG: Duration = Duration::from_secs(3);

/// The time, settings and membership by which a load report is evaluated.
pub(crate) struct SweepContext<F> {
    pub(crate) now: Instant,
    pub(crate) wall_ms: u64,
    /// Time for which a stream whose caller has disconnected is kept for a resume.
    pub(crate) resume_window: Duration,
    /// Whether a node is registered; true for every node while the registry is unreachable.
    pub(crate) is_live: F,
}

impl<F: Fn(&id::Node) -> bool> SweepContext<F> {
    fn has_resume_window_passed(&self, at: Instant) -> bool {
        self.now.saturating_duration_since(at) > self.resume_window
    }

    fn is_overdue(&self, stream: &id::Stream) -> bool {
        stream.deadline_ms.saturating_add(SWEEP_GRACE.as_millis() as u64) < self.wall_ms
    }
}

impl Target {
    /// Removes abandoned asks from the queue, releases permits whose answer never reached the
    /// asker, and queues overdue streams to be cancelled on the target.
    pub(crate) fn sweep(
        &mut self,
        now: Instant,
        permit_lifetime: Duration,
        resume_window: Duration,
    ) {
        let is_old = |at: Instant| now.saturating_duration_since(at) > permit_lifetime;
        let abandoned = self.waiting.values().filter(|waiting| is_old(waiting.asked_at));
        let abandoned: Vec<id::Stream> = abandoned.map(|waiting| waiting.stream.clone()).collect();
        abandoned.iter().for_each(|stream| self.withdraw(stream));
        let undelivered = self
            .permits
            .iter()
            .filter(|(_, granted)| granted.undelivered_since.is_some_and(is_old));
        let undelivered: Vec<Ticket> = undelivered.map(|(ticket, _)| *ticket).collect();
        for ticket in undelivered {
            self.release_permit(now, ticket, limit::Outcome::Abandoned);
        }
        let overdue =
            self.permits.values().filter(|granted| granted.is_overdue(now, resume_window));
        self.pending_cancels.extend(overdue.map(|granted| granted.stream.clone()));
        self.ended.retain(|_, at| now.saturating_duration_since(*at) < REPORT_LAG);
    }

    /// Applies a load report: capacity, loaded weights and held streams; then looks for
    /// orphaned streams and KV caches.
    pub(crate) fn apply_report<F>(&mut self, report: &Report, context: &SweepContext<F>)
    where
        F: Fn(&id::Node) -> bool,
    {
        self.incarnation = Some(report.incarnation);
        self.is_dead = false;
        self.reported_deaths.clear();
        self.kv_used = report.kv_used;
        self.kv_capacity = report.kv_capacity;
        let ready = report.loaded.iter().filter(|loaded| loaded.ready);
        self.ready = ready.map(|loaded| crate::permit::to_wire(&loaded.weights)).collect();
        self.set_capacity(Capacity {
            streams: report.streams_max,
            kv: report.kv_capacity,
            prefill_rate: report.prefill_rate,
        });
        self.mark_unserved(context);
        self.sweep_held(report, context);
        self.sweep_handles(report, context);
        let observed = self.observe(report);
        self.observe_load(context.now, &observed);
    }

    /// Passes a load report's warmth and foreign work to the limiter.
    pub(crate) fn observe_load(&mut self, now: Instant, observed: &Observed) {
        if let Some(cold) = self.limiter.observe(now, observed) {
            log::info!(target = self.target.as_str(), cold:% = cold; "target ramps anew");
        }
    }

    fn observe(&self, report: &Report) -> Observed {
        // An ended stream remains in reports until `REPORT_LAG` has passed.
        let is_own = |held: &&HeldStream| !self.is_foreign(&held.stream);
        let foreign = report.streams.iter().filter(|held| self.is_foreign(&held.stream));
        let streams: size::Tokens = report.streams.iter().filter(is_own).map(|held| held.kv).sum();
        // When the stream of one part of a split prompt ends, its KV cache stays on the engine
        // under a handle, and the part's permit still accounts for that memory.
        let kept = report.handles.iter().filter_map(|handle| {
            let is_held = report.streams.iter().any(|held| held.stream == handle.stream);
            let ticket = self.tickets.get(&handle.stream).filter(|_| !is_held)?;
            self.permits.get(ticket).map(|granted| granted.kv)
        });
        let owned_kv = streams + kept.sum::<size::Tokens>();
        let prefill_left = report.streams.iter().filter_map(|held| {
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
            foreign_streams: foreign.count() as u32,
            foreign_kv: report.kv_used.saturating_sub(owned_kv),
            prefill_left: prefill_left.collect(),
        }
    }

    /// Returns whether a stream that the target holds was granted by a previous owner.
    fn is_foreign(&self, stream: &id::Stream) -> bool {
        !self.tickets.contains_key(stream) && !self.ended.contains_key(stream)
    }

    /// Finds orphaned streams: their deadline has passed, or their sender is gone and no node
    /// has resumed them within the resume time.
    fn sweep_held<F>(&mut self, report: &Report, context: &SweepContext<F>)
    where
        F: Fn(&id::Node) -> bool,
    {
        let known = std::mem::take(&mut self.foreign);
        let held = report.streams.iter().map(|held| &held.stream);
        for stream in held.filter(|stream| self.is_foreign(stream)).collect::<Vec<_>>() {
            let before = known.get(stream).and_then(|foreign| foreign.orphaned_since);
            let orphaned_since =
                before.or_else(|| (!(context.is_live)(&stream.sender)).then_some(context.now));
            self.foreign.insert(stream.clone(), Foreign { orphaned_since });
        }
        let orphans = self.foreign.iter().filter(|(stream, foreign)| {
            let is_orphaned =
                foreign.orphaned_since.is_some_and(|at| context.has_resume_window_passed(at));
            context.is_overdue(stream) || is_orphaned
        });
        self.pending_cancels.extend(orphans.map(|(stream, _)| stream.clone()));
    }

    /// Finds orphaned KV caches. The sender of a split prompt drops its KV caches itself,
    /// unless it dies before.
    fn sweep_handles<F>(&mut self, report: &Report, context: &SweepContext<F>)
    where
        F: Fn(&id::Node) -> bool,
    {
        let orphans = report.handles.iter().filter(|handle| {
            let stream = &handle.stream;
            let orphaned_since =
                self.foreign.get(stream).and_then(|foreign| foreign.orphaned_since);
            let is_sender_gone = !(context.is_live)(&stream.sender) && orphaned_since.is_none();
            context.is_overdue(stream) || (is_sender_gone && !self.tickets.contains_key(stream))
        });
        self.pending_drops = orphans.cloned().collect();
    }

    /// Returns the KV caches to drop now.
    pub(crate) fn take_drops(&mut self) -> Vec<Handle> {
        std::mem::take(&mut self.pending_drops)
    }

    /// Marks permits of nodes that are gone as if their callers had disconnected, so that
    /// another node can resume the streams.
    fn mark_unserved<F>(&mut self, context: &SweepContext<F>)
    where
        F: Fn(&id::Node) -> bool,
    {
        for granted in self.permits.values_mut() {
            if granted.caller_left_at.is_none() && !(context.is_live)(&granted.node) {
                granted.caller_left_at = Some(context.now);
            }
        }
    }

    /// Returns the streams to cancel now, without duplicates.
    pub(crate) fn take_cancels(&mut self) -> Vec<id::Stream> {
        let mut cancels = std::mem::take(&mut self.pending_cancels);
        cancels.sort();
        cancels.dedup();
        cancels
    }

    /// Releases a stream whose cancel the target confirmed.
    pub(crate) fn confirm_cancelled(&mut self, now: Instant, stream: &id::Stream) {
        if let Some(ticket) = self.tickets.get(stream).copied() {
            self.release_permit(now, ticket, limit::Outcome::Abandoned);
        }
        if self.foreign.remove(stream).is_some() {
            self.ended.insert(stream.clone(), now);
        }
    }

    /// Queues a cancel again that the target did not confirm.
    pub(crate) fn retry_cancel(&mut self, stream: id::Stream) {
        self.pending_cancels.push(stream);
    }

    /// Records that the target died, detected by a closed port or a new incarnation. Returns
    /// the fingerprints of the requests that ran on it: those that nodes have reported since
    /// the last call and, on the first call for each death, those that this owner granted.
    pub(crate) fn record_death(&mut self) -> Vec<u64> {
        let reported = std::mem::take(&mut self.reported_deaths);
        if std::mem::replace(&mut self.is_dead, true) {
            return reported;
        }
        let ran = self.permits.values_mut().map(|granted| {
            granted.is_death_counted = true;
            granted.fingerprint
        });
        ran.filter(|fingerprint| *fingerprint != 0).chain(reported).collect()
    }

    /// Discards the permits granted to the target's previous process.
    pub(crate) fn reset_after_restart(&mut self, now: Instant) {
        let tickets: Vec<Ticket> = self.permits.keys().copied().collect();
        for ticket in tickets {
            self.release_permit(now, ticket, limit::Outcome::Abandoned);
        }
        self.pending_cancels.clear();
        self.foreign.clear();
    }
}
