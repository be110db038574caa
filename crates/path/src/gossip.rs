//! Datagrams between nodes.
//!
//! A datagram may be lost, so the protocol never depends on a single one: allocations are
//! sent periodically, placement requests are retried, and [`hickory_policy::membership`]
//! tracks which nodes are alive. Data that is too large for a datagram (the store's items)
//! is fetched from a peer that has it; see [`crate::fetch`].

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::group::Group;
use crate::ledger::{Allocation, AllocationId};
use crate::owner::{self, Requester, Ticket};
use crate::placement::{Answer, Request};
use crate::view::Tag;
use hickory_policy::gossip::Message;
use hickory_policy::membership::{StateCounts, TICK_INTERVAL};
use hickory_policy::poison::Suspect;
use hickory_store::store::{Revision, Store};
use hickory_unit::clock::Clock;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;
use tokio::sync::mpsc::UnboundedReceiver;

/// The number of peers that are notified immediately of a newer revision.
const REVISION_FANOUT: usize = 4;

/// The minimum time between two such notifications.
const REVISION_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of nodes that are announced to have a newer operator revision. All
/// nodes learn of it within milliseconds, and of more than one node to fetch it from.
const MAX_ANNOUNCED_HOLDERS: usize = 3;

/// The minimum time between two log lines about members.
const MEMBER_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long membership updates are collected before they are pushed.
const MEMBER_BATCH_DELAY: Duration = Duration::from_millis(10);

/// The interval at which all allocations are sent again.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(500);

/// How long a peer's revisions remain valid after its last datagram.
const PEER_STATE_TTL: Duration = Duration::from_secs(10);

/// The maximum datagram size, which passes all links without fragmentation.
const MAX_DATAGRAM_BYTES: usize = 1_200;

/// The size of the receive buffer, above any peer's maximum datagram size.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// The maximum number of events that are taken from the send queue together.
const MAX_BATCHED_EVENTS: usize = 256;

/// One event of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Event {
    /// A message of the membership protocol.
    Member(Message),
    /// A placement request.
    Request(AllocationId, Request),
    /// The answer to a placement request.
    Answer(AllocationId, Answer),
    /// A request was placed, or is still running.
    Placed(AllocationId, Allocation),
    /// A request's first token arrived.
    FirstToken(AllocationId),
    /// A request ended, or its placement request was withdrawn.
    Ended(AllocationId),
    /// A target served or failed a request.
    Outcome { target: Tag, served: bool },
    /// A target refused the connection.
    Down(Tag),
    /// A target refused to prefill a part of a prompt for another target.
    PrefillRefused(Tag),
    /// A request was running when a target died.
    PoisonSuspect { fingerprint: u64, deaths: u32 },
    /// A node has the operators' data up to this revision.
    OperatorRevision { node: id::Node, revision: Revision },
}

/// An event and its destination; without an event, only the sender's revisions are sent.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) to: SocketAddr,
    pub(crate) event: Option<Event>,
}

/// The content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Datagram {
    node: id::Node,
    incarnation: id::Incarnation,
    /// The newest revision of the operators' data that the node has.
    operator_revision: Revision,
    /// The newest revision of the targets' entries that the node has.
    targets_revision: Revision,
    events: Vec<Event>,
}

/// The state in a node's last datagram.
#[derive(Clone, Copy, Debug)]
struct PeerState {
    incarnation: id::Incarnation,
    operator_revision: Revision,
    targets_revision: Revision,
    received_at: Instant,
}

/// The state that peers reported in their own datagrams.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerStates {
    peers: HashMap<id::Node, PeerState>,
    /// The newest revision of the operators' data that peers have and this node doesn't.
    newest_operator_revision: Revision,
    /// The first nodes that were announced to have this revision.
    holders: Vec<id::Node>,
}

/// A part of the store's items that is synchronized separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Keyspace {
    /// The operators' data.
    Operator,
    /// The targets' entries.
    Targets,
}

impl PeerStates {
    /// Records a datagram's state. Returns whether its node has restarted.
    fn record(&mut self, now: Instant, datagram: &Datagram) -> bool {
        let state = PeerState {
            incarnation: datagram.incarnation,
            operator_revision: datagram.operator_revision,
            targets_revision: datagram.targets_revision,
            received_at: now,
        };
        let previous = self.peers.insert(datagram.node.clone(), state);
        previous.is_some_and(|previous| previous.incarnation != datagram.incarnation)
    }

    fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|_, state| now.saturating_duration_since(state.received_at) < PEER_STATE_TTL);
    }

    /// Records that a node has a revision of the operators' data. Returns whether a node
    /// whose own revision is `own_revision` should announce this to others.
    fn note_holder(&mut self, node: &id::Node, revision: Revision, own_revision: Revision) -> bool {
        if revision <= own_revision || revision < self.newest_operator_revision {
            return false;
        }
        if revision > self.newest_operator_revision {
            self.newest_operator_revision = revision;
            self.holders.clear();
        }
        let is_new = self.holders.len() < MAX_ANNOUNCED_HOLDERS && !self.holders.contains(node);
        if is_new {
            self.holders.push(node.clone());
        }
        is_new
    }

    /// Returns the peers that have a revision of a keyspace after `after`.
    pub(crate) fn peers_ahead(&self, keyspace: Keyspace, after: Revision) -> Vec<id::Node> {
        let revision = |state: &PeerState| match keyspace {
            Keyspace::Operator => state.operator_revision,
            Keyspace::Targets => state.targets_revision,
        };
        let states = self.peers.iter().filter(|(_, state)| revision(state) > after);
        let mut ahead: Vec<id::Node> = states.map(|(node, _)| node.clone()).collect();
        if keyspace == Keyspace::Operator && self.newest_operator_revision > after {
            let holders = self.holders.iter().filter(|node| !ahead.contains(*node));
            let holders: Vec<id::Node> = holders.cloned().collect();
            ahead.extend(holders);
        }
        ahead
    }
}

/// Starts the tasks that send and receive datagrams.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    socket: Arc<UdpSocket>,
) {
    tokio::spawn(receive(core.clone(), socket.clone()));
    if let Some(outgoing) = core.take_outgoing_receiver() {
        tokio::spawn(run_sender(core.clone(), socket, outgoing));
    }
    tokio::spawn(maintain_membership(core.clone()));
    tokio::spawn(push_member_updates(core.clone()));
    tokio::spawn(announce_revisions(core.clone()));
    tokio::spawn(announce_allocations(core.clone()));
    tokio::spawn(owner::run(core.clone()));
}

async fn receive<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        // An error reports that an earlier datagram went to a peer that is gone.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        match postcard::from_bytes::<Datagram>(&buffer[..length]) {
            Ok(datagram) => handle_datagram(&core, datagram, from),
            Err(error) => log::warn!(from:%; "can't decode a datagram: {error}"),
        }
    }
}

fn handle_datagram<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    datagram: Datagram,
    from: SocketAddr,
) {
    if datagram.node == core.settings.node {
        return;
    }
    let now = core.now();
    if core.peer_states().record(now, &datagram) {
        log::info!(peer:% = datagram.node; "peer started anew");
        core.ledger().forget_node(&datagram.node);
        core.owner().forget_node(&datagram.node);
    }
    handle_operator_revision(core, &datagram.node, datagram.operator_revision);
    // With address translation the source differs from the address that the node receives at.
    let from = core.peer_address(&datagram.node).unwrap_or(from);
    for event in datagram.events {
        handle_event(core, now, &datagram.node, from, event);
    }
}

fn handle_event<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    now: Instant,
    node: &id::Node,
    from: SocketAddr,
    event: Event,
) {
    let ticket = |id| Ticket { node: node.clone(), id };
    match event {
        Event::Member(message) => {
            let out = core.membership().receive(now, node, from, message);
            core.send_membership(out);
        }
        Event::Request(id, request) => {
            owner::handle_request(core, Requester { ticket: ticket(id), address: from }, request);
        }
        Event::Answer(id, answer) => core.deliver_answer(id, answer),
        Event::Placed(id, allocation) => core.ledger().record_peer(now, node, id, allocation),
        Event::FirstToken(id) => {
            core.ledger().begin_peer_decode(now, node, id);
            core.queue_notify.notify_one();
        }
        Event::Ended(id) => {
            core.ledger().finish_peer(now, node, id);
            core.owner().withdraw(now, &ticket(id));
            core.queue_notify.notify_one();
        }
        Event::Outcome { target, served } => core.ejection().record_outcome(now, target, served),
        Event::Down(target) => core.ejection().record_unreachable(now, target),
        Event::PrefillRefused(target) => core.ejection().record_chunk_refusal(now, target),
        Event::PoisonSuspect { fingerprint, deaths } => {
            let suspect = Suspect { fingerprint, deaths, age: Duration::ZERO };
            core.suspects().merge(now, [suspect]);
        }
        Event::OperatorRevision { node, revision } => {
            handle_operator_revision(core, &node, revision)
        }
    }
}

/// Handles a node's revision of the operators' data, and forwards it if it is new.
fn handle_operator_revision<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    node: &id::Node,
    revision: Revision,
) {
    core.note_operator_revision(revision);
    let (own_revision, _) = core.revisions();
    if core.peer_states().note_holder(node, revision, own_revision) {
        let peers = core.membership().pick_alive(REVISION_FANOUT);
        for peer in peers {
            core.send(peer, Event::OperatorRevision { node: node.clone(), revision });
        }
    }
}

