//! Messages of the membership gossip protocol.

use crate::member::Record;
use crate::roster::Summary;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Probes the receiver, which answers with [`Message::Ack`].
    Ping(Exchange),
    /// Answers a ping.
    Ack(Exchange),
    /// Asks the receiver to ping another node and to forward its ack.
    IndirectPing {
        /// Sequence number of the requester's probe.
        sequence: u32,
        /// Datagram address of the node to ping.
        to: SocketAddr,
    },
    /// Disseminates changed records.
    Rumor(Vec<Record>),
    /// Asks for a sample of the records; holds the requester's own record.
    Pull(Record),
    /// Answers a pull or a sync.
    Members(Vec<Record>),
    /// Asks for the records that differ from those of the requester. Nodes of an older version
    /// don't know this message.
    Sync {
        /// The requester's own record.
        own: Record,
        /// Digests of the requester's table.
        summary: Summary,
    },
}

/// Content of a ping or an ack.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Sequence number of the probe.
    pub sequence: u32,
    /// Digest of the sender's table; equal digests mean equal tables.
    pub digest: u64,
    /// Piggybacked changes.
    pub records: Vec<Record>,
}

/// A message and its destination.
pub type Outgoing = (SocketAddr, Message);
