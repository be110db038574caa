//! Datagrams between nodes.
//!
//! A datagram may be lost, so the protocol never depends on a single one: allocations are
//! sent periodically, placement requests are retried, and [`hickory_policy::membership`]
//! tracks which nodes are alive. Data that is too large for a datagram (the store's items)
//! is fetched from a peer that has it; see [`crate::fetch`].

use crate::capacity;
use crate::core::{Core, Stage};
use crate::crash_event::before;
use crate::datagram::{self, Datagram, Event, Outgoing};
use crate::dialect::Dialect;
use crate::group::Group;
use crate::leave;
use crate::ledger::AllocationId;
use crate::owner::{self, Requester, Ticket};
use crate::part;
use crate::peer_state::Arrival;
use crate::placement::{Answer, Origin};
use crate::rate_limit;
use crate::store_watch;
use crate::supervisor;
use hickory_policy::crash::Certainty;
use hickory_policy::membership::{StateCounts, TICK_INTERVAL};
use hickory_store::store::{Revision, Store};
use hickory_telemetry::label::{self, Datagram as Content};
use hickory_unit::clock::Clock;
use hickory_unit::{id, size};
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

/// The minimum time between two log lines about members.
const MEMBER_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How long membership updates are collected before they are pushed.
const MEMBER_BATCH_DELAY: Duration = Duration::from_millis(10);

/// The interval at which all allocations are sent again.
const ALLOCATION_INTERVAL: Duration = Duration::from_millis(500);

/// The size of the receive buffer, above any peer's maximum datagram size.
const RECEIVE_BUFFER_BYTES: usize = 2_048;

/// The maximum number of events that are taken from the send queue together.
const MAX_BATCHED_EVENTS: usize = 256;

/// Starts the tasks that send and receive datagrams.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    socket: Arc<UdpSocket>,
) {
    supervisor::spawn(core, "datagram receiver", receive(core.clone(), socket.clone()));
    if let Some(outgoing) = core.take_outgoing_receiver() {
        supervisor::spawn(core, "datagram sender", run_sender(core.clone(), socket, outgoing));
    }
    supervisor::spawn(core, "membership", maintain_membership(core.clone()));
    supervisor::spawn(core, "membership updates", push_member_updates(core.clone()));
    supervisor::spawn(core, "revision announcements", announce_revisions(core.clone()));
    supervisor::spawn(core, "allocation announcements", announce_allocations(core.clone()));
    supervisor::spawn(core, "owner", owner::run(core.clone()));
    supervisor::spawn(core, "prompt parts", part::run(core.clone()));
    supervisor::spawn(core, "leaving targets", leave::run(core.clone()));
}

async fn receive<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; RECEIVE_BUFFER_BYTES];
    loop {
        // An error reports that an earlier datagram went to a peer that is gone.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        match datagram::decode(&buffer[..length]) {
            Ok(datagram) => handle_datagram(&core, datagram, from),
            Err(error) => {
                core.metrics.count_malformed(label::Sender::Peer, 1);
                log::warn!(from:%; "can't decode a datagram: {error}");
            }
        }
    }
}

/// The process that sent a datagram.
#[derive(Clone, Copy, Debug)]
struct Sender<'a> {
    node: &'a id::Node,
    incarnation: id::Incarnation,
    address: SocketAddr,
}

impl Sender<'_> {
    fn ticket(&self, id: AllocationId) -> Ticket {
        Ticket { node: self.node.clone(), incarnation: self.incarnation, id }
    }
}

fn handle_datagram<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    mut datagram: Datagram,
    from: SocketAddr,
) {
    if datagram.node == core.settings.node {
        return;
    }
    let now = core.now();
    let arrival = core.peer_states().record(now, &datagram);
    match arrival {
        Arrival::Current => {}
        Arrival::Restarted => {
            log::info!(peer:% = datagram.node; "peer started anew");
            core.ledger().forget_node(&datagram.node);
            core.owner().forget_node(&datagram.node);
        }
        Arrival::Outdated => {
            log::info!(peer:% = datagram.node; "discarded a datagram of an earlier process");
            return;
        }
    }
    if datagram.recipient.is_some_and(|recipient| recipient != core.incarnation) {
        log::info!(peer:% = datagram.node, events = datagram.events.len();
            "discarded replies to an earlier process of this node");
        datagram.events.clear();
    }
    handle_operator_revision(core, &datagram.node, datagram.operator_revision);
    // With address translation the source differs from the address that the node receives at.
    let from = core.peer_address(&datagram.node).unwrap_or(from);
    let mut origins = take_origins(&mut datagram.events);
    let sender = Sender { node: &datagram.node, incarnation: datagram.incarnation, address: from };
    for event in datagram.events {
        match event {
            Event::Request(id, request) => {
                let requester = Requester { ticket: sender.ticket(id), address: from };
                let origin = origins.remove(&id).unwrap_or_default();
                owner::handle_request(core, requester, request, origin);
            }
            event => handle_event(core, now, &sender, event),
        }
    }
}

/// Takes the origins of placement requests out of the events of a datagram, where they follow the
/// requests.
fn take_origins(events: &mut Vec<Event>) -> HashMap<AllocationId, Origin> {
    let origins = events.extract_if(.., |event| matches!(event, Event::Origin(..)));
    let pair = |event| match event {
        Event::Origin(id, origin) => Some((id, origin)),
        _ => None,
    };
    origins.filter_map(pair).collect()
}

