//! Merging of items by revision, from the store and from peers.

use hickory_path::items::{Items, Update};
use hickory_store::store::{Entry, Era, Revision};
use hickory_unit::size;
use std::time::Instant;

/// The maximum size of one answer.
const MAX_BYTES: size::Bytes = size::Bytes(24 << 10);

fn update(key: &str, revision: u64, value: Option<&str>) -> Update {
    Update::full(key.into(), revision.into(), value.map(str::to_owned))
}

fn value(items: &Items, key: &str) -> Option<String> {
    items.get(key)?.value.as_deref().map(str::to_owned)
}

/// Guards against a removed route that serves again: a peer that was partitioned sends an
/// older update after the newer one.
#[test]
fn an_older_update_is_ignored() {
    let (mut items, now) = (Items::default(), Instant::now());
    assert!(items.apply(now, update("op/config", 5, Some("new"))));
    assert!(!items.apply(now, update("op/config", 4, Some("old"))));
    assert!(!items.apply(now, update("op/config", 5, Some("same"))));
    assert_eq!(value(&items, "op/config").as_deref(), Some("new"));
}

/// Guards against requests to a target that has left: a peer sends the target's entry after
/// this node has seen its removal.
#[test]
fn removals_are_ordered_by_revision() {
    let (mut items, now) = (Items::default(), Instant::now());
    items.apply(now, update("servers/1", 5, Some("x")));
    items.apply(now, update("servers/1", 7, None));
    assert!(!items.apply(now, update("servers/1", 5, Some("x"))));
    assert_eq!(value(&items, "servers/1"), None);
    assert!(items.apply(now, update("servers/1", 9, Some("back"))));
}

#[test]
fn a_snapshot_removes_missing_keys() {
    let (mut items, now) = (Items::default(), Instant::now());
    items.apply(now, update("servers/1", 5, Some("x")));
    items.apply(now, update("servers/2", 6, Some("y")));
    items.apply(now, update("op/config", 3, Some("c")));
    let entry = Entry { key: "servers/2".into(), value: "y".into(), revision: Revision(6) };
    assert!(items.apply_snapshot(now, "servers/", [&entry].into_iter(), Revision(8)));
    assert_eq!(value(&items, "servers/1"), None);
    assert_eq!(value(&items, "servers/2").as_deref(), Some("y"));
    assert_eq!(value(&items, "op/config").as_deref(), Some("c"));
    assert!(!items.apply_snapshot(now, "servers/", [&entry].into_iter(), Revision(8)));
}

/// Guards against the removal of a target that has just registered: its entry came from a
/// peer, and an older snapshot is applied afterwards.
#[test]
fn a_snapshot_keeps_newer_items() {
    let (mut items, now) = (Items::default(), Instant::now());
    items.apply(now, update("servers/1", 9, Some("new")));
    items.apply_snapshot(now, "servers/", std::iter::empty(), Revision(8));
    assert_eq!(value(&items, "servers/1").as_deref(), Some("new"));
}

#[test]
fn peers_get_the_updates_that_they_miss() {
    let (mut items, now) = (Items::default(), Instant::now());
    items.apply(now, update("servers/1", 5, Some("x")));
    items.apply(now, update("servers/2", 8, None));
    items.apply(now, update("op/config", 9, Some("c")));
    assert_eq!(items.newest_revision("servers/"), Revision(8));
    assert_eq!(
        items.updates_after("servers/", Revision(5), MAX_BYTES),
        [update("servers/2", 8, None)]
    );
    assert_eq!(items.updates_after("servers/", Revision(0), MAX_BYTES).len(), 2);
}

fn revision(era: u32, number: u64) -> Revision {
    Revision::in_era(Era::new(era).unwrap(), number)
}

fn entry(key: &str, value: &str, at: Revision) -> Entry {
    Entry { key: key.into(), value: value.into(), revision: at }
}

/// Guards against sending everything again after the store was restored from a copy, and against
/// leaving out what a node doesn't have.
#[test]
fn values_from_before_a_restore_are_not_sent_again() {
    let now = Instant::now();
    let before = [entry("a/1", "x", revision(1, 5)), entry("a/2", "y", revision(1, 8))];
    let after = [entry("a/1", "x", revision(2, 5)), entry("a/2", "new", revision(2, 8))];
    let (mut items, mut behind) = (Items::default(), Items::default());
    items.apply_snapshot(now, "a/", before.iter(), revision(1, 8));
    behind.apply_snapshot(now, "a/", before.iter(), revision(1, 8));
    items.apply_snapshot(now, "a/", after.iter(), revision(2, 9));

    let complete = behind.complete("a/");
    let changes = items.changes_after("a/", revision(1, 8), complete, MAX_BYTES);
    let unchanged: Vec<bool> = changes.iter().map(|update| update.is_unchanged).collect();
    assert_eq!(unchanged, [true, false]);
    for update in changes {
        assert!(behind.check_known("a/", &update));
        behind.apply(now, update);
    }
    assert_eq!(["a/1", "a/2"].map(|key| value(&behind, key).unwrap()), ["x", "new"]);
    assert_eq!(behind.newest_revision("a/"), revision(2, 8));

    // A node that started since has neither, whatever its newest revision is.
    let changes = items.changes_after("a/", revision(2, 4), Revision::default(), MAX_BYTES);
    assert!(changes.iter().all(|update| !update.is_unchanged));
    // A node that knows another state of the key asks for all values.
    let mut other = Items::default();
    other.apply(now, update("a/1", revision(1, 7).short(), Some("z")));
    other.note_complete("a/", revision(1, 8));
    let change = &items.changes_after("a/", revision(1, 8), complete, MAX_BYTES)[0];
    assert!(!other.check_known("a/", change));
    assert_eq!(other.complete("a/"), Revision::default());
}

/// Guards against a document that goes back to an older version, and against peers that keep it.
#[test]
fn the_newest_version_of_a_document_passes_for_the_state_of_the_copy() {
    let now = Instant::now();
    let mut items = Items::with_versions(|_, text| text.parse().ok());
    items.apply_snapshot(
        now,
        "a/",
        [&entry("a/1", "12", revision(1, 9))].into_iter(),
        revision(1, 9),
    );
    items.apply_snapshot(
        now,
        "a/",
        [&entry("a/1", "7", revision(2, 3))].into_iter(),
        revision(2, 6),
    );
    assert_eq!(value(&items, "a/1").as_deref(), Some("12"));
    let mut started = Items::with_versions(|_, text| text.parse().ok());
    started.apply_snapshot(
        now,
        "a/",
        [&entry("a/1", "7", revision(2, 3))].into_iter(),
        revision(2, 6),
    );
    for update in items.changes_after("a/", revision(2, 3), started.complete("a/"), MAX_BYTES) {
        started.apply(now, update);
    }
    assert_eq!(value(&started, "a/1").as_deref(), Some("12"));
    assert!(started.apply(now, update("a/1", revision(2, 7).short(), Some("13"))));
    assert_eq!(value(&started, "a/1").as_deref(), Some("13"));
}
