//! This node's copy of the store's items, merged by revision.
//!
//! Updates come from the node's own watches and from its peers, in any order and
//! repeatedly. The store numbers revisions across all keys, so for each key the update with
//! the greater revision wins. A removal is an update like a write and leaves a tombstone. A
//! node that the store rejects stays up to date through its peers.
//!
//! After the store was restored from a copy, the copy's revisions are greater by their era, though
//! its values may be older. A document that states its own version keeps the newest one.

use crate::chunk::{ChunkedValue, Manifest};
use compact_str::CompactString;
use hickory_store::store::{Entry, Revision};
use hickory_unit::size;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::collections::btree_map;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long a tombstone is kept, so that a peer that was partitioned can't restore the
/// item. It exceeds the longest store outage after which peers may return with old items. A
/// tombstone takes a few hundred bytes.
const TOMBSTONE_TTL: Duration = Duration::from_secs(600);

/// Values up to this size are sent inline, larger ones in chunks: an answer must be short
/// enough to complete in time on a link with other traffic.
const MAX_INLINE_VALUE_BYTES: usize = 8 << 10;

/// The last known state of a key in the store.
#[derive(Clone, Debug)]
pub struct Item {
    /// The revision of this state.
    pub revision: Revision,
    /// The value; `None` if the key was removed.
    pub value: Option<Arc<str>>,
    /// When this node received the update.
    pub learned_at: Instant,
    /// The chunks, if the value is large.
    pub chunks: Option<Arc<ChunkedValue>>,
    /// The version that the value states of itself.
    pub version: Option<u64>,
    /// The revision at which this state was written first. Each restore of the store gives it another
    /// one, of the new era.
    pub written_at: Revision,
}

impl Item {
    fn from_update(update: Update, version: Option<u64>, learned_at: Instant) -> Self {
        let value: Option<Arc<str>> = update.value.map(Arc::from);
        let large = value.as_ref().filter(|value| value.len() > MAX_INLINE_VALUE_BYTES);
        let chunks = large.map(|value| Arc::new(ChunkedValue::split(value.clone())));
        let revision = update.revision;
        Self { revision, value, learned_at, chunks, version, written_at: revision }
    }
}

impl Item {
    /// Returns whether an update of a later era repeats the write of this state.
    fn is_same_write(&self, update: &Update) -> bool {
        let has_same_number = self.revision.number() == update.revision.number();
        update.is_unchanged || has_same_number && self.value.as_deref() == update.value.as_deref()
    }
}

/// The state of one key, as nodes send it to each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The key.
    pub key: CompactString,
    /// The revision.
    pub revision: Revision,
    /// The value; `None` if the key was removed, or if the update has a manifest.
    pub value: Option<String>,
    /// The manifest of a large value, whose chunks are fetched separately.
    #[serde(rename = "outline", default, skip_serializing_if = "Option::is_none")]
    pub manifest: Option<Manifest>,
    /// Whether the receiver has the value already, with the same number of an earlier era.
    #[serde(rename = "same", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_unchanged: bool,
}

impl Update {
    /// Creates an update that carries its value, or a removal, inline.
    pub fn full(key: CompactString, revision: Revision, value: Option<String>) -> Self {
        Self { key, revision, value, manifest: None, is_unchanged: false }
    }

    fn from_item(key: &CompactString, item: &Item) -> Self {
        let (value, manifest) = match &item.chunks {
            Some(chunks) => (None, Some(chunks.manifest().clone())),
            None => (item.value.as_deref().map(str::to_owned), None),
        };
        Self { manifest, ..Self::full(key.clone(), item.revision, value) }
    }

    /// Creates an update for a node that has the value with the same number of an earlier era.
    fn unchanged(key: &CompactString, item: &Item) -> Self {
        Self { is_unchanged: true, ..Self::full(key.clone(), item.revision, None) }
    }
}

/// Reads the version that the value of a key states of itself.
type ReadVersion = fn(&str, &str) -> Option<u64>;

/// Items by key.
#[derive(Clone, Debug)]
pub struct Items {
    items: BTreeMap<CompactString, Item>,
    read_version: ReadVersion,
    /// By prefix, the newest revision at which all items were known. While items of a new era arrive,
    /// the newest revision doesn't tell which older ones this node has.
    complete: BTreeMap<CompactString, Revision>,
}

impl Default for Items {
    fn default() -> Self {
        Self::with_versions(|_, _| None)
    }
}

impl Items {
    /// Creates an empty set of items, of which some state their own version.
    pub fn with_versions(read_version: ReadVersion) -> Self {
        Self { items: BTreeMap::new(), read_version, complete: BTreeMap::new() }
    }

    /// Applies an update. Returns whether it was newer than the known state.
    pub fn apply(&mut self, now: Instant, update: Update) -> bool {
        let revision = update.revision;
        self.apply_read_at(now, update, revision)
    }

