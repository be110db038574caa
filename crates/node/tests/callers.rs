//! The contract of the HTTP interface for callers: a table of invalid requests with their
//! refusals, sent over real sockets.

use hickory_node::Node;
use hickory_release::configuration::{Account, Model, Partner, Service, Weight, digest_token};
use hickory_release::note::{Entries, Note};
use hickory_settings::{Platform, Settings, Times};
use hickory_standin::fleet::{self, Fleet};
use hickory_target::engine::Weights;
use hickory_unit::size;
use serde_json::Value;
use std::io::{Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use std::time::Duration;

const TOKEN: &str = "shop-token";
const EXPIRED_KEY: &str = "01700000-0000-7000-8000-000000000000";
const RANDOM_KEY: &str = "7c9e6679-7425-40de-944b-e07fc1f90ae7";

async fn start_node() -> (Fleet, Node) {
    let weights = Weights { model: "oak".into(), version: "1".into(), adapter: None };
    let mut options = fleet::Options::default();
    options.engine.loaded = vec![weights];
    options.engine.model.speed = 50.0;
    let standins = Fleet::spawn(options).expect("the stand-ins start");
    let platform = standins.platform();
    let any_address = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let settings = Settings {
        node: "node".into(),
        zone: "a".into(),
        callers: any_address,
        admin: any_address,
        peers: any_address,
        platform: Platform {
            store: platform.store,
            hosts: platform.hosts,
            weights: platform.weights,
        },
        fleet_key: "2a".repeat(32),
        first_operator: None,
        times: Times { gossip_ms: 50, report_ms: 50, hosts_ms: 100, ..Times::default() },
        logs: Default::default(),
    };
    let node = Node::spawn(settings).await.expect("the node starts");
    (standins, node)
}

async fn configure(node: &Node) {
    let weight = Weight { bytes: size::Bytes(1_000) };
    let model = |name: &str| {
        let versions = [("1".into(), weight)].into();
        (name.into(), Model { current: "1".into(), versions, adapters: Default::default() })
    };
    let shop = Account {
        partner: "mawe".into(),
        token_digest: digest_token(TOKEN),
        weight: 1.0,
        models: ["oak".into()].into(),
        services: ["orders".into()].into(),
    };
    let added = Entries {
        partners: [("mawe".into(), Partner { share: 1.0 })].into(),
        accounts: [("shop".into(), shop)].into(),
        models: [model("oak"), model("ash")].into(),
        services: [
            ("orders".into(), Service { once: ["/place".to_owned()].into() }),
            ("refunds".into(), Service::default()),
        ]
        .into(),
        operators: [digest_token("operator")].into(),
        ..Entries::default()
    };
    let note = Note { operation: "first".into(), added, ..Note::default() };
    node.accept(&note).await.expect("the note is accepted");
    while node.count_accepting_targets() < 5 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Sends a request on a new connection and returns the answer's head and body.
fn send(address: SocketAddr, request: &str) -> (String, String) {
    let mut stream = TcpStream::connect(address).expect("the node listens");
    stream.set_read_timeout(Some(Duration::from_secs(20))).expect("a timeout can be set");
    stream.write_all(request.as_bytes()).expect("the request is sent");
    let mut answer = Vec::new();
    stream.read_to_end(&mut answer).expect("the answer ends");
    let answer = String::from_utf8_lossy(&answer).into_owned();
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((&answer, ""));
    (head.to_owned(), body.to_owned())
}

fn write_request(method: &str, path: &str, headers: &[(&str, &str)], body: &str) -> String {
    let mut request = format!("{method} {path} HTTP/1.1\r\nhost: node\r\nconnection: close\r\n");
    for (name, value) in headers {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str(&format!("content-length: {}\r\n\r\n{body}", body.len()));
    request
}

/// A row of the table: the request, and the expected status, reason and `ran`.
struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    expected: (u16, &'static str, &'static str),
}

const AUTH: (&str, &str) = ("authorization", "Bearer shop-token");
const COMPLETION_BODY: &str = r#"{"model":"oak","prompt":"p","max_tokens":2}"#;

const fn completion(name: &'static str, body: &'static str, expected: (u16, &'static str)) -> Case {
    let (method, path, headers) = ("POST", "/v1/completions", &[AUTH]);
    Case { name, method, path, headers, body, expected: (expected.0, expected.1, "no") }
}

const fn with_headers(
    name: &'static str,
    headers: &'static [(&'static str, &'static str)],
    expected: (u16, &'static str),
) -> Case {
    Case { headers, ..completion(name, COMPLETION_BODY, expected) }
}

const fn at_path(
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    expected: (u16, &'static str),
) -> Case {
    Case { name, method, path, headers, body: "{}", expected: (expected.0, expected.1, "no") }
}

const CASES: &[Case] = &[
    completion("no JSON", "{", (400, "malformed")),
    completion("empty body", "", (400, "malformed")),
    completion("no prompt", r#"{"model":"oak"}"#, (400, "malformed")),
    completion("empty prompt", r#"{"model":"oak","prompt":""}"#, (400, "malformed")),
    completion("prompt of a wrong type", r#"{"model":"oak","prompt":7}"#, (400, "malformed")),
    completion("no tokens", r#"{"model":"oak","prompt":"p","max_tokens":0}"#, (400, "malformed")),
    completion(
        "tokens below zero",
        r#"{"model":"oak","prompt":"p","max_tokens":-1}"#,
        (400, "malformed"),
    ),
    completion(
        "too many tokens",
        r#"{"model":"oak","prompt":"p","max_tokens":9e9}"#,
        (400, "malformed"),
    ),
    completion(
        "unknown class",
        r#"{"model":"oak","prompt":"p","class":"vip"}"#,
        (400, "malformed"),
    ),
    completion("unknown model", r#"{"model":"elm","prompt":"p"}"#, (404, "not-found")),
    completion(
        "unknown version",
        r#"{"model":"oak","version":"9","prompt":"p"}"#,
        (404, "not-found"),
    ),
    completion(
        "unknown adapter",
        r#"{"model":"oak","adapter":"x","prompt":"p"}"#,
        (404, "not-found"),
    ),
    completion("model not allowed", r#"{"model":"ash","prompt":"p"}"#, (403, "forbidden")),
    with_headers("no token", &[], (401, "unauthenticated")),
    with_headers("unknown token", &[("authorization", "Bearer x")], (401, "unauthenticated")),
    with_headers("another scheme", &[("authorization", "Basic eDp5")], (401, "unauthenticated")),
    with_headers("no time left", &[AUTH, ("x-time-left-ms", "0")], (400, "bad-deadline")),
    with_headers("time below zero", &[AUTH, ("x-time-left-ms", "-5")], (400, "bad-deadline")),
    with_headers(
        "too much time",
        &[AUTH, ("x-time-left-ms", "99999999999")],
        (400, "bad-deadline"),
    ),
    with_headers("time in words", &[AUTH, ("x-time-left-ms", "soon")], (400, "bad-deadline")),
    at_path("unknown path", "GET", "/v2/entry", &[AUTH], (404, "not-found")),
    at_path("wrong method", "GET", "/v1/completions", &[AUTH], (405, "bad-method")),
    at_path("resume without an event", "GET", "/v1/requests/x", &[AUTH], (400, "bad-header")),
    at_path(
        "resume with a forged event",
        "GET",
        "/v1/requests/x",
        &[AUTH, ("last-event-id", "00:1:engine-0:y")],
        (400, "bad-header"),
    ),
    at_path("unknown service", "POST", "/v1/services/taxis/x", &[AUTH], (404, "not-found")),
    at_path("service not allowed", "POST", "/v1/services/refunds/x", &[AUTH], (403, "forbidden")),
    at_path("order without a key", "POST", "/v1/services/orders/place", &[AUTH], (400, "bad-key")),
    at_path(
        "order with a random key",
        "POST",
        "/v1/services/orders/place",
        &[AUTH, ("idempotency-key", RANDOM_KEY)],
        (400, "bad-key"),
    ),
    Case {
        expected: (400, "key-too-old", "unknown"),
        ..at_path(
            "order with an old key",
            "POST",
            "/v1/services/orders/place",
            &[AUTH, ("idempotency-key", EXPIRED_KEY)],
            (400, "key-too-old"),
        )
    },
];

/// Each invalid request is refused with its own reason and without holding the connection, and
/// the node still serves a valid request afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn each_invalid_request_gets_its_listed_refusal() {
    let (_standins, node) = start_node().await;
    configure(&node).await;
    let callers = node.caller_address();
    for case in CASES {
        let request = write_request(case.method, case.path, case.headers, case.body);
        let (head, body) = send(callers, &request);
        let problem: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let (expected_status, reason, ran) = case.expected;
        assert_eq!(status, Some(expected_status), "{}: {head}\n{body}", case.name);
        assert_eq!(problem["reason"], reason, "{}: {body}", case.name);
        assert_eq!(problem["ran"], ran, "{}: {body}", case.name);
        assert_ne!(problem["detail"], "", "{}", case.name);
        assert!(head.contains("application/problem+json"), "{}: {head}", case.name);
    }
    let (head, body) =
        send(callers, &write_request("POST", "/v1/completions", &[AUTH], COMPLETION_BODY));
    assert!(head.starts_with("HTTP/1.1 200"), "{head}\n{body}");
}

/// An idempotency key that is reused with another body is refused as not run: only the first
/// body has run under that key.
#[tokio::test(flavor = "multi_thread")]
async fn an_idempotency_key_is_valid_for_one_body_only() {
    let (standins, node) = start_node().await;
    configure(&node).await;
    let key = uuid::Uuid::now_v7().to_string();
    let place = |body: &str| {
        let headers = [AUTH, ("idempotency-key", key.as_str())];
        send(
            node.caller_address(),
            &write_request("POST", "/v1/services/orders/place", &headers, body),
        )
    };
    let (head, body) = place(r#"{"paint":1}"#);
    assert!(head.starts_with("HTTP/1.1 200"), "{head}\n{body}");
    let (head, body) = place(r#"{"paint":2}"#);
    assert!(head.starts_with("HTTP/1.1 422"), "{head}\n{body}");
    assert!(body.contains("key-reused") && body.contains(r#""ran":"no""#), "{body}");
    assert_eq!(standins.replicas[0].service().runs().count(&key), 1);
}

/// A body above the size limit is refused by its announced length, before it is sent. A node
/// without configuration refuses every request as not ready.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_are_bounded_and_an_empty_node_is_not_ready() {
    let (_standins, node) = start_node().await;
    let (_, body) = send(
        node.caller_address(),
        &write_request("POST", "/v1/completions", &[AUTH], COMPLETION_BODY),
    );
    assert!(body.contains("not-ready") && body.contains("retry_after_ms"), "{body}");
    configure(&node).await;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer {TOKEN}\r\ncontent-length: 99999999\r\n\r\n"
    );
    let (head, body) = send(node.caller_address(), &request);
    assert!(head.starts_with("HTTP/1.1 413"), "{head}\n{body}");
    assert!(body.contains("too-large"), "{body}");
}
