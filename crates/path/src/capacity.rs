//! What is learned of the targets' speeds and limits from the allocations in the ledger, and from the
//! loads that targets report.
//!
//! Owner and successor of a group hear of all its allocations and outcomes and learn the same. A
//! node that decides alone knows its own requests only.

use crate::config::Configuration;
use crate::core::Core;
use crate::datagram::Event;
use crate::dialect::Dialect;
use crate::ledger::Allocation;
use crate::view::{Tag, Target};
use hickory_policy::capacity::{self, Capacity, Estimate, Report, Speed, Start};
use hickory_policy::engine::Profile;
use hickory_policy::plan::Load;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The unit of the times of a plain service, whose requests all have the same expected time.
const PLAIN_UNIT: Duration = Duration::from_millis(1);

/// The unit of the times of engines, which are relative to the expected time of each prompt.
const ENGINE_UNIT: Duration = Duration::from_secs(1);

/// Part of the time to a first token that is spent outside of the engine.
const FIRST_TOKEN_OVERHEAD: Duration = Duration::from_millis(10);

/// The interval for each node of a service at which the load of a target is passed on, so that all
/// nodes together pass it on at most ten times a second.
const REPORT_INTERVAL_PER_NODE: Duration = Duration::from_millis(100);

/// The minimum interval between two log lines about a target.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A logged speed is logged again when it has changed by this factor.
const LOGGED_CHANGE: f64 = 1.5;

/// The load that a target reports, as sent between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct StatedLoad {
    target: Tag,
    #[serde(deserialize_with = "hickory_unit::bounded::finite")]
    running: f32,
    #[serde(deserialize_with = "hickory_unit::bounded::finite")]
    waiting: f32,
    #[serde(deserialize_with = "hickory_unit::bounded::finite")]
    slots: f32,
}

/// What is learned of the targets.
#[derive(Clone, Debug)]
pub(crate) struct Learned {
    plain: Capacity<Tag>,
    engines: Capacity<Tag>,
    /// Served requests whose allocations haven't ended yet, by node (`None` for this one) and target.
    served: HashMap<(Option<id::Node>, Tag), u32>,
    /// The configuration with the engines' profiles, if the speeds of engines are to be learned.
    configuration: Option<Arc<Configuration>>,
    reported_at: HashMap<Tag, Instant>,
    logged: HashMap<Tag, (Instant, Estimate)>,
}

/// What is learned of the targets of one decision.
#[derive(Clone, Debug)]
pub(crate) struct Estimates {
    pub(crate) by_target: Vec<Estimate>,
    /// The time of a request alone at the median speed.
    pub(crate) typical_time: Option<Duration>,
}

impl Default for Learned {
    fn default() -> Self {
        Self {
            plain: Capacity::default(),
            engines: Capacity::for_sparse_requests(),
            served: HashMap::new(),
            configuration: None,
            reported_at: HashMap::new(),
            logged: HashMap::new(),
        }
    }
}

impl Learned {
    /// Records that a request is placed.
    pub(crate) fn begin(
        &mut self,
        now: Instant,
        placed: Instant,
        allocation: &Allocation,
    ) -> Option<Start> {
        is_plain(allocation).then(|| self.plain.begin(now, placed, allocation.target))
    }

    /// Records the outcome of a request of a node, which precedes the end of its allocation.
    pub(crate) fn note_outcome(&mut self, node: Option<&id::Node>, target: Tag, is_served: bool) {
        if is_served {
            *self.served.entry((node.cloned(), target)).or_default() += 1;
        }
    }

    /// Records that an allocation has ended.
    pub(crate) fn end(
        &mut self,
        now: Instant,
        node: Option<&id::Node>,
        allocation: &Allocation,
        start: Option<Start>,
    ) {
        let key = (node.cloned(), allocation.target);
        let is_served = self.served.contains_key(&key);
        if let Some(served) = self.served.get_mut(&key) {
            *served -= 1;
            if *served == 0 {
                self.served.remove(&key);
            }
        }
        if let Some(start) = start {
            self.plain.end(now, allocation.target, start, PLAIN_UNIT, is_served);
        }
    }

    /// Records that nothing more will be heard of an allocation.
    pub(crate) fn withdraw(&mut self, allocation: &Allocation, start: Option<Start>) {
        if let Some(start) = start {
            self.plain.withdraw(allocation.target, start);
        }
    }

    /// Forgets the outcomes of the requests of a node that has restarted.
    pub(crate) fn forget_node(&mut self, node: &id::Node) {
        self.served.retain(|(known, _), _| known.as_ref() != Some(node));
    }

    /// Returns the profile of the engine of an allocation, if the speeds of engines are learned.
    pub(crate) fn profile(&self, allocation: &Allocation) -> Option<&Profile> {
        let configuration = self.configuration.as_ref().filter(|_| !is_plain(allocation))?;
        configuration.engine_profile(&allocation.service)
    }

    /// Records the time to a first token.
    pub(crate) fn note_first_token(
        &mut self,
        now: Instant,
        target: Tag,
        elapsed: Duration,
        expected: Option<Duration>,
    ) {
        let Some(expected) = expected else { return };
        // A placement that is reported after the first token has no measurable time.
        let elapsed = elapsed.saturating_sub(FIRST_TOKEN_OVERHEAD);
        if elapsed.is_zero() {
            return;
        }
        self.engines.record(now, target, elapsed.as_secs_f64() / expected.as_secs_f64().max(1e-4));
    }

