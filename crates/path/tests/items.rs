//! Merging of items by revision, from the store and from peers.

use hickory_path::items::{Items, Update};
use hickory_store::store::{Entry, Revision};
use hickory_unit::size;
use std::time::Instant;

/// The maximum size of one answer.
const MAX_BYTES: size::Bytes = size::Bytes(24 << 10);

fn update(key: &str, revision: u64, value: Option<&str>) -> Update {
    Update::full(key.into(), Revision(revision), value.map(str::to_owned))
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
