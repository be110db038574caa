//! Priority queue of prompts that wait for engines.
//!
//! Load pattern: prompts arrive faster than engines have room for them. Short prompts are placed
//! first, by the due time of their first token, since each needs only a slot. Long prompts follow,
//! the smallest first, since small ones need the fewest engines for the shortest time; larger ones
//! get the remaining engines. Interrupted streams go before both under contention. An entry whose
//! node stops refreshing it is dropped.

use std::time::{Duration, Instant};

/// Time until an entry that isn't refreshed expires, since its caller has gone or its node has
/// died.
const ENTRY_TTL: Duration = Duration::from_secs(1);

/// Maximum number of waiting prompts; further ones are refused.
const MAX_LENGTH: usize = 1_024;

/// Priority of a waiting prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// An interrupted stream, by the due time of its next event, and its prefill time on one engine
    /// if its prompt is long.
    Resumed(Instant, Option<Duration>),
    /// A short prompt, by the due time of its first token.
    Short(Instant),
    /// A long prompt, by its prefill time on one engine.
    Long(Duration),
}

impl Priority {
    /// Whether the prompt needs only a slot on one engine.
    pub fn is_short(self) -> bool {
        matches!(self, Self::Short(_) | Self::Resumed(_, None))
    }

    /// Whether it is that of an interrupted stream.
    pub fn is_resumed(self) -> bool {
        matches!(self, Self::Resumed(..))
    }
}

/// Prompts that are placed before another one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Sum of the long prompts' prefill times, each on one engine.
    pub prefill_time: Duration,
    /// Number of short prompts, each of which needs a slot.
    pub short_prompts: u32,
}

/// A waiting prompt.
#[derive(Clone, Debug)]
struct Entry<K, T> {
    key: K,
    priority: Priority,
    queued_at: Instant,
    refreshed_at: Instant,
    item: T,
}

/// Prompts that wait for engines.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    /// Ordered by priority; equal priorities in the order of arrival.
    entries: Vec<Entry<K, T>>,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<K: Clone + PartialEq, T: Clone> Queue<K, T> {
    /// Inserts a prompt, or refreshes the entry if it is queued already. Returns `false` if the
    /// queue is full.
    pub fn insert_or_refresh(&mut self, now: Instant, key: K, priority: Priority, item: T) -> bool {
        if let Some(entry) = self.entries.iter_mut().find(|entry| entry.key == key) {
            entry.refreshed_at = now;
            entry.item = item;
            return true;
        }
        if self.entries.len() >= MAX_LENGTH {
            return false;
        }
        let index = self.entries.partition_point(|entry| entry.priority <= priority);
        self.entries
            .insert(index, Entry { key, priority, queued_at: now, refreshed_at: now, item });
        true
    }

    /// Removes a prompt and returns the time that it waited.
    pub fn remove(&mut self, now: Instant, key: &K) -> Option<Duration> {
        let index = self.entries.iter().position(|entry| entry.key == *key)?;
        let entry = self.entries.remove(index);
        Some(now.saturating_duration_since(entry.queued_at))
    }

    /// Keeps the prompts whose keys match.
    pub fn retain(&mut self, mut is_match: impl FnMut(&K) -> bool) {
        self.entries.retain(|entry| is_match(&entry.key));
    }

    /// Drops entries that weren't refreshed in time.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|entry| now.saturating_duration_since(entry.refreshed_at) < ENTRY_TTL);
    }

    /// Returns the prompts that are placed before a prompt with this key and priority.
    pub fn ahead_of(&self, key: &K, priority: Priority) -> Ahead {
        let before = self.entries.iter().take_while(|entry| entry.priority < priority);
        let other_entries = before.filter(|entry| entry.key != *key);
        other_entries.fold(Ahead::default(), |ahead, entry| match entry.priority {
            Priority::Short(_) | Priority::Resumed(_, None) => {
                Ahead { short_prompts: ahead.short_prompts + 1, ..ahead }
            }
            Priority::Long(prefill_time) | Priority::Resumed(_, Some(prefill_time)) => {
                Ahead { prefill_time: ahead.prefill_time + prefill_time, ..ahead }
            }
        })
    }

    /// Whether a short prompt or an interrupted stream waits.
    pub fn has_short(&self) -> bool {
        let first = self.entries.first();
        first.is_some_and(|entry| !matches!(entry.priority, Priority::Long(_)))
    }

    /// Whether an interrupted stream waits.
    pub fn has_resumed(&self) -> bool {
        let first = self.entries.first();
        first.is_some_and(|entry| entry.priority.is_resumed())
    }

    /// Returns the prompts in the order of their priorities.
    pub fn in_order(&self) -> Vec<(K, T)> {
        self.entries.iter().map(|entry| (entry.key.clone(), entry.item.clone())).collect()
    }

    /// Whether the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the number of waiting prompts.
    pub fn len(&self) -> usize {
        self.entries.len()
    }
}
