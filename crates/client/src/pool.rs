//! Idle connections by address, in shards.

use crate::connection::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Shards, so that threads seldom wait for each other.
const SHARD_COUNT: usize = 16;

/// Idle connections kept to one address: a node sends tens of calls a second
/// to one target, each of them some milliseconds long.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// How long an idle connection is kept: less than servers commonly keep
/// theirs, so that few calls meet one that is about to close.
pub(crate) const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// How long it may stay idle.
    max_idle: Duration,
}

impl IdleConnection {
    fn is_usable(&self) -> bool {
        self.idle_since.elapsed() < self.max_idle && self.connection.is_idle()
    }
}

type Shard = HashMap<SocketAddr, Vec<IdleConnection>>;

/// The idle connections of a client.
#[derive(Debug)]
pub(crate) struct Pool {
    shards: [Mutex<Shard>; SHARD_COUNT],
}

impl Default for Pool {
    fn default() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

impl Pool {
    /// Takes the connection to `at` that was used last, if that was within
    /// `fresh`.
    pub(crate) fn take(&self, address: SocketAddr, max_idle: Duration) -> Option<Connection> {
        let mut shard = self.lock(address);
        let connections = shard.get_mut(&address)?;
        if connections.last().is_some_and(|idle| idle.idle_since.elapsed() > max_idle) {
            return None;
        }
        let found = std::iter::from_fn(|| connections.pop()).find(IdleConnection::is_usable);
        if connections.is_empty() {
            shard.remove(&address);
        }
        found.map(|idle| idle.connection)
    }

    /// Keeps a connection for a later call, at most `keep`.
    pub(crate) fn put(&self, address: SocketAddr, connection: Connection, max_idle: Duration) {
        let mut shard = self.lock(address);
        let idle = shard.entry(address).or_default();
        idle.retain(IdleConnection::is_usable);
        if idle.len() < MAX_IDLE_CONNECTIONS {
            idle.push(IdleConnection {
                connection,
                idle_since: Instant::now(),
                max_idle: max_idle.min(MAX_IDLE_TIME),
            });
        }
    }

    /// Closes the idle connections to `at`.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.lock(address).remove(&address);
    }

    fn lock(&self, address: SocketAddr) -> MutexGuard<'_, Shard> {
        let index = usize::from(address.port()) % SHARD_COUNT;
        self.shards[index].lock().unwrap_or_else(PoisonError::into_inner)
    }
}
