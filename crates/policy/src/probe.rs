//! Outstanding probes of other nodes.

use crate::gossip::{Exchange, Message, Outgoing};
use hickory_unit::id;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time without an answer after which other nodes are asked to probe the node too.
const INDIRECT_AFTER: Duration = Duration::from_millis(200);

/// Time without an answer after which the node is suspected.
const SUSPECT_AFTER: Duration = Duration::from_millis(600);

/// A probe sent by this node for itself.
#[derive(Clone, Debug)]
struct Probe {
    sequence: u32,
    node: id::Node,
    sent: Instant,
    has_indirect_probes: bool,
    /// Whether only an answer matters, and silence raises no suspicion.
    is_check: bool,
}

/// A probe sent on behalf of another node.
#[derive(Clone, Copy, Debug)]
struct RelayedProbe {
    sequence: u32,
    requester_sequence: u32,
    requester: SocketAddr,
    sent: Instant,
}

/// Probes without an answer yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct Probes {
    own: Vec<Probe>,
    relayed: Vec<RelayedProbe>,
    sequence: u32,
}

impl Probes {
    /// Opens the probes with a random sequence number, so that a late ack to an earlier process of
    /// this node answers none of them.
    pub(crate) fn open(sequence: u32) -> Self {
        Self { sequence, ..Self::default() }
    }

    /// Registers a probe and returns its sequence number.
    pub(crate) fn begin(&mut self, now: Instant, node: id::Node) -> u32 {
        let sequence = self.next_sequence();
        let (has_indirect_probes, is_check) = (false, false);
        self.own.push(Probe { sequence, node, sent: now, has_indirect_probes, is_check });
        sequence
    }

    /// Registers a probe whose failure raises no suspicion, and returns its sequence number.
    pub(crate) fn begin_check(&mut self, now: Instant, node: id::Node) -> u32 {
        let sequence = self.next_sequence();
        let (has_indirect_probes, is_check) = (true, true);
        self.own.push(Probe { sequence, node, sent: now, has_indirect_probes, is_check });
        sequence
    }

    /// Returns whether a probe of a node is unanswered yet.
    pub(crate) fn is_probed(&self, node: &id::Node) -> bool {
        self.own.iter().any(|probe| !probe.is_check && probe.node == *node)
    }

    /// Registers a probe requested by another node and returns its sequence number.
    pub(crate) fn begin_relayed(
        &mut self,
        now: Instant,
        requester: SocketAddr,
        requester_sequence: u32,
    ) -> u32 {
        let sequence = self.next_sequence();
        self.relayed.push(RelayedProbe { sequence, requester_sequence, requester, sent: now });
        sequence
    }

    /// Removes an answered probe of this node, and returns the probed node.
    pub(crate) fn take_answered(&mut self, sequence: u32) -> Option<id::Node> {
        let answered = self.own.iter().position(|probe| probe.sequence == sequence)?;
        Some(self.own.swap_remove(answered).node)
    }

    /// Returns the ack to forward if another node requested the probe.
    pub(crate) fn forward_ack(&mut self, sequence: u32, digest: u64) -> Option<Outgoing> {
        let answered = self.relayed.iter().position(|relayed| relayed.sequence == sequence)?;
        let RelayedProbe { requester_sequence, requester, .. } = self.relayed.swap_remove(answered);
        let exchange = Exchange { sequence: requester_sequence, digest, records: Vec::new() };
        Some((requester, Message::Ack(exchange)))
    }

    /// Removes the probes that timed out and returns their nodes.
    pub(crate) fn take_failed(&mut self, now: Instant) -> Vec<id::Node> {
        let is_over = |sent| now.saturating_duration_since(sent) >= SUSPECT_AFTER;
        self.relayed.retain(|relayed| !is_over(relayed.sent));
        let failed = self.own.extract_if(.., |probe| is_over(probe.sent));
        failed.filter(|probe| !probe.is_check).map(|probe| probe.node).collect()
    }

    /// Returns the unanswered probes for which other nodes should be asked to probe too, once each.
    pub(crate) fn take_unanswered(&mut self, now: Instant) -> Vec<(u32, id::Node)> {
        let is_unanswered = |probe: &&mut Probe| {
            !probe.has_indirect_probes
                && now.saturating_duration_since(probe.sent) >= INDIRECT_AFTER
        };
        let silent = self.own.iter_mut().filter(is_unanswered);
        silent
            .map(|probe| {
                probe.has_indirect_probes = true;
                (probe.sequence, probe.node.clone())
            })
            .collect()
    }

    /// Discards this node's own probes.
    pub(crate) fn clear(&mut self) {
        self.own.clear();
    }

    fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.wrapping_add(1);
        self.sequence
    }
}
