//! Changed member records that a node still has to disseminate.

use crate::member::Record;
use crate::roster::Roster;
use hickory_unit::id;
use std::time::{Duration, Instant};

/// Maximum number of records per message, so that a datagram fits any link unfragmented.
pub(crate) const MAX_RECORDS: usize = 12;

/// Number of times that a record is sent, in addition to the logarithm of the number of nodes.
const BASE_SENDS: u32 = 8;

/// Number of sends that are skipped for each peer found to have the same table.
const EQUAL_DIGEST_SENDS: u32 = 3;

/// Minimum interval between pushes while there are more unsent updates than a message holds. In a
/// large fleet, pushes of every batch would fill the links when many nodes start or die together.
const PUSH_INTERVAL_IN_FLOOD: Duration = Duration::from_millis(100);

/// A changed record that is still to be sent, by the name of its node.
#[derive(Clone, Debug)]
struct Update {
    node: id::Node,
    sends_left: u32,
    /// Whether it was sent at least once.
    is_sent: bool,
}

/// Updates to send, each a limited number of times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Rumors {
    updates: Vec<Update>,
    last_push: Option<Instant>,
}

impl Rumors {
    /// Adds the record of a node, in a fleet of `nodes` nodes.
    pub(crate) fn add(&mut self, node: id::Node, nodes: usize) {
        self.updates.retain(|update| update.node != node);
        let logarithm = u32::BITS - (nodes as u32).leading_zeros();
        self.updates.push(Update { node, sends_left: BASE_SENDS + logarithm, is_sent: false });
    }

    /// Returns whether there is nothing to send.
    pub(crate) fn is_empty(&self) -> bool {
        self.updates.is_empty()
    }

    /// Returns whether there are updates that were not sent to any node yet.
    pub(crate) fn has_unsent(&self) -> bool {
        self.updates.iter().any(|update| !update.is_sent)
    }

    /// Starts a push if there are unsent updates and it is time for one.
    pub(crate) fn start_push(&mut self, now: Instant) -> bool {
        let interval = match self.updates.iter().filter(|update| !update.is_sent).count() {
            0 => return false,
            1..=MAX_RECORDS => Duration::ZERO,
            _ => PUSH_INTERVAL_IN_FLOOD,
        };
        if self.last_push.is_some_and(|last| now.saturating_duration_since(last) < interval) {
            return false;
        }
        self.last_push = Some(now);
        true
    }

    /// Returns the records that were sent the fewest times and counts them as sent.
    pub(crate) fn take(&mut self, roster: &Roster) -> Vec<Record> {
        self.updates.sort_by_key(|update| std::cmp::Reverse(update.sends_left));
        let mut records = Vec::new();
        for update in self.updates.iter_mut().take(MAX_RECORDS) {
            records.extend(roster.get(&update.node).cloned());
            update.sends_left -= 1;
            update.is_sent = true;
        }
        self.updates.retain(|update| update.sends_left > 0);
        records
    }

    /// Records that a peer has the same table: it needs no updates, and neither do many other
    /// nodes.
    pub(crate) fn record_equal_digest(&mut self) {
        self.updates.iter_mut().for_each(|update| {
            update.sends_left = update.sends_left.saturating_sub(EQUAL_DIGEST_SENDS)
        });
        self.updates.retain(|update| update.sends_left > 0);
    }
}
