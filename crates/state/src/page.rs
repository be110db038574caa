//! A page of the claim ledger: the claims of one shard's keys whose timestamps lie in the
//! same minute.

use derive_more::Display;
use hickory_store::store::Lease;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;
use uuid::Uuid;

/// Number of shards of the ledger. It is not a setting, because all nodes must agree on
/// it.
///
/// The ledger is built for hundreds of claims per second. More shards mean fewer nodes
/// that write the same page at once, and more writes. With 16 shards and 300 claims per
/// second, the page of one minute holds about 1,100 claims in 200 KB.
pub const SHARD_COUNT: u128 = 16;

/// A page with a longer text accepts no new claims. The rest, up to the service's limit
/// on values, is left for the outcomes of the claims in the page.
pub const MAX_PAGE_BYTES_FOR_CLAIMS: usize = 640 << 10;

/// A page with a longer text stores outcomes without their bodies.
pub const MAX_PAGE_BYTES_FOR_BODIES: usize = 512 << 10;

/// Bodies that are longer are not stored.
pub const MAX_STORED_BODY_BYTES: usize = 2 << 10;

/// Maximum text length of a claim without its outcome.
pub(crate) const MAX_RECORD_BYTES: usize = 128;

const MS_PER_MINUTE: u64 = 60_000;

/// Timing parameters of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long after its timestamp a key is accepted.
    pub key_retention: Duration,
    /// Maximum difference between any two clocks of hosts or callers.
    pub max_clock_skew: Duration,
    /// How long after the start of a claim its request may be sent.
    pub send_window: Duration,
    /// How long the outcome of an answered request may wait to share a write with others.
    pub settle_delay: Duration,
    /// How long storing an outcome is tried.
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
    /// Certainly no byte was sent to any target: a resend may claim the key again.
    NotRun,
    /// The request was answered.
    Answered {
        /// The HTTP status.
        status: u16,
        /// The body; `None` if it was too large to be stored.
        body: Option<String>,
    },
}

/// The claim of one key.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Hash of the account and the content.
    #[serde(rename = "f")]
    pub fingerprint: u64,
    /// Id of the claim; different for each attempt to claim the key.
    #[serde(rename = "c")]
    pub claim: Uuid,
    /// How the request ended, once known.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub outcome: Option<Outcome>,
}

/// The claims of one shard and minute.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The lease that removes the page when it expires. It is stored in the page because
    /// each write has to name it: a write without it would detach the page from the
    /// lease, and the page would never be removed.
    pub lease: Lease,
    /// The claims by key.
    pub claims: BTreeMap<Uuid, Record>,
}

/// Identifies a page.
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
    /// It contains no timestamp.
    #[display("not a UUIDv7")]
    NotUuidV7,
    /// Its page may already have been removed.
    #[display("older than the ledger keeps")]
    TooOld,
    /// Its timestamp is in the future.
    #[display("from the future")]
    InFuture,
}

/// Returns the page of a key at wall-clock time `wall_ms`.
///
/// The key's own timestamp determines the page, so that all nodes use the same one and a
/// whole page can be removed at once. This is safe only if no node accepts a key whose
/// page may be gone, hence the check of the key's age.
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

/// Returns the timestamp of a UUIDv7 in milliseconds since the Unix epoch.
fn timestamp_ms(key: Uuid) -> u64 {
    (key.as_u128() >> 80) as u64
}

impl Name {
    /// Returns the page of a key that passed [`find_page`] before.
    pub(crate) fn of(key: Uuid) -> Self {
        Self {
            shard: (key.as_u128() % SHARD_COUNT) as u8,
            minute: timestamp_ms(key) / MS_PER_MINUTE,
        }
    }

    /// Returns how long the page must be kept from `wall_ms` on.
    ///
    /// Any node may accept a key of this minute until its own clock, which may lag by the
    /// skew, passes the end of the minute plus the key retention; the claim is then
    /// written within the send window. The skew counts twice because this node's clock
    /// may be ahead while the other one lags.
    pub fn ttl(&self, wall_ms: u64, options: &Options) -> Duration {
        let end = Duration::from_millis((self.minute + 1) * MS_PER_MINUTE);
        let retention = options.key_retention + 2 * options.max_clock_skew + options.send_window;
        (end + retention).saturating_sub(Duration::from_millis(wall_ms))
    }
}

impl Outcome {
    /// Returns the maximum text length of the outcome in a page; each byte of a body may
    /// become six when it is escaped.
    pub(crate) fn max_encoded_bytes(&self) -> usize {
        match self {
            Self::Answered { body, .. } => 64 + body.as_ref().map_or(0, |body| 6 * body.len()),
            Self::NotRun => 16,
        }
    }

    /// Returns the outcome as it is stored in a page of `page_size` bytes: without its
    /// body if the body or the page is too large.
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
