//! What nodes tell each other by datagrams.
//!
//! A datagram may be lost, so nothing hangs on a single one: allocations are told
//! again, asks are repeated, and who is alive is known by
//! [`hickory_policy::membership`]. What is too large for a datagram (the store's
//! items) is fetched from a peer that has it; see [`crate::fetch`].

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::group::Group;
use crate::ledger::{Allocation, Number};
use crate::owner::{self, Asker, Ticket};
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

/// Peers that are told at once of a newer revision.
const REVISION_FANOUT: usize = 4;

/// Between two such tellings.
const REVISION_EVERY: Duration = Duration::from_millis(50);

/// Nodes that have newer operators' data which a node tells others of: all hear of it
/// within some milliseconds, and of more than one that they can have it from.
const HOLDERS_TOLD: usize = 3;

/// Between two log lines about members.
const LOGGED_EVERY: Duration = Duration::from_secs(1);

/// How long news of members is gathered before it is pushed.
const GATHER: Duration = Duration::from_millis(10);

/// Between two tellings of all allocations.
const ALLOCATIONS_EVERY: Duration = Duration::from_millis(500);

/// How long a peer's revisions count after it was last heard.
const HEARD_FOR: Duration = Duration::from_secs(10);

/// The greatest datagram: what goes through all links unfragmented.
const DATAGRAM_MAX: usize = 1_200;

/// The receive buffer: the greatest datagram of a peer.
const RECEIVE: usize = 2_048;

/// Events that are sent together at most.
const BATCH: usize = 256;

/// One thing that a node tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum Event {
    /// Who is alive.
    Member(Message),
    /// A request for a place.
    Ask(Number, Request),
    /// The answer to it.
    Answer(Number, Answer),
    /// A request was placed, or still lasts.
    Placed(Number, Allocation),
    /// Its first token came.
    Writing(Number),
    /// It ended, or is no longer asked for.
    Ended(Number),
    /// A target served or failed a request.
    Outcome { target: Tag, served: bool },
    /// Nothing listens at a target.
    Down(Tag),
    /// A target refused to read a part of a prompt for another one.
    Shut(Tag),
    /// A request was running when a target died.
    Suspect { fingerprint: u64, deaths: u32 },
    /// A node has what operators wrote up to this revision.
    Holder { node: id::Node, operator: Revision },
}

/// An event and where it goes; none where only the sender's revisions are told.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) to: SocketAddr,
    pub(crate) event: Option<Event>,
}

/// What goes in one datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Datagram {
    node: id::Node,
    incarnation: id::Incarnation,
    /// The newest revision that the node has of what operators wrote.
    operator: Revision,
    /// The newest revision that it has of targets' entries.
    targets: Revision,
    events: Vec<Event>,
}

/// What a node's datagrams said last.
#[derive(Clone, Copy, Debug)]
struct Heard {
    incarnation: id::Incarnation,
    operator: Revision,
    targets: Revision,
    at: Instant,
}

/// What was heard of peers directly.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerStates {
    peers: HashMap<id::Node, Heard>,
    /// The newest revision of operators' data that others have and this node hasn't.
    newest: Revision,
    /// Nodes that are known to have it, the first that were told of.
    holders: Vec<id::Node>,
}

/// What is followed of the store's items.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Part {
    /// What operators write.
    Operator,
    /// Targets' entries.
    Targets,
}

impl PeerStates {
    /// Takes what a datagram says; whether its node started anew.
    fn take(&mut self, now: Instant, datagram: &Datagram) -> bool {
        let heard = Heard {
            incarnation: datagram.incarnation,
            operator: datagram.operator,
            targets: datagram.targets,
            at: now,
        };
        let before = self.peers.insert(datagram.node.clone(), heard);
        before.is_some_and(|before| before.incarnation != datagram.incarnation)
    }

    fn expire(&mut self, now: Instant) {
        self.peers.retain(|_, heard| now.saturating_duration_since(heard.at) < HEARD_FOR);
    }

    /// Notes that a node has a revision of operators' data; whether others should
    /// be told of it by a node that has `own`.
    fn note_holder(&mut self, node: &id::Node, revision: Revision, own: Revision) -> bool {
        if revision <= own || revision < self.newest {
            return false;
        }
        if revision > self.newest {
            self.newest = revision;
            self.holders.clear();
        }
        let is_news = self.holders.len() < HOLDERS_TOLD && !self.holders.contains(node);
        if is_news {
            self.holders.push(node.clone());
        }
        is_news
    }

