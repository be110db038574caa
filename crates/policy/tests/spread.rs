//! Giving a large document on: what a giver takes on, whom it names, and whom
//! those who want it ask.

use hickory_policy::spread::{Busy, Choice, Recipients, Sources, UploadMeter};
use hickory_unit::rate::BytesPerSecond;
use hickory_unit::size::Bytes;
use std::time::{Duration, Instant};

/// 2.5 MB in a second.
const LINK: BytesPerSecond = BytesPerSecond(2.5e6);

/// A document that the link needs 100 ms for.
const DOCUMENT: Bytes = Bytes(250_000);

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Nobody would ever get a document that takes longer than the backlog allows.
/// A giver whose link is idle takes it on, whatever its size.
#[test]
fn an_idle_source_accepts_any_size() {
    for size in [0, 1, 250_000, 50_000_000, u64::MAX] {
        let admitted = UploadMeter::default().admit(Instant::now(), Bytes(size), LINK);
        assert!(admitted.is_ok(), "{size} bytes: {admitted:?}");
    }
}

/// Takers give up and begin anew if a giver sends to all of them at once. It
/// takes on the first, turns the rest away until the link is nearly through
/// with that, and then takes on another one.
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
    assert!(meter.admit(begin + ms(100), DOCUMENT, LINK).is_ok(), "those turned away left nothing");
}

/// A link is full of callers' answers and carries a tenth of what it could. A
/// giver that reckons with the whole of it takes on one document after the other,
/// and none ends in time. It must go by what the link has taken.
#[test]
fn a_link_slower_than_configured_is_not_overcommitted() {
    let (begin, mut meter) = (Instant::now(), UploadMeter::default());
    let admitted = meter.admit(begin, DOCUMENT, LINK).unwrap();
    for after in (50..=900).step_by(50) {
        meter.record_remaining(begin + ms(after), admitted, Bytes(DOCUMENT.0 - after * 250));
        let next = meter.admit(begin + ms(after), DOCUMENT, LINK);
        assert!(next.is_err(), "after {after} ms: {next:?}");
    }
    // What is left takes this link 40 ms.
    meter.record_remaining(begin + ms(960), admitted, Bytes(10_000));
    assert!(meter.admit(begin + ms(960), DOCUMENT, LINK).is_ok());
}

/// The same where connections take what the link has not sent yet.
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

/// Small documents go to many at once: a giver takes them on one after the
/// other, until it has enough for its link.
#[test]
fn a_source_accepts_several_small_documents() {
    let (now, mut meter) = (Instant::now(), UploadMeter::default());
    let count = (0..1_000).map_while(|_| meter.admit(now, Bytes(2_500), LINK).ok()).count();
    assert!(count > 10 && count < 200, "{count} at once");
}

/// The word that a target leaves must not wait behind a document.
#[test]
fn the_smallest_answers_are_always_accepted() {
    let (now, mut meter) = (Instant::now(), UploadMeter::default());
    meter.admit(now, Bytes(50_000_000), LINK).unwrap();
    assert!(meter.admit(now, Bytes(1_000), LINK).is_ok());
    assert!(meter.admit(now, DOCUMENT, LINK).is_err());
}

/// All who were turned away would come back while the link is still busy, and
/// their asking alone would fill it. However little is left on the link and
/// however much, the wait is neither a moment nor longer than others need to
/// have the document.
#[test]
fn a_rejected_requester_gets_a_moderate_wait() {
    for size in [DOCUMENT, Bytes(130_000), Bytes(50_000_000)] {
        let (now, mut meter) = (Instant::now(), UploadMeter::default());
        meter.admit(now, size, LINK).unwrap();
        let busy = meter.admit(now, size, LINK).unwrap_err();
        assert!(busy.wait >= ms(50) && busy.wait <= ms(500), "{size}: {busy:?}");
    }
}

/// A taker asks and then reads nothing, or a byte now and then. The others are
/// turned away for a moment, and not for as long as it goes on.
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

/// Whoever is sent to a node that has no document yet has asked in vain. A giver
/// names those alone that have it by now, the latest first, and few of them.
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
    assert!(recipients.recent(begin + ms(300)).is_empty(), "of another document they have nothing");
}

