//! The store's items as this node knows them, merged by revision.
//!
//! Items come from the node's own watches and from its peers, in any order and
//! more than once. The store counts revisions over all keys, so the greater
//! revision of a key is the later word, and a removal is a word like any
//! other. A node that the store turns away stays up to date by its peers.

use crate::chunk::{ChunkedValue, Manifest};
use compact_str::CompactString;
use hickory_store::store::{Entry, Revision};
use hickory_unit::size;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::btree_map;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a removal is remembered, so that a peer that was cut off can't
/// bring the item back. Longer than any store outage that peers come out of
/// with items of before; some hundred bytes each.
const TOMBSTONE_TTL: Duration = Duration::from_secs(600);

/// Values up to this size go whole from node to node, greater ones in pieces:
/// an answer must be short enough to end in time over a link that others use
/// as well.
const MAX_INLINE_VALUE_BYTES: usize = 8 << 10;

/// What the store last said of a key.
#[derive(Clone, Debug)]
pub struct Item {
    /// The revision of that word.
    pub revision: Revision,
    /// The value; `None` where the key was removed.
    pub value: Option<Arc<str>>,
    /// When this node learned of it.
    pub learned_at: Instant,
    /// The pieces of a large value.
    pub chunks: Option<Arc<ChunkedValue>>,
}

impl Item {
    fn of(update: Update, learned_at: Instant) -> Self {
        let value: Option<Arc<str>> = update.value.map(Arc::from);
        let large = value.as_ref().filter(|value| value.len() > MAX_INLINE_VALUE_BYTES);
        let chunks = large.map(|value| Arc::new(ChunkedValue::of(value.clone())));
        Self { revision: update.revision, value, learned_at, chunks }
    }
}

/// An item on its way between nodes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The key.
    pub key: CompactString,
    /// The revision.
    pub revision: Revision,
    /// The value; `None` where the key was removed, or where there is an outline.
    pub value: Option<String>,
    /// What a large value consists of: its pieces are fetched by themselves.
    #[serde(rename = "outline", default, skip_serializing_if = "Option::is_none")]
    pub manifest: Option<Manifest>,
}

impl Update {
    /// A word that has all that it says.
    pub fn full(key: CompactString, revision: Revision, value: Option<String>) -> Self {
        Self { key, revision, value, manifest: None }
    }

    fn of(key: &CompactString, item: &Item) -> Self {
        let (value, manifest) = match &item.chunks {
            Some(chunks) => (None, Some(chunks.manifest().clone())),
            None => (item.value.as_deref().map(str::to_owned), None),
        };
        Self { key: key.clone(), revision: item.revision, value, manifest }
    }
}

/// Items by key.
#[derive(Clone, Debug, Default)]
pub struct Items {
    items: BTreeMap<CompactString, Item>,
}

impl Items {
    /// Takes a word; whether it was news.
    pub fn apply(&mut self, now: Instant, update: Update) -> bool {
        match self.items.entry(update.key.clone()) {
            btree_map::Entry::Vacant(vacant) => {
                vacant.insert(Item::of(update, now));
                true
            }
            btree_map::Entry::Occupied(mut known) => {
                let is_newer = update.revision > known.get().revision;
                if is_newer {
                    known.insert(Item::of(update, now));
                }
                is_newer
            }
        }
    }

    /// Takes all keys with a prefix as the store has them at a revision; keys
    /// that it does not have are removed. Whether anything was news.
    pub fn apply_snapshot<'a>(
        &mut self,
        now: Instant,
        prefix: &str,
        entries: impl Iterator<Item = &'a Entry> + Clone,
        revision: Revision,
    ) -> bool {
        let present: std::collections::HashSet<&str> =
            entries.clone().map(|entry| entry.key.as_str()).collect();
        let removed: Vec<CompactString> = self
            .with_prefix(prefix)
            .filter(|(key, item)| {
                item.value.is_some() && item.revision < revision && !present.contains(key.as_str())
            })
            .map(|(key, _)| key.clone())
            .collect();
        let mut changed = false;
        for key in removed {
            changed |= self.apply(now, Update::full(key, revision, None));
        }
        for entry in entries {
            let (key, value) = (CompactString::from(&entry.key), Some(entry.value.clone()));
            changed |= self.apply(now, Update::full(key, entry.revision, value));
        }
        changed
    }

    /// Forgets old removals under a prefix, but for the newest word there: by its
    /// revision nodes tell how far they are, and one that goes back would look to
    /// itself as if it missed something that nobody has.
    pub fn expire_tombstones(&mut self, now: Instant, prefix: &str) {
        let newest = self.newest_revision(prefix);
        let is_retained = |item: &Item| {
            item.value.is_some()
                || item.revision == newest
                || now.saturating_duration_since(item.learned_at) < TOMBSTONE_TTL
        };
        self.items.retain(|key, item| !key.starts_with(prefix) || is_retained(item));
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
    pub fn newest_revision(&self, prefix: &str) -> Revision {
        self.with_prefix(prefix).map(|(_, item)| item.revision).max().unwrap_or_default()
    }

    /// Words under a prefix after a revision, the oldest first, and no further
    /// ones once their values have this many bytes. Whoever takes them in this
    /// order has all words up to the last one that it took, and asks for the
    /// next ones from there.
    pub fn updates_after(
        &self,
        prefix: &str,
        after: Revision,
        max_bytes: size::Bytes,
    ) -> Vec<Update> {
        let newer = self.with_prefix(prefix).filter(|(_, item)| item.revision > after);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, item)| item.revision);
        let (mut updates, mut bytes) = (Vec::new(), 0);
        for (key, item) in newer {
            // Words of one revision stay together: what lies behind the last
            // revision that is known is never asked for again.
            let is_new_revision =
                updates.last().is_none_or(|last: &Update| last.revision < item.revision);
            if is_new_revision && bytes > max_bytes.0 as usize {
                break;
            }
            let update = Update::of(key, item);
            bytes += key.len() + update.value.as_deref().map_or(0, str::len);
            updates.push(update);
        }
        updates
    }
}
