//! Health checks of targets: while the store is down, and while a statement keeps requests away.
//!
//! That a target has turned cold is stated by its entry in the store and by its health responses
//! alone. While the store is down, the owner of a group therefore checks the targets of the group,
//! and tells its successor. A new owner checks them itself.
//!
//! A target that is kept from requests answers none, so that no answer can withdraw the statement
//! that keeps it. The owner of its group checks those that are said to leave, and each node those
//! that rest for it and those whose address a request has left in doubt.

use crate::core::{Core, Stage};
use crate::datagram::Event;
use crate::dialect::Dialect;
use crate::links;
use crate::statement::{self, Answer, Source};
use crate::store_watch;
use crate::view::{Tag, Target, View};
use bytes::Bytes;
use compact_str::CompactString;
use futures::StreamExt;
use hickory_client::Call;
use hickory_policy::cold::Statement;
use hickory_policy::recheck::Hold;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use http::Method;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The interval between two rounds of health checks.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// The maximum number of targets that a node checks in a round; the others have their turn in the
/// next ones.
const MAX_CHECKS_PER_ROUND: usize = 16;

/// The maximum number of targets that a node checks in a round because callers' requests left their
/// addresses in doubt.
const MAX_DOUBTFUL_PER_ROUND: usize = 2;

/// The timeout of a health check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// How long it is known when a target was checked, above the interval between two checks.
const CHECK_RETENTION: Duration = Duration::from_secs(60);

/// A target's statement that it is cold or isn't, as sent between nodes.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StatedCold {
    target: Tag,
    /// The time since the health check was sent.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    sent_age: Duration,
    /// The time for which the target stays cold.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    cold_time_left: Duration,
}

/// A target that is due for a health check.
struct Due {
    target: Arc<Target>,
    path: CompactString,
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    /// Returns whether a target is cold, by its entry or by what it stated in a health check.
    pub(crate) fn is_cold(&self, now: Instant, target: &Target) -> bool {
        target.is_cold(now) || self.cold().is_cold(now, target.tag)
    }

    /// Records what the answer to a health check states, and passes it on to the owners of the
    /// target's group.
    pub(crate) fn note_cold(&self, target: &Target, sent_at: Instant, cold_time_left: Duration) {
        let now = self.now();
        self.apply_cold(now, target.tag, sent_at, cold_time_left, &self.settings.node);
        if !cold_time_left.is_zero() {
            let sent_age = now.saturating_duration_since(sent_at);
            let stated = StatedCold { target: target.tag, sent_age, cold_time_left };
            let group = self.view().group_of(&target.entry.service, target.tag);
            self.send_to_owners(&group, &Event::Cold(stated));
        }
    }

    /// Applies a statement that a peer passed on.
    pub(crate) fn handle_cold(&self, now: Instant, node: &id::Node, stated: &StatedCold) {
        let sent_at = now.checked_sub(stated.sent_age).unwrap_or(now);
        self.apply_cold(now, stated.target, sent_at, stated.cold_time_left, node);
    }

    fn apply_cold(
        &self,
        now: Instant,
        tag: Tag,
        sent_at: Instant,
        time_left: Duration,
        told_by: &id::Node,
    ) {
        let cold_until = now.checked_add(time_left).unwrap_or(now);
        if !self.cold().record(now, tag, Statement { sent_at, cold_until }) {
            return;
        }
        if let Some(target) = self.view().find_target(tag) {
            log::info!(
                target_id = target.id.as_str(),
                service = target.entry.service.as_str(),
                cold_ms = time_left.as_millis() as u64,
                told_by = told_by.as_str();
                "{}", if time_left.is_zero() { "target states that it is warm" } else { "target states that it is cold" }
            );
        }
        self.queue_notify.notify_one();
    }

    /// Returns the targets to check now: of the groups that this node owns, those that may crash
    /// when they are cold and aren't known to be, the ones that were checked the longest time ago
    /// first.
    fn due_checks(&self, now: Instant, checked_at: &HashMap<Tag, Instant>) -> Vec<Due> {
        let view = self.view();
        let Some(configuration) = &view.configuration else { return Vec::new() };
        let mut due = Vec::new();
        for group in self.owned_groups() {
            let Some(service) = configuration.services.get(&group.service) else { continue };
            let Some(path) =
                service.health_path.clone().filter(|_| service.max_cold_rate.is_some())
            else {
                continue;
            };
            let targets = view.targets_in_group(&group.service, group.index).iter();
            let targets = targets.filter(|target| self.may_check(now, target));
            due.extend(targets.map(|target| Due { target: target.clone(), path: path.clone() }));
        }
        due.sort_by_key(|due| checked_at.get(&due.target.tag).copied());
        due.truncate(MAX_CHECKS_PER_ROUND);
        due
    }

