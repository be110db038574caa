//! The key-value service: compare-and-swap, leases and watches.

use derive_more::Display;
use hickory_unit::size;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::future::Future;
use std::time::Duration;

/// The maximum size of a value.
pub const MAX_VALUE_SIZE: size::Bytes = size::Bytes(1 << 20);

/// The number of bits of a revision's number; its era has the bits above.
const NUMBER_BITS: u32 = u64::BITS;

/// The number of bits of a number in the short form in which nodes exchange most revisions; the era
/// has the bits above, up to 64 in all. Older versions know this form alone.
const SHORT_NUMBER_BITS: u32 = 40;

/// The bit that marks the long form, which has the layout of [`Revision`].
const LONG_FORM: u128 = 1 << 100;

/// The number of times that the service was restored from a copy, as it counts them. After that it
/// gives out revisions again.
#[derive(
    Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::FromStr,
)]
pub struct Era(u32);

impl Era {
    /// The greatest era.
    pub const MAX: Self = Self((1 << (u64::BITS - SHORT_NUMBER_BITS)) - 1);

    /// Creates an era; `None` if it is greater than [`Era::MAX`].
    pub fn new(era: u32) -> Option<Self> {
        (era <= Self::MAX.0).then_some(Self(era))
    }

    /// Returns the number.
    pub fn number(self) -> u32 {
        self.0
    }
}

/// The revision of a key. The service increments its number with each write to any key.
///
/// Revisions are ordered by era and then by number. A service that counts no eras has only the first
/// one, in which a revision is its number.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(into = "u128", try_from = "u128")]
pub struct Revision(pub u128);

/// The error of decoding a revision that no node sends.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, derive_more::Error)]
#[display("expected a revision, got {encoded}")]
pub struct InvalidRevision {
    encoded: u128,
}

impl From<Revision> for u128 {
    /// Encodes a revision for other nodes.
    fn from(revision: Revision) -> Self {
        let (era, number) = (Self::from(revision.era().0), Self::from(revision.number()));
        match number >> SHORT_NUMBER_BITS {
            0 => era << SHORT_NUMBER_BITS | number,
            _ => LONG_FORM | revision.0,
        }
    }
}

impl From<u64> for Revision {
    /// Decodes the short form.
    fn from(short: u64) -> Self {
        let era = Era((short >> SHORT_NUMBER_BITS) as u32);
        Self::in_era(era, short & ((1 << SHORT_NUMBER_BITS) - 1))
    }
}

impl TryFrom<u128> for Revision {
    type Error = InvalidRevision;

    fn try_from(encoded: u128) -> Result<Self, InvalidRevision> {
        if let Ok(short) = u64::try_from(encoded) {
            return Ok(Self::from(short));
        }
        let revision = Self(encoded & !LONG_FORM);
        let is_valid =
            encoded & LONG_FORM != 0 && revision.0 >> NUMBER_BITS <= u128::from(Era::MAX.0);
        if is_valid { Ok(revision) } else { Err(InvalidRevision { encoded }) }
    }
}

impl Revision {
    /// The greatest revision.
    pub const MAX: Self = Self((Era::MAX.0 as u128) << NUMBER_BITS | u64::MAX as u128);

    /// Creates a revision of an era.
    pub fn in_era(era: Era, number: u64) -> Self {
        Self(u128::from(era.0) << NUMBER_BITS | u128::from(number))
    }

    /// Returns the short form, which saturates.
    pub fn short(self) -> u64 {
        u64::try_from(u128::from(self)).unwrap_or(u64::MAX)
    }

    /// Returns the era.
    pub fn era(self) -> Era {
        Era((self.0 >> NUMBER_BITS) as u32)
    }

    /// Returns the number within the era.
    pub fn number(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.era() {
            Era(0) => write!(f, "{}", self.0),
            era => write!(f, "{era}:{}", self.number()),
        }
    }
}

/// A lease of the key-value service. When it lapses, the keys bound to it are removed.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Lease(pub u64);

/// A key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The key.
    pub key: String,
    /// The value, a text of at most [`MAX_VALUE_SIZE`].
    pub value: String,
    /// The revision of the last write to this key.
    pub revision: Revision,
}

/// The condition under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Expect {
    /// No condition.
    Any,
    /// The key must not exist.
    Absent,
    /// The last write to the key must have this revision. If the service was restored from a copy
    /// since, another write may have it.
    At(Revision),
}

/// A write.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value; `None` removes the key.
    pub value: Option<String>,
    /// The condition.
    pub expect: Expect,
    /// The lease that the key is bound to, if any.
    pub lease: Option<Lease>,
}

/// A change returned by a watch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The key.
    pub key: String,
    /// The value after the change; `None` if the key was removed.
    pub value: Option<String>,
    /// The revision of the change.
    pub revision: Revision,
}

/// The result of a watch.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// The changes, oldest first.
    pub events: Vec<Event>,
    /// The revision from which to continue watching.
    pub revision: Revision,
    /// Whether changes before `revision` are no longer stored, so that a new list is needed.
    pub compacted: bool,
}

/// The cause of a failed call.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// The condition was not met. Contains the current entry, if there is one.
    #[display("the condition does not hold")]
    #[error(ignore)]
    Conflict(Option<Entry>),
    /// The call certainly had no effect: it did not reach the service, or the service rejected it.
    #[display("not done: {_0}")]
    #[error(ignore)]
    NotDone(String),
    /// No usable response was received. A write may have taken effect.
    #[display("no answer: {_0}")]
    #[error(ignore)]
    Unknown(String),
    /// The service no longer knows the lease.
    #[display("the lease has lapsed")]
    LeaseLapsed,
}

/// The key-value service.
///
/// Each call ends within the adapter's timeout, except [`Store::watch`], which
/// ends within `wait` plus that timeout.
pub trait Store: Clone + Send + Sync + 'static {
    /// Reads a key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<Entry>, Error>> + Send;

    /// Reads all keys that begin with `prefix`, sorted, and the current revision of the service.
    fn list(
        &self,
        prefix: &str,
    ) -> impl Future<Output = Result<(Vec<Entry>, Revision), Error>> + Send;

    /// Writes or removes a key.
    fn write(&self, write: Write) -> impl Future<Output = Result<Revision, Error>> + Send;

    /// Waits for at most `wait` until a key that begins with `prefix` changes after `after`.
    /// Returns an empty batch if none changed.
    fn watch(
        &self,
        prefix: &str,
        after: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;

    /// Opens a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, Error>> + Send;

    /// Renews a lease for its full time to live.
    fn renew(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;

    /// Ends a lease and removes its keys.
    fn revoke(&self, lease: Lease) -> impl Future<Output = Result<(), Error>> + Send;
}
