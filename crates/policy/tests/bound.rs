//! Property tests of the limiter on a target, with requests and events in any order.

mod common;

use common::{batch, cost, granted, interactive, ms, observed, ticket, warm};
use hickory_policy::cost::Class;
use hickory_policy::fair::MAX_BATCH_OVERTAKING;
use hickory_policy::limit::{Answer, CANCEL_GRACE, Capacity, Limiter, Outcome, PermitRequest};
use hickory_unit::size;
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// A target with four slots that is limited by slots, not by prefill.
const FOUR_SLOTS: Capacity =
    Capacity { streams: 4, kv: size::Tokens(450_000), prefill_rate: 4_000_000 };

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// For any order of events, granted streams and memory stay within the bound at the time of the
    /// grant, each ticket is answered once, and no permit is held at the end.
    #[test]
    fn limiter_never_exceeds_its_bound(ops in prop::collection::vec((0u8..10, 0usize..8, 1u64..90_000), 1..300)) {
        let capacity = Capacity { streams: 6, kv: size::Tokens(100_000), prefill_rate: 40_000 };
        let mut now = Instant::now();
        let mut limiter = Limiter::new(capacity);
        let mut queued: BTreeMap<u64, PermitRequest> = BTreeMap::new();
        let mut running: BTreeMap<u64, PermitRequest> = BTreeMap::new();
        for (op, which, size) in ops {
            now += ms(size % 900);
            running.retain(|_, request| request.deadline + CANCEL_GRACE > now);
            let before = running.len();
            match op {
                0..=4 => {
                    let request = PermitRequest {
                        cost: cost(size, size % 100),
                        class: if which % 2 == 0 { Class::Interactive } else { Class::Batch },
                        is_exclusive: which == 7,
                        is_urgent: which == 6,
                        deadline: now + ms(size % 40_000),
                        ..interactive(now, ["a", "b", "c"][which % 3], 0)
                    };
                    match limiter.request_permit(now, request.clone()) {
                        Answer::Granted(t) => prop_assert!(running.insert(t, request).is_none()),
                        Answer::Queued(t) => {
                            prop_assert!(!request.is_urgent && queued.insert(t, request).is_none())
                        }
                        Answer::Refused(..) => {}
                    }
                }
                5 => {
                    let key = running.keys().nth(which).copied();
                    if let Some(t) = key {
                        running.remove(&t);
                        limiter.complete(now, t, Outcome::Completed(None));
                    }
                }
                6 => {
                    if let Some(t) = queued.keys().nth(which).copied() {
                        queued.remove(&t);
                        limiter.cancel(t);
                    }
                }
                7 => drop(limiter.observe(now, &observed(which as u64 / 7, (size % 101) as u8))),
                8 => limiter.set_lease_confirmed(now, which % 2 == 0),
                _ => {
                    for (t, _) in limiter.set_accepting(now, which % 4 != 0) {
                        prop_assert!(queued.remove(&t).is_some());
                    }
                }
            }
            for (t, answer) in limiter.poll(now) {
                let request = queued.remove(&t);
                prop_assert!(request.is_some(), "answered twice");
                if answer.is_ok() {
                    running.insert(t, request.unwrap());
                }
            }
            prop_assert_eq!((limiter.running(), limiter.waiting()), (running.len(), queued.len()));
            prop_assert!(running.len() <= before.max(limiter.stream_limit() as usize));
            let kv: size::Tokens = running.values().map(|request| request.cost.kv()).sum();
            prop_assert!(kv <= capacity.kv);
            prop_assert!(running.len() <= 1 || running.values().all(|other| !other.is_exclusive));
        }
        now += Duration::from_secs(50);
        limiter.poll(now);
        prop_assert_eq!((limiter.running(), limiter.waiting()), (0, 0));
        prop_assert_eq!(limiter.prefill_queued(), size::Tokens(0));
    }

    /// A batch request with enough time must start within its maximum wait plus one turn,
    /// regardless of the number of interactive requests of its account.
    #[test]
    fn batch_starts_within_its_maximum_wait(load in 1usize..6, size in 100u64..4_000) {
        let (mut now, mut limiter) = warm(Instant::now(), FOUR_SLOTS);
        let mut running = std::collections::VecDeque::new();
        let mut submit =
            |limiter: &mut Limiter, now, request| match limiter.request_permit(now, request) {
                Answer::Granted(t) => running.push_back(t),
                Answer::Queued(_) | Answer::Refused(..) => {}
            };
        (0..8).for_each(|_| submit(&mut limiter, now, interactive(now, "mawe", size)));
        let requested_at = now;
        let waiting_ticket = ticket(limiter.request_permit(now, batch(now, "mawe", size)));
        loop {
            now += ms(100);
            prop_assert!(
                now <= requested_at + MAX_BATCH_OVERTAKING + ms(1_000),
                "the batch request starved"
            );
            for _ in 0..load {
                limiter.request_permit(now, interactive(now, "mawe", size));
            }
            if let Some(t) = running.pop_front() {
                limiter.complete(now, t, Outcome::Completed(None));
            }
            let got = granted(&mut limiter, now);
            if got.contains(&waiting_ticket) {
                break;
            }
            running.extend(got);
        }
    }
}
