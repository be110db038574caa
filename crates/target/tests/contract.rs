//! The contract of the target ports over HTTP: what each call gives under
//! each fault, and whether the target acted on it.

mod scene;

use hickory_target::Error;
use hickory_target::engine::{Cancelled, Engines, Order};
use hickory_target::service::{Call, Services};
use hickory_unit::{id, size};
use scene::{Fault, LONG, Scene, Told, generate, open_targets};
use std::time::Duration;

#[derive(Clone, Copy, Debug)]
enum Act {
    Generate,
    /// A prompt greater than the engine.
    GenerateLong,
    /// Weights that are not loaded.
    GenerateNotLoaded,
    /// A stream that has begun before.
    GenerateAgain,
    /// A stream that was cancelled before it came.
    GenerateCancelled,
    /// A KV cache to start from that is not held.
    GenerateNoCache,
    Resume,
    ResumeUnknown,
    Cancel,
    Report,
    Order,
    /// An order below the greatest fencing number.
    OrderStale,
    CacheEvents,
    ImportUnknown,
    Drop,
    DropUnknown,
}

async fn act(scene: &Scene, act: Act) -> Told {
    let (targets, at) = (&scene.targets, scene.engine.address());
    let new = generate(9, 3);
    match act {
        Act::Generate => scene.read_new(&new).await,
        Act::GenerateLong => {
            let max_tokens = size::Tokens(1_000_000);
            scene.read_new(&hickory_target::engine::Generate { max_tokens, ..new }).await
        }
        Act::GenerateNotLoaded => {
            let mut other = new;
            other.weights.model = "unknown".into();
            scene.read_new(&other).await
        }
        Act::GenerateAgain => scene.read_new(&generate(1, 10)).await,
        Act::GenerateCancelled => {
            let cancelled = targets.cancel(at, &new.stream).await;
            assert_eq!(cancelled, Ok(Cancelled::NeverBegun));
            scene.read_new(&new).await
        }
        Act::GenerateNoCache => {
            let import = Some(scene::handle(8));
            scene.read_new(&hickory_target::engine::Generate { import, ..new }).await
        }
        Act::Resume => {
            let opened = targets.resume(at, &scene::stream(1), 0).await;
            scene::read_to_end(opened, scene.patience).await
        }
        Act::ResumeUnknown => targets.resume(at, &new.stream, 0).await.into(),
        Act::Cancel => targets.cancel(at, &new.stream).await.into(),
        Act::Report => Engines::report(targets, at).await.into(),
        Act::Order => targets.order(at, id::Epoch(5), &Order::Pin(1)).await.into(),
        Act::OrderStale => targets.order(at, id::Epoch(1), &Order::Pin(1)).await.into(),
        Act::CacheEvents => targets.cache_events(at, 0).await.into(),
        Act::ImportUnknown => targets.import(at, at, &scene::handle(8)).await.into(),
        Act::Drop => targets.drop_handle(at, &scene::handle(2)).await.into(),
        Act::DropUnknown => targets.drop_handle(at, &scene::handle(8)).await.into(),
    }
}

/// Fault, call, what the caller is told, whether stream 9 has begun.
const ENGINE: &[(Fault, Act, Told, bool)] = &[
    (Fault::None, Act::Generate, Told::Done, true),
    (Fault::None, Act::GenerateLong, Told::Refused, false),
    (Fault::None, Act::GenerateNotLoaded, Told::Refused, false),
    (Fault::None, Act::GenerateAgain, Told::Refused, false),
    (Fault::None, Act::GenerateCancelled, Told::Refused, false),
    (Fault::None, Act::GenerateNoCache, Told::Refused, false),
    (Fault::None, Act::Resume, Told::Done, false),
    (Fault::None, Act::ResumeUnknown, Told::NotFound, false),
    (Fault::None, Act::Cancel, Told::Done, false),
    (Fault::None, Act::Report, Told::Done, false),
    (Fault::None, Act::Order, Told::Done, false),
    (Fault::None, Act::OrderStale, Told::Stale, false),
    (Fault::None, Act::CacheEvents, Told::Done, false),
    (Fault::None, Act::ImportUnknown, Told::NotFound, false),
    (Fault::None, Act::Drop, Told::Done, false),
    (Fault::None, Act::DropUnknown, Told::Done, false),
    (Fault::Killed, Act::Generate, Told::NotSent, false),
    (Fault::Killed, Act::Resume, Told::NotSent, false),
    (Fault::Killed, Act::Cancel, Told::NotSent, false),
    (Fault::Killed, Act::Report, Told::NotSent, false),
    (Fault::Killed, Act::Order, Told::NotSent, false),
    (Fault::Restarted, Act::Generate, Told::Done, true),
    (Fault::Restarted, Act::Resume, Told::NotFound, false),
    (Fault::Restarted, Act::OrderStale, Told::Done, false),
    (Fault::Frozen, Act::Generate, Told::Pending, false),
    (Fault::Frozen, Act::Cancel, Told::Unknown, false),
    (Fault::Frozen, Act::Report, Told::Unknown, false),
    (Fault::Frozen, Act::Order, Told::Unknown, false),
    (Fault::Thawed, Act::Generate, Told::Done, true),
    (Fault::Slow, Act::Generate, Told::Pending, false),
    (Fault::Slow, Act::Report, Told::Unknown, false),
    (Fault::CallLost, Act::Generate, Told::Unknown, false),
    (Fault::CallLost, Act::Resume, Told::Unknown, false),
    (Fault::CallLost, Act::Cancel, Told::Unknown, false),
    (Fault::CallLost, Act::Order, Told::Unknown, false),
    (Fault::AnswerLost, Act::Generate, Told::Unknown, true),
    (Fault::AnswerLost, Act::Cancel, Told::Unknown, false),
    (Fault::AnswerLost, Act::Order, Told::Unknown, false),
    (Fault::AnswerLost, Act::Drop, Told::Unknown, false),
    (Fault::AnswerSilent, Act::Generate, Told::Pending, true),
    (Fault::AnswerSilent, Act::Cancel, Told::Unknown, false),
    (Fault::Silenced, Act::Report, Told::Unknown, false),
    (Fault::Silenced, Act::Generate, Told::Done, true),
];

