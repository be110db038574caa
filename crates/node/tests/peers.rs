//! Tests of a node whose peers have a newer configuration. The peers are simulated: they are
//! registered as nodes, and answer as each test requires.

use bytes::Bytes;
use hickory_node::Node;
use hickory_release::configuration::{
    Account, Configuration, Model, Partner, Service, Weight, digest_token,
};
use hickory_release::note::{Entries, Note};
use hickory_settings::{Platform, Settings, Times};
use hickory_standin::fleet::{self, Fleet};
use hickory_state::member::{Info, Member};
use hickory_store::http::Platform as Store;
use hickory_target::engine::Weights;
use hickory_unit::clock::System;
use hickory_unit::{id, size};
use hickory_wire::link::{Handler, Links};
use hickory_wire::message::{Adoption, Document, Gossip, Outcome, Permit, PermitRequest, Refusal};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde_json::{Value, json};
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Maximum wait for a condition; it is reached only by a failing test.
const MAX_TEST_WAIT: Duration = Duration::from_secs(20);

const FLEET_KEY: &str = "2a";
const TOKEN: &str = "shop-token";
const NEW_TOKEN: &str = "new-token";
const GOSSIP_MS: u64 = 50;

/// Less than the time for which a request waits for a newer configuration.
const MAX_IMMEDIATE_TIME: Duration = Duration::from_millis(700);

/// A revision of the ownership table that no write of the test reaches.
const UNREACHABLE_REVISION: u64 = 1_000_000;

/// The answers of the simulated peers, and the requests that they received.
#[derive(Debug, Default)]
struct Peers {
    /// The release that they announce.
    release: AtomicU64,
    /// The revision of the ownership table that they announce.
    owners: AtomicU64,
    /// The version of the node's target states that they acknowledge.
    acknowledged: AtomicU64,
    /// The number of exchanges, and of target states in the answer to the last one.
    exchanges: AtomicUsize,
    received_states: AtomicUsize,
    /// The configuration that they return.
    document: Mutex<Option<Document>>,
    /// The delay before a document is returned.
    delay: Mutex<Duration>,
    /// Whether they have stopped.
    is_stopped: AtomicBool,
    releases: RequestCounter,
    tables: RequestCounter,
}

/// Counts requests for a document.
#[derive(Debug, Default)]
struct RequestCounter {
    count: AtomicUsize,
    in_flight: AtomicUsize,
    max_concurrent: AtomicUsize,
}

impl RequestCounter {
    fn respond<T>(&self, delay: Duration, value: T) -> T {
        self.count.fetch_add(1, Ordering::SeqCst);
        let in_flight = self.in_flight.fetch_add(1, Ordering::SeqCst) + 1;
        self.max_concurrent.fetch_max(in_flight, Ordering::SeqCst);
        std::thread::sleep(delay);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        value
    }

    fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// Returns the maximum number of concurrent requests.
    fn max_concurrent(&self) -> usize {
        self.max_concurrent.load(Ordering::SeqCst)
    }
}

impl Peers {
    fn delay(&self) -> Duration {
        *self.delay.lock().unwrap()
    }

    fn make_gossip(&self, node: &id::Node) -> Gossip {
        Gossip {
            node: node.clone(),
            incarnation: id::Incarnation(1),
            configuration_version: id::Release(self.release.load(Ordering::SeqCst)),
            owners_revision: self.owners.load(Ordering::SeqCst),
            is_draining: false,
            version: 0,
            acknowledged_version: self.acknowledged.load(Ordering::SeqCst),
            targets: Vec::new(),
            suspects: Vec::new(),
            active_requests: 0,
        }
    }
}

#[derive(Clone, Debug)]
struct Peer {
    node: id::Node,
    peers: Arc<Peers>,
}

fn refuse() -> Refusal {
    Refusal { reason: "draining".into(), retry_after: Duration::ZERO, is_not_owner: true }
}

impl Handler for Peer {
    fn exchange(&self, _: Gossip) -> Gossip {
        self.peers.make_gossip(&self.node)
    }

    async fn permit(&self, _: PermitRequest) -> Result<Permit, Refusal> {
        Err(refuse())
    }

    fn outcome(&self, _: Outcome) {}

    fn adopt(&self, _: Adoption) -> Result<Permit, Refusal> {
        Err(refuse())
    }

    fn configuration(&self) -> Option<Document> {
        let document = self.peers.document.lock().unwrap().clone();
        self.peers.releases.respond(self.peers.delay(), document)
    }

