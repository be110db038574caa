//! Scheduling: how streams share the steps and the memory of an engine.

mod common;

use common::{TestEngine, count_generated, job, options, stream};
use hickory_model::batch::Stall;
use hickory_model::engine::{Job, Options, Refusal, State};
use hickory_target::engine::{Cancelled, Priority};
use std::time::Duration;

#[test]
fn first_token_takes_the_prefill_and_one_step() {
    // 1,000 and 100,000 tokens at 40,000 per second; the long prompt takes
    // additional time for attention over its context.
    let short = TestEngine::new(options()).time_first_token(1_000);
    assert!((0.035..0.045).contains(&short), "{short}");
    let long = TestEngine::new(options()).time_first_token(100_000);
    assert!((2.6..3.0).contains(&long), "{long}");
}

impl TestEngine {
    fn time_first_token(mut self, prompt: u64) -> f64 {
        self.begin(job(1, prompt, 10));
        self.run_to_first_token(1).as_secs_f64()
    }
}

#[test]
fn speed_divides_all_time() {
    let slow = TestEngine::new(options()).time_first_token(10_000);
    let fast = TestEngine::new(Options { speed: 100.0, ..options() }).time_first_token(10_000);
    assert!((slow / fast - 100.0).abs() < 0.1, "{slow} {fast}");
}

#[test]
fn greater_priority_prefills_first() {
    let mut test = TestEngine::new(options());
    test.begin(job(1, 400_000, 10));
    test.advance_by(Duration::from_millis(100));
    test.begin(Job { priority: Priority(2), ..job(2, 1_000, 10) });
    let time = test.run_to_first_token(2);
    assert_eq!(count_generated(&test.engine, 1), 0);
    assert!(time < Duration::from_millis(300), "{time:?}");
}

#[test]
fn equal_priority_is_first_in_first_out() {
    // A short prompt waits for a long one of the same priority ahead of it
    // (head-of-line blocking), which placement has to avoid.
    let mut test = TestEngine::new(options());
    test.begin(job(1, 100_000, 10));
    test.begin(job(2, 1_000, 10));
    test.run_to_first_token(2);
    assert!(count_generated(&test.engine, 1) > 0);
}

#[test]
fn decode_continues_during_a_long_prefill() {
    let mut test = TestEngine::new(options());
    test.begin(job(1, 1_000, 1_000));
    test.run_to_first_token(1);
    test.begin(job(2, 100_000, 1));
    let (before, from) = (count_generated(&test.engine, 1), test.now);
    test.run_to_first_token(2);
    let tokens = count_generated(&test.engine, 1) - before;
    let gap = (test.now - from).as_secs_f64() / tokens as f64;
    // A chunk of 2,048 tokens takes at least 51 ms in addition to the decode.
    assert!((0.05..0.1).contains(&gap), "{gap}");
}

#[test]
fn steps_grow_with_the_batch_and_the_context() {
    let one = time_tokens(1, 1_000);
    let many = time_tokens(60, 1_000);
    let deep = time_tokens(1, 400_000);
    assert!(many > one * 1.5, "{one} {many}");
    assert!(deep > one * 1.5, "{one} {deep}");
}

/// Returns the time per token in seconds while `streams` streams with the given
/// prompt length decode.
fn time_tokens(streams: u128, prompt: u64) -> f64 {
    let mut test = TestEngine::new(options());
    (0..streams).for_each(|n| test.begin(job(n, prompt, 200)));
    (0..streams).for_each(|n| {
        test.run_to_first_token(n);
    });
    let (from, before) = (test.now, count_generated(&test.engine, 0));
    test.run_until(|engine| count_generated(engine, 0) == before + 20);
    (test.now - from).as_secs_f64() / 20.0
}

