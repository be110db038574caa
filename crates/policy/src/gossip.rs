//! What nodes send each other about members.

use crate::member::Record;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// What nodes send each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for an [`Message::Ack`].
    Ping(Exchange),
    /// Answers a ping.
    Ack(Exchange),
    /// Asks to ping a node, and to pass its answer on.
    IndirectPing {
        /// Of the probe that the answer is for.
        sequence: u32,
        /// Where the node receives datagrams.
        to: SocketAddr,
    },
    /// Tells of changes.
    Rumor(Vec<Record>),
    /// Asks for all records, and tells who asks.
    Pull(Record),
    /// Answers that.
    Members(Vec<Record>),
}

/// What goes with a probe and its answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exchange {
    /// Of the probe.
    pub sequence: u32,
    /// Of the sender's table: equal ones hold the same.
    pub digest: u64,
    /// News that travels along.
    pub records: Vec<Record>,
}

/// A message and where it goes.
pub type Outgoing = (SocketAddr, Message);
