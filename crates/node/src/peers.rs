//! The exchange with peers.

use crate::core::{Core, Stage};
use crate::seat;
use hickory_state::member::Info;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use hickory_wire::link::{Handler, Links};
use hickory_wire::message::{Adopt, Ask, Document, Gossip, Outcome, Permit, Refusal};
use std::sync::atomic::Ordering;
use std::sync::{Arc, Weak};

/// Answers peers on behalf of the node.
#[derive(Clone, Debug)]
pub(crate) struct Desk(pub(crate) Weak<Core>);

fn refuse_closed() -> Refusal {
    Refusal {
        reason: hickory_policy::refuse::Reason::Draining.to_string(),
        retry_after: std::time::Duration::from_secs(1),
        not_owner: true,
    }
}

impl Handler for Desk {
    fn exchange(&self, gossip: Gossip) -> Gossip {
        match self.0.upgrade() {
            Some(core) => {
                take_gossip(&core, &gossip);
                make_gossip(&core)
            }
            None => gossip,
        }
    }

    async fn permit(&self, ask: Ask) -> Result<Permit, Refusal> {
        let core = self.0.upgrade().ok_or_else(refuse_closed)?;
        seat::permit(&core, &ask).await
    }

    fn outcome(&self, outcome: Outcome) {
        if let Some(core) = self.0.upgrade() {
            seat::end(&core, &outcome);
        }
    }

    fn adopt(&self, adopt: Adopt) -> Result<Permit, Refusal> {
        let core = self.0.upgrade().ok_or_else(refuse_closed)?;
        seat::adopt(&core, &adopt)
    }

    fn release(&self) -> Option<Document> {
        let configuration = self.0.upgrade()?.configuration()?;
        let text = serde_json::to_string(&*configuration).ok()?;
        Some(Document { version: configuration.version.0, text })
    }

    fn owners(&self) -> Option<Document> {
        let (version, text) = self.0.upgrade()?.owners.document();
        Some(Document { version, text })
    }
}

/// What this node tells its peers.
fn make_gossip(core: &Core) -> Gossip {
    Gossip {
        node: core.me().clone(),
        incarnation: core.incarnation,
        release: core.configuration().map_or(id::Release(0), |c| c.version),
        owners: core.owners.revision(),
        draining: core.stage() != Stage::Serving,
        targets: core.seats.states(),
        suspects: Vec::new(),
        connections: core.active.load(Ordering::Acquire) as u32,
    }
}

fn take_gossip(core: &Core, gossip: &Gossip) {
    core.view.merge(core.clock.now(), gossip);
    core.owners.heard(&gossip.node, gossip.owners);
}

/// Exchanges gossip with every peer, and fetches what a peer knows better: a
/// configuration or an ownership table may not reach this node otherwise
/// while the platform is down.
pub(crate) async fn gossip(core: Arc<Core>, links: Links) {
    let interval = core.time(core.settings.times.gossip_ms);
    loop {
        let own = make_gossip(&core);
        core.view.merge(core.now(), &own);
        for info in core.member.nodes().values() {
            if info.node != *core.me() {
                tokio::spawn(exchange(core.clone(), links.clone(), info.clone(), own.clone()));
            }
        }
        tokio::time::sleep(interval).await;
    }
}

async fn exchange(core: Arc<Core>, links: Links, info: Info, own: Gossip) {
    let timeout = core.peer_timeout();
    let Ok(gossip) = links.exchange(info.peers, own, timeout).await else { return };
    take_gossip(&core, &gossip);
    let known = core.configuration().map_or(id::Release(0), |c| c.version);
    if gossip.release > known
        && let Ok(Some(document)) = links.release(info.peers, timeout).await
        && let Ok(configuration) = serde_json::from_str(&document.text)
    {
        core.keeper.offer(configuration);
    }
    if gossip.owners > core.owners.revision()
        && let Ok(Some(document)) = links.owners(info.peers, timeout).await
    {
        core.owners.offer(document.version, &document.text);
    }
}

/// Reads the host list again and again.
pub(crate) async fn follow_hosts(core: Arc<Core>) {
    let interval = core.time(core.settings.times.hosts_ms);
    loop {
        if let Ok(hosts) = hickory_platform::host::List::hosts(&core.platform).await {
            let targets: Vec<id::Target> = hosts.iter().map(|host| host.target.clone()).collect();
            core.view.set_hosts(hosts);
            core.owners.set_targets(&targets);
        }
        tokio::time::sleep(interval).await;
    }
}
