//! What an engine has to do before a further prompt, by its passes.

mod profile;

use hickory_policy::iteration::{Engine, PendingPrefill};
use hickory_unit::size::Tokens;
use profile::profile;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn prefill(placed: Instant, part: u64) -> PendingPrefill {
    PendingPrefill {
        placed_at: placed,
        chunk_time: ms(part),
        is_primary: true,
        notification_delay: ms(100),
    }
}

/// A stride of an engine with these writers.
fn decode_time(writers: u32) -> Duration {
    profile().iteration_time(writers, Tokens(0))
}

fn is_near(time: Duration, wanted: Duration) -> bool {
    time.abs_diff(wanted) < ms(2)
}

/// Callers of six short prompts all wait twice their goal. The prompts come
/// within one pass of an engine that writes; none is read before the pass ends,
/// and the books count the first ones as read by then. A seventh prompt must
/// find all six before it.
#[test]
fn prompts_arriving_within_an_iteration_are_prefilled_in_the_next() {
    let ended = Instant::now();
    let now = ended + ms(35);
    let reads = (1..=6).map(|at| prefill(ended + ms(at * 5), 30)).collect();
    let mut engine = Engine {
        pending_prefills: reads,
        decoding_streams: 4,
        last_iteration_end: Some(ended),
        ..Engine::default()
    };
    let backlog = engine.backlog(now, &profile());
    let wanted = decode_time(4) - ms(35) + ms(180);
    assert!(is_near(backlog.prefill_start_delay, wanted), "{backlog:?}, wanted {wanted:?}");
    assert!(backlog.prefill_left >= ms(180), "{backlog:?}");
}

/// In the pass after, all of them are being read, and a further prompt waits
/// for its end: their reading and a stride.
#[test]
fn iteration_is_longer_by_its_prefills() {
    let ended = Instant::now();
    let now = ended + decode_time(4) + ms(100);
    let reads = (1..=6).map(|at| prefill(ended + ms(at * 5), 30)).collect();
    let mut engine = Engine {
        pending_prefills: reads,
        decoding_streams: 4,
        last_iteration_end: Some(ended),
        ..Engine::default()
    };
    let backlog = engine.backlog(now, &profile());
    let wanted = decode_time(4) + ms(80);
    assert!(is_near(backlog.prefill_start_delay, wanted), "{backlog:?}, wanted {wanted:?}");
}

/// Without a word of its passes, an engine that only writes is at any point of
/// one.
#[test]
fn decoding_engine_is_assumed_halfway_through_an_iteration() {
    let mut engine = Engine { decoding_streams: 4, ..Engine::default() };
    let backlog = engine.backlog(Instant::now(), &profile());
    assert_eq!(
        (backlog.prefill_left, backlog.prefill_start_delay),
        (Duration::ZERO, decode_time(4) / 2)
    );
}

/// Long prompts wait while engines idle. Their parts are read, but the word of
/// the first token takes a stride and a datagram to come; counted as reading for
/// so long, each engine is left idle between two prompts. An engine that should
/// be done is taken for done, until the word is overdue.
#[test]
fn engine_counts_as_done_until_its_first_token_is_overdue() {
    let now = Instant::now() + ms(1_000);
    let unread = |ago: u64, writers: u32| {
        let mut engine = Engine {
            pending_prefills: vec![prefill(now - ms(ago), 250)],
            decoding_streams: writers,
            ..Engine::default()
        };
        engine.backlog(now, &profile()).prefill_left
    };
    assert_eq!(unread(200, 0), ms(50));
    assert_eq!(unread(260, 0), Duration::ZERO);
    assert_eq!(unread(340, 0), Duration::ZERO);
    assert_eq!(unread(360, 0), ms(50), "a fifth, as long as nothing is heard");
    assert!(unread(260, 2) > Duration::ZERO, "its pass still writes");
    assert_eq!(unread(340, 2), Duration::ZERO);
}

/// At the beginning of a phase of short prompts, callers wait twice their goal.
/// Of many nodes, each hears half a second late that an engine writes; reckoned
/// without its strides, it looks as if it read the next prompts at once. Prompts
/// that must have been read are reckoned as written.
#[test]
fn finished_prefills_count_as_decoding() {
    let now = Instant::now() + ms(1_000);
    let placed = |ago| PendingPrefill { notification_delay: ms(600), ..prefill(now - ms(ago), 30) };
    let mut engine =
        Engine { pending_prefills: vec![placed(200), placed(190)], ..Engine::default() };
    let backlog = engine.backlog(now, &profile());
    assert_eq!((backlog.decoding_streams, backlog.prefill_left), (2, Duration::ZERO));
    // Read until 170 ms ago with the first one's stride between, it strides since.
    assert!(
        backlog.prefill_start_delay > Duration::ZERO
            && backlog.prefill_start_delay <= decode_time(2),
        "{backlog:?}"
    );
    let helps = PendingPrefill { is_primary: false, ..placed(200) };
    let mut engine = Engine { pending_prefills: vec![helps], ..Engine::default() };
    assert_eq!(engine.backlog(now, &profile()).decoding_streams, 0, "another engine writes");
}

/// Callers who come to an idle engine one after the other are promised 40 and 67 ms
/// and wait 130. The first prompt is written while the others are read, and each
/// pass has its stride; they were reckoned as if nothing was written.
#[test]
fn earlier_prompts_decode_beside_a_new_one() {
    let now = Instant::now();
    let reads = vec![prefill(now, 10), prefill(now + ms(1), 30), prefill(now + ms(2), 30)];
    let mut engine = Engine { pending_prefills: reads, ..Engine::default() };
    let backlog = engine.backlog(now + ms(3), &profile());
    assert_eq!(backlog.decoding_streams, 3, "{backlog:?}");
    assert!(is_near(backlog.next_iteration_prefill, ms(60)), "{backlog:?}");
}
