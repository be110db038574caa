//! What the parts of a node share.

use crate::peers::Fetches;
use crate::suspect::Record;
use crate::table::Table;
use crate::view::View;
use hickory_release::configuration::Configuration;
use hickory_settings::Settings;
use hickory_state::claim::Ledger;
use hickory_state::config::Keeper;
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

/// How long a new connection to a peer may take to prove that it is alive.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Where a node stands in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Serves, and is named to callers.
    Serving,
    /// Serves who still comes, but is not named any more.
    Draining,
    /// Takes nothing more.
    Closed,
}

/// Probes peers over the links, once these are there.
#[derive(Clone, Debug)]
pub(crate) struct LinkProbe(pub(crate) Arc<OnceLock<Links>>);

impl Probe for LinkProbe {
    async fn alive(&self, node: &Info) -> bool {
        match self.0.get() {
            Some(links) => links.probe(node.peers, PROBE_TIMEOUT).await.is_ok(),
            None => false,
        }
    }
}

/// The platform, with a count of each call.
pub(crate) type Port = Metered<Platform, System>;

/// What the parts of a node share.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) settings: Settings,
    pub(crate) key: Key,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) clock: System,
    pub(crate) platform: Port,
    pub(crate) targets: Targets,
    pub(crate) links: Arc<OnceLock<Links>>,
    pub(crate) fetches: Fetches,
    pub(crate) member: Member<Port, System>,
    pub(crate) keeper: Keeper<Port, System>,
    pub(crate) owners: Owners<Port, System, LinkProbe>,
    pub(crate) ledger: Ledger<Port, System>,
    pub(crate) view: View,
    pub(crate) table: Table,
    pub(crate) record: Record,
    pub(crate) metrics: Metrics,
    pub(crate) stage: watch::Sender<Stage>,
    pub(crate) active: AtomicUsize,
}

impl Core {
    pub(crate) fn me(&self) -> &id::Node {
        &self.settings.node
    }

    pub(crate) fn now(&self) -> Instant {
        self.clock.now()
    }

    pub(crate) fn stage(&self) -> Stage {
        *self.stage.borrow()
    }

    pub(crate) fn configuration(&self) -> Option<Arc<Configuration>> {
        self.keeper.current()
    }

    /// Whether a living peer has a newer configuration than this node.
    pub(crate) fn is_behind(&self) -> bool {
        let known = self.configuration().map(|configuration| configuration.version);
        self.view.newest_release(self.now()) > known
    }

    pub(crate) fn time(&self, millis: u64) -> Duration {
        Duration::from_millis(millis)
    }

    /// Life of a permit, from the moment it is asked for.
    pub(crate) fn permit_life(&self) -> Duration {
        self.time(self.settings.times.permit_ms)
    }

    /// How long a call to a peer may take.
    pub(crate) fn peer_timeout(&self) -> Duration {
        self.permit_life()
    }
}

/// Counts a request as active while it lives.
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
