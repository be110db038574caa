//! Tests of the key-value service's state machine with simulated time.

use hickory_standin::rate::RateLimit;
use hickory_standin::store::Core;
use hickory_store::store::{Error, Event, Expect, Lease, Revision, Write};
use std::time::{Duration, Instant};

const TTL: Duration = Duration::from_secs(5);

fn write(key: &str, expect: Expect, lease: Option<Lease>) -> Write {
    Write { key: key.into(), value: Some("v".into()), expect, lease }
}

#[test]
fn lease_expires_at_its_ttl_and_not_before() {
    let (mut core, start) = (Core::default(), Instant::now());
    let lease = core.grant(start, TTL);
    core.write(start, write("k", Expect::Absent, Some(lease))).unwrap();
    let almost = start + TTL - Duration::from_millis(1);
    assert!(core.get(almost, "k").is_some());
    core.renew(almost, lease).unwrap();
    assert!(core.get(start + TTL, "k").is_some());
    assert!(core.get(almost + TTL, "k").is_none());
    assert_eq!(core.renew(almost + TTL, lease), Err(Error::LeaseLapsed));
    let late = core.write(almost + TTL, write("k", Expect::Absent, Some(lease)));
    assert_eq!(late, Err(Error::LeaseLapsed));
}

/// A key that is written again without the lease is not removed with the lease.
#[test]
fn last_write_decides_the_lease_of_a_key() {
    let (mut core, start) = (Core::default(), Instant::now());
    let lease = core.grant(start, TTL);
    core.write(start, write("k", Expect::Absent, Some(lease))).unwrap();
    core.write(start, write("k", Expect::Any, None)).unwrap();
    core.revoke(start, lease).unwrap();
    assert!(core.get(start, "k").is_some());
}

#[test]
fn each_write_has_a_greater_revision_and_only_one_of_two_wins() {
    let (mut core, now) = (Core::default(), Instant::now());
    let first = core.write(now, write("k", Expect::Absent, None)).unwrap();
    let other = core.write(now, write("l", Expect::Absent, None)).unwrap();
    let second = core.write(now, write("k", Expect::At(first), None)).unwrap();
    assert!(first < other && other < second);
    let late = core.write(now, write("k", Expect::At(first), None));
    assert!(matches!(late, Err(Error::Conflict(Some(entry))) if entry.revision == second));
}

/// A key that was removed and created again has a new revision, so a conditional write at the old
/// revision fails.
#[test]
fn removed_key_does_not_come_back_at_its_old_revision() {
    let (mut core, now) = (Core::default(), Instant::now());
    let first = core.write(now, write("k", Expect::Absent, None)).unwrap();
    let remove = Write { value: None, ..write("k", Expect::At(first), None) };
    core.write(now, remove).unwrap();
    core.write(now, write("k", Expect::Absent, None)).unwrap();
    let late = core.write(now, write("k", Expect::At(first), None));
    assert!(matches!(late, Err(Error::Conflict(Some(_)))));
}

#[test]
fn bounded_history_reports_compaction() {
    let (mut core, now) = (Core::default(), Instant::now());
    for n in 0..10_005 {
        core.write(now, write(&format!("k/{}", n % 10), Expect::Any, None)).unwrap();
    }
    let old = core.changes(now, "k/", Revision(4)).unwrap();
    assert!(old.compacted && old.events.is_empty());
    let kept = core.changes(now, "k/3", Revision(5)).unwrap();
    let revisions: Vec<Revision> = kept.events.iter().map(|event: &Event| event.revision).collect();
    assert_eq!(revisions.len(), 1_000);
    assert!(revisions.is_sorted());
}

#[test]
fn calls_beyond_the_rate_wait_in_order() {
    let now = Instant::now();
    let mut rate = RateLimit::open(now, 100);
    let waits: Vec<u64> = (0..3).map(|_| rate.reserve(now).as_millis() as u64).collect();
    assert_eq!(waits, [0, 10, 20]);
    assert_eq!(rate.reserve(now + Duration::from_secs(1)), Duration::ZERO);
}
