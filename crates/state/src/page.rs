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
pub const SHARDS: u128 = 16;

/// A page takes no new claim above this size, in bytes of text: what is left
/// below the service's bound takes the outcomes of the claims it holds.
pub const CLAIMS_MAX: usize = 640 << 10;

/// Above this size outcomes are stored without their body.
pub const BODIES_MAX: usize = 512 << 10;

/// The greatest body that is stored.
pub const BODY_MAX: usize = 2 << 10;

/// The greatest text of a claim without its outcome.
pub(crate) const RECORD_MAX: usize = 128;

const MINUTE_MS: u64 = 60_000;

/// Times of the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Options {
    /// How long a key is accepted after its own time.
    pub kept: Duration,
    /// The greatest difference between any two clocks, hosts' or callers'.
    pub skew: Duration,
    /// How long after a claim was asked for its request may be sent.
    pub send_window: Duration,
    /// How long the outcome of an answered request may wait for others, to
    /// be stored with them in one write.
    pub settle_delay: Duration,
    /// How long an outcome is tried to be stored.
    pub settle_time: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            kept: Duration::from_secs(600),
            skew: Duration::from_secs(5),
            send_window: Duration::from_secs(20),
            settle_delay: Duration::from_millis(200),
            settle_time: Duration::from_secs(15),
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
pub enum Unfit {
    /// It holds no time.
    #[display("not a UUIDv7")]
    NoTime,
    /// Its page may be gone already.
    #[display("older than the ledger keeps")]
    Old,
    /// Its time is still to come.
    #[display("from the future")]
    Future,
}

/// The page of a key, at wall-clock time `wall_ms`.
///
/// The key's own time chooses the page, so that all nodes look in the same
/// place and the whole page can go at once. That is safe only while no node
/// accepts a key whose page may be gone, hence the check of its age.
pub fn find_page(key: Uuid, wall_ms: u64, options: &Options) -> Result<Name, Unfit> {
    if key.get_version_num() != 7 {
        return Err(Unfit::NoTime);
    }
    let time_ms = read_time(key);
    if time_ms + (options.kept.as_millis() as u64) < wall_ms {
        return Err(Unfit::Old);
    }
    if time_ms > wall_ms + options.skew.as_millis() as u64 {
        return Err(Unfit::Future);
    }
    Ok(Name::of(key))
}

/// The time within a UUIDv7, in milliseconds since the Unix epoch.
fn read_time(key: Uuid) -> u64 {
    (key.as_u128() >> 80) as u64
}

impl Name {
    /// The page of a key that was found fit before.
    pub(crate) fn of(key: Uuid) -> Self {
        Self { shard: (key.as_u128() % SHARDS) as u8, minute: read_time(key) / MINUTE_MS }
    }

    /// How long the page must stay from `wall_ms` on.
    ///
    /// Any node may accept a key of this minute until its own clock, which
    /// may lag by the skew, passes the minute's end and the kept time; the
    /// claim is then written within the send window. The skew counts twice:
    /// this node's clock may be ahead just as the other lags.
    pub fn time_left(&self, wall_ms: u64, options: &Options) -> Duration {
        let end = Duration::from_millis((self.minute + 1) * MINUTE_MS);
        let kept = options.kept + 2 * options.skew + options.send_window;
        (end + kept).saturating_sub(Duration::from_millis(wall_ms))
    }
}

impl Outcome {
    /// The greatest text it takes in a page; each byte of a body may become
    /// six when it is escaped.
    pub(crate) fn size(&self) -> usize {
        match self {
            Self::Answered { body, .. } => 64 + body.as_ref().map_or(0, |body| 6 * body.len()),
            Self::NotRun => 16,
        }
    }

    /// The outcome as it is stored in a page of `size` bytes.
    pub fn trim(self, size: usize) -> Self {
        match self {
            Self::Answered { status, body } => {
                let body = body.filter(|body| size < BODIES_MAX && body.len() <= BODY_MAX);
                Self::Answered { status, body }
            }
            Self::NotRun => Self::NotRun,
        }
    }
}
