//! Idle connections by address, in shards.

use crate::connection::Connection;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Shards, so that threads seldom wait for each other.
const SHARDS: usize = 16;

/// Idle connections kept to one address: a node sends tens of calls a second
/// to one target, each of them some milliseconds long.
const IDLE_MAX: usize = 16;

/// How long an idle connection is kept: less than servers commonly keep
/// theirs, so that few calls meet one that is about to close.
const IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < IDLE_TIME && self.connection.is_idle()
    }
}

type Shard = HashMap<SocketAddr, Vec<Idle>>;

/// The idle connections of a client.
#[derive(Debug)]
pub(crate) struct Pool {
    shards: [Mutex<Shard>; SHARDS],
}

impl Default for Pool {
    fn default() -> Self {
        Self { shards: std::array::from_fn(|_| Mutex::default()) }
    }
}

impl Pool {
    /// Takes the connection to `at` that was used last.
    pub(crate) fn take(&self, at: SocketAddr) -> Option<Connection> {
        let mut shard = self.lock(at);
        let all = shard.get_mut(&at)?;
        let found = std::iter::from_fn(|| all.pop()).find(Idle::is_usable);
        if all.is_empty() {
            shard.remove(&at);
        }
        found.map(|idle| idle.connection)
    }

    /// Keeps a connection for a later call.
    pub(crate) fn put(&self, at: SocketAddr, connection: Connection) {
        let mut shard = self.lock(at);
        let idle = shard.entry(at).or_default();
        idle.retain(|idle| idle.since.elapsed() < IDLE_TIME);
        if idle.len() < IDLE_MAX {
            idle.push(Idle { connection, since: Instant::now() });
        }
    }

    /// Closes the idle connections to `at`.
    pub(crate) fn clear(&self, at: SocketAddr) {
        self.lock(at).remove(&at);
    }

    fn lock(&self, at: SocketAddr) -> MutexGuard<'_, Shard> {
        let place = usize::from(at.port()) % SHARDS;
        self.shards[place].lock().unwrap_or_else(PoisonError::into_inner)
    }
}
