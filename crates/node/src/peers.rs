//! The exchange with peers.

use crate::core::{Core, Stage};
use crate::table;
use hickory_state::member::Info;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use hickory_wire::link::{Handler, Links};
use hickory_wire::message::{Adoption, Document, Gossip, Outcome, Permit, PermitRequest, Refusal};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};
use tokio::sync::Mutex;

/// Held while a document is fetched: one fetch at a time for each.
#[derive(Debug, Default)]
pub(crate) struct Fetches {
    release: Mutex<()>,
    owners: Mutex<()>,
}

/// Answers peers on behalf of the node.
#[derive(Clone, Debug)]
pub(crate) struct Service(pub(crate) Weak<Core>);

fn refuse_closed() -> Refusal {
    Refusal {
        reason: hickory_policy::refuse::Reason::Draining.to_string(),
        retry_after: std::time::Duration::from_secs(1),
        is_not_owner: true,
    }
}

impl Handler for Service {
    fn exchange(&self, gossip: Gossip) -> Gossip {
        match self.0.upgrade() {
            Some(core) => {
                take_gossip(&core, &gossip);
                let answer = make_gossip(&core, &gossip.node);
                tokio::spawn(fetch_from_asker(core, gossip));
                answer
            }
            None => gossip,
        }
    }

    async fn permit(&self, ask: PermitRequest) -> Result<Permit, Refusal> {
        let core = self.0.upgrade().ok_or_else(refuse_closed)?;
        table::permit(&core, &ask).await
    }

    fn outcome(&self, outcome: Outcome) {
        if let Some(core) = self.0.upgrade() {
            table::end(&core, &outcome);
        }
    }

    fn adopt(&self, adopt: Adoption) -> Result<Permit, Refusal> {
        let core = self.0.upgrade().ok_or_else(refuse_closed)?;
        table::adopt(&core, &adopt)
    }

    fn configuration(&self) -> Option<Document> {
        let configuration = self.0.upgrade()?.configuration()?;
        let text = serde_json::to_string(&*configuration).ok()?;
        Some(Document { version: configuration.version.0, text })
    }

    fn owners(&self) -> Option<Document> {
        let (version, text) = self.0.upgrade()?.owners.document();
        Some(Document { version, text })
    }
}

/// What this node tells a peer.
fn make_gossip(core: &Core, peer: &id::Node) -> Gossip {
    let (seen, since) = core.view.versions(peer);
    let (version, targets) = core.table.states_since(since);
    Gossip {
        version,
        acknowledged_version: seen,
        targets,
        node: core.me().clone(),
        incarnation: core.incarnation,
        configuration_version: core.configuration().map_or(id::Release(0), |c| c.version),
        owners_revision: core.owners.revision(),
        is_draining: core.stage() != Stage::Serving,
        suspects: core.record.tell(core.now(), since == 0),
        connections: core.active.load(Ordering::Acquire) as u32,
    }
}

fn take_gossip(core: &Core, gossip: &Gossip) {
    core.view.merge(core.clock.now(), gossip);
    core.record.merge(core.now(), &gossip.suspects);
    core.owners.heard(&gossip.node, gossip.owners_revision);
}

/// Exchanges gossip with every peer, and fetches what a peer knows better: a
/// configuration or an ownership table may not reach this node otherwise
/// while the platform is down.
pub(crate) async fn gossip(core: Arc<Core>, links: Links) {
    let interval = core.time(core.settings.times.gossip_ms);
    loop {
        // Its own word goes the way of all others'.
        let own = make_gossip(&core, core.me());
        take_gossip(&core, &Gossip { acknowledged_version: own.version, ..own });
        core.view.note_nodes(core.now(), &core.member.nodes());
        for info in core.member.nodes().values() {
            // An exchange goes both ways, so one of the two begins it. A node
            // that can't renew its lease is off the others' lists, and they
            // begin none with it: it would miss every note, and stop to grant
            // on its targets as if it heard nobody. So it begins them all.
            if info.node > *core.me() || !core.member.confirmed(core.now()) {
                tokio::spawn(exchange(core.clone(), links.clone(), info.clone()));
            }
        }
        tokio::time::sleep(interval).await;
    }
}

async fn exchange(core: Arc<Core>, links: Links, info: Info) {
    let timeout = core.peer_timeout();
    let own = make_gossip(&core, &info.node);
    if let Ok(gossip) = links.exchange(info.peers, own, timeout).await {
        take_gossip(&core, &gossip);
        fetch_newer(&core, &links, &info, &gossip).await;
    }
}

/// The side that was asked looks as well: the asker may know better.
async fn fetch_from_asker(core: Arc<Core>, gossip: Gossip) {
    let info = core.member.nodes().get(&gossip.node).cloned();
    if let (Some(info), Some(links)) = (info, core.links.get()) {
        fetch_newer(&core, links, &info, &gossip).await;
    }
}

/// Fetches what a peer knows better.
///
/// All peers tell of a new document within one exchange. Were each asked for
/// it, they would fill the links with the same bytes, and a call that times out
/// closes its link, with all that waits there. So nobody is asked while another
/// one is, and who told meanwhile tells again with the next exchange.
async fn fetch_newer(core: &Core, links: &Links, info: &Info, gossip: &Gossip) {
    tokio::join!(fetch_release(core, links, info, gossip), fetch_owners(core, links, info, gossip));
}

async fn fetch_release(core: &Core, links: &Links, info: &Info, gossip: &Gossip) {
    let Ok(_fetch) = core.fetches.release.try_lock() else { return };
    let known = core.configuration().map_or(id::Release(0), |c| c.version);
    if gossip.configuration_version > known
        && let Ok(Some(document)) = links.fetch_configuration(info.peers, core.peer_timeout()).await
        && let Ok(configuration) = serde_json::from_str(&document.text)
    {
        core.keeper.offer(configuration);
    }
}

async fn fetch_owners(core: &Core, links: &Links, info: &Info, gossip: &Gossip) {
    let Ok(_fetch) = core.fetches.owners.try_lock() else { return };
    if gossip.owners_revision > core.owners.revision()
        && let Ok(Some(document)) = links.fetch_owners(info.peers, core.peer_timeout()).await
    {
        core.owners.offer(document.version, &document.text);
    }
}

/// Exchanges with all peers at once, and waits until each has answered or is
/// past the time that a peer may take.
pub(crate) async fn tell_all(core: &Arc<Core>) {
    let Some(links) = core.links.get() else { return };
    let nodes = core.member.nodes();
    let peers = nodes.values().filter(|info| info.node != *core.me());
    let exchanges = peers.map(|info| exchange(core.clone(), links.clone(), info.clone()));
    futures::future::join_all(exchanges).await;
}

/// Reads the host list again and again.
pub(crate) async fn follow_hosts(core: Arc<Core>) {
    let interval = core.time(core.settings.times.hosts_ms);
    loop {
        if let Ok(hosts) = hickory_store::host::List::hosts(&core.platform).await {
            let targets: Vec<id::Target> = hosts.iter().map(|host| host.target.clone()).collect();
            core.view.set_hosts(hosts);
            core.owners.set_targets(&targets);
        }
        tokio::time::sleep(interval).await;
    }
}
