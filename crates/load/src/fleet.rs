//! A small fleet for an experiment: node processes with stand-ins for the rest.
//!
//! The nodes are real processes on loopback with ports assigned by the system.
//! The platform and the targets are stand-ins on threads of this process, so
//! that an experiment can read their state without delay.

use crate::credential::Credential;
use crate::http::{self, Http};
use crate::process::Process;
use bytes::Bytes;
use eyre::{Context, Result, bail, ensure};
use hickory_model::engine::Options as Engine;
use hickory_release::configuration::{
    Account, Configuration, Model, Partner, Service, Weight, Zone, digest_token,
};
use hickory_release::note::{Entries, Note};
use hickory_standin::fleet::Fleet as Standins;
use hickory_standin::{engine, fleet as standins, service};
use hickory_target::engine::Weights;
use hickory_unit::{id, size};
use serde::Deserialize;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// The model that every fleet serves.
pub const MODEL: &str = "oak";

/// The operator's token.
const OPERATOR_TOKEN: &str = "operator-of-the-experiment";

/// Maximum time until a started fleet is ready.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between two checks of a condition that is waited for.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The policy that chooses the target of each request and the order of requests.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Policy {
    /// The product's own policy, run by its nodes.
    #[display("fair")]
    Fair,
    /// Baseline: first in, first out, with round-robin choice of the target.
    #[display("fifo")]
    Fifo,
    /// Baseline: the least loaded target by its last report, which may be out of date.
    #[display("least_loaded")]
    LeastLoaded,
}

/// The size and configuration of a fleet.
#[derive(Clone, Debug)]
pub struct Options {
    /// Number of nodes, distributed over the zones round robin; at most 9.
    pub nodes: usize,
    /// Number of engines, distributed over the zones round robin.
    pub engines: usize,
    /// The simulation parameters of each engine.
    pub engine: Engine,
    /// Number of replicas of the plain service `orders`.
    pub replicas: usize,
    /// The partners, each with its share and its number of accounts.
    pub partners: Vec<(&'static str, f64, usize)>,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            nodes: 3,
            engines: 6,
            engine: Engine::default(),
            replicas: 3,
            partners: vec![("mawe", 0.6, 5), ("caucao", 0.4, 5)],
        }
    }
}

/// A node process.
#[derive(Debug)]
pub struct Node {
    /// The process.
    pub process: Process,
    /// Its listen addresses.
    pub address: Address,
}

/// The listen addresses of a node, which it prints when it is ready.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Address {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and metrics.
    pub admin: SocketAddr,
    /// For other nodes.
    pub peers: SocketAddr,
}

/// A running fleet, which is stopped when dropped.
#[derive(Debug)]
pub struct Fleet {
    /// The nodes, which are stopped before the stand-ins.
    pub nodes: Vec<Node>,
    /// The platform and the targets.
    pub standins: Standins,
    /// The credentials of the accounts, in the order of their partners.
    pub credentials: Vec<Credential>,
    http: Http,
    folder: PathBuf,
}

impl Fleet {
    /// Starts a fleet and waits until each node has applied the first release note
    /// and sees every target accept work.
    pub async fn start(options: Options) -> Result<Self> {
        ensure!(options.nodes <= 9, "an experiment starts at most nine nodes");
        let mut fleet = Self::start_standins(&options)?;
        for index in 0..options.nodes {
            let node = fleet.start_node(index)?;
            fleet.nodes.push(node);
        }
        let note = make_first_note(&options, &fleet.credentials);
        fleet.submit_first_note(&note).await?;
        fleet.wait_ready(options.engines + options.replicas).await?;
        Ok(fleet)
    }

    /// Starts the stand-ins of a fleet without any nodes.
    pub fn start_standins(options: &Options) -> Result<Self> {
        let standins = spawn_standins(options)?;
        let (folder, credentials) = (create_folder()?, make_credentials(options));
        Ok(Self { nodes: Vec::new(), standins, credentials, http: Http::open(), folder })
    }

