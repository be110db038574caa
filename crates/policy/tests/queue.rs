//! Tests of the queue of prompts that wait for engines.

use hickory_policy::queue::{Ahead, Priority, Queue};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn queued_keys(queue: &Queue<&'static str, u32>) -> Vec<&'static str> {
    queue.in_order().into_iter().map(|(key, _)| key).collect()
}

/// Guards against small prompts that wait behind a large one that needs all engines.
#[test]
fn smallest_long_prompt_comes_first() {
    let (mut queue, now) = (Queue::default(), Instant::now());
    for (key, prefill_ms) in [("large", 900), ("small", 100), ("other", 400), ("later", 400)] {
        assert!(queue.insert_or_refresh(now, key, Priority::Long(ms(prefill_ms)), 0));
    }
    assert_eq!(queued_keys(&queue), ["small", "other", "later", "large"]);
    assert_eq!(
        queue.ahead_of(&"large", Priority::Long(ms(900))),
        Ahead { prefill_time: ms(900), short_prompts: 0 }
    );
    assert_eq!(
        queue.ahead_of(&"other", Priority::Long(ms(400))),
        Ahead { prefill_time: ms(100), short_prompts: 0 }
    );
    assert_eq!(queue.remove(now + ms(30), &"small"), Some(ms(30)));
    assert_eq!(queue.remove(now, &"small"), None);
}

/// Guards against short prompts that wait behind long ones, and against larger short prompts that
/// wait behind later arrivals.
#[test]
fn short_prompts_come_first_by_due_time() {
    let (mut queue, now) = (Queue::default(), Instant::now());
    queue.insert_or_refresh(now, "long", Priority::Long(ms(400)), 0);
    for (key, due_ms) in [("third", 290), ("first", 100), ("second", 200)] {
        assert!(queue.insert_or_refresh(now, key, Priority::Short(now + ms(due_ms)), 0));
    }
    assert_eq!(queued_keys(&queue), ["first", "second", "third", "long"]);
    let third = queue.ahead_of(&"third", Priority::Short(now + ms(290)));
    assert_eq!(third, Ahead { prefill_time: Duration::ZERO, short_prompts: 2 });
    let longer = queue.ahead_of(&"longer", Priority::Long(ms(500)));
    assert_eq!(longer, Ahead { prefill_time: ms(400), short_prompts: 3 });
    assert!(queue.has_short());
    for key in ["first", "second", "third"] {
        queue.remove(now, &key);
    }
    assert!(!queue.has_short());
}

/// Guards against entries that stay forever after their callers have gone.
#[test]
fn entries_that_are_not_refreshed_expire() {
    let (mut queue, now) = (Queue::default(), Instant::now());
    queue.insert_or_refresh(now, "left", Priority::Long(ms(100)), 1);
    queue.insert_or_refresh(now, "kept", Priority::Long(ms(200)), 1);
    queue.insert_or_refresh(now + ms(800), "kept", Priority::Long(ms(200)), 2);
    queue.expire(now + ms(1_100));
    assert_eq!(queue.in_order(), [("kept", 2)]);
    assert_eq!(queue.len(), 1);
}

/// Guards against unbounded growth of the queue.
#[test]
fn full_queue_accepts_no_new_prompt() {
    let (mut queue, now) = (Queue::default(), Instant::now());
    let accepted = (0..5_000)
        .filter(|key| queue.insert_or_refresh(now, *key, Priority::Long(ms(100)), ()))
        .count();
    assert!((100..5_000).contains(&accepted), "{accepted}");
    assert!(
        queue.insert_or_refresh(now, 0, Priority::Long(ms(100)), ()),
        "a queued prompt can be refreshed"
    );
}
