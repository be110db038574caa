//! Tests of the administration API with an in-memory control.

mod fake;

use fake::{Fake, Fault, Platform, TOKEN};
use hickory_admin::server::Options;
use hickory_admin::{Handle, Server};
use oxhttp::model::{Body, Method, Request};
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

const FIRST: &str = include_str!("data/first.jsonc");

/// Timeout after which a missing answer fails the test.
const TIMEOUT: Duration = Duration::from_secs(20);

/// A request and a fault that occurs while it is processed.
struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: &'static str,
    fault: Option<Fault>,
}

const AUTHORIZED: (&str, &str) = ("authorization", "Bearer operator-token");
const RELEASES: &str = "/v1/admin/releases";

fn get(name: &'static str, path: &'static str) -> Case {
    Case { name, method: Method::GET, path, headers: &[AUTHORIZED], body: "", fault: None }
}

fn accept(name: &'static str, body: &'static str) -> Case {
    Case { name, method: Method::POST, path: RELEASES, headers: &[AUTHORIZED], body, fault: None }
}

fn spawn(platform: &Arc<Platform>) -> (Arc<Fake>, Handle<Fake>) {
    let fake = Fake::open(platform, []);
    let address = "127.0.0.1:0".parse().unwrap();
    let handle = Server::spawn(address, Arc::clone(&fake)).unwrap();
    (fake, handle)
}

/// Sends a request and returns the response as text: status, relevant headers and body.
fn send(address: SocketAddr, case: &Case, body: impl Into<Body>) -> String {
    let mut request = Request::builder()
        .method(case.method.clone())
        .uri(format!("http://{address}{}", case.path));
    for (name, value) in case.headers {
        request = request.header(*name, *value);
    }
    let response = oxhttp::Client::new()
        .with_global_timeout(TIMEOUT)
        .request(request.body(body.into()).unwrap())
        .unwrap();
    let mut text = response.status().as_u16().to_string();
    for name in ["content-type", "etag", "www-authenticate", "allow"] {
        if let Some(value) = response.headers().get(name) {
            write!(text, " {name}={}", value.to_str().unwrap()).unwrap();
        }
    }
    write!(text, "\n    {}", response.into_body().to_string().unwrap().trim_end()).unwrap();
    text
}

/// Sends the requests in order to one node and returns all responses as text.
fn run_cases(platform: &Arc<Platform>, cases: &[Case]) -> String {
    let (fake, handle) = spawn(platform);
    let mut report = String::new();
    for case in cases {
        case.fault.iter().cloned().for_each(|fault| fake.fail(fault));
        let answer = send(handle.address(), case, case.body);
        writeln!(report, "{}: {} {} -> {answer}", case.name, case.method, case.path).unwrap();
    }
    report
}

#[test]
fn requests_without_an_operator_token_are_rejected() {
    let unauthenticated =
        |name, method, path, headers| Case { name, method, path, headers, body: "", fault: None };
    let cases = [
        unauthenticated("none", Method::GET, "/v1/admin/nodes", &[]),
        unauthenticated("empty", Method::GET, "/v1/admin/nodes", &[("authorization", "")]),
        unauthenticated("no scheme", Method::GET, "/v1/admin/nodes", &[("authorization", TOKEN)]),
        unauthenticated(
            "basic",
            Method::GET,
            "/v1/admin/nodes",
            &[("authorization", "Basic operator-token")],
        ),
        unauthenticated(
            "wrong",
            Method::GET,
            "/v1/admin/nodes",
            &[("authorization", "Bearer operator-toke")],
        ),
        unauthenticated("blank", Method::GET, "/v1/admin/nodes", &[("authorization", "Bearer ")]),
        unauthenticated("accept", Method::POST, RELEASES, &[]),
        unauthenticated("find", Method::GET, "/v1/admin/releases/op-first", &[]),
        unauthenticated("configuration", Method::GET, "/v1/admin/configuration", &[]),
        unauthenticated("targets", Method::GET, "/v1/admin/targets", &[]),
        unauthenticated("owners", Method::GET, "/v1/admin/owners", &[]),
        unauthenticated("drain", Method::POST, "/v1/admin/drain", &[]),
        unauthenticated("unknown path", Method::GET, "/v1/secret", &[]),
        unauthenticated("health is open", Method::GET, "/health", &[]),
        unauthenticated("metrics are open", Method::GET, "/metrics", &[]),
        unauthenticated(
            "case",
            Method::GET,
            "/v1/admin/owners",
            &[("authorization", "bearer operator-token")],
        ),
    ];
    insta::assert_snapshot!(run_cases(&Platform::open(FIRST), &cases));
}