/// Runs the membership protocol, and expires outdated state.
async fn maintain_membership<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    let mut logged = LoggedState::default();
    while core.stage() != Stage::Closed {
        let now = core.now();
        core.note_tick(now);
        core.update_contact();
        let out = core.membership().tick(now);
        core.send_membership(out);
        core.ledger().expire(now);
        core.owner().expire(now);
        core.peer_states().expire(now);
        logged.log(&core, now);
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// The members and groups at the time of the last log line.
#[derive(Debug, Default)]
struct LoggedState {
    at: Option<Instant>,
    count: StateCounts,
    owned: Vec<Group>,
}

impl LoggedState {
    /// Logs changes, at a limited rate since many nodes may join or leave at the same time.
    fn log<D: Dialect, S: Store, C: Clock>(&mut self, core: &Core<D, S, C>, now: Instant) {
        if self.at.is_some_and(|at| now.saturating_duration_since(at) < MEMBER_LOG_INTERVAL) {
            return;
        }
        self.at = Some(now);
        let (count, silent) = {
            let mut membership = core.membership();
            (membership.count(), membership.take_new_suspects())
        };
        if count != self.count {
            let StateCounts { alive, suspect, dead } = count;
            let silent: Vec<&str> = silent.iter().map(id::Node::as_str).collect();
            log::info!(alive, suspect, dead, silent:% = silent.join(","); "members changed");
            self.count = count;
        }
        let owned = core.owned_groups();
        if owned != self.owned {
            let names: Vec<String> = owned.iter().map(ToString::to_string).collect();
            log::info!(groups:% = names.join(","); "groups owned by this node");
            core.metrics.set_owned_targets(owned.len());
            self.owned = owned;
        }
    }
}

async fn push_member_updates<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        core.membership_notify.notified().await;
        tokio::time::sleep(MEMBER_BATCH_DELAY).await;
        let out = core.membership().push_updates();
        core.send_membership(out);
    }
}

/// Announces newer items to a few peers, which fetch them and announce them in turn.
async fn announce_revisions<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        core.revision_notify.notified().await;
        let peers = core.membership().pick_alive(REVISION_FANOUT);
        peers.into_iter().for_each(|peer| core.send_revisions(peer));
        tokio::time::sleep(REVISION_INTERVAL).await;
    }
}

/// Sends this node's allocations to the nodes that place requests in their groups:
/// periodically, and immediately to a node that has just become responsible.
async fn announce_allocations<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    let mut announced: HashMap<id::Node, Instant> = HashMap::new();
    while core.stage() != Stage::Closed {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = core.now();
        let mut by_node: HashMap<id::Node, Vec<Event>> = HashMap::new();
        for (number, allocation) in core.own_allocations(now) {
            let group = core.group_of(&allocation);
            for node in core.allocation_recipients(&group) {
                let event = Event::Placed(number, allocation.clone());
                by_node.entry(node).or_default().push(event);
            }
        }
        announced.retain(|node, at| by_node.contains_key(node) && *at <= now);
        for (node, events) in by_node {
            let last = announced.get(&node).copied();
            if last.is_some_and(|at| now.saturating_duration_since(at) < ALLOCATION_INTERVAL) {
                continue;
            }
            let Some(to) = core.peer_address(&node) else { continue };
            events.into_iter().for_each(|event| core.send(to, event));
            announced.insert(node, now);
        }
    }
}

async fn run_sender<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    socket: Arc<UdpSocket>,
    mut outgoing: UnboundedReceiver<Outgoing>,
) {
    let mut batch = Vec::new();
    while outgoing.recv_many(&mut batch, MAX_BATCHED_EVENTS).await > 0 {
        let mut by_peer: HashMap<SocketAddr, Vec<Event>> = HashMap::new();
        for outgoing in batch.drain(..) {
            by_peer.entry(outgoing.to).or_default().extend(outgoing.event);
        }
        for (to, events) in by_peer {
            send_events(&core, &socket, to, events).await;
        }
    }
}

/// Sends events to a peer, in as many datagrams as needed.
async fn send_events<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    socket: &UdpSocket,
    to: SocketAddr,
    events: Vec<Event>,
) {
    let mut remaining = events;
    loop {
        let (datagram, left) = encode(core, remaining);
        core.metrics.count_datagram(hickory_unit::size::Bytes(datagram.len() as u64));
        // A datagram that can't be sent is treated as lost.
        let _ = socket.send_to(&datagram, to).await;
        if left.is_empty() {
            return;
        }
        remaining = left;
    }
}

/// Encodes as many of the events as fit into one datagram, and returns the rest.
fn encode<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    mut events: Vec<Event>,
) -> (Vec<u8>, Vec<Event>) {
    let mut left = Vec::new();
    loop {
        let (operator_revision, targets_revision) = core.revisions();
        let (node, incarnation) = (core.settings.node.clone(), core.incarnation);
        let datagram = Datagram { node, incarnation, operator_revision, targets_revision, events };
        let bytes = postcard::to_stdvec(&datagram).unwrap_or_else(|error| {
            log::error!("can't encode a datagram: {error}");
            Vec::new()
        });
        events = datagram.events;
        if bytes.len() <= MAX_DATAGRAM_BYTES || events.len() <= 1 {
            return (bytes, left);
        }
        let mut rest = events.split_off(events.len().div_ceil(2));
        rest.append(&mut left);
        left = rest;
    }
}
