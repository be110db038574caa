//! A node whose peers know a newer configuration than it has. The peers are
//! made up: they stand on the list of nodes, and tell and give what a test
//! wants.

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

/// The bound of every wait; it only ends a test that has failed.
const PATIENCE: Duration = Duration::from_secs(20);

const FLEET_KEY: &str = "2a";
const TOKEN: &str = "shop-token";
const NEW_TOKEN: &str = "new-token";
const GOSSIP_MS: u64 = 50;

/// Less than a request waits for a newer configuration.
const AT_ONCE: Duration = Duration::from_millis(700);

/// A revision of the ownership table that no write of the test reaches.
const FAR_REVISION: u64 = 1_000_000;

/// What the made-up peers tell and give, and what they were asked for.
#[derive(Debug, Default)]
struct Peers {
    /// The release that they say is in force.
    release: AtomicU64,
    /// The revision of the ownership table that they say they know.
    owners: AtomicU64,
    /// The configuration that they give.
    document: Mutex<Option<Document>>,
    /// How long a document takes.
    slow: Mutex<Duration>,
    /// Whether they have ended.
    gone: AtomicBool,
    releases: Asked,
    tables: Asked,
}

/// How often something was asked for.
#[derive(Debug, Default)]
struct Asked {
    count: AtomicUsize,
    now: AtomicUsize,
    most: AtomicUsize,
}

impl Asked {
    fn give<T>(&self, slow: Duration, value: T) -> T {
        self.count.fetch_add(1, Ordering::SeqCst);
        let now = self.now.fetch_add(1, Ordering::SeqCst) + 1;
        self.most.fetch_max(now, Ordering::SeqCst);
        std::thread::sleep(slow);
        self.now.fetch_sub(1, Ordering::SeqCst);
        value
    }

    fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }

    /// The most that were asked for at the same time.
    fn most(&self) -> usize {
        self.most.load(Ordering::SeqCst)
    }
}

impl Peers {
    fn slow(&self) -> Duration {
        *self.slow.lock().unwrap()
    }

    fn tell(&self, node: &id::Node) -> Gossip {
        Gossip {
            node: node.clone(),
            incarnation: id::Incarnation(1),
            configuration_version: id::Release(self.release.load(Ordering::SeqCst)),
            owners_revision: self.owners.load(Ordering::SeqCst),
            is_draining: false,
            version: 0,
            acknowledged_version: 0,
            targets: Vec::new(),
            suspects: Vec::new(),
            connections: 0,
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
        self.peers.tell(&self.node)
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
        self.peers.releases.give(self.peers.slow(), document)
    }

    fn owners(&self) -> Option<Document> {
        self.peers.tables.give(self.peers.slow(), None)
    }
}

/// A node with made-up peers, and the configuration that it has.
struct Scene {
    node: Node,
    peers: Arc<Peers>,
    http: Client<HttpConnector, Full<Bytes>>,
    standins: Fleet,
}

fn any() -> SocketAddr {
    SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0)
}

fn model() -> Model {
    let versions = [("1".into(), Weight { bytes: size::Bytes(1_000) })].into();
    Model { current: "1".into(), versions, adapters: Default::default() }
}

fn account(token: &str, models: &[&str]) -> Account {
    Account {
        partner: "mawe".into(),
        token_digest: digest_token(token),
        weight: 1.0,
        models: models.iter().map(|model| id::Model::from(*model)).collect(),
        services: ["orders".into()].into(),
    }
}

fn first_note() -> Note {
    let added = Entries {
        partners: [("mawe".into(), Partner { share: 1.0 })].into(),
        accounts: [("shop".into(), account(TOKEN, &["oak"]))].into(),
        models: [("oak".into(), model()), ("ash".into(), model())].into(),
        services: [("orders".into(), Service::default())].into(),
        operators: [digest_token("operator")].into(),
        ..Entries::default()
    };
    Note { operation: "first".into(), added, ..Note::default() }
}

