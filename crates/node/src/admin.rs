//! What the node does for operators.

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

/// A peer that was not heard for this long is shown as not reachable.
const REACHABLE_MAX_AGE: Duration = Duration::from_secs(2);

/// The operators' view of a node; its calls block, and run on the threads of
/// the administration server.
#[derive(Clone, Debug)]
pub(crate) struct Service {
    pub(crate) core: Arc<Core>,
    pub(crate) runtime: Handle,
}

impl Service {
    /// The version that an operation made, as far as this node knows.
    fn find_known(&self, operation: &str) -> Option<id::Release> {
        self.core.configuration()?.find_operation(operation)
    }
}

impl Control for Service {
    fn is_operator(&self, token: &str) -> bool {
        match self.core.configuration().filter(|c| !c.operators.is_empty()) {
            Some(configuration) => configuration.is_operator(token),
            // Before the first note, only the token of the settings is good.
            None => self.core.settings.first_operator.as_ref().is_some_and(|digest| {
                let given = digest_token(token);
                bool::from(subtle::ConstantTimeEq::ct_eq(digest.as_bytes(), given.as_bytes()))
            }),
        }
    }

    fn accept(&self, note: &Note) -> Result<Accepted, Failure> {
        let known = self.find_known(&note.operation);
        match self.runtime.block_on(self.core.keeper.accept(note)) {
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
        let seen = self.core.view.peers_seen();
        let nodes = self.core.member.nodes();
        let owners = self.owners().owners;
        nodes
            .values()
            .map(|info| {
                let peer = seen.get(&info.node);
                view::Node {
                    node: info.node.clone(),
                    zone: info.zone.clone(),
                    callers: info.callers,
                    version: peer.map_or(id::Release(0), |peer| peer.release),
                    draining: info.draining || peer.is_some_and(|peer| peer.draining),
                    reachable: peer.is_some_and(|peer| {
                        now.saturating_duration_since(peer.at) < REACHABLE_MAX_AGE
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
        metrics.configuration(self.core.configuration().map_or(id::Release(0), |c| c.version));
        metrics.owned(self.core.owners.owned().len());
        let now = self.core.now();
        let heard = |at| now.saturating_duration_since(at) < REACHABLE_MAX_AGE;
        let others = self.core.view.peers_seen();
        let others = others.iter().filter(|(node, peer)| *node != self.core.me() && heard(peer.at));
        metrics.peers(others.count());
        metrics.suspects(self.core.record.suspects(now));
        metrics.render()
    }

    fn health(&self) -> view::Health {
        let configuration = self.core.configuration();
        view::Health {
            node: self.core.me().clone(),
            ready: configuration.is_some() && self.core.stage() == Stage::Serving,
            draining: self.core.stage() != Stage::Serving,
            platform: self.core.member.confirmed(self.core.now()),
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
