//! Quarantine of requests, and of prompt parts, under which targets crash.
//!
//! Load pattern: a request crashes each target that runs it, and its caller sends it again through
//! any node; or a part that many prompts share crashes each engine that begins to write an answer
//! on one of them, no two of them alike. They come beside sound requests that share their caller
//! and their other parts, and that are lost with the target. Nodes restart, are cut off from each
//! other and lose datagrams meanwhile.
//!
//! A crash counts against the parts of each prompt on the engine whose answer had not been written
//! for a while, and an answer that is written clears the parts of its prompt. Crashes count in
//! series: each of a request that was sent after the crash before, so that engines that crash
//! together count once. Prompts are refused if they contain all parts that the counted requests
//! have in common and that weren't cleared: a sound request that shares only some of them is
//! served, and clears those. Prompts that a quarantine would cover wait while it is decided on.
//!
//! A whole request counts as one more part of itself, which only its repetitions share. Crashes count
//! against it however long its answer had been written. An answer that one target ran from its first
//! byte to its last cancels one crash, and nothing else clears a request: a stream that is resumed past
//! the target that it crashed gets the rest of its answer from another one each time. Each crash is
//! identified by its target and its request, and each answer by its request, so they count once on each
//! node, whichever node saw them and however often they are reported.

use crate::answer::Answer;
use crate::cause::MAX_TIME_ERROR;
use crate::crash::Certainty;
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::time::{Duration, Instant};

/// How long an answer must have been written to clear the parts of its prompt. An engine crashes in
/// its first iterations if it does.
pub const MIN_WRITING_TIME: Duration = Duration::from_millis(300);

/// Time from a crash until it counts: other nodes report what else ran on the engine, and which
/// parts are sound.
pub(crate) const SETTLING_TIME: Duration = Duration::from_millis(200);

/// Time for which other nodes may refute a proposed quarantine.
const CONFIRMATION_TIME: Duration = Duration::from_millis(150);

/// How long a prompt waits at most while a quarantine of its parts is decided on.
pub const MAX_DECISION_WAIT: Duration = Duration::from_millis(500);

/// How long a proposal is valid.
const PROPOSAL_TTL: Duration = Duration::from_secs(2);

/// How long a crash counts. A caller may send a request again after a long pause.
const CRASH_TTL: Duration = Duration::from_secs(3_600);

/// How long a quarantine lasts after the last crash: long enough to stop callers that resend all
/// day, short enough that prompts are admitted again after the engines are fixed.
pub const QUARANTINE_TTL: Duration = Duration::from_secs(3_600);

/// Maximum number of parts of a prompt that are considered.
pub const MAX_PARTS: usize = 16;

/// Maximum number of crashes kept, about 80 KB.
pub(crate) const MAX_CRASHES: usize = 512;

/// Maximum number of sound parts kept, about 150 KB.
const MAX_SOUND_PARTS: usize = 4_096;

/// Maximum number of quarantines.
const MAX_QUARANTINES: usize = 64;

/// Maximum number of crashes that are only possible and not repeated that are passed on at once, and
/// the rate per second afterwards. Each stream that is lost with an engine is one.
const MAX_POSSIBLE_CRASH_BURST: f64 = 4.0;
const MAX_POSSIBLE_CRASHES_PER_SECOND: f64 = 0.2;

/// Maximum number of crashes that are recorded at once, and the rate per second afterwards. Nodes
/// pass on what they record.
const MAX_CRASH_BURST: f64 = 32.0;
const MAX_CRASHES_PER_SECOND: f64 = 3.0;

/// Identifies a part of the prompts of a service, or a whole request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Part(pub u64);

/// The crash of an engine, as seen by one request that was on it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Crash<K> {
    /// The engine.
    pub target: K,
    /// Identifies the caller's attempt.
    pub request: u64,
    /// The parts of the request's prompt that other prompts may share, and the whole request.
    pub parts: Vec<Part>,
    /// The whole request, which its repetitions share; `None` if it isn't known.
    pub whole: Option<Part>,
    /// When the request was sent to the engine.
    pub sent_at: Instant,
    /// When the engine crashed.
    pub crashed_at: Instant,
    /// How much it counts against the whole request.
    pub certainty: Certainty,
}

