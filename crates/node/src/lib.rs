//! The hickoryrun node as a library.
//!
//! A node takes callers, asks the owners of targets for leave to send, relays
//! answers, and owns some of the targets itself. The modules stand in the
//! order in which a request goes through them.
//!
//! ```no_run
//! # async fn run(settings: hickory_settings::Settings) -> std::io::Result<()> {
//! let node = hickory_node::Node::spawn(settings).await?;
//! println!("callers connect to {}", node.callers());
//! node.drain();
//! node.closed().await;
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
mod seal;
mod serve;
mod suspect;
mod sweep;
mod table;
mod view;

use crate::core::{Core, LinkProbe, Stage};
use hickory_release::note::Note;
use hickory_settings::Settings;
use hickory_state::claim::{self, Ledger};
use hickory_state::config::{Keeper, Rejection};
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

/// How long a short call to a target may take.
const TARGET_TIMEOUT: Duration = Duration::from_secs(1);

/// A running node.
#[derive(Clone, Debug)]
pub struct Node {
    core: Arc<Core>,
    /// Serves operators until the last clone of the node is dropped.
    admin: Arc<hickory_admin::server::Handle<admin::Service>>,
}

impl Node {
    /// Binds the addresses of the settings (port 0 takes a free one) and
    /// starts the node on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// An address that can't be bound, or a fleet key that is malformed.
    pub async fn spawn(mut settings: Settings) -> io::Result<Self> {
        let key = settings.fleet_key.parse().map_err(invalid)?;
        let callers = TcpListener::bind(settings.callers)?;
        callers.set_nonblocking(true)?;
        let peers = TcpListener::bind(settings.peers)?;
        settings.callers = callers.local_addr()?;
        settings.peers = peers.local_addr()?;
        let core = Arc::new(open_core(settings, key)?);
        let service =
            admin::Service { core: core.clone(), runtime: tokio::runtime::Handle::current() };
        let admin = hickory_admin::Server::spawn(core.settings.admin, Arc::new(service))?;
        let links = Links::spawn(peers, core.key.clone(), peers::Service(Arc::downgrade(&core)))?;
        let _ = core.links.set(links.clone());
        tokio::spawn(peers::follow_hosts(core.clone()));
        tokio::spawn(peers::gossip(core.clone(), links));
        tokio::spawn(drive::follow_owned(core.clone()));
        tokio::spawn(drive::poll_queues(core.clone()));
        tokio::spawn(drain::follow(core.clone()));
        let listener = tokio::net::TcpListener::from_std(callers)?;
        tokio::spawn(serve::serve(core.clone(), listener));
        Ok(Self { core, admin: Arc::new(admin) })
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.core.settings.callers
    }

    /// Where operators connect.
    pub fn admin(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Where other nodes connect.
    pub fn peers(&self) -> SocketAddr {
        self.core.settings.peers
    }

    /// Accepts a release note: writes the configuration that it makes of the
    /// present one, whole or not at all.
    ///
    /// # Errors
    ///
    /// Why the note is not accepted, or that it is not known whether it is.
    pub async fn accept(&self, note: &Note) -> Result<id::Release, Rejection> {
        self.core.keeper.accept(note).await.map(|configuration| configuration.version)
    }

    /// Targets that take new work, as far as this node knows.
    pub fn accepting(&self) -> usize {
        let hosts = self.core.view.hosts();
        let states = hosts.keys().filter_map(|target| self.core.view.state(target));
        states.filter(|state| state.is_accepting).count()
    }

    /// Begins a planned stop; [`Node::closed`] tells when it is done.
    pub fn drain(&self) {
        drain::begin(&self.core);
    }

    /// Waits until the node takes nothing more and its last request has ended.
    pub async fn closed(&self) {
        let mut stage = self.core.stage.subscribe();
        let _ = stage.wait_for(|stage| *stage == Stage::Closed).await;
    }
}

fn invalid(error: impl std::error::Error + Send + Sync + 'static) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidInput, error)
}

fn open_core(settings: Settings, key: hickory_wire::proof::Key) -> io::Result<Core> {
    let clock = System;
    let times = settings.times;
    let address = Address {
        store: settings.platform.store,
        hosts: settings.platform.hosts,
        weights: settings.platform.weights,
    };
    let metrics = Metrics::open().map_err(invalid)?;
    let platform = Platform::open(address, Duration::from_millis(times.platform_ms));
    let platform = Metered::open(platform, clock, metrics.clone());
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
    let me = settings.node.clone();
    Ok(Core {
        key,
        incarnation,
        clock,
        targets: Targets::open(TARGET_TIMEOUT),
        links,
        fetches: peers::Fetches::default(),
        keeper: Keeper::spawn(platform.clone(), clock),
        ledger: Ledger::open(platform.clone(), clock, me, claim::Options::default()),
        member,
        owners,
        platform,
        view: view::View::open(settings.zone.clone()),
        table: table::Table::default(),
        record: suspect::Record::default(),
        metrics,
        stage: watch::channel(Stage::Serving).0,
        active: AtomicUsize::new(0),
        settings,
    })
}
