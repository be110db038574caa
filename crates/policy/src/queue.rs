//! Prompts that wait for engines, and the order in which they choose.
//!
//! Load pattern: prompts come faster than engines have room for them. Short prompts
//! need a slot each and choose first, the earliest due before the others. Of the long
//! ones the smallest chooses first, since it needs the fewest engines for the least
//! time; a larger one takes what is left. One that is no longer asked for is dropped.

use std::time::{Duration, Instant};

/// How long a prompt waits without being asked for again: its caller is gone, or
/// its node died.
const ENTRY_TTL: Duration = Duration::from_secs(1);

/// Prompts that wait at most; the rest is refused.
const MAX_LENGTH: usize = 1_024;

/// A prompt's turn among those that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// A short prompt, by the time at which its first token is due.
    Short(Instant),
    /// A long prompt, by the time that one engine takes to read it.
    Long(Duration),
}

/// What waits before a prompt.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ahead {
    /// Long prompts, by the time that one engine takes to read them.
    pub prefill_time: Duration,
    /// Short prompts, each of which needs a slot.
    pub short_prompts: u32,
}

/// A prompt that waits.
#[derive(Clone, Debug)]
struct Entry<K, T> {
    key: K,
    priority: Priority,
    queued_at: Instant,
    refreshed_at: Instant,
    item: T,
}

/// Prompts that wait.
#[derive(Clone, Debug)]
pub struct Queue<K, T> {
    /// By their turns; of the same turn the one that came first.
    entries: Vec<Entry<K, T>>,
}

impl<K, T> Default for Queue<K, T> {
    fn default() -> Self {
        Self { entries: Vec::new() }
    }
}

impl<K: Clone + PartialEq, T: Clone> Queue<K, T> {
    /// Puts a prompt into the queue, or takes anew what is asked for again. Whether
    /// there was room.
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

    /// Takes a prompt out; how long it waited.
    pub fn remove(&mut self, now: Instant, key: &K) -> Option<Duration> {
        let index = self.entries.iter().position(|entry| entry.key == *key)?;
        let entry = self.entries.remove(index);
        Some(now.saturating_duration_since(entry.queued_at))
    }

    /// Drops what is no longer asked for.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|entry| now.saturating_duration_since(entry.refreshed_at) < ENTRY_TTL);
    }

    /// What chooses before a prompt with this turn.
    pub fn ahead_of(&self, key: &K, priority: Priority) -> Ahead {
        let before = self.entries.iter().take_while(|entry| entry.priority < priority);
        let other_entries = before.filter(|entry| entry.key != *key);
        other_entries.fold(Ahead::default(), |ahead, entry| match entry.priority {
            Priority::Short(_) => Ahead { short_prompts: ahead.short_prompts + 1, ..ahead },
            Priority::Long(prefill_time) => {
                Ahead { prefill_time: ahead.prefill_time + prefill_time, ..ahead }
            }
        })
    }

    /// Whether a short prompt waits.
    pub fn has_short(&self) -> bool {
        self.entries.first().is_some_and(|entry| matches!(entry.priority, Priority::Short(_)))
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
