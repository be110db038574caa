//! Requests that crash the targets that run them. A target's death marks all that
//! ran on it as suspects; a suspect runs again at most once, alone, and success
//! clears it. Two deaths quarantine the fingerprint on all nodes.
//!
//! Load pattern: one request kills each engine that runs it, and its caller or a
//! retry sends it again beside others that are innocent.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// How long a suspicion or a quarantine lasts without another death: long
/// enough for a caller that sends again all day, short enough that a mended
/// engine gets its requests back.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// Deaths after which a fingerprint is quarantined.
pub const QUARANTINE_DEATHS: u32 = 2;

/// Fingerprints kept at most, some 200 KB: the death of an engine marks at
/// most as many as it runs, about a hundred.
pub const MAX_FINGERPRINTS: usize = 4_096;

/// What is to be done with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// Nothing is known against it.
    Clear,
    /// It runs alone.
    RunAlone,
    /// It is already being run alone; this one waits for how that ends.
    Wait,
    /// It is not run.
    Quarantined,
}

/// A fingerprint that others should know of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Of account and content.
    pub fingerprint: u64,
    /// Deaths of targets that ran it; zero where it was cleared.
    pub deaths: u32,
    /// Since the last death or clearing.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    deaths: u32,
    /// Of the last death, or of the clearing.
    at: Instant,
    trial_deadline: Option<Instant>,
}

/// The suspects that a node knows of.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<u64, Record>,
}

impl Suspects {
    /// None yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// What is to be done with a request.
    pub fn verdict(&mut self, now: Instant, fingerprint: u64) -> Verdict {
        self.expire(now, fingerprint);
        match self.records.get(&fingerprint) {
            None | Some(Record { deaths: 0, .. }) => Verdict::Clear,
            Some(record) if record.deaths >= QUARANTINE_DEATHS => Verdict::Quarantined,
            Some(Record { trial_deadline: Some(_), .. }) => Verdict::Wait,
            Some(_) => Verdict::RunAlone,
        }
    }

    /// Notes that a suspect is now run alone, until `deadline` at most.
    pub fn begin_trial(&mut self, fingerprint: u64, deadline: Instant) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_deadline = Some(deadline);
        }
    }

    /// Notes that a trial ended without a word on the suspect: cancelled, or
    /// never begun.
    pub fn cancel_trial(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_deadline = None;
        }
    }

    /// Notes the death of a target with all that ran on it.
    ///
    /// Where a suspect ran alone, nothing else can be to blame. Where several
    /// ran, those that were suspects before are blamed again, and the others
    /// become suspects.
    pub fn record_death(&mut self, now: Instant, ran: impl IntoIterator<Item = u64>) {
        for fingerprint in ran {
            self.expire(now, fingerprint);
            let record = self.records.entry(fingerprint).or_insert(Record {
                deaths: 0,
                at: now,
                trial_deadline: None,
            });
            *record = Record { deaths: record.deaths + 1, at: now, trial_deadline: None };
        }
        self.evict_oldest();
    }

    /// Notes that a request ran to its end: it is innocent. What is
    /// quarantined stays so.
    pub fn record_success(&mut self, now: Instant, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.deaths < QUARANTINE_DEATHS
        {
            *record = Record { deaths: 0, at: now, trial_deadline: None };
        }
    }

    /// Takes in what another node knows. The later word wins, but a
    /// quarantine is never lifted by a clearing.
    pub fn merge(&mut self, now: Instant, suspects: impl IntoIterator<Item = Suspect>) {
        for suspect in suspects.into_iter().filter(|s| s.age < RETENTION) {
            let at = now.checked_sub(suspect.age).unwrap_or(now);
            let known = self.records.get(&suspect.fingerprint).copied();
            let is_newer = known.is_none_or(|known| {
                suspect.deaths > known.deaths && suspect.deaths >= QUARANTINE_DEATHS
                    || at > known.at && known.deaths < QUARANTINE_DEATHS
            });
            if is_newer {
                let trial_deadline =
                    known.and_then(|known| known.trial_deadline).filter(|_| suspect.deaths == 1);
                let record = Record { deaths: suspect.deaths, at, trial_deadline };
                self.records.insert(suspect.fingerprint, record);
            }
        }
        self.evict_oldest();
    }

    /// What other nodes should know.
    pub fn snapshot(&self, now: Instant) -> Vec<Suspect> {
        let suspects = self.records.iter().map(|(&fingerprint, record)| Suspect {
            fingerprint,
            deaths: record.deaths,
            age: now.saturating_duration_since(record.at),
        });
        suspects.filter(|suspect| suspect.age < RETENTION).collect()
    }

    /// Fingerprints kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    fn expire(&mut self, now: Instant, fingerprint: u64) {
        let Some(record) = self.records.get_mut(&fingerprint) else { return };
        if now.saturating_duration_since(record.at) >= RETENTION {
            self.records.remove(&fingerprint);
        } else if record.trial_deadline.is_some_and(|deadline| deadline <= now) {
            record.trial_deadline = None;
        }
    }

    /// Drops the oldest records where there are too many, cleared ones first
    /// and quarantined ones last; an eighth at once, so that the sort is paid
    /// for by many insertions.
    fn evict_oldest(&mut self) {
        if self.records.len() <= MAX_FINGERPRINTS {
            return;
        }
        let mut order: Vec<_> = self.records.iter().map(|(&f, r)| (r.deaths, r.at, f)).collect();
        order.sort_unstable();
        let excess = self.records.len() - MAX_FINGERPRINTS / 8 * 7;
        for (_, _, fingerprint) in order.into_iter().take(excess) {
            self.records.remove(&fingerprint);
        }
    }
}
