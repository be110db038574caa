//! Tests of the choice of requests that a stopping node takes.

use hickory_policy::drain::{Arrival, Durations};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn stream(time_left: u64, longest: Option<u64>) -> Arrival {
    Arrival { time_left: ms(time_left), longest: longest.map(ms), answer_goal: None }
}

fn answer(time_left: u64, longest: Option<u64>) -> Arrival {
    Arrival { answer_goal: Some(ms(100)), ..stream(time_left, longest) }
}

/// Guards against taking streams of unknown length that last beyond the grace period.
#[test]
fn a_stream_of_unknown_length_must_fit_by_its_deadline() {
    assert!(stream(3_000, None).fits(ms(3_000)));
    assert!(!stream(3_000, None).fits(ms(2_999)));
}

#[test]
fn a_request_must_fit_with_a_margin_over_the_longest_recent_one() {
    assert!(stream(10_000, Some(2_000)).fits(ms(3_000)));
    assert!(!stream(10_000, Some(2_000)).fits(ms(2_999)));
    assert!(answer(10_000, Some(400)).fits(ms(600)));
    assert!(!answer(10_000, Some(400)).fits(ms(599)));
    // It ends with its deadline.
    assert!(stream(1_000, Some(2_000)).fits(ms(1_000)));
}

/// Guards against refusing short answers for most of the grace period of a node that has served few.
#[test]
fn an_answer_of_unknown_length_must_fit_by_its_goal() {
    assert!(answer(3_000, None).fits(ms(500)));
    assert!(!answer(3_000, None).fits(ms(499)));
}

#[test]
fn few_durations_say_nothing() {
    let (mut durations, start) = (Durations::default(), Instant::now());
    for _ in 0..99 {
        durations.record(start, ms(50));
    }
    assert_eq!(durations.longest(start), None);
    durations.record(start, ms(70));
    assert_eq!(durations.longest(start), Some(ms(70)));
}

/// Guards against an estimate that forgets a long stream with the end of a period, or keeps it
/// forever.
#[test]
fn the_longest_duration_is_kept_for_one_to_two_periods() {
    let (mut durations, start) = (Durations::default(), Instant::now());
    durations.record(start, ms(5_000));
    for second in 0..300 {
        let now = start + Duration::from_secs(second);
        for _ in 0..4 {
            durations.record(now, ms(800));
        }
        let longest = durations.longest(now);
        match second {
            25..=59 => assert_eq!(longest, Some(ms(5_000)), "{second} s"),
            120.. => assert_eq!(longest, Some(ms(800)), "{second} s"),
            _ => {}
        }
    }
    let end = start + Duration::from_secs(600);
    assert!(durations.is_empty(end));
    assert_eq!(durations.longest(end), None);
}
