//! What a node does next about ownership: which nodes it probes, and which targets it
//! takes over, hands over and removes.

use crate::allowance;
use crate::assign::{Assigner, Missing};
use crate::member::Info;
use crate::owner::KEY;
use crate::rank::{rank_nodes, target_fraction};
use crate::table::{Document, Entry, Holder};
use hickory_store::store::{Expect, Revision, Write};
use hickory_unit::id;
use std::time::{Duration, Instant};

/// Targets that the whole fleet moves per second to balance the load.
const MAX_MOVES_PER_SECOND: f64 = 5.0;

/// What a node does next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Nodes to probe.
    pub probes: Vec<Info>,
    /// The write of the document, with the document that it stores.
    pub write: Option<(Write, Document)>,
}

impl Assigner {
    /// Returns what to do at `now`.
    pub fn plan(&mut self, now: Instant) -> Plan {
        self.tick(now);
        // Without a valid lease or a recent confirmation of the document, the decisions
        // could be based on outdated state.
        if !self.status.is_confirmed(now, self.options.max_document_age) {
            return Plan::default();
        }
        let mut plan = Plan::default();
        let mut next = self.document.clone();
        for target in self.targets.clone() {
            self.plan_takeover(now, &target, &mut next, &mut plan);
        }
        self.plan_release(now, &mut next);
        self.plan_move(now, &mut next);
        self.plan_forget(now, &mut next);
        if next == self.document && !(self.is_absent && self.revision > Revision(0)) {
            return plan;
        }
        let expect = if self.is_absent { Expect::Absent } else { Expect::At(self.revision) };
        let value = serde_json::to_string(&next).ok();
        plan.write = Some((Write { key: KEY.into(), value, expect, lease: None }, next));
        plan
    }

    /// Returns the nodes that targets may be assigned to.
    fn eligible_nodes(&self) -> impl Iterator<Item = &id::Node> {
        let local = &self.info;
        self.nodes
            .values()
            .filter(|info| !info.draining)
            .filter(|info| info.node != local.node || !(local.draining || self.is_releasing))
            .map(|info| &info.node)
    }

    /// Returns when this node may take over a target that has been unowned since `since`;
    /// `None` if this node isn't eligible.
    fn takeover_time(&self, target: &id::Target, since: Instant) -> Option<Instant> {
        let ranked = rank_nodes(target, self.eligible_nodes());
        let rank = ranked.iter().position(|node| **node == self.info.node)?;
        Some(since + self.options.rank_delay * rank as u32)
    }

    fn plan_takeover(
        &mut self,
        now: Instant,
        target: &id::Target,
        next: &mut Document,
        plan: &mut Plan,
    ) {
        let entry = self.document.owners.get(target).cloned();
        let unowned_since = match &entry {
            None => Some(
                *self.unowned_since.entry(target.clone()).or_insert(now)
                    + self.options.startup_delay,
            ),
            Some(entry) => match self.nodes.get(&entry.holder.node) {
                Some(info) if info.incarnation == entry.holder.incarnation => None,
                Some(_) => Some(self.replaced_since(now, target, entry)),
                None => self.lost_since(now, entry, plan),
            },
        };
        let Some(unowned_since) = unowned_since else {
            self.unowned_since.remove(target);
            return;
        };
        if self.takeover_time(target, unowned_since).is_none_or(|time| now < time) {
            return;
        }
        let before = entry.map_or_else(Vec::new, |entry| {
            let mut before = entry.before;
            before.push(entry.holder);
            before
        });
        next.assign(target, &self.info, before);
    }

    /// Returns since when a target counts as unowned because its owner's process was
    /// replaced by a later one with the same name.
    ///
    /// The later process itself need not wait. Other nodes wait, because they may just
    /// have read the document and the registrations at different times.
    fn replaced_since(&mut self, now: Instant, target: &id::Target, entry: &Entry) -> Instant {
        let since = *self.unowned_since.entry(target.clone()).or_insert(now);
        let is_own = entry.holder.node == self.info.node;
        since + if is_own { Duration::ZERO } else { self.options.max_document_age }
    }

