//! A daemon that is killed and started again while its prompts wait for a place.

mod common;

use common::Daemon;
use hickory_adapter_standin::caller::{
    Response, request_with_attempt_id, send, wait_until, wait_until_ready,
};
use hickory_adapter_standin::fleet::{node_settings, wait_until_connected};
use hickory_adapter_standin::replica::{Action, Replica};
use hickory_adapter_standin::store::Store;
use hickory_adapter_standin::{CONFIG, PlatformNode, entry_key, free_address, spawn_node};
use hickory_path::settings::Settings;
use hickory_policy::member::Capacity;
use serde_json::Value;
use std::time::Duration;
use tokio::task::JoinHandle;

/// The requests that an engine runs at once.
const SLOTS: usize = 16;

/// The prompts that wait at the node when it is killed.
const WAITING: usize = 3;

/// The time after which a node owns the target groups assigned to it.
const SETTLING_TIME: Duration = Duration::from_millis(1_800);

/// The time that an engine takes for a stream in which the owner has to grant the place of another.
const STREAM_TIME: Duration = Duration::from_millis(500);

/// A node that owns all groups of targets, and a daemon that asks it for places. Each of two services
/// has one engine.
struct Fleet {
    name: String,
    owner: Settings,
    settings: Settings,
    daemon: Option<Daemon>,
    /// The engine of the requests under `/a/`, and that of those under `/b/`.
    engines: [Replica; 2],
    _node: PlatformNode,
    _store: Store,
}

impl Fleet {
    async fn open(name: &str) -> Self {
        let store = Store::spawn().await;
        let configuration = CONFIG
            .replace("\"prefix\":\"/say/\"", "\"prefix\":\"/a/\"")
            .replace("\"prefix\":\"/long/\"", "\"prefix\":\"/b/\"")
            .replace("\"goal-ms\":3000,\"service\":\"model\"", "\"goal-ms\":3000,\"service\":\"b\"")
            .replace(
                "\"goal-ms\":300,\"service\":\"model\"",
                "\"goal-ms\":3000,\"service\":\"model\"",
            )
            .replace("\"gap-target-ms\":250", "\"gap-target-ms\":2000");
        let service = &configuration[configuration.find("{\"name\":\"model\"").unwrap()..];
        let service = &service[..service.find("],").unwrap()];
        let both = format!("{service},{}", service.replace("\"model\"", "\"b\""));
        store.put("op/config", &configuration.replace(service, &both));
        let engines =
            [Replica::spawn("a-1", "model", 3).await, Replica::spawn("b-1", "b", 3).await];
        for engine in &engines {
            store.put(&entry_key(&engine.name), &engine.entry("ready"));
        }
        let peers = free_address();
        let [mut owner, settings] = [1, 2].map(|number| node_settings(number, peers, &store));
        // A node with a fraction of this owns no groups.
        owner.capacity = Capacity::from_cores(4.0);
        let node = spawn_node(owner.clone()).await;
        wait_until_ready(owner.ready).await;
        let daemon = Some(Daemon::start(&format!("{name}-before"), &settings).await);
        wait_until_connected(&[owner.clone(), settings.clone()]).await;
        tokio::time::sleep(SETTLING_TIME).await;
        let name = name.to_owned();
        Self { name, owner, settings, daemon, engines, _node: node, _store: store }
    }

    fn send(&self, settings: &Settings, path: &str, number: usize) -> JoinHandle<Response> {
        let attempt = format!("{path}-{number}");
        let text = request_with_attempt_id(&attempt, "POST", path, &attempt);
        let text = text
            .replace("X-Deadline-Ms: 3000", "X-Deadline-Ms: 5000")
            .replace("X-Token-Count: 1460,80", "X-Token-Count: 1460,1600");
        let address = settings.callers;
        tokio::spawn(async move { send(address, &text).await })
    }

    /// Takes all slots of an engine until it is released.
    async fn fill(&self, engine: &Replica, path: &str) -> Vec<JoinHandle<Response>> {
        (0..SLOTS).for_each(|_| engine.enqueue(Action::HeldStream(1, 3)));
        let sent = (0..SLOTS).map(|number| self.send(&self.owner, path, number)).collect();
        wait_until("all slots are taken", || engine.requests().len() == SLOTS).await;
        sent
    }

    /// Leaves prompts for `a` waiting at the daemon, and starts it again.
    async fn restart_daemon(&mut self) {
        let waiting: Vec<_> =
            (0..WAITING).map(|number| self.send(&self.settings, "/a/waiting", number)).collect();
        self.wait_for_queued().await;
        self.daemon = None;
        waiting.iter().for_each(JoinHandle::abort);
        let daemon = Daemon::start(&format!("{}-after", self.name), &self.settings).await;
        self.daemon = Some(daemon);
    }

    /// Waits until the daemon's prompts are queued at the owner.
    async fn wait_for_queued(&self) {
        let daemon = self.daemon.as_ref().unwrap();
        let is_queued = |line: &Value| line["message"] == "waits for engines";
        wait_until("prompts wait", || daemon.log_lines(is_queued).len() == WAITING).await;
    }

    fn check_services(&self) {
        for (engine, path) in self.engines.iter().zip(["/a/", "/b/"]) {
            for request in engine.requests() {
                assert!(
                    request.path().starts_with(path),
                    "{} ran {}",
                    engine.name,
                    request.request_line
                );
            }
        }
    }
}

/// Guards against a prompt that runs at a target of another service since the owner granted the
/// place to a request of the process before.
#[tokio::test(flavor = "multi_thread")]
async fn a_restarted_node_gets_no_places_of_its_earlier_requests() {
    let mut fleet = Fleet::open("restart").await;
    let [a, b] = fleet.engines.clone();
    let mut running = fleet.fill(&a, "/a/1").await;
    running.extend(fleet.fill(&b, "/b/1").await);
    fleet.restart_daemon().await;
    (0..WAITING).for_each(|_| b.enqueue(Action::Stream(3)));
    running.extend((0..WAITING).map(|number| fleet.send(&fleet.settings, "/b/late", number)));
    fleet.wait_for_queued().await;
    a.release();
    tokio::time::sleep(STREAM_TIME).await;
    fleet.check_services();
    b.release();
    for response in running {
        assert_eq!(response.await.unwrap().status, 200);
    }
    fleet.check_services();
}
