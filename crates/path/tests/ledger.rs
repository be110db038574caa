//! What runs where, as nodes tell each other.

use hickory_path::dialect::Entry;
use hickory_path::ledger::{Allocation, Ledger, Number, Stage};
use hickory_path::view::{Tag, Target};
use hickory_policy::engine::Profile;
use hickory_store::store::Revision;
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
        kv_capacity: Tokens(315_000),
        base_step_time: ms(1),
        step_time_per_stream: Duration::ZERO,
        step_time_per_kilotoken: Duration::ZERO,
        prefill_rate: 177_000.0,
        attention_time_per_megapair: Duration::ZERO,
        steps_per_iteration: 51,
        remote_kv_step_time: Duration::ZERO,
        mean_answer: Tokens(100),
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
        revision: Revision::default(),
    };
    (1..=3).map(target).map(Arc::new).collect()
}

fn allocation(first: u64, helpers: &[u64], part: u64) -> Allocation {
    Allocation {
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

fn place(ledger: &mut Ledger, now: Instant, allocation: Allocation) -> Number {
    let number = ledger.next_number();
    ledger.place(now, number, allocation);
    number
}

#[test]
fn what_is_placed_is_to_be_read_in_turn() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let node: id::Node = "other".into();
    place(&mut ledger, now, allocation(1, &[2], 100));
    ledger.take(now, &node, Number(1), allocation(1, &[], 50));
    let loads = ledger.loads(now, &targets(), Some(&profile()));
    assert_eq!(
        [loads[0].prefill_backlog, loads[1].prefill_backlog, loads[2].prefill_backlog],
        [ms(150), ms(100), ms(0)]
    );
    assert_eq!((loads[0].requests, loads[0].short_requests, loads[1].helper_chunks), (2, 2, 1));
    let later = ledger.loads(now + ms(60), &targets(), Some(&profile()));
    assert_eq!([later[0].prefill_backlog, later[1].prefill_backlog], [ms(90), ms(40)]);
}

#[test]
fn the_first_token_ends_the_reading_and_the_end_the_rest() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let number = place(&mut ledger, now, allocation(1, &[2], 100));
    ledger.begin_writing(now, number);
    let loads = ledger.loads(now, &targets(), Some(&profile()));
    assert_eq!(
        (loads[0].prefill_backlog, loads[0].decoding_streams, loads[1].helper_chunks),
        (ms(0), 1, 0)
    );
    assert_eq!((loads[0].decode_context, loads[0].kv_used), (Tokens(1_100), Tokens(1_100)));
    ledger.end(now, number);
    assert_eq!(ledger.loads(now, &targets(), Some(&profile()))[0].requests, 0);
}

/// An engine looks full for good: the node that had placed work there died, or
/// the datagram that told of the end was lost. What is not told again must be
/// forgotten.
#[test]
fn what_is_not_told_again_is_forgotten() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let node: id::Node = "other".into();
    ledger.take(now, &node, Number(1), allocation(1, &[], 50));
    ledger.take(now, &node, Number(2), allocation(1, &[], 50));
    ledger.take(now + ms(1_500), &node, Number(2), allocation(1, &[], 50));
    let requests = |at| ledger.loads(at, &targets(), None)[0].requests;
    assert_eq!(requests(now + ms(1_900)), 2);
    assert_eq!(requests(now + ms(2_100)), 1);
    assert_eq!(requests(now + ms(4_000)), 0);
}

/// A node that was killed starts anew and numbers from one: its old requests
/// must not stand beside the new ones.
#[test]
fn a_node_that_starts_anew_has_placed_nothing() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let node: id::Node = "other".into();
    ledger.take(now, &node, Number(1), allocation(1, &[], 50));
    ledger.forget(&node);
    assert_eq!(ledger.loads(now, &targets(), None)[0].requests, 0);
}

/// A target that comes back cold falls over: each of nine nodes keeps to its
/// rate, and all together send nine times as much. Sendings of all nodes count,
/// also those that have ended.
#[test]
fn sendings_of_all_nodes_count_for_a_second() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let node: id::Node = "other".into();
    let number = place(&mut ledger, now, allocation(1, &[], 50));
    ledger.end(now, number);
    ledger.take(now, &node, Number(1), allocation(1, &[], 50));
    ledger.take(now + ms(500), &node, Number(1), allocation(1, &[], 50));
    assert_eq!(ledger.sent_lately(now + ms(900), Tag(1)), 2);
    assert_eq!(ledger.sent_lately(now + ms(1_100), Tag(1)), 0);
}

/// Guards against requests that count twice at a cold target, where the owner that
/// granted a place is told of it again by the node that asked.
#[test]
fn what_is_placed_again_was_sent_once() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let number = place(&mut ledger, now, allocation(1, &[], 50));
    ledger.place(now + ms(1), number, allocation(1, &[], 50));
    assert_eq!(ledger.sent_lately(now + ms(10), Tag(1)), 1);
    assert_eq!(ledger.loads(now + ms(10), &targets(), None)[0].requests, 1);
}

#[test]
fn what_an_answer_usually_takes_follows_plain_requests() {
    let (mut ledger, now) = (Ledger::default(), Instant::now());
    let plain = || Allocation { prompt: Tokens(0), ..allocation(1, &[], 0) };
    assert_eq!(ledger.usual_time(&"s".into()), None);
    let number = place(&mut ledger, now, plain());
    ledger.end(now + ms(60), number);
    assert_eq!(ledger.usual_time(&"s".into()), Some(ms(60)));
    ledger.take(now, &"other".into(), Number(1), plain());
    ledger.take_end(now + ms(220), &"other".into(), Number(1));
    assert_eq!(ledger.usual_time(&"s".into()), Some(ms(70)));
    let number = place(&mut ledger, now, allocation(1, &[], 50));
    ledger.end(now + ms(900), number);
    assert_eq!(ledger.usual_time(&"s".into()), Some(ms(70)), "a prompt's answer");
}
