//! Times of an engine for figures that no engine reaches.

mod profile;

use hickory_unit::size::Tokens;
use std::time::Duration;

/// Guards against a panic where a time or a size exceeds its type.
#[test]
fn times_and_sizes_saturate() {
    let (engine, most) = (profile::profile(), Tokens(u64::MAX));
    assert_eq!(engine.prefill_time(most), Duration::MAX);
    assert!(engine.iteration_time(u32::MAX, most) > Duration::from_secs(1 << 32));
    assert!(engine.stream_time(u32::MAX - 1) > Duration::from_secs(1 << 20));
    assert_eq!(engine.kv_needed(most, most), most);
    assert_eq!([most, Tokens(1)].into_iter().sum::<Tokens>(), most);
    assert_eq!(Tokens(1) - Tokens(2), Tokens(0));
    let mut total = most;
    total += Tokens(1);
    assert_eq!(total, most);
    total = Tokens(1);
    total -= most;
    assert_eq!(total, Tokens(0));
}
