//! What a node does next about ownership: whom it probes, and which targets it
//! takes, hands over and forgets.

use crate::allowance;
use crate::assign::{Assigner, Missing};
use crate::member::Info;
use crate::owner::KEY;
use crate::rank::{rank_nodes, spread_target};
use crate::table::{Document, Entry, Holder};
use hickory_store::store::{Expect, Revision, Write};
use hickory_unit::id;
use std::time::{Duration, Instant};

/// Targets that the whole fleet moves in a second, to balance.
const MOVES_MAX: f64 = 5.0;

/// What a node does next.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Plan {
    /// Nodes to probe.
    pub probes: Vec<Info>,
    /// The document to write, with its condition.
    pub write: Option<(Write, Document)>,
}

impl Assigner {
    /// What to do at `now`.
    pub fn plan(&mut self, now: Instant) -> Plan {
        self.tick(now);
        // Without a valid lease of its own, or without the service's present
        // word, a node would act on what may be long past.
        if !self.status.confirmed(now, self.options.fresh) {
            return Plan::default();
        }
        let mut plan = Plan::default();
        let mut next = self.document.clone();
        for target in self.targets.clone() {
            self.plan_take(now, &target, &mut next, &mut plan);
        }
        self.plan_release(now, &mut next);
        self.plan_move(now, &mut next);
        self.plan_forget(now, &mut next);
        if next == self.document && !(self.absent && self.revision > Revision(0)) {
            return plan;
        }
        let expect = if self.absent { Expect::Absent } else { Expect::At(self.revision) };
        let value = serde_json::to_string(&next).ok();
        plan.write = Some((Write { key: KEY.into(), value, expect, lease: None }, next));
        plan
    }

    /// Nodes that targets may go to.
    fn eligible(&self) -> impl Iterator<Item = &id::Node> {
        let me = &self.me;
        self.nodes
            .values()
            .filter(|info| !info.draining)
            .filter(|info| info.node != me.node || !(me.draining || self.releasing))
            .map(|info| &info.node)
    }

    /// When it is this node's turn for a target that is free since `since`.
    fn turn(&self, target: &id::Target, since: Instant) -> Option<Instant> {
        let ranked = rank_nodes(target, self.eligible());
        let rank = ranked.iter().position(|node| **node == self.me.node)?;
        Some(since + self.options.step * rank as u32)
    }

    fn plan_take(
        &mut self,
        now: Instant,
        target: &id::Target,
        next: &mut Document,
        plan: &mut Plan,
    ) {
        let entry = self.document.owners.get(target).cloned();
        let free_since = match &entry {
            None => Some(*self.free.entry(target.clone()).or_insert(now) + self.options.start),
            Some(entry) => match self.nodes.get(&entry.holder.node) {
                Some(info) if info.incarnation == entry.holder.incarnation => None,
                Some(_) => Some(self.replaced_since(now, target, entry)),
                None => self.lost_since(now, entry, plan),
            },
        };
        let Some(free_since) = free_since else {
            self.free.remove(target);
            return;
        };
        if self.turn(target, free_since).is_none_or(|turn| now < turn) {
            return;
        }
        let before = entry.map_or_else(Vec::new, |entry| {
            let mut before = entry.before;
            before.push(entry.holder);
            before
        });
        next.assign(target, &self.me, before);
    }

    /// Since when a target is free whose owner's name belongs to a later
    /// process. That process itself need not wait; for the others the two
    /// views may just be of different ages.
    fn replaced_since(&mut self, now: Instant, target: &id::Target, entry: &Entry) -> Instant {
        let since = *self.free.entry(target.clone()).or_insert(now);
        let own = entry.holder.node == self.me.node;
        since + if own { Duration::ZERO } else { self.options.fresh }
    }