#[test]
fn full_memory_makes_streams_wait() {
    let mut test = TestEngine::new(options());
    test.begin(job(1, 300_000, 100));
    test.begin(job(2, 300_000, 100));
    test.begin(job(3, 1_000, 100));
    assert_eq!(test.state(2), Some(State::Waiting));
    assert_eq!(test.state(3), Some(State::Waiting), "blocked by the stream that does not fit");
    assert_eq!(test.engine.cancel(test.now, &stream(1)), Cancelled::Stopped);
    test.run_to_first_token(3);
    assert_eq!(test.state(2), Some(State::Running));
}

#[test]
fn streams_beyond_the_batch_wait() {
    let mut test = TestEngine::new(Options { max_streams: 2, ..options() });
    (0..3).for_each(|n| test.begin(job(n, 100, 5)));
    test.run_to_first_token(1);
    assert_eq!(test.state(2), Some(State::Waiting));
    test.run_to_end(2);
    assert_eq!(test.used_tokens(), 0);
}

#[test]
fn refuses_oversized_and_duplicate_streams() {
    let mut test = TestEngine::new(options());
    assert_eq!(test.engine.begin(test.now, job(1, 450_000, 1)), Err(Refusal::TooLong));
    test.begin(job(2, 100, 1));
    assert_eq!(test.engine.begin(test.now, job(2, 100, 1)), Err(Refusal::Duplicate));
    test.run_to_end(2);
    assert_eq!(test.engine.begin(test.now, job(2, 100, 1)), Err(Refusal::Duplicate));
}

#[test]
fn stream_cancelled_before_it_began_is_always_refused() {
    let mut test = TestEngine::new(options());
    assert_eq!(test.engine.cancel(test.now, &stream(1)), Cancelled::NeverBegun);
    test.advance_by(Duration::from_secs(3_600));
    assert_eq!(test.engine.begin(test.now, job(1, 100, 1)), Err(Refusal::Cancelled));
}

#[test]
fn ended_stream_frees_memory_at_once_and_is_kept_for_a_while() {
    let mut test = TestEngine::new(options());
    test.begin(job(1, 1_000, 10));
    test.run_to_end(1);
    assert_eq!((test.used_tokens(), test.state(1)), (0, Some(State::Ended)));
    test.advance_by(options().ended_retention);
    assert_eq!(test.state(1), None);
    assert_eq!(test.engine.cancel(test.now, &stream(1)), Cancelled::Ended);
}

#[test]
fn stalled_streams_hold_their_memory_until_cancelled() {
    for (stall, seen) in [(Stall::After(0), 0), (Stall::After(5), 5)] {
        let mut test = TestEngine::new(options());
        test.engine.set_stall(test.now, stall);
        test.begin(job(1, 1_000, 10));
        test.advance_by(Duration::from_secs(3_600));
        assert_eq!(count_generated(&test.engine, 1), seen);
        assert_eq!(test.used_tokens(), 1_010);
        test.engine.cancel(test.now, &stream(1));
        assert_eq!(test.used_tokens(), 0);
    }
}

#[test]
fn stall_can_end() {
    let mut test = TestEngine::new(options());
    test.engine.set_stall(test.now, Stall::After(5));
    test.begin(job(1, 1_000, 10));
    test.advance_by(Duration::from_secs(3_600));
    test.engine.set_stall(test.now, Stall::None);
    test.run_to_end(1);
    assert_eq!(count_generated(&test.engine, 1), 10);
}

#[test]
fn poisoned_prompt_crashes_the_engine_when_it_runs() {
    let mut test = TestEngine::new(Options { max_streams: 1, ..options() });
    test.begin(job(1, 1_000, 10));
    test.begin(Job { crashes_engine: true, ..job(2, 1_000, 10) });
    test.run_to_end(1);
    assert!(!test.engine.is_crashed());
    test.run_until(|engine| engine.is_crashed());
    assert_eq!(test.engine.next_step(), None);
    assert_eq!(test.engine.begin(test.now, job(3, 1, 1)), Err(Refusal::Crashed));
}