/// A node that was given the document twice, as after a broken answer, is named
/// once, and not before it has it.
#[test]
fn a_repeated_recipient_is_referred_to_once() {
    let (begin, mut recipients) = (Instant::now(), Recipients::default());
    recipients.record(begin, 1);
    recipients.record(begin + ms(100), 1);
    assert!(recipients.recent(begin).is_empty());
    assert_eq!(recipients.recent(begin + ms(100)), [1]);
}

/// A taker that asks busy givers again and again fills their links. It asks the
/// one that is free, whichever chance would have it, be that one heard or named.
#[test]
fn a_busy_source_is_not_asked_while_another_is_free() {
    let (now, mut sources) = (Instant::now(), Sources::default());
    let busy = Busy { wait: ms(100) };
    sources.record_busy(now, 1, busy, &[], 0.5);
    sources.record_busy(now, 2, busy, &[4], 0.5);
    sources.record_failure(now, 3);
    for random in [0.0, 0.3, 0.6, 0.99, 1.0] {
        assert_eq!(sources.choose(now, &[1, 2, 3], random), Choice::Fetch(4), "it was named");
        assert_eq!(sources.choose(now, &[1, 2, 3, 4], random), Choice::Fetch(4));
    }
}

/// All that are known are busy: a taker waits, no shorter than it was told, and
/// then asks again. Two that were turned away together come back apart.
#[test]
fn a_requester_retries_after_the_wait() {
    let now = Instant::now();
    let waits = [0.0, 0.5].map(|random| {
        let mut sources = Sources::default();
        sources.record_busy(now, 1, Busy { wait: ms(100) }, &[], random);
        let Choice::Wait(wait) = sources.choose(now, &[1], 0.0) else { panic!("asks a busy one") };
        assert!(wait >= ms(100) && wait <= ms(200), "{wait:?}");
        assert_eq!(sources.choose(now + wait, &[1], 0.0), Choice::Fetch(1));
        wait
    });
    assert_ne!(waits[0], waits[1]);
}

/// A link of no rate at all, as a wrong setting may have it, must not stop the
/// node, nor hold back documents for ever once it is set right.
#[test]
fn an_invalid_link_rate_does_not_block_later_transfers() {
    let (now, mut meter) = (Instant::now(), UploadMeter::default());
    for rate in [0.0, -1.0, f64::NAN, f64::MIN_POSITIVE] {
        let _ = meter.admit(now, DOCUMENT, BytesPerSecond(rate));
    }
    assert!(meter.admit(now + Duration::from_secs(120), DOCUMENT, LINK).is_ok());
}

/// A giver that failed is left alone, but not for ever: it may be the only one.
#[test]
fn a_failed_source_is_asked_again_later() {
    let (now, mut sources) = (Instant::now(), Sources::default());
    assert_eq!(sources.choose(now, &[], 0.5), Choice::NoSource);
    sources.record_failure(now, 1);
    let Choice::Wait(wait) = sources.choose(now, &[1], 0.5) else { panic!("asks at once") };
    assert!(wait <= Duration::from_secs(5), "{wait:?}");
    assert_eq!(sources.choose(now + wait, &[1], 0.5), Choice::Fetch(1));
}

/// A taker whose own link is full never gets an answer: it leaves each giver
/// before its answer can have come, and begins with the next one. After some such
/// failures it waits as long as for a giver that is the only one.
#[test]
fn a_requester_uses_the_long_timeout_after_several_failures() {
    let (now, mut sources) = (Instant::now(), Sources::default());
    let holders = [1, 2, 3, 4, 5];
    let short_timeout = sources.response_timeout(1, &holders);
    assert!(short_timeout < sources.response_timeout(1, &[1]), "another one is known");
    for source in holders {
        sources.record_failure(now, source);
    }
    assert_eq!(sources.response_timeout(1, &holders), sources.response_timeout(1, &[1]));
    sources.record_response();
    assert_eq!(sources.response_timeout(1, &holders), short_timeout);
}
