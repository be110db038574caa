//! Tests of the admission control of one target.

mod common;

use common::{CAPACITY, batch, cost, granted, interactive, ms, observed, ticket, warm};
use hickory_policy::limit::{
    Answer, CANCEL_GRACE, Capacity, Limiter, Observed, Outcome, PERMIT_LIFETIME, PermitRequest,
};
use hickory_policy::refuse::Reason;
use hickory_unit::size;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A target with four slots, limited by its slots and not by its prefill rate.
const NARROW: Capacity =
    Capacity { streams: 4, kv: size::Tokens(450_000), prefill_rate: 4_000_000 };

/// Guards against overload by two owners that can't see each other and grant permits for the same
/// target, both without a confirmed lease. Together they must stay within the limit, including an
/// odd one.
#[test]
fn owner_without_confirmed_lease_uses_half_the_limit() {
    for streams in [1, 2, 5, 64] {
        let capacity = Capacity { streams, ..NARROW };
        let start = Instant::now();
        let mut total = 0;
        for _ in 0..2 {
            let (now, mut owner) = warm(start, capacity);
            owner.set_lease_confirmed(now, false);
            for _ in 0..100 {
                owner.request_permit(now, interactive(now, "mawe", 10));
            }
            total += owner.running();
        }
        assert!(total <= streams as usize, "{total} streams on {streams} slots");
        assert!(total + 1 >= streams as usize);
    }
}

/// Guards against a takeover while the former owner is paused but not dead. Permits that it granted
/// last may be used for one permit lifetime, so the new owner must grant nothing before that;
/// queued requests get their permits then.
#[test]
fn new_owner_waits_one_permit_lifetime() {
    let now = Instant::now();
    let mut limiter = Limiter::new_after_takeover(now, CAPACITY);
    let waiting = ticket(limiter.request_permit(now, interactive(now, "mawe", 500)));
    assert_eq!(granted(&mut limiter, now + PERMIT_LIFETIME - ms(1)), []);
    assert_eq!(granted(&mut limiter, now + PERMIT_LIFETIME), [waiting]);
}

/// Streams granted by a former owner appear in the load report. They must count against the limit
/// until they end.
#[test]
fn streams_of_a_former_owner_count() {
    let (now, mut limiter) = warm(Instant::now(), NARROW);
    let report =
        Observed { foreign_streams: 3, foreign_kv: size::Tokens(1_000), ..observed(1, 100) };
    limiter.observe(now, &report);
    limiter.request_permit(now, interactive(now, "mawe", 10));
    let waiting = ticket(limiter.request_permit(now, interactive(now, "mawe", 10)));
    assert_eq!((limiter.running(), limiter.waiting()), (1, 1));
    limiter.observe(now + ms(10), &observed(1, 100));
    assert_eq!(granted(&mut limiter, now + ms(10)), [waiting]);
}

/// Guards against capacity that is lost forever when the node that would report the outcome dies.
/// The permit must expire at the deadline plus the grace time, and not before.
#[test]
fn permit_without_outcome_expires() {
    let (now, mut limiter) = warm(Instant::now(), NARROW);
    let short = PermitRequest { deadline: now + ms(3_000), ..interactive(now, "mawe", 10) };
    for _ in 0..4 {
        limiter.request_permit(now, short.clone());
    }
    let waiting = ticket(limiter.request_permit(now, interactive(now, "mawe", 10)));
    assert_eq!(granted(&mut limiter, now + ms(2_999) + CANCEL_GRACE), []);
    assert_eq!(granted(&mut limiter, now + ms(3_000) + CANCEL_GRACE), [waiting]);
}

/// A suspect requests exclusive use of a busy target. No other stream may run beside it, neither
/// earlier nor later ones, and the requests queued behind it must continue after it.
#[test]
fn exclusive_request_runs_alone() {
    let (now, mut limiter) = warm(Instant::now(), NARROW);
    let first = ticket(limiter.request_permit(now, interactive(now, "mawe", 10)));
    let suspect =
        ticket(limiter.request_permit(
            now,
            PermitRequest { is_exclusive: true, ..interactive(now, "mawe", 10) },
        ));
    let now = now + ms(1_500);
    let behind = ticket(limiter.request_permit(now, interactive(now, "caucao", 10)));
    assert_eq!(
        granted(&mut limiter, now),
        [],
        "the suspect has waited long enough to block other grants"
    );
    limiter.cancel(first);
    assert_eq!(granted(&mut limiter, now), [suspect]);
    assert_eq!(granted(&mut limiter, now + ms(100)), []);
    limiter.cancel(suspect);
    assert_eq!(granted(&mut limiter, now + ms(100)), [behind]);
}

