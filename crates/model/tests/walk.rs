//! Property test with random operations: the memory of an engine is never
//! overbooked, and is completely free once everything is released.

mod common;

use common::{TestEngine, handle, job_with_prompt, options, stream, text};
use hickory_model::engine::{Job, Options};
use hickory_model::prefix;
use hickory_target::engine::{Order, Priority};
use hickory_unit::{id, size};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::time::Duration;

#[derive(Clone, Debug)]
enum Action {
    Begin { number: u8, seed: u8, blocks: u8, max: u8, priority: u8, import: u8, keep: u8 },
    Cancel(u8),
    Drop(u8),
    Pin(u8, u8),
    Unpin(u8, u8),
    TurnCold,
    Pass(u16),
}

fn action() -> impl Strategy<Value = Action> {
    let begin = (0..20_u8, 0..3_u8, 0..12_u8, 0..40_u8, 0..3_u8, 0..6_u8, 0..6_u8);
    prop_oneof![
        6 => begin.prop_map(|(number, seed, blocks, max, priority, import, keep)| {
            Action::Begin { number, seed, blocks, max, priority, import, keep }
        }),
        2 => (0..20_u8).prop_map(Action::Cancel),
        1 => (0..3_u8).prop_map(Action::Drop),
        1 => (0..3_u8, 1..12_u8).prop_map(|(seed, blocks)| Action::Pin(seed, blocks)),
        1 => (0..3_u8, 1..12_u8).prop_map(|(seed, blocks)| Action::Unpin(seed, blocks)),
        1 => Just(Action::TurnCold),
        6 => (0..2_000_u16).prop_map(Action::Pass),
    ]
}

fn prompt(seed: u8, blocks: u8) -> String {
    text(['a', 'b', 'c'][seed as usize], blocks as usize)
}

fn pin_of(seed: u8, blocks: u8) -> u64 {
    prefix::hash_blocks(&prompt(seed, blocks))[blocks as usize - 1]
}

fn apply(test: &mut TestEngine, action: Action) {
    let (now, fence) = (test.now, id::Epoch(1));
    match action {
        Action::Begin { number, seed, blocks, max, priority, import, keep } => {
            let held = |n: u8| (n < 3).then(|| handle(u128::from(n), 0));
            let job = Job {
                priority: Priority(priority),
                import: held(import),
                keep_as: held(keep),
                ..job_with_prompt(number.into(), &prompt(seed, blocks), max.into())
            };
            let _ = test.engine.begin(now, job);
        }
        Action::Cancel(number) => {
            test.engine.cancel(now, &stream(number.into()));
        }
        Action::Drop(number) => test.engine.drop_handle(now, &handle(number.into(), 0)),
        Action::Pin(seed, blocks) => {
            let _ = test.engine.apply_order(now, fence, &Order::Pin(pin_of(seed, blocks)));
        }
        Action::Unpin(seed, blocks) => {
            let _ = test.engine.apply_order(now, fence, &Order::Unpin(pin_of(seed, blocks)));
        }
        Action::TurnCold => test.engine.turn_cold(now),
        Action::Pass(millis) => test.advance_by(Duration::from_millis(millis.into())),
    }
}

fn release_everything(test: &mut TestEngine) {
    (0..20).for_each(|number| apply(test, Action::Cancel(number)));
    (0..3).for_each(|number| apply(test, Action::Drop(number)));
    for seed in 0..3 {
        (1..12).for_each(|blocks| apply(test, Action::Unpin(seed, blocks)));
    }
}

/// Returns a configuration with a fixed seed, for the same cases in each run.
fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(7);
    ProptestConfig {
        cases: 1_000,
        rng_seed,
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn memory_is_never_overbooked_and_is_all_freed(
        actions in prop::collection::vec(action(), 1..60),
    ) {
        let kv_capacity = size::Tokens(20 * prefix::BLOCK_TOKENS.0);
        let options =
            Options { kv_capacity, max_streams: 4, crashes_on_overload: false, ..options() };
        let mut test = TestEngine::new(options);
        for action in actions {
            apply(&mut test, action);
            prop_assert!(test.used_tokens() <= kv_capacity.0);
        }
        release_everything(&mut test);
        prop_assert_eq!(test.used_tokens(), 0);
        prop_assert_eq!(test.engine.stream_count(), 0);
    }
}
