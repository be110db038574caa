//! The list of live and leaving hosts, which lags behind their actual state.

use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;

/// The kind of target that runs on a listed host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine.
    Engine,
    /// A replica of the named plain service.
    Service(id::Service),
}

/// Whether a listed host is about to be removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Standing {
    /// In service.
    Live,
    /// About to be removed; it must get no new work.
    Leaving,
}

/// A host of a target, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The target that runs on the host.
    pub target: id::Target,
    /// The address at which the target listens.
    pub address: SocketAddr,
    /// The availability zone of the host.
    pub zone: id::Zone,
    /// The kind of the target.
    pub kind: Kind,
    /// Whether the host is about to be removed.
    pub standing: Standing,
}

/// The host list, which lags behind the actual state.
pub trait List: Clone + Send + Sync + 'static {
    /// Returns all listed hosts of targets.
    fn hosts(&self) -> impl Future<Output = Result<Vec<Host>, super::store::Error>> + Send;
}
