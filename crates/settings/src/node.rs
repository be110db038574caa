//! The types of the settings.

use hickory_unit::id;
use std::net::SocketAddr;
use std::path::PathBuf;

/// All settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of the node, unique in the fleet.
    pub node: id::Node,
    /// The availability zone of the node.
    pub zone: id::Zone,
    /// The address at which callers connect.
    pub callers: SocketAddr,
    /// The address at which operators connect and metrics are scraped.
    pub admin: SocketAddr,
    /// The address at which other nodes connect.
    pub peers: SocketAddr,
    /// The addresses of the platform's services.
    pub platform: Platform,
    /// The key with which nodes authenticate each other and resume tokens: 32 bytes in hexadecimal.
    pub fleet_key: String,
    /// Digest of an operator token that is valid until there is a configuration, so that an
    /// operator can send the first release note.
    pub first_operator: Option<String>,
    /// Timeouts and intervals.
    pub times: Times,
    /// Logging.
    pub logs: Logs,
}

/// The addresses of the platform's services.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The key-value service.
    pub store: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// The logging settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Logs {
    /// The log level.
    pub level: Level,
    /// The file to which log lines are appended; standard output if not set.
    pub file: Option<PathBuf>,
}

/// A log level.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display, derive_more::FromStr,
)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Level {
    /// No log lines.
    Off,
    /// Faults that need attention.
    Error,
    /// Failures that were handled.
    Warn,
    /// State changes.
    #[default]
    Info,
    /// Every request.
    Debug,
    /// Every step of a request.
    Trace,
}

/// Timeouts and intervals in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time to live of a node's lease in the key-value service.
    pub lease_ms: u64,
    /// Lifetime of a permit, counted from sending the request for it.
    pub permit_ms: u64,
    /// Interval of the gossip exchange with each peer.
    pub gossip_ms: u64,
    /// Poll interval of a target's load report.
    pub report_ms: u64,
    /// Poll interval of the host list.
    pub hosts_ms: u64,
    /// Time for which callers may cache the entry address that they received.
    pub entry_keep_ms: u64,
    /// Time for which a stream is kept for a resume after its caller disconnected.
    pub resume_ms: u64,
    /// Timeout for a stream that makes no progress.
    pub progress_ms: u64,
    /// Timeout for a call to the platform.
    pub platform_ms: u64,
}

impl Default for Times {
    fn default() -> Self {
        Self {
            lease_ms: 5_000,
            permit_ms: 1_000,
            gossip_ms: 500,
            report_ms: 250,
            hosts_ms: 500,
            entry_keep_ms: 2_000,
            resume_ms: 2_000,
            progress_ms: 3_000,
            platform_ms: 1_000,
        }
    }
}