/// A suspect kills its target, and its node reports the failure before the owner sees the death.
/// The innocent suspect queued behind it must get no permit for the dead target, or the death would
/// count against it, and new requests must be refused immediately so that they can go elsewhere.
/// The next load report proves that the target is alive.
#[test]
fn no_permit_is_granted_after_a_death_until_the_next_load_report() {
    let (now, mut limiter) = warm(Instant::now(), NARROW);
    let suspect = |now| PermitRequest { is_exclusive: true, ..interactive(now, "mawe", 10) };
    let crashing = ticket(limiter.request_permit(now, suspect(now)));
    let innocent = ticket(limiter.request_permit(now, suspect(now)));
    limiter.complete(now, crashing, Outcome::Failed);
    assert_eq!(granted(&mut limiter, now + ms(100)), []);
    for is_urgent in [false, true] {
        let elsewhere = PermitRequest { is_urgent, ..interactive(now, "caucao", 10) };
        let answer = limiter.request_permit(now + ms(100), elsewhere);
        assert_eq!(answer, Answer::Refused(Reason::NoTarget, Duration::ZERO));
    }
    assert_eq!((limiter.running(), limiter.waiting()), (0, 1));
    limiter.observe(now + ms(200), &observed(2, 100));
    assert_eq!(granted(&mut limiter, now + ms(200)), [innocent]);
}

/// A zone is taken out of service while requests are queued. All of them must be refused
/// immediately so that their nodes can use another zone, new ones too, and the target must serve
/// again when the zone is back.
#[test]
fn target_that_stops_accepting_refuses_its_queue() {
    let (now, mut limiter) = warm(Instant::now(), NARROW);
    let tickets: Vec<_> =
        (0..9).map(|_| ticket(limiter.request_permit(now, interactive(now, "mawe", 10)))).collect();
    let refused = limiter.set_accepting(now, false);
    assert_eq!(refused, tickets[4..].iter().map(|&t| (t, Reason::NoTarget)).collect::<Vec<_>>());
    let answer = limiter.request_permit(now, interactive(now, "mawe", 10));
    assert_eq!(answer, Answer::Refused(Reason::NoTarget, Duration::ZERO));
    assert_eq!(limiter.running(), 4, "running streams are not cancelled");
    tickets[..4].iter().for_each(|&t| limiter.cancel(t));
    assert_eq!(granted(&mut limiter, now), []);
    limiter.set_accepting(now, true);
    assert!(matches!(
        limiter.request_permit(now, interactive(now, "mawe", 10)),
        Answer::Granted(_)
    ));
}

/// At about twice the load that the target can serve, requests with 3 s until their deadline must
/// be refused on arrival with a retry delay, not after waiting in the queue, and the target must
/// stay busy.
#[test]
fn request_that_would_miss_its_deadline_is_refused_immediately() {
    let (mut now, mut limiter) = warm(Instant::now(), CAPACITY);
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let (mut late, mut early, mut completed) = (0, 0, 0);
    for _ in 0..4_000 {
        now += ms(5);
        // 60,000 prompt tokens per second arrive; the engine can prefill 30,000.
        let request = PermitRequest { deadline: now + ms(3_000), ..interactive(now, "mawe", 300) };
        match limiter.request_permit(now, request) {
            Answer::Granted(t) => running.push((now, t)),
            Answer::Queued(_) => {}
            Answer::Refused(reason, wait) => {
                assert_eq!(reason, Reason::Overloaded);
                assert!(wait >= ms(500) && wait < ms(10_000), "{wait:?}");
                early += 1;
            }
        }
        for (t, answer) in limiter.poll(now) {
            match answer {
                Ok(()) => running.push((now, t)),
                Err(_) => late += 1,
            }
        }
        let ended = running.iter().filter(|(at, _)| now >= *at + ms(480)).count();
        for (_, t) in running.drain(..ended) {
            limiter.complete(now, t, Outcome::Completed(None));
            completed += 1;
        }
    }
    assert!(early > 1_000 && late * 20 <= early, "{late} refused late, {early} refused early");
    assert!(completed > 1_800, "{completed} completed; the target can serve 2,000 in 20 s");
}