    fn owners(&self) -> Option<Document> {
        self.peers.tables.respond(self.peers.delay(), None)
    }
}

/// A node with simulated peers.
struct Fixture {
    node: Node,
    peers: Arc<Peers>,
    http: Client<HttpConnector, Full<Bytes>>,
    standins: Fleet,
}

fn any_address() -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)
}

fn make_model() -> Model {
    let versions = [("1".into(), Weight { bytes: size::Bytes(1_000) })].into();
    Model { current: "1".into(), versions, adapters: Default::default() }
}

fn make_account(token: &str, models: &[&str]) -> Account {
    Account {
        partner: "mawe".into(),
        token_digest: digest_token(token),
        weight: 1.0,
        models: models.iter().map(|model| id::Model::from(*model)).collect(),
        services: ["orders".into()].into(),
    }
}

fn make_first_note() -> Note {
    let added = Entries {
        partners: [("mawe".into(), Partner { share: 1.0 })].into(),
        accounts: [("shop".into(), make_account(TOKEN, &["oak"]))].into(),
        models: [("oak".into(), make_model()), ("ash".into(), make_model())].into(),
        services: [("orders".into(), Service::default())].into(),
        operators: [digest_token("operator")].into(),
        ..Entries::default()
    };
    Note { operation: "first".into(), added, ..Note::default() }
}

/// Returns a newer configuration that allows more.
fn make_newer_document(version: u64) -> Document {
    let mut newer = Configuration { version: id::Release(version), ..Configuration::default() };
    newer.partners.insert("mawe".into(), Partner { share: 1.0 });
    for name in ["oak", "ash", "elm"] {
        newer.models.insert(name.into(), make_model());
    }
    let models = ["oak", "ash", "elm"];
    newer.accounts.insert("shop".into(), make_account(TOKEN, &models));
    newer.accounts.insert("stall".into(), make_account(NEW_TOKEN, &models));
    newer.services.insert("orders".into(), Service::default());
    Document { version, text: serde_json::to_string(&newer).unwrap() }
}

