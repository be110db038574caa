//! The contract of streams: what a reader gets when something happens in the
//! middle of an answer, and how the rest is taken up.

mod scene;

use futures::StreamExt;
use hickory_model::answer::Answer;
use hickory_model::batch::Stall;
use hickory_target::engine::{Cancelled, Engines, Generate, Order};
use hickory_target::http::Tokens;
use hickory_unit::id;
use scene::{Fault, LONG, SHORT, Scene, Told, generate, read_to_end, read_tokens, stream, weights};
use std::time::Duration;

/// What happens after the fifth of ten tokens.
#[derive(Clone, Copy, Debug)]
enum Event {
    /// Nothing: the stream goes on.
    GoOn,
    /// Nothing: the stream stands still.
    Stall,
    /// All open connections are cut.
    Cut,
    /// Another reader takes up the stream.
    Superseded,
    /// It is cancelled.
    Cancelled,
    /// Its weights are unloaded.
    Unloaded,
    /// A request crashes the engine.
    Crashed,
    /// A fault that the contract of short calls has, too.
    Fault(Fault),
}

async fn happen(scene: &Scene, event: Event) {
    let at = scene.engine.address();
    match event {
        Event::GoOn => scene.engine.service().stall(Stall::None),
        Event::Stall => {}
        Event::Cut => scene.engine.faults().cut(),
        Event::Superseded => {
            let mut newer = scene.targets.resume(at, &stream(3), 0).await.unwrap();
            read_tokens(&mut newer, 5).await;
        }
        Event::Cancelled => {
            let cancelled = scene.targets.cancel(at, &stream(3)).await;
            assert_eq!(cancelled, Ok(Cancelled::Stopped));
        }
        Event::Unloaded => {
            let unload = Order::Unload(weights());
            scene.targets.order(at, id::Epoch(9), &unload).await.unwrap();
        }
        Event::Crashed => {
            scene.engine.service().set_crash_marker(Some("poison".into()));
            scene.engine.service().stall(Stall::After(6));
            let poison = Generate { prompt: "poison".into(), ..generate(4, 10) };
            assert_eq!(scene.read_new(&poison).await, Told::Unknown);
        }
        Event::Fault(fault) => fault.apply(scene.engine.faults()),
    }
}

/// What happens, what the reader is told, whether the stream can be taken up.
const EVENTS: &[(Event, Told, bool)] = &[
    (Event::GoOn, Told::Done, true),
    (Event::Stall, Told::Pending, true),
    (Event::Cut, Told::Unknown, true),
    (Event::Superseded, Told::Unknown, true),
    (Event::Cancelled, Told::Failed, false),
    (Event::Unloaded, Told::Failed, true),
    (Event::Crashed, Told::Unknown, false),
    (Event::Fault(Fault::Killed), Told::Unknown, false),
    (Event::Fault(Fault::Restarted), Told::Unknown, false),
    (Event::Fault(Fault::Frozen), Told::Pending, false),
    (Event::Fault(Fault::Silenced), Told::Pending, true),
];

#[tokio::test]
async fn reader_is_told_what_happened() {
    for row in EVENTS {
        let (event, told, resumes) = *row;
        let scene = Scene::open().await;
        let tokens = scene.hold(3).await;
        happen(&scene, event).await;
        assert_eq!(read_to_end(Ok(tokens), told.patience()).await, told, "{row:?}");
        let held = stream(3);
        let resumed = scene.targets.resume(scene.engine.address(), &held, 5);
        let resumed = tokio::time::timeout(if resumes { LONG } else { SHORT }, resumed).await;
        assert_eq!(matches!(resumed, Ok(Ok(_))), resumes, "{row:?}");
    }
}

