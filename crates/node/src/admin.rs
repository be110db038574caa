//! The node's side of the administration interface.

use crate::core::{Core, Stage};
use hickory_admin::control::{Accepted, Control, Failure};
use hickory_admin::view;
use hickory_release::configuration::{Configuration, digest_token};
use hickory_release::note::Note;
use hickory_state::config::Rejection;
use hickory_store::host::{Kind, Standing};
use hickory_unit::{id, size};
use hickory_wire::message::{TargetState, Weights};
use std::sync::Arc;
use std::time::Duration;
use tokio::runtime::Handle;

/// A peer that has been silent for this long is shown as unreachable.
const MAX_PEER_SILENCE: Duration = Duration::from_secs(2);

/// Handles administration requests. Its calls block, and run on the threads of the
/// administration server.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) core: Arc<Core>,
    pub(crate) runtime: Handle,
}

impl Service {
    /// Returns the version that an operation created, if this node knows it.
    fn find_known(&self, operation: &str) -> Option<id::Release> {
        self.core.configuration()?.find_operation(operation)
    }
}

impl Control for Service {
    fn is_operator(&self, token: &str) -> bool {
        match self.core.configuration().filter(|c| !c.operators.is_empty()) {
            Some(configuration) => configuration.is_operator(token),
            // Before the first release note, only the operator token in the settings is valid.
            None => self.core.settings.first_operator.as_ref().is_some_and(|digest| {
                let given = digest_token(token);
                bool::from(subtle::ConstantTimeEq::ct_eq(digest.as_bytes(), given.as_bytes()))
            }),
        }
    }

    fn accept(&self, note: &Note) -> Result<Accepted, Failure> {
        let known = self.find_known(&note.operation);
        match self.runtime.block_on(self.core.configuration_manager.accept(note)) {
            Ok(configuration) => {
                let present = configuration.version;
                let version = configuration.find_operation(&note.operation).unwrap_or(present);
                Ok(Accepted { version, repeated: known.is_some() || version < present })
            }
            Err(Rejection::Conflict { present }) => Err(Failure::Conflict(present.version)),
            Err(Rejection::Invalid(findings)) => Err(Failure::Invalid(findings)),
            Err(Rejection::NotDone(why)) => Err(Failure::Unavailable(why)),
            Err(Rejection::Unknown(why)) => Err(Failure::Unknown(why)),
        }
    }

    fn find_operation(&self, operation: &str) -> Result<Option<id::Release>, Failure> {
        Ok(self.find_known(operation))
    }

    fn configuration(&self) -> Option<Arc<Configuration>> {
        self.core.configuration()
    }

    fn nodes(&self) -> Vec<view::Node> {
        let now = self.core.now();
        let peer_views = self.core.view.peer_views();
        let nodes = self.core.member.nodes();
        let owners = self.owners().owners;
        nodes
            .values()
            .map(|info| {
                let peer = peer_views.get(&info.node);
                view::Node {
                    node: info.node.clone(),
                    zone: info.zone.clone(),
                    callers: info.callers,
                    version: peer.map_or(id::Release(0), |peer| peer.release),
                    draining: info.draining || peer.is_some_and(|peer| peer.draining),
                    reachable: peer.is_some_and(|peer| {
                        now.saturating_duration_since(peer.last_gossip_at) < MAX_PEER_SILENCE
                    }),
                    owned: owners.iter().filter(|owner| owner.node == info.node).count(),
                }
            })
            .collect()
    }

    fn targets(&self) -> Vec<view::Target> {
        let hosts = self.core.view.hosts();
        hosts
            .values()
            .map(|host| {
                let state = self.core.view.state(&host.target);
                let count = |f: fn(&TargetState) -> u32| state.as_ref().map_or(0, f);
                view::Target {
                    target: host.target.clone(),
                    zone: host.zone.clone(),
                    kind: match &host.kind {
                        Kind::Engine => "engine".to_owned(),
                        Kind::Service(service) => service.to_string(),
                    },
                    address: host.address,
                    standing: match host.standing {
                        Standing::Live => "live".to_owned(),
                        Standing::Leaving => "leaving".to_owned(),
                    },
                    accepting: state.as_ref().is_some_and(|state| state.is_accepting),
                    bound: count(|state| state.stream_limit),
                    running: count(|state| state.running),
                    waiting: count(|state| state.waiting),
                    kv_free: state.as_ref().map_or(size::Tokens(0), |state| state.kv_free),
                    ready: state
                        .map(|state| state.ready.iter().map(show_weights).collect())
                        .unwrap_or_default(),
                }
            })
            .collect()
    }

    fn owners(&self) -> view::Owners {
        let hosts = self.core.view.hosts();
        let owners = hosts.keys().filter_map(|target| {
            let owner = self.core.owners.owner(target)?;
            Some(view::Owner { target: target.clone(), node: owner.node, epoch: owner.epoch })
        });
        view::Owners { revision: self.core.owners.revision(), owners: owners.collect() }
    }

    fn drain(&self) {
        crate::drain::begin(&self.core);
    }

    fn metrics(&self) -> String {
        let metrics = &self.core.metrics;
        metrics.set_configuration_version(
            self.core.configuration().map_or(id::Release(0), |c| c.version),
        );
        metrics.set_owned_targets(self.core.owners.owned().len());
        let now = self.core.now();
        let is_reachable = |at| now.saturating_duration_since(at) < MAX_PEER_SILENCE;
        let others = self.core.view.peer_views();
        let others = others.iter().filter(|(node, peer)| {
            *node != self.core.node_id() && is_reachable(peer.last_gossip_at)
        });
        metrics.set_connected_peers(others.count());
        metrics.set_suspects(self.core.retry_control.count_suspects(now));
        metrics.render()
    }

    fn health(&self) -> view::Health {
        let configuration = self.core.configuration();
        view::Health {
            node: self.core.node_id().clone(),
            ready: configuration.is_some() && self.core.stage() == Stage::Serving,
            draining: self.core.stage() != Stage::Serving,
            platform: self.core.member.is_lease_valid(self.core.now()),
            version: configuration.map_or(id::Release(0), |c| c.version),
        }
    }
}

fn show_weights(weights: &Weights) -> String {
    match &weights.adapter {
        Some(adapter) => format!("{}@{}+{adapter}", weights.model, weights.version),
        None => format!("{}@{}", weights.model, weights.version),
    }
}
