//! Large values in pieces: what two versions have in common, what broke off.

use bytes::Bytes;
use hickory_path::chunk::{Assembler, ChunkedValue, Id};
use hickory_path::items::{Items, Update};
use hickory_store::store::Revision;
use hickory_unit::size;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;
use std::time::Instant;

/// Bytes of one answer.
const MOST: size::Bytes = size::Bytes(24 << 10);

/// Rows of a document, each unlike the others.
fn write_rows(seed: u64, rows: usize) -> Vec<String> {
    let mut random = StdRng::seed_from_u64(seed);
    (0..rows)
        .map(|row| format!("{{\"row\":{row},\"of\":\"{:032x}\"}}", random.random::<u128>()))
        .collect()
}

fn cut(rows: &[String]) -> ChunkedValue {
    ChunkedValue::of(Arc::from(rows.join(",")))
}

fn copy(cut: &ChunkedValue, id: Id) -> Bytes {
    Bytes::copy_from_slice(cut.chunk(id).unwrap())
}

#[test]
fn a_value_is_what_its_pieces_make() {
    for rows in [1, 10, 100, 1_000, 10_000] {
        let rows = write_rows(1, rows);
        let cut = cut(&rows);
        let mut gathering = Assembler::new(cut.manifest().clone(), None);
        let missing = gathering.missing();
        for id in missing.iter().rev() {
            assert!(gathering.assemble().is_err());
            assert!(gathering.add(copy(&cut, *id)));
            assert!(!gathering.add(copy(&cut, *id)), "once is enough");
        }
        assert_eq!(gathering.assemble().unwrap(), rows.join(","));
    }
}

/// A change of one row of a large document makes every link of the fleet carry
/// the document again. An operator changes a row, adds some at the front and
/// drops one: a node that has the version before asks for a few pieces only,
/// wherever the change moved the rest.
#[test]
fn what_two_versions_have_in_common_is_not_asked_for() {
    let before = write_rows(2, 5_000);
    let mut after = before.clone();
    after[2_000].push_str("changed");
    after.remove(3_000);
    after.splice(0..0, write_rows(3, 10));
    let (before, after) = (cut(&before), cut(&after));
    let all = Assembler::new(after.manifest().clone(), None).missing();
    let mut gathering = Assembler::new(after.manifest().clone(), Some(&before));
    let missing = gathering.missing();
    assert!(all.len() > 30, "{}", all.len());
    assert!((1..=8).contains(&missing.len()), "{} of {}", missing.len(), all.len());
    for id in missing {
        gathering.add(copy(&after, id));
    }
    assert!(gathering.assemble().is_ok());
}

/// A node begins a document anew each time that its giver dies, and never has
/// it. The first giver broke off in the middle; the next one has a newer
/// version. What came of the first counts for the second.
#[test]
fn pieces_are_kept_over_a_change_of_giver_and_version() {
    let rows = write_rows(4, 5_000);
    let first = cut(&rows);
    let mut gathering = Assembler::new(first.manifest().clone(), None);
    let missing = gathering.missing();
    for id in &missing[..missing.len() / 2] {
        gathering.add(copy(&first, *id));
    }
    let mut rows = rows;
    rows[4_999].push_str("changed");
    let second = cut(&rows);
    let gathering = gathering.switch_to(second.manifest().clone(), None);
    assert!(gathering.missing().len() <= missing.len().div_ceil(2) + 2);
}

#[test]
fn other_bytes_are_no_piece() {
    let (one, other) = (cut(&write_rows(5, 500)), cut(&write_rows(6, 500)));
    let mut gathering = Assembler::new(one.manifest().clone(), None);
    for id in Assembler::new(other.manifest().clone(), None).missing() {
        assert!(!gathering.add(copy(&other, id)));
    }
    assert!(!gathering.add(Bytes::from_static(b"nothing of it")));
}

/// A node that was away asks for all words, and the answer is larger than its
/// link carries in time. It takes the oldest first, a part at a time, and must
/// end with all of them, whatever lies between the parts.
#[test]
fn words_come_in_parts_and_none_is_left_out() {
    let now = Instant::now();
    let mut items = Items::default();
    for number in 1..=600_u64 {
        let key = format!("servers/{}", number * 7 % 601);
        items.apply(now, Update::full(key.into(), Revision(1 + number / 3), Some("x".repeat(200))));
    }
    let mut taker = Items::default();
    let mut parts = 0;
    loop {
        let words = items.updates_after("servers/", taker.newest_revision("servers/"), MOST);
        if words.is_empty() {
            break;
        }
        let bytes: usize =
            words.iter().filter_map(|word| word.value.as_ref()).map(String::len).sum();
        assert!(bytes < 32 << 10, "{bytes} bytes in one part");
        words.into_iter().for_each(|word| assert!(taker.apply(now, word)));
        parts += 1;
    }
    assert!(parts > 3, "{parts}");
    assert_eq!(taker.with_prefix("servers/").count(), items.with_prefix("servers/").count());
}

#[test]
fn a_large_value_goes_as_an_outline_and_a_small_one_whole() {
    let now = Instant::now();
    let mut items = Items::default();
    let large = write_rows(7, 5_000).join(",");
    items.apply(now, Update::full("op/config".into(), Revision(5), Some(large.clone())));
    items.apply(now, Update::full("op/small".into(), Revision(6), Some("x".into())));
    items.apply(now, Update::full("op/gone".into(), Revision(7), None));
    let words = items.updates_after("op/", Revision(0), MOST);
    let shown: Vec<_> =
        words.iter().map(|w| (w.key.as_str(), w.value.as_deref(), w.manifest.is_some())).collect();
    assert_eq!(
        shown,
        [("op/config", None, true), ("op/small", Some("x"), false), ("op/gone", None, false)]
    );
    let outline = words[0].manifest.clone().unwrap();
    let cut = items.get("op/config").unwrap().chunks.clone().unwrap();
    let mut gathering = Assembler::new(outline, None);
    for id in gathering.missing() {
        gathering.add(copy(&cut, id));
    }
    assert_eq!(gathering.assemble().unwrap(), large);
}
