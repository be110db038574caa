//! Which connection to close when a node holds too many bytes for others.
//!
//! Load pattern: thousands of callers that read slowly hold little each, and a few that have
//! stopped reading, or whose targets send without end, hold most of the memory. Closing the newest
//! connection would cut off callers that read, and leave the memory where it is.

use hickory_unit::size;
use std::collections::HashMap;
use std::hash::Hash;

/// The part of the bound that is left to connections that are being closed, as a divisor. They
/// release their bytes only when their tasks run next.
const CLOSING_DIVISOR: u64 = 16;

/// The bytes held for one connection.
#[derive(Clone, Copy, Debug, Default)]
struct Holding {
    bytes: u64,
    /// Whether the connection has been chosen and its bytes are being released.
    is_closing: bool,
}

/// The bytes that a node holds, by connection.
#[derive(Clone, Debug)]
pub struct Holdings<K> {
    holdings: HashMap<K, Holding>,
    total: u64,
    /// The part of the total that belongs to connections that have been chosen.
    closing: u64,
}

impl<K> Default for Holdings<K> {
    fn default() -> Self {
        Self { holdings: HashMap::new(), total: 0, closing: 0 }
    }
}

impl<K: Copy + Eq + Hash + Ord> Holdings<K> {
    /// Records that a connection holds `bytes` more.
    pub fn add(&mut self, connection: K, bytes: size::Bytes) {
        let holding = self.holdings.entry(connection).or_default();
        holding.bytes += bytes.0;
        self.total += bytes.0;
        if holding.is_closing {
            self.closing += bytes.0;
        }
    }

    /// Records that a connection has released `bytes`. Once it holds nothing, a connection that
    /// was chosen counts as closed, and may be chosen again.
    pub fn release(&mut self, connection: K, bytes: size::Bytes) {
        let Some(holding) = self.holdings.get_mut(&connection) else { return };
        let released = bytes.0.min(holding.bytes);
        holding.bytes -= released;
        self.total -= released;
        if holding.is_closing {
            self.closing -= released;
        }
        if holding.bytes == 0 {
            self.holdings.remove(&connection);
        }
    }

    /// Returns all bytes that the node holds.
    pub fn total(&self) -> size::Bytes {
        size::Bytes(self.total)
    }

    /// Returns the bytes that a connection holds.
    pub fn held_by(&self, connection: K) -> size::Bytes {
        size::Bytes(self.holdings.get(&connection).map_or(0, |holding| holding.bytes))
    }

    /// Chooses a connection to close if about `bound` is held without the connections chosen
    /// before: the one that holds most, and the one with the smallest key among equals.
    pub fn choose(&mut self, bound: size::Bytes) -> Option<K> {
        if self.total - self.closing <= bound.0 - bound.0 / CLOSING_DIVISOR {
            return None;
        }
        let open = self.holdings.iter_mut().filter(|(_, holding)| !holding.is_closing);
        let (key, holding) =
            open.max_by_key(|(key, holding)| (holding.bytes, std::cmp::Reverse(**key)))?;
        holding.is_closing = true;
        self.closing += holding.bytes;
        Some(*key)
    }
}
