//! Tests of fault switches over HTTP and of interactions between stand-ins: prompts spread over
//! several engines, weight loading and crashes.

use futures::StreamExt;
use hickory_client::{Call, Client, Error, Response};
use hickory_model::answer::Answer as Text;
use hickory_standin::engine::Options as Engine;
use hickory_standin::fleet::{Fleet, Options};
use hickory_target::engine::{Engines, Event, Generate, Handle, Order, Priority, Weights};
use hickory_target::http::Targets;
use hickory_unit::{id, size};
use std::net::SocketAddr;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

fn weights(model: &str) -> Weights {
    Weights { model: model.into(), version: "1".into(), adapter: None }
}

fn options() -> Options {
    let mut engine = Engine { loaded: vec![weights("m")], ..Engine::default() };
    engine.model.speed = 1_000.0;
    engine.model.report_lag = Duration::ZERO;
    Options { engine, ..Options::default() }
}

fn generate(number: u128, prompt: &str) -> Generate {
    let request = id::Request(uuid::Uuid::from_u128(number));
    Generate {
        stream: id::Stream { request, attempt: 0, sender: "node-a".into(), deadline_ms: 0 },
        weights: weights("m"),
        prompt: prompt.into(),
        max_tokens: size::Tokens(5),
        priority: Priority(1),
        import: None,
        prefill_only: None,
        from: 0,
    }
}

async fn read(targets: &Targets, at: SocketAddr, generate: &Generate) -> Result<String, String> {
    let mut tokens = targets.generate(at, generate).await.map_err(|e| e.to_string())?;
    let mut text = String::new();
    while let Some(event) = tokens.next().await {
        match event.map_err(|e| e.to_string())? {
            Event::Token { text: token, .. } => text.push_str(&token),
            Event::End { .. } => return Ok(text),
            Event::Failed { reason } => return Err(reason.to_string()),
        }
    }
    Err("no end".into())
}

async fn post(at: SocketAddr, path: &str, body: &str) -> Result<Response, Error> {
    let call = Call { method: http::Method::POST, path, key: None, body: body.to_owned().into() };
    Client::open(TIMEOUT).exchange(at, call, TIMEOUT).await
}

