//! Tests of the time within which a stopping node expects a request to end.

use hickory_policy::drain::{Answer, Nominal, Slowness, Stop};
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

fn stream(max: u64, estimate: Option<u64>) -> Nominal {
    prompt(4_960, max, estimate)
}

fn prompt(tokens: u64, max: u64, estimate: Option<u64>) -> Nominal {
    let answer =
        Answer { prompt: Tokens(tokens), max: Tokens(max), estimate: estimate.map(Tokens) };
    Nominal::stream(ms(300), &profile(), answer)
}

fn seconds(nominal: Nominal, slowness: Option<f64>) -> f64 {
    nominal.expected_time(slowness, ms(60_000)).as_secs_f64()
}

/// Guards against taking streams of the longest kind when only a shorter one still fits.
#[test]
fn a_stream_is_expected_to_have_its_maximum_length() {
    assert!((5.8..6.2).contains(&seconds(stream(4_182, None), Some(0.5))));
    assert!((1.6..1.8).contains(&seconds(stream(1_000, None), Some(0.5))));
    assert_eq!(seconds(stream(80, None), Some(0.5)), 1.0);
}

/// Guards against taking long prompts that are still prefilled when the grace period ends.
#[test]
fn a_long_prompt_is_expected_to_be_prefilled_first() {
    let short = seconds(prompt(4_960, 1_000, None), Some(0.5));
    let long = seconds(prompt(154_000, 1_000, None), Some(0.5));
    assert!((2.6..2.9).contains(&(long - short)), "{long} and {short}");
}

/// Guards against refusing short streams because their maximum length is large, and against trust in
/// estimates that are too low.
#[test]
fn a_low_estimate_shortens_the_expected_time() {
    let mean = seconds(stream(1_622, None), Some(0.5));
    assert_eq!(seconds(stream(4_182, Some(200)), Some(0.5)), mean);
    assert_eq!(seconds(stream(4_182, Some(1)), Some(0.5)), mean);
    let longest = seconds(stream(4_182, None), Some(0.5));
    assert!(mean < 0.6 * longest, "{mean} and {longest}");
    for estimate in [0, 900, u64::MAX] {
        assert_eq!(seconds(stream(4_182, Some(estimate)), Some(0.5)), longest, "{estimate}");
    }
}

/// Guards against a caller whose estimates are wrong, and who thereby makes stopping nodes refuse the
/// requests of others.
#[test]
fn an_answer_longer_than_estimated_is_not_slow() {
    let (mut slowness, start) = (Slowness::default(), Instant::now());
    slowness.record(start, stream(4_182, Some(1)), ms(5_500));
    assert!(slowness.multiple(start).unwrap() < 1.0);
    slowness.record(start, stream(4_182, Some(1)), ms(9_000));
    assert!(slowness.multiple(start).unwrap() > 1.4);
}

/// Guards against streams that are cut off because engines are slower than configured.
#[test]
fn slow_requests_lengthen_the_expected_time_of_others() {
    let as_configured = seconds(stream(1_000, None), Some(0.9));
    let slow = seconds(stream(1_000, None), Some(2.0));
    assert!((slow - 2.0 * as_configured).abs() < 0.001);
    assert_eq!(seconds(stream(1_000, None), Some(0.3)), as_configured);
}

#[test]
fn an_answer_is_expected_within_a_multiple_of_its_goal() {
    assert_eq!(seconds(Nominal::Answer(ms(100)), None), 0.5);
    assert_eq!(seconds(Nominal::Answer(ms(100)), Some(2.0)), 0.5);
    assert_eq!(seconds(Nominal::Answer(ms(100)), Some(8.0)), 0.8);
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
    assert_eq!(slowness.multiple(start), None);
    slowness.record(start, Nominal::Answer(ms(100)), ms(900));
    slowness.record(start, Nominal::Unknown, ms(90_000));
    for second in 0..300 {
        let now = start + Duration::from_secs(second);
        slowness.record(now, Nominal::Answer(ms(100)), ms(50));
        let multiple = slowness.multiple(now).unwrap();
        match second {
            0..=59 => assert!((9.0..9.5).contains(&multiple), "{multiple} at {second} s"),
            120.. => assert!(multiple < 0.6, "{multiple} at {second} s"),
            _ => {}
        }
    }
    assert_eq!(slowness.multiple(start + Duration::from_secs(600)), None);
}

/// Guards against a stopping node that takes a late stream and cuts it off because its target fell
/// silent for a while.
#[test]
fn a_late_request_fits_even_if_its_target_falls_silent() {
    let fits = |elapsed: u64, left: u64, expected: u64, time_left: u64| {
        let nominal = Nominal::Stream { expected: ms(expected), max: ms(expected) };
        Stop { elapsed: ms(elapsed), left: ms(left) }.fits(nominal, Some(1.0), ms(time_left))
    };
    assert!(!fits(3_100, 1_400, 500, 5_000));
    assert!(fits(3_100, 1_400, 500, 1_300), "it ends at its deadline");
    assert!(fits(3_100, 4_400, 2_300, 5_000));
    assert!(!fits(3_100, 4_400, 2_400, 5_000));
    assert!(fits(1_200, 3_300, 3_200, 5_000), "it is early");
    assert!(!fits(1_200, 3_300, 3_300, 5_000));
}

/// Guards against refusing short answers for most of the grace period.
#[test]
fn a_late_answer_leaves_no_room_for_a_silence() {
    let late = Stop { elapsed: ms(3_600), left: ms(900) };
    assert!(late.fits(Nominal::Answer(ms(100)), None, ms(2_000)));
    assert!(!late.fits(Nominal::Answer(ms(200)), None, ms(2_000)));
}

#[test]
fn nothing_fits_at_the_end_of_a_stop() {
    let ended = Stop { elapsed: ms(4_500), left: ms(0) };
    assert!(!ended.fits(Nominal::Answer(ms(0)), None, ms(0)));
}
