//! What runs where, as nodes tell each other.

use hickory_path::books::{Ahead, Booking, Books, Number, Stage};
use hickory_path::dialect::Entry;
use hickory_path::view::{Tag, Target};
use hickory_policy::engine::Profile;
use hickory_unit::id;
use hickory_unit::size::Tokens;
use std::sync::Arc;
use std::time::{Duration, Instant};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn profile() -> Profile {
    Profile {
        slots: 16,
        memory: Tokens(315_000),
        step: ms(1),
        step_per_stream: Duration::ZERO,
        step_per_kilotoken: Duration::ZERO,
        read_rate: 177_000.0,
        read_per_megapair: Duration::ZERO,
        stride: 51,
        hop: Duration::ZERO,
        usual_answer: Tokens(100),
    }
}

fn targets() -> Vec<Arc<Target>> {
    let target = |number: u64| Target {
        id: format!("t-{number}").as_str().into(),
        tag: Tag(number),
        entry: Entry {
            service: "s".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            zone: "z".into(),
            slots: 16,
            draining: false,
            cold_left: Duration::ZERO,
            born: 1,
        },
        cold_until: None,
        lapses: None,
    };
    (1..=3).map(target).map(Arc::new).collect()
}

fn booking(first: u64, helpers: &[u64], part: u64) -> Booking {
    Booking {
        service: "s".into(),
        first: Tag(first),
        helpers: helpers.iter().map(|&tag| Tag(tag)).collect(),
        part: ms(part),
        prompt: Tokens(1_000),
        answer: Tokens(100),
        memory: Vec::new(),
        gap: Some(ms(250)),
        short: true,
        stage: Stage::Reading,
        age: Duration::ZERO,
    }
}

#[test]
fn what_is_placed_is_to_be_read_in_turn() {
    let (mut books, now) = (Books::default(), Instant::now());
    let node: id::Node = "other".into();
    books.place(now, booking(1, &[2], 100));
    books.take(now, &node, Number(1), booking(1, &[], 50));
    let loads = books.loads(now, &targets(), Some(&profile()));
    assert_eq!([loads[0].backlog, loads[1].backlog, loads[2].backlog], [ms(150), ms(100), ms(0)]);
    assert_eq!((loads[0].requests, loads[0].short, loads[1].helping), (2, 2, 1));
    let later = books.loads(now + ms(60), &targets(), Some(&profile()));
    assert_eq!([later[0].backlog, later[1].backlog], [ms(90), ms(40)]);
}

#[test]
fn the_first_token_ends_the_reading_and_the_end_the_rest() {
    let (mut books, now) = (Books::default(), Instant::now());
    let number = books.place(now, booking(1, &[2], 100));
    books.begin_writing(now, number);
    let loads = books.loads(now, &targets(), Some(&profile()));
    assert_eq!((loads[0].backlog, loads[0].writers, loads[1].helping), (ms(0), 1, 0));
    assert_eq!((loads[0].context, loads[0].memory), (Tokens(1_100), Tokens(1_100)));
    books.end(number);
    assert_eq!(books.loads(now, &targets(), Some(&profile()))[0].requests, 0);
}

/// An engine looks full for good: the node that had placed work there died, or
/// the datagram that told of the end was lost. What is not told again must be
/// forgotten.
#[test]
fn what_is_not_told_again_is_forgotten() {
    let (mut books, now) = (Books::default(), Instant::now());
    let node: id::Node = "other".into();
    books.take(now, &node, Number(1), booking(1, &[], 50));
    books.take(now, &node, Number(2), booking(1, &[], 50));
    books.take(now + ms(1_500), &node, Number(2), booking(1, &[], 50));
    let requests = |at| books.loads(at, &targets(), None)[0].requests;
    assert_eq!(requests(now + ms(1_900)), 2);
    assert_eq!(requests(now + ms(2_100)), 1);
    assert_eq!(requests(now + ms(4_000)), 0);
}

/// A node that was killed starts anew and numbers from one: its old requests
/// must not stand beside the new ones.
#[test]
fn a_node_that_starts_anew_has_placed_nothing() {
    let (mut books, now) = (Books::default(), Instant::now());
    let node: id::Node = "other".into();
    books.take(now, &node, Number(1), booking(1, &[], 50));
    books.forget(&node);
    assert_eq!(books.loads(now, &targets(), None)[0].requests, 0);
}

