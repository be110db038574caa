//! Plain services: one call, one answer.

use crate::Error;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// A call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The path within the service, with its leading slash.
    pub path: String,
    /// The idempotency key, passed on so that the service can log it.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Time left for the answer.
    pub timeout: Duration,
}

/// An answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// The load that a replica of a service reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Differs after each start of the process.
    pub incarnation: hickory_unit::id::Incarnation,
    /// Calls running.
    pub running: u32,
    /// Calls that it bears at once when warm.
    pub calls_max: u32,
    /// How warm it is, from 0 (cold) to 100.
    pub warmth: u8,
}

/// Plain services.
pub trait Services: Clone + Send + Sync + 'static {
    /// Makes a call.
    fn call(&self, at: SocketAddr, call: Call)
    -> impl Future<Output = Result<Reply, Error>> + Send;

    /// Reads the load report.
    fn report(&self, at: SocketAddr) -> impl Future<Output = Result<Report, Error>> + Send;
}