    /// Returns the targets that are kept from requests, and are due to be asked whether that is right.
    fn due_rechecks(&self, now: Instant, checked_at: &HashMap<Tag, Instant>) -> Vec<Due> {
        let view = self.view();
        let Some(configuration) = &view.configuration else { return Vec::new() };
        let is_due =
            |hold: Hold, tag: &Tag, since| hold.is_due(now, since, checked_at.get(tag).copied());
        let leaving: Vec<(Tag, Instant)> = self.leaving().leaving(now).collect();
        let leaving = leaving.into_iter().filter(|(tag, since)| is_due(Hold::Leaving, tag, *since));
        let leaving = leaving.filter(|(tag, _)| self.owns_group_of(&view, *tag));
        let resting: Vec<(Tag, Instant)> = self.resting().resting(now).collect();
        let resting = resting.into_iter().filter(|(tag, since)| is_due(Hold::Resting, tag, *since));
        let held = leaving.chain(resting).map(|(tag, _)| tag).take(MAX_CHECKS_PER_ROUND);
        let doubtful = self.doubtful().take(now, MAX_DOUBTFUL_PER_ROUND);
        let mut tags: Vec<Tag> = held.chain(doubtful).collect();
        tags.sort_unstable();
        tags.dedup();
        let targets = tags.into_iter().filter_map(|tag| view.find_target(tag));
        let targets =
            targets.filter(|target| view.can_send(target, now) && !self.is_cold(now, target));
        let due = targets.filter_map(|target| {
            let path = configuration.services.get(&target.entry.service)?.health_path.clone()?;
            Some(Due { target: target.clone(), path })
        });
        due.collect()
    }

    fn owns_group_of(&self, view: &View, tag: Tag) -> bool {
        let target = view.find_target(tag);
        target.is_some_and(|target| self.is_owner(&view.group_of(&target.entry.service, tag)))
    }

    fn may_check(&self, now: Instant, target: &Target) -> bool {
        self.view().can_send(target, now)
            && self.may_send(target.tag)
            && !self.is_cold(now, target)
            && self.ledger().rate_limits().time_until_send(now, target.tag, 1).is_zero()
    }
}

async fn check<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>, due: Due) {
    let Due { target, path } = due;
    let call = Call { method: Method::GET, path: &path, key: None, body: Bytes::new() };
    let sent_at = core.now();
    let answer = links::call(core, &target, call, CHECK_TIMEOUT).await;
    core.metrics.count_health_check();
    match answer {
        Ok(answer) => {
            let (head, status) = (D::parse_response_head(&answer.headers), answer.status);
            let (names_version, relay) = (false, answer.relay);
            let answer = Answer { head: &head, status, sent_at, names_version, relay };
            statement::note(core, &target, Source::HealthCheck, &answer);
        }
        Err(error) => log::debug!(target_id = target.id.as_str(); "health check failed: {error}"),
    }
}

/// Checks the targets of the groups that this node owns while the store is down.
pub(crate) async fn run<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    let mut checked_at = HashMap::new();
    while core.stage() != Stage::Closed {
        tokio::time::sleep(ROUND_INTERVAL).await;
        let now = core.now();
        core.cold().expire(now);
        core.metrics.set_cold_targets(core.cold().count(now));
        let mut due = core.due_rechecks(now, &checked_at);
        if store_watch::is_store_down(&core) {
            core.note_store_down(now + ROUND_INTERVAL);
            due.extend(core.due_checks(now, &checked_at));
        }
        checked_at.retain(|_, at| now.saturating_duration_since(*at) < CHECK_RETENTION);
        checked_at.extend(due.iter().map(|due| (due.target.tag, now)));
        let checks = futures::stream::iter(due).for_each_concurrent(None, |due| check(&core, due));
        checks.await;
    }
}
