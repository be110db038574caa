//! The stand-ins as processes: their output, fault injection, and exit statuses.

use hickory_client::{Call, Client, Error, Response};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Deserialize)]
struct Ready {
    control: SocketAddr,
    addresses: BTreeMap<String, SocketAddr>,
}

struct Process {
    child: Child,
    ready: Ready,
}

fn command(arguments: &[&str]) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hickory-standin"));
    command.args(arguments).stdout(Stdio::piped()).stderr(Stdio::null());
    command
}

impl Process {
    fn start(arguments: &[&str]) -> Self {
        let mut child = command(arguments).spawn().unwrap();
        let mut line = String::new();
        BufReader::new(child.stdout.take().unwrap()).read_line(&mut line).unwrap();
        Self { ready: serde_json::from_str(&line).unwrap(), child }
    }

    async fn call(
        &self,
        name: &str,
        method: http::Method,
        path: &str,
        body: &str,
    ) -> Result<Response, Error> {
        call(self.ready.addresses[name], method, path, body).await
    }

    async fn get(&self, name: &str, path: &str) -> Result<Response, Error> {
        self.call(name, http::Method::GET, path, "").await
    }

    async fn fault(&self, name: &str, switch: &str) -> u16 {
        let path = format!("/fault/{name}");
        let answer = call(self.ready.control, http::Method::POST, &path, switch).await;
        answer.unwrap().status.as_u16()
    }

    /// Sends SIGTERM and returns the exit status.
    fn stop(mut self) -> Option<i32> {
        let sent = Command::new("kill").arg(self.child.id().to_string()).status().unwrap();
        assert!(sent.success());
        self.child.wait().unwrap().code()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

async fn call(
    at: SocketAddr,
    method: http::Method,
    path: &str,
    body: &str,
) -> Result<Response, Error> {
    let body = body.to_owned().into();
    Client::open(TIMEOUT).exchange(at, Call { method, path, key: None, body }, TIMEOUT).await
}

#[tokio::test]
async fn each_kind_serves_and_exits_with_status_0() {
    let kinds = [
        ("store", "/kv/get?key=k"),
        ("hosts", "/hosts"),
        ("weights", "/limit"),
        ("engine", "/v1/report"),
        ("service", "/report"),
    ];
    for (kind, path) in kinds {
        let process = Process::start(&[kind]);
        assert_eq!(process.get(kind, path).await.unwrap().status, 200, "{kind}");
        assert_eq!(process.stop(), Some(0), "{kind}");
    }
}

#[tokio::test]
async fn fleet_lists_its_targets() {
    let process =
        Process::start(&["fleet", "--engines", "2", "--replicas", "1", "--service", "pay"]);
    let names: Vec<&str> = process.ready.addresses.keys().map(String::as_str).collect();
    assert_eq!(names, ["engine-0", "engine-1", "hosts", "pay-0", "store", "weights"]);
    let hosts = process.get("hosts", "/hosts").await.unwrap().body;
    let hosts: Vec<serde_json::Value> = serde_json::from_slice(&hosts).unwrap();
    assert_eq!(hosts.len(), 3);
    assert_eq!(hosts[1]["zone"], "b");
    assert_eq!(process.stop(), Some(0));
}

/// The control address can restart a dead or frozen stand-in.
#[tokio::test]
async fn faults_are_switched_on_and_off() {
    let process = Process::start(&["fleet", "--engines", "1"]);
    assert_eq!(process.fault("engine-0", "\"kill\"").await, 200);
    let dead = process.get("engine-0", "/v1/report").await;
    assert!(matches!(dead, Err(Error::Refused)), "{dead:?}");
    assert_eq!(process.fault("engine-0", "\"restart\"").await, 200);
    assert!(process.get("engine-0", "/v1/report").await.is_ok());
    assert_eq!(
        process.fault("store", r#"{"lose":{"loss":"answer","path":"/kv/write","count":1}}"#).await,
        200
    );
    let write = r#"{"key":"k","value":"v","expect":"absent","lease":null}"#;
    let lost = process.call("store", http::Method::POST, "/kv/write", write).await;
    assert!(matches!(lost, Err(Error::Unknown(_))), "{lost:?}");
    let again = process.call("store", http::Method::POST, "/kv/write", write).await.unwrap();
    assert_eq!(again.status, 409);
    assert_eq!(process.stop(), Some(0));
}

#[tokio::test]
async fn inapplicable_switches_are_refused() {
    let process = Process::start(&["store"]);
    let cases = [
        ("store", "\"turn_cold\"", 422),
        ("store", "\"explode\"", 400),
        ("store", "{", 400),
        ("engine-0", "\"kill\"", 404),
    ];
    for (name, switch, status) in cases {
        assert_eq!(process.fault(name, switch).await, status, "{name} {switch}");
    }
    assert_eq!(process.stop(), Some(0));
}

#[test]
fn command_line_errors_set_the_exit_status() {
    let cases: &[(&[&str], i32)] = &[
        (&[], 2),
        (&["balancer"], 2),
        (&["engine", "--speed", "0"], 2),
        (&["engine", "--warmth", "101"], 2),
        (&["engine", "--loaded", "model"], 2),
        (&["store", "--listen", "localhost"], 2),
        (&["hosts", "--hosts", "/nowhere"], 1),
        (&["store", "--listen", "192.0.2.1:1"], 1),
        (&["--help"], 0),
    ];
    for (arguments, expected) in cases {
        let status = command(arguments).status().unwrap();
        assert_eq!(status.code(), Some(*expected), "{arguments:?}");
    }
}
