//! Sharded pool of idle connections by address.

use crate::connection::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The number of shards, which reduce lock contention between threads.
const SHARD_COUNT: usize = 16;

/// The maximum number of idle connections to one address. A node sends tens of calls per second to
/// a target, each of which takes some milliseconds.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// The maximum idle time of a connection. It is shorter than the usual idle timeout of servers, so
/// that few calls are sent on a connection that the server is about to close.
pub(crate) const MAX_IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Instant,
    /// The maximum idle time of this connection.
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
    /// Removes and returns the most recently used connection to `address`, if it has been idle for
    /// at most `max_idle`.
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

    /// Keeps a connection for later calls, for at most `max_idle`.
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

    /// Closes the idle connections to `address`.
    pub(crate) fn close_idle(&self, address: SocketAddr) {
        self.lock(address).remove(&address);
    }

    fn lock(&self, address: SocketAddr) -> MutexGuard<'_, Shard> {
        let index = usize::from(address.port()) % SHARD_COUNT;
        self.shards[index].lock().unwrap_or_else(PoisonError::into_inner)
    }
}
