//! Quarantine of requests that crash their targets. The death of a target marks the requests that
//! ran on it as suspects. A suspect may run once more, alone; success clears it. After two deaths
//! the fingerprint is quarantined on all nodes.
//!
//! Load pattern: one request kills each engine that runs it, and its caller or a retry sends it
//! again beside innocent requests.

use std::collections::HashMap;
use std::time::{Duration, Instant};

/// Time for which a suspicion or a quarantine lasts without another death: long enough to stop a
/// caller that resends all day, short enough that requests are admitted again after an engine is
/// fixed.
pub const RETENTION: Duration = Duration::from_secs(3_600);

/// Number of deaths after which a fingerprint is quarantined.
pub const QUARANTINE_DEATHS: u32 = 2;

/// Maximum number of fingerprints kept, about 200 KB. The death of an engine adds at most the
/// requests that it runs, about a hundred.
pub const MAX_FINGERPRINTS: usize = 4_096;

/// How a request must be handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The request is not suspected.
    Clear,
    /// The request is a suspect and must run alone on its target.
    RunAlone,
    /// The suspect is running alone elsewhere; this request waits for the outcome.
    Wait,
    /// The request must not run.
    Quarantined,
}

/// A suspected or cleared fingerprint, as exchanged between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Fingerprint of account and content.
    pub fingerprint: u64,
    /// Number of targets that died while running it; zero if it was cleared.
    pub deaths: u32,
    /// Time since the last death or clearing.
    pub age: Duration,
}

#[derive(Clone, Copy, Debug)]
struct Record {
    deaths: u32,
    /// Time of the last death or clearing.
    at: Instant,
    trial_deadline: Option<Instant>,
}

/// Suspects known to a node.
#[derive(Clone, Debug, Default)]
pub struct Suspects {
    records: HashMap<u64, Record>,
}

impl Suspects {
    /// Creates an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how a request must be handled.
    pub fn verdict(&mut self, now: Instant, fingerprint: u64) -> Verdict {
        self.expire(now, fingerprint);
        match self.records.get(&fingerprint) {
            None | Some(Record { deaths: 0, .. }) => Verdict::Clear,
            Some(record) if record.deaths >= QUARANTINE_DEATHS => Verdict::Quarantined,
            Some(Record { trial_deadline: Some(_), .. }) => Verdict::Wait,
            Some(_) => Verdict::RunAlone,
        }
    }

    /// Records that a suspect now runs alone, until `deadline` at the latest.
    pub fn begin_trial(&mut self, fingerprint: u64, deadline: Instant) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_deadline = Some(deadline);
        }
    }

    /// Records that a trial ended without a result: it was cancelled or never began.
    pub fn cancel_trial(&mut self, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.trial_deadline = None;
        }
    }

    /// Records the death of a target and the requests that ran on it.
    ///
    /// A suspect that ran alone is the cause. If several requests ran, earlier suspects get one
    /// more death and the others become suspects.
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

    /// Records that a request completed, which clears a suspect but doesn't lift a quarantine.
    pub fn record_success(&mut self, now: Instant, fingerprint: u64) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.deaths < QUARANTINE_DEATHS
        {
            *record = Record { deaths: 0, at: now, trial_deadline: None };
        }
    }

    /// Merges the suspects of another node. The later statement wins, but a clearing never lifts a
    /// quarantine.
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

    /// Returns the suspects to send to other nodes.
    pub fn snapshot(&self, now: Instant) -> Vec<Suspect> {
        let suspects = self.records.iter().map(|(&fingerprint, record)| Suspect {
            fingerprint,
            deaths: record.deaths,
            age: now.saturating_duration_since(record.at),
        });
        suspects.filter(|suspect| suspect.age < RETENTION).collect()
    }

    /// Returns the number of fingerprints kept.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether no fingerprint is kept.
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

    /// Evicts the oldest records if there are too many: cleared ones first, quarantined ones last.
    /// It removes an eighth at a time to amortize the sort over many insertions.
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
