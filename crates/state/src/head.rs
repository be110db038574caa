//! The head key of the configuration, without input or output: which configuration is in
//! force, and how a release note is accepted.

use crate::config::{KEY, Rejection};
use crate::retry::Backoff;
use hickory_release::accept::{self, accept_note};
use hickory_release::configuration::Configuration;
use hickory_release::note::Note;
use hickory_store::store::{Entry, Error, Expect, Revision, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long the acceptance of a note is tried.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(5);

/// Minimum and maximum retry delay after a failed call.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Maximum number of reads that return a lower version than the note names. After that
/// the note is rejected, since it may name a version that never existed.
const MAX_STALE_READS: u32 = 3;

/// Whether `next` may replace `current`, which requires a higher version.
///
/// Configurations arrive in any order from the service, from its lagging replicas and
/// from peers. This rule ensures that none of them reverts the configuration in force.
pub fn supersedes(next: &Configuration, current: Option<&Configuration>) -> bool {
    current.is_none_or(|current| current.version < next.version)
}

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the head key.
    Get,
    /// Write the head key.
    Write(Write),
}

/// The reply to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// The reply to [`Call::Get`].
    Got(Result<Option<Entry>, Error>),
    /// The reply to [`Call::Write`].
    Wrote(Result<Revision, Error>),
}

/// The result of an acceptance: the configuration that contains the note, or the
/// rejection.
pub type AcceptanceResult = Result<Arc<Configuration>, Rejection>;

/// The acceptance of one release note.
#[derive(Debug)]
pub struct Acceptance {
    note: Note,
    /// The configuration in force on this node; one from the service must not be older.
    known: Option<Arc<Configuration>>,
    deadline: Instant,
    /// The write to make, with the configuration that it stores.
    write: Option<(Write, Arc<Configuration>)>,
    /// Whether a write got no reply.
    has_unanswered_write: bool,
    stale_reads: u32,
    retry_at: Option<Instant>,
    backoff: Backoff,
}

impl Acceptance {
    /// Starts to accept a note. Its operation id must be unique, because after a lost
    /// reply it is the only way to tell whether this note took effect or an identical one
    /// of another operator.
    pub fn new(now: Instant, note: Note, known: Option<Arc<Configuration>>, seed: u64) -> Self {
        Self {
            note,
            known,
            deadline: now + ACCEPT_TIMEOUT,
            write: None,
            has_unanswered_write: false,
            stale_reads: 0,
            retry_at: None,
            backoff: Backoff::new(RETRY_DELAYS.0, RETRY_DELAYS.1, seed),
        }
    }

    /// Returns how long to wait before the next call.
    pub fn delay(&self, now: Instant) -> Duration {
        self.retry_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// Returns the next call.
    pub fn next_call(&self) -> Call {
        self.write.as_ref().map_or(Call::Get, |(write, _)| Call::Write(write.clone()))
    }

    /// Processes the reply to a call; returns the result once there is one.
    pub fn on_reply(&mut self, now: Instant, reply: Reply) -> Option<AcceptanceResult> {
        self.retry_at = None;
        let result = match reply {
            Reply::Got(Ok(entry)) => self.on_entry(now, entry),
            Reply::Wrote(Ok(_)) => self.write.take().map(|(_, next)| Ok(next)),
            Reply::Wrote(Err(Error::Conflict(entry))) => {
                self.write = None;
                self.on_entry(now, entry)
            }
            // The same write is sent again under the same condition. If the first one
            // took effect, the second one conflicts and gets a configuration that
            // contains the operation. If the second one takes effect, the first one no
            // longer can.
            Reply::Wrote(Err(Error::Unknown(_))) => {
                self.has_unanswered_write = true;
                self.retry_at = Some(now + self.backoff.next_delay());
                None
            }
            Reply::Got(Err(_)) | Reply::Wrote(Err(_)) => {
                self.retry_at = Some(now + self.backoff.next_delay());
                None
            }
        };
        result.or_else(|| (self.deadline <= now).then(|| Err(self.timeout_rejection())))
    }

    fn timeout_rejection(&self) -> Rejection {
        let text = "the service did not answer in time".to_owned();
        if self.has_unanswered_write { Rejection::Unknown(text) } else { Rejection::NotDone(text) }
    }

    /// Decides by the configuration that the service holds.
    fn on_entry(&mut self, now: Instant, entry: Option<Entry>) -> Option<AcceptanceResult> {
        let (present, expect) = match &entry {
            None => (Configuration::default(), Expect::Absent),
            Some(entry) => match serde_json::from_str(&entry.value) {
                Ok(present) => (present, Expect::At(entry.revision)),
                Err(error) => return Some(Err(Rejection::NotDone(error.to_string()))),
            },
        };
        if present.operations.contains(&self.note.operation) {
            return Some(Ok(Arc::new(present)));
        }
        if present.version > self.note.against {
            return Some(Err(Rejection::Conflict { present: Box::new(present) }));
        }
        let known_version = self.known.as_ref().map_or(self.note.against, |known| known.version);
        if present.version < self.note.against.max(known_version) {
            return self.on_stale_read(now, present);
        }
        match accept_note(&present, &self.note) {
            Err(accept::Rejection::Invalid(findings)) => Some(Err(Rejection::Invalid(findings))),
            Err(accept::Rejection::Conflict(_)) => {
                Some(Err(Rejection::Conflict { present: Box::new(present) }))
            }
            Ok(accept::Acceptance::Repeated(_)) => Some(Ok(Arc::new(present))),
            Ok(accept::Acceptance::NewConfiguration(next)) => {
                let value = serde_json::to_string(&next).ok();
                let write = Write { key: KEY.into(), value, expect, lease: None };
                self.write = Some((write, Arc::new(*next)));
                None
            }
        }
    }

    /// Handles a version that is too low: either the read came from a lagging replica, or
    /// the note names a version that never existed.
    fn on_stale_read(&mut self, now: Instant, present: Configuration) -> Option<AcceptanceResult> {
        self.stale_reads += 1;
        if self.stale_reads < MAX_STALE_READS {
            self.retry_at = Some(now + self.backoff.next_delay());
            return None;
        }
        let known = self.known.clone().filter(|known| supersedes(known, Some(&present)));
        match known {
            // The service has lost versions. A write on the older head would reuse
            // version numbers that nodes already have in force, and no node would apply
            // it.
            Some(known) if known.version == self.note.against => {
                let text = format!("the service has version {}", present.version);
                Some(Err(Rejection::NotDone(text)))
            }
            Some(known) => Some(Err(Rejection::Conflict { present: Box::new((*known).clone()) })),
            None => Some(Err(Rejection::Conflict { present: Box::new(present) })),
        }
    }
}