#[test]
fn read_requests_return_the_state() {
    let cases = [
        get("nodes", "/v1/admin/nodes"),
        get("targets", "/v1/admin/targets"),
        get("owners", "/v1/admin/owners"),
        get("configuration", "/v1/admin/configuration"),
        get("operation", "/v1/admin/releases/op-first"),
        get("unknown operation", "/v1/admin/releases/op-never"),
        get("unknown path", "/v1/admin/nowhere"),
        get("wrong method", RELEASES),
        Case { method: Method::DELETE, ..get("wrong method", "/v1/admin/configuration") },
        Case { method: Method::POST, ..get("drain", "/v1/admin/drain") },
        get("health while draining", "/health"),
    ];
    insta::assert_snapshot!(run_cases(&Platform::open(FIRST), &cases));
}

#[test]
fn a_node_without_a_configuration_is_not_ready() {
    let cases = [
        get("configuration", "/v1/admin/configuration"),
        get("health", "/health"),
        accept("first note", FIRST),
        get("health", "/health"),
    ];
    insta::assert_snapshot!(run_cases(&Arc::default(), &cases));
}

#[test]
fn notes_and_faults() {
    const OUT: &str = r#"{ "against": 1, "operation": "op-out",
  "changed": { "zones": { "nairobi-a": { "out": true } } } }"#;
    const SHARE: &str = r#"{ "against": 2, "operation": "op-share", // renegotiated
  "changed": { "partners": { "mawe": { "share": 2 } } } }"#;
    const INVALID: &str = "{ \"against\": 2, \"operation\": \"op-bad\",\n\
        \"added\": { \"zones\": { \"nairobi-a\": {} } },\n\
        \"withdrawn\": { \"models\": [\"advice\"],\n\"partners\": [\"nobody\"] } }";
    const IF_MATCH_1: &[(&str, &str)] = &[AUTHORIZED, ("if-match", "\"1\"")];
    const IF_MATCH_9: &[(&str, &str)] = &[AUTHORIZED, ("if-match", "\"9\"")];
    const IF_MATCH_BAD: &[(&str, &str)] = &[AUTHORIZED, ("if-match", "latest")];
    const KEY: &[(&str, &str)] = &[AUTHORIZED, ("idempotency-key", "op-by-header")];
    const KEY_BAD: &[(&str, &str)] = &[AUTHORIZED, ("idempotency-key", "a b")];
    const EMPTY: &str = r#"{ "against": 3 }"#;
    let cases = [
        accept("empty body", ""),
        accept("not JSON", "release it!"),
        accept("unknown fields", "{\n\"against\": 1,\n\"ad\": {},\n\"changd\": {} }"),
        Case { headers: IF_MATCH_9, ..accept("If-Match contradicts", OUT) },
        Case { headers: IF_MATCH_BAD, ..accept("If-Match is no version", OUT) },
        Case { fault: Some(Fault::Unavailable), ..accept("platform down", OUT) },
        Case { fault: Some(Fault::LostBefore), ..accept("lost, not written", OUT) },
        get("operation not found", "/v1/admin/releases/op-out"),
        Case { fault: Some(Fault::LostAfter), ..accept("lost, written", OUT) },
        get("operation found", "/v1/admin/releases/op-out"),
        Case { headers: IF_MATCH_1, ..accept("repeated", OUT) },
        accept("stale", r#"{ "against": 1, "operation": "op-stale" }"#),
        accept("invalid", INVALID),
        Case {
            fault: Some(Fault::Race(SHARE)),
            ..accept("raced", r#"{ "against": 2, "operation": "op-late" }"#)
        },
        Case { headers: KEY_BAD, ..accept("operation by a bad header", EMPTY) },
        Case { headers: KEY, ..accept("operation by header", EMPTY) },
        Case { headers: KEY, ..accept("repeated by header", EMPTY) },
        get("final state", "/v1/admin/configuration"),
    ];
    insta::assert_snapshot!(run_cases(&Platform::open(FIRST), &cases));
}

#[test]
fn malformed_and_oversized_bodies_are_rejected() {
    let platform = Platform::open(FIRST);
    let (fake, handle) = spawn(&platform);
    let case = accept("bounds", "");
    let large = format!("{{ \"against\": 1 }}{}", " ".repeat(1 << 20));
    assert!(send(handle.address(), &case, large).contains("\"code\":\"too-large\""));
    let binary = vec![b'{', 0xff, 0xfe, b'}'];
    assert!(send(handle.address(), &case, binary).contains("not UTF-8"));
    let deep = "[".repeat(500_000);
    assert!(send(handle.address(), &case, deep).starts_with("422"));
    assert_eq!(fake.received_notes(), 0);
    assert_eq!(platform.configuration().version.0, 1);
}

// Guards against accepting a truncated note. The operator's connection breaks within the body, and
// the part that arrived is a valid note by itself. `oxhttp` answers such a request itself, with
// status 400 or 500.
#[test]
fn a_truncated_note_is_not_accepted() {
    let platform = Platform::open(FIRST);
    let (fake, handle) = spawn(&platform);
    let note = r#"{ "against": 1, "operation": "op-cut" }"#;
    let length = note.len();
    let cuts = [
        format!("content-length: {}\r\n\r\n{note}", length + 10),
        format!("transfer-encoding: chunked\r\n\r\n{length:x}\r\n{note}\r\n"),
        format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{note}", length + 10),
    ];
    for cut in cuts {
        let mut stream = TcpStream::connect(handle.address()).unwrap();
        let head = format!("POST {RELEASES} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TOKEN}");
        write!(stream, "{head}\r\n{cut}").unwrap();
        stream.shutdown(Shutdown::Write).unwrap();
        let mut answer = String::new();
        stream.read_to_string(&mut answer).unwrap();
        let status = answer.split(' ').nth(1).unwrap();
        assert!(["400", "500"].contains(&status), "{cut}: {answer}");
    }
    assert_eq!(fake.received_notes(), 0);
    assert_eq!(platform.configuration().version.0, 1);
}

// Guards against a stopped node that stays in memory because its administration server can't stop
// listening. This matters in processes that outlive their nodes, such as tests and the demo.
#[test]
fn a_dropped_handle_releases_the_control() {
    let (fake, handle) = spawn(&Platform::open(FIRST));
    let address = handle.address();
    drop(handle);
    assert!(send(address, &get("after", "/health"), "").contains("the node has stopped"));
    assert_eq!(Arc::strong_count(&fake), 1);
}

#[test]
fn an_address_in_use_is_an_error() {
    let platform = Platform::open(FIRST);
    let (_, handle) = spawn(&platform);
    let taken = Server::spawn(handle.address(), Fake::open(&platform, []));
    assert!(taken.is_err());
}

// Guards against silent connections that occupy all threads of the server, for example of a frozen
// scraper or after a firewall dropped its connection state. They must time out so that the next
// operator is served.
#[test]
fn silent_connections_do_not_block_operators() {
    let options = Options { max_connections: 2, timeout: Duration::from_millis(300) };
    let fake = Fake::open(&Platform::open(FIRST), []);
    let address = "127.0.0.1:0".parse().unwrap();
    let handle = Server::spawn_with_options(options, address, fake).unwrap();
    let mut silent: Vec<TcpStream> =
        (0..6).map(|_| TcpStream::connect(handle.address()).unwrap()).collect();
    // Three connections start a request, the others send nothing.
    for stream in &mut silent[..3] {
        stream.write_all(b"GET /v1/admin/nodes HTTP/1.1\r\nhost: ").unwrap();
    }
    let answer = send(handle.address(), &get("after", "/v1/admin/owners"), "");
    assert!(answer.starts_with("200"), "{answer}");
}
