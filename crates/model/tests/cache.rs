//! The prefix cache, pins, and cache events.

mod common;

use common::{TestEngine, job, job_with_prompt, options, text};
use hickory_model::engine::Options;
use hickory_model::prefix::{self, BLOCK_TOKENS};
use hickory_target::engine::{CacheEvent, Order};
use hickory_unit::{id, size};
use std::time::Duration;

const FENCE: id::Epoch = id::Epoch(1);

fn small(blocks: u64) -> Options {
    let kv_capacity = size::Tokens(blocks * BLOCK_TOKENS.0);
    Options { kv_capacity, event_lag: Duration::ZERO, event_loss_interval: 0, ..options() }
}

fn run(test: &mut TestEngine, number: u128, prompt: &str) -> u64 {
    let before = test.engine.counts().cache_hits;
    test.begin(job_with_prompt(number, prompt, 1));
    test.run_to_end(number);
    test.engine.counts().cache_hits - before
}

#[test]
fn hashes_identify_prompts_up_to_a_block_end() {
    let long = text('a', 3) + "tail";
    let hashes = prefix::hash_blocks(&long);
    assert_eq!(hashes.len(), 3);
    assert_eq!(prefix::hash_blocks(&text('a', 2)), hashes[..2]);
    assert_ne!(hashes[0], hashes[1]);
    assert!(prefix::hash_blocks(&text('b', 3)).iter().all(|hash| !hashes.contains(hash)));
}

#[test]
fn second_prompt_skips_the_shared_prefix() {
    let mut test = TestEngine::new(small(100));
    let prompt = text('a', 10);
    assert_eq!(run(&mut test, 1, &prompt), 0);
    assert_eq!(run(&mut test, 2, &(prompt.clone() + "more")), 10 * BLOCK_TOKENS.0);
    assert_eq!(run(&mut test, 3, &(text('a', 5) + &text('b', 5))), 5 * BLOCK_TOKENS.0);
    assert_eq!(test.used_tokens(), 0, "what only the cache holds is not in use");
}

#[test]
fn least_recently_used_prefix_is_evicted_first() {
    let mut test = TestEngine::new(small(25));
    run(&mut test, 1, &text('a', 10));
    run(&mut test, 2, &text('b', 10));
    run(&mut test, 3, &text('a', 10));
    run(&mut test, 4, &text('c', 10));
    assert!(run(&mut test, 5, &text('a', 10)) > 9 * BLOCK_TOKENS.0);
    assert!(run(&mut test, 6, &text('b', 10)) < 10 * BLOCK_TOKENS.0);
}

#[test]
fn streams_take_memory_from_the_cache() {
    let mut test = TestEngine::new(small(20));
    run(&mut test, 1, &text('a', 15));
    test.begin(job(2, 15 * BLOCK_TOKENS.0, 1));
    test.run_to_end(2);
    assert!(run(&mut test, 3, &text('a', 15)) <= 5 * BLOCK_TOKENS.0);
}

#[test]
fn pinned_prefix_stays_until_it_is_released() {
    let mut test = TestEngine::new(small(30));
    let pinned = prefix::hash_blocks(&text('a', 10))[9];
    test.engine.apply_order(test.now, FENCE, &Order::Pin(pinned)).unwrap();
    assert_eq!(test.used_tokens(), 0, "not cached yet");
    run(&mut test, 1, &text('a', 10));
    assert_eq!(test.used_tokens(), 10 * BLOCK_TOKENS.0);
    run(&mut test, 2, &text('b', 19));
    run(&mut test, 3, &text('c', 19));
    assert_eq!(run(&mut test, 4, &text('a', 10)), 10 * BLOCK_TOKENS.0 - 1);
    assert_eq!(test.engine.current_report().pins, vec![pinned]);
    test.engine.apply_order(test.now, FENCE, &Order::Unpin(pinned)).unwrap();
    assert_eq!((test.used_tokens(), test.engine.current_report().pins.len()), (0, 0));
}

#[test]
fn turning_cold_loses_the_cache() {
    let mut test = TestEngine::new(small(100));
    run(&mut test, 1, &text('a', 10));
    test.engine.turn_cold(test.now);
    assert_eq!(run(&mut test, 2, &text('a', 10)), 0);
}

#[test]
fn events_report_stores_and_evictions() {
    let mut test = TestEngine::new(small(12));
    run(&mut test, 1, &text('a', 10));
    run(&mut test, 2, &text('b', 10));
    let events = test.engine.cache_events(test.now, 0);
    let (a, b) = (prefix::hash_blocks(&text('a', 10)), prefix::hash_blocks(&text('b', 10)));
    let stored = |hashes: &[u64]| hashes.iter().all(|h| has(&events, *h, true));
    assert!(stored(&a) && stored(&b));
    assert!(has(&events, a[9], false), "the last block of the older prompt is evicted first");
    let last = events.last().unwrap().seq;
    assert!(test.engine.cache_events(test.now, last).is_empty());
}

fn has(events: &[CacheEvent], prefix: u64, stored: bool) -> bool {
    events.iter().any(|event| event.prefix == prefix && event.stored == stored)
}

#[test]
fn events_are_delayed_and_have_gaps() {
    let late = Options { event_lag: Duration::from_secs(60), event_loss_interval: 4, ..small(100) };
    let mut test = TestEngine::new(late);
    run(&mut test, 1, &text('a', 10));
    assert!(test.engine.cache_events(test.now, 0).is_empty());
    test.advance_by(Duration::from_secs(60));
    let seqs: Vec<u64> = test.engine.cache_events(test.now, 0).iter().map(|e| e.seq).collect();
    assert_eq!(seqs, [1, 2, 3, 5, 6, 7, 9, 10]);
}
