//! Tests of reservations for prompts that exceed one engine, with real limiters.

mod common;

use common::{CAPACITY, batch, cost, interactive, ms, warm};
use hickory_policy::limit::{Answer, Limiter, Outcome, PermitRequest, Ticket};
use hickory_policy::place::{Candidate, hash_target};
use hickory_policy::reserve::{Chunk, Impossible, Reservation, Step, backoff, plan_chunks};
use hickory_unit::{id, size};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

fn engines(free: &[u64]) -> Vec<Candidate> {
    let engine = |(index, &free): (usize, &u64)| {
        let target = id::Target::from(format!("engine-{index}").as_str());
        Candidate {
            hash: hash_target(&target),
            target,
            is_same_zone: true,
            is_owned: false,
            has_cached_prefix: false,
            queued_prefill: size::Tokens(0),
            queued_long: size::Tokens(0),
            kv_free: size::Tokens(free),
            kv_capacity: size::Tokens(450_000),
            prefill_rate: 40_000,
            max_streams: 64,
            running: 0,
            waiting: 0,
        }
    };
    free.iter().enumerate().map(engine).collect()
}

const HOUR: Duration = Duration::from_secs(3_600);

/// A million tokens on engines of 450,000 must give three chunks that together cover the prompt,
/// with the answer on the last one and an eighth of each engine left free.
#[test]
fn million_tokens_need_three_engines() {
    let fleet = engines(&[450_000; 16]);
    let chunks = plan_chunks(cost(1_000_000, 1_000), HOUR, &fleet).expect("room");
    assert_eq!(chunks.len(), 3);
    let mut prompt_offset = size::Tokens(0);
    for chunk in &chunks {
        assert_eq!(chunk.prompt_offset, prompt_offset);
        assert!(chunk.cost.kv() <= size::Tokens(450_000 / 8 * 7 + 1));
        prompt_offset += chunk.cost.prefill;
    }
    assert_eq!(prompt_offset, size::Tokens(1_000_000));
    assert_eq!(chunks[2].cost.decode, size::Tokens(1_000));
}

/// Prompts are refused with the right reason: more than the fleet can hold, more than the remaining
/// time allows, or not enough memory at present.
#[test]
fn impossible_prompts_are_refused_with_the_right_reason() {
    let plan = |fleet: &[u64], left| plan_chunks(cost(1_000_000, 1_000), left, &engines(fleet));
    assert_eq!(plan(&[450_000, 450_000], HOUR), Err(Impossible::TooLong));
    assert_eq!(plan(&[450_000, 450_000, 100_000], HOUR), Err(Impossible::NoMemory));
    let late = plan(&[450_000; 4], Duration::from_secs(20));
    assert_eq!(late, Err(Impossible::NoTime(Duration::from_secs(5))));
}

/// Guards against a deadlock of two prompts that want the same engines. Engines are requested in
/// the order of their ids regardless of the plan, and a refusal returns all permits held.
#[test]
fn engines_are_reserved_in_id_order_all_or_none() {
    let fleet = engines(&[300_000, 350_000, 390_000, 380_000]);
    let chunks = plan_chunks(cost(1_000_000, 1_000), HOUR, &fleet).expect("room");
    let planned: Vec<_> = chunks.iter().map(|chunk| chunk.target.as_str()).collect();
    assert_eq!(planned, ["engine-2", "engine-3", "engine-1"]);
    let mut reservation = Reservation::open(chunks.clone());
    let mut asked = Vec::new();
    for ticket in 1..=2 {
        let Step::Request(chunk) = reservation.next_step() else { panic!("a chunk is missing") };
        assert_eq!(reservation.answer(Some(ticket)), []);
        asked.push(chunk.target);
    }
    let back = reservation.answer(None);
    assert_eq!(back, [(asked[0].clone(), 1), (asked[1].clone(), 2)]);
    assert_eq!(asked, ["engine-1".into(), "engine-2".into()]);
    assert_eq!(reservation.release(), [], "no permit is held");
}

/// Runs one step of a reservation: requests its next chunk. Returns all chunks with their permits
/// once they are held.
fn run_step(
    limiters: &mut BTreeMap<id::Target, Limiter>,
    now: Instant,
    reservation: &mut Reservation,
) -> Option<Vec<(Chunk, Ticket)>> {
    let chunk = match reservation.next_step() {
        Step::Complete(held) => return Some(held),
        Step::Request(chunk) => chunk,
    };
    let limiter = limiters.get_mut(&chunk.target).expect("known");
    let request = PermitRequest { cost: chunk.cost, is_urgent: true, ..batch(now, "mawe", 0) };
    let granted = match limiter.request_permit(now, request) {
        Answer::Granted(ticket) => Some(ticket),
        Answer::Refused(..) => None,
        Answer::Queued(_) => panic!("an urgent request was queued"),
    };
    for (target, ticket) in reservation.answer(granted) {
        limiters.get_mut(&target).expect("known").cancel(ticket);
    }
    None
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    /// Guards against deadlock and starvation when several prompts of a million tokens contend for
    /// three engines, with their steps interleaved in any order beside other work. After each round
    /// a prompt must hold all of its chunks or none, and all prompts must be served in time.
    #[test]
    fn contending_reservations_all_complete(seed in prop::collection::vec(0usize..3, 40), random: u64) {
        let start = Instant::now();
        let fleet = engines(&[450_000; 3]);
        let mut now = start;
        let mut limiters = BTreeMap::new();
        for engine in &fleet {
            let (at, limiter) = warm(start, CAPACITY);
            now = at;
            limiters.insert(engine.target.clone(), limiter);
        }
        let chunks = plan_chunks(cost(1_000_000, 1_000), HOUR, &fleet).expect("room");
        let mut open: Vec<_> = (0..3).map(|_| Some(Reservation::open(chunks.clone()))).collect();
        let mut rounds = [0_u32; 3];
        let mut retry_at = [now; 3];
        let mut turns = 0;
        while open.iter().any(Option::is_some) {
            let index = seed[turns % seed.len()];
            turns += 1;
            prop_assert!(turns < 5_000, "a reservation starved");
            now += ms(20);
            limiters.values_mut().for_each(|limiter| {
                limiter.request_permit(
                    now,
                    PermitRequest { deadline: now + ms(400), ..interactive(now, "caucao", 500) },
                );
                limiter.poll(now);
            });
            let Some(reservation) = open[index].as_mut().filter(|_| retry_at[index] <= now)
            else {
                continue
            };
            if let Some(held) = run_step(&mut limiters, now, reservation) {
                prop_assert_eq!(held.len(), 3);
                for (chunk, ticket) in held {
                    let limiter = limiters.get_mut(&chunk.target).expect("known");
                    limiter.complete(now, ticket, Outcome::Completed(None));
                }
                open[index] = None;
            } else if reservation.next_step() == Step::Request(first_chunk_by_target(&chunks)) {
                rounds[index] += 1;
                retry_at[index] = now + backoff(rounds[index], random ^ turns as u64);
            }
        }
        now += Duration::from_secs(70);
        for limiter in limiters.values_mut() {
            limiter.poll(now);
            prop_assert_eq!(limiter.running(), 0);
        }
    }
}

fn first_chunk_by_target(chunks: &[Chunk]) -> Chunk {
    chunks.iter().min_by(|a, b| a.target.cmp(&b.target)).expect("chunks").clone()
}
