//! Tests of the target interfaces over HTTP: the result of each call under each fault, and whether
//! the target acted on it.

mod fixture;

use fixture::{CallResult, Fault, Fixture, LONG, generate, open_targets};
use hickory_target::Error;
use hickory_target::engine::{Cancelled, Engines, Order};
use hickory_target::service::{Call, Services};
use hickory_unit::{id, size};
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
enum Action {
    Generate,
    /// A request for more tokens than the engine can hold.
    GenerateLong,
    /// A request for weights that are not loaded.
    GenerateNotLoaded,
    /// A stream that was started before.
    GenerateAgain,
    /// A stream that was cancelled before it was sent.
    GenerateCancelled,
    /// An import of a KV cache that the engine does not hold.
    GenerateNoCache,
    Resume,
    ResumeUnknown,
    Cancel,
    Report,
    Order,
    /// An order with a fencing epoch lower than the greatest one seen.
    OrderStale,
    CacheEvents,
    ImportUnknown,
    Drop,
    DropUnknown,
}

async fn perform(fixture: &Fixture, action: Action) -> CallResult {
    let (targets, at) = (&fixture.targets, fixture.engine.address());
    let new = generate(9, 3);
    match action {
        Action::Generate => fixture.generate_to_end(&new).await,
        Action::GenerateLong => {
            let max_tokens = size::Tokens(1_000_000);
            fixture.generate_to_end(&hickory_target::engine::Generate { max_tokens, ..new }).await
        }
        Action::GenerateNotLoaded => {
            let mut other = new;
            other.weights.model = "unknown".into();
            fixture.generate_to_end(&other).await
        }
        Action::GenerateAgain => fixture.generate_to_end(&generate(1, 10)).await,
        Action::GenerateCancelled => {
            let cancelled = targets.cancel(at, &new.stream).await;
            assert_eq!(cancelled, Ok(Cancelled::NeverBegun));
            fixture.generate_to_end(&new).await
        }
        Action::GenerateNoCache => {
            let import = Some(fixture::handle(8));
            fixture.generate_to_end(&hickory_target::engine::Generate { import, ..new }).await
        }
        Action::Resume => {
            let opened = targets.resume(at, &fixture::stream(1), 0).await;
            fixture::read_to_end(opened, fixture.timeout).await
        }
        Action::ResumeUnknown => targets.resume(at, &new.stream, 0).await.into(),
        Action::Cancel => targets.cancel(at, &new.stream).await.into(),
        Action::Report => Engines::report(targets, at).await.into(),
        Action::Order => targets.order(at, id::Epoch(5), &Order::Pin(1)).await.into(),
        Action::OrderStale => targets.order(at, id::Epoch(1), &Order::Pin(1)).await.into(),
        Action::CacheEvents => targets.cache_events(at, 0).await.into(),
        Action::ImportUnknown => targets.import(at, at, &fixture::handle(8)).await.into(),
        Action::Drop => targets.drop_handle(at, &fixture::handle(2)).await.into(),
        Action::DropUnknown => targets.drop_handle(at, &fixture::handle(8)).await.into(),
    }
}

