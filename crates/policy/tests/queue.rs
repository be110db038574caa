//! Prompts that wait for engines.

use hickory_policy::queue::Queue;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn names(queue: &Queue<&'static str, u32>) -> Vec<&'static str> {
    queue.in_order().into_iter().map(|(key, _)| key).collect()
}

/// Guards against small prompts that wait behind a large one which needs all engines.
#[test]
fn the_smallest_chooses_first() {
    let (mut queue, now) = (Queue::default(), Instant::now());
    for (key, read) in [("large", 900), ("small", 100), ("other", 400), ("later", 400)] {
        assert!(queue.put(now, key, ms(read), 0));
    }
    assert_eq!(names(&queue), ["small", "other", "later", "large"]);
    assert_eq!(queue.ahead(&"large", ms(900)), ms(900));
    assert_eq!(queue.ahead(&"other", ms(400)), ms(100));
    assert_eq!(queue.remove(now + ms(30), &"small"), Some(ms(30)));
    assert_eq!(queue.remove(now, &"small"), None);
}

/// Guards against prompts that wait for ever for callers who are gone.
#[test]
fn what_is_not_asked_for_again_is_dropped() {
    let (mut queue, now) = (Queue::default(), Instant::now());
    queue.put(now, "left", ms(100), 1);
    queue.put(now, "kept", ms(200), 1);
    queue.put(now + ms(800), "kept", ms(200), 2);
    queue.expire(now + ms(1_100));
    assert_eq!(queue.in_order(), [("kept", 2)]);
    assert_eq!(queue.len(), 1);
}

/// Guards against a queue that grows without a bound.
#[test]
fn a_full_queue_takes_no_more() {
    let (mut queue, now) = (Queue::default(), Instant::now());
    let taken = (0..5_000).filter(|key| queue.put(now, *key, ms(100), ())).count();
    assert!((100..5_000).contains(&taken), "{taken}");
    assert!(queue.put(now, 0, ms(100), ()), "what waits already is asked for again");
}