    /// Returns the estimates of replicas of a plain service.
    pub(crate) fn estimate_replicas(&mut self, now: Instant, targets: &[Arc<Target>]) -> Estimates {
        let targets = with_slots(targets);
        let typical_time = self.plain.typical_time(now, &targets, PLAIN_UNIT);
        Estimates { by_target: self.plain.estimates(now, &targets, PLAIN_UNIT), typical_time }
    }

    /// Scales the loads of engines by their learned speeds.
    pub(crate) fn scale_engines(
        &mut self,
        now: Instant,
        targets: &[Arc<Target>],
        loads: &mut [Load],
    ) {
        let estimates = self.engines.estimates(now, &with_slots(targets), ENGINE_UNIT);
        for (load, estimate) in loads.iter_mut().zip(estimates) {
            load.set_speed(estimate.speed);
        }
    }

    fn expire(&mut self, now: Instant) {
        self.plain.expire(now);
        self.engines.expire(now);
        self.reported_at
            .retain(|_, at| now.saturating_duration_since(*at) < REPORT_INTERVAL_PER_NODE * 1_000);
        self.logged.retain(|_, (at, estimate)| {
            now.saturating_duration_since(*at) < LOG_INTERVAL || estimate.speed != Speed::default()
        });
    }

    /// Returns whether the estimate of a target is to be logged.
    fn is_news(&mut self, now: Instant, target: &Target, estimate: &Estimate) -> bool {
        let slots = target.entry.slots;
        let known = self.logged.get(&target.tag).copied();
        let (at, before) = match known {
            Some((at, before)) => (Some(at), before),
            None => (None, Estimate::unknown(slots)),
        };
        let ratio = estimate.speed.0 / before.speed.0;
        let is_changed = estimate.is_different(slots) != before.is_different(slots)
            || !(1.0 / LOGGED_CHANGE..=LOGGED_CHANGE).contains(&ratio)
            || estimate.limit.abs_diff(before.limit) > 1;
        let is_due = at.is_none_or(|at| now.saturating_duration_since(at) >= LOG_INTERVAL);
        if is_changed && is_due {
            self.logged.insert(target.tag, (now, *estimate));
        }
        is_changed && is_due
    }
}

fn is_plain(allocation: &Allocation) -> bool {
    allocation.prompt.0 == 0
}

fn with_slots(targets: &[Arc<Target>]) -> Vec<(Tag, u32)> {
    targets.iter().map(|target| (target.tag, target.entry.slots)).collect()
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    /// Records the load that a target reports in an answer, and passes it on to the owners of the
    /// target's group.
    pub(crate) fn note_load(&self, target: &Target, report: Report) {
        let now = self.now();
        let interval = REPORT_INTERVAL_PER_NODE * self.count_nodes() as u32;
        let mut ledger = self.ledger();
        let learned = ledger.learned_mut();
        let last = learned.reported_at.get(&target.tag);
        if last.is_some_and(|at| now.saturating_duration_since(*at) < interval) {
            return;
        }
        learned.reported_at.insert(target.tag, now);
        learned.plain.report(now, target.tag, report);
        drop(ledger);
        let stated = StatedLoad {
            target: target.tag,
            running: report.running as f32,
            waiting: report.waiting as f32,
            slots: report.slots as f32,
        };
        let group = self.view().group_of(&target.entry.service, target.tag);
        self.send_to_owners(&group, &Event::Load(stated));
    }

    /// Applies a load that a peer passed on.
    pub(crate) fn handle_load(&self, now: Instant, stated: &StatedLoad) {
        let report = Report {
            running: f64::from(stated.running),
            waiting: f64::from(stated.waiting),
            slots: f64::from(stated.slots),
        };
        self.ledger().learned_mut().plain.report(now, stated.target, report);
    }
}

/// Expires what is learned, and shows the targets of this node's groups that differ from the others.
pub(crate) fn maintain<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>, now: Instant) {
    let view = core.view();
    let is_contended = core.bounds().is_contended;
    let mut ledger = core.ledger();
    let learned = ledger.learned_mut();
    learned.configuration = view.configuration.clone().filter(|_| is_contended);
    learned.expire(now);
    drop(ledger);
    let Some(configuration) = &view.configuration else { return };
    let (mut slow, mut limited) = (0, 0);
    for group in core.owned_groups() {
        let targets = view.targets_in_group(&group.service, group.index);
        let is_engine = configuration.engine_profile(&group.service).is_some();
        let applies = if is_engine { is_contended } else { targets.len() >= capacity::MIN_TARGETS };
        if !applies {
            continue;
        }
        let mut ledger = core.ledger();
        let learned = ledger.learned_mut();
        let estimates = match is_engine {
            true => learned.engines.estimates(now, &with_slots(targets), ENGINE_UNIT),
            false => learned.estimate_replicas(now, targets).by_target,
        };
        for (target, estimate) in targets.iter().zip(&estimates) {
            slow += usize::from(estimate.speed.is_slow());
            limited += usize::from(estimate.limit < target.entry.slots);
            if learned.is_news(now, target, estimate) {
                log_estimate(target, estimate);
            }
        }
    }
    core.metrics.set_slow_targets(slow);
    core.metrics.set_limited_targets(limited);
}

fn log_estimate(target: &Target, estimate: &Estimate) {
    let slots = target.entry.slots;
    log::info!(
        target_id = target.id.as_str(),
        service = target.entry.service.as_str(),
        speed:% = format!("{:.2}", estimate.speed.0),
        limit = estimate.limit,
        slots,
        foreign = estimate.foreign;
        "{}", if estimate.is_different(slots) { "target differs from the others" } else { "target is like the others" }
    );
}
