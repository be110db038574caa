//! Exchange of what nodes know of requests and prompt parts under which targets crash.
//!
//! A node that learns something new passes it on to a few peers, which pass it on in turn if it is
//! new to them. Crashes and quarantines are repeated to random peers while they count, so that nodes
//! that start, were cut off or lost a datagram learn of them.

use crate::core::{Core, Stage};
use crate::crash_event::{PartCrash, PartQuarantine, before, write_answer, write_crash};
use crate::datagram::Event;
use crate::dialect::Dialect;
use crate::refusal::Refusal;
use crate::run::Run;
use crate::serve::Job;
use crate::view::{Tag, Target};
use hickory_policy::answer::Answer;
use hickory_policy::crash::{Certainty, Progress};
use hickory_policy::membership::TICK_INTERVAL;
use hickory_policy::part::{
    Change, Crash, MAX_DECISION_WAIT, MAX_PARTS, MIN_WRITING_TIME, Part, Quarantine,
};
use hickory_policy::refuse::Reason;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use http::StatusCode;
use rand::seq::IteratorRandom;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval at which crashes are decided on, a fraction of the time that prompts wait for it.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);

/// The interval at which quarantines are repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum age of crashes that are repeated.
const MAX_REPEATED_CRASH_AGE: Duration = Duration::from_secs(60);

/// The maximum number of crashes that are repeated together.
const MAX_REPEATED_CRASHES: usize = 1;

/// The maximum age of a crash that is passed on at once.
const MAX_PASSED_ON_CRASH_AGE: Duration = Duration::from_secs(1);

/// The maximum number of quarantines that are repeated together, which fit in a datagram.
const MAX_REPEATED_QUARANTINES: usize = 16;

/// The number of peers to which quarantines are repeated.
const REPEAT_FANOUT: usize = 2;

/// A prompt waits for a decision on its parts for at most its remaining time divided by this number.
const DECISION_WAIT_DIVISOR: u32 = 4;

/// The retry delay of a request that may be the cause of crashes: longer than the decision on it takes.
const SUSPECT_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The poll interval while a prompt waits for a decision on its parts.
const DECISION_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Identifies the parts of a request's prompt that other prompts of the service may share.
pub(crate) fn identify_parts(service: &id::Service, job: &Job) -> Vec<Part> {
    let identify =
        |id: &compact_str::CompactString| Part(hash(&[service.as_str().as_bytes(), id.as_bytes()]));
    job.head.shared_parts.iter().take(MAX_PARTS).map(identify).collect()
}

/// Identifies an attempt between nodes.
pub(crate) fn hash_attempt(job: &Job) -> u64 {
    hash(&[job.head.attempt.as_bytes()])
}

fn hash(fields: &[&[u8]]) -> u64 {
    let mut hasher = blake3::Hasher::new();
    for field in fields {
        hasher.update(field).update(&[0]);
    }
    u64::from_le_bytes(*hasher.finalize().as_bytes().first_chunk().unwrap_or(&[0; 8]))
}

impl<D: Dialect, S: Store, C: Clock> Run<D, S, C> {
    /// Returns the refusal of a request under which targets crash, or under parts of its prompt.
    pub(crate) fn refuse_quarantined(&self) -> Option<Refusal> {
        let evidence = self.core.parts();
        let quarantine = evidence.find_quarantine(self.core.now(), &self.parts)?;
        let parts = format_parts(&quarantine.parts);
        let refusal = if quarantine.parts.contains(&self.whole) {
            let detail = format!("it crashed the targets that ran it, known by {parts}");
            Refusal::new(Reason::Quarantined, detail)
        } else if quarantine.parts.contains(&self.path) {
            let detail = format!("targets crashed under requests for its path, known by {parts}");
            Refusal::new(Reason::Quarantined, detail)
        } else {
            let detail = format!("engines crashed under parts {parts} of its prompt");
            Refusal::new(Reason::PartQuarantined, detail)
        };
        let refusal = refusal.with_status(StatusCode::SERVICE_UNAVAILABLE);
        Some(refusal.after_possible_run(self.may_have_run))
    }

