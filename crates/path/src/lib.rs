//! The request path of an entry host.
//!
//! A request is decoded by a [`dialect::Dialect`] into the product's own terms
//! ([`request`]), matched to a route and an account ([`config`]), placed on targets by the
//! owner of their group ([`ask`], [`group`], [`owner`], [`placement`]) based on the running
//! requests ([`ledger`]), sent ([`attempt`]) over this node's links or through a peer ([`links`],
//! [`relay`]), and relayed ([`serve`], [`stream`]). A node's
//! knowledge comes from the store ([`store_watch`]) and from its peers ([`gossip`],
//! [`fetch`], [`sync_server`], large values in chunks by [`chunk`]). It is merged by
//! revision ([`items`]) and decoded into one [`view`].

mod ask;
pub mod attempt;
pub mod body;
mod capacity;
pub mod chunk;
pub mod config;
pub mod core;
mod crash_event;
mod datagram;
mod death;
mod decision;
pub mod dialect;
mod directory;
mod doubt;
mod drain;
pub mod event;
mod failure;
mod fetch;
mod fleet;
mod gossip;
pub mod group;
mod health;
mod holding;
mod intake;
pub mod items;
pub mod lag;
mod leave;
pub mod ledger;
mod links;
pub mod outage;
mod owner;
mod part;
mod peer_state;
mod place;
pub mod placement;
mod rate_limit;
mod record;
mod refusal;
mod relay;
pub mod reply;
pub mod request;
mod reservation;
mod run;
mod schedule;
mod serve;
pub mod settings;
mod silence;
mod statement;
mod store_watch;
mod stream;
mod supervisor;
mod sync_server;
mod traffic;
mod trial;
mod update;
pub mod view;
pub mod watcher;

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use hickory_store::store::Store;
use hickory_telemetry::metrics::Metrics;
use hickory_unit::clock::Clock;
pub use intake::Sockets;
use settings::Settings;
use std::io;
use std::sync::Arc;

/// A running node.
#[derive(Debug)]
pub struct Node<D: Dialect, S: Store, C: Clock> {
    core: Arc<Core<D, S, C>>,
}

impl<D: Dialect, S: Store, C: Clock> Node<D, S, C> {
    /// Binds the addresses in the settings and starts the node on the current Tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if an address can't be bound or the metrics can't be opened.
    pub async fn spawn(settings: Settings, store: S, clock: C) -> io::Result<Self> {
        let sockets = Sockets::bind(&settings).await?;
        Self::serve(settings, sockets, store, clock)
    }

    /// Starts the node on sockets that are already bound, on the current Tokio runtime.
    ///
    /// # Errors
    ///
    /// Returns an error if the metrics can't be opened.
    pub fn serve(settings: Settings, sockets: Sockets, store: S, clock: C) -> io::Result<Self> {
        let metrics = Metrics::new().map_err(io::Error::other)?;
        let target_links = sockets.target_links.clone();
        let core = Arc::new(Core::open(settings, target_links, store, clock, metrics));
        store_watch::spawn(&core);
        fetch::spawn(&core);
        gossip::spawn(&core, sockets.peers.clone());
        intake::spawn(&core, sockets);
        traffic::spawn(&core);
        supervisor::spawn(&core, "link probes", links::probe(core.clone()));
        supervisor::spawn(&core, "health checks", health::run(core.clone()));
        Ok(Self { core })
    }

    /// Applies changed settings while the node runs. Addresses don't change.
    pub fn reload(&self, settings: Settings) {
        self.core.set_bounds(settings.bounds);
    }

    /// Begins a planned stop; [`Node::closed`] waits for its end.
    pub fn drain(&self) {
        drain::begin(&self.core);
    }

    /// Waits until one of the node's long-lived tasks has panicked, and returns its name. The node
    /// then can't do its work any more, and its process has to end.
    pub async fn failed(&self) -> &'static str {
        let mut failed_task = self.core.failed_task.subscribe();
        let failed = failed_task.wait_for(Option::is_some).await.ok().and_then(|name| *name);
        match failed {
            Some(name) => name,
            // The sender lives as long as the node.
            None => std::future::pending().await,
        }
    }

    /// Waits until the node accepts no more requests and its last request has ended.
    pub async fn closed(&self) {
        self.core.wait_for_stage(Stage::Closed).await;
    }
}
