//! Counting of events in log lines.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod log;

use hickory_report::outcome::Outcome;
use hickory_report::summary::Summary;
use hickory_report::tally::{MAX_ENGINES, MAX_REASONS};
use hickory_report::timeline::MAX_STEPS;
use log::{answer, line, sum_up};
use serde_json::json;

/// Returns the number of requests with an outcome.
fn count(summary: &Summary, outcome: Outcome) -> u64 {
    summary.outcomes.iter().map(|row| row.counts[outcome as usize]).sum()
}

#[test]
fn requests_are_classified_by_the_fields_of_their_lines() {
    let refusal = |status: u32, ran: &str| {
        let fields = json!({ "request": "r", "reason": "some", "status": status, "ran": ran });
        line(0, "refused: for a reason", fields)
    };
    let ended = |message: &str| line(0, message, json!({ "request": "r", "prompt": 10 }));
    let cases = [
        (answer(0, json!({})), Outcome::InTime),
        (answer(0, json!({ "first_ms": 300, "pause_ms": 250 })), Outcome::InTime),
        (answer(0, json!({ "first_ms": 301 })), Outcome::Late),
        (answer(0, json!({ "pause_ms": 251 })), Outcome::Late),
        // There is no limit for pauses.
        (answer(0, json!({ "pause_ms": 9_000, "pause_max_ms": 0 })), Outcome::InTime),
        // Not a stream: the goal applies to the whole answer, even if the prompt size is
        // known.
        (answer(0, json!({ "first_ms": 0, "pause_max_ms": 0, "age_ms": 300 })), Outcome::InTime),
        (answer(0, json!({ "first_ms": 0, "pause_max_ms": 0, "age_ms": 301 })), Outcome::Late),
        (answer(0, json!({ "status": 404 })), Outcome::InTime),
        (answer(0, json!({ "status": 500 })), Outcome::Failed),
        (refusal(503, "no"), Outcome::Refused),
        (refusal(429, "no"), Outcome::Refused),
        (refusal(404, "no"), Outcome::Invalid),
        (refusal(502, "unknown"), Outcome::Failed),
        (ended("given up on: no repeat left"), Outcome::Failed),
        (ended("the deadline passed within the stream"), Outcome::Failed),
        (ended("the caller is gone"), Outcome::Gone),
    ];
    for (text, outcome) in cases {
        let summary = sum_up(&text);
        assert_eq!((summary.lines.skipped, summary.lines.read), (0, 1), "{text}");
        assert_eq!(count(&summary, outcome), 1, "{outcome:?}: {text}");
        let all: u64 = Outcome::ALL.into_iter().map(|outcome| count(&summary, outcome)).sum();
        assert_eq!(all, 1, "{text}");
    }
}

