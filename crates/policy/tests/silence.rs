//! Waiting for answers that come late and for those that are lost.

use hickory_policy::silence::Overruns;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Plays answers that come late by `spread` seconds at the mean, of which one in twenty is
/// lost; the parts of late ones that were left and the longest wait for a lost one.
fn play(spread: f64, seed: u64) -> (f64, Duration) {
    let mut random = StdRng::seed_from_u64(seed);
    let mut overruns = Overruns::default();
    let (mut left, mut longest) = (0, Duration::ZERO);
    const ANSWERS: u32 = 2_000;
    for _ in 0..ANSWERS {
        let expected = ms(random.random_range(100..900));
        let patience = overruns.patience(expected);
        let late = -random.random::<f64>().max(1e-9).ln() * spread;
        let took = expected + Duration::from_secs_f64(late);
        let is_lost = random.random_bool(0.05);
        if is_lost {
            longest = longest.max(patience);
            continue;
        }
        // The second target is waited for.
        left += u32::from(took > patience);
        overruns.note(expected, took);
    }
    (f64::from(left) / f64::from(ANSWERS), longest)
}

/// Guards against lost answers that are waited for until their goal has passed, and against
/// late ones that are asked for twice.
#[test]
fn waits_follow_what_predictions_are_off_by() {
    for seed in 1..=4 {
        let (left, longest) = play(0.04, seed);
        assert!(left < 0.01, "{left}");
        assert!(longest < ms(3_000) / 2, "half of a long prompt's goal is left: {longest:?}");
        let (left, _) = play(0.4, seed);
        assert!(left < 0.05, "targets that are slower than predicted: {left}");
    }
}

#[test]
fn a_wait_is_bounded() {
    let mut overruns = Overruns::default();
    assert_eq!(overruns.patience(ms(200)), ms(700));
    (0..200).for_each(|_| overruns.note(ms(100), ms(60_000)));
    assert_eq!(overruns.patience(ms(200)), ms(3_200));
}
