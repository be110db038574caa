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
            /// The identifier as text.
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
    /// A node: one process of ours on an entry host.
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
    /// A partner of the joint venture, who holds a share of the fleet.
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
    /// An adapter laid over a model.
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
    /// One request of a caller, the same over all its attempts.
    Request(Uuid)
}
number! {
    /// An incarnation of a process: differs after each start.
    Incarnation(u64), Default
}
number! {
    /// The epoch of an ownership, which is also the fencing number of orders.
    Epoch(u64), Default
}
number! {
    /// A version of the configuration; each accepted release note adds one.
    Release(u64), Default
}

/// A stream on an engine: who sent it, for which attempt, and until when it
/// may live.
///
/// The sender and the deadline stand in the id itself, so that whoever finds
/// the stream can tell without any other state whether it is an orphan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Stream {
    /// The request the stream answers.
    pub request: Request,
    /// The attempt within the request, from 0.
    pub attempt: u32,
    /// The node that opened the stream.
    pub sender: Node,
    /// When the stream must have ended, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
}

impl std::fmt::Display for Stream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}.{}.{}.{}", self.request, self.attempt, self.deadline_ms, self.sender)
    }
}

/// A stream id that can't be read.
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
