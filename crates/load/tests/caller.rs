//! The caller against scripted nodes.

mod fake;

use fake::{Node, STREAM, end, entry, problem, respond, token};
use hickory_load::caller::{Call, Caller, Completion};
use hickory_load::content::Fault;
use hickory_load::mix::Class;
use hickory_load::outcome::{End, Failure, Outcome};
use hickory_model::answer::Answer;
use hickory_policy::refuse::Reason;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::time::{Duration, Instant};

const PROMPT: &str = "which primer for lime plaster?";

fn text(seq: u64) -> String {
    Answer::for_prompt(PROMPT).token(seq).to_string()
}

fn tokens(range: std::ops::Range<u64>) -> String {
    range.map(|seq| token(seq, &text(seq))).collect()
}

fn ask(resends: u32) -> Completion {
    let deadline = Duration::from_secs(10);
    let ask = Completion::of_prompt("secret", "oak", PROMPT, 4, Class::Interactive);
    Completion { deadline, resends, ..ask }
}

fn order() -> Call {
    Call {
        token: "secret".into(),
        path: "/orders/place".into(),
        body: "{}".into(),
        key: Some("k".into()),
        deadline: Duration::from_secs(10),
        resends: 3,
    }
}

fn block<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(future)
}

fn complete(seeds: Vec<SocketAddr>, ask: &Completion) -> Outcome {
    block(Caller::open(seeds, 0).complete(ask, Instant::now()))
}

/// A node that names itself and answers all else with `answer`.
fn node(answer: impl Fn(usize) -> String + Send + 'static) -> Node {
    Node::spawn(move |seen, number| match seen.line.as_str() {
        "GET /v1/entry" => entry(seen.header("host").expect("host").parse().expect("address"), &[]),
        _ => answer(number),
    })
}

fn dead_address() -> SocketAddr {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bind").local_addr().expect("address")
}

#[test]
fn a_whole_answer_is_whole() {
    let node = node(|_| respond(200, STREAM, &(tokens(0..4) + &end(4))));
    let outcome = complete(vec![node.address], &ask(0));
    assert_eq!(outcome.end, End::Whole);
    assert_eq!((outcome.tokens, outcome.gaps.len()), (4, 3));
    let seen = node.seen();
    assert_eq!(seen[0].line, "POST /v1/completions");
    assert_eq!(seen[0].header("authorization"), Some("bearer secret"));
    assert!(seen[0].header("x-time-left-ms").is_some());
}

#[test]
fn the_entry_is_kept() {
    let node = node(|_| respond(200, STREAM, &(tokens(0..4) + &end(4))));
    block(async {
        let caller = Caller::open(vec![node.address], 0);
        for _ in 0..3 {
            caller.complete(&ask(0), Instant::now()).await;
        }
    });
    assert_eq!((node.entries_asked(), node.seen().len()), (1, 3));
}

/// The caller keeps an address whose node is gone. Its connect fails, so
/// nothing was sent; it must go to an alternate and get its answer.
#[test]
fn a_dead_address_gives_way_to_an_alternate() {
    let alive = node(|_| respond(200, STREAM, &(tokens(0..4) + &end(4))));
    let (dead, alternate) = (dead_address(), alive.address);
    let asked = Node::spawn(move |_, _| entry(dead, &[alternate]));
    assert_eq!(complete(vec![asked.address], &ask(0)).end, End::Whole);
    assert_eq!(alive.seen().len(), 1);
}

#[test]
fn no_node_at_all_is_unreachable() {
    let outcome = complete(vec![dead_address()], &ask(0));
    assert_eq!(outcome.end, End::Failed(Failure::Unreachable));
}

/// The stream is cut after two tokens. The caller asks for the rest by the
/// request's id and the last event's, and sees each token once.
#[test]
fn a_cut_stream_is_taken_up_after_its_last_event() {
    let node = node(|number| match number {
        0 => respond(200, STREAM, &tokens(0..2)),
        _ => respond(200, STREAM, &(tokens(2..4) + &end(4))),
    });
    let outcome = complete(vec![node.address], &ask(0));
    assert_eq!((outcome.end, outcome.resumes, outcome.tokens), (End::Whole, 1, 4));
    let seen = node.seen();
    assert_eq!(seen[1].line, "GET /v1/requests/r1");
    assert_eq!(seen[1].header("last-event-id"), Some("1"));
}

