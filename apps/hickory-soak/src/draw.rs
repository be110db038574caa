//! What callers ask for, drawn from the seed.

use crate::caller::ANSWER_TIMEOUT;
use crate::check::Kind;
use crate::run::Run;
use hickory_adapter_standin::pace::Pace;
use rand::Rng;
use rand::rngs::StdRng;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Range of pauses within a stream, in milliseconds.
const PAUSE_MS: std::ops::RangeInclusive<u64> = 1_000..=1_500;

/// Fraction of the grace period that a stream lasts at most, without its pause.
const MAX_STREAM_FRACTION: f64 = 0.8;

/// Time that callers give a request beyond its length.
const DEADLINE_MARGIN: Duration = Duration::from_secs(3);

/// The longest deadline of most streams, the timeout of their routes.
const MAX_STREAM_DEADLINE: Duration = Duration::from_secs(5);

/// Draws a request that is answered at once.
pub(crate) fn brief_kind(random: &mut StdRng, run: &Run) -> Kind {
    match random.random_range(0..10) {
        0..=3 => Kind::Read,
        4..=5 => Kind::Once,
        6..=7 => Kind::Stream,
        _ => Kind::Version(random.random_range(1..=run.version.load(Ordering::Relaxed))),
    }
}

/// Draws a request, of which many take long.
pub(crate) fn unlike_kind(
    random: &mut StdRng,
    run: &Run,
    host: usize,
    is_read_slowly: bool,
) -> (Kind, Option<Pace>) {
    let grace_ms = run.hosts[host].settings.bounds.grace.as_millis() as u64;
    let max_long_ms = (grace_ms as f64 * MAX_STREAM_FRACTION) as u64;
    if is_read_slowly && random.random_bool(0.4) {
        return (Kind::Large, Some(Pace::Body(random.random_range(50_000..300_000))));
    }
    match random.random_range(0..20) {
        0..=2 => (Kind::Read, Some(delay(random, 1_200))),
        3..=4 => (Kind::Once, Some(delay(random, 600))),
        5..=9 => (Kind::Stream, Some(events(random, 50..300, 25))),
        10..=13 => (Kind::LongStream, Some(stream(random, 300..max_long_ms))),
        14..=16 => (Kind::OnceStream, Some(stream(random, 100..2_500))),
        17 => (Kind::Moved, Some(delay(random, 300))),
        18 => (Kind::Added, Some(delay(random, 300))),
        _ => (brief_kind(random, run), None),
    }
}

/// Returns the time that a caller gives a request.
pub(crate) fn deadline(random: &mut StdRng, kind: Kind, pace: Option<Pace>) -> Duration {
    let length = pace.map_or(Duration::ZERO, |pace| pace.duration());
    match kind {
        Kind::LongStream => length + DEADLINE_MARGIN,
        Kind::Stream if random.random_bool(0.5) => MAX_STREAM_DEADLINE,
        Kind::OnceStream => (length + DEADLINE_MARGIN).min(MAX_STREAM_DEADLINE),
        _ => ANSWER_TIMEOUT,
    }
}

/// Draws a time up to a maximum; most are short.
fn delay(random: &mut StdRng, max_ms: u64) -> Pace {
    let max_ms = if random.random_bool(0.8) { 50 } else { max_ms };
    Pace::Delay(Duration::from_millis(random.random_range(1..max_ms)))
}

fn events(random: &mut StdRng, length_ms: std::ops::Range<u64>, interval_ms: u64) -> Pace {
    let count = (random.random_range(length_ms) / interval_ms).max(2);
    Pace::Events { count, interval: Duration::from_millis(interval_ms) }
}

/// Draws a stream, of which some pause in the middle.
fn stream(random: &mut StdRng, length_ms: std::ops::Range<u64>) -> Pace {
    let pace = events(random, length_ms, 50);
    match pace {
        Pace::Events { count, interval } if random.random_bool(0.4) => Pace::PausedEvents {
            count,
            interval,
            pause_before: random.random_range(1..=count),
            pause: Duration::from_millis(random.random_range(PAUSE_MS)),
        },
        _ => pace,
    }
}
