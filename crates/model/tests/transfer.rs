//! KV caches under handles: kept, exported, imported, and spread.

mod common;

use common::{Bench, handle, job, job_of, options, stream, text};
use hickory_model::engine::{Failure, Job, Refusal, State};
use hickory_target::engine::Role;
use hickory_target::engine::{Cancelled, Order};
use hickory_unit::{id, size};
use std::net::SocketAddr;
use std::time::Duration;

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

/// Copies or links a handle from one engine to another, and waits for it.
fn import(from: &Bench, to: &mut Bench, number: u128, part: u32) -> Duration {
    let handle = handle(number, part);
    let export = from.engine.export(&handle).expect("held");
    let time = to.engine.import(to.now, &handle, export, address()).expect("fits");
    to.pass(time);
    to.engine.finish_import(&handle);
    time
}

#[test]
fn prefill_here_and_decode_there() {
    let (mut a, mut b) = (Bench::open(options()), Bench::open(options()));
    let prompt = text('a', 40);
    a.begin(Job { keep_as: Some(handle(1, 0)), ..job_of(1, &prompt, 10) });
    a.run_to_end(1);
    assert_eq!(a.engine.progress(&stream(1)).unwrap().generated, 0);
    assert_eq!(a.used(), 40 * 256);
    let time = import(&a, &mut b, 1, 0);
    assert!(time > Duration::ZERO);
    a.engine.drop_handle(a.now, &handle(1, 0));
    assert_eq!(a.used(), 0);
    let missed = b.engine.counts().cache_misses;
    b.begin(Job { import: Some(handle(1, 0)), ..job_of(1, &prompt, 10) });
    b.engine.drop_handle(b.now, &handle(1, 0));
    assert!(b.used() > 40 * 256, "dropped, but in use");
    b.run_to_end(1);
    assert_eq!(b.engine.counts().cache_misses - missed, 1);
    assert_eq!(b.used(), 0);
}

#[test]
fn handle_of_another_prompt_is_refused() {
    let mut a = Bench::open(options());
    a.begin(Job { keep_as: Some(handle(1, 0)), ..job_of(1, &text('a', 4), 10) });
    a.run_to_end(1);
    let other = Job { import: Some(handle(1, 0)), ..job_of(2, &text('b', 4), 10) };
    assert_eq!(a.engine.begin(a.now, other), Err(Refusal::UnknownHandle));
    let unknown = Job { import: Some(handle(9, 0)), ..job_of(3, &text('a', 4), 10) };
    assert_eq!(a.engine.begin(a.now, unknown), Err(Refusal::UnknownHandle));
}

#[test]
fn copy_can_not_be_used_before_it_arrived() {
    let (mut a, mut b) = (Bench::open(options()), Bench::open(options()));
    a.begin(Job { keep_as: Some(handle(1, 0)), ..job(1, 100_000, 1) });
    a.run_to_end(1);
    let export = a.engine.export(&handle(1, 0)).unwrap();
    b.engine.import(b.now, &handle(1, 0), export, address()).unwrap();
    let early = Job { import: Some(handle(1, 0)), ..job(2, 100_000, 1) };
    assert_eq!(b.engine.begin(b.now, early), Err(Refusal::UnknownHandle));
    assert_eq!(b.used(), 100_000, "reserved from the start of the copy");
}

/// A prompt of a million tokens over three engines: each holds its part, and
/// the last one generates from links to the others.
fn spread() -> [Bench; 3] {
    let mut benches = [(); 3].map(|()| Bench::open(options()));
    for part in 0..3_u32 {
        let number = u128::from(part);
        if part > 0 {
            let (before, after) = benches.split_at_mut(part as usize);
            let time = import(&before[part as usize - 1], &mut after[0], 7, part - 1);
            assert_eq!(time, Duration::ZERO, "linked, not copied");
        }
        let bench = &mut benches[part as usize];
        let imported = part.checked_sub(1).map(|before| handle(7, before));
        let prompt = [350_000, 700_000, 1_000_000][part as usize];
        let keep = (part < 2).then(|| handle(7, part));
        bench.begin(Job { import: imported, keep_as: keep, ..job(number, prompt, 20) });
        if part < 2 {
            bench.run_to_end(number);
        }
    }
    benches
}

#[test]
fn prompt_greater_than_one_engine_is_spread() {
    let mut benches = spread();
    benches[2].run_to_end(2);
    assert_eq!(benches[2].engine.progress(&stream(2)).unwrap().generated, 20);
    assert_eq!(benches[0].used(), 350_000);
    assert_eq!(benches[1].used(), 350_000);
    for (bench, parts) in benches.iter_mut().zip([vec![0], vec![1, 0], vec![1]]) {
        for part in parts {
            bench.engine.drop_handle(bench.now, &handle(7, part));
        }
        assert_eq!(bench.used(), 0);
    }
}

#[test]
fn spread_prompt_fails_when_a_part_is_lost() {
    let mut benches = spread();
    let links = benches[2].engine.links();
    let parts: Vec<u32> = links.iter().map(|link| link.handle.part).collect();
    assert_eq!(parts, [0, 1]);
    let now = benches[2].now;
    benches[2].engine.lose_link(now, &handle(7, 0));
    assert_eq!(benches[2].state(2), Some(State::Failed(Failure::LinkedCacheLost)));
    benches[2].engine.drop_handle(now, &handle(7, 1));
    assert_eq!(benches[2].used(), 0);
    assert_eq!(benches[2].engine.cancel(now, &stream(2)), Cancelled::Ended);
}

#[test]
fn base_of_a_kept_cache_stays_with_it() {
    let mut a = Bench::open(options());
    a.begin(Job { keep_as: Some(handle(1, 0)), ..job(1, 10_000, 1) });
    a.run_to_end(1);
    let further =
        Job { import: Some(handle(1, 0)), keep_as: Some(handle(1, 1)), ..job(2, 30_000, 1) };
    a.begin(further);
    a.run_to_end(2);
    a.engine.drop_handle(a.now, &handle(1, 0));
    assert_eq!(a.used(), 30_000);
    assert_eq!(a.engine.export(&handle(1, 1)).unwrap().own, size::Tokens(30_000));
    a.engine.drop_handle(a.now, &handle(1, 1));
    assert_eq!(a.used(), 0);
}

#[test]
fn roles_take_their_work_only() {
    let mut bench = Bench::open(options());
    let order = |bench: &mut Bench, role| {
        let done = bench.engine.apply_order(bench.now, id::Epoch(1), &Order::Role(role));
        assert_eq!(done, Ok(None));
    };
    order(&mut bench, Role::Prefill);
    assert_eq!(bench.engine.begin(bench.now, job(1, 10_000, 5)), Err(Refusal::RoleMismatch));
    bench.begin(Job { keep_as: Some(handle(1, 0)), ..job(2, 10_000, 5) });
    bench.run_to_end(2);
    order(&mut bench, Role::Decode);
    assert_eq!(bench.engine.begin(bench.now, job(3, 10_000, 5)), Err(Refusal::RoleMismatch));
    bench.begin(Job { import: Some(handle(1, 0)), ..job(4, 10_000, 5) });
    bench.run_to_end(4);
}
