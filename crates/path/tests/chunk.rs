//! Large values in chunks: chunks shared by two versions, and interrupted transfers.

use bytes::Bytes;
use hickory_path::chunk::{Assembler, ChunkedValue, Id};
use hickory_path::items::{Items, Update};
use hickory_store::store::Revision;
use hickory_unit::size;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Instant;

/// The maximum size of one answer.
const MAX_BYTES: size::Bytes = size::Bytes(24 << 10);

/// Generates the rows of a document, all different.
fn write_rows(seed: u64, rows: usize) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    (0..rows)
        .map(|row| format!("{{\"row\":{row},\"of\":\"{:032x}\"}}", random.random::<u128>()))
        .collect()
}

fn split(rows: &[String]) -> ChunkedValue {
    ChunkedValue::split(Arc::from(rows.join(",")))
}

fn copy(value: &ChunkedValue, id: Id) -> Bytes {
    Bytes::copy_from_slice(value.chunk(id).unwrap())
}

#[test]
fn a_value_is_assembled_from_its_chunks() {
    for rows in [1, 10, 100, 1_000, 10_000] {
        let rows = write_rows(1, rows);
        let value = split(&rows);
        let mut assembler = Assembler::new(value.manifest().clone(), None);
        let missing = assembler.missing();
        for id in missing.iter().rev() {
            assert!(assembler.assemble().is_err());
            assert!(assembler.add(copy(&value, *id)));
            assert!(!assembler.add(copy(&value, *id)), "a chunk is only added once");
        }
        assert_eq!(assembler.assemble().unwrap(), rows.join(","));
    }
}

/// Guards against sending a large document again over every link for a change of one row.
/// An operator changes a row, adds some at the front and removes one: a node with the
/// previous version requests only a few chunks, regardless of how far the change moved the
/// rest.
#[test]
fn chunks_shared_by_two_versions_are_not_requested() {
    let before = write_rows(2, 5_000);
    let mut after = before.clone();
    after[2_000].push_str("changed");
    after.remove(3_000);
    after.splice(0..0, write_rows(3, 10));
    let (before, after) = (split(&before), split(&after));
    let all = Assembler::new(after.manifest().clone(), None).missing();
    let mut assembler = Assembler::new(after.manifest().clone(), Some(&before));
    let missing = assembler.missing();
    assert!(all.len() > 30, "{}", all.len());
    assert!((1..=8).contains(&missing.len()), "{} of {}", missing.len(), all.len());
    for id in missing {
        assembler.add(copy(&after, id));
    }
    assert!(assembler.assemble().is_ok());
}

/// Guards against a node that starts a document over whenever its source dies, and never
/// completes it. The first source disconnects in the middle and the next one has a newer
/// version; the chunks from the first count for the second.
#[test]
fn chunks_are_kept_when_the_source_and_the_version_change() {
    let rows = write_rows(4, 5_000);
    let first = split(&rows);
    let mut assembler = Assembler::new(first.manifest().clone(), None);
    let missing = assembler.missing();
    for id in &missing[..missing.len() / 2] {
        assembler.add(copy(&first, *id));
    }
    let mut rows = rows;
    rows[4_999].push_str("changed");
    let second = split(&rows);
    let assembler = assembler.switch_to(second.manifest().clone(), None);
    assert!(assembler.missing().len() <= missing.len().div_ceil(2) + 2);
}

#[test]
fn chunks_outside_the_manifest_are_rejected() {
    let (one, other) = (split(&write_rows(5, 500)), split(&write_rows(6, 500)));
    let mut assembler = Assembler::new(one.manifest().clone(), None);
    for id in Assembler::new(other.manifest().clone(), None).missing() {
        assert!(!assembler.add(copy(&other, id)));
    }
    assert!(!assembler.add(Bytes::from_static(b"nothing of it")));
}

/// Guards against lost updates when a node that was partitioned requests all of them, and
/// they exceed what its link can carry in one answer. The node receives them in batches in
/// order of revision, and must end with all of them wherever the batches are divided.
#[test]
fn updates_arrive_in_batches_without_gaps() {
    let now = Instant::now();
    let mut items = Items::default();
    for number in 1..=600_u64 {
        let key = format!("servers/{}", number * 7 % 601);
        items.apply(
            now,
            Update::full(key.into(), Revision::from(1 + number / 3), Some("x".repeat(200))),
        );
    }
    let mut receiver = Items::default();
    let mut batches = 0;
    loop {
        let updates =
            items.updates_after("servers/", receiver.newest_revision("servers/"), MAX_BYTES);
        if updates.is_empty() {
            break;
        }
        let bytes: usize =
            updates.iter().filter_map(|update| update.value.as_ref()).map(String::len).sum();
        assert!(bytes < 32 << 10, "{bytes} bytes in one batch");
        updates.into_iter().for_each(|update| assert!(receiver.apply(now, update)));
        batches += 1;
    }
    assert!(batches > 3, "{batches}");
    assert_eq!(receiver.with_prefix("servers/").count(), items.with_prefix("servers/").count());
}

#[test]
fn a_large_value_is_sent_as_a_manifest_and_a_small_one_inline() {
    let now = Instant::now();
    let mut items = Items::default();
    let large = write_rows(7, 5_000).join(",");
    items.apply(now, Update::full("op/config".into(), Revision(5), Some(large.clone())));
    items.apply(now, Update::full("op/small".into(), Revision(6), Some("x".into())));
    items.apply(now, Update::full("op/gone".into(), Revision(7), None));
    let updates = items.updates_after("op/", Revision(0), MAX_BYTES);
    let shown: Vec<_> = updates
        .iter()
        .map(|update| (update.key.as_str(), update.value.as_deref(), update.manifest.is_some()))
        .collect();
    assert_eq!(
        shown,
        [("op/config", None, true), ("op/small", Some("x"), false), ("op/gone", None, false)]
    );
    let manifest = updates[0].manifest.clone().unwrap();
    let value = items.get("op/config").unwrap().chunks.clone().unwrap();
    let mut assembler = Assembler::new(manifest, None);
    for id in assembler.missing() {
        assembler.add(copy(&value, id));
    }
    assert_eq!(assembler.assemble().unwrap(), large);
}
