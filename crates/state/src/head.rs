//! The configuration's head key, without input or output: which configuration
//! is in force, and how a release note is accepted.

use crate::config::{KEY, Rejection};
use crate::retry::Backoff;
use hickory_release::accept::{self, accept_note};
use hickory_release::configuration::Configuration;
use hickory_release::note::Note;
use hickory_store::store::{Entry, Error, Expect, Revision, Write};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a note is tried to be accepted.
const ACCEPT_TIME: Duration = Duration::from_secs(5);

const RETRY_WAIT: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(500));

/// Reads of a version before the one that the note names; after these the
/// note is refused, since it may name a version that never was.
const STALE_READS_MAX: u32 = 3;

/// Whether `next` may take the place of `current`: only a higher version.
///
/// A configuration comes from the service, from a lagging replica of it, and
/// from peers, in any order. With this one rule none of them can revert it.
pub fn supersedes(next: &Configuration, current: Option<&Configuration>) -> bool {
    current.is_none_or(|current| current.version < next.version)
}

/// A call to the service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Call {
    /// Read the head key.
    Get,
    /// Write it.
    Write(Write),
}

/// The answer to a call.
#[derive(Clone, Debug)]
pub enum Reply {
    /// To [`Call::Get`].
    Got(Result<Option<Entry>, Error>),
    /// To [`Call::Write`].
    Wrote(Result<Revision, Error>),
}

/// The end of an acceptance.
pub type Verdict = Result<Arc<Configuration>, Rejection>;

/// The acceptance of one release note.
#[derive(Debug)]
pub struct Acceptance {
    note: Note,
    /// The configuration in force here: the service's must not be older.
    known: Option<Arc<Configuration>>,
    deadline: Instant,
    /// The write to make, with the configuration that it stores.
    write: Option<(Write, Arc<Configuration>)>,
    /// A write got no answer.
    unanswered: bool,
    stale_reads: u32,
    retry_at: Option<Instant>,
    retries: Backoff,
}

impl Acceptance {
    /// Begins to accept a note. Its operation id must be unique: the only way
    /// to tell, after a lost answer, whether this note took effect or a like
    /// one of another operator.
    pub fn open(now: Instant, note: Note, known: Option<Arc<Configuration>>, seed: u64) -> Self {
        Self {
            note,
            known,
            deadline: now + ACCEPT_TIME,
            write: None,
            unanswered: false,
            stale_reads: 0,
            retry_at: None,
            retries: Backoff::open(RETRY_WAIT.0, RETRY_WAIT.1, seed),
        }
    }

    /// How long to wait before the next call.
    pub fn pause(&self, now: Instant) -> Duration {
        self.retry_at.map_or(Duration::ZERO, |at| at.saturating_duration_since(now))
    }

    /// The next call.
    pub fn next(&self) -> Call {
        self.write.as_ref().map_or(Call::Get, |(write, _)| Call::Write(write.clone()))
    }

    /// Takes the answer to a call; returns the end, once there is one.
    pub fn answered(&mut self, now: Instant, reply: Reply) -> Option<Verdict> {
        self.retry_at = None;
        let end = match reply {
            Reply::Got(Ok(entry)) => self.read(now, entry),
            Reply::Wrote(Ok(_)) => self.write.take().map(|(_, next)| Ok(next)),
            Reply::Wrote(Err(Error::Conflict(entry))) => {
                self.write = None;
                self.read(now, entry)
            }
            // The same write again under the same condition: if the one
            // without an answer took effect, this one's conflict returns a
            // configuration that holds the operation; if not, it can't any
            // more once this one has.
            Reply::Wrote(Err(Error::Unknown(_))) => {
                self.unanswered = true;
                self.retry_at = Some(now + self.retries.fail());
                None
            }
            Reply::Got(Err(_)) | Reply::Wrote(Err(_)) => {
                self.retry_at = Some(now + self.retries.fail());
                None
            }
        };
        end.or_else(|| (self.deadline <= now).then(|| Err(self.give_up())))
    }

    fn give_up(&self) -> Rejection {
        let text = "the service did not answer in time".to_owned();
        if self.unanswered { Rejection::Unknown(text) } else { Rejection::NotDone(text) }
    }

    /// Decides by the configuration in the service.
    fn read(&mut self, now: Instant, entry: Option<Entry>) -> Option<Verdict> {
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
        let known = self.known.as_ref().map_or(self.note.against, |known| known.version);
        if present.version < self.note.against.max(known) {
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

    /// The read may come from a replica that lags, or the note names a version
    /// that never was.
    fn on_stale_read(&mut self, now: Instant, present: Configuration) -> Option<Verdict> {
        self.stale_reads += 1;
        if self.stale_reads < STALE_READS_MAX {
            self.retry_at = Some(now + self.retries.fail());
            return None;
        }
        let known = self.known.clone().filter(|known| supersedes(known, Some(&present)));
        match known {
            // Written over, an older head would take the versions that nodes
            // already have in force, and no node would apply it.
            Some(known) if known.version == self.note.against => {
                let text = format!("the service has version {}", present.version);
                Some(Err(Rejection::NotDone(text)))
            }
            Some(known) => Some(Err(Rejection::Conflict { present: Box::new((*known).clone()) })),
            None => Some(Err(Rejection::Conflict { present: Box::new(present) })),
        }
    }
}
