//! The demo: stand-ins and three nodes in one process with real sockets, under a
//! seeded load of mixed prompt lengths.

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

/// Number of nodes.
const NODES: usize = 3;

/// The model that the demo serves.
const MODEL: &str = "oak";

/// Duration of the load. Including the answers still in flight at its end, the demo
/// takes at most half a minute.
const SEND_DURATION: Duration = Duration::from_secs(12);

/// Start of the long prompts. The short prompts before it are the baseline of the
/// comparison.
const LONG_PROMPTS_START: Duration = Duration::from_secs(4);

/// Deadline of the prompt of a million tokens. Engines report their prefill rate without
/// the demo's speed factor. At that rate its prefill takes 25 s; in the demo it takes half
/// of that or less.
const HUGE_PROMPT_DEADLINE: Duration = Duration::from_secs(26);

/// Timeout until the fleet is ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// Client accounts, each with its partner.
const ACCOUNTS: [(&str, &str); 4] = [
    ("mawe-shop", "mawe"),
    ("mawe-school", "mawe"),
    ("caucao-guide", "caucao"),
    ("caucao-report", "caucao"),
];

/// Runs the demo and prints its report.
pub(crate) fn run(options: &Demo) -> Result<(), Failure> {
    let standins = Fleet::spawn(standin_options()).map_err(local_failure)?;
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(local_failure)?;
    let nodes = runtime.block_on(start_nodes(&standins))?;
    println!("{NODES} nodes in front of {} engines are ready", standins.engines.len());
    for node in &nodes {
        println!("  callers at {}, operators at {}", node.caller_address(), node.admin_address());
    }
    println!("sending for {} s\n", SEND_DURATION.as_secs());
    let entries = nodes.iter().map(Node::caller_address).collect();
    let report =
        run::run(load_options(options.seed), entries, credentials()).map_err(local_failure)?;
    println!("{report}");
    runtime.block_on(stop_nodes(&nodes));
    println!("all nodes have stopped as planned");
    match report.lost() {
        0 => Ok(()),
        lost => Err(Failure::Local(format!("{lost} requests got no complete answer"))),
    }
}

fn local_failure(error: impl std::fmt::Display) -> Failure {
    Failure::Local(error.to_string())
}

fn standin_options() -> fleet::Options {
    let mut options = fleet::Options { engines: 6, ..fleet::Options::default() };
    // Fast enough to prefill a million tokens within the duration of the demo.
    options.engine.model.speed = 4.0;
    options.engine.loaded =
        vec![Weights { model: MODEL.into(), version: "1".into(), adapter: None }];
    options
}

fn token_of(account: &str) -> String {
    format!("{account}-token")
}

fn credentials() -> Vec<Credential> {
    let accounts = ACCOUNTS.iter();
    accounts
        .map(|(name, _)| Credential { account: (*name).into(), token: token_of(name) })
        .collect()
}

fn load_options(seed: u64) -> mix::Options {
    let mut options = mix::Options::mixed(seed, SEND_DURATION, 20.0);
    for part in &mut options.parts {
        if !matches!(part.length, Length::Short) {
            part.from = LONG_PROMPTS_START;
        }
        // Only one prompt that needs more than two engines: further ones would still be
        // in prefill when the demo should end.
        if matches!(part.length, Length::Huge) {
            part.arrival = Arrival::Once(1);
            part.deadline = HUGE_PROMPT_DEADLINE;
        } else {
            part.deadline = part.deadline.min(Duration::from_secs(12));
        }
    }
    options.parts.push(Part::new(Length::Short, Class::Batch, 1.0));
    options.calls.push(Calls {
        service: "orders".into(),
        path: "/place".into(),
        rate: 5.0,
        once: true,
        deadline: Duration::from_secs(5),
    });
    options
}

async fn start_nodes(standins: &Fleet) -> Result<Vec<Node>, Failure> {
    let platform = standins.platform();
    let any_port = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
    let mut nodes = Vec::new();
    for index in 0..NODES {
        let settings = Settings {
            node: format!("node-{index}").as_str().into(),
            zone: ["a", "b", "c"][index].into(),
            callers: any_port,
            admin: any_port,
            peers: any_port,
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
        nodes.push(Node::spawn(settings).await.map_err(local_failure)?);
    }
    nodes[0].accept(&first_note()).await.map_err(local_failure)?;
    let targets = standins.engines.len() + standins.replicas.len();
    let end = Instant::now() + START_TIMEOUT;
    while nodes.iter().any(|node| node.count_accepting_targets() < targets) {
        if Instant::now() > end {
            return Err(Failure::Local("the fleet was not ready in time".to_owned()));
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Ok(nodes)
}

async fn stop_nodes(nodes: &[Node]) {
    nodes.iter().for_each(Node::drain);
    for node in nodes {
        node.wait_closed().await;
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
        token_digest: configuration::digest_token(&token_of(name)),
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
