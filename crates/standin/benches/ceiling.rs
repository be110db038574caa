//! Maximum throughput of the stand-ins, to tell when an experiment is limited by them: tokens per
//! second of one engine, calls per second of the key-value service and of a plain service, and the
//! time to first token on a direct connection. The clients run in the same process and are included
//! in the results.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use futures::StreamExt;
use futures::future::join_all;
use hickory_model::engine::Options as Model;
use hickory_standin::{engine, service, store};
use hickory_store::http::{Address, Platform};
use hickory_store::store::{Expect, Store, Write};
use hickory_target::engine::{Engines, Event, Generate, Priority, Weights};
use hickory_target::http::Targets;
use hickory_target::service::{Call, Services};
use hickory_unit::{id, size};
use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::runtime::Runtime;
use uuid::Uuid;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Number of concurrent clients.
const CLIENTS: usize = 32;

/// Number of calls of each client per round.
const CALLS_PER_CLIENT: usize = 50;

fn loopback() -> SocketAddr {
    "127.0.0.1:0".parse().expect("a valid address")
}

fn runtime() -> Runtime {
    tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("failed to start the runtime")
}

fn generate(max_tokens: u64) -> Generate {
    Generate {
        stream: id::Stream {
            request: id::Request(Uuid::now_v7()),
            attempt: 0,
            sender: "bench".into(),
            deadline_ms: 0,
        },
        weights: Weights { model: "m".into(), version: "1".into(), adapter: None },
        prompt: "which primer for lime plaster?".into(),
        max_tokens: size::Tokens(max_tokens),
        priority: Priority(1),
        import: None,
        prefill_only: None,
        from: 0,
    }
}

/// Reads complete streams concurrently; a batch of lines may contain many tokens.
async fn read_streams(targets: &Targets, at: SocketAddr, streams: usize, tokens: u64) {
    let read = |_| async {
        let mut stream =
            targets.generate(at, &generate(tokens)).await.expect("the engine refused the stream");
        while !matches!(stream.next().await, Some(Ok(Event::End { .. }))) {}
    };
    join_all((0..streams).map(read)).await;
}

fn spawn_engine(model: Model) -> engine::Handle {
    let loaded = vec![generate(1).weights];
    engine::spawn(loopback(), engine::Options { model, loaded, ..engine::Options::default() })
        .expect("failed to start the engine")
}

/// Returns the duration of `rounds` sequential runs of `round`.
fn measure<F: Future<Output = ()>>(
    runtime: &Runtime,
    rounds: u64,
    round: impl Fn() -> F,
) -> Duration {
    let started = Instant::now();
    runtime.block_on(async {
        for _ in 0..rounds {
            round().await;
        }
    });
    started.elapsed()
}

fn engine_tokens(c: &mut Criterion) {
    let (runtime, targets) = (runtime(), Targets::open(TIMEOUT));
    let mut group = c.benchmark_group("engine_tokens");
    group.sample_size(10).measurement_time(Duration::from_secs(4));
    // The engine generates and sends tokens without a delay.
    let unpaced = spawn_engine(Model { speed: 1e6, max_streams: 256, ..Model::default() });
    group.throughput(Throughput::Elements(256 * 200));
    group.bench_function("unpaced_256_streams", |b| {
        b.iter_custom(|n| {
            measure(&runtime, n, || read_streams(&targets, unpaced.address(), 256, 200))
        });
    });
    // One token per stream every 10 ms, so that each token is a separate write: at most 51,200
    // tokens per second from 512 streams.
    let step_time = Duration::from_millis(10);
    let (step_time_per_stream, step_time_per_million_kv_tokens) = (Duration::ZERO, Duration::ZERO);
    let paced = Model {
        step_time,
        step_time_per_stream,
        step_time_per_million_kv_tokens,
        max_streams: 512,
        ..Model::default()
    };
    let paced = spawn_engine(paced);
    group.throughput(Throughput::Elements(512 * 100));
    group.bench_function("paced_512_streams_of_100_a_second", |b| {
        b.iter_custom(|n| {
            measure(&runtime, n, || read_streams(&targets, paced.address(), 512, 100))
        });
    });
    group.finish();
}

fn first_token(c: &mut Criterion) {
    let (runtime, targets) = (runtime(), Targets::open(TIMEOUT));
    let engine = spawn_engine(Model { speed: 1e6, ..Model::default() });
    c.bench_function("first_token_of_an_instant_engine", |b| {
        b.iter_custom(|n| measure(&runtime, n, || read_streams(&targets, engine.address(), 1, 1)));
    });
}

fn store_calls(c: &mut Criterion) {
    let (runtime, store) =
        (runtime(), store::spawn(loopback()).expect("failed to start the store"));
    let at = store.address();
    let platform = Platform::open(Address { store: at, hosts: at, weights: at }, TIMEOUT);
    let write = |client: usize| Write {
        key: format!("key/{client}"),
        value: Some("value".into()),
        expect: Expect::Any,
        lease: None,
    };
    let mut group = c.benchmark_group("store_calls");
    group.sample_size(10).throughput(Throughput::Elements((CLIENTS * CALLS_PER_CLIENT) as u64));
    group.bench_function("get", |b| {
        b.iter_custom(|n| {
            measure(&runtime, n, || {
                in_parallel(|_| async {
                    drop(platform.get("key/1").await.expect("the call failed"))
                })
            })
        });
    });
    group.bench_function("write", |b| {
        b.iter_custom(|n| {
            measure(&runtime, n, || {
                let platform = &platform;
                in_parallel(move |client| async move {
                    platform.write(write(client)).await.expect("the call failed");
                })
            })
        });
    });
    group.finish();
}

fn service_calls(c: &mut Criterion) {
    let runtime = runtime();
    let options = service::Options { call_time: Duration::ZERO, ..service::Options::default() };
    let replica = service::spawn(loopback(), options).expect("failed to start the replica");
    let (targets, at) = (Targets::open(TIMEOUT), replica.address());
    let mut group = c.benchmark_group("service_calls");
    group.sample_size(10).throughput(Throughput::Elements((CLIENTS * CALLS_PER_CLIENT) as u64));
    group.bench_function("call", |b| {
        b.iter_custom(|n| {
            measure(&runtime, n, || {
                in_parallel(|_| async {
                    let (path, body) = ("/stock".into(), "tin".into());
                    let call = Call { path, key: None, body, timeout: TIMEOUT };
                    targets.call(at, call).await.expect("the call failed");
                })
            })
        });
    });
    group.finish();
}

/// Runs all clients concurrently; each makes its calls sequentially.
async fn in_parallel<F: Future<Output = ()>>(call: impl Fn(usize) -> F) {
    let client = |number| {
        let call = &call;
        async move {
            for _ in 0..CALLS_PER_CLIENT {
                call(number).await;
            }
        }
    };
    join_all((0..CLIENTS).map(client)).await;
}

criterion_group!(benches, engine_tokens, first_token, store_calls, service_calls);
criterion_main!(benches);
