//! Tests of the time within which a stopping node expects a request to end.

use hickory_policy::drain::{Nominal, Slowness};
use hickory_policy::engine::Profile;
use hickory_unit::size::Tokens;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A profile whose engines take 1.37 ms for a token while all slots are in use.
fn profile() -> Profile {
    Profile {
        slots: 16,
        kv_capacity: Tokens(315_000),
        base_step_time: Duration::from_micros(850),
        step_time_per_stream: Duration::from_nanos(4_250),
        step_time_per_kilotoken: Duration::from_nanos(2_850),
        prefill_rate: 177_000.0,
        attention_time_per_megapair: Duration::from_micros(184),
        steps_per_iteration: 51,
        remote_kv_step_time: Duration::from_micros(50),
        mean_answer: Tokens(1_622),
    }
}

fn stream(max_answer: u64, estimate: Option<u64>) -> Nominal {
    Nominal::stream(ms(300), &profile(), Tokens(max_answer), estimate.map(Tokens))
}

fn seconds(nominal: Nominal, slowness: Option<f64>) -> f64 {
    nominal.expected_time(slowness, ms(60_000)).as_secs_f64()
}

/// Guards against taking streams of the longest kind when only a shorter one still fits.
#[test]
fn a_stream_is_expected_to_have_its_maximum_length() {
    assert!((5.8..6.2).contains(&seconds(stream(4_182, None), Some(0.5))));
    assert!((1.6..1.8).contains(&seconds(stream(1_000, None), Some(0.5))));
}

/// Guards against refusing short streams because their maximum length is large, and against trust in
/// estimates, which may be too low by a factor of four.
#[test]
fn a_low_estimate_shortens_the_expected_time() {
    assert!((1.6..1.8).contains(&seconds(stream(4_182, Some(200)), Some(0.5))));
    assert_eq!(stream(4_182, Some(900)), stream(4_182, None));
    assert_eq!(stream(4_182, Some(u64::MAX)), stream(4_182, None));
}

/// Guards against streams that are cut off because engines are slower than configured.
#[test]
fn slow_requests_lengthen_the_expected_time_of_others() {
    let as_configured = seconds(stream(1_000, None), Some(0.9));
    let slow = seconds(stream(1_000, None), Some(2.0));
    assert!((2.0..2.2).contains(&(slow / as_configured)));
    assert_eq!(seconds(stream(1_000, None), Some(0.3)), as_configured);
}

#[test]
fn an_answer_is_expected_within_a_multiple_of_its_goal() {
    assert_eq!(seconds(Nominal::Answer(ms(100)), None), 0.5);
    assert_eq!(seconds(Nominal::Answer(ms(100)), Some(2.0)), 0.5);
    assert!((0.8..0.9).contains(&seconds(Nominal::Answer(ms(100)), Some(8.0))));
}

/// Guards against taking streams of unknown length that last beyond the grace period.
#[test]
fn a_request_ends_with_its_deadline() {
    assert_eq!(Nominal::Unknown.expected_time(None, ms(3_000)), ms(3_000));
    assert_eq!(stream(80, None).expected_time(None, ms(3_000)), ms(3_000));
    assert_eq!(Nominal::Unknown.expected_time(Some(0.1), ms(3_000)), ms(3_000));
    assert_eq!(stream(4_182, None).expected_time(Some(0.5), ms(1_000)), ms(1_000));
    assert_eq!(stream(u64::MAX, None).expected_time(Some(9.0), ms(1_000)), ms(1_000));
}

/// Guards against an estimate that forgets a slow request with the end of a period, or keeps it
/// forever.
#[test]
fn the_slowest_request_counts_for_one_to_two_periods() {
    let (mut slowness, start) = (Slowness::default(), Instant::now());
    assert_eq!(slowness.largest(start), None);
    slowness.record(start, Nominal::Answer(ms(100)), ms(900));
    slowness.record(start, Nominal::Unknown, ms(90_000));
    for second in 0..300 {
        let now = start + Duration::from_secs(second);
        slowness.record(now, Nominal::Answer(ms(100)), ms(50));
        let largest = slowness.largest(now);
        match second {
            0..=59 => assert_eq!(largest, Some(9.0), "{second} s"),
            120.. => assert_eq!(largest, Some(0.5), "{second} s"),
            _ => {}
        }
    }
    assert_eq!(slowness.largest(start + Duration::from_secs(600)), None);
}
