//! Tests of streams: what a reader gets when a fault interrupts an answer, and whether the stream
//! can be resumed.

mod fixture;

use fixture::{
    CallResult, Fault, Fixture, LONG, SHORT, generate, read_to_end, read_tokens, stream, weights,
};
use futures::StreamExt;
use hickory_model::answer::Answer;
use hickory_model::batch::Stall;
use hickory_target::engine::{Cancelled, Engines, Generate, Order};
use hickory_target::http::Tokens;
use hickory_unit::id;
use std::time::Duration;

/// An event after the fifth of ten tokens.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// The stream continues.
    Continue,
    /// The stream stalls.
    Stall,
    /// All open connections are closed.
    Cut,
    /// Another reader resumes the stream.
    Superseded,
    /// The stream is cancelled.
    Cancelled,
    /// Its weights are unloaded.
    Unloaded,
    /// A request crashes the engine.
    Crashed,
    /// A fault that the tests of short calls use as well.
    Fault(Fault),
}

async fn apply_event(fixture: &Fixture, event: Event) {
    let at = fixture.engine.address();
    match event {
        Event::Continue => fixture.engine.service().stall(Stall::None),
        Event::Stall => {}
        Event::Cut => fixture.engine.faults().cut(),
        Event::Superseded => {
            let mut newer = fixture.targets.resume(at, &stream(3), 0).await.unwrap();
            read_tokens(&mut newer, 5).await;
        }
        Event::Cancelled => {
            let cancelled = fixture.targets.cancel(at, &stream(3)).await;
            assert_eq!(cancelled, Ok(Cancelled::Stopped));
        }
        Event::Unloaded => {
            let unload = Order::Unload(weights());
            fixture.targets.order(at, id::Epoch(9), &unload).await.unwrap();
        }
        Event::Crashed => {
            fixture.engine.service().set_crash_marker(Some("poison".into()));
            fixture.engine.service().stall(Stall::After(6));
            let poison = Generate { prompt: "poison".into(), ..generate(4, 10) };
            assert_eq!(fixture.generate_to_end(&poison).await, CallResult::Unknown);
        }
        Event::Fault(fault) => fault.apply(fixture.engine.faults()),
    }
}

/// Event, result for the reader, whether the stream can be resumed.
const EVENTS: &[(Event, CallResult, bool)] = &[
    (Event::Continue, CallResult::Done, true),
    (Event::Stall, CallResult::Pending, true),
    (Event::Cut, CallResult::Unknown, true),
    (Event::Superseded, CallResult::Unknown, true),
    (Event::Cancelled, CallResult::Failed, false),
    (Event::Unloaded, CallResult::Failed, true),
    (Event::Crashed, CallResult::Unknown, false),
    (Event::Fault(Fault::Killed), CallResult::Unknown, false),
    (Event::Fault(Fault::Restarted), CallResult::Unknown, false),
    (Event::Fault(Fault::Frozen), CallResult::Pending, false),
    (Event::Fault(Fault::Silenced), CallResult::Pending, true),
];

#[tokio::test]
async fn reader_gets_the_result_of_each_event() {
    for row in EVENTS {
        let (event, expected, can_resume) = *row;
        let fixture = Fixture::open().await;
        let tokens = fixture.open_stalled(3).await;
        apply_event(&fixture, event).await;
        assert_eq!(read_to_end(Ok(tokens), expected.timeout()).await, expected, "{row:?}");
        let held = stream(3);
        let resumed = fixture.targets.resume(fixture.engine.address(), &held, 5);
        let resumed = tokio::time::timeout(if can_resume { LONG } else { SHORT }, resumed).await;
        assert_eq!(matches!(resumed, Ok(Ok(_))), can_resume, "{row:?}");
    }
}

