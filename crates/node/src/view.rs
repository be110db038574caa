//! A node's view of the targets: the platform's host list and the states that the owners
//! publish by gossip.

use crate::parse::hash_parts;
use hickory_policy::cost::Cost;
use hickory_policy::place::{Candidate, hash_target};
use hickory_release::configuration::Configuration;
use hickory_state::member::Info;
use hickory_store::host::{Host, Kind, Standing};
use hickory_target::engine::Weights;
use hickory_unit::{id, size};
use hickory_wire::message::{Gossip, TargetState};
use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};
use std::time::{Duration, Instant};

/// Number of shards of the target states; greater than the number of threads that use them.
const SHARDS: usize = 16;

/// A peer that has been silent for this long is considered dead: many gossip exchanges were
/// missed, and a takeover of its targets is under way.
const MAX_PEER_SILENCE: Duration = Duration::from_secs(5);

/// Time for which the address of a node that is no longer registered is kept after its last
/// gossip.
const MAX_KNOWN_NODE_AGE: Duration = Duration::from_secs(60);

/// Time for which this node adds the work that it sent to a target to the state that the owner
/// published. By then, the owner has published a newer state, or nothing has changed.
const MAX_SENT_AGE: Duration = Duration::from_secs(1);

/// The listed hosts by target.
pub(crate) type Hosts = BTreeMap<id::Target, Host>;

/// The state of a target as published by its owner, and the work that this node has sent to it
/// since.
#[derive(Clone, Debug)]
struct TargetView {
    state: TargetState,
    owner: id::Node,
    /// The target's hash, for placement.
    key: u64,
    sent_prefill: size::Tokens,
    sent_count: u32,
    sent_at: Option<Instant>,
}

/// What a node knows of a peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    pub(crate) last_gossip_at: Instant,
    pub(crate) release: id::Release,
    pub(crate) active_requests: u32,
    pub(crate) draining: bool,
    incarnation: id::Incarnation,
    /// The version of the peer's targets that this node has.
    pub(crate) received_version: u64,
    /// The version of this node's targets that the peer has.
    pub(crate) acknowledged_version: u64,
}

/// A node's view of targets and peers.
#[derive(Debug)]
pub(crate) struct View {
    /// The zone of this node.
    zone: id::Zone,
    hosts: RwLock<Arc<Hosts>>,
    states: [Mutex<HashMap<id::Target, TargetView>>; SHARDS],
    peers: Mutex<HashMap<id::Node, PeerView>>,
    known_nodes: Mutex<HashMap<id::Node, Info>>,
}