/// Waits until `done` returns true; panics after [`TIMEOUT`].
async fn wait_until(mut done: impl AsyncFnMut() -> bool) {
    let started = std::time::Instant::now();
    while !done().await {
        assert!(started.elapsed() < TIMEOUT, "the condition was not met within {TIMEOUT:?}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

#[tokio::test]
async fn switch_reaches_a_stand_in_directly() {
    let fleet = Fleet::spawn(options()).unwrap();
    let (targets, at) = (Targets::open(TIMEOUT), fleet.engines[0].address());
    let before = Engines::report(&targets, at).await.unwrap();
    assert_eq!(post(at, "/fault", "\"restart\"").await.unwrap().status, 202);
    wait_until(async || {
        let after = Engines::report(&targets, at).await;
        after.is_ok_and(|after| after.incarnation != before.incarnation)
    })
    .await;
}

#[tokio::test]
async fn down_for_restarts_the_process() {
    let fleet = Fleet::spawn(options()).unwrap();
    let control = fleet.switchboard().spawn("127.0.0.1:0".parse().unwrap()).unwrap();
    let path = "/fault/engine-0";
    assert_eq!(post(control.address(), path, r#"{"down_for_ms":50}"#).await.unwrap().status, 200);
    let (targets, at) = (Targets::open(TIMEOUT), fleet.engines[0].address());
    wait_until(async || Engines::report(&targets, at).await.is_ok()).await;
}

/// Concurrent kills and restarts must not deadlock or leave the stand-in between two states.
#[tokio::test]
async fn concurrent_kills_and_restarts_complete() {
    let fleet = Fleet::spawn(options()).unwrap();
    let engine = &fleet.engines[0];
    std::thread::scope(|scope| {
        for number in 0..8 {
            let faults = engine.faults();
            scope.spawn(move || {
                for _ in 0..10 {
                    if number % 2 == 0 { faults.kill() } else { faults.restart() }
                }
            });
        }
    });
    engine.faults().restart();
    let targets = Targets::open(TIMEOUT);
    assert!(Engines::report(&targets, engine.address()).await.is_ok());
}

/// A killed engine loses its memory immediately, not only at its restart.
#[tokio::test]
async fn killed_engine_loses_its_memory() {
    let fleet = Fleet::spawn(options()).unwrap();
    let engine = &fleet.engines[0];
    engine.service().stall(hickory_model::batch::Stall::After(0));
    let targets = Targets::open(TIMEOUT);
    let _tokens = targets.generate(engine.address(), &generate(1, "held")).await.unwrap();
    assert!(engine.service().kv_used().0 > 0);
    engine.faults().kill();
    assert_eq!(engine.service().kv_used().0, 0);
}

/// A prompt with the crash marker crashes each engine that runs it; the engine restarts as a new
/// incarnation and serves other prompts.
#[tokio::test]
async fn poisoned_prompt_crashes_each_engine_that_runs_it() {
    let mut options = options();
    options.engine.crash_marker = Some("poison".into());
    options.engine.restart_after = Some(Duration::from_millis(20));
    let fleet = Fleet::spawn(options).unwrap();
    let targets = Targets::open(TIMEOUT);
    for (number, engine) in (1..).zip(&fleet.engines) {
        let at = engine.address();
        let before = Engines::report(&targets, at).await.unwrap().incarnation;
        assert!(read(&targets, at, &generate(number, "some poison")).await.is_err());
        wait_until(async || {
            let report = Engines::report(&targets, at).await;
            report.is_ok_and(|report| report.incarnation != before)
        })
        .await;
        let after = read(&targets, at, &generate(number + 10, "harmless")).await;
        assert_eq!(after, Ok(Text::for_prompt("harmless").text(5)));
    }
}

/// A prompt of a million tokens is spread over three engines.
#[tokio::test]
async fn prompt_larger_than_one_engine_is_answered() {
    let fleet = Fleet::spawn(options()).unwrap();
    let targets = Targets::open(TIMEOUT);
    let prompt: String = (0..400_000).map(|n| format!("{n:09} ")).collect();
    let ends = [1_400_000, 2_800_000, prompt.len()];
    let at: Vec<SocketAddr> = fleet.engines.iter().map(|engine| engine.address()).collect();
    let whole = generate(7, &prompt);
    let handle = |part| Handle { stream: whole.stream.clone(), part };
    for part in 0..2_u32 {
        let end = ends[part as usize];
        let mut leading = generate(u128::from(part) + 20, &prompt[..end]);
        leading.import = part.checked_sub(1).map(handle);
        leading.prefill_only = Some(handle(part));
        let place = part as usize;
        assert_eq!(read(&targets, at[place], &leading).await, Ok(String::new()));
        targets.import(at[place + 1], at[place], &handle(part)).await.unwrap();
    }
    let last = Generate { import: Some(handle(1)), ..whole.clone() };
    assert_eq!(read(&targets, at[2], &last).await, Ok(Text::for_prompt(&prompt).text(5)));
    let used: Vec<u64> = fleet.engines.iter().map(|e| e.service().kv_used().0).collect();
    assert_eq!(used, [350_000, 350_000, 0]);
}

/// The engine that holds a linked part of the KV cache dies while the last engine waits to
/// generate: the last engine has to report the stream as failed instead of hanging.
#[tokio::test]
async fn linked_prompt_fails_when_an_engine_dies() {
    let mut options = options();
    options.engine.model.kv_capacity = size::Tokens(1_000);
    let fleet = Fleet::spawn(options).unwrap();
    let targets = Targets::open(TIMEOUT);
    let (a, b) = (fleet.engines[0].address(), fleet.engines[1].address());
    let prompt = "x".repeat(6_000);
    let handle = Handle { stream: generate(1, "").stream, part: 0 };
    let leading = Generate { prefill_only: Some(handle.clone()), ..generate(1, &prompt[..3_600]) };
    assert!(read(&targets, a, &leading).await.is_ok());
    targets.import(b, a, &handle).await.unwrap();
    fleet.engines[1].service().stall(hickory_model::batch::Stall::After(0));
    let last = Generate { import: Some(handle), ..generate(2, &prompt) };
    let reading = read(&targets, b, &last);
    let killing = async { fleet.engines[0].faults().kill() };
    let (failed, ()) = futures::join!(reading, killing);
    assert_eq!(failed, Err("KV cache of another engine lost".into()));
}

/// Engines that are ordered to load at the same time share the rate of the weight store and become
/// ready one after another.
#[tokio::test]
async fn weight_loads_share_the_store_rate() {
    let mut options = options();
    options.weights.loads = 1;
    options.weights.bytes_per_second = size::Bytes(1_000_000);
    options.engine.model.model_bytes = size::Bytes(30_000);
    let fleet = Fleet::spawn(options).unwrap();
    let targets = Targets::open(TIMEOUT);
    let order = Order::Load(weights("n"));
    let started = std::time::Instant::now();
    for engine in &fleet.engines {
        targets.order(engine.address(), id::Epoch(1), &order).await.unwrap();
        let report = Engines::report(&targets, engine.address()).await.unwrap();
        assert_eq!(report.loaded.len(), 2);
    }
    for engine in &fleet.engines {
        wait_until(async || {
            let report = Engines::report(&targets, engine.address()).await.unwrap();
            report.loaded.iter().all(|loaded| loaded.ready)
        })
        .await;
    }
    assert!(started.elapsed() >= Duration::from_millis(90), "the three reads were not sequential");
}