async fn eventually<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let end = Instant::now() + MAX_TEST_WAIT;
    while !check().await {
        assert!(Instant::now() < end, "timed out waiting until {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl Fixture {
    async fn start(count: usize) -> Self {
        let mut options = fleet::Options::default();
        options.engine.loaded =
            vec![Weights { model: "oak".into(), version: "1".into(), adapter: None }];
        options.engine.model.speed = 50.0;
        let standins = Fleet::spawn(options).expect("the stand-ins start");
        let platform = standins.platform();
        let settings = Settings {
            node: "node".into(),
            zone: "a".into(),
            callers: any_address(),
            admin: any_address(),
            peers: any_address(),
            platform: Platform {
                store: platform.store,
                hosts: platform.hosts,
                weights: platform.weights,
            },
            fleet_key: FLEET_KEY.repeat(32),
            first_operator: None,
            times: Times { gossip_ms: GOSSIP_MS, report_ms: 50, hosts_ms: 100, ..Times::default() },
            logs: Default::default(),
        };
        let node = Node::spawn(settings).await.expect("the node starts");
        node.accept(&make_first_note()).await.expect("the note is accepted");
        let peers = Arc::new(Peers::default());
        for i in 0..count {
            spawn_peer(&standins, &node, &peers, format!("peer-{i:02}").as_str().into());
        }
        let http = Client::builder(TokioExecutor::new()).build_http();
        let fixture = Self { node, peers, http, standins };
        eventually("targets accept work", || async { fixture.node.count_accepting_targets() >= 5 })
            .await;
        fixture
    }

    async fn post(&self, path: &str, token: &str, body: Value) -> Answer {
        let started = Instant::now();
        let request = Request::post(format!("http://{}{path}", self.node.caller_address()))
            .header("authorization", format!("Bearer {token}"))
            .body(Full::from(body.to_string()))
            .unwrap();
        let response = self.http.request(request).await.expect("the node answers");
        let status = response.status();
        let retry_after = response.headers().contains_key("retry-after");
        let body = response.into_body().collect().await.expect("the answer is whole").to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let reason = body["reason"].as_str().unwrap_or_default().to_owned();
        Answer { status, reason, retry_after, elapsed: started.elapsed() }
    }

    async fn complete(&self, token: &str, model: &str) -> Answer {
        let body = json!({ "model": model, "prompt": "p", "max_tokens": 2 });
        self.post("/v1/completions", token, body).await
    }

    /// Makes one request for each thing that only the newer configuration allows.
    async fn request_everything_newer(&self) -> [(&'static str, Answer); 6] {
        let prompt = |rest: Value| {
            let mut body = json!({ "model": "oak", "prompt": "p", "max_tokens": 2 });
            body.as_object_mut().unwrap().extend(rest.as_object().unwrap().clone());
            body
        };
        let version = prompt(json!({ "version": "2" }));
        let adapter = prompt(json!({ "adapter": "blue" }));
        let (token, missing, forbidden, version, adapter, service) = tokio::join!(
            self.complete(NEW_TOKEN, "oak"),
            self.complete(TOKEN, "elm"),
            self.complete(TOKEN, "ash"),
            self.post("/v1/completions", TOKEN, version),
            self.post("/v1/completions", TOKEN, adapter),
            self.post("/v1/services/taxis/x", TOKEN, json!({})),
        );
        [
            ("token", token),
            ("model", missing),
            ("model of others", forbidden),
            ("version", version),
            ("adapter", adapter),
            ("service", service),
        ]
    }
}

fn spawn_peer(standins: &Fleet, node: &Node, peers: &Arc<Peers>, name: id::Node) {
    let listener = TcpListener::bind(any_address()).expect("a port is free");
    let address = listener.local_addr().unwrap();
    let key = FLEET_KEY.repeat(32).parse().expect("the key is well-formed");
    let peer = Peer { node: name.clone(), peers: peers.clone() };
    let links = Links::spawn(listener, key, peer).expect("the peer listens");
    let store = Store::open(standins.platform(), Duration::from_secs(1));
    let info = Info {
        node: name.clone(),
        zone: "b".into(),
        callers: address,
        peers: address,
        admin: address,
        incarnation: id::Incarnation(1),
        draining: false,
    };
    let member = Member::spawn(store, System, info, Duration::from_secs(5));
    let (peers, to) = (peers.clone(), node.peer_address());
    tokio::spawn(async move {
        // Keeps the peer registered while this task runs.
        let _member = member;
        while !peers.is_stopped.load(Ordering::SeqCst) {
            let own = peers.make_gossip(&name);
            if let Ok(answer) = links.exchange(to, own, Duration::from_secs(1)).await {
                peers.received_states.store(answer.targets.len(), Ordering::SeqCst);
                peers.exchanges.fetch_add(1, Ordering::SeqCst);
            }
            tokio::time::sleep(Duration::from_millis(GOSSIP_MS)).await;
        }
        links.close();
    });
}

#[derive(Debug)]
struct Answer {
    status: StatusCode,
    reason: String,
    retry_after: bool,
    elapsed: Duration,
}

impl Answer {
    fn summary(&self) -> (u16, &str, bool) {
        (self.status.as_u16(), &self.reason, self.retry_after)
    }
}

/// A node whose configuration is out of date must fetch each document from one peer at a time,
/// and stop when it has it. Each peer announces its newer version many times a second; fetching
/// at each announcement made all peers send the same large document at once, so that links
/// filled up and calls on them timed out, with their permits.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_fetched_from_one_peer_at_a_time() {
    let fixture = Fixture::start(8).await;
    let Peers { releases, tables, .. } = &*fixture.peers;
    *fixture.peers.delay.lock().unwrap() = Duration::from_millis(300);
    *fixture.peers.document.lock().unwrap() = Some(make_newer_document(5));
    fixture.peers.release.store(5, Ordering::SeqCst);
    fixture.peers.owners.store(UNREACHABLE_REVISION, Ordering::SeqCst);
    eventually("the newer configuration is in force", || async {
        fixture.complete(NEW_TOKEN, "oak").await.status == 200
    })
    .await;
    eventually("the table is requested several times", || async { tables.count() >= 5 }).await;
    assert_eq!(
        (releases.count(), releases.max_concurrent(), tables.max_concurrent()),
        (1, 1, 1),
        "requests for the configuration, and maximum concurrent requests for it and for the table"
    );
}

/// A node that knows of a newer configuration and can't fetch it must refuse what only that
/// configuration may allow as temporarily unavailable, with a retry delay. A refusal by the old
/// configuration would be final, and callers don't retry it. Requests that are invalid by any
/// configuration are still refused immediately.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_with_an_old_configuration_refuses_nothing_permanently() {
    let fixture = Fixture::start(2).await;
    let expected = [
        ("token", (401, "unauthenticated", false)),
        ("model", (404, "not-found", false)),
        ("model of others", (403, "forbidden", false)),
        ("version", (404, "not-found", false)),
        ("adapter", (404, "not-found", false)),
        ("service", (404, "not-found", false)),
    ];
    let answers = fixture.request_everything_newer().await;
    assert_eq!(answers.each_ref().map(|(what, answer)| (*what, answer.summary())), expected);
    for (what, answer) in &answers {
        assert!(answer.elapsed < MAX_IMMEDIATE_TIME, "{what}: {answer:?}");
    }

    fixture.peers.release.store(5, Ordering::SeqCst);
    eventually("the node knows of the newer release", || async {
        fixture.peers.releases.count() > 0
    })
    .await;
    let answers = fixture.request_everything_newer().await;
    let behind = expected.map(|(what, _)| (what, (503, "behind", true)));
    assert_eq!(answers.each_ref().map(|(what, answer)| (*what, answer.summary())), behind);
    for (what, answer) in &answers {
        assert!(answer.elapsed < Duration::from_secs(2), "{what}: {answer:?}");
    }

    let request_without_token =
        Request::post(format!("http://{}/v1/completions", fixture.node.caller_address()));
    let request_without_token = request_without_token.body(Full::default()).unwrap();
    let started = Instant::now();
    assert_eq!(
        fixture.http.request(request_without_token).await.unwrap().status(),
        401,
        "without a token"
    );
    assert!(started.elapsed() < MAX_IMMEDIATE_TIME, "{:?}", started.elapsed());
    let path = fixture.post("/v2/nowhere", TOKEN, json!({})).await;
    assert_eq!(path.summary(), (404, "not-found", false));
    let body = fixture.post("/v1/completions", TOKEN, json!({ "model": "oak" })).await;
    assert_eq!(body.summary(), (400, "malformed", false));
    let known = fixture.complete(TOKEN, "oak").await;
    assert_eq!(known.status, 200, "what the old configuration allows is served");
    for answer in [path, body, known] {
        assert!(answer.elapsed < MAX_IMMEDIATE_TIME, "{answer:?}");
    }

    // Stopped peers no longer announce the newer configuration.
    fixture.peers.is_stopped.store(true, Ordering::SeqCst);
    eventually("the node no longer knows of a newer release", || async {
        fixture.complete(TOKEN, "elm").await.summary() == (404, "not-found", false)
    })
    .await;
}

