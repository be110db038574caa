//! What a node knows of its peers' progress, from the head of their datagrams.

use crate::datagram::Datagram;
use hickory_store::store::Revision;
use hickory_unit::id;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The maximum number of nodes that are announced to have a newer operator revision. All
/// nodes learn of it within milliseconds, and of more than one node to fetch it from.
const MAX_ANNOUNCED_HOLDERS: usize = 3;

/// How long a peer's revisions remain valid after its last datagram.
const PEER_STATE_TTL: Duration = Duration::from_secs(10);

/// The number of earlier incarnations of a peer that are remembered. Their datagrams may be delayed by
/// seconds, within which a process is seldom started more often.
const MAX_EARLIER_INCARNATIONS: usize = 8;

/// What a datagram tells about the process that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Arrival {
    /// It is the node's latest known process, or its first.
    Current,
    /// It is a new process of a node that was known.
    Restarted,
    /// A later process of the node is known.
    Outdated,
}

/// The state in a node's last datagram.
#[derive(Clone, Debug)]
struct PeerState {
    incarnation: id::Incarnation,
    /// The incarnations before it, the latest last. The clock may have been set back between them, so
    /// that their order doesn't follow from their values.
    earlier: Vec<id::Incarnation>,
    operator_revision: Revision,
    targets_revision: Revision,
    has_extensions: bool,
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
    /// Records a datagram's state, unless the datagram is outdated.
    pub(crate) fn record(&mut self, now: Instant, datagram: &Datagram) -> Arrival {
        let (mut arrival, mut earlier) = (Arrival::Current, Vec::new());
        if let Some(known) = self.peers.get(&datagram.node) {
            if known.earlier.contains(&datagram.incarnation) {
                return Arrival::Outdated;
            }
            earlier.clone_from(&known.earlier);
            if known.incarnation != datagram.incarnation {
                arrival = Arrival::Restarted;
                earlier.push(known.incarnation);
                let excess = earlier.len().saturating_sub(MAX_EARLIER_INCARNATIONS);
                earlier.drain(..excess);
            }
        }
        let state = PeerState {
            incarnation: datagram.incarnation,
            earlier,
            operator_revision: datagram.operator_revision,
            targets_revision: datagram.targets_revision,
            has_extensions: datagram.has_extensions,
            received_at: now,
        };
        self.peers.insert(datagram.node.clone(), state);
        arrival
    }

    /// Returns whether a node's version knows the extensions of datagrams.
    pub(crate) fn has_extensions(&self, node: &id::Node) -> bool {
        self.peers.get(node).is_some_and(|state| state.has_extensions)
    }

    pub(crate) fn expire(&mut self, now: Instant) {
        self.peers
            .retain(|_, state| now.saturating_duration_since(state.received_at) < PEER_STATE_TTL);
    }

    /// Records that a node has a revision of the operators' data. Returns whether a node
    /// whose own revision is `own_revision` should announce this to others.
    pub(crate) fn note_holder(
        &mut self,
        node: &id::Node,
        revision: Revision,
        own_revision: Revision,
    ) -> bool {
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
