//! The exported series: which exist from the start, and which an update changes.

use hickory_policy::refuse::{Ran, Reason, RetryReason};
use hickory_telemetry::label::{Call, Length, Outcome, Work};
use hickory_telemetry::metrics::Metrics;
use hickory_unit::size;
use std::time::Duration;

fn value(text: &str, series: &str) -> Option<f64> {
    text.lines().find_map(|line| line.strip_prefix(series)?.trim().parse().ok())
}

#[test]
fn every_refusal_and_retry_reason_has_its_series_from_the_start() {
    let text = Metrics::new().unwrap().render();
    for reason in Reason::ALL {
        for ran in ["no", "unknown"] {
            let series = format!(r#"hickory_refusals_total{{ran="{ran}",reason="{reason}"}}"#);
            assert_eq!(value(&text, &series), Some(0.0), "{series}");
        }
    }
    for reason in RetryReason::ALL {
        let series = format!(r#"hickory_retries_total{{reason="{reason}"}}"#);
        assert_eq!(value(&text, &series), Some(0.0), "{series}");
    }
}

#[test]
fn each_reason_counts_into_its_own_series() {
    for (index, reason) in Reason::ALL.iter().enumerate() {
        let metrics = Metrics::new().unwrap();
        metrics.count_refusal(*reason, Ran::Unknown);
        let text = metrics.render();
        let counted: Vec<&str> = text
            .lines()
            .filter(|line| line.starts_with("hickory_refusals_total{") && line.ends_with(" 1"))
            .collect();
        let expected = format!(r#"hickory_refusals_total{{ran="unknown",reason="{reason}"}} 1"#);
        assert_eq!(counted, [expected], "reason {index}");
    }
    for reason in RetryReason::ALL {
        let metrics = Metrics::new().unwrap();
        metrics.count_retry(*reason);
        let series = format!(r#"hickory_retries_total{{reason="{reason}"}}"#);
        assert_eq!(value(&metrics.render(), &series), Some(1.0));
    }
}

#[test]
fn each_call_and_result_counts_into_its_own_series() {
    for call in Call::ALL {
        for result in Outcome::ALL {
            let metrics = Metrics::new().unwrap();
            metrics.record_platform_call(*call, *result, Duration::from_millis(3));
            let series =
                format!(r#"hickory_platform_calls_total{{call="{call}",result="{result}"}}"#);
            assert_eq!(value(&metrics.render(), &series), Some(1.0));
        }
    }
}

#[test]
fn a_request_is_in_flight_until_its_guard_drops() {
    let metrics = Metrics::new().unwrap();
    let series = r#"hickory_requests_in_flight{work="completion"}"#;
    let guard = metrics.begin_request(Work::Completion);
    assert_eq!(value(&metrics.render(), series), Some(1.0));
    drop(guard);
    assert_eq!(value(&metrics.render(), series), Some(0.0));
    assert_eq!(value(&metrics.render(), r#"hickory_requests_total{work="completion"}"#), Some(1.0));
}

#[test]
fn answer_times_are_separated_by_work() {
    let metrics = Metrics::new().unwrap();
    for work in Work::ALL {
        metrics.observe_answer(*work, Duration::from_millis(250));
        let series = format!(r#"hickory_answer_seconds_count{{work="{work}"}}"#);
        assert_eq!(value(&metrics.render(), &series), Some(1.0));
    }
}

#[test]
fn first_token_times_are_separated_by_prompt_length() {
    let metrics = Metrics::new().unwrap();
    let lengths = [1_000, 10_000, 100_000, 1_000_000];
    for (length, class) in lengths.into_iter().zip(Length::ALL) {
        assert_eq!(Length::of(size::Tokens(length)), *class);
        metrics.observe_first_token(size::Tokens(length), Duration::from_millis(250));
        let series = format!(r#"hickory_first_token_seconds_count{{prompt="{class}"}}"#);
        assert_eq!(value(&metrics.render(), &series), Some(1.0));
    }
}