/// A combination of parts. Prompts that contain all of them are refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Quarantine {
    /// The parts.
    pub parts: Vec<Part>,
    /// The first crash that counted. A part that was written on since is sound.
    pub first_crash: Instant,
    /// The last crash that counted.
    pub last_crash: Instant,
}

impl Quarantine {
    pub(crate) fn covers(&self, parts: &[Part]) -> bool {
        self.parts.iter().all(|part| parts.contains(part))
    }

    fn is_valid(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_crash) < QUARANTINE_TTL
    }
}

/// What a statement of another node changes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Whether the statement was new, so that other nodes may not know it either.
    pub is_new: bool,
    /// Suspect parts of the statement on which this node knows an answer to have been written, with
    /// the time at which it began. The other node may not know it.
    pub sound: Vec<(Part, Instant)>,
    /// Answers to the whole request of the statement. The other node may not know them.
    pub answers: Vec<Answer>,
    /// Quarantines that were lifted.
    pub lifted: Vec<Quarantine>,
}

/// The result of a decision.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Decision {
    /// Quarantines that other nodes may refute.
    pub proposed: Vec<Quarantine>,
    /// Quarantines in force from now on.
    pub imposed: Vec<Quarantine>,
}

/// A number of events that grows with time up to a limit, and the time at which it was counted.
#[derive(Clone, Copy, Debug, Default)]
struct Allowance(Option<(f64, Instant)>);

impl Allowance {
    fn spend(&mut self, now: Instant, max: f64, per_second: f64) -> bool {
        let (left, at) = self.0.unwrap_or((max, now));
        let earned = now.saturating_duration_since(at).as_secs_f64() * per_second;
        let left = (left + earned).min(max);
        let is_allowed = left >= 1.0;
        self.0 = Some((if is_allowed { left - 1.0 } else { left }, now));
        is_allowed
    }
}

/// What a node knows of crashes of engines and of sound parts.
#[derive(Clone, Debug)]
pub struct Evidence<K> {
    pub(crate) crashes: Vec<Crash<K>>,
    /// When the newest sound answer on a part began to be written.
    pub(crate) sound: HashMap<Part, Instant>,
    /// Answers that cancel crashes under whole requests, by the time at which they began.
    pub(crate) answers: Vec<Answer>,
    /// When the latest run of a suspect request began that was answered.
    pub(crate) passed: HashMap<Part, Instant>,
    pub(crate) quarantines: Vec<Quarantine>,
    /// Combinations of parts that are proposed for a quarantine, and since when.
    proposals: Vec<(Vec<Part>, Instant)>,
    /// The number of crashes that may be recorded.
    allowance: Allowance,
    /// The number of possible crashes that may be passed on.
    possible_allowance: Allowance,
    /// Whether crashes were recorded that have not been considered yet.
    is_pending: bool,
}

impl<K> Default for Evidence<K> {
    fn default() -> Self {
        Self {
            crashes: Vec::new(),
            sound: HashMap::new(),
            answers: Vec::new(),
            passed: HashMap::new(),
            quarantines: Vec::new(),
            proposals: Vec::new(),
            allowance: Allowance::default(),
            possible_allowance: Allowance::default(),
            is_pending: false,
        }
    }
}

impl<K: Copy + Eq + Hash> Evidence<K> {
    /// Returns whether a prompt with these parts is refused.
    pub fn is_quarantined(&self, now: Instant, parts: &[Part]) -> bool {
        self.find_quarantine(now, parts).is_some()
    }

    /// Returns the quarantine because of which a prompt with these parts is refused.
    pub fn find_quarantine(&self, now: Instant, parts: &[Part]) -> Option<&Quarantine> {
        self.quarantines.iter().find(|q| q.covers(parts) && q.is_valid(now))
    }

    /// Returns whether prompts with these parts are about to be quarantined. One that is sent
    /// meanwhile, or once more, would most likely crash a further engine.
    pub fn is_suspected(&self, now: Instant, parts: &[Part]) -> bool {
        // Crashes that have yet to settle count as well.
        self.is_pending && self.find_cause(now + SETTLING_TIME).is_some_and(|q| q.covers(parts))
    }

