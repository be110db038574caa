//! The caller, tested against scripted nodes.

mod fake;

use fake::{Node, STREAM, end, entry, refusal, respond, token};
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

fn completion(resends: u32) -> Completion {
    let deadline = Duration::from_secs(10);
    let completion = Completion::for_prompt("secret", "oak", PROMPT, 4, Class::Interactive);
    Completion { deadline, resends, ..completion }
}

fn once_call() -> Call {
    Call {
        token: "secret".into(),
        path: "/orders/place".into(),
        body: "{}".into(),
        key: Some("k".into()),
        deadline: Duration::from_secs(10),
        resends: 3,
    }
}

fn block_on<T>(future: impl Future<Output = T>) -> T {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime")
        .block_on(future)
}

fn complete(seeds: Vec<SocketAddr>, completion: &Completion) -> Outcome {
    block_on(Caller::open(seeds, 0).complete(completion, Instant::now()))
}

/// Starts a node that returns its own address as the entry address and answers all
/// other requests with `answer`.
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
fn complete_answer_is_accepted() {
    let node = node(|_| respond(200, STREAM, &(tokens(0..4) + &end(4))));
    let outcome = complete(vec![node.address], &completion(0));
    assert_eq!(outcome.end, End::Whole);
    assert_eq!((outcome.tokens, outcome.gaps.len()), (4, 3));
    let seen = node.requests();
    assert_eq!(seen[0].line, "POST /v1/completions");
    assert_eq!(seen[0].header("authorization"), Some("bearer secret"));
    assert!(seen[0].header("x-time-left-ms").is_some());
}

#[test]
fn entry_answer_is_cached() {
    let node = node(|_| respond(200, STREAM, &(tokens(0..4) + &end(4))));
    block_on(async {
        let caller = Caller::open(vec![node.address], 0);
        for _ in 0..3 {
            caller.complete(&completion(0), Instant::now()).await;
        }
    });
    assert_eq!((node.entry_queries(), node.requests().len()), (1, 3));
}

/// The cached address belongs to a node that is down. The connection fails before
/// anything is sent, so the caller must use an alternate address.
#[test]
fn caller_falls_back_to_an_alternate_address() {
    let alive = node(|_| respond(200, STREAM, &(tokens(0..4) + &end(4))));
    let (dead, alternate) = (dead_address(), alive.address);
    let asked = Node::spawn(move |_, _| entry(dead, &[alternate]));
    assert_eq!(complete(vec![asked.address], &completion(0)).end, End::Whole);
    assert_eq!(alive.requests().len(), 1);
}

#[test]
fn caller_without_a_reachable_node_fails_as_unreachable() {
    let outcome = complete(vec![dead_address()], &completion(0));
    assert_eq!(outcome.end, End::Failed(Failure::Unreachable));
}

/// The connection breaks after two tokens. The caller resumes the stream with the
/// request id and the last event id, and receives each token once.
#[test]
fn interrupted_stream_resumes_after_its_last_event() {
    let node = node(|number| match number {
        0 => respond(200, STREAM, &tokens(0..2)),
        _ => respond(200, STREAM, &(tokens(2..4) + &end(4))),
    });
    let outcome = complete(vec![node.address], &completion(0));
    assert_eq!((outcome.end, outcome.resumes, outcome.tokens), (End::Whole, 1, 4));
    let seen = node.requests();
    assert_eq!(seen[1].line, "GET /v1/requests/r1");
    assert_eq!(seen[1].header("last-event-id"), Some("1"));
}

/// Each row: the data after two correct tokens, and the expected end.
#[test]
fn each_wrong_answer_is_detected() {
    let error_event = "event: error\ndata: {\"reason\":\"target-failed\",\"ran\":\"unknown\"}\n\n";
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
            error_event.into(),
            |end| matches!(end, End::Failed(Failure::Reported(refused)) if refused.reason == Reason::TargetFailed),
        ),
    ];
    for (rest, is_expected) in rows {
        let body = tokens(0..2) + &rest;
        let node = node(move |_| respond(200, STREAM, &body));
        let outcome = complete(vec![node.address], &completion(0));
        assert!(is_expected(&outcome.end), "{rest:?}: {:?}", outcome.end);
    }
}

#[test]
fn refused_request_is_retried_after_the_stated_delay() {
    let node = node(|number| match number {
        0 => refusal(429, "overloaded", "no", Some(150)),
        _ => respond(200, STREAM, &(tokens(0..4) + &end(4))),
    });
    let start = Instant::now();
    let outcome = complete(vec![node.address], &completion(1));
    assert!(start.elapsed() >= Duration::from_millis(150));
    assert_eq!((outcome.end, outcome.resends, outcome.refusals.len()), (End::Whole, 1, 1));
}

/// Each row: an answer after which the request must not be retried, and whether it
/// is a valid refusal.
#[test]
fn other_refusals_are_not_retried() {
    let rows = [
        (refusal(429, "overloaded", "no", None), true),
        (refusal(502, "target-failed", "unknown", Some(1)), true),
        (refusal(429, "overloaded", "no", Some(3_600_000)), true),
        (refusal(503, "overloaded", "no", Some(1)), false),
        (refusal(429, "unheard-of", "no", Some(1)), false),
        (respond(500, "", "oops"), false),
    ];
    for (answer, is_valid_refusal) in rows {
        let text = answer.clone();
        let node = node(move |_| text.clone());
        let outcome = complete(vec![node.address], &completion(3));
        assert_eq!(matches!(outcome.end, End::Refused(_)), is_valid_refusal, "{answer}");
        assert_eq!(node.requests().len(), 1, "{answer}");
    }
}

#[test]
fn caller_hangs_up_after_the_given_token_count() {
    let node = node(|_| respond(200, STREAM, &(tokens(0..4) + &end(4))));
    let outcome = complete(vec![node.address], &Completion { hang_up: Some(2), ..completion(0) });
    assert_eq!((outcome.end, outcome.tokens), (End::HungUp, 2));
}

/// The answer to a call is lost, so the caller doesn't know whether the call was
/// executed. It must retry with the same idempotency key, or the call could be
/// executed twice.
#[test]
fn retried_call_keeps_its_idempotency_key() {
    let node = node(|number| match number {
        0 => String::new(),
        _ => respond(200, "", "{\"key\":\"k\",\"body\":\"{}\"}"),
    });
    let outcome = block_on(Caller::open(vec![node.address], 0).call(&once_call(), Instant::now()));
    assert_eq!((outcome.end, outcome.resends), (End::Whole, 1));
    let keys: Vec<_> =
        node.requests().iter().map(|s| s.header("idempotency-key").map(str::to_owned)).collect();
    assert_eq!(keys, [Some("k".to_owned()), Some("k".to_owned())]);
}

#[test]
fn answer_to_another_call_is_wrong() {
    let node = node(|_| respond(200, "", "{\"key\":\"other\",\"body\":\"{}\"}"));
    let outcome = block_on(Caller::open(vec![node.address], 0).call(&once_call(), Instant::now()));
    assert!(matches!(outcome.end, End::Wrong(_)));
}
