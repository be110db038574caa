//! Gossip with peers: target states, suspects, and the versions of the configuration and the
//! ownership table.

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

/// Locks that limit each document to one fetch at a time.
#[derive(Debug, Default)]
pub(crate) struct FetchLocks {
    release: Mutex<()>,
    owners: Mutex<()>,
}

/// Handles requests from peers.
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
                apply_gossip(&core, &gossip);
                let answer = make_gossip(&core, &gossip.node);
                tokio::spawn(fetch_from_requester(core, gossip));
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
            table::apply_outcome(&core, &outcome);
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

/// Returns the gossip for a peer.
fn make_gossip(core: &Core, peer: &id::Node) -> Gossip {
    let (seen, acknowledged) = core.view.versions(peer);
    let since = core.table.acknowledged_version(acknowledged);
    let (version, targets) = core.table.states_since(since);
    Gossip {
        version,
        acknowledged_version: seen,
        targets,
        node: core.node_id().clone(),
        incarnation: core.incarnation,
        configuration_version: core.configuration().map_or(id::Release(0), |c| c.version),
        owners_revision: core.owners.revision(),
        is_draining: core.stage() != Stage::Serving,
        suspects: core.retry_control.suspects_for_peer(core.now(), since == 0),
        active_requests: core.active.load(Ordering::Acquire) as u32,
    }
}

fn apply_gossip(core: &Core, gossip: &Gossip) {
    core.view.merge(core.clock.now(), gossip);
    core.retry_control.merge(core.now(), &gossip.suspects);
    core.owners.record_peer_revision(&gossip.node, gossip.owners_revision);
}

/// Exchanges gossip with every peer and fetches newer documents from them: while the platform
/// is unavailable, a configuration or an ownership table may reach this node in no other way.
pub(crate) async fn gossip(core: Arc<Core>, links: Links) {
    let interval = core.duration_ms(core.settings.times.gossip_ms);
    loop {
        // This node's own state enters its view in the same way as a peer's.
        let own = make_gossip(&core, core.node_id());
        apply_gossip(&core, &Gossip { acknowledged_version: own.version, ..own });
        core.view.note_nodes(core.now(), &core.member.nodes());
        for info in core.member.nodes().values() {
            // An exchange informs both sides, so the node with the lower id starts it. A node
            // that can't renew its lease is missing from the others' lists, so they start no
            // exchange with it. It would miss every release and stop granting permits as if it
            // had lost all peers, so it starts all exchanges itself.
            if info.node > *core.node_id() || !core.member.is_lease_valid(core.now()) {
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
        apply_gossip(&core, &gossip);
        fetch_newer(&core, &links, &info, &gossip).await;
    }
}

/// Fetches documents after an exchange that the peer started, since the peer may have newer
/// ones.
async fn fetch_from_requester(core: Arc<Core>, gossip: Gossip) {
    let info = core.member.nodes().get(&gossip.node).cloned();
    if let (Some(info), Some(links)) = (info, core.links.get()) {
        fetch_newer(&core, links, &info, &gossip).await;
    }
}

/// Fetches the documents that a peer has in a newer version.
///
/// All peers announce a new document within one exchange. If each were asked for it, they would
/// fill the links with the same bytes, and a call that times out closes its link with all other
/// calls on it. So only one fetch of each document runs at a time; peers that announce it
/// meanwhile do so again in their next exchange.
async fn fetch_newer(core: &Core, links: &Links, info: &Info, gossip: &Gossip) {
    tokio::join!(fetch_release(core, links, info, gossip), fetch_owners(core, links, info, gossip));
}

async fn fetch_release(core: &Core, links: &Links, info: &Info, gossip: &Gossip) {
    let Ok(_fetch) = core.fetch_locks.release.try_lock() else { return };
    let known = core.configuration().map_or(id::Release(0), |c| c.version);
    if gossip.configuration_version > known
        && let Ok(Some(document)) = links.fetch_configuration(info.peers, core.peer_timeout()).await
        && let Ok(configuration) = serde_json::from_str(&document.text)
    {
        core.configuration_manager.apply_if_newer(configuration);
    }
}

async fn fetch_owners(core: &Core, links: &Links, info: &Info, gossip: &Gossip) {
    let Ok(_fetch) = core.fetch_locks.owners.try_lock() else { return };
    if gossip.owners_revision > core.owners.revision()
        && let Ok(Some(document)) = links.fetch_owners(info.peers, core.peer_timeout()).await
    {
        core.owners.apply_if_newer(document.version, &document.text);
    }
}

/// Exchanges gossip with all peers concurrently, and waits until each has answered or timed
/// out.
pub(crate) async fn gossip_with_all_peers(core: &Arc<Core>) {
    let Some(links) = core.links.get() else { return };
    let nodes = core.member.nodes();
    let peers = nodes.values().filter(|info| info.node != *core.node_id());
    let exchanges = peers.map(|info| exchange(core.clone(), links.clone(), info.clone()));
    futures::future::join_all(exchanges).await;
}

/// Polls the platform's host list.
pub(crate) async fn poll_hosts(core: Arc<Core>) {
    let interval = core.duration_ms(core.settings.times.hosts_ms);
    loop {
        if let Ok(hosts) = hickory_store::host::List::hosts(&core.platform).await {
            let targets: Vec<id::Target> = hosts.iter().map(|host| host.target.clone()).collect();
            core.view.set_hosts(hosts);
            core.owners.set_targets(&targets);
        }
        tokio::time::sleep(interval).await;
    }
}