/// Two partners request three times what the target can serve, with 30 s until the deadline; then
/// their shares change from 3:1 to 1:3. Queued requests that became late must be refused within
/// about a second and not at their deadlines, granted work must finish in time, and each partner
/// must get its new share.
#[test]
fn reduced_share_refuses_requests_that_became_late() {
    let (mut now, mut limiter) = warm(Instant::now(), CAPACITY);
    limiter.set_shares([("mawe".into(), 3.0), ("caucao".into(), 1.0)]);
    let mut requests = BTreeMap::new();
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let (mut completed, mut refused_late) = (BTreeMap::<_, f64>::new(), 0);
    for step in 0..12_000_u64 {
        now += ms(5);
        if step == 6_000 {
            limiter.set_shares([("mawe".into(), 1.0), ("caucao".into(), 3.0)]);
        }
        for partner in ["mawe", "caucao"] {
            let size = if partner == "mawe" { 1_000 } else { 1_000 + step * 7_919 % 4_000 };
            let deadline = now + ms(30_000);
            let request =
                PermitRequest { cost: cost(size, 64), deadline, ..interactive(now, partner, 0) };
            match limiter.request_permit(now, request.clone()) {
                Answer::Granted(t) => {
                    requests.insert(t, request);
                    running.push((now, t));
                }
                Answer::Queued(t) => drop(requests.insert(t, request)),
                Answer::Refused(..) => {}
            }
        }
        for (t, answer) in limiter.poll(now) {
            match answer {
                Ok(()) => running.push((now, t)),
                Err(_) if step > 6_500 => {
                    refused_late += u32::from(requests[&t].deadline < now + ms(5_000));
                }
                Err(_) => {}
            }
        }
        // Each answer takes 5 s on a full target.
        for (at, t) in running.extract_if(.., |(at, _)| now >= *at + ms(5_000)) {
            let request = &requests[&t];
            assert!(step < 3_000 || at + ms(5_000) <= request.deadline, "cut off before its end");
            limiter.complete(now, t, Outcome::Completed(None));
            if step > 8_000 {
                *completed.entry(request.partner.to_string()).or_default() +=
                    request.cost.work() as f64;
            }
        }
    }
    assert_eq!(refused_late, 0);
    let fraction = completed["mawe"] / completed.values().sum::<f64>();
    assert!((fraction - 0.25).abs() < 0.02, "{fraction}");
}

/// The target decodes five times more slowly than estimated when a request arrived. By the time of
/// its turn the slower rate has been measured, so it must be refused rather than started and cut
/// off.
#[test]
fn request_made_late_by_a_slower_pace_is_not_started() {
    let (now, mut limiter) = warm(Instant::now(), NARROW);
    let slow = PermitRequest { cost: cost(10, 64), ..interactive(now, "mawe", 0) };
    let running: Vec<_> =
        (0..4).map(|_| ticket(limiter.request_permit(now, slow.clone()))).collect();
    let waiting = PermitRequest { deadline: now + ms(6_000), ..slow };
    let Answer::Queued(waiting) = limiter.request_permit(now, waiting) else {
        panic!("expected the request to be queued: no slot is free")
    };
    let now = now + ms(4_800);
    for t in running {
        limiter.complete(now, t, Outcome::Completed(None));
    }
    assert_eq!(limiter.poll(now), [(waiting, Err(Reason::Overloaded))]);
}

/// One partner fills the queue. The other must still be admitted up to its share, and an urgent
/// request must never be queued.
#[test]
fn flooding_partner_does_not_keep_others_out_of_the_queue() {
    let (now, mut limiter) = warm(Instant::now(), NARROW);
    limiter.set_max_queue_length(100);
    let flood = (0..300).map(|_| limiter.request_permit(now, interactive(now, "mawe", 10)));
    let refused = flood.filter(|a| matches!(a, Answer::Refused(Reason::Overloaded, _))).count();
    assert_eq!((refused, limiter.waiting()), (196, 100));
    assert!(matches!(
        limiter.request_permit(now, interactive(now, "caucao", 10)),
        Answer::Queued(_)
    ));
    let urgent = PermitRequest { is_urgent: true, ..interactive(now, "caucao", 10) };
    assert!(matches!(limiter.request_permit(now, urgent), Answer::Refused(Reason::Overloaded, _)));
    assert_eq!(limiter.waiting(), 101);
}