    /// Returns since when a target counts as unowned because its owner is certainly lost:
    /// the owner's lease has expired, and a probe over a new connection failed. Returns
    /// `None` while this is not certain.
    ///
    /// The grace period and the probe protect owners that are running after an outage of
    /// the service in which all leases expired, and owners that lost only the service:
    /// they register again within the grace period or answer the probe. Otherwise their
    /// targets would be taken over, and nothing would be granted for these meanwhile.
    fn lost_since(&mut self, now: Instant, entry: &Entry, plan: &mut Plan) -> Option<Instant> {
        let holder = &entry.holder;
        let info = self.find_info(&holder.node)?;
        let missing = self.missing.entry(holder.node.clone());
        let since =
            missing.or_insert(Missing { info: info.clone(), since: now, has_met: false }).since;
        let grace_end =
            self.contact_since?.max(self.status.registered_at?) + self.options.grace_period;
        if now < grace_end {
            return None;
        }
        let probed = self.probe_results.get(&holder.node).filter(|probed| {
            let valid_until = probed.at + self.options.probe_validity;
            probed.incarnation == info.incarnation && since <= probed.at && now < valid_until
        });
        match probed {
            Some(probed) if probed.is_alive => None,
            Some(_) => Some(since.max(grace_end)),
            None => {
                let started_at = self.probes_in_flight.get(&holder.node);
                if started_at.is_none_or(|at| *at + self.options.probe_validity <= now) {
                    self.probes_in_flight.insert(holder.node.clone(), now);
                    plan.probes.push(info);
                }
                None
            }
        }
    }

    /// Returns the last known registration of a node. It may be that of a later process
    /// with the same name: as long as that process answers, it keeps the targets.
    fn find_info(&self, node: &id::Node) -> Option<Info> {
        let missing = self.missing.get(node).map(|missing| &missing.info);
        missing.or_else(|| self.document.holders.get(node)).cloned()
    }

    /// Hands all targets over in one write at a planned stop.
    fn plan_release(&mut self, now: Instant, next: &mut Document) {
        if !self.is_releasing {
            return;
        }
        for target in self.acquired.keys().cloned().collect::<Vec<_>>() {
            self.transfer(now, &target, next);
        }
    }

    /// Moves one target at a time to a node that ranks higher than this one.
    fn plan_move(&mut self, now: Instant, next: &mut Document) {
        if self.is_releasing {
            return;
        }
        for target in self.transferring.clone() {
            self.transfer(now, &target, next);
        }
        if self.last_move_at.is_some_and(|at| now < at + self.options.move_interval) {
            return;
        }
        // Many targets move when a zone returns. Each move ends the watches of the whole
        // fleet, so the moves are spread over a time in which the service can handle
        // them.
        let window = Duration::from_secs_f64(self.nodes.len() as f64 / MAX_MOVES_PER_SECOND);
        let is_stable = |target: &id::Target, node: &id::Node| {
            let info = self.nodes.get(node)?;
            let since = self.registered_since.get(&Holder::of(info))?;
            let wait = self.options.min_registered_time + window.mul_f64(target_fraction(target));
            Some(*since + wait <= now)
        };
        let movable = self.acquired.keys().find(|target| {
            let ranked = rank_nodes(target, self.eligible_nodes());
            let first = ranked.first().filter(|node| ***node != self.info.node);
            first.is_some_and(|node| is_stable(target, node) == Some(true))
        });
        if let Some(target) = movable.cloned()
            && self.transfer(now, &target, next)
        {
            self.last_move_at = Some(now);
        }
    }

    /// Assigns a target to the highest-ranking other node. From now on this node grants
    /// nothing for it, until the write is known not to have taken effect.
    fn transfer(&mut self, now: Instant, target: &id::Target, next: &mut Document) -> bool {
        let ranked = rank_nodes(target, self.eligible_nodes());
        let successor = ranked.into_iter().find(|node| **node != self.info.node);
        let Some(info) = successor.and_then(|node| self.nodes.get(node)).cloned() else {
            return false;
        };
        let Some(entry) = self.document.owners.get(target) else {
            return false;
        };
        // Former owners that may still grant stay on the list.
        let acquisition = self.acquired.get(target);
        let may_still_grant = |holder: &&Holder| {
            acquisition.is_none_or(|a| !allowance::is_gone(self, now, holder, a))
        };
        let before = entry.before.iter().filter(may_still_grant).filter(|h| h.node != info.node);
        next.assign(target, &info, before.cloned().collect());
        self.transferring.insert(target.clone());
        true
    }

    /// Removes targets of this node that have been off the host list for the forget
    /// delay.
    fn plan_forget(&mut self, now: Instant, next: &mut Document) {
        let forget_delay = self.options.forget_delay;
        self.unlisted_since.retain(|target, _| self.document.owners.contains_key(target));
        for (target, since) in &self.unlisted_since {
            if *since + forget_delay <= now && self.acquired.contains_key(target) {
                next.remove(target);
            }
        }
    }
}
