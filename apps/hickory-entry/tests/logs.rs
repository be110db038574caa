//! The log of a running daemon: what it reports about failed requests and about targets.

mod common;

use common::Daemon;
use hickory_adapter_standin::caller::{self, Response};
use hickory_adapter_standin::replica::{Action, Replica};
use hickory_adapter_standin::store::Store;
use hickory_adapter_standin::{CONFIG, entry_key, fleet, free_address, settings};
use hickory_path::settings::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::time::Duration;

/// A daemon with a store and two replicas of each service.
struct Harness {
    daemon: Daemon,
    callers: SocketAddr,
    replicas: Vec<Replica>,
}

impl Harness {
    async fn open(name: &str) -> Self {
        let store = Store::spawn().await;
        store.put_configuration(CONFIG);
        let mut replicas = Vec::new();
        for (service, name) in
            [("plain", "p-1"), ("plain", "p-2"), ("model", "m-1"), ("model", "m-2")]
        {
            let replica = Replica::spawn(name, service, 5).await;
            store.put(&entry_key(name), &replica.entry("ready"));
            replicas.push(replica);
        }
        let settings = settings("node-1", store.address);
        let daemon = Daemon::start(name, &settings).await;
        Self { daemon, callers: settings.callers, replicas }
    }

    fn enqueue_for_all(&self, service: &str, action: &Action) {
        for replica in self.replicas.iter().filter(|replica| replica.service == service) {
            replica.enqueue(action.clone());
        }
    }

    async fn request(&self, attempt: &str, path: &str) -> Response {
        let text = caller::request_with_attempt_id(attempt, "POST", path, "body");
        caller::send(self.callers, &text).await
    }

