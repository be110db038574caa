//! The daemon as a process: what its log says of requests that failed, and of targets.

use hickory_adapter_standin::caller::{self, Response};
use hickory_adapter_standin::replica::{Action, Replica};
use hickory_adapter_standin::store::Store;
use hickory_adapter_standin::{CONFIG, entry_key, fleet, free_address, settings, write_settings};
use hickory_path::settings::Settings;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

/// A process and its log.
struct Daemon {
    process: Child,
    log: PathBuf,
}

impl Drop for Daemon {
    fn drop(&mut self) {
        // It fails where the daemon has ended by itself.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

impl Daemon {
    /// Starts a daemon whose files have this name, and waits until it is ready.
    async fn start(name: &str, settings: &Settings) -> Self {
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = directory.join(format!("{name}.json"));
        std::fs::write(&file, write_settings(settings)).unwrap();
        let log = directory.join(format!("{name}.log"));
        let process = Command::new(env!("CARGO_BIN_EXE_hickory-entry"))
            .arg(&file)
            .stdout(std::fs::File::create(&log).unwrap())
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let daemon = Self { process, log };
        caller::wait_until_ready(settings.ready).await;
        daemon
    }

    /// The lines that pass. A line that is just being written is not among them.
    fn lines(&self, passes: impl Fn(&Value) -> bool) -> Vec<Value> {
        let text = std::fs::read_to_string(&self.log).unwrap();
        let whole = text.rfind('\n').map_or("", |end| &text[..end]);
        let lines = whole.lines().map(|line| serde_json::from_str::<Value>(line).unwrap());
        lines.filter(passes).collect()
    }
}

/// A daemon before a store and two replicas of each service.
struct Scene {
    daemon: Daemon,
    callers: SocketAddr,
    replicas: Vec<Replica>,
}

impl Scene {
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

    fn all(&self, service: &str, act: &Action) {
        for replica in self.replicas.iter().filter(|replica| replica.service == service) {
            replica.enqueue(act.clone());
        }
    }

    async fn ask(&self, attempt: &str, path: &str) -> Response {
        let text = caller::request_with_attempt_id(attempt, "POST", path, "body");
        caller::send(self.callers, &text).await
    }

    /// The log's lines of a request, once there are so many.
    async fn lines(&self, attempt: &str, count: usize) -> Vec<Value> {
        for _ in 0..100 {
            let own = self.daemon.lines(|line| line["attributes"]["request"] == attempt);
            if own.len() >= count {
                return own;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("fewer than {count} lines of {attempt}");
    }
}

fn number(line: &Value, name: &str) -> u64 {
    line["attributes"][name].as_str().unwrap().parse().unwrap()
}

/// A caller's advice came after a second and a half, and it asks why. One line
/// says that it did not wait at the node, which target was late, and what had
/// been expected of it.
#[tokio::test]
async fn a_late_first_event_names_its_target() {
    let scene = Scene::open("late").await;
    scene.all("model", &Action::PauseStream(1, 5));
    assert_eq!(scene.ask("late-1", "/once/1").await.status, 200);
    let lines = scene.lines("late-1", 1).await;
    let line = &lines[0];
    assert_eq!((&line["message"], &line["mdc"]["node"]), (&"answered".into(), &"node-1".into()));
    assert!(number(line, "first_ms") >= 1_500, "{line}");
    assert!(number(line, "expected_ms") < 300, "{line}");
    assert_eq!(number(line, "wait_ms"), 0, "{line}");
    assert!(number(line, "goal_ms") < number(line, "first_ms"), "{line}");
    assert!(number(line, "part_ms") < number(line, "expected_ms"), "{line}");
    assert_eq!(line["attributes"]["short"], "true", "{line}");
    assert!(line["attributes"]["target_id"].as_str().unwrap().starts_with("m-"), "{line}");
}

/// An order ended without an answer. The lines say that it reached a target,
/// that the connection broke, and that it may have run.
#[tokio::test]
async fn an_order_without_an_answer_says_that_it_may_have_run() {
    let scene = Scene::open("order").await;
    scene.all("plain", &Action::Close);
    assert_eq!(scene.ask("order-1", "/pay/1").await.status, 502);
    let lines = scene.lines("order-1", 2).await;
    assert!(lines[0]["message"].as_str().unwrap().starts_with("attempt failed: no answer"));
    assert!(lines[0]["attributes"]["target_id"].as_str().unwrap().starts_with("p-"));
    let refusal = &lines[1]["attributes"];
    assert_eq!((&refusal["ran"], &refusal["reason"]), (&"unknown".into(), &"target-failed".into()));
    assert_eq!(number(&lines[1], "prompt"), 1_460);
}

/// A stream that its engines failed before its first event. The lines name both,
/// and the answer's line bears what a stream of its route is judged by.
#[tokio::test]
async fn a_stream_that_two_targets_failed_names_both() {
    let scene = Scene::open("failed").await;
    scene.all("model", &Action::Status(500));
    assert_eq!(scene.ask("failed-1", "/say/1").await.status, 500);
    let lines = scene.lines("failed-1", 2).await;
    let [first, last] = &lines[..] else { panic!("{lines:?}") };
    assert!(first["message"].as_str().unwrap().starts_with("attempt failed: status 500"));
    assert_ne!(first["attributes"]["target_id"], last["attributes"]["target_id"]);
    assert_eq!((&last["message"], number(last, "status")), (&"answered".into(), 500));
    assert_eq!(number(last, "sends"), 2, "{last}");
    assert!(number(last, "goal_ms") > 0 && number(last, "pause_max_ms") > 0, "{last}");
}

/// A stream was cut in the middle and went on. The lines name the target that
/// broke off and the one that took it up.
#[tokio::test]
async fn a_stream_that_was_cut_names_both_targets() {
    let scene = Scene::open("cut").await;
    scene.replicas[2].enqueue(Action::CutStream(2, 0));
    scene.replicas[3].enqueue(Action::CutStream(2, 0));
    scene.replicas[2].enqueue(Action::Stream(5));
    scene.replicas[3].enqueue(Action::Stream(5));
    // The first stream is cut by both; the second one finds both sound again.
    let cut = scene.ask("cut-1", "/say/1").await;
    assert_eq!((cut.event_ids(), cut.is_complete), (vec![1, 2], false));
    let lines = scene.lines("cut-1", 3).await;
    let targets: Vec<&str> =
        lines[..2].iter().map(|line| line["attributes"]["target_id"].as_str().unwrap()).collect();
    assert_ne!(targets[0], targets[1], "{lines:?}");
    assert!(lines[2]["message"].as_str().unwrap().starts_with("given up on"), "{lines:?}");
    assert_eq!(number(&lines[2], "last_event"), 2);
    assert_eq!(number(&lines[2], "prompt"), 1_460);
}

/// A report's caller was refused beside two idle engines. The line says how long
/// the prompt is, what time was left, and that both engines together could not
/// have read it in that time.
#[tokio::test]
async fn a_refusal_names_what_it_was_decided_by() {
    let scene = Scene::open("refused").await;
    let text = caller::request_with_attempt_id("refused-1", "POST", "/long/1", "body")
        .replace("1460,80", "400000,80")
        .replace("3000", "15000");
    assert_eq!(caller::send(scene.callers, &text).await.status, 503);
    let lines = scene.lines("refused-1", 1).await;
    let line = &lines[0];
    assert_eq!(number(line, "prompt"), 400_000, "{line}");
    assert!((2_500..=3_000).contains(&number(line, "goal_left_ms")), "{line}");
    let engines = ["engines_known", "idle", "clear", "penalized", "full"].map(|n| number(line, n));
    assert_eq!(engines, [2, 2, 2, 0, 0], "{line}");
    assert_eq!([number(line, "wait_ms"), number(line, "ahead_ms")], [0, 0], "{line}");
    assert!(number(line, "retry_after_ms") > 0, "{line}");
}

/// Guards against logs of which half say on each node what became of each target.
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
    let owns = |line: &Value| line["message"] == "groups owned by this node";
    let owners = || daemons.iter().filter(|daemon| !daemon.lines(owns).is_empty()).count();
    caller::wait_until("an owner", || owners() > 0).await;
    // The owner may change until all have been told what runs.
    tokio::time::sleep(Duration::from_secs(2)).await;
    store.put(&entry_key("m-1"), &replica.entry("draining"));
    let changes = || {
        let is_change = |line: &Value| {
            let attributes = &line["attributes"];
            line["message"] == "target known" && attributes["draining"] == "true"
        };
        daemons.iter().map(|daemon| daemon.lines(is_change).len()).sum::<usize>()
    };
    caller::wait_until("the owner's line", || changes() > 0).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(changes(), 1);
}
