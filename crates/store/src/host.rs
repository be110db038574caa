//! The lagging list of live and leaving hosts.

use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;

/// What runs on a listed host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A replica of the named plain service.
    Service(id::Service),
}

/// Whether a listed host stays.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// In service.
    Live,
    /// About to go; it must get no new work.
    Leaving,
}

/// A host of a target, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The target that runs there.
    pub target: id::Target,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: id::Zone,
    /// What it is.
    pub kind: Kind,
    /// Whether it stays.
    pub standing: Standing,
}

/// The host list; what it says lags behind.
pub trait List: Clone + Send + Sync + 'static {
    /// All listed hosts of targets.
    fn hosts(&self) -> impl Future<Output = Result<Vec<Host>, super::store::Error>> + Send;
}
