//! Targets that state in their answers that they leave.
//!
//! A node that receives such an answer sends the target nothing more, and passes the statement on
//! to a few peers, which pass it on in turn. Recent statements are repeated to random peers, so that
//! nodes that start, were cut off or become the owner of a group learn of them.

use crate::core::{Core, Stage};
use crate::datagram::Event;
use crate::dialect::Dialect;
use crate::view::{Change, Tag, Target, View};
use hickory_policy::leave::Statement;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use rand::seq::IteratorRandom;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval at which statements are repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum age of statements that are repeated.
const MAX_REPEATED_AGE: Duration = Duration::from_secs(60);

/// The maximum number of statements that are repeated together, which fit in a datagram.
const MAX_REPEATED: usize = 24;

/// The maximum age of a statement that is passed on at once. What a node that was away learns later
/// is known to the others.
const MAX_PASSED_ON_AGE: Duration = Duration::from_secs(1);

/// A target's statement that it leaves or doesn't, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StatedLeave {
    target: Tag,
    is_leaving: bool,
    /// The time since the request of the answer was sent.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    sent_age: Duration,
    /// The time since the answer was received.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    received_age: Duration,
}

impl StatedLeave {
    fn new(now: Instant, target: Tag, statement: Statement) -> Self {
        Self {
            target,
            is_leaving: statement.is_leaving,
            sent_age: now.saturating_duration_since(statement.sent_at),
            received_age: now.saturating_duration_since(statement.received_at),
        }
    }

    fn statement(&self, now: Instant) -> Statement {
        Statement {
            is_leaving: self.is_leaving,
            sent_at: now.checked_sub(self.sent_age).unwrap_or(now),
            received_at: now.checked_sub(self.received_age).unwrap_or(now),
        }
    }
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    /// Returns whether a target has stated that it leaves.
    pub(crate) fn is_leaving(&self, target: Tag) -> bool {
        self.leaving().is_leaving(self.now(), target)
    }

    /// Records what an answer of a target states. The relay that forwarded it is notified
    /// directly, since the target takes it for the node that got the answer.
    pub(crate) fn note_leaving(
        &self,
        target: &Target,
        sent_at: Instant,
        is_leaving: bool,
        relay: Option<SocketAddr>,
    ) {
        let now = self.now();
        let statement = Statement { is_leaving, sent_at, received_at: now };
        self.apply_leaving(now, target.tag, statement, &self.settings.node);
        let relay = relay.filter(|_| is_leaving);
        if let Some(relay) = relay.and_then(|relay| self.peer_with_sync_address(relay)) {
            self.send(relay, Event::Leaving(StatedLeave::new(now, target.tag, statement)));
        }
    }

    /// Applies a statement that a peer passed on.
    pub(crate) fn handle_leaving(&self, now: Instant, node: &id::Node, stated: &StatedLeave) {
        self.apply_leaving(now, stated.target, stated.statement(now), node);
    }

    /// Applies statements from before the end of an outage of the store to targets whose entries now
    /// show a newer incarnation.
    pub(crate) fn carry_over_leaving(&self, before: &View, after: &View) {
        let Some(store_down_until) = self.store_down_until() else { return };
        let now = self.now();
        let updated = after.changes.iter().filter(|(change, _)| *change == Change::Updated);
        for (_, target) in updated {
            let same_id = before.targets_of(&target.entry.service).iter();
            let mut same_id = same_id.filter(|known| known.id == target.id);
            let previous = same_id.find(|known| known.tag != target.tag);
            let Some(previous) = previous else { continue };
            if self.leaving().carry_over(now, previous.tag, target.tag, store_down_until) {
                log::info!(target_id = target.id.as_str(); "target stated that it leaves while the store was down");
            }
        }
    }

    fn apply_leaving(&self, now: Instant, tag: Tag, statement: Statement, told_by: &id::Node) {
        if !self.leaving().record(now, tag, statement) {
            return;
        }
        if let Some(target) = self.view().find_target(tag) {
            log::info!(
                target_id = target.id.as_str(),
                service = target.entry.service.as_str(),
                told_by = told_by.as_str();
                "{}", if statement.is_leaving { "target states that it leaves" } else { "target states no more that it leaves" }
            );
        }
        if now.saturating_duration_since(statement.received_at) < MAX_PASSED_ON_AGE {
            self.pass_on(&Event::Leaving(StatedLeave::new(now, tag, statement)));
        }
        self.queue_notify.notify_one();
    }

    fn repeat_leaving(&self, now: Instant) {
        let (repeated, count) = {
            let mut leaving = self.leaving();
            leaving.expire(now);
            let recent = leaving.recent(now, MAX_REPEATED_AGE);
            let recent = recent.chain(leaving.recent_withdrawals(now, MAX_REPEATED_AGE));
            (recent.choose_multiple(&mut rand::rng(), MAX_REPEATED), leaving.count())
        };
        self.metrics.set_leaving_targets(count);
        if repeated.is_empty() {
            return;
        }
        for peer in self.membership().pick_alive(1) {
            for (target, statement) in &repeated {
                self.send(peer, Event::Leaving(StatedLeave::new(now, *target, *statement)));
            }
        }
    }
}

/// Repeats statements, and forgets outdated ones.
pub(crate) async fn run<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        tokio::time::sleep(REPEAT_INTERVAL).await;
        core.repeat_leaving(core.now());
    }
}