    /// Applies an update that the store returned at a revision. A document of an older version than
    /// the known one is not taken: the known one passes for the state at that revision, so that
    /// peers that have only the older one fetch it.
    fn apply_read_at(&mut self, now: Instant, update: Update, read_at: Revision) -> bool {
        let version =
            update.value.as_deref().and_then(|text| (self.read_version)(&update.key, text));
        match self.items.entry(update.key.clone()) {
            btree_map::Entry::Vacant(_) if update.is_unchanged => false,
            btree_map::Entry::Vacant(vacant) => {
                vacant.insert(Item::from_update(update, version, now));
                true
            }
            btree_map::Entry::Occupied(mut known) => {
                let is_newer = update.revision > known.get().revision;
                if is_newer && version.is_some() && version < known.get().version {
                    log::warn!(
                        key = update.key.as_str(),
                        revision:% = update.revision,
                        version,
                        known_version = known.get().version;
                        "an older document is not taken"
                    );
                    let known = known.get_mut();
                    known.revision = read_at.max(update.revision);
                    // The store has written it at none of the revisions of this era.
                    known.written_at = Revision::MAX;
                } else if is_newer && known.get().is_same_write(&update) {
                    known.get_mut().revision = update.revision;
                } else if is_newer {
                    known.insert(Item::from_update(update, version, now));
                }
                is_newer
            }
        }
    }

    /// Applies a snapshot of all keys with a prefix, taken at `revision`; keys that are
    /// missing in it are removed. Returns whether anything changed.
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
            let update = Update::full(key, entry.revision, value);
            changed |= self.apply_read_at(now, update, revision);
        }
        self.note_complete(prefix, revision);
        changed
    }

    /// Returns the newest revision at which this node had all items with a prefix.
    pub fn complete(&self, prefix: &str) -> Revision {
        self.complete.get(prefix).copied().unwrap_or_default()
    }

    /// Records that this node has all items with a prefix up to a revision.
    pub fn note_complete(&mut self, prefix: &str, revision: Revision) {
        self.complete.insert(prefix.into(), revision.max(self.complete(prefix)));
    }

    /// Checks that the value is known if an update says so. If not, peers are to send all values.
    pub fn check_known(&mut self, prefix: &str, update: &Update) -> bool {
        let is_same = |known: &Item| {
            known.revision >= update.revision || known.revision.number() == update.revision.number()
        };
        let is_known = !update.is_unchanged || self.items.get(&update.key).is_some_and(is_same);
        if !is_known {
            log::warn!(key = update.key.as_str(), revision:% = update.revision;
                "a peer takes this key for known");
            self.complete.remove(prefix);
        }
        is_known
    }

    /// Drops old tombstones under a prefix, except the newest item there. Nodes compare
    /// their progress by the newest revision; a node whose revision went back would try to
    /// fetch an update that no peer has.
    pub fn expire_tombstones(&mut self, now: Instant, prefix: &str) {
        let newest = self.newest_revision(prefix);
        let is_retained = |item: &Item| {
            item.value.is_some()
                || item.revision == newest
                || now.saturating_duration_since(item.learned_at) < TOMBSTONE_TTL
        };
        self.items.retain(|key, item| !key.starts_with(prefix) || is_retained(item));
    }

    /// Returns the items with a prefix, including tombstones.
    pub fn with_prefix(&self, prefix: &str) -> impl Iterator<Item = (&CompactString, &Item)> {
        self.items
            .range(CompactString::from(prefix)..)
            .take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns the item with a key.
    pub fn get(&self, key: &str) -> Option<&Item> {
        self.items.get(key)
    }

    /// Returns the newest known revision under a prefix.
    pub fn newest_revision(&self, prefix: &str) -> Revision {
        self.with_prefix(prefix).map(|(_, item)| item.revision).max().unwrap_or_default()
    }

    /// Returns the updates under a prefix after a revision, in order of revision, until
    /// their size exceeds `max_bytes`. A receiver that applies them in this order has all
    /// updates up to the last one applied, and requests the next ones from there.
    pub fn updates_after(
        &self,
        prefix: &str,
        after: Revision,
        max_bytes: size::Bytes,
    ) -> Vec<Update> {
        self.collect_updates(prefix, after, max_bytes, Update::from_item)
    }

    /// Returns the same updates without the values of a receiver that had all up to `complete`, from
    /// before the store was restored from a copy.
    pub fn changes_after(
        &self,
        prefix: &str,
        after: Revision,
        complete: Revision,
        max_bytes: size::Bytes,
    ) -> Vec<Update> {
        self.collect_updates(prefix, after, max_bytes, |key, item| {
            match item.value.is_some() && item.written_at <= complete {
                true => Update::unchanged(key, item),
                false => Update::from_item(key, item),
            }
        })
    }

    fn collect_updates(
        &self,
        prefix: &str,
        after: Revision,
        max_bytes: size::Bytes,
        write: impl Fn(&CompactString, &Item) -> Update,
    ) -> Vec<Update> {
        let newer = self.with_prefix(prefix).filter(|(_, item)| item.revision > after);
        let mut newer: Vec<_> = newer.collect();
        newer.sort_by_key(|(_, item)| item.revision);
        let (mut updates, mut bytes) = (Vec::new(), 0);
        for (key, item) in newer {
            // Updates with the same revision stay together, because a receiver only
            // requests revisions after its newest one.
            let is_new_revision =
                updates.last().is_none_or(|last: &Update| last.revision < item.revision);
            if is_new_revision && bytes > max_bytes.0 as usize {
                break;
            }
            let update = write(key, item);
            bytes += key.len() + update.value.as_deref().map_or(0, str::len);
            updates.push(update);
        }
        updates
    }
}