/// Guards against bulk work that takes the whole engine: reports of 90,000 tokens or batch work use
/// as much as they may, and a short interactive question must still find a slot, memory and prefill
/// capacity immediately.
#[test]
fn bulk_work_leaves_capacity_for_short_requests() {
    for (size, running) in [(90_000, 4), (600, 56)] {
        let (start, mut limiter) = warm(Instant::now(), CAPACITY);
        let deadline = start + Duration::from_secs(3_600);
        let mut now = start;
        let first =
            limiter.request_permit(start, PermitRequest { deadline, ..batch(start, "mawe", size) });
        for _ in 1..100 {
            limiter.request_permit(start, PermitRequest { deadline, ..batch(start, "mawe", size) });
        }
        // A long prefill takes 3 s here and ends with the first token.
        let mut prefills = vec![(start + ms(3_000), ticket(first))];
        for _ in 0..600 {
            now += ms(50);
            prefills.extend(granted(&mut limiter, now).into_iter().map(|t| (now + ms(3_000), t)));
            let ended = prefills.extract_if(.., |(at, _)| *at <= now);
            ended.for_each(|(_, t)| limiter.record_first_token(now, t));
        }
        assert_eq!(limiter.running(), running);
        let question = interactive(now, "caucao", 1_000);
        assert!(matches!(limiter.request_permit(now, question), Answer::Granted(_)));
    }
}

/// Guards against starvation of long requests. Short work keeps the memory full, with one request
/// ending and one arriving every 25 ms, so a long request never finds its memory free. After a
/// while capacity must be held for it, while short requests still run in the headroom.
#[test]
fn long_request_gets_capacity_under_short_load() {
    let capacity = Capacity { kv: size::Tokens(100_000), streams: 64, ..NARROW };
    let (mut now, mut limiter) = warm(Instant::now(), capacity);
    let short = |now| interactive(now, "caucao", 2_400);
    let mut running: std::collections::VecDeque<_> =
        (0..41).map(|_| ticket(limiter.request_permit(now, short(now)))).collect();
    let Answer::Queued(long) = limiter.request_permit(now, interactive(now, "mawe", 60_000)) else {
        panic!("expected the request to be queued: the memory is full")
    };
    let requested_at = now;
    let mut short_runs = 0;
    loop {
        now += ms(25);
        assert!(now < requested_at + ms(5_000), "the long request starved");
        limiter.request_permit(now, short(now));
        let got = granted(&mut limiter, now);
        if got.contains(&long) {
            break;
        }
        short_runs += got.len();
        running.extend(got);
        if let Some(t) = running.pop_front() {
            limiter.complete(now, t, Outcome::Completed(None));
        }
    }
    assert!(short_runs > 30);
}

/// One target takes four times as long as it reports. Requests that could not finish in time must
/// be refused by the measured rate, not by the reported one.
#[test]
fn slow_target_refuses_by_its_measured_pace() {
    let (mut now, mut limiter) = warm(Instant::now(), CAPACITY);
    let mut running: Vec<(Instant, u64)> = Vec::new();
    let mut late = 0;
    let mut refused = 0;
    for _ in 0..4_000 {
        now += ms(10);
        let request = PermitRequest { deadline: now + ms(8_000), ..interactive(now, "mawe", 400) };
        match limiter.request_permit(now, request) {
            Answer::Granted(t) => running.push((now, t)),
            Answer::Queued(_) => {}
            Answer::Refused(..) => refused += 1,
        }
        for (t, answer) in limiter.poll(now) {
            match answer {
                Ok(()) => running.push((now, t)),
                Err(_) => late += 1,
            }
        }
        // 64 slots of 2 s each serve 32 requests per second; 100 arrive.
        let ended = running.iter().filter(|(at, _)| now >= *at + ms(2_000)).count();
        for (_, t) in running.drain(..ended) {
            limiter.complete(now, t, Outcome::Completed(None));
        }
    }
    assert!(refused > 0 && late * 10 <= refused, "{late} refused late, {refused} refused early");
}
