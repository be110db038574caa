//! Prompts that wait for engines, and the order in which they choose.
//!
//! Load pattern: long prompts come faster than engines become idle. The smallest
//! chooses first, since it needs the fewest engines for the least time; a larger
//! one takes what is left. One that is no longer asked for is dropped.

use std::time::{Duration, Instant};

/// How long a prompt waits without being asked for again: its caller is gone, or
/// its node died.
const KEPT: Duration = Duration::from_secs(1);

/// Prompts that wait at most; the rest is refused.
const LENGTH_MOST: usize = 1_024;

/// A prompt that waits.
#[derive(Clone, Debug)]
struct Entry<K, T> {
    key: K,
    read: Duration,
    since: Instant,
    asked: Instant,
    item: T,
}

/// Prompts that wait.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    /// The smallest first; of the same size the one that came first.
    entries: Vec<Entry<K, T>>,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<K: Clone + PartialEq, T: Clone> Queue<K, T> {
    /// Puts a prompt into the queue that takes one engine `read` to read, or takes
    /// anew what is asked for again. Whether there was room.
    pub fn put(&mut self, now: Instant, key: K, read: Duration, item: T) -> bool {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.key == key) {
            entry.asked = now;
            entry.item = item;
            return true;
        }
        if self.entries.len() >= LENGTH_MOST {
            return false;
        }
        let at = self.entries.partition_point(|entry| entry.read <= read);
        self.entries.insert(at, Entry { key, read, since: now, asked: now, item });
        true
    }

    /// Takes a prompt out; how long it waited.
    pub fn remove(&mut self, now: Instant, key: &K) -> Option<Duration> {
        let at = self.entries.iter().position(|entry| entry.key == *key)?;
        let entry = self.entries.remove(at);
        Some(now.saturating_duration_since(entry.since))
    }

    /// Drops what is no longer asked for.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|entry| now.saturating_duration_since(entry.asked) < KEPT);
    }

    /// What is to be read of prompts that choose before one that takes `read`, by
    /// the time that one engine takes.
    pub fn ahead(&self, key: &K, read: Duration) -> Duration {
        let before = self.entries.iter().take_while(|entry| entry.read < read);
        before.filter(|entry| entry.key != *key).map(|entry| entry.read).sum()
    }

    /// The prompts in the order in which they choose.
    pub fn in_order(&self) -> Vec<(K, T)> {
        self.entries.iter().map(|entry| (entry.key.clone(), entry.item.clone())).collect()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
