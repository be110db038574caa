//! The command line.

use clap::{Args, Parser, Subcommand};
use eyre::WrapErr;
use hickory_model::option::Options as Model;
use hickory_standin::{engine, fleet, service};
use hickory_store::host::Host;
use hickory_store::weight::Limit;
use hickory_target::engine::Weights;
use hickory_unit::{id, size};
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// Small stand-ins for the platform and the targets, with fault injection.
///
/// Prints one line of JSON with its addresses when it is ready, and exits
/// with status 0 on SIGTERM.
///
/// A POST of JSON to /fault/NAME at the control address switches a fault,
/// where NAME is one of the names in that line; this also works for a
/// stand-in that is dead or frozen. Every stand-in supports "kill", "restart",
/// {"down_for_ms":N}, "freeze", "thaw", {"slow_ms":N}, "cut" (open
/// connections break), "silence" (open connections go silent for good, new
/// ones work), {"lose":{"loss":"call|answer|silence","path":"/kv/write",
/// "count":N}} and "clear". Engines also support "turn_cold",
/// {"lag_ms":N}, {"stall":{"after":N}} and {"crash_marker":"TEXT"}, services "turn_cold",
/// the store {"stale":true}, "compact" and
/// {"rate":{"reads":2000,"writes":300}}, the host list {"lag_ms":N},
/// {"stand":{"target":"engine-0","standing":"leaving"}} and
/// {"unlist":"engine-0"}.
#[derive(Debug, Parser)]
#[command(name = "hickory-standin", version)]
pub(crate) struct Arguments {
    /// Address to listen on; port 0 picks a free port. A fleet uses only the
    /// host part and picks free ports.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    pub(crate) listen: SocketAddr,

    /// Address of the fault control server.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    pub(crate) control: SocketAddr,

    /// The kind of stand-in.
    #[command(subcommand)]
    pub(crate) kind: Kind,
}

/// The kind of stand-in.
#[derive(Debug, Subcommand)]
pub(crate) enum Kind {
    /// The key-value service; its data is lost when the process exits.
    Store,
    /// The host list.
    Hosts(HostList),
    /// The rate-limited weight store.
    Weights(WeightStore),
    /// A model engine.
    Engine(Engine),
    /// A replica of a plain service.
    Service(Replica),
    /// A whole small platform in one process.
    Fleet(Fleet),
}

/// The host list.
#[derive(Debug, Args)]
pub(crate) struct HostList {
    /// JSON file with an array of hosts; without it the list is empty.
    #[arg(long)]
    hosts: Option<PathBuf>,
}

impl HostList {
    pub(crate) fn read(&self) -> eyre::Result<Vec<Host>> {
        let Some(path) = &self.hosts else { return Ok(Vec::new()) };
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("can't read {}", path.display()))?;
        serde_json::from_str(&text)
            .wrap_err_with(|| format!("{} is not a JSON array of hosts", path.display()))
    }
}

/// The weight store.
#[derive(Debug, Args)]
pub(crate) struct WeightStore {
    /// Maximum number of concurrent loads.
    #[arg(long, default_value_t = 2)]
    loads: u32,

    /// Total bytes per second of all loads.
    #[arg(long, default_value_t = 4_000_000_000)]
    bytes_per_second: u64,
}

impl WeightStore {
    pub(crate) fn limit(&self) -> Limit {
        Limit { loads: self.loads, bytes_per_second: size::Bytes(self.bytes_per_second) }
    }
}

/// An engine.
#[derive(Debug, Args)]
pub(crate) struct Engine {
    /// Weights loaded at the start, as MODEL/VERSION or MODEL/VERSION/ADAPTER;
    /// may be repeated.
    #[arg(long, value_parser = parse_weights)]
    loaded: Vec<Weights>,

    /// Address of the weight store; without it weights load instantly.
    #[arg(long)]
    weights: Option<SocketAddr>,

    /// KV cache capacity in tokens.
    #[arg(long, default_value_t = Model::default().kv_capacity.0)]
    kv_capacity: u64,

    /// Prompt tokens prefilled per second.
    #[arg(long, default_value_t = Model::default().prefill_rate)]
    prefill_rate: u64,