    /// Waits while a quarantine that would cover the request is decided on.
    ///
    /// # Errors
    ///
    /// The decision isn't there in time, and the request itself is the most likely cause of crashes.
    pub(crate) async fn wait_for_decision(&self) -> Result<(), Refusal> {
        let wait = MAX_DECISION_WAIT.min(self.time_left() / DECISION_WAIT_DIVISOR);
        let until = self.core.now() + wait;
        while self.core.now() < until
            && self.core.parts().is_suspected(self.core.now(), &self.parts)
        {
            tokio::time::sleep(DECISION_POLL_INTERVAL).await;
        }
        match self.core.parts().is_cause(self.core.now(), self.whole) {
            true => Err(self.refuse_suspect("its quarantine is being decided on")),
            false => Ok(()),
        }
    }

    /// Returns the refusal of a request that may be the cause of crashes.
    pub(crate) fn refuse_suspect(&self, detail: &str) -> Refusal {
        let refusal = Refusal::new(Reason::Suspected, detail);
        refusal.with_retry_after(SUSPECT_RETRY_AFTER).after_possible_run(self.may_have_run)
    }

    /// Waits until the request is quarantined.
    pub(crate) async fn wait_for_quarantine(&self) -> Refusal {
        loop {
            tokio::time::sleep(TICK_INTERVAL).await;
            if let Some(refusal) = self.refuse_quarantined() {
                return refusal;
            }
        }
    }

    /// Records that a target crashed while it held the request.
    pub(crate) fn note_crash(
        &mut self,
        target: &Target,
        certainty: Certainty,
        is_against_parts: bool,
    ) {
        let now = self.core.now();
        let crash = Crash {
            target: target.tag,
            request: hash_attempt(&self.job),
            parts: if is_against_parts { self.parts.clone() } else { vec![self.whole] },
            whole: Some(self.whole),
            sent_at: self.sent_at,
            crashed_at: now,
            certainty,
        };
        self.core.metrics.count_part_crash();
        self.has_crashed_target = true;
        let event = write_crash(PartCrash::new(now, &crash), crash.whole, certainty);
        let parts = format_parts(&crash.parts);
        let (change, tally) = {
            let mut evidence = self.core.parts();
            let change = evidence.record_crash(now, crash);
            (change, evidence.tally(now, self.whole))
        };
        log::info!(
            request = self.job.head.attempt.as_str(),
            target_id = target.id.as_str(),
            whole:% = format_parts(&[self.whole]),
            parts:%,
            weighed:% = tally,
            certainty:? = certainty;
            "a target crashed under a request"
        );
        if change.is_new {
            self.core.pass_on(&event);
        }
        match self.trial.take() {
            Some(trial) => trial.end_with_crash(event),
            // The trial of a stream takes long, so fewer crashes make a suspect of it.
            None if self.job.route.kind.is_stream() => {}
            None => self.core.tell_custodian(&self.service, self.whole, event),
        }
    }

    /// Records that the parts of the prompt are sound once its answer has been written for a while.
    pub(crate) fn note_written(&mut self) {
        if self.are_parts_sound || self.progress() < Progress::Written {
            return;
        }
        self.note_sound_parts();
    }

    /// Records a complete answer.
    pub(crate) fn note_complete(&mut self) {
        self.note_sound_parts();
        let Some(began_at) = self.writing_since.filter(|_| !self.was_resumed) else { return };
        if let Some(trial) = &self.trial {
            trial.note_passed(began_at);
        }
        if self.has_crashed_target {
            return;
        }
        let request = hash_attempt(&self.job);
        let answer = Answer { whole: self.whole, request, began_at };
        let now = self.core.now();
        let change = self.core.parts().record_answer(now, answer);
        self.core.log_lifted(&change.lifted);
        if change.is_new {
            self.core.pass_on(&write_answer(now, answer));
        }
    }