/// What the operators allowed meanwhile.
fn write_newer(version: u64) -> Document {
    let mut newer = Configuration { version: id::Release(version), ..Configuration::default() };
    newer.partners.insert("mawe".into(), Partner { share: 1.0 });
    for name in ["oak", "ash", "elm"] {
        newer.models.insert(name.into(), model());
    }
    let models = ["oak", "ash", "elm"];
    newer.accounts.insert("shop".into(), account(TOKEN, &models));
    newer.accounts.insert("stall".into(), account(NEW_TOKEN, &models));
    newer.services.insert("orders".into(), Service::default());
    Document { version, text: serde_json::to_string(&newer).unwrap() }
}

async fn eventually<F: Future<Output = bool>>(what: &str, mut check: impl FnMut() -> F) {
    let end = Instant::now() + PATIENCE;
    while !check().await {
        assert!(Instant::now() < end, "never came: {what}");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

impl Scene {
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
            callers: any(),
            admin: any(),
            peers: any(),
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
        node.accept(&first_note()).await.expect("the note is accepted");
        let peers = Arc::new(Peers::default());
        for i in 0..count {
            spawn_peer(&standins, &node, &peers, format!("peer-{i:02}").as_str().into());
        }
        let http = Client::builder(TokioExecutor::new()).build_http();
        let scene = Self { node, peers, http, standins };
        eventually("targets take work", || async { scene.node.accepting() >= 5 }).await;
        scene
    }

    async fn ask(&self, path: &str, token: &str, body: Value) -> Answer {
        let began = Instant::now();
        let request = Request::post(format!("http://{}{path}", self.node.callers()))
            .header("authorization", format!("Bearer {token}"))
            .body(Full::from(body.to_string()))
            .unwrap();
        let response = self.http.request(request).await.expect("the node answers");
        let status = response.status();
        let retry_after = response.headers().contains_key("retry-after");
        let body = response.into_body().collect().await.expect("the answer is whole").to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let reason = body["reason"].as_str().unwrap_or_default().to_owned();
        Answer { status, reason, retry_after, took: began.elapsed() }
    }

    async fn complete(&self, token: &str, model: &str) -> Answer {
        let body = json!({ "model": model, "prompt": "p", "max_tokens": 2 });
        self.ask("/v1/completions", token, body).await
    }

    /// Asks for each thing that only the newer configuration allows.
    async fn ask_all(&self) -> [(&'static str, Answer); 6] {
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
            self.ask("/v1/completions", TOKEN, version),
            self.ask("/v1/completions", TOKEN, adapter),
            self.ask("/v1/services/taxis/x", TOKEN, json!({})),
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
    let listener = TcpListener::bind(any()).expect("a port is free");
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
    let (peers, to) = (peers.clone(), node.peers());
    tokio::spawn(async move {
        // Held while the peer lives.
        let _member = member;
        while !peers.gone.load(Ordering::SeqCst) {
            let _ = links.exchange(to, peers.tell(&name), Duration::from_secs(1)).await;
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
    took: Duration,
}

impl Answer {
    fn told(&self) -> (u16, &str, bool) {
        (self.status.as_u16(), &self.reason, self.retry_after)
    }
}

/// The configuration grows, and a node lags behind. Each of its peers tells it
/// many times a second that it has the newer one, and it asked each of them at
/// each word, so that all sent the same large document at once: links filled,
/// calls timed out and took the permits on the same links with them. It must
/// ask one peer at a time for each document, and nobody any more when it has it.
#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_asked_of_one_peer_at_a_time() {
    let scene = Scene::start(8).await;
    let Peers { releases, tables, .. } = &*scene.peers;
    *scene.peers.slow.lock().unwrap() = Duration::from_millis(300);
    *scene.peers.document.lock().unwrap() = Some(write_newer(5));
    scene.peers.release.store(5, Ordering::SeqCst);
    scene.peers.owners.store(FAR_REVISION, Ordering::SeqCst);
    eventually("the newer configuration", || async {
        scene.complete(NEW_TOKEN, "oak").await.status == 200
    })
    .await;
    eventually("some asks for the table", || async { tables.count() >= 5 }).await;
    assert_eq!(
        (releases.count(), releases.most(), tables.most()),
        (1, 1, 1),
        "asks for the configuration, and most at the same time for it and for the table"
    );
}

/// Operators allow something and a caller uses it, at a node that has heard
/// from its peers that there is a newer configuration and can't get it. It
/// refused for good by the one that it has, and callers don't come back after
/// that. It must say that it can't serve now and when to come back; what is
/// wrong by any configuration it goes on refusing at once.
#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_is_behind_refuses_nothing_for_good() {
    let scene = Scene::start(2).await;
    let wanted = [
        ("token", (401, "unauthenticated", false)),
        ("model", (404, "not-found", false)),
        ("model of others", (403, "forbidden", false)),
        ("version", (404, "not-found", false)),
        ("adapter", (404, "not-found", false)),
        ("service", (404, "not-found", false)),
    ];
    let answers = scene.ask_all().await;
    assert_eq!(answers.each_ref().map(|(what, answer)| (*what, answer.told())), wanted);
    for (what, answer) in &answers {
        assert!(answer.took < AT_ONCE, "{what}: {answer:?}");
    }

    scene.peers.release.store(5, Ordering::SeqCst);
    eventually("the node has heard", || async { scene.peers.releases.count() > 0 }).await;
    let answers = scene.ask_all().await;
    let behind = wanted.map(|(what, _)| (what, (503, "behind", true)));
    assert_eq!(answers.each_ref().map(|(what, answer)| (*what, answer.told())), behind);
    for (what, answer) in &answers {
        assert!(answer.took < Duration::from_secs(2), "{what}: {answer:?}");
    }

    let bare = Request::post(format!("http://{}/v1/completions", scene.node.callers()));
    let bare = bare.body(Full::default()).unwrap();
    let began = Instant::now();
    assert_eq!(scene.http.request(bare).await.unwrap().status(), 401, "without a token");
    assert!(began.elapsed() < AT_ONCE, "{:?}", began.elapsed());
    let path = scene.ask("/v2/nowhere", TOKEN, json!({})).await;
    assert_eq!(path.told(), (404, "not-found", false));
    let body = scene.ask("/v1/completions", TOKEN, json!({ "model": "oak" })).await;
    assert_eq!(body.told(), (400, "malformed", false));
    let known = scene.complete(TOKEN, "oak").await;
    assert_eq!(known.status, 200, "what it knows is served");
    for answer in [path, body, known] {
        assert!(answer.took < AT_ONCE, "{answer:?}");
    }

    // Peers that are gone have taken what they knew with them.
    scene.peers.gone.store(true, Ordering::SeqCst);
    eventually("the node is not behind any more", || async {
        scene.complete(TOKEN, "elm").await.told() == (404, "not-found", false)
    })
    .await;
}

/// The newer configuration comes while a request waits that only it allows: the
/// request is looked up again, and served as if it had come later.
#[tokio::test(flavor = "multi_thread")]
async fn what_waits_for_a_newer_configuration_is_served_by_it() {
    let scene = Scene::start(2).await;
    scene.peers.release.store(5, Ordering::SeqCst);
    eventually("the node has heard", || async { scene.peers.releases.count() > 0 }).await;
    let give = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        *scene.peers.document.lock().unwrap() = Some(write_newer(5));
    };
    let (token, model, ()) =
        tokio::join!(scene.complete(NEW_TOKEN, "oak"), scene.complete(TOKEN, "ash"), give);
    assert_eq!(token.status, 200, "{token:?}");
    // No engine has these weights yet, and that is what it is told.
    assert_ne!(model.status, 403, "{model:?}");
    assert_ne!(model.reason, "behind", "{model:?}");
    drop(scene.standins);
}
