//! The claim ledger: a request that must not run twice is claimed by
//! compare-and-swap before its first byte goes to a target.

use hickory_platform::store::{Error, Expect, Store, Write};
use hickory_unit::clock::Clock;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Certainly no byte went to any target: a resend may claim anew.
    NotRun,
    /// It was answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body; `None` where it was too large to be kept.
        body: Option<String>,
    },
}

/// Why the ledger can't tell whether a request with this key has run.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Doubt {
    /// The ledger could not be read. This node sends nothing, but an earlier
    /// attempt with the same key may have run.
    #[display("the ledger can't be read: {_0}")]
    Unread(String),
    /// The claim's write got no answer. This node sends nothing.
    #[display("no answer to the claim: {_0}")]
    Unanswered(String),
}

/// The answer to a claim.
#[derive(Clone, Debug)]
pub enum Answer {
    /// This node alone may send it, once, while [`Claim::may_send`] holds.
    Granted(Claim),
    /// The key was claimed before; refused as `ran: unknown`, or answered
    /// with the outcome where one is stored.
    Repeated {
        /// The stored outcome.
        outcome: Option<Outcome>,
    },
    /// The key was used with another content; this content has not run.
    Reused,
    /// The key is older than the ledger keeps, or from the future:
    /// `ran: unknown`.
    TooOld,
    /// No attempt with this key had begun, and this one never will:
    /// `ran: no`.
    NotDone(String),
    /// `ran: unknown`.
    Unknown(Doubt),
}

/// Times and sizes of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a key is kept after its own time.
    pub kept: Duration,
    /// The greatest difference between any two clocks.
    pub skew: Duration,
    /// How long after the claim was asked for its request may be sent.
    pub send_window: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            kept: Duration::from_secs(600),
            skew: Duration::from_secs(5),
            send_window: Duration::from_secs(20),
        }
    }
}

/// A claim that this node holds.
#[derive(Clone, Debug)]
pub struct Claim {
    key: Uuid,
    id: Uuid,
    send_by: Instant,
}

impl Claim {
    /// Whether the request may still be sent under this claim.
    pub fn may_send(&self, now: Instant) -> bool {
        now < self.send_by
    }
}

#[derive(Clone, Debug, Serialize, Deserialize)]
struct Record {
    fingerprint: u64,
    claim: Uuid,
    outcome: Option<Outcome>,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct Page {
    claims: BTreeMap<Uuid, Record>,
}

/// The ledger.
#[derive(Clone, Debug)]
pub struct Ledger<S, C> {
    store: S,
    clock: C,
    options: Options,
}

impl<S: Store, C: Clock> Ledger<S, C> {
    /// Opens the ledger; claims are made in the name of `me`.
    pub fn open(store: S, clock: C, me: id::Node, options: Options) -> Self {
        let _ = me;
        Self { store, clock, options }
    }

    /// Claims a key for a request with the fingerprint given, until
    /// `deadline` at the latest.
    pub async fn claim(&self, key: Uuid, fingerprint: u64, deadline: Instant) -> Answer {
        let claim = Uuid::new_v4();
        let send_by = deadline.min(self.clock.now() + self.options.send_window);
        loop {
            if self.clock.now() >= send_by {
                return Answer::Unknown(Doubt::Unread("deadline".into()));
            }
            let (mut page, expect) = match self.read(key).await {
                Ok(read) => read,
                Err(error) => return Answer::Unknown(Doubt::Unread(error.to_string())),
            };
            match page.claims.get(&key) {
                Some(record) if record.fingerprint != fingerprint => return Answer::Reused,
                Some(record) if record.claim == claim => {
                    return Answer::Granted(Claim { key, id: claim, send_by });
                }
                Some(record) if record.outcome != Some(Outcome::NotRun) => {
                    return Answer::Repeated { outcome: record.outcome.clone() };
                }
                _ => {}
            }
            page.claims.insert(key, Record { fingerprint, claim, outcome: None });
            match self.store.write(write_page(key, &page, expect)).await {
                Ok(_) => return Answer::Granted(Claim { key, id: claim, send_by }),
                Err(Error::Conflict(_) | Error::Unknown(_)) => {}
                Err(error) => return Answer::Unknown(Doubt::Unread(error.to_string())),
            }
        }
    }

    /// Stores how a claimed request ended.
    pub async fn settle(&self, claim: &Claim, outcome: Outcome) -> Result<(), Doubt> {
        loop {
            let read = self.read(claim.key).await;
            let (mut page, expect) = read.map_err(|e| Doubt::Unread(e.to_string()))?;
            match page.claims.get_mut(&claim.key) {
                Some(record) if record.claim == claim.id && record.outcome.is_none() => {
                    record.outcome = Some(outcome.clone());
                }
                _ => return Ok(()),
            }
            match self.store.write(write_page(claim.key, &page, expect)).await {
                Ok(_) => return Ok(()),
                Err(Error::Conflict(_)) => {}
                Err(error) => return Err(Doubt::Unanswered(error.to_string())),
            }
        }
    }

    async fn read(&self, key: Uuid) -> Result<(Page, Expect), Error> {
        Ok(match self.store.get(&name_page(key)).await? {
            None => (Page::default(), Expect::Absent),
            Some(entry) => {
                let page = serde_json::from_str(&entry.value)
                    .map_err(|e| Error::Unknown(e.to_string()))?;
                (page, Expect::At(entry.revision))
            }
        })
    }
}

fn name_page(key: Uuid) -> String {
    let millis = key.as_u128() >> 80;
    format!("ledger/{}/{}", key.as_u128() % 16, millis / 60_000)
}

fn write_page(key: Uuid, page: &Page, expect: Expect) -> Write {
    let value = serde_json::to_string(page).ok();
    Write { key: name_page(key), value, expect, lease: None }
}
