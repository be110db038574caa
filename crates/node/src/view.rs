//! What a node knows of the targets: the platform's host list, and what their
//! owners tell.

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

/// Shards of the target states; more than the threads that meet there.
const SHARDS: usize = 16;

/// A peer that was not heard for this long is taken to be gone: many exchanges
/// were missed, and a takeover of what it owns is under way.
const PEER_MAX_AGE: Duration = Duration::from_secs(5);

/// How long the address of a node that is registered no more is kept after it
/// was last heard.
const KNOWN_MAX_AGE: Duration = Duration::from_secs(60);

/// How long this node counts what it sent to a target on top of what the
/// owner told: by then the owner has told again, or nothing has changed.
const SENT_MAX_AGE: Duration = Duration::from_secs(1);

/// The listed hosts by target.
pub(crate) type Hosts = BTreeMap<id::Target, Host>;

/// What an owner told of a target, and what this node sent there since.
#[derive(Clone, Debug)]
struct Seen {
    state: TargetState,
    owner: id::Node,
    /// The target's hash, for placement.
    key: u64,
    sent: size::Tokens,
    sent_count: u32,
    sent_at: Option<Instant>,
}

/// What a node knows of its peers.
#[derive(Clone, Debug)]
pub(crate) struct PeerSeen {
    pub(crate) at: Instant,
    pub(crate) release: id::Release,
    pub(crate) connections: u32,
    pub(crate) draining: bool,
    incarnation: id::Incarnation,
    /// The version of its targets that this node has.
    pub(crate) version: u64,
    /// The version of this node's targets that it has.
    pub(crate) seen: u64,
}

/// What a node knows of targets and peers.
#[derive(Debug)]
pub(crate) struct View {
    /// The zone of this node.
    zone: id::Zone,
    hosts: RwLock<Arc<Hosts>>,
    states: [Mutex<HashMap<id::Target, Seen>>; SHARDS],
    peers: Mutex<HashMap<id::Node, PeerSeen>>,
    known: Mutex<HashMap<id::Node, Info>>,
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
    /// The empty view of a node in `zone`.
    pub(crate) fn open(zone: id::Zone) -> Self {
        Self {
            zone,
            hosts: RwLock::default(),
            states: Default::default(),
            peers: Mutex::default(),
            known: Mutex::default(),
        }
    }