    /// Peers that have a revision of a part after this one.
    pub(crate) fn ahead(&self, part: Part, after: Revision) -> Vec<id::Node> {
        let revision = |heard: &Heard| match part {
            Part::Operator => heard.operator,
            Part::Targets => heard.targets,
        };
        let heard = self.peers.iter().filter(|(_, heard)| revision(heard) > after);
        let mut ahead: Vec<id::Node> = heard.map(|(node, _)| node.clone()).collect();
        if part == Part::Operator && self.newest > after {
            let told = self.holders.iter().filter(|node| !ahead.contains(*node));
            let told: Vec<id::Node> = told.cloned().collect();
            ahead.extend(told);
        }
        ahead
    }
}

/// Starts sending and receiving.
pub(crate) fn spawn<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    socket: Arc<UdpSocket>,
) {
    tokio::spawn(receive(core.clone(), socket.clone()));
    if let Some(outgoing) = core.take_unsent() {
        tokio::spawn(send_all(core.clone(), socket, outgoing));
    }
    tokio::spawn(keep_members(core.clone()));
    tokio::spawn(push_news(core.clone()));
    tokio::spawn(tell_revisions(core.clone()));
    tokio::spawn(tell_allocations(core.clone()));
    tokio::spawn(owner::run(core.clone()));
}

async fn receive<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; RECEIVE];
    loop {
        // An error is the echo of a datagram to a peer that is gone.
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        match postcard::from_bytes::<Datagram>(&buffer[..length]) {
            Ok(datagram) => take(&core, datagram, from),
            Err(error) => log::warn!(from:%; "datagram can't be read: {error}"),
        }
    }
}

fn take<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    datagram: Datagram,
    from: SocketAddr,
) {
    if datagram.node == core.settings.node {
        return;
    }
    let now = core.now();
    if core.peer_states().take(now, &datagram) {
        log::info!(peer:% = datagram.node; "peer started anew");
        core.ledger().forget(&datagram.node);
        core.owner().forget(&datagram.node);
    }
    take_holder(core, &datagram.node, datagram.operator);
    // What stands before a host's address may send from another one.
    let from = core.find_peer(&datagram.node).unwrap_or(from);
    for event in datagram.events {
        take_event(core, now, &datagram.node, from, event);
    }
}

fn take_event<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    now: Instant,
    node: &id::Node,
    from: SocketAddr,
    event: Event,
) {
    let ticket = |number| Ticket { node: node.clone(), number };
    match event {
        Event::Member(message) => {
            let out = core.membership().receive(now, node, from, message);
            core.send_members(out);
        }
        Event::Ask(number, request) => {
            owner::take_ask(core, Asker { ticket: ticket(number), address: from }, request);
        }
        Event::Answer(number, answer) => core.deliver(number, answer),
        Event::Placed(number, allocation) => core.ledger().take(now, node, number, allocation),
        Event::Writing(number) => {
            core.ledger().take_writing(now, node, number);
            core.queue_due.notify_one();
        }
        Event::Ended(number) => {
            core.ledger().take_end(now, node, number);
            core.owner().withdraw(now, &ticket(number));
            core.queue_due.notify_one();
        }
        Event::Outcome { target, served } => core.ejection().record_outcome(now, target, served),
        Event::Down(target) => core.ejection().record_unreachable(now, target),
        Event::Shut(target) => core.ejection().record_part_refusal(now, target),
        Event::Suspect { fingerprint, deaths } => {
            let suspect = Suspect { fingerprint, deaths, age: Duration::ZERO };
            core.suspects().merge(now, [suspect]);
        }
        Event::Holder { node, operator } => take_holder(core, &node, operator),
    }
}

/// Takes the word that a node has newer operators' data, and passes it on.
fn take_holder<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    node: &id::Node,
    operator: Revision,
) {
    core.hear(operator);
    let (own, _) = core.revisions();
    if core.peer_states().note_holder(node, operator, own) {
        let peers = core.membership().pick_alive(REVISION_FANOUT);
        for peer in peers {
            core.send(peer, Event::Holder { node: node.clone(), operator });
        }
    }
}