/// Fault, call, its result, whether stream 9 was started.
const ENGINE: &[(Fault, Action, CallResult, bool)] = &[
    (Fault::None, Action::Generate, CallResult::Done, true),
    (Fault::None, Action::GenerateLong, CallResult::Refused, false),
    (Fault::None, Action::GenerateNotLoaded, CallResult::Refused, false),
    (Fault::None, Action::GenerateAgain, CallResult::Refused, false),
    (Fault::None, Action::GenerateCancelled, CallResult::Refused, false),
    (Fault::None, Action::GenerateNoCache, CallResult::Refused, false),
    (Fault::None, Action::Resume, CallResult::Done, false),
    (Fault::None, Action::ResumeUnknown, CallResult::NotFound, false),
    (Fault::None, Action::Cancel, CallResult::Done, false),
    (Fault::None, Action::Report, CallResult::Done, false),
    (Fault::None, Action::Order, CallResult::Done, false),
    (Fault::None, Action::OrderStale, CallResult::Stale, false),
    (Fault::None, Action::CacheEvents, CallResult::Done, false),
    (Fault::None, Action::ImportUnknown, CallResult::NotFound, false),
    (Fault::None, Action::Drop, CallResult::Done, false),
    (Fault::None, Action::DropUnknown, CallResult::Done, false),
    (Fault::Killed, Action::Generate, CallResult::NotSent, false),
    (Fault::Killed, Action::Resume, CallResult::NotSent, false),
    (Fault::Killed, Action::Cancel, CallResult::NotSent, false),
    (Fault::Killed, Action::Report, CallResult::NotSent, false),
    (Fault::Killed, Action::Order, CallResult::NotSent, false),
    (Fault::Restarted, Action::Generate, CallResult::Done, true),
    (Fault::Restarted, Action::Resume, CallResult::NotFound, false),
    (Fault::Restarted, Action::OrderStale, CallResult::Done, false),
    (Fault::Frozen, Action::Generate, CallResult::Pending, false),
    (Fault::Frozen, Action::Cancel, CallResult::Unknown, false),
    (Fault::Frozen, Action::Report, CallResult::Unknown, false),
    (Fault::Frozen, Action::Order, CallResult::Unknown, false),
    (Fault::Thawed, Action::Generate, CallResult::Done, true),
    (Fault::Slow, Action::Generate, CallResult::Pending, false),
    (Fault::Slow, Action::Report, CallResult::Unknown, false),
    (Fault::CallLost, Action::Generate, CallResult::Unknown, false),
    (Fault::CallLost, Action::Resume, CallResult::Unknown, false),
    (Fault::CallLost, Action::Cancel, CallResult::Unknown, false),
    (Fault::CallLost, Action::Order, CallResult::Unknown, false),
    (Fault::AnswerLost, Action::Generate, CallResult::Unknown, true),
    (Fault::AnswerLost, Action::Cancel, CallResult::Unknown, false),
    (Fault::AnswerLost, Action::Order, CallResult::Unknown, false),
    (Fault::AnswerLost, Action::Drop, CallResult::Unknown, false),
    (Fault::AnswerSilent, Action::Generate, CallResult::Pending, true),
    (Fault::AnswerSilent, Action::Cancel, CallResult::Unknown, false),
    (Fault::Silenced, Action::Report, CallResult::Unknown, false),
    (Fault::Silenced, Action::Generate, CallResult::Done, true),
];

#[tokio::test]
async fn engine_calls_return_the_result_of_each_fault() {
    for row in ENGINE {
        let (fault, action, expected, has_started) = *row;
        let fixture = Fixture::open_for(fault).await;
        fault.apply(fixture.engine.faults());
        assert_eq!(perform(&fixture, action).await, expected, "{row:?}");
        assert_eq!(fixture.has_started(9), has_started, "{row:?}");
    }
}

/// Guards against treating a lost cancellation as done: the KV cache stays in use until a
/// cancellation arrives, so the caller must get `Unknown`.
#[tokio::test]
async fn lost_cancel_can_be_repeated() {
    let fixture = Fixture::open().await;
    fixture.open_stalled(3).await;
    let used = fixture.engine.service().kv_used();
    fixture.engine.faults().lose_cancels(1);
    let at = fixture.engine.address();
    let stream = fixture::stream(3);
    assert!(matches!(fixture.targets.cancel(at, &stream).await, Err(Error::Unknown(_))));
    assert_eq!(fixture.engine.service().kv_used(), used);
    assert_eq!(fixture.targets.cancel(at, &stream).await, Ok(Cancelled::Stopped));
    assert!(fixture.engine.service().kv_used() < used);
    assert_eq!(fixture.targets.cancel(at, &stream).await, Ok(Cancelled::Ended));
}

