//! How a node reaches the others: those who decide on a group, and all.

use crate::core::Core;
use crate::dialect::Dialect;
use crate::gossip::{Event, Outgoing};
use crate::group::{self, Group};
use crate::ledger::{Allocation, Number};
use crate::placement::Answer;
use crate::view::View;
use hickory_policy::gossip;
use hickory_policy::member::{Contact, Record};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use log::Level;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};

/// Nodes that are told what is placed in a group: its owner and its successor.
const TOLD: usize = 2;

/// How long a node runs until it was told all that runs.
const SETTLED_AFTER: Duration = Duration::from_millis(1_500);

/// A tick that comes so late was held up: what was told before is old.
const HELD_UP: Duration = Duration::from_secs(1);

/// Silences in a row after which an owner is passed over.
const SILENCES: u32 = 2;

/// How long an owner is passed over.
const PASSED_OVER: Duration = Duration::from_secs(1);

/// How long a node has been running without a break.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Running {
    pub(crate) since: Instant,
    pub(crate) ticked: Instant,
}

/// Asks that an owner left unanswered.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Silence {
    count: u32,
    last: Instant,
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    /// Nodes that are not known to be dead, and this one.
    pub(crate) fn count_nodes(&self) -> usize {
        self.membership().present().count() + 1
    }

    /// Other nodes that are alive.
    pub(crate) fn count_peers(&self) -> usize {
        self.membership().alive().count()
    }

    /// Where callers may connect besides this node.
    pub(crate) fn callers(&self) -> Vec<SocketAddr> {
        let membership = self.membership();
        let ready = membership.alive().filter(|record| record.contact.is_ready);
        ready.map(|record| record.contact.caller_address).collect()
    }

    /// Notes that this node runs; one that was held up was told nothing meanwhile.
    pub(crate) fn note_tick(&self, now: Instant) {
        let mut running = self.running();
        if now.saturating_duration_since(running.ticked) > HELD_UP {
            running.since = now;
        }
        running.ticked = now;
    }

    /// Whether this node has been told what runs where.
    pub(crate) fn is_settled(&self) -> bool {
        self.now().saturating_duration_since(self.running().since) >= SETTLED_AFTER
    }

    /// Tells the others what this node says of itself, where that changed.
    pub(crate) fn update_contact(&self) {
        let (ready, settled, store_away) =
            (self.is_ready(), self.is_settled(), self.is_store_away());
        let mut membership = self.membership();
        let contact = membership.own_record().contact.clone();
        membership.set_contact(Contact {
            is_ready: ready,
            is_synced: settled,
            is_store_unreachable: store_away,
            ..contact
        });
        drop(membership);
        self.note_members();
    }

    fn note_members(&self) {
        if self.membership().has_unsent_updates() {
            self.members_due.notify_one();
        }
    }

    /// Sends what the table of members wants sent.
    pub(crate) fn send_members(&self, out: Vec<gossip::Outgoing>) {
        for (to, message) in out {
            self.send(to, Event::Member(message));
        }
        self.note_members();
    }

    /// Sends an event to a node.
    pub(crate) fn send(&self, to: SocketAddr, event: Event) {
        self.post(Outgoing { to, event: Some(event) });
    }

    /// Tells a node the newest revisions that this one has.
    pub(crate) fn send_revisions(&self, to: SocketAddr) {
        self.post(Outgoing { to, event: None });
    }

    /// Tells all other nodes.
    pub(crate) fn send_to_all(&self, event: &Event) {
        let membership = self.membership();
        let peers: Vec<SocketAddr> = membership.present().map(|r| r.contact.peer_address).collect();
        drop(membership);
        peers.into_iter().for_each(|peer| self.send(peer, event.clone()));
    }

    /// Where a node receives datagrams.
    pub(crate) fn find_peer(&self, node: &id::Node) -> Option<SocketAddr> {
        self.membership().get(node).map(|record| record.contact.peer_address)
    }

    /// The nodes that decide on a group, the owner first.
    fn owners(&self, group: &Group) -> Vec<id::Node> {
        let membership = self.membership();
        let records = membership.alive().chain([membership.own_record()]);
        let nodes = records.map(|Record { node, contact, .. }| (node, contact));
        group::rank_owners(group, nodes).into_iter().cloned().collect()
    }

    fn owns(&self, group: &Group) -> bool {
        self.owners(group).first() == Some(&self.settings.node)
    }

    /// The groups that this node owns.
    pub(crate) fn owned_groups(&self) -> Vec<Group> {
        let view = self.view();
        let groups = view.targets.iter().flat_map(|(service, targets)| {
            let indexes = 0..group::count_groups(targets.len());
            indexes.map(|index| Group { service: service.clone(), index })
        });
        let mut owned: Vec<Group> = groups.filter(|group| self.owns(group)).collect();
        owned.sort_unstable();
        owned
    }

    /// Logs what changed of targets: each at the owner of its group, and everywhere
    /// for whoever looks into one node.
    pub(crate) fn log_changes(&self, view: &View) {
        let mut owned: HashMap<Group, bool> = HashMap::new();
        for (change, target) in &view.changes {
            let service = &target.entry.service;
            let groups = group::count_groups(view.targets_of(service).len());
            let index = group::find_group(target.tag, groups);
            let group = Group { service: service.clone(), index };
            let is_owned = *owned.entry(group).or_insert_with_key(|group| self.owns(group));
            let level = if is_owned { Level::Info } else { Level::Debug };
            log::log!(
                level,
                target_id = target.id.as_str(),
                service = service.as_str(),
                draining = target.entry.draining,
                cold_ms = target.entry.cold_left.as_millis() as u64;
                "{change}"
            );
        }
    }

    /// Other nodes that are told what is placed in a group.
    pub(crate) fn told_owners(&self, group: &Group) -> Vec<id::Node> {
        let mut told = self.owners(group);
        told.truncate(TOLD);
        let answering = self.answering_owners(group);
        for node in answering.into_iter().take(TOLD) {
            if !told.contains(&node) {
                told.push(node);
            }
        }
        told.retain(|node| *node != self.settings.node);
        told
    }

    /// The nodes that decide on a group, but for those that answered nothing lately.
    pub(crate) fn answering_owners(&self, group: &Group) -> Vec<id::Node> {
        let owners = self.owners(group);
        let (now, mut silences) = (self.now(), self.silences());
        silences.retain(|_, silence| now.saturating_duration_since(silence.last) < PASSED_OVER);
        let is_silent = |node: &id::Node| silences.get(node).is_some_and(|s| s.count >= SILENCES);
        owners.into_iter().filter(|node| !is_silent(node)).collect()
    }

    /// Notes that an owner did not answer in time.
    pub(crate) fn note_silent(&self, node: &id::Node) {
        let now = self.now();
        let mut silences = self.silences();
        let silence = silences.entry(node.clone()).or_insert(Silence { count: 0, last: now });
        silence.count += 1;
        silence.last = now;
        if silence.count == SILENCES {
            log::warn!(owner:% = node; "owner answers nothing");
        }
    }

    /// Notes that an owner answered.
    pub(crate) fn note_heard(&self, node: &id::Node) {
        self.silences().remove(node);
    }

    /// Tells those who decide on a group.
    pub(crate) fn tell_owners(&self, group: &Group, event: &Event) {
        for node in self.told_owners(group) {
            if let Some(to) = self.find_peer(&node) {
                self.send(to, event.clone());
            }
        }
    }

    /// What this node has placed, as it is told.
    pub(crate) fn tell_own(&self, now: Instant) -> Vec<(Number, Allocation)> {
        self.ledger().tell(now).collect()
    }

    /// The group that an allocation is in.
    pub(crate) fn group_of(&self, allocation: &Allocation) -> Group {
        let groups = group::count_groups(self.view().targets_of(&allocation.service).len());
        let index = group::find_group(allocation.first, groups);
        Group { service: allocation.service.clone(), index }
    }

    /// The answers to an ask, as they come.
    pub(crate) fn expect_answer(&self, number: Number) -> UnboundedReceiver<Answer> {
        let (sender, receiver) = unbounded_channel();
        self.expected().insert(number, sender);
        receiver
    }

    /// Expects no further answer.
    pub(crate) fn forget_answer(&self, number: Number) {
        self.expected().remove(&number);
    }

    /// Hands an answer to whoever waits for it.
    pub(crate) fn deliver(&self, number: Number, answer: Answer) {
        if let Some(sender) = self.expected().get(&number) {
            // Whoever waited has just gone.
            let _ = sender.send(answer);
        }
    }
}