    fn note_sound_parts(&mut self) {
        let Some(began_at) = self.writing_since else { return };
        self.are_parts_sound = true;
        let now = self.core.now();
        let mut parts: Vec<Part> = Vec::new();
        let change = {
            let mut evidence = self.core.parts();
            // Paths are many, and one matters only while targets crash under requests for it.
            let is_shared = |part: &Part| match *part == self.path {
                true => evidence.is_suspect(*part),
                false => *part != self.whole,
            };
            parts.extend(self.parts.iter().copied().filter(is_shared));
            evidence.record_sound(now, &parts, began_at)
        };
        self.core.log_lifted(&change.lifted);
        if change.is_new {
            let age = now.saturating_duration_since(began_at);
            self.core.pass_on(&Event::PartsSound(parts, age));
        }
    }

    /// Returns how far the answer of the current attempt has come.
    pub(crate) fn progress(&self) -> Progress {
        let since = self.writing_since;
        match since.map(|since| self.core.now().saturating_duration_since(since)) {
            None => Progress::Sent,
            Some(time) if time < MIN_WRITING_TIME => Progress::Begun,
            Some(_) => Progress::Written,
        }
    }
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    fn log_lifted(&self, lifted: &[Quarantine]) {
        for quarantine in lifted {
            log::warn!(
                parts:% = format_parts(&quarantine.parts);
                "requests are no longer quarantined: an answer was written"
            );
        }
    }

    /// Applies a crash that a peer passed on. Older versions don't identify the whole request.
    pub(crate) fn handle_crash(
        &self,
        now: Instant,
        from: SocketAddr,
        stated: PartCrash,
        whole: Option<Part>,
        certainty: Certainty,
    ) {
        let event = write_crash(stated.clone(), whole, certainty);
        let is_repeated = stated.crash_age > MAX_PASSED_ON_CRASH_AGE;
        let mut change = self.parts().record_crash(now, stated.crash(now, whole, certainty));
        change.is_new &= !is_repeated;
        self.handle_part_change(now, from, &event, change);
    }

    /// Applies sound parts that a peer passed on.
    pub(crate) fn handle_sound_parts(
        &self,
        now: Instant,
        from: SocketAddr,
        parts: Vec<Part>,
        age: Duration,
    ) {
        let change = self.parts().record_sound(now, &parts, before(now, age));
        self.handle_part_change(now, from, &Event::PartsSound(parts, age), change);
    }

    /// Applies an answer to a whole request that a peer passed on.
    pub(crate) fn handle_answer(
        &self,
        now: Instant,
        from: SocketAddr,
        (whole, request, age): (Part, u64, Duration),
    ) {
        let answer = Answer { whole, request, began_at: before(now, age) };
        let change = self.parts().record_answer(now, answer);
        self.handle_part_change(now, from, &Event::WholeAnswer(whole, request, age), change);
    }

    /// Answers a proposed quarantine with what this node knows against it.
    pub(crate) fn handle_part_proposal(
        &self,
        now: Instant,
        from: SocketAddr,
        stated: PartQuarantine,
    ) {
        let change = self.parts().refute(&stated.quarantine(now));
        self.send_refutation(now, from, change);
    }

    /// Applies a quarantine that a peer passed on.
    pub(crate) fn handle_part_quarantine(
        &self,
        now: Instant,
        node: &id::Node,
        from: SocketAddr,
        stated: PartQuarantine,
    ) {
        let event = Event::PartQuarantine(stated.clone());
        let quarantine = stated.quarantine(now);
        let change = self.parts().merge(now, quarantine.clone());
        if change.is_new {
            log_quarantine(now, &quarantine, node);
        }
        self.handle_part_change(now, from, &event, change);
    }

    /// Passes new knowledge on, and tells the peer what it doesn't know.
    fn handle_part_change(&self, now: Instant, from: SocketAddr, event: &Event, change: Change) {
        self.log_lifted(&change.lifted);
        if change.is_new {
            self.pass_on(event);
        }
        self.send_refutation(now, from, change);
    }

