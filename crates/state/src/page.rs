//! A page of the claim ledger: the claims of the keys of one shard whose own
//! time lies in one minute.

use derive_more::Display;
use hickory_store::store::Lease;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use uuid::Uuid;

/// Shards of the ledger. All nodes must agree on it, so it is no setting.
///
/// Load: hundreds of claims a second. More shards mean fewer nodes that write
/// the same page at once, and more writes; at 16, a page of a minute with 300
/// claims a second holds about 1,100 claims in 200 KB.
pub const SHARD_COUNT: u128 = 16;

/// A page takes no new claim above this size, in bytes of text: what is left
/// below the service's bound takes the outcomes of the claims it holds.
pub const MAX_PAGE_BYTES_FOR_CLAIMS: usize = 640 << 10;

/// Above this size outcomes are stored without their body.
pub const MAX_PAGE_BYTES_FOR_BODIES: usize = 512 << 10;

/// The greatest body that is stored.
pub const MAX_STORED_BODY_BYTES: usize = 2 << 10;

/// The greatest text of a claim without its outcome.
pub(crate) const MAX_RECORD_BYTES: usize = 128;

const MS_PER_MINUTE: u64 = 60_000;

/// Times of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a key is accepted after its own time.
    pub key_retention: Duration,
    /// The greatest difference between any two clocks, hosts' or callers'.
    pub max_clock_skew: Duration,
    /// How long after a claim was asked for its request may be sent.
    pub send_window: Duration,
    /// How long the outcome of an answered request may wait for others, to
    /// be stored with them in one write.
    pub settle_delay: Duration,
    /// How long an outcome is tried to be stored.
    pub settle_timeout: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            key_retention: Duration::from_secs(600),
            max_clock_skew: Duration::from_secs(5),
            send_window: Duration::from_secs(20),
            settle_delay: Duration::from_millis(200),
            settle_timeout: Duration::from_secs(15),
        }
    }
}

/// How a claimed request ended.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
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

/// The claim of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Hash of the account and the content.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// Names the claim; differs for each attempt to claim.
    #[serde(rename = "c")]
    pub claim: Uuid,
    /// How it ended, once known.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// The claims of one shard and minute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The lease that removes the page. It stands in the page, because each
    /// write must name it: one that does not would unbind the page, which
    /// would then stay for good.
    pub lease: Lease,
    /// The claims by key.
    pub claims: BTreeMap<Uuid, Record>,
}

/// Names a page.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("ledger/{shard}/{minute}")]
pub struct Name {
    /// The shard.
    pub shard: u8,
    /// Minutes since the Unix epoch.
    pub minute: u64,
}

/// Why a key has no page.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum KeyError {
    /// It holds no time.
    #[display("not a UUIDv7")]
    NotUuidV7,
    /// Its page may be gone already.
    #[display("older than the ledger keeps")]
    TooOld,
    /// Its time is still to come.
    #[display("from the future")]
    InFuture,
}

/// The page of a key, at wall-clock time `wall_ms`.
///
/// The key's own time chooses the page, so that all nodes look in the same
/// place and the whole page can go at once. That is safe only while no node
/// accepts a key whose page may be gone, hence the check of its age.
pub fn find_page(key: Uuid, wall_ms: u64, options: &Options) -> Result<Name, KeyError> {
    if key.get_version_num() != 7 {
        return Err(KeyError::NotUuidV7);
    }
    let time_ms = timestamp_ms(key);
    if time_ms + (options.key_retention.as_millis() as u64) < wall_ms {
        return Err(KeyError::TooOld);
    }
    if time_ms > wall_ms + options.max_clock_skew.as_millis() as u64 {
        return Err(KeyError::InFuture);
    }
    Ok(Name::of(key))
}

/// The time within a UUIDv7, in milliseconds since the Unix epoch.
fn timestamp_ms(key: Uuid) -> u64 {
    (key.as_u128() >> 80) as u64
}

impl Name {
    /// The page of a key that was found fit before.
    pub(crate) fn of(key: Uuid) -> Self {
        Self {
            shard: (key.as_u128() % SHARD_COUNT) as u8,
            minute: timestamp_ms(key) / MS_PER_MINUTE,
        }
    }

    /// How long the page must stay from `wall_ms` on.
    ///
    /// Any node may accept a key of this minute until its own clock, which
    /// may lag by the skew, passes the minute's end and the kept time; the
    /// claim is then written within the send window. The skew counts twice:
    /// this node's clock may be ahead just as the other lags.
    pub fn ttl(&self, wall_ms: u64, options: &Options) -> Duration {
        let end = Duration::from_millis((self.minute + 1) * MS_PER_MINUTE);
        let retention = options.key_retention + 2 * options.max_clock_skew + options.send_window;
        (end + retention).saturating_sub(Duration::from_millis(wall_ms))
    }
}

impl Outcome {
    /// The greatest text it takes in a page; each byte of a body may become
    /// six when it is escaped.
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        match self {
            Self::Answered { body, .. } => 64 + body.as_ref().map_or(0, |body| 6 * body.len()),
            Self::NotRun => 16,
        }
    }

    /// The outcome as it is stored in a page of `size` bytes.
    pub fn without_large_body(self, page_size: usize) -> Self {
        match self {
            Self::Answered { status, body } => {
                let body = body.filter(|body| {
                    page_size < MAX_PAGE_BYTES_FOR_BODIES && body.len() <= MAX_STORED_BODY_BYTES
                });
                Self::Answered { status, body }
            }
            Self::NotRun => Self::NotRun,
        }
    }
}