    /// Records a crash, unless it is known, explained by a quarantine, or one of too many. A known one
    /// may become more certain.
    pub fn record_crash(&mut self, now: Instant, crash: Crash<K>) -> Change {
        let is_known = |known: &&mut Crash<K>| {
            known.target == crash.target
                && known.request == crash.request
                && known.parts == crash.parts
        };
        if crash.parts.is_empty() {
            return Change::default();
        }
        if let Some(known) = self.crashes.iter_mut().find(is_known) {
            let is_new = crash.certainty > known.certainty;
            known.certainty = known.certainty.max(crash.certainty);
            self.is_pending |= is_new;
            return Change { is_new, ..Change::default() };
        }
        if self.is_known_of_copy(&crash) {
            return Change::default();
        }
        if let Some(quarantine) = self.quarantines.iter_mut().find(|q| q.covers(&crash.parts)) {
            quarantine.last_crash = quarantine.last_crash.max(crash.crashed_at);
            return Change::default();
        }
        let sound = self.sound_since(&crash.parts, crash.crashed_at);
        let answers = crash.whole.map_or(Vec::new(), |whole| self.answers_to(whole, None));
        if sound.len() == crash.parts.len() {
            return Change { sound, answers, ..Change::default() };
        }
        let is_repetition = crash.whole.is_some_and(|whole| self.count_crashes_of(whole) > 0);
        let is_new = match crash.certainty {
            _ if is_repetition => true,
            Certainty::Likely if !self.spend_allowance(now) => {
                return Change { sound, answers, ..Change::default() };
            }
            Certainty::Likely => true,
            // It is kept all the same: its repetition shows that it matters.
            Certainty::Possible => self.possible_allowance.spend(
                now,
                MAX_POSSIBLE_CRASH_BURST,
                MAX_POSSIBLE_CRASHES_PER_SECOND,
            ),
        };
        self.crashes.push(crash);
        if self.crashes.len() > MAX_CRASHES {
            self.crashes.sort_by_key(|crash| (crash.certainty, crash.crashed_at));
            self.crashes.drain(..MAX_CRASHES / 8);
        }
        self.is_pending = true;
        Change { is_new, sound, answers, lifted: Vec::new() }
    }

    /// Returns whether a copy of the request that was sent at the same time or later was lost with the same
    /// target. One report of many copies says as much as all.
    fn is_known_of_copy(&self, crash: &Crash<K>) -> bool {
        self.crashes.iter().any(|known| {
            known.target == crash.target
                && known.whole == crash.whole
                && known.whole.is_some()
                && known.parts == crash.parts
                && known.certainty >= crash.certainty
                && known.sent_at + MAX_TIME_ERROR >= crash.sent_at
        })
    }

    /// Records that answers on these parts, which began to be written at `began_at`, were written
    /// for a while. Whole requests are left out, since only an answer to them counts.
    pub fn record_sound(&mut self, now: Instant, parts: &[Part], began_at: Instant) -> Change {
        let mut change = Change::default();
        let parts: Vec<Part> = parts.iter().copied().filter(|part| !self.is_whole(*part)).collect();
        for part in parts {
            let known = self.sound.get(&part).copied();
            if known.is_some_and(|known| began_at <= known) {
                continue;
            }
            self.sound.insert(part, began_at);
            let clears = |crash: &Crash<K>| {
                crash.crashed_at < began_at
                    && known.is_none_or(|known| known <= crash.crashed_at)
                    && crash.parts.contains(&part)
            };
            change.is_new |= self.crashes.iter().any(clears);
            change.is_new |= self.clear_quarantines(part, began_at, &mut change.lifted);
        }
        self.forget_cleared_crashes();
        self.evict_sound_parts(now);
        change
    }

    /// Adopts a quarantine of another node.
    pub fn merge(&mut self, now: Instant, mut quarantine: Quarantine) -> Change {
        let Change { sound, mut answers, .. } = self.refute(&quarantine);
        quarantine.parts.retain(|part| sound.iter().all(|(sound, _)| sound != part));
        // Its node may have known of the others.
        answers.retain(|answer| answer.began_at > quarantine.last_crash);
        if quarantine.parts.is_empty() || !answers.is_empty() || !quarantine.is_valid(now) {
            return Change { sound, answers, ..Change::default() };
        }
        let is_new = self.impose(quarantine);
        Change { is_new, sound, ..Change::default() }
    }