/// Each row: what follows two right tokens, and how the caller ends.
#[test]
fn each_wrong_answer_is_told_from_a_whole_one() {
    let told = "event: error\ndata: {\"reason\":\"target-failed\",\"ran\":\"unknown\"}\n\n";
    let done = "data: [DONE]\n\n";
    type Row = (String, fn(&End) -> bool);
    let rows: Vec<Row> = vec![
        (tokens(3..4), |end| *end == End::Wrong(Fault::Gap { expected: 2, got: 3 })),
        (tokens(1..2), |end| *end == End::Wrong(Fault::Repeated { expected: 2, got: 1 })),
        (token(2, " x"), |end| *end == End::Wrong(Fault::Foreign { expected: 2 })),
        (end(2), |end| *end == End::Wrong(Fault::Short { count: 4, got: 2 })),
        (tokens(2..4) + &token(4, &text(4)), |end| *end == End::Wrong(Fault::Surplus { count: 4 })),
        (done.into(), |end| matches!(end, End::Failed(Failure::Protocol(_)))),
        ("data: {\n\n".into(), |end| matches!(end, End::Failed(Failure::Protocol(_)))),
        (
            told.into(),
            |end| matches!(end, End::Failed(Failure::Told(told)) if told.reason == Reason::TargetFailed),
        ),
    ];
    for (rest, right) in rows {
        let body = tokens(0..2) + &rest;
        let node = node(move |_| respond(200, STREAM, &body));
        let outcome = complete(vec![node.address], &ask(0));
        assert!(right(&outcome.end), "{rest:?}: {:?}", outcome.end);
    }
}

#[test]
fn a_refusal_that_names_a_time_is_honoured() {
    let node = node(|number| match number {
        0 => problem(429, "overloaded", "no", Some(150)),
        _ => respond(200, STREAM, &(tokens(0..4) + &end(4))),
    });
    let start = Instant::now();
    let outcome = complete(vec![node.address], &ask(1));
    assert!(start.elapsed() >= Duration::from_millis(150));
    assert_eq!((outcome.end, outcome.resends, outcome.refusals.len()), (End::Whole, 1, 1));
}

/// Each row: a refusal after which the request must not be sent again.
#[test]
fn other_refusals_are_final() {
    let rows = [
        (problem(429, "overloaded", "no", None), true),
        (problem(502, "target-failed", "unknown", Some(1)), true),
        (problem(429, "overloaded", "no", Some(3_600_000)), true),
        (problem(503, "overloaded", "no", Some(1)), false),
        (problem(429, "unheard-of", "no", Some(1)), false),
        (respond(500, "", "oops"), false),
    ];
    for (answer, by_interface) in rows {
        let text = answer.clone();
        let node = node(move |_| text.clone());
        let outcome = complete(vec![node.address], &ask(3));
        assert_eq!(matches!(outcome.end, End::Refused(_)), by_interface, "{answer}");
        assert_eq!(node.seen().len(), 1, "{answer}");
    }
}

#[test]
fn a_caller_hangs_up_on_purpose() {
    let node = node(|_| respond(200, STREAM, &(tokens(0..4) + &end(4))));
    let outcome = complete(vec![node.address], &Completion { hang_up: Some(2), ..ask(0) });
    assert_eq!((outcome.end, outcome.tokens), (End::HungUp, 2));
}

/// The answer to an order is lost on the way. The caller can't know whether
/// the order was taken and sends it again: with the same key, or it could be
/// taken twice.
#[test]
fn an_order_sent_again_keeps_its_key() {
    let node = node(|number| match number {
        0 => String::new(),
        _ => respond(200, "", "{\"key\":\"k\",\"body\":\"{}\"}"),
    });
    let outcome = block(Caller::open(vec![node.address], 0).call(&order(), Instant::now()));
    assert_eq!((outcome.end, outcome.resends), (End::Whole, 1));
    let keys: Vec<_> =
        node.seen().iter().map(|s| s.header("idempotency-key").map(str::to_owned)).collect();
    assert_eq!(keys, [Some("k".to_owned()), Some("k".to_owned())]);
}

#[test]
fn anothers_answer_to_an_order_is_wrong() {
    let node = node(|_| respond(200, "", "{\"key\":\"other\",\"body\":\"{}\"}"));
    let outcome = block(Caller::open(vec![node.address], 0).call(&order(), Instant::now()));
    assert!(matches!(outcome.end, End::Wrong(_)));
}
