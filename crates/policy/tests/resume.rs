//! Tests of resuming interrupted streams on busy engines.

mod profile;

use hickory_policy::plan::{self, Choice, Load, Query};
use hickory_policy::queue::Ahead;
use hickory_policy::resume;
use hickory_unit::size::Tokens;
use profile::profile;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn query(prompt: u64, goal: Duration) -> Query {
    Query {
        prompt_tokens: Tokens(prompt),
        answer_tokens: Tokens(1_600),
        is_short: prompt < 10_000,
        goal_left: goal,
        limit_left: ms(8_000),
        ahead: Ahead::default(),
        typical_stream_time: ms(2_000),
    }
}

/// Guards against giving up interrupted streams while all engines are busy for a moment, because
/// the goal for their first token has already passed.
#[test]
fn interrupted_streams_wait_for_busy_engines() {
    let profile = profile();
    let now = Instant::now();
    let max_pause = |gap| resume::resume_deadline(now, Some(gap), now + ms(8_000)) - now;
    let full = Load { prefill_start_delay: ms(60), requests: profile.slots, ..Load::default() };
    let reading = Load {
        prefill_backlog: ms(400),
        prefill_start_delay: ms(400),
        requests: 1,
        ..Load::default()
    };
    for (prompt, gap, load) in [(5_000, ms(250), full), (154_000, ms(1_000), reading)] {
        let loads = vec![load; 8];
        let choose = |goal| plan::choose_engines(&query(prompt, goal), &profile, &loads);
        assert!(choose(Duration::ZERO).is_err(), "{prompt}: the goal has already passed");
        let choice = choose(max_pause(gap));
        assert!(matches!(choice, Ok(Choice::Wait(_))), "{prompt}: {choice:?}");
    }
}

#[test]
fn a_stream_is_resumed_before_its_caller_gives_up() {
    let now = Instant::now();
    let max_pause = |gap, left| resume::resume_deadline(now, gap, now + left) - now;
    assert_eq!(max_pause(Some(ms(250)), ms(8_000)), ms(1_000));
    assert_eq!(max_pause(Some(ms(1_000)), ms(3_000)), ms(1_500));
    assert_eq!(max_pause(None, ms(3_000)), ms(1_500));
    assert_eq!(max_pause(None, Duration::ZERO), Duration::ZERO);
}
