//! The bytes that this node holds for callers and targets, by the caller's connection.
//!
//! A connection that is chosen to be closed is cut while its answer is being written. Before that
//! its request ends with a refusal, and the connection is closed after it.

use crate::refusal::Refusal;
use bytes::Bytes;
use hickory_policy::holding::Holdings;
use hickory_policy::refuse::{Ran, Reason};
use hickory_telemetry::metrics::Metrics;
use hickory_unit::size;
use http::StatusCode;
use std::collections::HashMap;
use std::future::Future;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// The retry delay of a request that is refused for its memory. Slow callers need about this long
/// to be closed or to read on.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// The minimum time between two log lines of closed connections. Thousands may be closed within a
/// second, and their lines would displace others.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Identifies a connection within this node.
type Key = u64;

/// The state of a connection.
#[derive(Clone, Copy, Debug, Default)]
struct State {
    /// Whether its answer is being written.
    is_answering: bool,
    /// Whether it is to be closed.
    is_chosen: bool,
}

/// The connections of callers, and what they hold.
#[derive(Debug)]
pub(crate) struct Registry {
    connections: Mutex<Connections>,
    bound: AtomicU64,
    metrics: Metrics,
}

#[derive(Debug, Default)]
struct Connections {
    holdings: Holdings<Key>,
    states: HashMap<Key, watch::Sender<State>>,
    next_key: Key,
    /// When a closed connection was last logged.
    logged_at: Option<Instant>,
}

impl Registry {
    pub(crate) fn new(bound: size::Bytes, metrics: Metrics) -> Arc<Self> {
        let bound = AtomicU64::new(bound.0);
        Arc::new(Self { connections: Mutex::default(), bound, metrics })
    }

    /// Changes the bound, which takes effect when more is held.
    pub(crate) fn set_bound(&self, bound: size::Bytes) {
        self.bound.store(bound.0, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, Connections> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, key: Key, bytes: size::Bytes) {
        let bound = size::Bytes(self.bound.load(Ordering::Relaxed));
        let mut connections = self.lock();
        connections.holdings.add(key, bytes);
        let mut most_held = None;
        while let Some(chosen) = connections.holdings.choose(bound) {
            most_held = most_held.or(Some(connections.holdings.held_by(chosen)));
            self.metrics.count_closed_holder();
            if let Some(state) = connections.states.get(&chosen) {
                state.send_modify(|state| state.is_chosen = true);
            }
        }
        let total = connections.holdings.total();
        self.metrics.set_held_bytes(total);
        let Some(held) = most_held else { return };
        let now = Instant::now();
        let is_due = connections.logged_at.is_none_or(|at| now - at >= LOG_INTERVAL);
        if is_due {
            connections.logged_at = Some(now);
            drop(connections);
            log::warn!(held_bytes = held.0, total_bytes = total.0, bound_bytes = bound.0;
                "closed the connection that holds most");
        }
    }

    fn release(&self, key: Key, bytes: size::Bytes) {
        let mut connections = self.lock();
        connections.holdings.release(key, bytes);
        self.metrics.set_held_bytes(connections.holdings.total());
    }
}

/// A connection that bytes are held for. Clones are the same connection.
#[derive(Clone, Debug)]
pub(crate) struct Holder(Arc<Connection>);

#[derive(Debug)]
struct Connection {
    registry: Arc<Registry>,
    key: Key,
    state: watch::Receiver<State>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.registry.lock().states.remove(&self.key);
    }
}

impl Holder {
    /// Registers a connection.
    pub(crate) fn open(registry: &Arc<Registry>) -> Self {
        let (sender, state) = watch::channel(State::default());
        let mut connections = registry.lock();
        let key = connections.next_key;
        connections.next_key += 1;
        connections.states.insert(key, sender);
        Self(Arc::new(Connection { registry: registry.clone(), key, state }))
    }

    /// Begins to hold bytes, none at first.
    pub(crate) fn hold(&self) -> Hold {
        Hold { holder: self.clone(), bytes: size::Bytes(0) }
    }

    /// Holds bytes until their last copy is dropped, also within a connection's send buffer.
    pub(crate) fn hold_bytes(&self, bytes: Bytes) -> Bytes {
        let mut hold = self.hold();
        hold.set(bytes.len());
        Bytes::from_owner(HeldBytes { bytes, _hold: hold })
    }

    /// Records whether an answer is being written.
    pub(crate) fn set_answering(&self, is_answering: bool) {
        if let Some(state) = self.0.registry.lock().states.get(&self.0.key) {
            state.send_modify(|state| state.is_answering = is_answering);
        }
    }

    pub(crate) fn is_answering(&self) -> bool {
        self.0.state.borrow().is_answering
    }

    pub(crate) fn is_chosen(&self) -> bool {
        self.0.state.borrow().is_chosen
    }

    /// Waits until the connection is chosen to be closed.
    pub(crate) async fn chosen(&self) {
        let mut state = self.0.state.clone();
        // The sender lives as long as the connection.
        let _ = state.wait_for(|state| state.is_chosen).await;
    }

    /// Runs a part of a request unless the connection is chosen. The part is then dropped, and the
    /// request refused.
    ///
    /// # Errors
    ///
    /// Returns the refusal, or that of the request's part.
    pub(crate) async fn run<T>(
        &self,
        ran: Ran,
        part: impl Future<Output = Result<T, Refusal>>,
    ) -> Result<T, Refusal> {
        let result = tokio::select! {
            biased;
            () = self.chosen() => return Err(refuse(ran)),
            result = part => result,
        };
        // The bytes that the part has just read may have made this connection hold most.
        match self.is_chosen() {
            true => Err(refuse(ran)),
            false => result,
        }
    }
}

fn refuse(ran: Ran) -> Refusal {
    let detail = "this node holds too many bytes, and most for this connection";
    match ran {
        Ran::No => Refusal::new(Reason::Overloaded, detail)
            .with_status(StatusCode::SERVICE_UNAVAILABLE)
            .with_retry_after(RETRY_AFTER),
        Ran::Unknown => Refusal { ran, ..Refusal::new(Reason::TargetFailed, detail) },
    }
}

/// Bytes that are held for a connection until this is dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    holder: Holder,
    bytes: size::Bytes,
}

impl Hold {
    /// Sets the number of bytes.
    pub(crate) fn set(&mut self, bytes: usize) {
        let bytes = size::Bytes(bytes as u64);
        let connection = &self.holder.0;
        if bytes > self.bytes {
            connection.registry.add(connection.key, bytes - self.bytes);
        } else if bytes < self.bytes {
            connection.registry.release(connection.key, self.bytes - bytes);
        }
        self.bytes = bytes;
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.set(0);
    }
}

/// Bytes together with their hold.
struct HeldBytes {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
