//! Plain services: one request, one response.

use crate::Error;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// A call of a service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// The path within the service, with a leading slash.
    pub path: String,
    /// The idempotency key, passed on so that the service can log it.
    pub key: Option<String>,
    /// The body.
    pub body: Bytes,
    /// Timeout for the reply.
    pub timeout: Duration,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    pub body: Bytes,
}

/// The load report of a service replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The incarnation of the process; each start has a new one.
    pub incarnation: hickory_unit::id::Incarnation,
    /// Number of calls in progress.
    pub running: u32,
    /// Maximum number of concurrent calls when warm.
    pub calls_max: u32,
    /// Warmth from 0 (cold) to 100 (warm).
    pub warmth: u8,
}

/// The interface to plain services.
pub trait Services: Clone + Send + Sync + 'static {
    /// Sends a call and returns the reply.
    fn call(&self, at: SocketAddr, call: Call)
    -> impl Future<Output = Result<Reply, Error>> + Send;

    /// Reads the load report.
    fn report(&self, at: SocketAddr) -> impl Future<Output = Result<Report, Error>> + Send;
}