fn handle_event<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    now: Instant,
    sender: &Sender<'_>,
    event: Event,
) {
    let &Sender { node, incarnation, address: from } = sender;
    match event {
        Event::Member(message) => {
            let out = core.membership().receive(now, node, from, message);
            core.send_membership(out);
        }
        // Handled together, before the other events.
        Event::Request(..) | Event::Origin(..) => {}
        Event::Answer(id, answer) => core.deliver_answer(id, answer),
        Event::Planned(id, start) => core.deliver_answer(id, Answer::Planned(start)),
        Event::Placed(id, allocation) => core.ledger().record_peer(now, node, id, allocation),
        Event::FirstToken(id) => {
            core.ledger().begin_peer_decode(now, node, id);
            core.queue_notify.notify_one();
        }
        Event::Ended(id) => {
            core.ledger().finish_peer(now, node, id);
            core.owner().withdraw(now, &sender.ticket(id));
            core.queue_notify.notify_one();
        }
        Event::Outcome { target, served } => {
            core.record_outcome(now, target, served);
            core.ledger().learned_mut().note_outcome(Some(node), target, served);
        }
        Event::Down(target) => core.record_unreachable(now, target),
        Event::PrefillRefused(target) => core.ejection().record_chunk_refusal(now, target),
        // It identifies no target, so this node may have counted the same death already.
        Event::PoisonSuspect { .. } => log::debug!(peer:% = node; "suspect of an older version"),
        Event::RateLimit(stated) => rate_limit::handle_statement(core, now, node, &stated),
        Event::Leaving(stated) => core.handle_leaving(now, node, &stated),
        Event::Cold(stated) => core.handle_cold(now, node, &stated),
        Event::Rest(target, rest) => core.note_rest(target, rest, node),
        Event::PartCrash(stated) => {
            core.handle_crash(now, from, stated, None, Certainty::Likely);
        }
        Event::Crash(stated, whole) => {
            core.handle_crash(now, from, stated, Some(whole), Certainty::Likely);
        }
        Event::PossibleCrash(stated, whole) => {
            core.handle_crash(now, from, stated, Some(whole), Certainty::Possible);
        }
        Event::WholeAnswer(whole, request, age) => {
            core.handle_answer(now, from, (whole, request, age));
        }
        Event::PartsSound(parts, age) => core.handle_sound_parts(now, from, parts, age),
        Event::PartProposal(stated) => core.handle_part_proposal(now, from, stated),
        Event::PartQuarantine(stated) => core.handle_part_quarantine(now, node, from, stated),
        Event::TrialRequest(stated) => core.handle_trial_request(now, from, incarnation, stated),
        Event::TrialAnswer(whole, is_resumed, answer) => {
            core.deliver_trial_answer(whole, is_resumed, answer);
        }
        Event::TrialPassed(whole, age) => core.note_passed(whole, before(now, age)),
        Event::TrialEnded(whole, attempt) => core.trials().end(whole, attempt),
        Event::Load(stated) => core.handle_load(now, &stated),
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
        store_watch::check_watchers(&core);
        core.ledger().expire(now);
        capacity::maintain(&core, now);
        core.metrics.set_rate_limited_targets(core.ledger().rate_limits().count_limited(now));
        core.resting().expire(now);
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
        let out = core.membership().push_updates(core.now());
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

/// Sends this node's allocations, and the request rates that targets state, to the nodes that place
/// requests in their groups: periodically, and immediately to a node that has just become
/// responsible.
async fn announce_allocations<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    let mut announced: HashMap<id::Node, Instant> = HashMap::new();
    let mut rates = rate_limit::Announcer::default();
    while core.stage() != Stage::Closed {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = core.now();
        rates.announce(&core, now);
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
        let mut by_recipient: HashMap<_, Vec<Event>> = HashMap::new();
        for Outgoing { to, recipient, event } in batch.drain(..) {
            by_recipient.entry((to, recipient)).or_default().extend(event);
        }
        for ((to, recipient), events) in by_recipient {
            send_events(&core, &socket, to, recipient, events).await;
        }
    }
}

/// Sends events to a peer, in as many datagrams as needed.
async fn send_events<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    socket: &UdpSocket,
    to: SocketAddr,
    recipient: Option<id::Incarnation>,
    events: Vec<Event>,
) {
    let mut remaining = events;
    loop {
        let (operator_revision, targets_revision) = core.revisions();
        let (node, incarnation) = (core.settings.node.clone(), core.incarnation);
        let events = std::mem::take(&mut remaining);
        let content = events.first().map_or(Content::Revision, Event::content);
        let datagram = Datagram {
            node,
            incarnation,
            operator_revision,
            targets_revision,
            events,
            has_extensions: true,
            recipient,
        };
        let (bytes, left) = match datagram::encode(datagram) {
            Ok(encoded) => encoded,
            Err(error) => {
                log::error!(to:%; "can't encode a datagram: {error}");
                return;
            }
        };
        core.metrics.count_datagram(content, size::Bytes(bytes.len() as u64));
        // A datagram that can't be sent is treated as lost.
        let _ = socket.send_to(&bytes, to).await;
        if left.is_empty() {
            return;
        }
        remaining = left;
    }
}
