//! The contract of the callers' interface: what each bad request is told, in
//! a table, over real sockets.

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
const OLD_KEY: &str = "01700000-0000-7000-8000-000000000000";
const RANDOM_KEY: &str = "7c9e6679-7425-40de-944b-e07fc1f90ae7";

async fn start() -> (Fleet, Node) {
    let weights = Weights { model: "oak".into(), version: "1".into(), adapter: None };
    let mut options = fleet::Options::default();
    options.engine.loaded = vec![weights];
    options.engine.model.speed = 50.0;
    let standins = Fleet::spawn(options).expect("the stand-ins start");
    let platform = standins.platform();
    let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let settings = Settings {
        node: "node".into(),
        zone: "a".into(),
        callers: any,
        admin: any,
        peers: any,
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
    while node.accepting() < 5 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Sends bytes on a connection of its own and reads to its end.
fn send(at: SocketAddr, request: &str) -> (String, String) {
    let mut stream = TcpStream::connect(at).expect("the node listens");
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

/// A row of the table: what is sent and the status, reason and `ran` told.
struct Case {
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    told: (u16, &'static str, &'static str),
}

const AUTH: (&str, &str) = ("authorization", "Bearer shop-token");
const ASK: &str = r#"{"model":"oak","prompt":"p","max_tokens":2}"#;

const fn ask(name: &'static str, body: &'static str, told: (u16, &'static str)) -> Case {
    let (method, path, headers) = ("POST", "/v1/completions", &[AUTH]);
    Case { name, method, path, headers, body, told: (told.0, told.1, "no") }
}

const fn with(
    name: &'static str,
    headers: &'static [(&'static str, &'static str)],
    told: (u16, &'static str),
) -> Case {
    Case { headers, ..ask(name, ASK, told) }
}

const fn at(
    name: &'static str,
    method: &'static str,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    told: (u16, &'static str),
) -> Case {
    Case { name, method, path, headers, body: "{}", told: (told.0, told.1, "no") }
}

const CASES: &[Case] = &[
    ask("no JSON", "{", (400, "malformed")),
    ask("empty body", "", (400, "malformed")),
    ask("no prompt", r#"{"model":"oak"}"#, (400, "malformed")),
    ask("empty prompt", r#"{"model":"oak","prompt":""}"#, (400, "malformed")),
    ask("prompt of a wrong type", r#"{"model":"oak","prompt":7}"#, (400, "malformed")),
    ask("no tokens", r#"{"model":"oak","prompt":"p","max_tokens":0}"#, (400, "malformed")),
    ask("tokens below zero", r#"{"model":"oak","prompt":"p","max_tokens":-1}"#, (400, "malformed")),
    ask("absurd tokens", r#"{"model":"oak","prompt":"p","max_tokens":9e9}"#, (400, "malformed")),
    ask("unknown class", r#"{"model":"oak","prompt":"p","class":"vip"}"#, (400, "malformed")),
    ask("unknown model", r#"{"model":"elm","prompt":"p"}"#, (404, "not-found")),
    ask("unknown version", r#"{"model":"oak","version":"9","prompt":"p"}"#, (404, "not-found")),
    ask("unknown adapter", r#"{"model":"oak","adapter":"x","prompt":"p"}"#, (404, "not-found")),
    ask("model not allowed", r#"{"model":"ash","prompt":"p"}"#, (403, "forbidden")),
    with("no token", &[], (401, "unauthenticated")),
    with("unknown token", &[("authorization", "Bearer x")], (401, "unauthenticated")),
    with("another scheme", &[("authorization", "Basic eDp5")], (401, "unauthenticated")),
    with("no time left", &[AUTH, ("x-time-left-ms", "0")], (400, "bad-deadline")),
    with("time below zero", &[AUTH, ("x-time-left-ms", "-5")], (400, "bad-deadline")),
    with("absurd time", &[AUTH, ("x-time-left-ms", "99999999999")], (400, "bad-deadline")),
    with("time in words", &[AUTH, ("x-time-left-ms", "soon")], (400, "bad-deadline")),
    at("unknown path", "GET", "/v2/entry", &[AUTH], (404, "not-found")),
    at("wrong method", "GET", "/v1/completions", &[AUTH], (405, "bad-method")),
    at("resume without an event", "GET", "/v1/requests/x", &[AUTH], (400, "bad-header")),
    at(
        "resume with a made-up event",
        "GET",
        "/v1/requests/x",
        &[AUTH, ("last-event-id", "00:1:engine-0:y")],
        (400, "bad-header"),
    ),
    at("unknown service", "POST", "/v1/services/taxis/x", &[AUTH], (404, "not-found")),
    at("service not allowed", "POST", "/v1/services/refunds/x", &[AUTH], (403, "forbidden")),
    at("order without a key", "POST", "/v1/services/orders/place", &[AUTH], (400, "bad-key")),
    at(
        "order with a random key",
        "POST",
        "/v1/services/orders/place",
        &[AUTH, ("idempotency-key", RANDOM_KEY)],
        (400, "bad-key"),
    ),
    Case {
        told: (400, "key-too-old", "unknown"),
        ..at(
            "order with an old key",
            "POST",
            "/v1/services/orders/place",
            &[AUTH, ("idempotency-key", OLD_KEY)],
            (400, "key-too-old"),
        )
    },
];

/// Every bad request gets its own clear refusal at once, on a connection that
/// is not held, and the node serves a good one afterwards.
#[tokio::test(flavor = "multi_thread")]
async fn bad_requests_are_refused_by_the_table() {
    let (_standins, node) = start().await;
    configure(&node).await;
    let callers = node.callers();
    for case in CASES {
        let request = write_request(case.method, case.path, case.headers, case.body);
        let (head, body) = send(callers, &request);
        let problem: Value = serde_json::from_str(&body).unwrap_or(Value::Null);
        let status = head.split(' ').nth(1).and_then(|status| status.parse().ok());
        let (wanted, reason, ran) = case.told;
        assert_eq!(status, Some(wanted), "{}: {head}\n{body}", case.name);
        assert_eq!(problem["reason"], reason, "{}: {body}", case.name);
        assert_eq!(problem["ran"], ran, "{}: {body}", case.name);
        assert_ne!(problem["detail"], "", "{}", case.name);
        assert!(head.contains("application/problem+json"), "{}: {head}", case.name);
    }
    let (head, body) = send(callers, &write_request("POST", "/v1/completions", &[AUTH], ASK));
    assert!(head.starts_with("HTTP/1.1 200"), "{head}\n{body}");
}

/// The same key with another content is refused as not run: the first content
/// ran under that key, this one never does.
#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_good_for_one_content() {
    let (standins, node) = start().await;
    configure(&node).await;
    let key = uuid::Uuid::now_v7().to_string();
    let place = |body: &str| {
        let headers = [AUTH, ("idempotency-key", key.as_str())];
        send(node.callers(), &write_request("POST", "/v1/services/orders/place", &headers, body))
    };
    let (head, body) = place(r#"{"paint":1}"#);
    assert!(head.starts_with("HTTP/1.1 200"), "{head}\n{body}");
    let (head, body) = place(r#"{"paint":2}"#);
    assert!(head.starts_with("HTTP/1.1 422"), "{head}\n{body}");
    assert!(body.contains("key-reused") && body.contains(r#""ran":"no""#), "{body}");
    assert_eq!(standins.replicas[0].service().runs().of(&key), 1);
}

/// A body over the bound is refused by its announced length, before it is
/// sent; a node without configuration refuses everything as not ready.
#[tokio::test(flavor = "multi_thread")]
async fn bodies_are_bounded_and_an_empty_node_is_not_ready() {
    let (_standins, node) = start().await;
    let (_, body) = send(node.callers(), &write_request("POST", "/v1/completions", &[AUTH], ASK));
    assert!(body.contains("not-ready") && body.contains("retry_after_ms"), "{body}");
    configure(&node).await;
    let request = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: node\r\nconnection: close\r\n\
         authorization: Bearer {TOKEN}\r\ncontent-length: 99999999\r\n\r\n"
    );
    let (head, body) = send(node.callers(), &request);
    assert!(head.starts_with("HTTP/1.1 413"), "{head}\n{body}");
    assert!(body.contains("too-large"), "{body}");
}
