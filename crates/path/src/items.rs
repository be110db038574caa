//! The store's items as this node knows them, merged by revision.
//!
//! Items come from the node's own watches and from its peers, in any order and
//! more than once. The store counts revisions over all keys, so the greater
//! revision of a key is the later word, and a removal is a word like any
//! other. A node that the store turns away stays up to date by its peers.

use compact_str::CompactString;
use hickory_store::store::{Entry, Revision};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::btree_map;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a removal is remembered, so that a peer that was cut off can't
/// bring the item back. Longer than any store outage that peers come out of
/// with items of before; some hundred bytes each.
const REMOVAL_KEPT: Duration = Duration::from_secs(600);

/// What the store last said of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The revision of that word.
    pub revision: Revision,
    /// The value; `None` where the key was removed.
    pub value: Option<Arc<str>>,
    /// When this node learned of it.
    pub seen: Instant,
}

/// An item on its way between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Word {
    /// The key.
    pub key: CompactString,
    /// The revision.
    pub revision: Revision,
    /// The value; `None` where the key was removed.
    pub value: Option<String>,
}

/// Items by key.
#[derive(Clone, Debug, Default)]
pub struct Items {
    items: BTreeMap<CompactString, Item>,
}

impl Items {
    /// Takes a word; whether it was news.
    pub fn take(&mut self, now: Instant, word: Word) -> bool {
        let item = Item { revision: word.revision, value: word.value.map(Arc::from), seen: now };
        match self.items.entry(word.key) {
            btree_map::Entry::Vacant(vacant) => {
                vacant.insert(item);
                true
            }
            btree_map::Entry::Occupied(mut known) => {
                let newer = item.revision > known.get().revision;
                if newer {
                    known.insert(item);
                }
                newer
            }
        }
    }

    /// Takes all keys with a prefix as the store has them at a revision; keys
    /// that it does not have are removed. Whether anything was news.
    pub fn take_all<'a>(
        &mut self,
        now: Instant,
        prefix: &str,
        entries: impl Iterator<Item = &'a Entry> + Clone,
        at: Revision,
    ) -> bool {
        let present: std::collections::HashSet<&str> =
            entries.clone().map(|entry| entry.key.as_str()).collect();
        let gone: Vec<CompactString> = self
            .with_prefix(prefix)
            .filter(|(key, item)| {
                item.value.is_some() && item.revision < at && !present.contains(key.as_str())
            })
            .map(|(key, _)| key.clone())
            .collect();
        let mut news = false;
        for key in gone {
            news |= self.take(now, Word { key, revision: at, value: None });
        }
        for entry in entries {
            let (key, value) = (CompactString::from(&entry.key), Some(entry.value.clone()));
            news |= self.take(now, Word { key, revision: entry.revision, value });
        }
        let is_kept = |item: &Item| {
            item.value.is_some() || now.saturating_duration_since(item.seen) < REMOVAL_KEPT
        };
        self.items.retain(|_, item| is_kept(item));
        news
    }

    /// The items with a prefix, removals included.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&CompactString, &Item)> {
        self.items
            .range(CompactString::from(prefix)..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// An item.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// The greatest revision that is known under a prefix.
    pub fn newest(&self, prefix: &str) -> Revision {
        self.with_prefix(prefix).map(|(_, item)| item.revision).max().unwrap_or_default()
    }

    /// All words under a prefix after a revision.
    pub fn words_after(&self, prefix: &str, after: Revision) -> Vec<Word> {
        self.with_prefix(prefix)
            .filter(|(_, item)| item.revision > after)
            .map(|(key, item)| Word {
                key: key.clone(),
                revision: item.revision,
                value: item.value.as_deref().map(str::to_owned),
            })
            .collect()
    }
}
