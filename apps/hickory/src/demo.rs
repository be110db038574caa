//! The demo: stand-ins and three nodes in one process, real sockets, and a
//! seeded load of mixed lengths.

use crate::args::Demo;
use crate::failure::Failure;
use hickory_load::mix::{self, Arrival, Calls, Class, Length, Part};
use hickory_load::run::{self, Credential};
use hickory_node::Node;
use hickory_release::configuration::{self, Account, Model, Partner, Service, Weight, Zone};
use hickory_release::note::{Entries, Note};
use hickory_settings::{Platform, Settings, Times};
use hickory_standin::fleet::{self, Fleet};
use hickory_target::engine::Weights;
use hickory_unit::{id, size};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

/// Nodes that are started.
const NODES: usize = 3;

/// The model that the demo serves.
const MODEL: &str = "oak";

/// How long requests are sent; with the answers that are still under way
/// then, the demo ends within half a minute.
const SENDING: Duration = Duration::from_secs(12);

/// When the long prompts begin: what short ones see before is what they are
/// compared with.
const LONG_FROM: Duration = Duration::from_secs(4);

/// Time for the prompt of a million tokens. Engines report their rate as if
/// they ran at real speed, at which its prefill takes 25 s; here it takes half
/// of that or less.
const HUGE_DEADLINE: Duration = Duration::from_secs(26);

/// How long the fleet may take to be ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Accounts, with the partner whose share pays.
const ACCOUNTS: [(&str, &str); 4] = [
    ("mawe-shop", "mawe"),
    ("mawe-school", "mawe"),
    ("caucao-guide", "caucao"),
    ("caucao-report", "caucao"),
];

/// Runs the demo and prints its report.
pub(crate) fn run(options: &Demo) -> Result<(), Failure> {
    let standins = Fleet::spawn(standin_options()).map_err(local)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(local)?;
    let nodes = runtime.block_on(start(&standins))?;
    println!("{NODES} nodes before {} engines, ready", standins.engines.len());
    for node in &nodes {
        println!("  callers at {}, operators at {}", node.callers(), node.admin());
    }
    println!("sending for {} s\n", SENDING.as_secs());
    let entries = nodes.iter().map(Node::callers).collect();
    let report = run::run(workload(options.seed), entries, credentials()).map_err(local)?;
    println!("{report}");
    runtime.block_on(stop(&nodes));
    println!("planned stop of all nodes done");
    match report.lost() {
        0 => Ok(()),
        lost => Err(Failure::Local(format!("{lost} requests got no whole answer"))),
    }
}

fn local(error: impl std::fmt::Display) -> Failure {
    Failure::Local(error.to_string())
}

fn standin_options() -> fleet::Options {
    let mut options = fleet::Options { engines: 6, ..fleet::Options::default() };
    // Fast enough for a million tokens within the demo's time.
    options.engine.model.speed = 4.0;
    options.engine.loaded =
        vec![Weights { model: MODEL.into(), version: "1".into(), adapter: None }];
    options
}

fn token(account: &str) -> String {
    format!("{account}-token")
}

fn credentials() -> Vec<Credential> {
    let accounts = ACCOUNTS.iter();
    accounts.map(|(name, _)| Credential { account: (*name).into(), token: token(name) }).collect()
}

fn workload(seed: u64) -> mix::Options {
    let mut options = mix::Options::mixed(seed, SENDING, 20.0);
    for part in &mut options.parts {
        if !matches!(part.length, Length::Short) {
            part.from = LONG_FROM;
        }
        // One prompt greater than two engines: more would still be prefilled
        // when the demo is to end.
        if matches!(part.length, Length::Huge) {
            part.arrival = Arrival::Once(1);
            part.deadline = HUGE_DEADLINE;
        } else {
            part.deadline = part.deadline.min(Duration::from_secs(12));
        }
    }
    options.parts.push(Part::of(Length::Short, Class::Batch, 1.0));
    options.calls.push(Calls {
        service: "orders".into(),
        path: "/place".into(),
        rate: 5.0,
        once: true,
        deadline: Duration::from_secs(5),
    });
    options
}

async fn start(standins: &Fleet) -> Result<Vec<Node>, Failure> {
    let platform = standins.platform();
    let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let mut nodes = Vec::new();
    for index in 0..NODES {
        let settings = Settings {
            node: format!("node-{index}").as_str().into(),
            zone: ["a", "b", "c"][index].into(),
            callers: any,
            admin: any,
            peers: any,
            platform: Platform {
                store: platform.store,
                hosts: platform.hosts,
                weights: platform.weights,
            },
            fleet_key: "5b".repeat(32),
            first_operator: None,
            times: Times { entry_keep_ms: 1_000, ..Times::default() },
            logs: Default::default(),
        };
        nodes.push(Node::spawn(settings).await.map_err(local)?);
    }
    nodes[0].accept(&first_note()).await.map_err(local)?;
    let targets = standins.engines.len() + standins.replicas.len();
    let end = Instant::now() + START_TIMEOUT;
    while nodes.iter().any(|node| node.accepting() < targets) {
        if Instant::now() > end {
            return Err(Failure::Local("the fleet was not ready in time".to_owned()));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(nodes)
}

async fn stop(nodes: &[Node]) {
    nodes.iter().for_each(Node::drain);
    for node in nodes {
        node.closed().await;
    }
}

fn first_note() -> Note {
    let weight = Weight { bytes: size::Bytes(1_000_000) };
    let model = Model {
        current: "1".into(),
        versions: [("1".into(), weight)].into(),
        adapters: Default::default(),
    };
    let account = |name: &str, partner: &str| Account {
        partner: partner.into(),
        token_digest: configuration::digest_token(&token(name)),
        weight: 1.0,
        models: [MODEL.into()].into(),
        services: ["orders".into()].into(),
    };
    let accounts = ACCOUNTS.iter();
    let added = Entries {
        partners: [
            ("mawe".into(), Partner { share: 0.6 }),
            ("caucao".into(), Partner { share: 0.4 }),
        ]
        .into(),
        accounts: accounts.map(|(name, p)| (id::Account::from(*name), account(name, p))).collect(),
        models: [(MODEL.into(), model)].into(),
        zones: ["a", "b", "c"].map(|zone| (zone.into(), Zone { out: false })).into(),
        services: [("orders".into(), Service { once: ["/place".to_owned()].into() })].into(),
        operators: [configuration::digest_token("operator-token")].into(),
        ..Entries::default()
    };
    Note { operation: "demo-first".to_owned(), added, ..Note::default() }
}