    /// Returns what this node knows against a quarantine: those of its parts that are sound, with the
    /// time at which the answer began that shows it, and answers to its whole request.
    pub fn refute(&self, quarantine: &Quarantine) -> Change {
        let sound = self.sound_since(&quarantine.parts, quarantine.first_crash);
        let answers = quarantine.parts.iter();
        let answers = answers.flat_map(|part| self.answers_to(*part, Some(quarantine.first_crash)));
        Change { sound, answers: answers.collect(), ..Change::default() }
    }

    /// Decides on the crashes recorded so far. A quarantine is proposed first, and imposed if no
    /// other node refutes it.
    pub fn decide(&mut self, now: Instant) -> Decision {
        let mut decision = Decision::default();
        self.proposals.retain(|(_, at)| now.saturating_duration_since(*at) < PROPOSAL_TTL);
        if !std::mem::take(&mut self.is_pending) {
            return decision;
        }
        let is_settling = |crash: &Crash<K>| now < crash.crashed_at + SETTLING_TIME;
        self.is_pending = self.crashes.iter().any(is_settling);
        self.crashes.sort_by_key(|crash| crash.crashed_at);
        while let Some(quarantine) = self.find_cause(now) {
            let proposal = self.proposals.iter().find(|(parts, _)| *parts == quarantine.parts);
            match proposal.map(|(_, at)| now.saturating_duration_since(*at)) {
                Some(age) if age >= CONFIRMATION_TIME => {
                    if self.impose(quarantine.clone()) {
                        decision.imposed.push(quarantine);
                    }
                }
                known => {
                    self.is_pending = true;
                    if known.is_none() {
                        self.proposals.push((quarantine.parts.clone(), now));
                        decision.proposed.push(quarantine);
                    }
                    break;
                }
            }
        }
        decision
    }

    /// Returns the quarantines in force.
    pub fn quarantines(&self, now: Instant) -> impl Iterator<Item = &Quarantine> {
        self.quarantines.iter().filter(move |quarantine| quarantine.is_valid(now))
    }

    /// Returns the crashes that aren't explained and happened within `max_age`; only those of
    /// requests under which several targets crashed if there are any.
    pub fn recent_crashes(&self, now: Instant, max_age: Duration) -> Vec<&Crash<K>> {
        let is_recent = |crash: &&Crash<K>| {
            now.saturating_duration_since(crash.crashed_at) <= max_age
                && !self.quarantines.iter().any(|quarantine| quarantine.covers(&crash.parts))
        };
        let recent: Vec<&Crash<K>> = self.crashes.iter().filter(is_recent).collect();
        let mut counts: HashMap<Part, usize> = HashMap::new();
        for whole in recent.iter().filter_map(|crash| crash.whole) {
            *counts.entry(whole).or_default() += 1;
        }
        let is_repeated = |crash: &&&Crash<K>| crash.whole.is_some_and(|whole| counts[&whole] > 1);
        let repeated: Vec<&Crash<K>> = recent.iter().filter(is_repeated).copied().collect();
        if repeated.is_empty() { recent } else { repeated }
    }

    /// Returns whether a crash or a quarantine is known of a part.
    pub fn is_suspect(&self, part: Part) -> bool {
        self.crashes.iter().any(|crash| crash.parts.contains(&part))
            || self.quarantines.iter().any(|quarantine| quarantine.parts.contains(&part))
    }

    /// Returns the number of requests under which a target crashed and that aren't cleared.
    pub fn count_suspects(&self) -> usize {
        self.crashes.iter().filter_map(|crash| crash.whole).collect::<HashSet<Part>>().len()
    }

    /// Returns the number of crashes that aren't explained.
    pub fn count_crashes(&self) -> usize {
        self.crashes.len()
    }

    /// Returns whether a request explains the crashes of the targets that ran it. A quarantine follows
    /// once the crashes have settled.
    pub fn is_cause(&self, now: Instant, whole: Part) -> bool {
        let cause = self.find_cause(now + SETTLING_TIME);
        cause.is_some_and(|quarantine| quarantine.parts.contains(&whole))
    }

    pub(crate) fn count_crashes_of(&self, whole: Part) -> usize {
        self.crashes.iter().filter(|crash| crash.whole == Some(whole)).count()
    }

    fn is_whole(&self, part: Part) -> bool {
        self.crashes.iter().any(|crash| crash.whole == Some(part))
    }

