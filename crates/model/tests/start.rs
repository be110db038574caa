//! Cold starts, load reports, weights and orders.

mod common;

use common::{Bench, job, options, weights};
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
        let mut bench = Bench::open(options);
        bench.begin(job(1, 2_000, 1));
        bench.run_to_end(1).as_secs_f64()
    };
    let (warm, cold) = (time(options()), time(cold()));
    assert!(cold > 4.0 * warm, "{cold} {warm}");
}

#[test]
fn warms_faster_under_work() {
    let mut idle = Bench::open(cold());
    idle.pass(Duration::from_secs(10));
    let mut busy = Bench::open(cold());
    busy.begin(job(1, 100, 100_000));
    busy.pass(Duration::from_secs(10));
    let warmth = |bench: &Bench| bench.engine.current_report().warmth;
    assert_eq!((warmth(&idle), warmth(&busy)), (8, 33));
    idle.pass(Duration::from_secs(120));
    assert_eq!(warmth(&idle), 100);
}

#[test]
fn cold_engine_falls_over_under_more_than_it_bears() {
    let mut bench = Bench::open(cold());
    let bears = bench.engine.stream_capacity();
    assert_eq!(bears, 7);
    (0..u128::from(bears)).for_each(|n| bench.begin(job(n, 100, 100)));
    assert_eq!(bench.engine.begin(bench.now, job(99, 100, 100)), Err(Refusal::Crashed));
    assert!(bench.engine.is_crashed());
}

#[test]
fn sturdy_cold_engine_counts_overloads() {
    let mut bench = Bench::open(Options { crashes_on_overload: false, ..cold() });
    (0..10).for_each(|n| bench.begin(job(n, 100, 100)));
    assert_eq!(bench.engine.counts().overloads, 3);
    assert!(!bench.engine.is_crashed());
}

#[test]
fn warm_engine_queues_any_number() {
    let mut bench = Bench::open(options());
    (0..500).for_each(|n| bench.begin(job(n, 100, 10)));
    bench.run_to_end(499);
    assert_eq!(bench.engine.counts().overloads, 0);
}

#[test]
fn silent_return_to_cold_is_forgiven_until_it_can_be_known() {
    let mut bench = Bench::open(options());
    (0..30).for_each(|n| bench.begin(job(n, 100, 10_000)));
    bench.engine.turn_cold(bench.now);
    bench.begin(job(30, 100, 10_000));
    bench.pass(options().cold_detection_time);
    assert_eq!(bench.engine.begin(bench.now, job(31, 100, 100)), Err(Refusal::Crashed));
}

#[test]
fn report_lags_behind() {
    let lag = Duration::from_millis(200);
    let mut bench = Bench::open(Options { report_lag: lag, ..options() });
    bench.begin(job(1, 10_000, 10_000));
    assert_eq!(bench.engine.report(bench.now).streams.len(), 0);
    bench.pass(lag / 2);
    assert_eq!(bench.engine.report(bench.now).streams.len(), 0);
    bench.pass(lag);
    let report = bench.engine.report(bench.now);
    assert_eq!((report.streams.len(), report.kv_used), (1, size::Tokens(20_000)));
}

fn other(adapter: Option<&str>) -> Weights {
    let adapter = adapter.map(Into::into);
    Weights { model: "n".into(), version: "1".into(), adapter }
}

fn order(bench: &mut Bench, fence: u64, order: Order) -> Result<Option<Fetch>, Refusal> {
    bench.engine.apply_order(bench.now, id::Epoch(fence), &order)
}

#[test]
fn weights_serve_once_they_are_read() {
    let mut bench = Bench::open(options());
    let wanted = |n| hickory_model::engine::Job { weights: other(None), ..job(n, 100, 10) };
    assert_eq!(bench.engine.begin(bench.now, wanted(1)), Err(Refusal::NotLoaded));
    let fetch = order(&mut bench, 1, Order::Load(other(None))).unwrap().unwrap();
    assert_eq!(fetch.bytes, options().model_bytes);
    assert_eq!(bench.engine.begin(bench.now, wanted(1)), Err(Refusal::NotLoaded));
    bench.engine.finish_load(&fetch.weights);
    assert_eq!(order(&mut bench, 1, Order::Load(other(None))), Ok(None), "loaded already");
    bench.begin(wanted(1));
    let adapter = order(&mut bench, 1, Order::Load(other(Some("x")))).unwrap().unwrap();
    assert_eq!(adapter.bytes, options().adapter_bytes, "beside the model it lies over");
}

#[test]
fn unload_ends_the_streams_that_use_the_weights() {
    let mut bench = Bench::open(options());
    bench.begin(job(1, 100, 10));
    order(&mut bench, 1, Order::Unload(weights())).unwrap();
    assert_eq!(bench.state(1), Some(State::Failed(Failure::Unloaded)));
    assert_eq!(bench.used(), 0);
}

#[test]
fn holds_a_bounded_number_of_weights() {
    let mut bench = Bench::open(Options { max_weights: 1, ..options() });
    assert_eq!(order(&mut bench, 1, Order::Load(other(None))), Err(Refusal::NoRoom));
    order(&mut bench, 1, Order::Unload(weights())).unwrap();
    assert!(order(&mut bench, 1, Order::Load(other(None))).is_ok());
}

#[test]
fn fencing_numbers_are_checked_or_ignored() {
    for (fencing, late) in [(true, Err(Refusal::StaleFence)), (false, Ok(None))] {
        let mut bench = Bench::open(Options { checks_fence: fencing, ..options() });
        order(&mut bench, 5, Order::Pin(1)).unwrap();
        assert_eq!(order(&mut bench, 4, Order::Unpin(1)), late);
        assert_eq!(order(&mut bench, 5, Order::Pin(2)), Ok(None));
        let fence = bench.engine.current_report().fence;
        assert_eq!(fence, fencing.then_some(id::Epoch(5)));
    }
}

#[test]
fn weight_store_shares_one_rate_and_refuses_what_is_beyond() {
    let now = Instant::now();
    let mut limiter = ReadLimiter::new(size::Bytes(100), 2);
    assert_eq!(limiter.start_read(now, size::Bytes(100)), Ok(Duration::from_secs(1)));
    assert_eq!(limiter.start_read(now, size::Bytes(100)), Ok(Duration::from_secs(2)));
    assert_eq!(limiter.start_read(now, size::Bytes(100)), Err(Busy));
    let later = now + Duration::from_secs(1);
    assert_eq!(limiter.start_read(later, size::Bytes(100)), Ok(Duration::from_secs(2)));
}