#[tokio::test]
async fn engine_tells_what_happened() {
    for row in ENGINE {
        let (fault, call, told, begun) = *row;
        let scene = Scene::open_for(fault).await;
        fault.apply(scene.engine.faults());
        assert_eq!(act(&scene, call).await, told, "{row:?}");
        assert_eq!(scene.has_begun(9), begun, "{row:?}");
    }
}

/// The memory of a stream whose cancel was lost stays taken until a cancel
/// arrives: the caller is told that it does not know.
#[tokio::test]
async fn lost_cancel_is_repeated() {
    let scene = Scene::open().await;
    scene.hold(3).await;
    let used = scene.engine.service().kv_used();
    scene.engine.faults().lose_cancels(1);
    let at = scene.engine.address();
    let stream = scene::stream(3);
    assert!(matches!(scene.targets.cancel(at, &stream).await, Err(Error::Unknown(_))));
    assert_eq!(scene.engine.service().kv_used(), used);
    assert_eq!(scene.targets.cancel(at, &stream).await, Ok(Cancelled::Stopped));
    assert!(scene.engine.service().kv_used() < used);
    assert_eq!(scene.targets.cancel(at, &stream).await, Ok(Cancelled::Ended));
}

/// Engines that ignore fencing numbers take an order of a paused holder.
#[tokio::test]
async fn engine_without_fencing_takes_a_stale_order() {
    let mut options = scene::options();
    options.model.fencing = false;
    let scene = Scene::open_with(options).await;
    let at = scene.engine.address();
    assert_eq!(scene.targets.order(at, id::Epoch(1), &Order::Pin(1)).await, Ok(()));
    assert_eq!(Engines::report(&scene.targets, at).await.unwrap().fence, None);
}

/// Fault, what the caller of a plain service is told, how often it ran.
const SERVICE: &[(Fault, Told, u32)] = &[
    (Fault::None, Told::Done, 1),
    (Fault::Killed, Told::NotSent, 0),
    (Fault::Restarted, Told::Done, 1),
    (Fault::Frozen, Told::Unknown, 0),
    (Fault::Thawed, Told::Done, 1),
    (Fault::Slow, Told::Unknown, 0),
    (Fault::CallLost, Told::Unknown, 0),
    (Fault::AnswerLost, Told::Unknown, 1),
    (Fault::AnswerSilent, Told::Unknown, 1),
    (Fault::Silenced, Told::Unknown, 0),
];

fn order_call(key: &str, timeout: Duration) -> Call {
    let (path, body) = ("/order".into(), "two tins".into());
    Call { path, key: Some(key.into()), body, timeout }
}

#[tokio::test]
async fn service_tells_what_happened() {
    for row in SERVICE {
        let options = hickory_standin::service::Options::default();
        let service = hickory_standin::service::spawn(scene::any(), options).unwrap();
        let (targets, at) = (open_targets(), service.address());
        targets.call(at, order_call("before", LONG)).await.unwrap();
        row.0.apply(service.faults());
        let told = Told::from(targets.call(at, order_call("key", row.0.patience())).await);
        assert_eq!(told, row.1, "{row:?}");
        assert_eq!(service.service().runs().count("key"), row.2, "{row:?}");
    }
}

/// The books of a service outlive its process, as the orders in them do.
#[tokio::test]
async fn service_keeps_its_count_through_a_restart() {
    let options = hickory_standin::service::Options::default();
    let service = hickory_standin::service::spawn(scene::any(), options).unwrap();
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
    assert!(before.warmth > after.warmth, "cold after a restart");
}

/// A cold replica that is given more than it bears falls over, and its calls
/// have run for all that their callers know.
#[tokio::test]
async fn cold_service_falls_over_under_a_full_share() {
    let options = hickory_standin::service::Options {
        call_time: LONG,
        max_calls: 10,
        warmth: 0,
        ..hickory_standin::service::Options::default()
    };
    let service = hickory_standin::service::spawn(scene::any(), options).unwrap();
    let targets = open_targets();
    let keys: Vec<String> = (0..4).map(|n| format!("key-{n}")).collect();
    let calls = keys.iter().map(|key| targets.call(service.address(), order_call(key, LONG)));
    for result in futures::future::join_all(calls).await {
        assert!(matches!(result, Err(Error::Unknown(_) | Error::NotSent(_))), "{result:?}");
    }
}
