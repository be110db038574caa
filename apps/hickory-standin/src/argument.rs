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

/// Small stand-ins for the platform and the targets, with faults on request.
///
/// Prints one line of JSON with its addresses when it is ready, and exits
/// with status 0 on SIGTERM.
///
/// Faults are switched on by a POST of JSON to /fault/NAME at the control
/// address, where NAME is one of those in that line; this also reaches a
/// stand-in that is dead or frozen. Every stand-in knows "kill", "restart",
/// {"down_for_ms":N}, "freeze", "thaw", {"slow_ms":N}, "cut" (open
/// connections break), "silence" (open connections say nothing for good, new
/// ones work), {"lose":{"loss":"call|answer|silence","path":"/kv/write",
/// "count":N}} and "clear". Engines also know "turn_cold",
/// {"lag_ms":N}, {"stall":{"after":N}} and {"crash_marker":"TEXT"}, services "turn_cold",
/// the store {"stale":true}, "compact" and
/// {"rate":{"reads":2000,"writes":300}}, the host list {"lag_ms":N},
/// {"stand":{"target":"engine-0","standing":"leaving"}} and
/// {"unlist":"engine-0"}.
#[derive(Debug, Parser)]
#[command(name = "hickory-standin", version)]
pub(crate) struct Arguments {
    /// Where to listen; port 0 takes a free one. A fleet uses only the host
    /// part and takes free ports.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    pub(crate) listen: SocketAddr,

    /// Where the switchboard of faults listens.
    #[arg(long, global = true, default_value = "127.0.0.1:0")]
    pub(crate) control: SocketAddr,

    /// What to stand in for.
    #[command(subcommand)]
    pub(crate) kind: Kind,
}

/// What to stand in for.
#[derive(Debug, Subcommand)]
pub(crate) enum Kind {
    /// The key-value service; what it holds goes with the process.
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
    /// A JSON file with an array of hosts; empty without one.
    #[arg(long)]
    hosts: Option<PathBuf>,
}

impl HostList {
    pub(crate) fn read(&self) -> eyre::Result<Vec<Host>> {
        let Some(path) = &self.hosts else { return Ok(Vec::new()) };
        let text = std::fs::read_to_string(path)
            .wrap_err_with(|| format!("can't read {}", path.display()))?;
        serde_json::from_str(&text).wrap_err_with(|| format!("{} is no host list", path.display()))
    }
}

/// The weight store.
#[derive(Debug, Args)]
pub(crate) struct WeightStore {
    /// Loads that may run at once.
    #[arg(long, default_value_t = 2)]
    loads: u32,

    /// Bytes a second over all loads.
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
    /// Weights held at the start, as MODEL/VERSION or MODEL/VERSION/ADAPTER;
    /// may be given more than once.
    #[arg(long, value_parser = parse_weights)]
    loaded: Vec<Weights>,

    /// Where weights are read from; without one they are there at once.
    #[arg(long)]
    weights: Option<SocketAddr>,

    /// KV memory in tokens.
    #[arg(long, default_value_t = Model::default().kv_capacity.0)]
    kv_capacity: u64,

    /// Prompt tokens prefilled a second.
    #[arg(long, default_value_t = Model::default().prefill_rate)]
    prefill_rate: u64,

    /// Streams decoded at once.
    #[arg(long, default_value_t = Model::default().streams_max)]
    streams_max: u32,

    /// How warm it is at its first start, from 0 to 100; 0 after a restart.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u8).range(0..=100))]
    warmth: u8,

    /// Time from cold to warm under work, in milliseconds.
    #[arg(long, default_value_t = Model::default().warm_time.as_millis() as u64)]
    warm_ms: u64,

    /// How many times faster than the modelled engine it runs.
    #[arg(long, default_value_t = 1.0, value_parser = parse_speed)]
    speed: f64,

    /// Takes orders with old fencing numbers.
    #[arg(long)]
    ignore_fences: bool,

    /// Starts again so long after a crash, in milliseconds; stays dead
    /// without.
    #[arg(long)]
    restart_after_ms: Option<u64>,

    /// Crashes when it runs a prompt that contains this.
    #[arg(long)]
    crash_marker: Option<String>,
}

impl Engine {
    pub(crate) fn options(&self) -> engine::Options {
        let model = Model {
            kv_capacity: size::Tokens(self.kv_capacity),
            prefill_rate: self.prefill_rate,
            streams_max: self.streams_max,
            warmth: self.warmth,
            warm_time: Duration::from_millis(self.warm_ms),
            speed: self.speed,
            fencing: !self.ignore_fences,
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
    let usable = speed.is_finite() && speed > 0.0;
    usable.then_some(speed).ok_or_else(|| "expected a number above 0".into())
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
    /// Time that a call takes, in milliseconds.
    #[arg(long, default_value_t = 1)]
    call_ms: u64,

    /// Calls that it bears at once when warm.
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
    /// Engines: engine-0, engine-1 and so on.
    #[arg(long, default_value_t = 3)]
    engines: usize,

    /// Replicas of the plain service.
    #[arg(long, default_value_t = 2)]
    replicas: usize,

    /// The name of the plain service.
    #[arg(long, default_value = "orders")]
    service: id::Service,

    /// Zones, over which the targets are spread in turn.
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