    /// Waits until the log has `count` lines about a request, and returns them.
    async fn wait_for_lines(&self, attempt: &str, count: usize) -> Vec<Value> {
        for _ in 0..100 {
            let lines = self.daemon.log_lines(|line| line["attributes"]["request"] == attempt);
            if lines.len() >= count {
                return lines;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("fewer than {count} lines of {attempt}");
    }
}

fn read_number(line: &Value, name: &str) -> u64 {
    line["attributes"][name].as_str().unwrap().parse().unwrap()
}

/// The time in milliseconds after which a node asks another owner for a place.
const OWNER_TIMEOUT_MS: u64 = 20;

/// Operators must be able to explain why a first event came 1.5 seconds late: one line
/// shows that the request did not wait at the node, which target was late, and the expected
/// time.
#[tokio::test]
async fn a_late_first_event_is_logged_with_its_target() {
    let harness = Harness::open("late").await;
    // A node is ready before it knows its targets, for which the first request waits.
    assert_eq!(harness.request("first-1", "/once/1").await.status, 200);
    harness.enqueue_for_all("model", &Action::PauseStream(1, 5));
    assert_eq!(harness.request("late-1", "/once/1").await.status, 200);
    let lines = harness.wait_for_lines("late-1", 1).await;
    let line = &lines[0];
    // A request that is queued has a line about it before this one.
    assert_eq!((&line["message"], &line["mdc"]["node"]), (&"answered".into(), &"node-1".into()));
    assert!(read_number(line, "first_ms") >= 1_500, "{line}");
    assert!(read_number(line, "expected_ms") < 300, "{line}");
    assert!(read_number(line, "wait_ms") < OWNER_TIMEOUT_MS, "{line}");
    assert!(read_number(line, "goal_ms") < read_number(line, "first_ms"), "{line}");
    assert!(read_number(line, "part_ms") < read_number(line, "expected_ms"), "{line}");
    assert_eq!(line["attributes"]["short"], "true", "{line}");
    assert!(line["attributes"]["target_id"].as_str().unwrap().starts_with("m-"), "{line}");
}

/// A request ends without an answer. The lines show that it reached a target, that the
/// connection broke, and that it may have run.
#[tokio::test]
async fn a_request_without_an_answer_is_logged_as_possibly_executed() {
    let harness = Harness::open("order").await;
    harness.enqueue_for_all("plain", &Action::Close);
    assert_eq!(harness.request("order-1", "/pay/1").await.status, 502);
    let lines = harness.wait_for_lines("order-1", 2).await;
    assert!(lines[0]["message"].as_str().unwrap().starts_with("attempt failed: no answer"));
    assert!(lines[0]["attributes"]["target_id"].as_str().unwrap().starts_with("p-"));
    let refusal = &lines[1]["attributes"];
    assert_eq!((&refusal["ran"], &refusal["reason"]), (&"unknown".into(), &"target-failed".into()));
    assert_eq!(read_number(&lines[1], "prompt"), 1_460);
}

/// Two engines fail a stream before its first event. The lines name both, and the line of
/// the answer has the goals that the route's streams are judged by.
#[tokio::test]
async fn the_log_names_both_targets_that_failed_a_stream() {
    let harness = Harness::open("failed").await;
    harness.enqueue_for_all("model", &Action::Status(500));
    assert_eq!(harness.request("failed-1", "/say/1").await.status, 500);
    let lines = harness.wait_for_lines("failed-1", 2).await;
    let [first, last] = &lines[..] else { panic!("{lines:?}") };
    assert!(first["message"].as_str().unwrap().starts_with("attempt failed: status 500"));
    assert_ne!(first["attributes"]["target_id"], last["attributes"]["target_id"]);
    assert_eq!((&last["message"], read_number(last, "status")), (&"answered".into(), 500));
    assert_eq!(read_number(last, "sends"), 2, "{last}");
    assert!(read_number(last, "goal_ms") > 0 && read_number(last, "pause_max_ms") > 0, "{last}");
}

/// A stream is cut off and resumed, then cut off again. The lines name both targets.
#[tokio::test]
async fn the_log_names_both_targets_of_an_interrupted_stream() {
    let harness = Harness::open("cut").await;
    harness.replicas[2].enqueue(Action::CutStream(2, 0));
    harness.replicas[3].enqueue(Action::CutStream(2, 0));
    harness.replicas[2].enqueue(Action::Stream(5));
    harness.replicas[3].enqueue(Action::Stream(5));
    // Both targets cut off the first stream; later streams succeed.
    let cut = harness.request("cut-1", "/say/1").await;
    assert_eq!((cut.event_ids(), cut.is_complete), (vec![1, 2], false));
    let lines = harness.wait_for_lines("cut-1", 3).await;
    let targets: Vec<&str> =
        lines[..2].iter().map(|line| line["attributes"]["target_id"].as_str().unwrap()).collect();
    assert_ne!(targets[0], targets[1], "{lines:?}");
    assert!(lines[2]["message"].as_str().unwrap().starts_with("given up on"), "{lines:?}");
    assert_eq!(read_number(&lines[2], "last_event"), 2);
    assert_eq!(read_number(&lines[2], "prompt"), 1_460);
}

/// A long request is refused although two engines are idle. The line shows the length of
/// the prompt, the time left, and that both engines together could not have prefilled it in
/// that time.
#[tokio::test]
async fn a_refusal_is_logged_with_the_inputs_of_its_decision() {
    let harness = Harness::open("refused").await;
    // A node is ready before it knows its targets, for which the first request waits.
    assert_eq!(harness.request("first-1", "/once/1").await.status, 200);
    let text = caller::request_with_attempt_id("refused-1", "POST", "/long/1", "body")
        .replace("1460,80", "400000,80")
        .replace("3000", "15000");
    assert_eq!(caller::send(harness.callers, &text).await.status, 503);
    let lines = harness.wait_for_lines("refused-1", 1).await;
    let line = &lines[0];
    assert_eq!(read_number(line, "prompt"), 400_000, "{line}");
    assert!((2_500..=3_000).contains(&read_number(line, "goal_left_ms")), "{line}");
    let engines =
        ["engines_known", "idle", "clear", "penalized", "full"].map(|n| read_number(line, n));
    assert_eq!(engines, [2, 2, 2, 0, 0], "{line}");
    assert_eq!([read_number(line, "wait_ms"), read_number(line, "ahead_ms")], [0, 0], "{line}");
    assert!(read_number(line, "retry_after_ms") > 0, "{line}");
}

/// Guards against logs in which every node reports every change of every target.
#[tokio::test]
async fn a_change_of_a_target_is_logged_by_one_node() {
    let store = Store::spawn().await;
    store.put_configuration(CONFIG);
    let replica = Replica::spawn("m-1", "model", 5).await;
    store.put(&entry_key("m-1"), &replica.entry("ready"));
    let peers = free_address();
    let nodes: Vec<Settings> =
        (1..=3).map(|number| fleet::node_settings(number, peers, &store)).collect();
    let mut daemons = Vec::new();
    for node in &nodes {
        daemons.push(Daemon::start(&format!("change-{}", node.node), node).await);
    }
    let is_ownership_line = |line: &Value| line["message"] == "groups owned by this node";
    let owners =
        || daemons.iter().filter(|daemon| !daemon.log_lines(is_ownership_line).is_empty()).count();
    caller::wait_until("an owner", || owners() > 0).await;
    // The owner may change until all nodes have received the running allocations.
    tokio::time::sleep(Duration::from_secs(2)).await;
    store.put(&entry_key("m-1"), &replica.entry("draining"));
    let changes = || {
        let is_change = |line: &Value| {
            let attributes = &line["attributes"];
            line["message"] == "target known" && attributes["draining"] == "true"
        };
        daemons.iter().map(|daemon| daemon.log_lines(is_change).len()).sum::<usize>()
    };
    caller::wait_until("the owner's line", || changes() > 0).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(changes(), 1);
}
