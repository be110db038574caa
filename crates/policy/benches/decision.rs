//! Benchmarks of one placement and one admission at the planned fleet size.

mod common;

use common::{candidates, limiter, permit_request, query};
use criterion::{BatchSize, Criterion, criterion_group, criterion_main};
use hickory_policy::limit::{Answer, Outcome};
use hickory_policy::place::choose_target;
use std::hint::black_box;
use std::time::{Duration, Instant};

fn place(criterion: &mut Criterion) {
    let candidates = candidates();
    let mut index = 0;
    criterion.bench_function("place among 630 replicas", |bencher| {
        bencher.iter(|| {
            index += 1;
            black_box(choose_target(&query(index), &candidates).map(|c| c.hash))
        });
    });
}

fn admit(criterion: &mut Criterion) {
    let (mut now, mut limiter, _) = limiter(Instant::now());
    let mut index = 0;
    criterion.bench_function("ask and withdraw with 10,000 queued", |bencher| {
        bencher.iter_batched(
            || {
                index += 1;
                now += Duration::from_micros(10);
                (now, permit_request(now, &query(index)))
            },
            |(now, request)| {
                if let Answer::Granted(ticket) | Answer::Queued(ticket) =
                    limiter.request_permit(now, request)
                {
                    limiter.cancel(ticket);
                }
            },
            BatchSize::SmallInput,
        );
    });
}

fn grant(criterion: &mut Criterion) {
    let (mut now, mut limiter, mut running) = limiter(Instant::now());
    let mut index = 0;
    criterion.bench_function("end, grant of the next, and a new ask with 10,000 queued", |b| {
        b.iter(|| {
            index += 1;
            now += Duration::from_micros(50);
            let ended = running.swap_remove(index as usize % running.len());
            limiter.complete(now, ended, Outcome::Completed(None));
            running.extend(limiter.poll(now).into_iter().map(|(ticket, _)| ticket));
            black_box(limiter.request_permit(now, permit_request(now, &query(index))));
        });
    });
}

criterion_group!(benches, place, admit, grant);
criterion_main!(benches);