/// If the newer configuration arrives while a request waits for it, the request is checked
/// again and served.
#[tokio::test(flavor = "multi_thread")]
async fn a_waiting_request_is_served_by_the_newer_configuration() {
    let fixture = Fixture::start(2).await;
    fixture.peers.release.store(5, Ordering::SeqCst);
    eventually("the node knows of the newer release", || async {
        fixture.peers.releases.count() > 0
    })
    .await;
    let publish = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        *fixture.peers.document.lock().unwrap() = Some(make_newer_document(5));
    };
    let (token, model, ()) =
        tokio::join!(fixture.complete(NEW_TOKEN, "oak"), fixture.complete(TOKEN, "ash"), publish);
    assert_eq!(token.status, 200, "{token:?}");
    // No engine has these weights yet, so the request is refused for that reason.
    assert_ne!(model.status, 403, "{model:?}");
    assert_ne!(model.reason, "behind", "{model:?}");
    drop(fixture.standins);
}

/// Guards against a node that has started anew and sends its peers no states of its targets, since they
/// acknowledge a version that its earlier process reached.
#[tokio::test(flavor = "multi_thread")]
async fn states_are_sent_to_peers_that_acknowledge_a_version_of_an_earlier_process() {
    const EARLIER_VERSION: u64 = 1_000_000;
    let fixture = Fixture::start(1).await;
    let peers = &fixture.peers;
    peers.acknowledged.store(EARLIER_VERSION, Ordering::SeqCst);
    let before = peers.exchanges.load(Ordering::SeqCst);
    eventually("some exchanges", || async { peers.exchanges.load(Ordering::SeqCst) > before + 5 })
        .await;
    assert!(peers.received_states.load(Ordering::SeqCst) > 0, "states in the last answer");
    peers.is_stopped.store(true, Ordering::SeqCst);
}