    /// Maximum number of streams decoded at once.
    #[arg(long, default_value_t = Model::default().max_streams)]
    streams_max: u32,

    /// Warmth at the first start, from 0 to 100; after a restart it is 0.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u8).range(0..=100))]
    warmth: u8,

    /// Time to warm up under load, in milliseconds.
    #[arg(long, default_value_t = Model::default().warm_up_time.as_millis() as u64)]
    warm_ms: u64,

    /// Speed-up factor relative to the modelled engine.
    #[arg(long, default_value_t = 1.0, value_parser = parse_speed)]
    speed: f64,

    /// Accept orders with stale fencing epochs.
    #[arg(long)]
    ignore_fences: bool,

    /// Time from a crash to the restart, in milliseconds; without it the
    /// engine stays dead.
    #[arg(long)]
    restart_after_ms: Option<u64>,

    /// Crash when running a prompt that contains this text.
    #[arg(long)]
    crash_marker: Option<String>,
}

impl Engine {
    pub(crate) fn options(&self) -> engine::Options {
        let model = Model {
            kv_capacity: size::Tokens(self.kv_capacity),
            prefill_rate: self.prefill_rate,
            max_streams: self.streams_max,
            warmth: self.warmth,
            warm_up_time: Duration::from_millis(self.warm_ms),
            speed: self.speed,
            checks_fence: !self.ignore_fences,
            ..Model::default()
        };
        engine::Options {
            model,
            loaded: self.loaded.clone(),
            weights: self.weights,
            restart_after: self.restart_after_ms.map(Duration::from_millis),
            crash_marker: self.crash_marker.clone(),
            ..engine::Options::default()
        }
    }
}

fn parse_speed(text: &str) -> Result<f64, String> {
    let speed: f64 = text.parse().map_err(|_| "expected a number".to_owned())?;
    let is_positive = speed.is_finite() && speed > 0.0;
    is_positive.then_some(speed).ok_or_else(|| "expected a number above 0".into())
}

fn parse_weights(text: &str) -> Result<Weights, String> {
    let mut parts = text.splitn(3, '/');
    let mut next = || parts.next().filter(|part| !part.is_empty());
    let (Some(model), Some(version)) = (next(), next()) else {
        return Err("expected MODEL/VERSION or MODEL/VERSION/ADAPTER".into());
    };
    let adapter = next().map(id::Adapter::from);
    Ok(Weights { model: model.into(), version: version.into(), adapter })
}

/// A replica of a plain service.
#[derive(Debug, Args)]
pub(crate) struct Replica {
    /// Duration of a call, in milliseconds.
    #[arg(long, default_value_t = 1)]
    call_ms: u64,

    /// Maximum number of concurrent calls when warm.
    #[arg(long, default_value_t = 64)]
    calls_max: u32,
}

impl Replica {
    pub(crate) fn options(&self) -> service::Options {
        let time = Duration::from_millis(self.call_ms);
        service::Options {
            call_time: time,
            max_calls: self.calls_max,
            ..service::Options::default()
        }
    }
}

/// A whole platform.
#[derive(Debug, Args)]
pub(crate) struct Fleet {
    /// Number of engines; they are named engine-0, engine-1 and so on.
    #[arg(long, default_value_t = 3)]
    engines: usize,

    /// Number of replicas of the plain service.
    #[arg(long, default_value_t = 2)]
    replicas: usize,

    /// The name of the plain service.
    #[arg(long, default_value = "orders")]
    service: id::Service,

    /// Zones, to which targets are assigned round robin.
    #[arg(long, value_delimiter = ',', default_value = "a,b,c", num_args = 1..)]
    zones: Vec<id::Zone>,

    #[command(flatten)]
    engine: Engine,

    #[command(flatten)]
    replica: Replica,

    #[command(flatten)]
    weight_store: WeightStore,
}

impl Fleet {
    pub(crate) fn options(&self, listen: IpAddr) -> fleet::Options {
        fleet::Options {
            listen,
            zones: self.zones.clone(),
            engines: self.engines,
            engine: self.engine.options(),
            replicas: self.replicas,
            service: self.service.clone(),
            replica: self.replica.options(),
            weights: self.weight_store.limit(),
        }
    }
}