/// What a request requires of a target.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Capability<'a> {
    /// An engine with these weights.
    Weights(&'a Weights),
    /// A replica of this plain service.
    Service(&'a id::Service),
}

impl View {
    /// Returns the empty view of a node in `zone`.
    pub(crate) fn open(zone: id::Zone) -> Self {
        Self {
            zone,
            hosts: RwLock::default(),
            states: Default::default(),
            peers: Mutex::default(),
            known_nodes: Mutex::default(),
        }
    }

    pub(crate) fn hosts(&self) -> Arc<Hosts> {
        self.hosts.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_hosts(&self, hosts: Vec<Host>) {
        let hosts = hosts.into_iter().map(|host| (host.target.clone(), host)).collect();
        *self.hosts.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(hosts);
    }

    /// Records the addresses of registered nodes.
    ///
    /// An owner that is cut off from the platform alone is no longer registered, but keeps its
    /// targets because its peers still reach it. Its address is kept, so that other nodes can
    /// still ask it for permits.
    pub(crate) fn note_nodes(&self, now: Instant, nodes: &BTreeMap<id::Node, Info>) {
        let peers = self.peers();
        let is_reachable = |node: &id::Node| {
            peers.get(node).is_some_and(|p| {
                now.saturating_duration_since(p.last_gossip_at) < MAX_KNOWN_NODE_AGE
            })
        };
        let mut known = self.known_nodes.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|node, _| is_reachable(node));
        known.extend(nodes.iter().map(|(node, info)| (node.clone(), info.clone())));
    }

    /// Returns the last registered address of a node.
    pub(crate) fn find_node(&self, node: &id::Node) -> Option<Info> {
        self.known_nodes.lock().unwrap_or_else(PoisonError::into_inner).get(node).cloned()
    }

    /// Merges a peer's gossip about itself and the targets that it owns.
    pub(crate) fn merge(&self, now: Instant, gossip: &Gossip) {
        let mut peers = self.peers();
        let known = peers.get(&gossip.node).filter(|k| k.incarnation == gossip.incarnation);
        let view = PeerView {
            last_gossip_at: now,
            release: gossip.configuration_version,
            active_requests: gossip.active_requests,
            draining: gossip.is_draining,
            incarnation: gossip.incarnation,
            // The version must not decrease when answers arrive out of order.
            received_version: known.map_or(0, |known| known.received_version).max(gossip.version),
            acknowledged_version: gossip.acknowledged_version,
        };
        // Target states in a gossip message that arrives after a newer one are ignored: they
        // would reset targets to an outdated state, and the newer state isn't sent again.
        let is_overtaken = known.is_some_and(|known| gossip.version < known.received_version);
        peers.insert(gossip.node.clone(), view);
        drop(peers);
        for state in gossip.targets.iter().filter(|_| !is_overtaken) {
            self.merge_state(&gossip.node, state.clone());
        }
    }

    /// Returns the version of the peer's targets that this node has, and the version of this
    /// node's targets that the peer has.
    pub(crate) fn versions(&self, peer: &id::Node) -> (u64, u64) {
        self.peers()
            .get(peer)
            .map_or((0, 0), |known| (known.received_version, known.acknowledged_version))
    }

    /// Merges a target's state. A state with an older epoch comes from a replaced owner and is
    /// ignored.
    fn merge_state(&self, owner: &id::Node, state: TargetState) {
        let mut shard = self.shard(&state.target);
        let known = shard.get(&state.target);
        if known.is_some_and(|known| known.state.epoch > state.epoch) {
            return;
        }
        let (target, owner) = (state.target.clone(), owner.clone());
        let key = known.map_or_else(|| hash_target(&target), |known| known.key);
        let (sent_prefill, sent_count, sent_at) = (size::Tokens(0), 0, None);
        shard.insert(target, TargetView { state, owner, key, sent_prefill, sent_count, sent_at });
    }

    /// Records that this node sent work to a target, which is counted in placement until the
    /// owner publishes a newer state.
    pub(crate) fn note_sent(&self, now: Instant, target: &id::Target, cost: Cost) {
        if let Some(target_view) = self.shard(target).get_mut(target) {
            target_view.expire_sent(now);
            target_view.sent_at = Some(now);
            target_view.sent_prefill += cost.prefill;
            target_view.sent_count += 1;
        }
    }

    /// Returns the newest release that a live peer has in force.
    pub(crate) fn newest_release(&self, now: Instant) -> Option<id::Release> {
        let peers = self.peers();
        let alive = peers.values().filter(|peer| is_alive(now, peer));
        alive.map(|peer| peer.release).max()
    }

    pub(crate) fn peer_views(&self) -> HashMap<id::Node, PeerView> {
        self.peers().clone()
    }

    pub(crate) fn state(&self, target: &id::Target) -> Option<TargetState> {
        self.shard(target).get(target).map(|target_view| target_view.state.clone())
    }

    /// Returns the number of targets that are ready to serve these weights.
    pub(crate) fn count_ready(&self, weights: &Weights) -> usize {
        let shards = self.states.iter();
        let count = shards.map(|shard| {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            let states = shard.values().map(|target_view| &target_view.state);
            states.filter(|state| state.ready.iter().any(|ready| is_equal(ready, weights))).count()
        });
        count.sum()
    }

    /// Returns whether new work may be sent to a target by this node's configuration and host
    /// list. It is checked again just before sending, since the owner may be cut off from the
    /// platform.
    pub(crate) fn may_send(&self, target: &id::Target, configuration: &Configuration) -> bool {
        let hosts = self.hosts();
        hosts.get(target).is_some_and(|host| is_in_service(host, configuration))
    }

    /// Returns the targets that can run a request, without the excluded ones. `prefix` is the
    /// hash of the request's leading bytes.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        capability: Capability<'_>,
        prefix: u64,
        configuration: &Configuration,
        excluded: &[id::Target],
    ) -> Vec<Candidate> {
        let hosts = self.hosts();
        let peers = self.peers();
        let is_reachable =
            |node: &id::Node| peers.get(node).is_some_and(|peer| is_alive(now, peer));
        hosts
            .values()
            .filter(|host| is_in_service(host, configuration) && !excluded.contains(&host.target))
            .filter_map(|host| self.candidate(now, host, capability, prefix, is_reachable))
            .collect()
    }

    /// Replaces the gossiped states of this node's own targets by their current states.
    pub(crate) fn apply_own_states(candidates: &mut [Candidate], own: &[TargetState]) {
        for state in own {
            let found = candidates.iter_mut().find(|c| c.target == state.target);
            let Some(candidate) = found else { continue };
            candidate.is_owned = true;
            candidate.queued_long = state.queued_long;
            candidate.queued_prefill = state.queued_prefill;
            candidate.kv_free = state.kv_free;
            candidate.max_streams = state.stream_limit;
            candidate.running = state.running;
            candidate.waiting = state.waiting;
        }
    }

    fn candidate(
        &self,
        now: Instant,
        host: &Host,
        capability: Capability<'_>,
        prefix: u64,
        is_reachable: impl Fn(&id::Node) -> bool,
    ) -> Option<Candidate> {
        let mut shard = self.shard(&host.target);
        let target_view = shard.get_mut(&host.target)?;
        target_view.expire_sent(now);
        let state = &target_view.state;
        let is_capable = match (capability, &host.kind) {
            (Capability::Weights(weights), Kind::Engine) => {
                state.ready.iter().any(|ready| is_equal(ready, weights))
            }
            (Capability::Service(service), Kind::Service(name)) => service == name,
            _ => false,
        };
        (is_capable && state.is_accepting && is_reachable(&target_view.owner)).then(|| Candidate {
            target: host.target.clone(),
            hash: target_view.key,
            is_same_zone: host.zone == self.zone,
            is_owned: false,
            has_cached_prefix: state.prefixes.contains(&prefix),
            queued_long: state.queued_long,
            queued_prefill: state.queued_prefill + target_view.sent_prefill,
            kv_free: state.kv_free.saturating_sub(target_view.sent_prefill),
            kv_capacity: state.kv_capacity,
            prefill_rate: state.prefill_rate,
            max_streams: state.stream_limit,
            running: state.running + target_view.sent_count,
            waiting: state.waiting,
        })
    }

    fn shard(&self, target: &id::Target) -> MutexGuard<'_, HashMap<id::Target, TargetView>> {
        let index = hash_parts(&[target.as_str().as_bytes()]) as usize % SHARDS;
        self.states[index].lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn peers(&self) -> MutexGuard<'_, HashMap<id::Node, PeerView>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TargetView {
    fn expire_sent(&mut self, now: Instant) {
        if self.sent_at.is_some_and(|at| now.saturating_duration_since(at) > MAX_SENT_AGE) {
            (self.sent_prefill, self.sent_count, self.sent_at) = (size::Tokens(0), 0, None);
        }
    }
}

fn is_alive(now: Instant, peer: &PeerView) -> bool {
    now.saturating_duration_since(peer.last_gossip_at) < MAX_PEER_SILENCE
}

fn is_in_service(host: &Host, configuration: &Configuration) -> bool {
    host.standing == Standing::Live && !configuration.is_zone_out(&host.zone)
}

fn is_equal(ready: &hickory_wire::message::Weights, wanted: &Weights) -> bool {
    ready.model == wanted.model
        && ready.version == wanted.version
        && ready.adapter == wanted.adapter
}
