//! Tests of the simulated iterations of an engine.

mod profile;

use hickory_policy::iteration::{Engine, PendingPrefill};
use hickory_unit::size::Tokens;
use profile::profile;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn prefill(placed_at: Instant, chunk_ms: u64) -> PendingPrefill {
    PendingPrefill {
        placed_at,
        chunk_time: ms(chunk_ms),
        is_primary: true,
        notification_delay: ms(100),
    }
}

/// Decode time of an iteration with this number of streams.
fn decode_time(streams: u32) -> Duration {
    profile().iteration_time(streams, Tokens(0))
}

fn is_near(time: Duration, wanted: Duration) -> bool {
    time.abs_diff(wanted) < ms(2)
}

/// Guards against a first token after twice the goal for six short prompts that arrive within one
/// iteration of a decoding engine. None of them is prefilled before the iteration ends; if some
/// counted as prefilled by then, a seventh prompt would not see all six before it.
#[test]
fn prompts_arriving_within_an_iteration_are_prefilled_in_the_next() {
    let iteration_end = Instant::now();
    let now = iteration_end + ms(35);
    let pending_prefills =
        (1..=6).map(|index| prefill(iteration_end + ms(index * 5), 30)).collect();
    let mut engine = Engine {
        pending_prefills,
        decoding_streams: 4,
        last_iteration_end: Some(iteration_end),
        ..Engine::default()
    };
    let backlog = engine.backlog(now, &profile());
    let wanted = decode_time(4) - ms(35) + ms(180);
    assert!(is_near(backlog.prefill_start_delay, wanted), "{backlog:?}, wanted {wanted:?}");
    assert!(backlog.prefill_left >= ms(180), "{backlog:?}");
}

/// In the next iteration all of them are prefilled, so a further prompt waits until its end: their
/// prefill and the decode time.
#[test]
fn iteration_is_longer_by_its_prefills() {
    let iteration_end = Instant::now();
    let now = iteration_end + decode_time(4) + ms(100);
    let pending_prefills =
        (1..=6).map(|index| prefill(iteration_end + ms(index * 5), 30)).collect();
    let mut engine = Engine {
        pending_prefills,
        decoding_streams: 4,
        last_iteration_end: Some(iteration_end),
        ..Engine::default()
    };
    let backlog = engine.backlog(now, &profile());
    let wanted = decode_time(4) + ms(80);
    assert!(is_near(backlog.prefill_start_delay, wanted), "{backlog:?}, wanted {wanted:?}");
}

/// If no iteration end is known, a decoding engine is at a random point of its iteration.
#[test]
fn decoding_engine_is_assumed_halfway_through_an_iteration() {
    let mut engine = Engine { decoding_streams: 4, ..Engine::default() };
    let backlog = engine.backlog(Instant::now(), &profile());
    assert_eq!(
        (backlog.prefill_left, backlog.prefill_start_delay),
        (Duration::ZERO, decode_time(4) / 2)
    );
}

/// Guards against engines that idle between two long prompts. The first token of a finished chunk
/// is reported one iteration and one datagram later; if the chunk counted as running until then,
/// each engine would idle for that time. An engine counts as done at the predicted time, until the
/// report is overdue.
#[test]
fn engine_counts_as_done_until_its_first_token_is_overdue() {
    let now = Instant::now() + ms(1_000);
    let prefill_left = |sent_ms_ago: u64, decoding_streams: u32| {
        let mut engine = Engine {
            pending_prefills: vec![prefill(now - ms(sent_ms_ago), 250)],
            decoding_streams,
            ..Engine::default()
        };
        engine.backlog(now, &profile()).prefill_left
    };
    assert_eq!(prefill_left(200, 0), ms(50));
    assert_eq!(prefill_left(260, 0), Duration::ZERO);
    assert_eq!(prefill_left(340, 0), Duration::ZERO);
    assert_eq!(
        prefill_left(360, 0),
        ms(50),
        "a fifth of the chunk until its first token is reported"
    );
    assert!(prefill_left(260, 2) > Duration::ZERO, "its iteration still decodes");
    assert_eq!(prefill_left(340, 2), Duration::ZERO);
}

/// Guards against a first token after twice the goal at the start of a phase of short prompts.
/// Nodes learn half a second late that an engine decodes; without the decode time of its
/// iterations, it seems to prefill the next prompts immediately. Prompts that must have been
/// prefilled count as decoding.
#[test]
fn finished_prefills_count_as_decoding() {
    let now = Instant::now() + ms(1_000);
    let placed_ms_ago =
        |ago| PendingPrefill { notification_delay: ms(600), ..prefill(now - ms(ago), 30) };
    let mut engine = Engine {
        pending_prefills: vec![placed_ms_ago(200), placed_ms_ago(190)],
        ..Engine::default()
    };
    let backlog = engine.backlog(now, &profile());
    assert_eq!((backlog.decoding_streams, backlog.prefill_left), (2, Duration::ZERO));
    // The last prefill ended 170 ms ago, after the decode time of the first prompt; decoding since
    // then.
    assert!(
        backlog.prefill_start_delay > Duration::ZERO
            && backlog.prefill_start_delay <= decode_time(2),
        "{backlog:?}"
    );
    let helper_chunk = PendingPrefill { is_primary: false, ..placed_ms_ago(200) };
    let mut engine = Engine { pending_prefills: vec![helper_chunk], ..Engine::default() };
    assert_eq!(
        engine.backlog(now, &profile()).decoding_streams,
        0,
        "another engine decodes the answer"
    );
}

/// Guards against a first token after 130 ms instead of the predicted 40 and 67 ms for prompts that
/// arrive at an idle engine one after the other. The first prompt decodes while the others are
/// prefilled, so each iteration includes decode time.
#[test]
fn earlier_prompts_decode_beside_a_new_one() {
    let now = Instant::now();
    let pending_prefills =
        vec![prefill(now, 10), prefill(now + ms(1), 30), prefill(now + ms(2), 30)];
    let mut engine = Engine { pending_prefills, ..Engine::default() };
    let backlog = engine.backlog(now + ms(3), &profile());
    assert_eq!(backlog.decoding_streams, 3, "{backlog:?}");
    assert!(is_near(backlog.next_iteration_prefill, ms(60)), "{backlog:?}");
}
