//! Prompts that nodes place at the same moment on the same engines.

use hickory_policy::claim::{Claim, Turn, settle_time};
use hickory_unit::id;
use hickory_unit::size::Tokens;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Callers of two long prompts both wait seconds. Two of 79 nodes see the same
/// engines become idle and place within some milliseconds, each before it hears
/// of the other; the engines read the later one first and all streams there
/// pause for both. Whatever the delay of either datagram, just one may go.
#[test]
fn of_two_nodes_that_chose_alike_just_one_goes() {
    let nodes: [id::Node; 2] = ["a".into(), "b".into()];
    let mut random = StdRng::seed_from_u64(1);
    for _ in 0..10_000 {
        let peers = random.random_range(1..=78);
        let settle = settle_time(peers);
        let now = Instant::now() + ms(100);
        let delays = [0, 1].map(|_| settle.mul_f64(random.random_range(0.0..0.5)));
        // The second places before the word of the first has come.
        let placed = [now, now + delays[0].mul_f64(random.random_range(0.0..1.0))];
        let prompt = [0, 1].map(|_| Tokens(random.random_range(30..40) * 1_000));
        let goes = [0, 1].map(|me| {
            let other = 1 - me;
            let own = Claim { at: placed[me], prompt: prompt[me], node: &nodes[me], number: 1 };
            let heard = placed[other] + delays[other];
            assert!(heard <= placed[me] + settle, "the word comes in time");
            let rival = Claim { at: heard, prompt: prompt[other], node: &nodes[other], number: 1 };
            !own.yields(&rival, settle)
        });
        assert_ne!(goes[0], goes[1], "{placed:?} {delays:?} {prompt:?}");
    }
}

/// A large prompt waits for ever behind a smaller one whose node has died, or
/// takes the engines that a smaller one is about to choose. It leaves them for
/// the time in which the smaller ones would have chosen and been heard.
#[test]
fn a_large_prompt_lets_smaller_ones_choose_and_then_goes() {
    let begin = Instant::now();
    let (settle, mut turn) = (ms(6), Turn::default());
    assert_eq!(turn.wait(begin, 2, settle), ms(12));
    assert_eq!(turn.wait(begin + ms(5), 1, settle), ms(1));
    assert_eq!(turn.wait(begin + ms(6), 0, settle), Duration::ZERO);
    assert_eq!(turn.wait(begin + ms(12), 2, settle), Duration::ZERO);
    let mut behind_many = Turn::default();
    assert!(behind_many.wait(begin, 50, settle) <= ms(24), "it does not wait for all of many");
}

/// A datagram is late, as after a lost one: the other prompt was sent long ago
/// and is being read. Placed behind it, a smaller one would overtake it there.
#[test]
fn what_went_long_ago_comes_first_whatever_its_size() {
    let (a, b): (id::Node, id::Node) = ("a".into(), "b".into());
    let now = Instant::now() + ms(100);
    let own = Claim { at: now, prompt: Tokens(30_000), node: &a, number: 1 };
    let gone = Claim { at: now - ms(60), prompt: Tokens(90_000), node: &b, number: 1 };
    assert!(own.yields(&gone, ms(10)));
    assert!(!gone.yields(&own, ms(10)));
}