/// A target that comes back cold falls over: each of nine nodes keeps to its
/// rate, and all together send nine times as much. Sendings of all nodes count,
/// also those that have ended.
#[test]
fn sendings_of_all_nodes_count_for_a_second() {
    let (mut books, now) = (Books::default(), Instant::now());
    let node: id::Node = "other".into();
    let number = books.place(now, booking(1, &[], 50));
    books.end(number);
    books.take(now, &node, Number(1), booking(1, &[], 50));
    books.take(now + ms(500), &node, Number(1), booking(1, &[], 50));
    assert_eq!(books.sent_lately(now + ms(900), Tag(1)), 2);
    assert_eq!(books.sent_lately(now + ms(1_100), Tag(1)), 0);
}

/// Eight nodes place twelve prompts on one engine within 8 ms. What a node knows of
/// the last milliseconds tells how much it has not heard of: short prompts of the
/// same service, of all nodes, and nothing older.
#[test]
fn what_was_placed_lately_counts_short_prompts_of_all_nodes() {
    let (mut books, now) = (Books::default(), Instant::now());
    let short = |part| Booking { short: true, ..booking(0, &[], part) };
    books.place(now, short(20));
    books.take(now + ms(2), &"other".into(), Number(1), short(30));
    books.take(now + ms(2), &"other".into(), Number(2), Booking { short: false, ..short(400) });
    books.place(now + ms(2), Booking { service: "t".into(), ..short(50) });
    let lately = |at, window| books.placed_lately(now + ms(at), &"s".into(), ms(window));
    assert_eq!(lately(3, 10), ms(50));
    assert_eq!(lately(11, 10), ms(30));
    assert_eq!(lately(20, 10), ms(0));
}

#[test]
fn smaller_prompts_that_wait_come_before() {
    let (mut books, now) = (Books::default(), Instant::now());
    let waiting = |part| Booking { stage: Stage::Waiting, ..booking(0, &[], part) };
    books.place(now, waiting(400));
    books.take(now, &"other".into(), Number(1), waiting(3_000));
    books.place(now, Booking { service: "t".into(), ..waiting(100) });
    assert_eq!(books.ahead(now, &"s".into(), ms(2_000)), Ahead { count: 1, read: ms(400) });
    assert_eq!(books.loads(now, &targets(), Some(&profile()))[0].requests, 0);
}

/// Two callers' long prompts are read on the same engines, newest first, and
/// the first one is late by the whole second one. Both nodes placed before they
/// heard of each other; just the one whose prompt is larger must choose again.
#[test]
fn of_two_long_prompts_on_one_engine_the_larger_is_contested() {
    let (a, b): (id::Node, id::Node) = ("a".into(), "b".into());
    let now = Instant::now();
    let long = |prompt| Booking { prompt: Tokens(prompt), short: false, ..booking(1, &[2], 200) };
    let contested = |own: u64, other: Booking, heard: Duration| {
        let mut books = Books::default();
        let number = books.place(now, long(own));
        books.take(now + heard, &b, Number(7), other);
        books.is_contested(&a, number, ms(10))
    };
    assert!(contested(90_000, long(80_000), ms(3)));
    assert!(!contested(80_000, long(90_000), ms(3)));
    let elsewhere = Booking { first: Tag(3), helpers: Vec::new(), ..long(80_000) };
    assert!(!contested(90_000, elsewhere, ms(3)), "on other engines");
    let writing = Booking { stage: Stage::Writing, ..long(80_000) };
    assert!(!contested(90_000, writing, ms(3)), "read already");
    let short = Booking { short: true, ..long(80_000) };
    assert!(!contested(90_000, short, ms(3)), "a short prompt");
}

/// A prompt that was known when this node chose is part of what it chose by; to
/// yield to it would be to wait for ever.
#[test]
fn a_prompt_that_was_known_contests_nothing() {
    let (a, b): (id::Node, id::Node) = ("a".into(), "b".into());
    let now = Instant::now();
    let long = |prompt| Booking { prompt: Tokens(prompt), short: false, ..booking(1, &[2], 200) };
    let mut books = Books::default();
    books.take(now, &b, Number(7), long(80_000));
    let number = books.place(now + ms(1), long(90_000));
    // It is told again while it lasts.
    books.take(now + ms(2), &b, Number(7), Booking { age: ms(2), ..long(80_000) });
    assert!(!books.is_contested(&a, number, ms(10)));
}
