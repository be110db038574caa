//! The CPU time of the simulation: steps of a full batch, and long prompts whose
//! prefix is cached.

use criterion::{Criterion, Throughput, criterion_group, criterion_main};
use hickory_model::engine::{Engine, Job, Options};
use hickory_model::prefix;
use hickory_target::engine::{Priority, Weights};
use hickory_unit::{id, size};
use std::time::{Duration, Instant};
use uuid::Uuid;

fn job(number: u128, prompt: u64, blocks: Vec<u64>, max_tokens: u64) -> Job {
    Job {
        stream: id::Stream {
            request: id::Request(Uuid::from_u128(number)),
            attempt: 0,
            sender: "bench".into(),
            deadline_ms: 0,
        },
        weights: weights(),
        prompt: size::Tokens(prompt),
        blocks,
        max_tokens: size::Tokens(max_tokens),
        priority: Priority(1),
        import: None,
        keep_as: None,
        crashes_engine: false,
    }
}

fn weights() -> Weights {
    Weights { model: "m".into(), version: "1".into(), adapter: None }
}

fn open(now: Instant) -> Engine {
    let options = Options { loaded: vec![weights()], ..Options::default() };
    Engine::new(now, id::Incarnation(1), options)
}

fn decode(c: &mut Criterion) {
    let mut group = c.benchmark_group("model");
    group.throughput(Throughput::Elements(64));
    let mut now = Instant::now();
    let mut engine = open(now);
    let mut next = 0;
    group.bench_function("step_of_64_streams", |b| {
        b.iter(|| {
            while engine.stream_count() < 64 {
                next += 1;
                let _ = engine.begin(now, job(next, 1_000, Vec::new(), 1_000));
            }
            now += Duration::from_millis(22);
            engine.advance(now);
        });
    });
    group.finish();
}

fn cached_prompt(c: &mut Criterion) {
    let prompt = "x".repeat(100_000 * 4);
    let blocks = prefix::hash_blocks(&prompt);
    let mut now = Instant::now();
    let mut engine = open(now);
    let mut next = 0;
    c.bench_function("model/cached_prompt_of_100k", |b| {
        b.iter(|| {
            next += 1;
            let _ = engine.begin(now, job(next, 100_000, blocks.clone(), 1));
            while let Some(ends) = engine.next_step() {
                now = ends;
                engine.advance(now);
            }
        });
    });
    c.bench_function("model/hash_blocks_of_100k", |b| b.iter(|| prefix::hash_blocks(&prompt)));
}

criterion_group!(benches, decode, cached_prompt);
criterion_main!(benches);
