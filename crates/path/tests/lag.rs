//! How long a node that knows of a newer revision counts as behind.

use hickory_path::items::{Items, Update};
use hickory_path::lag::LagTracker;
use hickory_store::store::Revision;
use hickory_unit::size;
use std::time::{Duration, Instant};

fn seconds(number: u64) -> Duration {
    Duration::from_secs(number)
}

#[test]
fn a_node_lags_from_the_first_announcement_until_it_has_the_revision() {
    let (begin, mut tracker) = (Instant::now(), LagTracker::default());
    tracker.note_announced(begin, Revision(5), Revision(5));
    assert_eq!(tracker.lag(begin, Revision(5)), None);
    tracker.note_announced(begin + seconds(1), Revision(7), Revision(5));
    tracker.note_announced(begin + seconds(2), Revision(6), Revision(5));
    assert_eq!(tracker.lag(begin + seconds(3), Revision(5)).unwrap().time, seconds(2));
    assert_eq!(
        tracker.note_known(begin + seconds(4), Revision(6)),
        None,
        "a newer revision was announced"
    );
    assert!(tracker.lag(begin + seconds(4), Revision(6)).is_some());
    assert_eq!(tracker.note_known(begin + seconds(5), Revision(7)), Some(seconds(4)));
    assert_eq!(tracker.lag(begin + seconds(5), Revision(7)), None);
    assert_eq!(
        tracker.note_known(begin + seconds(6), Revision(7)),
        None,
        "the wait is reported once"
    );
}

/// Guards against a node on which every request with an unknown path waits and gets a 503
/// until the node is restarted, because a single datagram announced a revision that doesn't
/// exist. An announcement must expire when it is no longer repeated, but not immediately,
/// since the node that made a true one may have died.
#[test]
fn an_announcement_that_is_not_repeated_expires() {
    let (begin, mut tracker) = (Instant::now(), LagTracker::default());
    tracker.note_announced(begin, Revision::MAX, Revision(5));
    assert!(tracker.lag(begin + seconds(5), Revision(5)).is_some());
    assert_eq!(tracker.lag(begin + seconds(15), Revision(5)), None);
    tracker.note_announced(begin + seconds(20), Revision(6), Revision(5));
    assert_eq!(tracker.lag(begin + seconds(21), Revision(5)).unwrap().time, seconds(1));
    assert_eq!(tracker.note_known(begin + seconds(22), Revision(6)), Some(seconds(2)));
}

/// Guards against a 503 for every unknown path ten minutes after a zone is put back into
/// service. The removal was the newest item, and each node dropped its tombstone at its own
/// time: a node without it saw a newer revision at a peer, requested it, and no peer had it
/// any more.
#[test]
fn the_newest_tombstone_never_expires() {
    let now = Instant::now();
    let mut items = Items::default();
    items.apply(now, Update::full("op/config".into(), Revision(90), Some("c".into())));
    items.apply(now, Update::full("op/evacuate/a".into(), Revision(95), None));
    items.apply(now, Update::full("op/evacuate/b".into(), Revision(100), None));
    items.apply(now, Update::full("servers/1".into(), Revision(99), None));
    items.expire_tombstones(now + seconds(601), "op/");
    assert_eq!(items.newest_revision("op/"), Revision(100));
    let updates = items.updates_after("op/", Revision(90), size::Bytes(1_000));
    assert_eq!(updates, [Update::full("op/evacuate/b".into(), Revision(100), None)]);
    assert!(items.get("op/evacuate/a").is_none(), "older removals are forgotten");
    assert!(items.get("servers/1").is_some(), "each prefix has its own newest item");
}