/// Engines that ignore fencing epochs execute an order from a paused former owner.
#[tokio::test]
async fn engine_without_fencing_executes_a_stale_order() {
    let mut options = fixture::options();
    options.model.checks_fence = false;
    let fixture = Fixture::open_with(options).await;
    let at = fixture.engine.address();
    assert_eq!(fixture.targets.order(at, id::Epoch(1), &Order::Pin(1)).await, Ok(()));
    assert_eq!(Engines::report(&fixture.targets, at).await.unwrap().fence, None);
}

/// Fault, result for the caller of a plain service, number of executions.
const SERVICE: &[(Fault, CallResult, u32)] = &[
    (Fault::None, CallResult::Done, 1),
    (Fault::Killed, CallResult::NotSent, 0),
    (Fault::Restarted, CallResult::Done, 1),
    (Fault::Frozen, CallResult::Unknown, 0),
    (Fault::Thawed, CallResult::Done, 1),
    (Fault::Slow, CallResult::Unknown, 0),
    (Fault::CallLost, CallResult::Unknown, 0),
    (Fault::AnswerLost, CallResult::Unknown, 1),
    (Fault::AnswerSilent, CallResult::Unknown, 1),
    (Fault::Silenced, CallResult::Unknown, 0),
];

fn order_call(key: &str, timeout: Duration) -> Call {
    let (path, body) = ("/order".into(), "two tins".into());
    Call { path, key: Some(key.into()), body, timeout }
}

#[tokio::test]
async fn service_calls_return_the_result_of_each_fault() {
    for row in SERVICE {
        let options = hickory_standin::service::Options::default();
        let service = hickory_standin::service::spawn(fixture::any_address(), options).unwrap();
        let (targets, at) = (open_targets(), service.address());
        targets.call(at, order_call("before", LONG)).await.unwrap();
        row.0.apply(service.faults());
        let result = CallResult::from(targets.call(at, order_call("key", row.0.timeout())).await);
        assert_eq!(result, row.1, "{row:?}");
        assert_eq!(service.service().runs().count("key"), row.2, "{row:?}");
    }
}

/// A restart of a service changes its incarnation and resets its warmth, but not its count of
/// executed calls.
#[tokio::test]
async fn service_keeps_its_count_across_a_restart() {
    let options = hickory_standin::service::Options::default();
    let service = hickory_standin::service::spawn(fixture::any_address(), options).unwrap();
    let (targets, at) = (open_targets(), service.address());
    let reply = targets.call(at, order_call("key", LONG)).await.unwrap();
    let echo: hickory_standin::service::Echo = serde_json::from_slice(&reply.body).unwrap();
    assert_eq!((echo.path.as_str(), echo.key.as_deref()), ("/call/order", Some("key")));
    let before = Services::report(&targets, at).await.unwrap();
    service.faults().restart();
    targets.call(at, order_call("key", LONG)).await.unwrap();
    assert_eq!(service.service().runs().count("key"), 2);
    let after = Services::report(&targets, at).await.unwrap();
    assert_ne!(before.incarnation, after.incarnation);
    assert!(before.warmth > after.warmth, "a restart must reset the warmth");
}

/// A cold replica that gets more calls than it can handle crashes. Callers must treat these calls
/// as possibly executed.
#[tokio::test]
async fn cold_service_crashes_under_full_load() {
    let options = hickory_standin::service::Options {
        call_time: LONG,
        max_calls: 10,
        warmth: 0,
        ..hickory_standin::service::Options::default()
    };
    let service = hickory_standin::service::spawn(fixture::any_address(), options).unwrap();
    let targets = open_targets();
    let keys: Vec<String> = (0..4).map(|n| format!("key-{n}")).collect();
    let calls = keys.iter().map(|key| targets.call(service.address(), order_call(key, LONG)));
    for result in futures::future::join_all(calls).await {
        assert!(matches!(result, Err(Error::Unknown(_) | Error::NotSent(_))), "{result:?}");
    }
}
