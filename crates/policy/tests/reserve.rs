//! Prompts greater than one engine, on real limiters.

mod common;

use common::{CAPACITY, ask, batch, cost, ms, warm};
use hickory_policy::limit::{Answer, Limiter, Outcome, PermitRequest, Ticket};
use hickory_policy::place::{Candidate, hash_target};
use hickory_policy::reserve::{Impossible, Part, Reservation, Step, back_off, plan_parts};
use hickory_unit::{id, size};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

fn engines(free: &[u64]) -> Vec<Candidate> {
    let engine = |(index, &free): (usize, &u64)| {
        let target = id::Target::from(format!("engine-{index}").as_str());
        Candidate {
            key: hash_target(&target),
            target,
            near: true,
            own: false,
            cached: false,
            queued_prefill: size::Tokens(0),
            queued_long: size::Tokens(0),
            kv_free: size::Tokens(free),
            kv_capacity: size::Tokens(450_000),
            prefill_rate: 40_000,
            bound: 64,
            running: 0,
            waiting: 0,
        }
    };
    free.iter().enumerate().map(engine).collect()
}

const HOUR: Duration = Duration::from_secs(3_600);

/// A million tokens on engines of 450,000: three parts that together are the
/// prompt, the last with the answer, and an eighth of each engine left free.
#[test]
fn million_tokens_take_three_engines() {
    let fleet = engines(&[450_000; 16]);
    let parts = plan_parts(cost(1_000_000, 1_000), HOUR, &fleet).expect("room");
    assert_eq!(parts.len(), 3);
    let mut from = size::Tokens(0);
    for part in &parts {
        assert_eq!(part.from, from);
        assert!(part.cost.kv() <= size::Tokens(450_000 / 8 * 7 + 1));
        from += part.cost.prefill;
    }
    assert_eq!(from, size::Tokens(1_000_000));
    assert_eq!(parts[2].cost.decode, size::Tokens(1_000));
}

/// The refusal is true: too long for the fleet at any time, too long for the
/// time that is left, or no memory just now.
#[test]
fn impossible_is_said_at_once_and_truly() {
    let plan = |fleet: &[u64], left| plan_parts(cost(1_000_000, 1_000), left, &engines(fleet));
    assert_eq!(plan(&[450_000, 450_000], HOUR), Err(Impossible::TooLong));
    assert_eq!(plan(&[450_000, 450_000, 100_000], HOUR), Err(Impossible::NoMemory));
    let late = plan(&[450_000; 4], Duration::from_secs(20));
    assert_eq!(late, Err(Impossible::NoTime(Duration::from_secs(5))));
}

/// Whatever the order of the plan, engines are asked in the order of their
/// ids, and a refusal gives all that was held back at once: two prompts that
/// want the same engines meet at the first and never hold one each.
#[test]
fn asks_in_one_order_and_holds_all_or_none() {
    let fleet = engines(&[300_000, 350_000, 390_000, 380_000]);
    let parts = plan_parts(cost(1_000_000, 1_000), HOUR, &fleet).expect("room");
    let planned: Vec<_> = parts.iter().map(|part| part.target.as_str()).collect();
    assert_eq!(planned, ["engine-2", "engine-3", "engine-1"]);
    let mut reservation = Reservation::open(parts.clone());
    let mut asked = Vec::new();
    for ticket in 1..=2 {
        let Step::Ask(part) = reservation.next_step() else { panic!("a part is missing") };
        assert_eq!(reservation.answer(Some(ticket)), []);
        asked.push(part.target);
    }
    let back = reservation.answer(None);
    assert_eq!(back, [(asked[0].clone(), 1), (asked[1].clone(), 2)]);
    assert_eq!(asked, ["engine-1".into(), "engine-2".into()]);
    assert_eq!(reservation.release(), [], "nothing is held");
}

/// A round of one reservation: asks until it holds all or was refused.
fn step(
    limiters: &mut BTreeMap<id::Target, Limiter>,
    now: Instant,
    reservation: &mut Reservation,
) -> Option<Vec<(Part, Ticket)>> {
    let part = match reservation.next_step() {
        Step::Held(held) => return Some(held),
        Step::Ask(part) => part,
    };
    let limiter = limiters.get_mut(&part.target).expect("known");
    let wanted = PermitRequest { cost: part.cost, is_urgent: true, ..batch(now, "mawe", 0) };
    let granted = match limiter.request_permit(now, wanted) {
        Answer::Granted(ticket) => Some(ticket),
        Answer::Refused(..) => None,
        Answer::Queued(_) => panic!("an urgent ask was queued"),
    };
    for (target, ticket) in reservation.answer(granted) {
        limiters.get_mut(&target).expect("known").cancel(ticket);
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Several prompts of a million tokens contend for three engines, their
    /// steps interleaved in any order, with other work in between. At the end
    /// of each round a prompt holds all its parts or none, and all of them
    /// are served before their time: no deadlock, no starvation.
    #[test]
    fn contending_reservations_all_get_through(seed in prop::collection::vec(0usize..3, 40), random: u64) {
        let start = Instant::now();
        let fleet = engines(&[450_000; 3]);
        let mut now = start;
        let mut limiters = BTreeMap::new();
        for engine in &fleet {
            let (at, limiter) = warm(start, CAPACITY);
            now = at;
            limiters.insert(engine.target.clone(), limiter);
        }
        let parts = plan_parts(cost(1_000_000, 1_000), HOUR, &fleet).expect("room");
        let mut open: Vec<_> = (0..3).map(|_| Some(Reservation::open(parts.clone()))).collect();
        let mut rounds = [0_u32; 3];
        let mut wake = [now; 3];
        let mut turns = 0;
        while open.iter().any(Option::is_some) {
            let who = seed[turns % seed.len()];
            turns += 1;
            prop_assert!(turns < 5_000, "a reservation starved");
            now += ms(20);
            limiters.values_mut().for_each(|limiter| {
                limiter.request_permit(now, PermitRequest { deadline: now + ms(400), ..ask(now, "caucao", 500) });
                limiter.poll(now);
            });
            let Some(reservation) = open[who].as_mut().filter(|_| wake[who] <= now) else { continue };
            if let Some(held) = step(&mut limiters, now, reservation) {
                prop_assert_eq!(held.len(), 3);
                for (part, ticket) in held {
                    let limiter = limiters.get_mut(&part.target).expect("known");
                    limiter.complete(now, ticket, Outcome::Completed(None));
                }
                open[who] = None;
            } else if reservation.next_step() == Step::Ask(parts_by_target(&parts)) {
                rounds[who] += 1;
                wake[who] = now + back_off(rounds[who], random ^ turns as u64);
            }
        }
        now += Duration::from_secs(70);
        for limiter in limiters.values_mut() {
            limiter.poll(now);
            prop_assert_eq!(limiter.running(), 0);
        }
    }
}

fn parts_by_target(parts: &[Part]) -> Part {
    parts.iter().min_by(|a, b| a.target.cmp(&b.target)).expect("parts").clone()
}