    /// Removes outdated crashes, answers and quarantines; returns the quarantines that ended.
    pub fn expire(&mut self, now: Instant) -> Vec<Quarantine> {
        self.answers.retain(|answer| now.saturating_duration_since(answer.began_at) < CRASH_TTL);
        self.crashes.retain(|crash| now.saturating_duration_since(crash.crashed_at) < CRASH_TTL);
        let wholes: HashSet<Part> = self.crashes.iter().filter_map(|crash| crash.whole).collect();
        self.passed.retain(|whole, _| wholes.contains(whole));
        let quarantines = std::mem::take(&mut self.quarantines);
        let (valid, ended) = quarantines.into_iter().partition(|q| q.is_valid(now));
        self.quarantines = valid;
        ended
    }

    /// Returns those of the parts on which an answer was written that began after `since`.
    fn sound_since(&self, parts: &[Part], since: Instant) -> Vec<(Part, Instant)> {
        let sound = parts.iter().filter_map(|part| Some((*part, *self.sound.get(part)?)));
        sound.filter(|(_, began_at)| *began_at > since).collect()
    }

    /// Adds a quarantine, unless one covers it. It replaces those that it covers, and explains the
    /// crashes of all engines on which one of its prompts ran. If it is of a whole request, crashes
    /// still count against the parts that this request shares with others.
    fn impose(&mut self, quarantine: Quarantine) -> bool {
        let explained = self.crashes.iter().filter(|crash| quarantine.covers(&crash.parts));
        let targets: HashSet<K> = explained.map(|crash| crash.target).collect();
        let is_of_whole = quarantine.parts.iter().any(|part| self.is_whole(*part));
        let shares_part =
            |crash: &Crash<K>| crash.parts.iter().any(|part| quarantine.parts.contains(part));
        self.crashes
            .retain(|crash| !targets.contains(&crash.target) || is_of_whole && shares_part(crash));
        if let Some(known) = self.quarantines.iter_mut().find(|q| q.covers(&quarantine.parts)) {
            known.last_crash = known.last_crash.max(quarantine.last_crash);
            return false;
        }
        self.quarantines.retain(|known| !quarantine.covers(&known.parts));
        self.quarantines.push(quarantine);
        if self.quarantines.len() > MAX_QUARANTINES {
            self.quarantines.sort_by_key(|quarantine| quarantine.last_crash);
            self.quarantines.remove(0);
        }
        true
    }

    /// Removes a sound part from the quarantines, and lifts those of which none is left.
    fn clear_quarantines(
        &mut self,
        part: Part,
        began_at: Instant,
        lifted: &mut Vec<Quarantine>,
    ) -> bool {
        let mut has_changed = false;
        for quarantine in self.quarantines.iter_mut().filter(|q| q.first_crash < began_at) {
            let count = quarantine.parts.len();
            quarantine.parts.retain(|known| *known != part);
            has_changed |= quarantine.parts.len() < count;
            if quarantine.parts.is_empty() {
                lifted.push(Quarantine { parts: vec![part], ..quarantine.clone() });
            }
        }
        self.quarantines.retain(|quarantine| !quarantine.parts.is_empty());
        has_changed
    }

    fn forget_cleared_crashes(&mut self) {
        let sound = &self.sound;
        let is_suspect = |crash: &Crash<K>, part: &Part| {
            sound.get(part).is_none_or(|began_at| *began_at <= crash.crashed_at)
        };
        self.crashes.retain(|crash| crash.parts.iter().any(|part| is_suspect(crash, part)));
    }

    fn evict_sound_parts(&mut self, now: Instant) {
        if self.sound.len() <= MAX_SOUND_PARTS {
            return;
        }
        let mut times: Vec<Duration> =
            self.sound.values().map(|at| now.saturating_duration_since(*at)).collect();
        let kept = MAX_SOUND_PARTS / 8 * 7;
        let (_, max_age, _) = times.select_nth_unstable(kept);
        let max_age = *max_age;
        self.sound.retain(|_, at| now.saturating_duration_since(*at) < max_age);
    }

    fn spend_allowance(&mut self, now: Instant) -> bool {
        self.allowance.spend(now, MAX_CRASH_BURST, MAX_CRASHES_PER_SECOND)
    }
}
