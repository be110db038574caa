//! Cold starts, load reports, weights and orders.

mod common;

use common::{TestEngine, job, options, weights};
use hickory_model::engine::{Failure, Options, Refusal, State};
use hickory_model::loading::Fetch;
use hickory_model::read_limiter::{Busy, ReadLimiter};
use hickory_target::engine::{Order, Weights};
use hickory_unit::{id, size};
use std::time::{Duration, Instant};

fn cold() -> Options {
    Options { warmth: 0, ..options() }
}

#[test]
fn cold_engine_is_several_times_slower() {
    let time = |options| {
        let mut test = TestEngine::new(options);
        test.begin(job(1, 2_000, 1));
        test.run_to_end(1).as_secs_f64()
    };
    let (warm, cold) = (time(options()), time(cold()));
    assert!(cold > 4.0 * warm, "{cold} {warm}");
}

#[test]
fn warms_faster_under_work() {
    let mut idle = TestEngine::new(cold());
    idle.advance_by(Duration::from_secs(10));
    let mut busy = TestEngine::new(cold());
    busy.begin(job(1, 100, 100_000));
    busy.advance_by(Duration::from_secs(10));
    let warmth = |test: &TestEngine| test.engine.current_report().warmth;
    assert_eq!((warmth(&idle), warmth(&busy)), (8, 33));
    idle.advance_by(Duration::from_secs(120));
    assert_eq!(warmth(&idle), 100);
}

#[test]
fn overloaded_cold_engine_crashes() {
    let mut test = TestEngine::new(cold());
    let capacity = test.engine.stream_capacity();
    assert_eq!(capacity, 7);
    (0..u128::from(capacity)).for_each(|n| test.begin(job(n, 100, 100)));
    assert_eq!(test.engine.begin(test.now, job(99, 100, 100)), Err(Refusal::Crashed));
    assert!(test.engine.is_crashed());
}

#[test]
fn cold_engine_without_crashes_counts_overloads() {
    let mut test = TestEngine::new(Options { crashes_on_overload: false, ..cold() });
    (0..10).for_each(|n| test.begin(job(n, 100, 100)));
    assert_eq!(test.engine.counts().overloads, 3);
    assert!(!test.engine.is_crashed());
}

#[test]
fn warm_engine_queues_any_number() {
    let mut test = TestEngine::new(options());
    (0..500).for_each(|n| test.begin(job(n, 100, 10)));
    test.run_to_end(499);
    assert_eq!(test.engine.counts().overloads, 0);
}

#[test]
fn overload_after_turning_cold_is_tolerated_until_it_is_detectable() {
    let mut test = TestEngine::new(options());
    (0..30).for_each(|n| test.begin(job(n, 100, 10_000)));
    test.engine.turn_cold(test.now);
    test.begin(job(30, 100, 10_000));
    test.advance_by(options().cold_detection_time);
    assert_eq!(test.engine.begin(test.now, job(31, 100, 100)), Err(Refusal::Crashed));
}

#[test]
fn report_lags_behind() {
    let lag = Duration::from_millis(200);
    let mut test = TestEngine::new(Options { report_lag: lag, ..options() });
    test.begin(job(1, 10_000, 10_000));
    assert_eq!(test.engine.report(test.now).streams.len(), 0);
    test.advance_by(lag / 2);
    assert_eq!(test.engine.report(test.now).streams.len(), 0);
    test.advance_by(lag);
    let report = test.engine.report(test.now);
    assert_eq!((report.streams.len(), report.kv_used), (1, size::Tokens(20_000)));
}

fn other(adapter: Option<&str>) -> Weights {
    let adapter = adapter.map(Into::into);
    Weights { model: "n".into(), version: "1".into(), adapter }
}

fn order(test: &mut TestEngine, fence: u64, order: Order) -> Result<Option<Fetch>, Refusal> {
    test.engine.apply_order(test.now, id::Epoch(fence), &order)
}

#[test]
fn weights_are_usable_once_they_are_read() {
    let mut test = TestEngine::new(options());
    let wanted = |n| hickory_model::engine::Job { weights: other(None), ..job(n, 100, 10) };
    assert_eq!(test.engine.begin(test.now, wanted(1)), Err(Refusal::NotLoaded));
    let fetch = order(&mut test, 1, Order::Load(other(None))).unwrap().unwrap();
    assert_eq!(fetch.bytes, options().model_bytes);
    assert_eq!(test.engine.begin(test.now, wanted(1)), Err(Refusal::NotLoaded));
    test.engine.finish_load(&fetch.weights);
    assert_eq!(order(&mut test, 1, Order::Load(other(None))), Ok(None), "loaded already");
    test.begin(wanted(1));
    let adapter = order(&mut test, 1, Order::Load(other(Some("x")))).unwrap().unwrap();
    assert_eq!(adapter.bytes, options().adapter_bytes, "the model is already loaded");
}

#[test]
fn unload_ends_the_streams_that_use_the_weights() {
    let mut test = TestEngine::new(options());
    test.begin(job(1, 100, 10));
    order(&mut test, 1, Order::Unload(weights())).unwrap();
    assert_eq!(test.state(1), Some(State::Failed(Failure::Unloaded)));
    assert_eq!(test.used_tokens(), 0);
}

#[test]
fn holds_a_bounded_number_of_weights() {
    let mut test = TestEngine::new(Options { max_weights: 1, ..options() });
    assert_eq!(order(&mut test, 1, Order::Load(other(None))), Err(Refusal::NoRoom));
    order(&mut test, 1, Order::Unload(weights())).unwrap();
    assert!(order(&mut test, 1, Order::Load(other(None))).is_ok());
}

#[test]
fn fencing_epochs_are_checked_or_ignored() {
    for (fencing, late) in [(true, Err(Refusal::StaleFence)), (false, Ok(None))] {
        let mut test = TestEngine::new(Options { checks_fence: fencing, ..options() });
        order(&mut test, 5, Order::Pin(1)).unwrap();
        assert_eq!(order(&mut test, 4, Order::Unpin(1)), late);
        assert_eq!(order(&mut test, 5, Order::Pin(2)), Ok(None));
        let fence = test.engine.current_report().fence;
        assert_eq!(fence, fencing.then_some(id::Epoch(5)));
    }
}

#[test]
fn read_limiter_shares_one_rate_and_refuses_further_reads() {
    let now = Instant::now();
    let mut limiter = ReadLimiter::new(size::Bytes(100), 2);
    assert_eq!(limiter.start_read(now, size::Bytes(100)), Ok(Duration::from_secs(1)));
    assert_eq!(limiter.start_read(now, size::Bytes(100)), Ok(Duration::from_secs(2)));
    assert_eq!(limiter.start_read(now, size::Bytes(100)), Err(Busy));
    let later = now + Duration::from_secs(1);
    assert_eq!(limiter.start_read(later, size::Bytes(100)), Ok(Duration::from_secs(2)));
}
