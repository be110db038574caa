//! What a node is told when it starts.

use hickory_unit::id;
use std::net::SocketAddr;
use std::path::PathBuf;

/// All settings of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// The name of this node, unique in the fleet.
    pub node: id::Node,
    /// The availability zone it stands in.
    pub zone: id::Zone,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect, and where metrics are read.
    pub admin: SocketAddr,
    /// Where other nodes connect.
    pub peers: SocketAddr,
    /// The platform's services.
    pub platform: Platform,
    /// The key by which nodes prove themselves to each other, and which seals
    /// resume tokens: 32 bytes in hexadecimal.
    pub fleet_key: String,
    /// Digest of an operator token that is good before any configuration is
    /// there, to accept the first release note with.
    pub first_operator: Option<String>,
    /// Times, with their defaults.
    pub times: Times,
    /// Logs, with their defaults.
    pub logs: Logs,
}

/// Where the platform's services listen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Platform {
    /// The key-value service.
    pub store: SocketAddr,
    /// The host list.
    pub hosts: SocketAddr,
    /// The weight store.
    pub weights: SocketAddr,
}

/// What is logged, and where to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Logs {
    /// The least urgent level that is written.
    pub level: Level,
    /// The file that lines are appended to; standard output without one.
    pub file: Option<PathBuf>,
}

/// How urgent a log line is.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, derive_more::Display, derive_more::FromStr,
)]
#[display(rename_all = "lowercase")]
#[from_str(rename_all = "lowercase")]
pub enum Level {
    /// Nothing is written.
    Off,
    /// Something is broken.
    Error,
    /// Something failed and was dealt with.
    Warn,
    /// Changes of state.
    #[default]
    Info,
    /// Each request.
    Debug,
    /// Each step.
    Trace,
}

/// Times in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Times {
    /// Time to live of a node's lease in the key-value service.
    pub lease_ms: u64,
    /// Life of a permit, from the moment it is asked for.
    pub permit_ms: u64,
    /// Between two exchanges with a peer.
    pub gossip_ms: u64,
    /// Between two reads of a target's load report.
    pub report_ms: u64,
    /// Between two reads of the host list.
    pub hosts_ms: u64,
    /// How long callers may keep the answer to which address to use.
    pub entry_keep_ms: u64,
    /// How long a stream whose caller is gone is kept for a resume.
    pub resume_ms: u64,
    /// How long a stream may stand without progress.
    pub progress_ms: u64,
    /// How long a call to the platform may take.
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
