//! Identifiers of hosts, zones, accounts, targets and requests.

use compact_str::CompactString;
use derive_more::{Display, FromStr};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

macro_rules! name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub CompactString);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self(text.into())
            }
        }
    };
}

name! {
    /// A node: one hickoryrun process on an entry host.
    Node
}
name! {
    /// An availability zone.
    Zone
}
name! {
    /// A client account.
    Account
}
name! {
    /// A partner of the joint venture, which holds a share of the fleet.
    Partner
}
name! {
    /// A target: a model engine or a replica of a plain service.
    Target
}
name! {
    /// A model.
    Model
}
name! {
    /// An adapter applied to a model.
    Adapter
}
name! {
    /// A version of a model.
    Version
}
name! {
    /// A plain service.
    Service
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident($inner:ty) $(, $derive:ident)*) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize,
            Deserialize, $($derive),*
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    };
}

number! {
    /// One request of a caller; the same id is used for all its attempts.
    Request(Uuid)
}
number! {
    /// The incarnation of a process, different after each start.
    Incarnation(u64), Default
}
number! {
    /// The epoch of an ownership, which is also the fencing epoch of orders.
    Epoch(u64), Default
}
number! {
    /// A version of the configuration; each accepted release note increments it.
    Release(u64), Default
}

/// A stream on an engine.
///
/// The id contains the sender and the deadline, so that any node that finds the stream can
/// tell without further state whether it is an orphan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Stream {
    /// The request that the stream answers.
    pub request: Request,
    /// The number of the attempt within the request, from 0.
    pub attempt: u32,
    /// The node that opened the stream.
    pub sender: Node,
    /// The time at which the stream must have ended, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
}

impl std::fmt::Display for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}.{}", self.request, self.attempt, self.deadline_ms, self.sender)
    }
}

/// The text is not a valid stream id.
#[derive(Clone, Debug, Display, PartialEq, Eq)]
#[display("malformed stream id")]
pub struct MalformedStream;

impl std::error::Error for MalformedStream {}

impl std::str::FromStr for Stream {
    type Err = MalformedStream;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.splitn(4, '.');
        let mut next = || parts.next().ok_or(MalformedStream);
        let request = next()?.parse().map_err(|_| MalformedStream)?;
        let attempt = next()?.parse().map_err(|_| MalformedStream)?;
        let deadline_ms = next()?.parse().map_err(|_| MalformedStream)?;
        let sender = Node::from(next()?);
        Ok(Self { request, attempt, sender, deadline_ms })
    }
}

impl TryFrom<String> for Stream {
    type Error = MalformedStream;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<Stream> for String {
    fn from(stream: Stream) -> Self {
        stream.to_string()
    }
}