    pub(crate) fn hosts(&self) -> Arc<Hosts> {
        self.hosts.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    pub(crate) fn set_hosts(&self, hosts: Vec<Host>) {
        let hosts = hosts.into_iter().map(|host| (host.target.clone(), host)).collect();
        *self.hosts.write().unwrap_or_else(PoisonError::into_inner) = Arc::new(hosts);
    }

    /// Notes where registered nodes listen.
    ///
    /// An owner that is cut off from the platform alone drops off the list of
    /// registered nodes and keeps its targets, since its peers still reach it:
    /// without its address they could not ask it for permits.
    pub(crate) fn note_nodes(&self, now: Instant, nodes: &BTreeMap<id::Node, Info>) {
        let peers = self.peers();
        let is_heard = |node: &id::Node| {
            peers.get(node).is_some_and(|p| now.saturating_duration_since(p.at) < KNOWN_MAX_AGE)
        };
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.retain(|node, _| is_heard(node));
        known.extend(nodes.iter().map(|(node, info)| (node.clone(), info.clone())));
    }

    /// Where a node listens, as it was last registered.
    pub(crate) fn find_node(&self, node: &id::Node) -> Option<Info> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner).get(node).cloned()
    }

    /// Takes in what a peer tells of itself and of the targets it owns.
    pub(crate) fn merge(&self, now: Instant, gossip: &Gossip) {
        let mut peers = self.peers();
        let known = peers.get(&gossip.node).filter(|k| k.incarnation == gossip.incarnation);
        let seen = PeerSeen {
            at: now,
            release: gossip.configuration_version,
            connections: gossip.connections,
            draining: gossip.is_draining,
            incarnation: gossip.incarnation,
            // An answer that was overtaken by a later one takes nothing back.
            version: known.map_or(0, |known| known.version).max(gossip.version),
            seen: gossip.acknowledged_version,
        };
        // What was overtaken by a later word would put a target back to what
        // it was, and is not told again.
        let is_overtaken = known.is_some_and(|known| gossip.version < known.version);
        peers.insert(gossip.node.clone(), seen);
        drop(peers);
        for state in gossip.targets.iter().filter(|_| !is_overtaken) {
            self.merge_state(&gossip.node, state.clone());
        }
    }

    /// The versions that this node and a peer have of each other's targets.
    pub(crate) fn versions(&self, peer: &id::Node) -> (u64, u64) {
        self.peers().get(peer).map_or((0, 0), |known| (known.version, known.seen))
    }

    /// Takes in one target's state; one under an older epoch comes from an
    /// owner that has been replaced and is passed over.
    fn merge_state(&self, owner: &id::Node, state: TargetState) {
        let mut shard = self.shard(&state.target);
        let known = shard.get(&state.target);
        if known.is_some_and(|known| known.state.epoch > state.epoch) {
            return;
        }
        let (target, owner) = (state.target.clone(), owner.clone());
        let key = known.map_or_else(|| hash_target(&target), |known| known.key);
        let (sent, sent_count, sent_at) = (size::Tokens(0), 0, None);
        shard.insert(target, Seen { state, owner, key, sent, sent_count, sent_at });
    }

    /// Notes that this node sent work to a target, so that until its owner
    /// tells again the next choice counts it.
    pub(crate) fn note_sent(&self, now: Instant, target: &id::Target, cost: Cost) {
        if let Some(seen) = self.shard(target).get_mut(target) {
            seen.forget_sent(now);
            seen.sent_at = Some(now);
            seen.sent += cost.prefill;
            seen.sent_count += 1;
        }
    }

    /// The newest release that a living peer has in force.
    pub(crate) fn newest_release(&self, now: Instant) -> Option<id::Release> {
        let peers = self.peers();
        let living = peers.values().filter(|peer| is_living(now, peer));
        living.map(|peer| peer.release).max()
    }

    pub(crate) fn peers_seen(&self) -> HashMap<id::Node, PeerSeen> {
        self.peers().clone()
    }

    pub(crate) fn state(&self, target: &id::Target) -> Option<TargetState> {
        self.shard(target).get(target).map(|seen| seen.state.clone())
    }

    /// Targets that can serve with these weights.
    pub(crate) fn count_ready(&self, weights: &Weights) -> usize {
        let shards = self.states.iter();
        let count = shards.map(|shard| {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            let states = shard.values().map(|seen| &seen.state);
            states.filter(|state| state.ready.iter().any(|ready| is_same(ready, weights))).count()
        });
        count.sum()
    }

    /// Whether new work may go to a target, by the configuration and the host
    /// list that this node has; checked again just before sending, as the
    /// owner may be cut off from the platform.
    pub(crate) fn may_send(&self, target: &id::Target, configuration: &Configuration) -> bool {
        let hosts = self.hosts();
        hosts.get(target).is_some_and(|host| is_in_service(host, configuration))
    }

    /// The targets that can run a request with the hash of its leading blocks,
    /// less the excluded ones.
    pub(crate) fn candidates(
        &self,
        now: Instant,
        need: Need<'_>,
        prefix: u64,
        configuration: &Configuration,
        excluded: &[id::Target],
    ) -> Vec<Candidate> {
        let hosts = self.hosts();
        let peers = self.peers();
        let is_heard = |node: &id::Node| peers.get(node).is_some_and(|peer| is_living(now, peer));
        hosts
            .values()
            .filter(|host| is_in_service(host, configuration) && !excluded.contains(&host.target))
            .filter_map(|host| self.candidate(now, host, need, prefix, is_heard))
            .collect()
    }

    /// Puts what this node's own books say in place of what it last told.
    pub(crate) fn refresh_own(candidates: &mut [Candidate], own: &[TargetState]) {
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
        need: Need<'_>,
        prefix: u64,
        is_heard: impl Fn(&id::Node) -> bool,
    ) -> Option<Candidate> {
        let mut shard = self.shard(&host.target);
        let seen = shard.get_mut(&host.target)?;
        seen.forget_sent(now);
        let state = &seen.state;
        let fits = match (need, &host.kind) {
            (Need::Weights(weights), Kind::Engine) => {
                state.ready.iter().any(|ready| is_same(ready, weights))
            }
            (Need::Service(service), Kind::Service(name)) => service == name,
            _ => false,
        };
        (fits && state.is_accepting && is_heard(&seen.owner)).then(|| Candidate {
            target: host.target.clone(),
            hash: seen.key,
            is_same_zone: host.zone == self.zone,
            is_owned: false,
            has_cached_prefix: state.prefixes.contains(&prefix),
            queued_long: state.queued_long,
            queued_prefill: state.queued_prefill + seen.sent,
            kv_free: state.kv_free.saturating_sub(seen.sent),
            kv_capacity: state.kv_capacity,
            prefill_rate: state.prefill_rate,
            max_streams: state.stream_limit,
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

impl Seen {
    fn forget_sent(&mut self, now: Instant) {
        if self.sent_at.is_some_and(|at| now.saturating_duration_since(at) > SENT_MAX_AGE) {
            (self.sent, self.sent_count, self.sent_at) = (size::Tokens(0), 0, None);
        }
    }
}

fn is_living(now: Instant, peer: &PeerSeen) -> bool {
    now.saturating_duration_since(peer.at) < PEER_MAX_AGE
}

fn is_in_service(host: &Host, configuration: &Configuration) -> bool {
    host.standing == Standing::Live && !configuration.is_zone_out(&host.zone)
}

fn is_same(ready: &hickory_wire::message::Weights, wanted: &Weights) -> bool {
    ready.model == wanted.model
        && ready.version == wanted.version
        && ready.adapter == wanted.adapter
}
