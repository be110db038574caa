//! The other nodes as this node knows them: their addresses, and which of them own a group.

use crate::core::Core;
use crate::datagram::{Event, Outgoing};
use crate::dialect::Dialect;
use crate::group::{self, Group};
use crate::ledger::{Allocation, AllocationId};
use crate::placement::Answer;
use crate::view::View;
use hickory_policy::directory::{self, Candidate};
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

/// The number of a group's first nodes by rank that receive its allocations: the owner and
/// its successor.
const ALLOCATION_OWNERS: usize = 2;

/// How long a node must run without interruption before it has received all running
/// allocations.
const SETTLING_TIME: Duration = Duration::from_millis(1_500);

/// A tick that is later than this means that the process was suspended, so its knowledge of
/// allocations is stale.
const MAX_TICK_DELAY: Duration = Duration::from_secs(1);

/// The number of peers that new knowledge is passed on to.
const PASS_ON_FANOUT: usize = 4;

/// The number of consecutive timeouts after which an owner is skipped.
const MAX_OWNER_TIMEOUTS: u32 = 2;

/// How long an owner is skipped after its last timeout.
const OWNER_BACKOFF: Duration = Duration::from_secs(1);

/// How long a node has been running without interruption.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Uptime {
    pub(crate) since: Instant,
    pub(crate) last_tick: Instant,
}

/// Consecutive timeouts of requests to an owner.
#[derive(Clone, Copy, Debug)]
pub(crate) struct OwnerTimeouts {
    count: u32,
    last_at: Instant,
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    /// Returns the number of nodes that are not known to be dead, including this one.
    pub(crate) fn count_nodes(&self) -> usize {
        self.membership().present().count() + 1
    }

    /// Returns the number of other nodes that are alive.
    pub(crate) fn count_peers(&self) -> usize {
        self.membership().alive().count()
    }

    /// Returns the addresses of at most `count` nodes that accept callers.
    pub(crate) fn caller_addresses(&self, count: usize) -> Vec<SocketAddr> {
        let is_own_ready = self.is_ready();
        let membership = self.membership();
        let peers = membership.alive().filter(|record| record.contact.is_ready);
        let own = is_own_ready.then(|| membership.own_record());
        let candidates = peers.chain(own).map(|record| Candidate {
            node: &record.node,
            address: record.contact.caller_address,
            capacity: record.contact.capacity,
        });
        directory::choose(&self.settings.node, candidates, count)
    }

    /// Records a tick. After an interruption the uptime starts again, because the node
    /// missed the allocations that were sent meanwhile.
    pub(crate) fn note_tick(&self, now: Instant) {
        let mut uptime = self.uptime();
        if now.saturating_duration_since(uptime.last_tick) > MAX_TICK_DELAY {
            uptime.since = now;
        }
        uptime.last_tick = now;
    }

    /// Returns whether this node has received all running allocations.
    pub(crate) fn is_settled(&self) -> bool {
        self.now().saturating_duration_since(self.uptime().since) >= SETTLING_TIME
    }

    /// Updates this node's own contact and spreads it if it changed.
    pub(crate) fn update_contact(&self) {
        let (is_ready, is_synced, is_store_unreachable) =
            (self.is_ready(), self.is_settled(), self.is_store_unreachable());
        let mut membership = self.membership();
        let contact = membership.own_record().contact.clone();
        membership.set_contact(Contact { is_ready, is_synced, is_store_unreachable, ..contact });
        drop(membership);
        self.notify_member_updates();
    }

    fn notify_member_updates(&self) {
        if self.membership().has_unsent_updates() {
            self.membership_notify.notify_one();
        }
    }

    /// Sends outgoing messages of the membership protocol.
    pub(crate) fn send_membership(&self, out: Vec<gossip::Outgoing>) {
        for (to, message) in out {
            self.send(to, Event::Member(message));
        }
        self.notify_member_updates();
    }

    /// Sends an event to a node.
    pub(crate) fn send(&self, to: SocketAddr, event: Event) {
        self.enqueue(Outgoing { to, recipient: None, event: Some(event) });
    }

    /// Answers a request of one incarnation of a node. Another one discards the answer.
    pub(crate) fn reply(&self, to: SocketAddr, recipient: id::Incarnation, event: Event) {
        self.enqueue(Outgoing { to, recipient: Some(recipient), event: Some(event) });
    }

    /// Sends a node the newest revisions that this node has.
    pub(crate) fn send_revisions(&self, to: SocketAddr) {
        self.enqueue(Outgoing { to, recipient: None, event: None });
    }

    /// Passes an event on to a few peers. Each of them does the same if the event is new to it.
    pub(crate) fn pass_on(&self, event: &Event) {
        let peers = self.membership().pick_alive(PASS_ON_FANOUT);
        peers.into_iter().for_each(|peer| self.send(peer, event.clone()));
    }

    /// Returns the address at which a node receives datagrams.
    pub(crate) fn peer_address(&self, node: &id::Node) -> Option<SocketAddr> {
        self.membership().get(node).map(|record| record.contact.peer_address)
    }

    /// Returns whether a node's version counts the requests to rate-limited targets.
    pub(crate) fn knows_rate_limits(&self, node: &id::Node) -> bool {
        *node == self.settings.node || self.peer_states().has_extensions(node)
    }

