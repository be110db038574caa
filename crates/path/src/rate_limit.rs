//! Exchange of the request rates that targets state in their answers.
//!
//! An answer reaches one node, which passes its statement on to the owner of the target's group and
//! to the owner's successor, where the requests of all nodes are counted. It repeats a recent
//! statement, since datagrams may be lost, and tells a new owner of all that it has received.

use crate::core::Core;
use crate::datagram::Event;
use crate::dialect::Dialect;
use crate::view::{Tag, Target};
use hickory_policy::rate_limit::{Change, Statement};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use hickory_unit::rate::RequestsPerSecond;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// The interval at which statements are repeated.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// How long a statement, and all statements to a new owner, are repeated.
const REPEAT_TIME: Duration = Duration::from_secs(2);

/// The maximum age of a statement that is sent to a new owner.
const MAX_STATEMENT_AGE: Duration = Duration::from_secs(60);

/// A statement of a target, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StatedRate {
    target: Tag,
    limit: Option<RequestsPerSecond>,
    /// The time since the request of the answer was sent.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    sent_age: Duration,
    /// The time since the answer was received.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    received_age: Duration,
}

impl StatedRate {
    fn new(now: Instant, target: Tag, statement: Statement) -> Self {
        Self {
            target,
            limit: statement.limit,
            sent_age: now.saturating_duration_since(statement.sent_at),
            received_age: now.saturating_duration_since(statement.received_at),
        }
    }

    fn statement(&self, now: Instant) -> Statement {
        Statement {
            limit: self.limit,
            sent_at: now.checked_sub(self.sent_age).unwrap_or(now),
            received_at: now.checked_sub(self.received_age).unwrap_or(now),
        }
    }
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    /// Records what an answer of a target states about its request rate, and passes it on to the
    /// owners of the target's group if it changes the limit.
    pub(crate) fn note_rate_limit(
        &self,
        target: &Target,
        sent_at: Instant,
        limit: Option<RequestsPerSecond>,
    ) {
        let now = self.now();
        let statement = Statement { limit, sent_at, received_at: now };
        let change = self.ledger().rate_limits_mut().record(target.tag, statement);
        let Some(change) = change else { return };
        log_rate_limit(target, change, &self.settings.node);
        let group = self.view().group_of(&target.entry.service, target.tag);
        self.send_to_owners(&group, &Event::RateLimit(StatedRate::new(now, target.tag, statement)));
    }
}

/// Applies a statement that a peer passed on.
pub(crate) fn handle_statement<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    now: Instant,
    node: &id::Node,
    stated: &StatedRate,
) {
    let change = core.ledger().rate_limits_mut().merge(stated.target, stated.statement(now));
    let Some(change) = change else { return };
    if let Some(target) = core.view().find_target(stated.target) {
        log_rate_limit(target, change, node);
    }
    core.queue_notify.notify_one();
}

/// Logs a change of a target's stated request rate, with the node that received the answer.
fn log_rate_limit(target: &Target, change: Change, told_by: &id::Node) {
    let rate = |limit: Option<RequestsPerSecond>| limit.map_or(f64::INFINITY, |limit| limit.0);
    log::info!(
        target_id = target.id.as_str(),
        limit_per_s = rate(change.after),
        before_per_s = rate(change.before),
        told_by = told_by.as_str();
        "{}", if change.after.is_some() { "target states a rate limit" } else { "target states no rate limit any more" }
    );
}

/// The owners that have received this node's statements.
#[derive(Debug, Default)]
pub(crate) struct Announcer {
    /// When each incarnation of a node became an owner that is told, and when it was last told.
    owners: HashMap<(id::Node, id::Incarnation), (Instant, Instant)>,
}

impl Announcer {
    /// Sends the statements that are due to the owners of the targets' groups.
    pub(crate) fn announce<D: Dialect, S: Store, C: Clock>(
        &mut self,
        core: &Core<D, S, C>,
        now: Instant,
    ) {
        let statements: Vec<(Tag, Statement)> =
            core.ledger().rate_limits().direct_statements(now, MAX_STATEMENT_AGE).collect();
        let view = core.view();
        let mut by_owner: HashMap<_, Vec<(Tag, Statement)>> = HashMap::new();
        for (tag, statement) in statements {
            let Some(target) = view.find_target(tag) else { continue };
            let group = view.group_of(&target.entry.service, tag);
            for owner in core.allocation_recipients(&group) {
                let Some((incarnation, to)) = core.peer_incarnation(&owner) else { continue };
                by_owner.entry((owner, incarnation, to)).or_default().push((tag, statement));
            }
        }
        let is_owner = |node: &id::Node, incarnation| {
            by_owner.keys().any(|(owner, known, _)| owner == node && *known == incarnation)
        };
        self.owners.retain(|(node, incarnation), _| is_owner(node, *incarnation));
        for ((owner, incarnation, to), statements) in by_owner {
            let owner = (owner, incarnation);
            let known = self.owners.get(&owner).copied();
            if known.is_some_and(|(_, told)| now.duration_since(told) < REPEAT_INTERVAL) {
                continue;
            }
            let since = known.map_or(now, |(since, _)| since);
            self.owners.insert(owner, (since, now));
            let is_new_owner = now.duration_since(since) < REPEAT_TIME;
            let is_due = |statement: &Statement| {
                is_new_owner || now.duration_since(statement.received_at) < REPEAT_TIME
            };
            for (tag, statement) in statements.into_iter().filter(|(_, s)| is_due(s)) {
                core.send(to, Event::RateLimit(StatedRate::new(now, tag, statement)));
            }
        }
    }
}
