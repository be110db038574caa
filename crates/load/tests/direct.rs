//! The baselines: choice of the engine, and cancellation after the deadline.

use hickory_load::caller::Completion;
use hickory_load::direct::Direct;
use hickory_load::fleet::{self, Fleet, Policy};
use hickory_load::mix::{self, Class, Length};
use hickory_load::outcome::{End, Failure, Outcome};
use std::sync::Arc;
use std::time::{Duration, Instant};

const ENGINES: usize = 3;

fn start_fleet() -> Fleet {
    let options = fleet::Options { engines: ENGINES, ..fleet::Options::default() };
    Fleet::start_standins(&options).expect("stand-ins")
}

async fn complete(direct: Arc<Direct>, salt: u64, length: Length, deadline: Duration) -> Outcome {
    let prompt = mix::make_prompt(salt, length.tokens());
    let completion = Completion::for_prompt("", fleet::MODEL, &prompt, 2, Class::Interactive);
    let completion = Completion { deadline, ..completion };
    direct.complete(&completion, prompt, Instant::now()).await
}

/// Returns the prompt tokens that each engine has prefilled.
fn prefilled_tokens(fleet: &Fleet) -> Vec<u64> {
    let engines = fleet.standins.engines.iter();
    engines.map(|engine| engine.service().with_engine(|e| e.counts()).cache_misses).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn fifo_uses_the_engines_round_robin() {
    let fleet = start_fleet();
    let direct = Direct::spawn(Policy::Fifo, fleet.engine_addresses());
    for salt in 0..2 * ENGINES as u64 {
        let outcome = complete(direct.clone(), salt, Length::Short, Duration::from_secs(10)).await;
        assert_eq!(outcome.end, End::Whole);
    }
    assert_eq!(prefilled_tokens(&fleet), [2_000; ENGINES]);
}

/// The deadline of a request passes during prefill. Unless the stream is cancelled,
/// the engine continues to work on an answer that is no longer needed, and the
/// baseline performs worse than it should.
#[tokio::test(flavor = "multi_thread")]
async fn request_past_its_deadline_is_cancelled() {
    let fleet = start_fleet();
    let direct = Direct::spawn(Policy::Fifo, fleet.engine_addresses());
    let outcome = complete(direct, 1, Length::Long, Duration::from_millis(300)).await;
    assert!(matches!(outcome.end, End::Failed(Failure::Reported(_))), "{:?}", outcome.end);
    let held = fleet.standins.engines.iter().map(|engine| engine.service().kv_used().0);
    assert_eq!(held.sum::<u64>(), 0);
}
