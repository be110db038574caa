//! One level of a fair queue: start-time fair queueing with separate tags for short and long work.
//! [`crate::fair::Queue`] has two levels, partners and accounts. [`crate::usage`] uses the flows of
//! accounts with a virtual time of its own.

use crate::lane::{LANES, Lanes};
use std::collections::BTreeSet;

/// Fixed-point scale of the tags.
const SCALE: f64 = 65_536.0;

/// Usage and queued work of a partner or an account.
#[derive(Clone, Debug)]
pub(crate) struct Flow {
    pub(crate) weight: f64,
    /// Start tag: the work received, divided by the weight.
    tag: u64,
    /// Long work received that is not included in the tag yet, divided by the weight.
    debt: u64,
    pub(crate) waiting: [u32; LANES],
    /// Queued work, short and long.
    pub(crate) queued_work: [u64; 2],
}

impl Flow {
    pub(crate) fn new(weight: f64) -> Self {
        Self { weight, tag: 0, debt: 0, waiting: [0; LANES], queued_work: [0; 2] }
    }

    pub(crate) fn key(&self, lane: usize) -> u64 {
        if lane < 2 { self.tag } else { self.tag.saturating_add(self.debt) }
    }

    fn has_short_waiting(&self) -> bool {
        self.waiting[0] + self.waiting[1] > 0
    }

    pub(crate) fn has_waiting(&self) -> bool {
        self.waiting.iter().any(|&n| n > 0)
    }

    /// Advances the tag to the virtual time and reduces the debt by the same amount.
    pub(crate) fn catch_up(&mut self, virtual_time: u64) {
        let total = self.tag.saturating_add(self.debt);
        self.tag = self.tag.max(virtual_time);
        self.debt = total.saturating_sub(self.tag);
    }

    /// Returns the tag and the debt above the virtual time, in whole units of work.
    pub(crate) fn excess(&self, virtual_time: u64) -> (u64, u64) {
        let total = self.tag.saturating_add(self.debt).saturating_sub(virtual_time);
        let tag = self.tag.saturating_sub(virtual_time);
        (tag / SCALE as u64, (total - tag) / SCALE as u64)
    }

    /// Limits the tag and the debt above the virtual time.
    pub(crate) fn limit_excess(&mut self, virtual_time: u64, max_tag: u64, max_debt: u64) {
        self.tag = self.tag.min(virtual_time.saturating_add(max_tag));
        self.debt = self.debt.min(max_debt);
    }

    /// Sets the tag and the debt above the virtual time, in units of work.
    pub(crate) fn set_excess(&mut self, virtual_time: u64, (tag, debt): (u64, u64)) {
        self.tag = virtual_time.saturating_add(tag.saturating_mul(SCALE as u64));
        self.debt = debt.saturating_mul(SCALE as u64);
    }

    pub(crate) fn charge(&mut self, work: u64, long: bool) {
        let charge = distance(work as f64, self.weight);
        if long {
            self.debt = self.debt.saturating_add(charge);
            return;
        }
        let paid = self.debt.min(charge);
        self.debt -= paid;
        self.tag = self.tag.saturating_add(charge).saturating_add(paid);
    }
}

/// Returns the distance by which `work` moves the tag of a flow of this weight.
pub(crate) fn distance(work: f64, weight: f64) -> u64 {
    ((work * SCALE / weight) as u64).max(1)
}

/// One level of the hierarchy: the flows with queued requests, ordered by key in each lane.
#[derive(Clone, Debug, Default)]
pub(crate) struct Level {
    pub(crate) order: [BTreeSet<(u64, u32)>; LANES],
    virtual_time: u64,
}

impl Level {
    pub(crate) fn enter(&mut self, flow: &mut Flow, index: u32, lane: usize) {
        let is_joining = if lane < 2 { !flow.has_short_waiting() } else { !flow.has_waiting() };
        if is_joining {
            self.withdraw(flow, index);
            flow.catch_up(self.virtual_time);
        }
        flow.waiting[lane] += 1;
        self.insert(flow, index);
    }

    pub(crate) fn leave(&mut self, flow: &mut Flow, index: u32, lane: usize) {
        flow.waiting[lane] -= 1;
        if flow.waiting[lane] == 0 {
            self.order[lane].remove(&(flow.key(lane), index));
        }
    }

    pub(crate) fn charge(&mut self, flow: &mut Flow, index: u32, work: u64, long: bool) {
        self.withdraw(flow, index);
        let key = flow.key(if long { 2 } else { 0 });
        let short_waits = !(self.order[0].is_empty() && self.order[1].is_empty());
        if !long || !short_waits {
            self.virtual_time = self.virtual_time.max(key);
        }
        flow.charge(work, long);
        self.insert(flow, index);
    }

    fn withdraw(&mut self, flow: &Flow, index: u32) {
        for lane in (0..LANES).filter(|&l| flow.waiting[l] > 0) {
            self.order[lane].remove(&(flow.key(lane), index));
        }
    }

    fn insert(&mut self, flow: &Flow, index: u32) {
        for lane in (0..LANES).filter(|&l| flow.waiting[l] > 0) {
            self.order[lane].insert((flow.key(lane), index));
        }
    }

    /// Returns the flow with the smallest key over `lanes`, and whether its next request is long.
    /// Long work wins ties: the key of a flow's short work is never above that of its long work, so
    /// its long work would otherwise wait until all of its short work is done.
    pub(crate) fn first(&self, lanes: Lanes) -> Option<(u32, bool)> {
        let firsts = (0..LANES).filter(|&l| lanes.has(l));
        let firsts = firsts.filter_map(|l| self.order[l].first().map(|&(key, i)| (key, l < 2, i)));
        firsts.min().map(|(_, short, index)| (index, !short))
    }
}
