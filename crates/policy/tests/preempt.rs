//! Tests that streams are preempted only where it is worthwhile.

mod common;

use common::{cost, ms};
use hickory_policy::cost::Class;
use hickory_policy::preempt::{EngineSpeed, RunningStream, WaitingRequest, choose_victim};
use hickory_unit::size;
use std::time::{Duration, Instant};

const SPEED: EngineSpeed =
    EngineSpeed { prefill_rate: 40_000, token_time: Duration::from_millis(15) };

fn batch_stream(now: Instant, ticket: u64, prefilled: u64) -> RunningStream {
    RunningStream {
        ticket,
        class: Class::Batch,
        cost: cost(100_000, 1_000),
        prefilled: size::Tokens(prefilled),
        generated: size::Tokens(0),
        deadline: now + Duration::from_secs(600),
        preemptions: 0,
    }
}

fn interactive_request(wait: u64) -> WaitingRequest {
    WaitingRequest {
        cost: cost(1_000, 32),
        class: Class::Interactive,
        expected_wait: ms(wait),
        kv_free: size::Tokens(0),
    }
}

/// An interactive request would wait two seconds behind batch streams that hold every slot. The
/// stream with the least work to redo must be preempted, and none if redoing takes longer than the
/// wait justifies.
#[test]
fn stream_with_least_work_to_redo_is_preempted() {
    let now = Instant::now();
    let streams =
        [batch_stream(now, 1, 90_000), batch_stream(now, 2, 8_000), batch_stream(now, 3, 30_000)];
    assert_eq!(choose_victim(now, interactive_request(2_000), SPEED, &streams), Some(2));
    let mostly_done = [batch_stream(now, 1, 90_000), batch_stream(now, 2, 80_000)];
    assert_eq!(choose_victim(now, interactive_request(2_000), SPEED, &mostly_done), None);
    assert_eq!(choose_victim(now, interactive_request(200), SPEED, &streams), None, "a short wait");
}

/// Guards against the preemption of an interactive stream, of a stream that would miss its
/// deadline, of one that was preempted before, and of one that frees too little memory. Batch
/// requests preempt no stream.
#[test]
fn protected_streams_are_never_preempted() {
    let now = Instant::now();
    let stream_to_preempt = batch_stream(now, 1, 0);
    let protected = [
        RunningStream {
            class: Class::Interactive,
            cost: cost(1_000, 1_000),
            ..stream_to_preempt.clone()
        },
        RunningStream { deadline: now + Duration::from_secs(15), ..stream_to_preempt.clone() },
        RunningStream { preemptions: 1, ..stream_to_preempt.clone() },
        RunningStream { cost: cost(500, 10), ..stream_to_preempt.clone() },
    ];
    for stream in protected {
        assert_eq!(
            choose_victim(now, interactive_request(2_000), SPEED, std::slice::from_ref(&stream)),
            None
        );
    }
    let waiting = WaitingRequest { class: Class::Batch, ..interactive_request(2_000) };
    assert_eq!(choose_victim(now, waiting, SPEED, &[stream_to_preempt]), None);
}
