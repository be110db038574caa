//! The hickoryrun node as a library.
//!
//! A node accepts requests from callers, asks the owners of targets for permits, relays
//! answers, and owns some of the targets itself. Each target has one owner, which limits the
//! work on it; the node that accepted a request sends it to the target directly.
//!
//! ```no_run
//! # async fn run(settings: hickory_settings::Settings) -> std::io::Result<()> {
//! let node = hickory_node::Node::spawn(settings).await?;
//! println!("callers connect to {}", node.caller_address());
//! node.drain();
//! node.wait_closed().await;
//! # Ok(())
//! # }
//! ```

mod admin;
mod call;
mod complete;
mod core;
mod drain;
mod drive;
mod entry;
mod event_id;
mod granted;
mod orders;
mod owned;
mod parse;
mod parts;
mod peers;
mod permit;
mod record;
mod relay;
mod reply;
mod resume;
mod serve;
mod suspect;
mod sweep;
mod table;
mod view;

use crate::core::{Core, LinkProbe, Stage};
use hickory_release::note::Note;
use hickory_settings::Settings;
use hickory_state::claim::{self, Ledger};
use hickory_state::config::{Manager, Rejection};
use hickory_state::member::{Info, Member};
use hickory_state::owner::Owners;
use hickory_store::http::{Address, Platform};
use hickory_target::http::Targets;
use hickory_telemetry::metered::Metered;
use hickory_telemetry::metrics::Metrics;
use hickory_unit::clock::{Clock, System};
use hickory_unit::id;
use hickory_wire::link::Links;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::AtomicUsize;
use std::sync::{Arc, OnceLock};
use std::time::Duration;
use tokio::sync::watch;

/// Timeout of short calls to a target, such as reports, cancels and orders.
const SHORT_CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// A running node.
#[derive(Clone, Debug)]
pub struct Node {
    core: Arc<Core>,
    /// Serves the administration interface until the last clone of the node is dropped.
    admin: Arc<hickory_admin::server::Handle<admin::Service>>,
}

impl Node {
    /// Binds the addresses of the settings (port 0 selects a free port) and starts the node on
    /// the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// An address that can't be bound, or a malformed fleet key.
    pub async fn spawn(mut settings: Settings) -> io::Result<Self> {
        let fleet_key = settings.fleet_key.parse().map_err(invalid)?;
        let callers = TcpListener::bind(settings.callers)?;
        callers.set_nonblocking(true)?;
        let peers = TcpListener::bind(settings.peers)?;
        settings.callers = callers.local_addr()?;
        settings.peers = peers.local_addr()?;
        let core = Arc::new(open_core(settings, fleet_key)?);
        let service =
            admin::Service { core: core.clone(), runtime: tokio::runtime::Handle::current() };
        let admin = hickory_admin::Server::spawn(core.settings.admin, Arc::new(service))?;
        let links =
            Links::spawn(peers, core.fleet_key.clone(), peers::Service(Arc::downgrade(&core)))?;
        let _ = core.links.set(links.clone());
        tokio::spawn(peers::poll_hosts(core.clone()));
        tokio::spawn(peers::gossip(core.clone(), links));
        tokio::spawn(drive::run_owned_targets(core.clone()));
        tokio::spawn(drive::poll_queues(core.clone()));
        tokio::spawn(drain::run(core.clone()));
        let listener = tokio::net::TcpListener::from_std(callers)?;
        tokio::spawn(serve::serve(core.clone(), listener));
        Ok(Self { core, admin: Arc::new(admin) })
    }

    /// Returns the address on which callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.core.settings.callers
    }

    /// Returns the address of the administration interface.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Returns the address on which other nodes connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.core.settings.peers
    }

    /// Applies a release note to the current configuration and stores the result atomically.
    ///
    /// # Errors
    ///
    /// Returns why the note was rejected, or that its outcome is unknown.
    pub async fn accept(&self, note: &Note) -> Result<id::Release, Rejection> {
        self.core
            .configuration_manager
            .accept(note)
            .await
            .map(|configuration| configuration.version)
    }

    /// Returns the number of targets that accept new work, by this node's view.
    pub fn count_accepting_targets(&self) -> usize {
        let hosts = self.core.view.hosts();
        let states = hosts.keys().filter_map(|target| self.core.view.state(target));
        states.filter(|state| state.is_accepting).count()
    }

    /// Begins a planned stop; [`Node::wait_closed`] waits for its end.
    pub fn drain(&self) {
        drain::begin(&self.core);
    }

    /// Waits until the node is closed: it accepts no more requests, and callers have received the
    /// answers to all others.
    pub async fn wait_closed(&self) {
        let mut stage = self.core.stage.subscribe();
        let _ = stage.wait_for(|stage| *stage == Stage::Ended).await;
    }
}

fn invalid(error: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, error)
}

fn open_core(settings: Settings, fleet_key: hickory_wire::proof::Key) -> io::Result<Core> {
    let clock = System;
    let times = settings.times;
    let address = Address {
        store: settings.platform.store,
        hosts: settings.platform.hosts,
        weights: settings.platform.weights,
    };
    let metrics = Metrics::new().map_err(invalid)?;
    let platform = Platform::open(address, Duration::from_millis(times.platform_ms));
    let platform = Metered::new(platform, clock, metrics.clone());
    let incarnation = id::Incarnation(clock.wall_ms());
    let info = Info {
        node: settings.node.clone(),
        zone: settings.zone.clone(),
        callers: settings.callers,
        peers: settings.peers,
        admin: settings.admin,
        incarnation,
        draining: false,
    };
    let lease = Duration::from_millis(times.lease_ms);
    let permit = Duration::from_millis(times.permit_ms);
    let links = Arc::new(OnceLock::new());
    let member = Member::spawn(platform.clone(), clock, info, lease);
    let probe = LinkProbe(links.clone());
    let owners = Owners::spawn(platform.clone(), clock, member.clone(), probe, permit);
    let node_id = settings.node.clone();
    Ok(Core {
        fleet_key,
        incarnation,
        clock,
        targets: Targets::open(SHORT_CALL_TIMEOUT),
        links,
        fetch_locks: peers::FetchLocks::default(),
        configuration_manager: Manager::spawn(platform.clone(), clock),
        ledger: Ledger::new(platform.clone(), clock, node_id, claim::Options::default()),
        member,
        owners,
        platform,
        view: view::View::open(settings.zone.clone()),
        table: table::Table::default(),
        retry_control: suspect::RetryControl::default(),
        metrics,
        stage: watch::channel(Stage::Serving).0,
        active: AtomicUsize::new(0),
        unanswered: watch::channel(()).0,
        connections: watch::channel(()).0,
        settings,
    })
}
