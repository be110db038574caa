//! Tests of document distribution: which transfers a source accepts, whom it refers requesters to,
//! and which source a requester chooses.

use hickory_policy::spread::{Busy, Choice, Recipients, Sources, UploadMeter};
use hickory_unit::rate::BytesPerSecond;
use hickory_unit::size::Bytes;
use std::time::{Duration, Instant};

/// 2.5 MB per second.
const LINK: BytesPerSecond = BytesPerSecond(2.5e6);

/// A document that the link sends in 100 ms.
const DOCUMENT: Bytes = Bytes(250_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// An idle source must accept a document of any size; otherwise a document that takes longer than
/// the maximum backlog could never be fetched.
#[test]
fn an_idle_source_accepts_any_size() {
    for size in [0, 1, 250_000, 50_000_000, u64::MAX] {
        let admitted = UploadMeter::default().admit(Instant::now(), Bytes(size), LINK);
        assert!(admitted.is_ok(), "{size} bytes: {admitted:?}");
    }
}

/// Requesters time out and retry if a source sends to all of them at once. It must accept the
/// first, reject the others until its link has nearly finished that transfer, and then accept
/// another one.
#[test]
fn a_busy_source_rejects_transfers_that_its_link_cannot_start_soon() {
    let (begin, mut meter) = (Instant::now(), UploadMeter::default());
    let admitted = meter.admit(begin, DOCUMENT, LINK).unwrap();
    for after in [0, 1, 20] {
        meter.record_remaining(begin + ms(after), admitted, Bytes(DOCUMENT.0 - after * 2_500));
        let busy = meter.admit(begin + ms(after), DOCUMENT, LINK).unwrap_err();
        assert!(busy.wait > Duration::ZERO, "after {after} ms");
    }
    meter.record_remaining(begin + ms(90), admitted, Bytes(25_000));
    let next = meter.admit(begin + ms(90), DOCUMENT, LINK).unwrap();
    meter.finish(admitted);
    assert!(meter.admit(begin + ms(100), DOCUMENT, LINK).is_err());
    meter.finish(next);
    assert!(
        meter.admit(begin + ms(100), DOCUMENT, LINK).is_ok(),
        "rejected transfers must not count"
    );
}

/// A link is full of answers to callers and carries a tenth of its configured rate. A source that
/// relies on the configured rate would accept one document after another, and none would finish in
/// time; it must use the measured rate.
#[test]
fn a_link_slower_than_configured_is_not_overcommitted() {
    let (begin, mut meter) = (Instant::now(), UploadMeter::default());
    let admitted = meter.admit(begin, DOCUMENT, LINK).unwrap();
    for after in (50..=900).step_by(50) {
        meter.record_remaining(begin + ms(after), admitted, Bytes(DOCUMENT.0 - after * 250));
        let next = meter.admit(begin + ms(after), DOCUMENT, LINK);
        assert!(next.is_err(), "after {after} ms: {next:?}");
    }
    // The rest takes 40 ms on this link.
    meter.record_remaining(begin + ms(960), admitted, Bytes(10_000));
    assert!(meter.admit(begin + ms(960), DOCUMENT, LINK).is_ok());
}

/// The same with connections that buffer bytes that the link has not sent yet.
#[test]
fn buffered_bytes_do_not_count_as_sent() {
    const BUFFERED_BYTES: u64 = 60_000;
    let (begin, mut meter) = (Instant::now(), UploadMeter::default());
    let admitted = meter.admit(begin, DOCUMENT, LINK).unwrap();
    for after in (0..500).step_by(50) {
        let remaining = Bytes(DOCUMENT.0 - BUFFERED_BYTES - after * 250);
        meter.record_remaining(begin + ms(after), admitted, remaining);
        let next = meter.admit(begin + ms(after), DOCUMENT, LINK);
        assert!(next.is_err(), "after {after} ms: {next:?}");
    }
}

/// A source must accept several small documents at once, but not more than its link can send.
#[test]
fn a_source_accepts_several_small_documents() {
    let (now, mut meter) = (Instant::now(), UploadMeter::default());
    let count = (0..1_000).map_while(|_| meter.admit(now, Bytes(2_500), LINK).ok()).count();
    assert!(count > 10 && count < 200, "{count} accepted at once");
}

/// Small messages, such as the announcement that a target leaves, must not queue behind a document.
#[test]
fn the_smallest_answers_are_always_accepted() {
    let (now, mut meter) = (Instant::now(), UploadMeter::default());
    meter.admit(now, Bytes(50_000_000), LINK).unwrap();
    assert!(meter.admit(now, Bytes(1_000), LINK).is_ok());
    assert!(meter.admit(now, DOCUMENT, LINK).is_err());
}

/// Rejected requesters that retry while the link is still busy would fill it with their requests.
/// Whatever the backlog, the wait must not be very short, nor longer than others need to get the
/// document.
#[test]
fn a_rejected_requester_gets_a_moderate_wait() {
    for size in [DOCUMENT, Bytes(130_000), Bytes(50_000_000)] {
        let (now, mut meter) = (Instant::now(), UploadMeter::default());
        meter.admit(now, size, LINK).unwrap();
        let busy = meter.admit(now, size, LINK).unwrap_err();
        assert!(busy.wait >= ms(50) && busy.wait <= ms(500), "{size}: {busy:?}");
    }
}

/// A requester reads no bytes, or one now and then. Other requesters must be rejected only for a
/// limited time, not until that requester ends.
#[test]
fn a_stalled_reader_holds_its_place_for_a_limited_time() {
    let (begin, mut meter) = (Instant::now(), UploadMeter::default());
    meter.admit(begin, DOCUMENT, LINK).unwrap();
    assert!(meter.admit(begin + ms(100), DOCUMENT, LINK).is_err());
    assert!(meter.admit(begin + ms(1_000), DOCUMENT, LINK).is_ok());
    let (begin, mut meter) = (Instant::now(), UploadMeter::default());
    let slow = meter.admit(begin, DOCUMENT, LINK).unwrap();
    for after in (100..10_000).step_by(100) {
        meter.record_remaining(begin + ms(after), slow, Bytes(DOCUMENT.0 - after));
        let next = meter.admit(begin + ms(after), DOCUMENT, LINK);
        assert!(next.is_ok() || after < 3_000, "after {after} ms");
        if next.is_ok() {
            return;
        }
    }
}

/// A referral to a node without the document costs a futile request. A source must refer only to
/// nodes that have it by now, the latest first, and only to a few.
#[test]
fn a_source_refers_only_to_nodes_that_have_the_document() {
    let (begin, mut recipients) = (Instant::now(), Recipients::default());
    assert!(recipients.recent(begin).is_empty());
    recipients.record(begin + ms(100), 1);
    recipients.record(begin + ms(200), 2);
    assert!(recipients.recent(begin + ms(99)).is_empty());
    assert_eq!(recipients.recent(begin + ms(100)), [1]);
    assert_eq!(recipients.recent(begin + ms(200)), [2, 1]);
    for node in 3..100 {
        recipients.record(begin + ms(300), node);
    }
    let referrals = recipients.recent(begin + ms(300));
    assert!(referrals.len() > 1 && referrals.len() < 20, "{referrals:?}");
    assert_eq!(referrals[0], 99);
    recipients.clear();
    assert!(recipients.recent(begin + ms(300)).is_empty(), "the recipients have another document");
}

/// A node that received the document twice, for example after an interrupted answer, must be
/// referred to once, and not before it has the document.
#[test]
fn a_repeated_recipient_is_referred_to_once() {
    let (begin, mut recipients) = (Instant::now(), Recipients::default());
    recipients.record(begin, 1);
    recipients.record(begin + ms(100), 1);
    assert!(recipients.recent(begin).is_empty());
    assert_eq!(recipients.recent(begin + ms(100)), [1]);
}

/// A requester must not fill the links of busy sources with requests. It must choose the free one
/// for every random value, whether it is a known holder or a referral.
#[test]
fn a_busy_source_is_not_asked_while_another_is_free() {
    let (now, mut sources) = (Instant::now(), Sources::default());
    let busy = Busy { wait: ms(100) };
    sources.record_busy(now, 1, busy, &[], 0.5);
    sources.record_busy(now, 2, busy, &[4], 0.5);
    sources.record_failure(now, 3);
    for random in [0.0, 0.3, 0.6, 0.99, 1.0] {
        assert_eq!(sources.choose(now, &[1, 2, 3], random), Choice::Fetch(4), "it is a referral");
        assert_eq!(sources.choose(now, &[1, 2, 3, 4], random), Choice::Fetch(4));
    }
}

/// When all known sources are busy, a requester must wait at least as long as requested and then
/// retry. Two requesters rejected at the same time must retry at different times.
#[test]
fn a_requester_retries_after_the_wait() {
    let now = Instant::now();
    let waits = [0.0, 0.5].map(|random| {
        let mut sources = Sources::default();
        sources.record_busy(now, 1, Busy { wait: ms(100) }, &[], random);
        let Choice::Wait(wait) = sources.choose(now, &[1], 0.0) else {
            panic!("expected a wait: the only source is busy")
        };
        assert!(wait >= ms(100) && wait <= ms(200), "{wait:?}");
        assert_eq!(sources.choose(now + wait, &[1], 0.0), Choice::Fetch(1));
        wait
    });
    assert_ne!(waits[0], waits[1]);
}

/// A link rate of zero or another invalid value, as after a wrong setting, must not make the node
/// panic, nor block transfers after the rate is corrected.
#[test]
fn an_invalid_link_rate_does_not_block_later_transfers() {
    let (now, mut meter) = (Instant::now(), UploadMeter::default());
    for rate in [0.0, -1.0, f64::NAN, f64::MIN_POSITIVE] {
        let _ = meter.admit(now, DOCUMENT, BytesPerSecond(rate));
    }
    assert!(meter.admit(now + Duration::from_secs(120), DOCUMENT, LINK).is_ok());
}

/// A failed source must be avoided for a while but not forever: it may be the only one.
#[test]
fn a_failed_source_is_asked_again_later() {
    let (now, mut sources) = (Instant::now(), Sources::default());
    assert_eq!(sources.choose(now, &[], 0.5), Choice::NoSource);
    sources.record_failure(now, 1);
    let Choice::Wait(wait) = sources.choose(now, &[1], 0.5) else {
        panic!("expected a wait: the only source failed")
    };
    assert!(wait <= Duration::from_secs(5), "{wait:?}");
    assert_eq!(sources.choose(now + wait, &[1], 0.5), Choice::Fetch(1));
}

/// A requester whose own link is full would never get an answer if it always left each source after
/// the short timeout. After several failures it must wait as long as for the only source.
#[test]
fn a_requester_uses_the_long_timeout_after_several_failures() {
    let (now, mut sources) = (Instant::now(), Sources::default());
    let holders = [1, 2, 3, 4, 5];
    let short_timeout = sources.response_timeout(1, &holders);
    assert!(short_timeout < sources.response_timeout(1, &[1]), "another source is known");
    for source in holders {
        sources.record_failure(now, source);
    }
    assert_eq!(sources.response_timeout(1, &holders), sources.response_timeout(1, &[1]));
    sources.record_response();
    assert_eq!(sources.response_timeout(1, &holders), short_timeout);
}