    /// Returns the addresses of the engines.
    pub fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.standins.engines.iter().map(|engine| engine.address()).collect()
    }

    /// Returns the nodes' addresses for callers.
    pub fn entry_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(|node| node.address.callers).collect()
    }

    /// Returns the first node's address for operators.
    pub fn admin_address(&self) -> SocketAddr {
        self.nodes[0].address.admin
    }

    /// Submits a release note that changes entries of the current configuration,
    /// and returns the new version.
    pub async fn change_configuration(&self, changed: Entries) -> Result<id::Release> {
        let current = self.read_json::<Configuration>(0, "/v1/admin/configuration").await?;
        let note = Note { against: current.version, changed, ..Note::default() };
        self.submit_note(&note).await
    }

    /// Takes a zone out of service or puts it back in service.
    pub async fn set_zone(&self, zone: &str, out: bool) -> Result<id::Release> {
        let zones = [(zone.into(), Zone { out })].into();
        self.change_configuration(Entries { zones, ..Entries::default() }).await
    }

    /// Reads a document of a node's administration API.
    pub async fn read_json<T: for<'a> Deserialize<'a>>(
        &self,
        node: usize,
        path: &str,
    ) -> Result<T> {
        let body = self.call_admin(node, "GET", path, Bytes::new()).await?;
        Ok(serde_json::from_slice(&body)?)
    }

    /// Returns the sum of a node's counters whose name and labels start with `prefix`.
    pub async fn read_metric(&self, node: usize, prefix: &str) -> Result<f64> {
        let body = self.call_admin(node, "GET", "/metrics", Bytes::new()).await?;
        let text = String::from_utf8_lossy(&body);
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        Ok(lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok()).sum())
    }

    /// Returns the configuration version that a node has applied.
    pub async fn version(&self, node: usize) -> Result<id::Release> {
        #[derive(Deserialize)]
        struct Health {
            version: id::Release,
        }
        let address = self.nodes[node].address.admin;
        let (_, body) = self.http.get_text(address, "/health").await?;
        Ok(serde_json::from_slice::<Health>(&body)?.version)
    }

    /// Submits a release note to the first node and returns its version.
    pub async fn submit_note(&self, note: &Note) -> Result<id::Release> {
        #[derive(Deserialize)]
        struct Accepted {
            version: id::Release,
        }
        let note = Bytes::from(serde_json::to_vec(note)?);
        let body = self.call_admin(0, "POST", "/v1/admin/releases", note).await?;
        Ok(serde_json::from_slice::<Accepted>(&body)?.version)
    }

    async fn call_admin(
        &self,
        node: usize,
        method: &str,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes> {
        let address = self.nodes[node].address.admin;
        let headers = [
            ("authorization", format!("Bearer {OPERATOR_TOKEN}")),
            ("content-type", "application/json".to_owned()),
        ];
        let response = self.http.send(address, method, path, &headers, body).await?;
        let status = response.status();
        let body = http::read_body(response.into_body()).await?;
        ensure!(status == 200, "{method} {path}: {status} {}", String::from_utf8_lossy(&body));
        Ok(body)
    }

    fn start_node(&self, index: usize) -> Result<Node> {
        let settings = self.folder.join(format!("node-{index}.json"));
        std::fs::write(&settings, settings_json(&self.standins, index))?;
        let log = self.folder.join(format!("node-{index}.log"));
        let path = settings.to_string_lossy();
        let binary = crate::process::find_binary("hickory-node")?;
        let started = Process::spawn(&binary, &[&path, "--log", "warn"], &log);
        let (process, line) = started.with_context(|| read_first_lines(&log))?;
        let address = serde_json::from_str(&line).with_context(|| {
            format!("expected the listen addresses of the node as JSON, got {line:?}")
        })?;
        Ok(Node { process, address })
    }

    /// Submits the first release note. Failed attempts are repeated, since the nodes may
    /// not have connected to the key-value service yet.
    async fn submit_first_note(&self, note: &Note) -> Result<()> {
        let start = Instant::now();
        loop {
            match self.submit_note(note).await {
                Ok(_) => return Ok(()),
                Err(error) if start.elapsed() > READY_TIMEOUT => return Err(error),
                Err(_) => tokio::time::sleep(POLL_INTERVAL * 10).await,
            }
        }
    }

    async fn wait_ready(&self, targets: usize) -> Result<()> {
        #[derive(Deserialize)]
        struct Target {
            accepting: bool,
        }
        let start = Instant::now();
        for node in 0..self.nodes.len() {
            loop {
                let seen = self.read_json::<Vec<Target>>(node, "/v1/admin/targets").await;
                let accepting = seen.iter().flatten().filter(|target| target.accepting).count();
                let version = self.version(node).await;
                if accepting == targets && version.is_ok_and(|v| v > id::Release(0)) {
                    break;
                }
                if start.elapsed() > READY_TIMEOUT {
                    bail!("node {node}: {accepting} of {targets} targets accept work, timed out");
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.nodes.clear();
        std::fs::remove_dir_all(&self.folder).ok();
    }
}

fn create_folder() -> Result<PathBuf> {
    let name = format!("hickory-load-{}", uuid::Uuid::now_v7());
    let folder = std::env::temp_dir().join(name);
    std::fs::create_dir(&folder)?;
    Ok(folder)
}

fn read_first_lines(log: &Path) -> String {
    let text = std::fs::read_to_string(log).unwrap_or_default();
    text.lines().take(3).collect::<Vec<_>>().join("; ")
}

fn spawn_standins(options: &Options) -> Result<Standins> {
    let weights = Weights { model: MODEL.into(), version: "1".into(), adapter: None };
    Ok(Standins::spawn(standins::Options {
        engines: options.engines,
        engine: engine::Options {
            model: options.engine.clone(),
            loaded: vec![weights],
            ..engine::Options::default()
        },
        replicas: options.replicas,
        replica: service::Options::default(),
        ..standins::Options::default()
    })?)
}

fn make_credentials(options: &Options) -> Vec<Credential> {
    let partners = options.partners.iter();
    partners
        .flat_map(|(partner, _, accounts)| (0..*accounts).map(move |i| format!("{partner}-{i}")))
        .map(|name| Credential { token: format!("token-of-{name}"), account: name.as_str().into() })
        .collect()
}

fn settings_json(standins: &Standins, index: usize) -> String {
    let zone = ["a", "b", "c"][index % 3];
    let platform = standins.platform();
    let operator = digest_token(OPERATOR_TOKEN);
    // Fleets that run beside each other get each other's ports when nodes end.
    let fleet_key = format!("{:064x}", platform.store.port());
    format!(
        r#"{{ "node": "node-{index}", "zone": "{zone}", "callers": "127.0.0.1:0",
  "admin": "127.0.0.1:0", "peers": "127.0.0.1:0",
  "platform": {{ "store": "{}", "hosts": "{}", "weights": "{}" }},
  "fleet_key": "{fleet_key}", "first_operator": "{operator}" }}"#,
        platform.store, platform.hosts, platform.weights
    )
}

fn make_first_note(options: &Options, credentials: &[Credential]) -> Note {
    let weight = Weight { bytes: size::Bytes(16_000_000_000) };
    let model = Model {
        current: "1".into(),
        versions: [(id::Version::from("1"), weight)].into(),
        adapters: [].into(),
    };
    let orders = Service { once: ["/place".to_owned()].into() };
    let partner_of = |name: &str| {
        let prefix = |partner: &str| name.starts_with(&format!("{partner}-"));
        options.partners.iter().map(|(partner, ..)| *partner).find(|p| prefix(p)).unwrap_or("")
    };
    let accounts = credentials.iter().map(|credential| {
        let account = Account {
            partner: partner_of(credential.account.as_str()).into(),
            token_digest: digest_token(&credential.token),
            weight: 1.0,
            models: [MODEL.into()].into(),
            services: ["orders".into()].into(),
        };
        (credential.account.clone(), account)
    });
    let partners = options.partners.iter();
    let added = Entries {
        partners: partners
            .map(|(name, share, _)| ((*name).into(), Partner { share: *share }))
            .collect(),
        accounts: accounts.collect(),
        models: [(MODEL.into(), model)].into(),
        zones: ["a", "b", "c"].map(|zone| (zone.into(), Zone { out: false })).into(),
        services: [("orders".into(), orders)].into(),
        operators: [digest_token(OPERATOR_TOKEN)].into(),
        ..Entries::default()
    };
    Note { added, ..Note::default() }
}
