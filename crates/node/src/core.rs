//! The state that all modules of a node share.

use crate::peers::FetchLocks;
use crate::suspect::RetryControl;
use crate::table::Table;
use crate::view::View;
use hickory_release::configuration::Configuration;
use hickory_settings::Settings;
use hickory_state::claim::Ledger;
use hickory_state::config::Manager;
use hickory_state::member::{Info, Member};
use hickory_state::owner::{Owners, Probe};
use hickory_store::http::Platform;
use hickory_target::http::Targets;
use hickory_telemetry::metered::Metered;
use hickory_telemetry::metrics::Metrics;
use hickory_unit::clock::{Clock, System};
use hickory_unit::id;
use hickory_wire::link::Links;
use hickory_wire::proof::Key;
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};
use tokio::sync::watch;

/// Timeout for a new connection to a peer to prove that the peer is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Lifecycle stage of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Accepts requests and is named to callers by the entry point.
    Serving,
    /// Still accepts requests, but is no longer named to callers.
    Draining,
    /// Accepts no more requests.
    Closed,
    /// All connections of callers have ended.
    Ended,
}

/// Probes peers over the links; reports every peer as dead until the links are set.
#[derive(Clone, Debug)]
pub(crate) struct LinkProbe(pub(crate) Arc<OnceLock<Links>>);

impl Probe for LinkProbe {
    async fn is_alive(&self, node: &Info) -> bool {
        match self.0.get() {
            Some(links) => links.probe(node.peers, PROBE_TIMEOUT).await.is_ok(),
            None => false,
        }
    }
}

/// The platform client, with metrics for each call.
pub(crate) type MeteredPlatform = Metered<Platform, System>;

/// The state that all modules of a node share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) fleet_key: Key,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) clock: System,
    pub(crate) platform: MeteredPlatform,
    pub(crate) targets: Targets,
    pub(crate) links: Arc<OnceLock<Links>>,
    pub(crate) fetch_locks: FetchLocks,
    pub(crate) member: Member<MeteredPlatform, System>,
    pub(crate) configuration_manager: Manager<MeteredPlatform, System>,
    pub(crate) owners: Owners<MeteredPlatform, System, LinkProbe>,
    pub(crate) ledger: Ledger<MeteredPlatform, System>,
    pub(crate) view: View,
    pub(crate) table: Table,
    pub(crate) retry_control: RetryControl,
    pub(crate) metrics: Metrics,
    pub(crate) stage: watch::Sender<Stage>,
    pub(crate) active: AtomicUsize,
    /// Each request that is read or has no response yet holds a receiver.
    pub(crate) unanswered: watch::Sender<()>,
    /// Each connection of a caller holds a receiver.
    pub(crate) connections: watch::Sender<()>,
}

impl Core {
    pub(crate) fn node_id(&self) -> &id::Node {
        &self.settings.node
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.configuration_manager.current()
    }

    /// Returns whether a live peer has a newer configuration than this node.
    pub(crate) fn is_behind(&self) -> bool {
        let known = self.configuration().map(|configuration| configuration.version);
        self.view.newest_release(self.now()) > known
    }

    pub(crate) fn duration_ms(&self, millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    /// Returns the lifetime of a permit, counted from the time of the ask.
    pub(crate) fn permit_lifetime(&self) -> Duration {
        self.duration_ms(self.settings.times.permit_ms)
    }

    /// Returns the timeout of a call to a peer.
    pub(crate) fn peer_timeout(&self) -> Duration {
        self.permit_lifetime()
    }
}

/// Counts a request as active until it is dropped.
#[derive(Debug)]
pub(crate) struct Active(Arc<Core>);

impl Active {
    pub(crate) fn begin(core: &Arc<Core>) -> Self {
        core.active.fetch_add(1, std::sync::atomic::Ordering::AcqRel);
        Self(core.clone())
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.0.active.fetch_sub(1, std::sync::atomic::Ordering::AcqRel);
    }
}