    fn send_refutation(&self, now: Instant, to: SocketAddr, change: Change) {
        for (part, began_at) in change.sound {
            let age = now.saturating_duration_since(began_at);
            self.send(to, Event::PartsSound(vec![part], age));
        }
        for answer in change.answers {
            self.send(to, write_answer(now, answer));
        }
    }

    /// Quarantines parts according to the crashes recorded so far.
    fn decide_on_parts(&self, now: Instant) {
        let (decision, ended) = {
            let mut parts = self.parts();
            (parts.decide(now), parts.expire(now))
        };
        for quarantine in decision.proposed {
            let tallies = quarantine.parts.iter().map(|part| self.parts().tally(now, *part));
            log::info!(
                parts:% = format_parts(&quarantine.parts),
                weighed:% = tallies.map(|tally| tally.to_string()).collect::<Vec<_>>().join(";");
                "a quarantine is proposed"
            );
            self.pass_on(&Event::PartProposal(PartQuarantine::new(now, &quarantine)));
        }
        for quarantine in decision.imposed {
            log_quarantine(now, &quarantine, &self.settings.node);
            self.pass_on(&Event::PartQuarantine(PartQuarantine::new(now, &quarantine)));
        }
        for quarantine in ended {
            log::warn!(
                parts:% = format_parts(&quarantine.parts);
                "requests are no longer quarantined: no crash for a long time"
            );
        }
    }

    fn repeat_quarantines(&self, now: Instant) {
        let (quarantines, count) = {
            let evidence = self.parts();
            let all = evidence.quarantines(now).map(|q| PartQuarantine::new(now, q));
            let repeated = all.choose_multiple(&mut rand::rng(), MAX_REPEATED_QUARANTINES);
            (repeated, evidence.quarantines(now).count())
        };
        self.metrics.set_quarantined_parts(count);
        if quarantines.is_empty() {
            return;
        }
        let peers = self.membership().pick_alive(REPEAT_FANOUT);
        for peer in peers {
            for quarantine in &quarantines {
                self.send(peer, Event::PartQuarantine(quarantine.clone()));
            }
        }
    }

    /// Repeats recent crashes to a random peer, which may have missed them, before a quarantine
    /// explains them.
    fn repeat_crashes(&self, now: Instant) {
        let crashes: Vec<Event> = {
            let evidence = self.parts();
            let recent = evidence.recent_crashes(now, MAX_REPEATED_CRASH_AGE).into_iter();
            let repeated = recent.choose_multiple(&mut rand::rng(), MAX_REPEATED_CRASHES);
            let write = |crash: &Crash<Tag>| {
                write_crash(PartCrash::new(now, crash), crash.whole, crash.certainty)
            };
            repeated.into_iter().map(write).collect()
        };
        if crashes.is_empty() {
            return;
        }
        for peer in self.membership().pick_alive(1) {
            for crash in &crashes {
                self.send(peer, crash.clone());
            }
        }
    }
}

fn log_quarantine(now: Instant, quarantine: &Quarantine, told_by: &id::Node) {
    let age = |at: Instant| now.saturating_duration_since(at).as_millis() as u64;
    log::warn!(
        parts:% = format_parts(&quarantine.parts),
        first_crash_ms = age(quarantine.first_crash),
        last_crash_ms = age(quarantine.last_crash),
        told_by = told_by.as_str();
        "requests are quarantined"
    );
}

fn format_parts(parts: &[Part]) -> String {
    let parts: Vec<String> = parts.iter().map(|part| format!("{:016x}", part.0)).collect();
    parts.join(",")
}

/// Decides on crashes, and repeats quarantines.
pub(crate) async fn run<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    let mut repeated_at: Option<Instant> = None;
    while core.stage() != Stage::Closed {
        tokio::time::sleep(DECISION_INTERVAL).await;
        let now = core.now();
        core.decide_on_parts(now);
        let is_due =
            repeated_at.is_none_or(|at| now.saturating_duration_since(at) >= REPEAT_INTERVAL);
        if is_due {
            core.repeat_quarantines(now);
            core.repeat_crashes(now);
            repeated_at = Some(now);
        }
    }
}
