//! What a node knows of the targets: the platform's host list, and what their
//! owners tell.

use crate::parse::hash_parts;
use hickory_platform::host::{Host, Kind, Standing};
use hickory_policy::cost::Cost;
use hickory_policy::place::Candidate;
use hickory_release::configuration::Configuration;
use hickory_target::engine::Weights;
use hickory_unit::{id, size};
use hickory_wire::message::{Gossip, State};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Shards of the target states; more than the threads that meet there.
const SHARDS: usize = 16;

/// An owner that has told nothing of a target for this long is taken to be
/// gone: many exchanges were missed, and a takeover is under way.
const STATE_MAX_AGE: Duration = Duration::from_secs(5);

/// The listed hosts by target.
pub(crate) type Hosts = BTreeMap<id::Target, Host>;

/// What an owner told of a target, and what this node sent there since.
#[derive(Clone, Debug)]
struct Seen {
    state: State,
    at: Instant,
    sent: size::Tokens,
    sent_count: u32,
}

/// What a node knows of its peers.
#[derive(Clone, Debug)]
pub(crate) struct PeerSeen {
    pub(crate) at: Instant,
    pub(crate) release: id::Release,
    pub(crate) connections: u32,
    pub(crate) draining: bool,
}

/// What a node knows of targets and peers.
#[derive(Debug, Default)]
pub(crate) struct View {
    hosts: RwLock<Arc<Hosts>>,
    states: [Mutex<HashMap<id::Target, Seen>>; SHARDS],
    peers: Mutex<HashMap<id::Node, PeerSeen>>,
}

/// What a request needs of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Need<'a> {
    /// An engine with these weights.
    Weights(&'a Weights),
    /// A replica of this plain service.
    Service(&'a id::Service),
}

impl View {
    pub(crate) fn hosts(&self) -> Arc<Hosts> {
        self.hosts.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_hosts(&self, hosts: Vec<Host>) {
        let hosts = hosts.into_iter().map(|host| (host.target.clone(), host)).collect();
        *self.hosts.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(hosts);
    }

    /// Takes in what a peer tells of itself and of the targets it owns.
    pub(crate) fn merge(&self, now: Instant, gossip: &Gossip) {
        let seen = PeerSeen {
            at: now,
            release: gossip.release,
            connections: gossip.connections,
            draining: gossip.draining,
        };
        self.peers().insert(gossip.node.clone(), seen);
        for state in &gossip.targets {
            self.merge_state(now, state.clone());
        }
    }

    /// Takes in one target's state; one under an older epoch comes from an
    /// owner that has been replaced and is passed over.
    pub(crate) fn merge_state(&self, now: Instant, state: State) {
        let mut shard = self.shard(&state.target);
        let known = shard.get(&state.target);
        if known.is_some_and(|known| known.state.epoch > state.epoch) {
            return;
        }
        let target = state.target.clone();
        shard.insert(target, Seen { state, at: now, sent: size::Tokens(0), sent_count: 0 });
    }

    /// Notes that this node sent work to a target, so that until its owner
    /// tells again the next choice counts it.
    pub(crate) fn note_sent(&self, target: &id::Target, cost: Cost) {
        if let Some(seen) = self.shard(target).get_mut(target) {
            seen.sent += cost.prefill;
            seen.sent_count += 1;
        }
    }

    pub(crate) fn peers_seen(&self) -> HashMap<id::Node, PeerSeen> {
        self.peers().clone()
    }

    pub(crate) fn state(&self, target: &id::Target) -> Option<State> {
        self.shard(target).get(target).map(|seen| seen.state.clone())
    }

    /// Whether new work may go to a target, by the configuration and the host
    /// list that this node has; checked again just before sending, as the
    /// owner may be cut off from the platform.
    pub(crate) fn may_send(&self, target: &id::Target, configuration: &Configuration) -> bool {
        let hosts = self.hosts();
        hosts.get(target).is_some_and(|host| is_in_service(host, configuration))
    }

    /// The targets that can run a request, less the excluded ones.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        need: Need<'_>,
        configuration: &Configuration,
        excluded: &[id::Target],
    ) -> Vec<Candidate> {
        let hosts = self.hosts();
        hosts
            .values()
            .filter(|host| is_in_service(host, configuration) && !excluded.contains(&host.target))
            .filter_map(|host| self.candidate(now, host, need))
            .collect()
    }

    fn candidate(&self, now: Instant, host: &Host, need: Need<'_>) -> Option<Candidate> {
        let shard = self.shard(&host.target);
        let seen = shard.get(&host.target)?;
        let state = &seen.state;
        let fits = match (need, &host.kind) {
            (Need::Weights(weights), Kind::Engine) => {
                state.ready.iter().any(|ready| is_same(ready, weights))
            }
            (Need::Service(service), Kind::Service(name)) => service == name,
            _ => false,
        };
        let known = now.saturating_duration_since(seen.at) < STATE_MAX_AGE;
        (fits && known && state.accepting).then(|| Candidate {
            target: host.target.clone(),
            queued_prefill: state.queued_prefill + seen.sent,
            kv_free: state.kv_free.saturating_sub(seen.sent),
            kv_capacity: state.kv_capacity,
            prefill_rate: state.prefill_rate,
            bound: state.bound,
            running: state.running + seen.sent_count,
            waiting: state.waiting,
        })
    }

    fn shard(&self, target: &id::Target) -> MutexGuard<'_, HashMap<id::Target, Seen>> {
        let index = hash_parts(&[target.as_str().as_bytes()]) as usize % SHARDS;
        self.states[index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<id::Node, PeerSeen>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_in_service(host: &Host, configuration: &Configuration) -> bool {
    host.standing == Standing::Live && !configuration.zone_out(&host.zone)
}

fn is_same(ready: &hickory_wire::message::Weights, wanted: &Weights) -> bool {
    ready.model == wanted.model
        && ready.version == wanted.version
        && ready.adapter == wanted.adapter
}