    /// Since when a target's owner is certainly lost: its lease is gone, and a
    /// new connection to it failed.
    ///
    /// Failure: the service was away, and every lease lapsed at once; or an
    /// owner lost only the service. Its targets would change hands, with
    /// nothing granted meanwhile, though it serves well. The grace and the
    /// probe are enough: an owner that runs either registers again in time
    /// or answers.
    fn lost_since(&mut self, now: Instant, entry: &Entry, plan: &mut Plan) -> Option<Instant> {
        let holder = &entry.holder;
        let info = self.find_info(&holder.node)?;
        let missing = self.missing.entry(holder.node.clone());
        let since = missing.or_insert(Missing { info: info.clone(), since: now, met: false }).since;
        let settled = self.contact_since?.max(self.status.registered_at?) + self.options.grace;
        if now < settled {
            return None;
        }
        let probed = self.probes.get(&holder.node).filter(|probed| {
            let kept = probed.at + self.options.probe;
            probed.incarnation == info.incarnation && since <= probed.at && now < kept
        });
        match probed {
            Some(probed) if probed.alive => None,
            Some(_) => Some(since.max(settled)),
            None => {
                let under_way = self.probing.get(&holder.node);
                if under_way.is_none_or(|at| *at + self.options.probe <= now) {
                    self.probing.insert(holder.node.clone(), now);
                    plan.probes.push(info);
                }
                None
            }
        }
    }

    /// Where a node was reached last. A later process of its name does as
    /// well: while that one answers, its targets are left to it.
    fn find_info(&self, node: &id::Node) -> Option<Info> {
        let missing = self.missing.get(node).map(|missing| &missing.info);
        missing.or_else(|| self.document.holders.get(node)).cloned()
    }

    /// Gives all targets away at a planned stop, in one write.
    fn plan_release(&mut self, now: Instant, next: &mut Document) {
        if !self.releasing {
            return;
        }
        for target in self.taken.keys().cloned().collect::<Vec<_>>() {
            self.give(now, &target, next);
        }
    }

    /// Moves one target at a time to a node that ranks before this one.
    fn plan_move(&mut self, now: Instant, next: &mut Document) {
        if self.releasing {
            return;
        }
        for target in self.giving.clone() {
            self.give(now, &target, next);
        }
        if self.moved_at.is_some_and(|at| now < at + self.options.rebalance) {
            return;
        }
        // Many targets move when a zone returns. Each move wakes the watches of the
        // whole fleet, so they are spread over the time in which the service bears
        // them.
        let window = Duration::from_secs_f64(self.nodes.len() as f64 / MOVES_MAX);
        let stable = |target: &id::Target, node: &id::Node| {
            let info = self.nodes.get(node)?;
            let since = self.registered.get(&Holder::of(info))?;
            let wait = self.options.stable + window.mul_f64(spread_target(target));
            Some(*since + wait <= now)
        };
        let movable = self.taken.keys().find(|target| {
            let ranked = rank_nodes(target, self.eligible());
            let first = ranked.first().filter(|node| ***node != self.me.node);
            first.is_some_and(|node| stable(target, node) == Some(true))
        });
        if let Some(target) = movable.cloned()
            && self.give(now, &target, next)
        {
            self.moved_at = Some(now);
        }
    }

    /// Gives a target to the first other node. From here on nothing is granted
    /// for it, until the write is known not to have taken effect.
    fn give(&mut self, now: Instant, target: &id::Target, next: &mut Document) -> bool {
        let ranked = rank_nodes(target, self.eligible());
        let heir = ranked.into_iter().find(|node| **node != self.me.node);
        let Some(info) = heir.and_then(|node| self.nodes.get(node)).cloned() else {
            return false;
        };
        let Some(entry) = self.document.owners.get(target) else {
            return false;
        };
        // Former owners of whom this one is not sure stay on the list.
        let taken = self.taken.get(target);
        let unsure =
            |holder: &&Holder| taken.is_none_or(|t| !allowance::is_gone(self, now, holder, t));
        let before = entry.before.iter().filter(unsure).filter(|h| h.node != info.node);
        next.assign(target, &info, before.cloned().collect());
        self.giving.insert(target.clone());
        true
    }

    /// Removes targets of this node that are off the host list for long.
    fn plan_forget(&mut self, now: Instant, next: &mut Document) {
        let forget = self.options.forget;
        self.unlisted.retain(|target, _| self.document.owners.contains_key(target));
        for (target, since) in &self.unlisted {
            if *since + forget <= now && self.taken.contains_key(target) {
                next.remove(target);
            }
        }
    }
}