/// Keeps the table of members, and forgets what is over.
async fn keep_members<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    let mut told = Told::default();
    while core.stage() != Stage::Closed {
        let now = core.now();
        core.note_tick(now);
        core.update_contact();
        let out = core.membership().tick(now);
        core.send_members(out);
        core.ledger().expire(now);
        core.owner().expire(now);
        core.peer_states().expire(now);
        told.log(&core, now);
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

/// What the log was last told of members and groups.
#[derive(Debug, Default)]
struct Told {
    at: Option<Instant>,
    count: StateCounts,
    owned: Vec<Group>,
}

impl Told {
    /// Logs what changed, at most once in a while: many nodes come and go at once.
    fn log<D: Dialect, S: Store, C: Clock>(&mut self, core: &Core<D, S, C>, now: Instant) {
        if self.at.is_some_and(|at| now.saturating_duration_since(at) < LOGGED_EVERY) {
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
            core.metrics.owned(owned.len());
            self.owned = owned;
        }
    }
}

async fn push_news<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        core.members_due.notified().await;
        tokio::time::sleep(GATHER).await;
        let out = core.membership().push_updates();
        core.send_members(out);
    }
}

/// Tells a few peers at once that this node has newer items; they fetch them and
/// tell others in turn.
async fn tell_revisions<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        core.revisions_due.notified().await;
        let peers = core.membership().pick_alive(REVISION_FANOUT);
        peers.into_iter().for_each(|peer| core.send_revisions(peer));
        tokio::time::sleep(REVISION_EVERY).await;
    }
}

/// Tells what this node has placed to those who decide: now and then, and at once
/// where somebody else decides than before.
async fn tell_allocations<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    let mut told: HashMap<id::Node, Instant> = HashMap::new();
    while core.stage() != Stage::Closed {
        tokio::time::sleep(TICK_INTERVAL).await;
        let now = core.now();
        let mut by_node: HashMap<id::Node, Vec<Event>> = HashMap::new();
        for (number, allocation) in core.tell_own(now) {
            let group = core.group_of(&allocation);
            for node in core.told_owners(&group) {
                let event = Event::Placed(number, allocation.clone());
                by_node.entry(node).or_default().push(event);
            }
        }
        told.retain(|node, at| by_node.contains_key(node) && *at <= now);
        for (node, events) in by_node {
            let last = told.get(&node).copied();
            if last.is_some_and(|at| now.saturating_duration_since(at) < ALLOCATIONS_EVERY) {
                continue;
            }
            let Some(to) = core.find_peer(&node) else { continue };
            events.into_iter().for_each(|event| core.send(to, event));
            told.insert(node, now);
        }
    }
}

async fn send_all<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    socket: Arc<UdpSocket>,
    mut outgoing: UnboundedReceiver<Outgoing>,
) {
    let mut batch = Vec::new();
    while outgoing.recv_many(&mut batch, BATCH).await > 0 {
        let mut by_peer: HashMap<SocketAddr, Vec<Event>> = HashMap::new();
        for outgoing in batch.drain(..) {
            by_peer.entry(outgoing.to).or_default().extend(outgoing.event);
        }
        for (to, events) in by_peer {
            send_to(&core, &socket, to, events).await;
        }
    }
}

/// Sends events to a peer, in as many datagrams as they take.
async fn send_to<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    socket: &UdpSocket,
    to: SocketAddr,
    events: Vec<Event>,
) {
    let mut rest = events;
    loop {
        let (datagram, left) = encode(core, rest);
        core.metrics.datagram(hickory_unit::size::Bytes(datagram.len() as u64));
        // A datagram that can't be sent is like one that is lost.
        let _ = socket.send_to(&datagram, to).await;
        if left.is_empty() {
            return;
        }
        rest = left;
    }
}

/// A datagram with as many of the events as it holds, and the others.
fn encode<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    mut events: Vec<Event>,
) -> (Vec<u8>, Vec<Event>) {
    let mut left = Vec::new();
    loop {
        let (operator, targets) = core.revisions();
        let (node, incarnation) = (core.settings.node.clone(), core.incarnation);
        let datagram = Datagram { node, incarnation, operator, targets, events };
        let bytes = postcard::to_stdvec(&datagram).unwrap_or_else(|error| {
            log::error!("datagram can't be written: {error}");
            Vec::new()
        });
        events = datagram.events;
        if bytes.len() <= DATAGRAM_MAX || events.len() <= 1 {
            return (bytes, left);
        }
        let mut rest = events.split_off(events.len().div_ceil(2));
        rest.append(&mut left);
        left = rest;
    }
}
