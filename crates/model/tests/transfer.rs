//! KV caches under handles: kept, exported, imported, and distributed over engines.

mod common;

use common::{TestEngine, handle, job, job_with_prompt, options, stream, text};
use hickory_model::engine::{Failure, Job, Refusal, State};
use hickory_target::engine::Role;
use hickory_target::engine::{Cancelled, Order};
use hickory_unit::{id, size};
use std::net::SocketAddr;
use std::time::Duration;

fn address() -> SocketAddr {
    "127.0.0.1:1".parse().unwrap()
}

/// Copies or links a handle from one engine to another and waits until it is
/// complete.
fn import(from: &TestEngine, to: &mut TestEngine, number: u128, part: u32) -> Duration {
    let handle = handle(number, part);
    let export = from.engine.export(&handle).expect("the handle is kept");
    let time = to.engine.import(to.now, &handle, export, address()).expect("the import fits");
    to.advance_by(time);
    to.engine.finish_import(&handle);
    time
}

#[test]
fn prefill_and_decode_on_different_engines() {
    let (mut a, mut b) = (TestEngine::new(options()), TestEngine::new(options()));
    let prompt = text('a', 40);
    a.begin(Job { keep_as: Some(handle(1, 0)), ..job_with_prompt(1, &prompt, 10) });
    a.run_to_end(1);
    assert_eq!(a.engine.progress(&stream(1)).unwrap().generated, 0);
    assert_eq!(a.used_tokens(), 40 * 256);
    let time = import(&a, &mut b, 1, 0);
    assert!(time > Duration::ZERO);
    a.engine.drop_handle(a.now, &handle(1, 0));
    assert_eq!(a.used_tokens(), 0);
    let missed = b.engine.counts().cache_misses;
    b.begin(Job { import: Some(handle(1, 0)), ..job_with_prompt(1, &prompt, 10) });
    b.engine.drop_handle(b.now, &handle(1, 0));
    assert!(b.used_tokens() > 40 * 256, "dropped, but in use");
    b.run_to_end(1);
    assert_eq!(b.engine.counts().cache_misses - missed, 1);
    assert_eq!(b.used_tokens(), 0);
}

#[test]
fn handle_of_another_prompt_is_refused() {
    let mut a = TestEngine::new(options());
    a.begin(Job { keep_as: Some(handle(1, 0)), ..job_with_prompt(1, &text('a', 4), 10) });
    a.run_to_end(1);
    let other = Job { import: Some(handle(1, 0)), ..job_with_prompt(2, &text('b', 4), 10) };
    assert_eq!(a.engine.begin(a.now, other), Err(Refusal::UnknownHandle));
    let unknown = Job { import: Some(handle(9, 0)), ..job_with_prompt(3, &text('a', 4), 10) };
    assert_eq!(a.engine.begin(a.now, unknown), Err(Refusal::UnknownHandle));
}

#[test]
fn copy_can_not_be_used_before_it_is_complete() {
    let (mut a, mut b) = (TestEngine::new(options()), TestEngine::new(options()));
    a.begin(Job { keep_as: Some(handle(1, 0)), ..job(1, 100_000, 1) });
    a.run_to_end(1);
    let export = a.engine.export(&handle(1, 0)).unwrap();
    b.engine.import(b.now, &handle(1, 0), export, address()).unwrap();
    let early = Job { import: Some(handle(1, 0)), ..job(2, 100_000, 1) };
    assert_eq!(b.engine.begin(b.now, early), Err(Refusal::UnknownHandle));
    assert_eq!(b.used_tokens(), 100_000, "reserved from the start of the copy");
}

/// Distributes a prompt of a million tokens over three engines. Each holds its
/// part, and the last one generates with links to the others.
fn spread_prompt() -> [TestEngine; 3] {
    let mut engines = [(); 3].map(|()| TestEngine::new(options()));
    for part in 0..3_u32 {
        let number = u128::from(part);
        if part > 0 {
            let (before, after) = engines.split_at_mut(part as usize);
            let time = import(&before[part as usize - 1], &mut after[0], 7, part - 1);
            assert_eq!(time, Duration::ZERO, "linked, not copied");
        }
        let test = &mut engines[part as usize];
        let imported = part.checked_sub(1).map(|before| handle(7, before));
        let prompt = [350_000, 700_000, 1_000_000][part as usize];
        let keep = (part < 2).then(|| handle(7, part));
        test.begin(Job { import: imported, keep_as: keep, ..job(number, prompt, 20) });
        if part < 2 {
            test.run_to_end(number);
        }
    }
    engines
}

#[test]
fn prompt_larger_than_one_engine_is_spread() {
    let mut engines = spread_prompt();
    engines[2].run_to_end(2);
    assert_eq!(engines[2].engine.progress(&stream(2)).unwrap().generated, 20);
    assert_eq!(engines[0].used_tokens(), 350_000);
    assert_eq!(engines[1].used_tokens(), 350_000);
    for (test, parts) in engines.iter_mut().zip([vec![0], vec![1, 0], vec![1]]) {
        for part in parts {
            test.engine.drop_handle(test.now, &handle(7, part));
        }
        assert_eq!(test.used_tokens(), 0);
    }
}

#[test]
fn spread_prompt_fails_when_a_part_is_lost() {
    let mut engines = spread_prompt();
    let links = engines[2].engine.links();
    let parts: Vec<u32> = links.iter().map(|link| link.handle.part).collect();
    assert_eq!(parts, [0, 1]);
    let now = engines[2].now;
    engines[2].engine.lose_link(now, &handle(7, 0));
    assert_eq!(engines[2].state(2), Some(State::Failed(Failure::LinkedCacheLost)));
    engines[2].engine.drop_handle(now, &handle(7, 1));
    assert_eq!(engines[2].used_tokens(), 0);
    assert_eq!(engines[2].engine.cancel(now, &stream(2)), Cancelled::Ended);
}

#[test]
fn base_of_a_kept_cache_stays_with_it() {
    let mut a = TestEngine::new(options());
    a.begin(Job { keep_as: Some(handle(1, 0)), ..job(1, 10_000, 1) });
    a.run_to_end(1);
    let further =
        Job { import: Some(handle(1, 0)), keep_as: Some(handle(1, 1)), ..job(2, 30_000, 1) };
    a.begin(further);
    a.run_to_end(2);
    a.engine.drop_handle(a.now, &handle(1, 0));
    assert_eq!(a.used_tokens(), 30_000);
    assert_eq!(a.engine.export(&handle(1, 1)).unwrap().own, size::Tokens(30_000));
    a.engine.drop_handle(a.now, &handle(1, 1));
    assert_eq!(a.used_tokens(), 0);
}

#[test]
fn roles_accept_only_their_jobs() {
    let mut test = TestEngine::new(options());
    let order = |test: &mut TestEngine, role| {
        let done = test.engine.apply_order(test.now, id::Epoch(1), &Order::Role(role));
        assert_eq!(done, Ok(None));
    };
    order(&mut test, Role::Prefill);
    assert_eq!(test.engine.begin(test.now, job(1, 10_000, 5)), Err(Refusal::RoleMismatch));
    test.begin(Job { keep_as: Some(handle(1, 0)), ..job(2, 10_000, 5) });
    test.run_to_end(2);
    order(&mut test, Role::Decode);
    assert_eq!(test.engine.begin(test.now, job(3, 10_000, 5)), Err(Refusal::RoleMismatch));
    test.begin(Job { import: Some(handle(1, 0)), ..job(4, 10_000, 5) });
    test.run_to_end(4);
}
