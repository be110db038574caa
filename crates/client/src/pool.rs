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
pub(crate) const IDLE_TIME: Duration = Duration::from_secs(10);

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: Instant,
    /// How long it may stay idle.
    keep: Duration,
}

impl Idle {
    fn is_usable(&self) -> bool {
        self.since.elapsed() < self.keep && self.connection.is_idle()
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
    /// Takes the connection to `at` that was used last, if that was within
    /// `fresh`.
    pub(crate) fn take(&self, at: SocketAddr, fresh: Duration) -> Option<Connection> {
        let mut shard = self.lock(at);
        let all = shard.get_mut(&at)?;
        if all.last().is_some_and(|idle| idle.since.elapsed() > fresh) {
            return None;
        }
        let found = std::iter::from_fn(|| all.pop()).find(Idle::is_usable);
        if all.is_empty() {
            shard.remove(&at);
        }
        found.map(|idle| idle.connection)
    }

    /// Keeps a connection for a later call, at most `keep`.
    pub(crate) fn put(&self, at: SocketAddr, connection: Connection, keep: Duration) {
        let mut shard = self.lock(at);
        let idle = shard.entry(at).or_default();
        idle.retain(Idle::is_usable);
        if idle.len() < IDLE_MAX {
            idle.push(Idle { connection, since: Instant::now(), keep: keep.min(IDLE_TIME) });
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