/// Older nodes don't log the goal, so their answers can't be judged.
#[test]
fn an_answer_without_a_goal_is_not_judged() {
    let text = answer(0, json!({})).replace(r#""goal_ms":"300","#, "");
    let summary = sum_up(&text);
    assert_eq!((summary.lines.skipped, count(&summary, Outcome::Unjudged)), (0, 1));
}

#[test]
fn a_request_counts_in_the_step_of_its_arrival() {
    let late = answer(61_500, json!({ "age_ms": 61_000, "first_ms": 60_000, "request": "slow" }));
    let summary = sum_up(late + &answer(61_500, json!({})));
    let worst = &summary.worst[0];
    assert_eq!((worst.time.as_str(), worst.late), ("2026-06-01T12:00:00Z", 1));
    assert_eq!(worst.examples[0].request, "slow");
    assert_eq!(worst.examples[0].node, "entry-1");
    assert_eq!(summary.worst.len(), 1);
}

/// The prefill time of a long prompt starts at its placement and spans several
/// steps; that of a short prompt ends at its first token.
#[test]
fn prefill_time_is_distributed_over_the_steps_it_overlaps() {
    let placed = json!({ "request": "l", "target_id": "i-1", "helpers": "i-2,i-3",
        "part_ms": 1_500, "prompt": 90_000, "age_ms": 20 });
    let log = line(800, "placed", placed)
        + &answer(2_400, json!({ "age_ms": 400, "first_ms": 100 }))
        + &answer(2_400, json!({ "short": false, "target_id": "i-2" }));
    let summary = sum_up(log);
    let of = |name: &str| {
        summary.series.iter().map(|point| point.engines.get(name).copied()).collect::<Vec<_>>()
    };
    assert_eq!(of("i-1"), [Some([0, 200]), Some([0, 1_000]), Some([40, 300])]);
    assert_eq!(of("i-2"), [Some([0, 200]), Some([0, 1_000]), Some([0, 300])]);
    let first = &summary.engines[0];
    assert_eq!((first.name.as_str(), first.short_ms, first.long_ms), ("i-1", 40, 1_500));
    assert_eq!(summary.engines.len(), 3);
}

#[test]
fn first_tokens_are_compared_from_the_placement_of_streams_sent_once() {
    let log = answer(0, json!({ "first_ms": 180, "wait_ms": 100 }))
        + &answer(0, json!({ "sends": 2 }))
        + &answer(0, json!({ "first_ms": 0, "pause_max_ms": 0 }));
    let predicted = sum_up(log).predicted;
    let expected = predicted.expected_ms.unwrap();
    let first = predicted.first_ms.unwrap();
    assert_eq!((expected.count, expected.p50, first.count, first.p50), (1, 80, 1, 80));
    assert_eq!(predicted.cells.len(), 1);
}

#[test]
fn pauses_count_by_their_excess_above_the_limit() {
    let log = answer(0, json!({ "pause_ms": 350 }))
        + &answer(0, json!({}))
        + &answer(0, json!({ "pause_max_ms": 0, "pause_ms": 900 }));
    let pauses = sum_up(log).pauses;
    let over = pauses.over_ms.unwrap();
    assert_eq!((pauses.streams, over.count, over.p50), (2, 1, 100));
}

#[test]
fn refusals_are_counted_by_reason_with_their_state() {
    let known = json!({ "request": "r", "reason": "overloaded", "status": 503, "ran": "no",
        "prompt": 70_000, "goal_left_ms": 10, "limit_left_ms": 900, "wait_ms": 25,
        "engines_known": 12, "full": 3, "idle": 0, "clear": 1, "penalized": 2, "unread_ms": 50,
        "ahead_ms": 60, "age_ms": 30 });
    let log = line(0, "refused: all targets are busy", known.clone())
        + &line(0, "refused: all targets are busy", known)
        + &line(
            0,
            "refused: timeout",
            json!({ "reason": "deadline", "status": 504, "ran": "unknown", "prompt": 0 }),
        );
    let summary = sum_up(log);
    let [busy, late] = &summary.refusals[..] else { panic!("{:?}", summary.refusals) };
    assert_eq!((busy.reason.as_str(), busy.count, busy.may_have_run), ("overloaded", 2, 0));
    assert_eq!(busy.known["engines_known"].p50, 12);
    assert_eq!(busy.known["idle"].max, 0);
    assert_eq!(busy.known.len(), 11);
    assert_eq!((late.reason.as_str(), late.may_have_run, late.known.len()), ("deadline", 1, 0));
    assert_eq!(summary.waits["to 256 Ki"].count, 2);
}

#[test]
fn retries_are_counted() {
    let failed = json!({ "request": "r", "target_id": "i-9", "sends": 1 });
    let log = answer(0, json!({ "sends": 2 }))
        + &answer(0, json!({ "sends": 9 }))
        + &line(0, "attempt failed: stalled", failed.clone())
        + &line(5_000, "attempt failed: stalled", failed)
        + &line(0, "no repeat left to spend", json!({ "request": "r" }));
    let summary = sum_up(log);
    assert_eq!(summary.sends.answered, [0, 1, 0, 1]);
    assert_eq!((summary.sends.failed["stalled"], summary.sends.spent), (2, 1));
    let engine = summary.engines.iter().find(|row| row.name == "i-9").unwrap();
    assert_eq!(engine.failed, 2);
    assert_eq!(summary.series.last().unwrap().failed_attempts, 1);
}

/// Memory must not grow with the logs: the step width doubles, and names beyond the
/// capacity share a count. The sums must stay complete.
#[test]
fn memory_is_bounded() {
    let mut log = String::new();
    let count_all = 2 * MAX_STEPS as i64 + 100;
    for number in 0..count_all {
        let target = format!("i-{}", number % (MAX_ENGINES as i64 + 20));
        let first_ms = if number % 2 == 0 { 100 } else { 400 };
        log += &answer(number * 1_000, json!({ "target_id": target, "first_ms": first_ms }));
        let why = format!("attempt failed: cause {}", number % (MAX_REASONS as i64 + 5));
        log += &line(number * 1_000, &why, json!({ "target_id": target }));
    }
    let summary = sum_up(&log);
    assert_eq!(summary.step_s, 4);
    assert!(summary.series.len() <= MAX_STEPS, "{}", summary.series.len());
    assert_eq!(summary.engines.len(), MAX_ENGINES + 1);
    assert_eq!(summary.engines.last().unwrap().name, "others");
    assert_eq!(summary.sends.failed.len(), MAX_REASONS + 1);
    assert!(summary.worst.iter().all(|worst| worst.examples.len() <= 3));
    let rows = || summary.series.iter().flat_map(|point| &point.outcomes);
    let late: u64 = rows().map(|row| row.counts[Outcome::Late as usize]).sum();
    assert_eq!(
        (late, count(&summary, Outcome::Late)),
        (count_all as u64 / 2, count_all as u64 / 2)
    );
    assert_eq!(summary.engines.iter().map(|row| row.answered).sum::<u64>(), count_all as u64);
    assert_eq!(summary.engines.iter().map(|row| row.failed).sum::<u64>(), count_all as u64);
    assert_eq!(summary.sends.failed.values().sum::<u64>(), count_all as u64);
    let attempts: u64 = summary.series.iter().map(|point| point.failed_attempts).sum();
    assert_eq!(attempts, count_all as u64);
}

/// One line with a wrong clock must not widen the steps to years, which would hide all
/// other lines in one step.
#[test]
fn a_wrong_clock_does_not_widen_the_steps() {
    let log = answer(0, json!({})) + &answer(-1_000_000_000_000, json!({}));
    let summary = sum_up(log);
    assert_eq!((summary.step_s, summary.series.len()), (1, 2));
}