    /// Returns the incarnation of a node, and the address at which it receives datagrams.
    pub(crate) fn peer_incarnation(
        &self,
        node: &id::Node,
    ) -> Option<(id::Incarnation, SocketAddr)> {
        let membership = self.membership();
        membership.get(node).map(|record| (record.incarnation, record.contact.peer_address))
    }

    /// Returns the nodes that place requests in a group, the owner first.
    fn owners(&self, group: &Group) -> Vec<id::Node> {
        let membership = self.membership();
        let records = membership.alive().chain([membership.own_record()]);
        let nodes = records.map(|Record { node, contact, .. }| (node, contact));
        group::rank_owners(group, nodes).into_iter().cloned().collect()
    }

    pub(crate) fn is_owner(&self, group: &Group) -> bool {
        self.owners(group).first() == Some(&self.settings.node)
    }

    /// Returns the groups that this node owns.
    pub(crate) fn owned_groups(&self) -> Vec<Group> {
        let view = self.view();
        let groups = view.targets.iter().flat_map(|(service, targets)| {
            let indexes = 0..group::count_groups(targets.len());
            indexes.map(|index| Group { service: service.clone(), index })
        });
        let mut owned: Vec<Group> = groups.filter(|group| self.is_owner(group)).collect();
        owned.sort_unstable();
        owned
    }

    /// Logs the changes of targets: at info level on the owner of the target's group, and
    /// at debug level on all other nodes, for operators who examine a single node.
    pub(crate) fn log_target_changes(&self, view: &View) {
        let mut owned: HashMap<Group, bool> = HashMap::new();
        for (change, target) in &view.changes {
            let service = &target.entry.service;
            let group = view.group_of(service, target.tag);
            let is_owned = *owned.entry(group).or_insert_with_key(|group| self.is_owner(group));
            let level = if is_owned { Level::Info } else { Level::Debug };
            log::log!(
                level,
                target_id = target.id.as_str(),
                service = service.as_str(),
                draining = target.entry.is_draining,
                cold_ms = target.entry.cold_time_left.as_millis() as u64;
                "{change}"
            );
        }
    }

    /// Returns the other nodes that receive the allocations of a group.
    pub(crate) fn allocation_recipients(&self, group: &Group) -> Vec<id::Node> {
        let mut recipients = self.owners(group);
        recipients.truncate(ALLOCATION_OWNERS);
        let responsive = self.responsive_owners(group);
        for node in responsive.into_iter().take(ALLOCATION_OWNERS) {
            if !recipients.contains(&node) {
                recipients.push(node);
            }
        }
        recipients.retain(|node| *node != self.settings.node);
        recipients
    }

    /// Returns the nodes that place requests in a group, without those that are skipped
    /// after timeouts.
    pub(crate) fn responsive_owners(&self, group: &Group) -> Vec<id::Node> {
        let owners = self.owners(group);
        let (now, mut owner_timeouts) = (self.now(), self.owner_timeouts());
        owner_timeouts
            .retain(|_, timeouts| now.saturating_duration_since(timeouts.last_at) < OWNER_BACKOFF);
        let is_unresponsive = |node: &id::Node| {
            owner_timeouts.get(node).is_some_and(|timeouts| timeouts.count >= MAX_OWNER_TIMEOUTS)
        };
        owners.into_iter().filter(|node| !is_unresponsive(node)).collect()
    }

    /// Records that an owner did not answer in time.
    pub(crate) fn note_owner_timeout(&self, node: &id::Node) {
        let now = self.now();
        let mut owner_timeouts = self.owner_timeouts();
        let timeouts =
            owner_timeouts.entry(node.clone()).or_insert(OwnerTimeouts { count: 0, last_at: now });
        timeouts.count += 1;
        timeouts.last_at = now;
        if timeouts.count == MAX_OWNER_TIMEOUTS {
            log::warn!(owner:% = node; "owner answers nothing");
        }
    }

    /// Records that an owner answered.
    pub(crate) fn note_owner_answered(&self, node: &id::Node) {
        self.owner_timeouts().remove(node);
    }

    /// Sends an event to the nodes that place requests in a group.
    pub(crate) fn send_to_owners(&self, group: &Group, event: &Event) {
        for node in self.allocation_recipients(group) {
            if let Some(to) = self.peer_address(&node) {
                self.send(to, event.clone());
            }
        }
    }

    /// Returns the allocations of this node, in the form in which they are sent.
    pub(crate) fn own_allocations(&self, now: Instant) -> Vec<(AllocationId, Allocation)> {
        self.ledger().own_allocations(now).collect()
    }

    /// Returns the group that an allocation belongs to.
    pub(crate) fn group_of(&self, allocation: &Allocation) -> Group {
        self.view().group_of(&allocation.service, allocation.target)
    }

    /// Returns a channel that receives the answers to a placement request.
    pub(crate) fn expect_answer(&self, id: AllocationId) -> UnboundedReceiver<Answer> {
        let (sender, receiver) = unbounded_channel();
        self.pending_answers().insert(id, sender);
        receiver
    }

    /// Stops expecting answers to a placement request.
    pub(crate) fn forget_answer(&self, id: AllocationId) {
        self.pending_answers().remove(&id);
    }

    /// Delivers an answer to the task that waits for it.
    pub(crate) fn deliver_answer(&self, id: AllocationId, answer: Answer) {
        if let Some(sender) = self.pending_answers().get(&id) {
            // The receiver may have been dropped in the meantime.
            let _ = sender.send(answer);
        }
    }
}