/// Guards against a resume that repeats or skips tokens: the connection breaks after five tokens,
/// and a resume from token 5 must return exactly the rest.
#[tokio::test]
async fn resume_after_a_cut_completes_the_answer() {
    let fixture = Fixture::open().await;
    let tokens = fixture.open_stalled(3).await;
    fixture.engine.faults().cut();
    assert_eq!(read_to_end(Ok(tokens), LONG).await, CallResult::Unknown);
    let mut rest: Tokens =
        fixture.targets.resume(fixture.engine.address(), &stream(3), 5).await.unwrap();
    fixture.engine.service().stall(Stall::None);
    let text = read_tokens(&mut rest, 5).await;
    let answer = Answer::for_prompt(&generate(3, 10).prompt);
    assert_eq!(answer.text(5) + &text, answer.text(10));
    assert!(matches!(
        rest.next().await,
        Some(Ok(hickory_target::engine::Event::End { count: 10 }))
    ));
    assert!(rest.next().await.is_none());
}

/// A repeated attempt skips the tokens that the caller already has.
#[tokio::test]
async fn repeated_attempt_skips_received_tokens() {
    let fixture = Fixture::open().await;
    let again = Generate { from: 7, ..generate(3, 10) };
    let mut tokens = fixture.targets.generate(fixture.engine.address(), &again).await.unwrap();
    let first = tokens.next().await.unwrap().unwrap();
    let text = Answer::for_prompt(&again.prompt).token(7);
    assert_eq!(first, hickory_target::engine::Event::Token { seq: 7, text });
}

/// A stream without a reader keeps its KV cache on the engine until it is cancelled.
#[tokio::test]
async fn stream_without_a_reader_keeps_its_kv_cache() {
    let fixture = Fixture::open().await;
    let before = fixture.engine.service().kv_used();
    drop(fixture.open_stalled(3).await);
    let report = Engines::report(&fixture.targets, fixture.engine.address()).await.unwrap();
    assert_eq!(report.streams.len(), 1);
    assert!(report.kv_used > before);
    let cancelled = fixture.targets.cancel(fixture.engine.address(), &stream(3)).await;
    assert_eq!(cancelled, Ok(Cancelled::Stopped));
    assert_eq!(fixture.engine.service().kv_used(), before);
}

/// A frozen engine makes no progress and continues after it is thawed.
#[tokio::test]
async fn frozen_stream_continues_after_the_thaw() {
    let fixture = Fixture::open().await;
    let mut tokens = fixture.open_stalled(3).await;
    fixture.engine.faults().freeze();
    fixture.engine.service().stall(Stall::None);
    assert!(tokio::time::timeout(SHORT, tokens.next()).await.is_err());
    fixture.engine.faults().thaw();
    assert_eq!(read_to_end(Ok(tokens), LONG).await, CallResult::Done);
}

#[tokio::test]
async fn ended_stream_is_kept_for_a_limited_time() {
    let mut options = fixture::options();
    options.model.ended_retention = Duration::from_millis(100);
    let fixture = Fixture::open_with(options).await;
    let at = fixture.engine.address();
    let started = std::time::Instant::now();
    while fixture.targets.resume(at, &stream(1), 0).await.is_ok() {
        assert!(started.elapsed() < fixture::LONG, "an ended stream is kept forever");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(
        CallResult::from(fixture.targets.resume(at, &stream(1), 0).await),
        CallResult::NotFound
    );
    assert_eq!(fixture.targets.cancel(at, &stream(1)).await, Ok(Cancelled::Ended));
}

/// A prompt is prefilled on one engine and decoded on another; afterwards both have freed its KV
/// cache.
#[tokio::test]
async fn kv_cache_is_transferred_between_engines() {
    let (a, b) = (Fixture::open().await, Fixture::open().await);
    let (from, to) = (a.engine.address(), b.engine.address());
    let (used, handle) = (b.engine.service().kv_used(), fixture::handle(2));
    b.targets.drop_handle(to, &handle).await.unwrap();
    b.targets.import(to, from, &handle).await.unwrap();
    a.targets.drop_handle(from, &handle).await.unwrap();
    assert_eq!(a.engine.service().kv_used().0, 0);
    let prompt = generate(2, 1).prompt;
    let generate = Generate { prompt, import: Some(handle.clone()), ..generate(3, 10) };
    assert_eq!(b.generate_to_end(&generate).await, CallResult::Done);
    assert_eq!(b.engine.service().kv_used(), used);
    b.targets.drop_handle(to, &handle).await.unwrap();
    assert_eq!(b.engine.service().kv_used().0, 0);
}