/// The caller sees the rest of the answer, not the answer from its start: the
/// connection is cut after five tokens, the stream lives on, and a resume
/// from the sixth brings what is missing.
#[tokio::test]
async fn answer_is_whole_over_a_cut() {
    let scene = Scene::open().await;
    let tokens = scene.hold(3).await;
    scene.engine.faults().cut();
    assert_eq!(read_to_end(Ok(tokens), LONG).await, Told::Unknown);
    let mut rest: Tokens =
        scene.targets.resume(scene.engine.address(), &stream(3), 5).await.unwrap();
    scene.engine.service().stall(Stall::None);
    let text = read_tokens(&mut rest, 5).await;
    let answer = Answer::for_prompt(&generate(3, 10).prompt);
    assert_eq!(answer.text(5) + &text, answer.text(10));
    assert!(matches!(
        rest.next().await,
        Some(Ok(hickory_target::engine::Event::End { count: 10 }))
    ));
    assert!(rest.next().await.is_none());
}

/// A repeated attempt skips the tokens that the caller has.
#[tokio::test]
async fn repeated_attempt_starts_where_the_caller_is() {
    let scene = Scene::open().await;
    let again = Generate { from: 7, ..generate(3, 10) };
    let mut tokens = scene.targets.generate(scene.engine.address(), &again).await.unwrap();
    let first = tokens.next().await.unwrap().unwrap();
    let text = Answer::for_prompt(&again.prompt).token(7);
    assert_eq!(first, hickory_target::engine::Event::Token { seq: 7, text });
}

/// The engine loses memory while nobody reads: its stream stays after the
/// reader has gone, until it is cancelled.
#[tokio::test]
async fn stream_without_a_reader_holds_its_memory() {
    let scene = Scene::open().await;
    let before = scene.engine.service().kv_used();
    drop(scene.hold(3).await);
    let report = Engines::report(&scene.targets, scene.engine.address()).await.unwrap();
    assert_eq!(report.streams.len(), 1);
    assert!(report.kv_used > before);
    let cancelled = scene.targets.cancel(scene.engine.address(), &stream(3)).await;
    assert_eq!(cancelled, Ok(Cancelled::Stopped));
    assert_eq!(scene.engine.service().kv_used(), before);
}

/// A frozen engine does nothing meanwhile, and goes on where it was.
#[tokio::test]
async fn frozen_stream_goes_on_after_the_thaw() {
    let scene = Scene::open().await;
    let mut tokens = scene.hold(3).await;
    scene.engine.faults().freeze();
    scene.engine.service().stall(Stall::None);
    assert!(tokio::time::timeout(SHORT, tokens.next()).await.is_err());
    scene.engine.faults().thaw();
    assert_eq!(read_to_end(Ok(tokens), LONG).await, Told::Done);
}

#[tokio::test]
async fn ended_stream_can_be_read_for_a_while() {
    let mut options = scene::options();
    options.model.ended_retention = Duration::from_millis(100);
    let scene = Scene::open_with(options).await;
    let at = scene.engine.address();
    let started = std::time::Instant::now();
    while scene.targets.resume(at, &stream(1), 0).await.is_ok() {
        assert!(started.elapsed() < scene::LONG, "an ended stream is kept for good");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(Told::from(scene.targets.resume(at, &stream(1), 0).await), Told::NotFound);
    assert_eq!(scene.targets.cancel(at, &stream(1)).await, Ok(Cancelled::Ended));
}

/// A prompt is prefilled here and generated there; the memory of both comes
/// back.
#[tokio::test]
async fn cache_moves_between_engines() {
    let (a, b) = (Scene::open().await, Scene::open().await);
    let (from, to) = (a.engine.address(), b.engine.address());
    let (used, handle) = (b.engine.service().kv_used(), scene::handle(2));
    b.targets.drop_handle(to, &handle).await.unwrap();
    b.targets.import(to, from, &handle).await.unwrap();
    a.targets.drop_handle(from, &handle).await.unwrap();
    assert_eq!(a.engine.service().kv_used().0, 0);
    let prompt = generate(2, 1).prompt;
    let generate = Generate { prompt, import: Some(handle.clone()), ..generate(3, 10) };
    assert_eq!(b.read_new(&generate).await, Told::Done);
    assert_eq!(b.engine.service().kv_used(), used);
    b.targets.drop_handle(to, &handle).await.unwrap();
    assert_eq!(b.engine.service().kv_used().0, 0);
}
