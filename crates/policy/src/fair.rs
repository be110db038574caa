//! Two-level weighted fair queueing: partner by share, then account by weight,
//! then class.
//!
//! Start-time fair queueing over work in tokens. Each level keeps a virtual time;
//! a flow that was idle starts at the virtual time, so it gets no credit for the
//! past, and a share that its partner does not use is lent at once.
//!
//! Long work is charged to a debt beside the flow's start tag. Long asks are
//! ordered by tag and debt together, short ones by the tag alone, and each short
//! grant pays off at most its own work again: one long prompt does not shut its
//! partner's short ones out until everybody else has used as much.
//!
//! Load pattern: all partners ask for more than the target bears, or one of them
//! does and the others come and go.

use crate::cost::Class;
use crate::flow::{Flow, Level};
use crate::lane::LANES;
pub use crate::lane::{Lane, Lanes};
use hickory_unit::id;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// How long a batch ask may be overtaken by interactive asks of its own
/// account. Long enough that a burst at the counter goes first, short enough
/// that reports arrive.
pub const BATCH_AGE: Duration = Duration::from_secs(10);

/// The weight of a flow that has none set, and the least weight.
const DEFAULT_WEIGHT: f64 = 1.0;
const LEAST_WEIGHT: f64 = 0.001;

#[derive(Clone, Debug)]
struct PartnerFlow {
    flow: Flow,
    accounts: Level,
}

impl PartnerFlow {
    /// Accounts of the partner that wait, at least one.
    fn rivals(&self) -> f64 {
        self.accounts.order.iter().map(BTreeSet::len).max().unwrap_or(0).max(1) as f64
    }
}

#[derive(Clone, Debug)]
struct AccountFlow {
    partner: u32,
    flow: Flow,
    /// Tickets grow, so their order is the order of arrival.
    queues: [BTreeSet<u64>; LANES],
}

#[derive(Clone, Copy, Debug)]
struct Item {
    account: u32,
    lane: Lane,
    work: u64,
    since: Instant,
}

/// The asks that wait for one target.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    level: Level,
    partners: Vec<PartnerFlow>,
    accounts: Vec<AccountFlow>,
    partner_index: HashMap<id::Partner, u32>,
    account_index: HashMap<id::Account, u32>,
    shares: HashMap<id::Partner, f64>,
    weights: HashMap<id::Account, f64>,
    items: HashMap<u64, Item>,
}

impl Queue {
    /// An empty queue; each partner and account weighs the same.
    pub fn open() -> Self {
        Self::default()
    }

    /// Replaces the partners' shares; what is queued goes on under the new
    /// ones.
    pub fn set_shares(&mut self, shares: impl IntoIterator<Item = (id::Partner, f64)>) {
        self.shares = shares.into_iter().collect();
        for (partner, &index) in &self.partner_index {
            self.partners[index as usize].flow.weight = weight_of(&self.shares, partner);
        }
    }

    /// Replaces the accounts' weights within their partners.
    pub fn set_weights(&mut self, weights: impl IntoIterator<Item = (id::Account, f64)>) {
        self.weights = weights.into_iter().collect();
        for (account, &index) in &self.account_index {
            self.accounts[index as usize].flow.weight = weight_of(&self.weights, account);
        }
    }

    /// Queues an ask. Tickets must grow from one call to the next.
    pub fn push(
        &mut self,
        now: Instant,
        (partner, account): (&id::Partner, &id::Account),
        lane: Lane,
        work: u64,
        ticket: u64,
    ) {
        let account = self.intern(partner, account);
        let entry = &mut self.accounts[account as usize];
        let owner = &mut self.partners[entry.partner as usize];
        let index = lane.index();
        owner.accounts.enter(&mut entry.flow, account, index);
        self.level.enter(&mut owner.flow, entry.partner, index);
        let size = usize::from(lane.long);
        entry.flow.queued_work[size] += work;
        owner.flow.queued_work[size] += work;
        entry.queues[index].insert(ticket);
        self.items.insert(ticket, Item { account, lane, work, since: now });
    }

    /// The ask whose turn it is among the lanes that are let in.
    pub fn peek(&self, now: Instant, lanes: Lanes) -> Option<(u64, Lane)> {
        let (partner, long) = self.level.first(lanes)?;
        let lanes = lanes.of_size(long);
        let (account, _) = self.partners[partner as usize].accounts.first(lanes)?;
        let head = |class| {
            let lane = Lane { class, long };
            let queue = &self.accounts[account as usize].queues[lane.index()];
            lanes.contains(lane).then(|| queue.first().map(|&ticket| (ticket, lane))).flatten()
        };
        let batch = head(Class::Batch);
        let overdue = |(ticket, _): &(u64, Lane)| {
            self.items.get(ticket).is_some_and(|i| now.duration_since(i.since) >= BATCH_AGE)
        };
        batch.filter(overdue).or_else(|| head(Class::Interactive)).or(batch)
    }

    /// Takes an ask out because it is granted, and charges its share.
    pub fn grant(&mut self, ticket: u64) -> bool {
        let Some(item) = self.items.get(&ticket).copied() else { return false };
        let entry = &mut self.accounts[item.account as usize];
        let owner = &mut self.partners[entry.partner as usize];
        owner.accounts.charge(&mut entry.flow, item.account, item.work, item.lane.long);
        self.level.charge(&mut owner.flow, entry.partner, item.work, item.lane.long);
        self.remove(ticket)
    }

    /// Takes an ask out without a charge.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let Some(item) = self.items.remove(&ticket) else { return false };
        let entry = &mut self.accounts[item.account as usize];
        let owner = &mut self.partners[entry.partner as usize];
        let lane = item.lane.index();
        entry.queues[lane].remove(&ticket);
        owner.accounts.leave(&mut entry.flow, item.account, lane);
        self.level.leave(&mut owner.flow, entry.partner, lane);
        let size = usize::from(item.lane.long);
        entry.flow.queued_work[size] -= item.work;
        owner.flow.queued_work[size] -= item.work;
        true
    }

    /// How long an ask has waited.
    pub fn age(&self, now: Instant, ticket: u64) -> Option<Duration> {
        self.items.get(&ticket).map(|item| now.duration_since(item.since))
    }

    /// Asks that wait.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Asks of a partner that wait.
    pub fn waiting_of(&self, partner: &id::Partner) -> usize {
        let flow = self.partner_index.get(partner).map(|&i| &self.partners[i as usize].flow);
        flow.map_or(0, |flow| flow.waiting.iter().sum::<u32>() as usize)
    }

    /// The part of the whole that a partner's share is, among the partners
    /// that wait and itself.
    pub fn part_of(&self, partner: &id::Partner) -> f64 {
        let own = weight_of(&self.shares, partner);
        let others = self.partners.iter().filter(|p| p.flow.has_waiting()).map(|p| p.flow.weight);
        let waits = self.waiting_of(partner) > 0;
        own / (others.sum::<f64>() + if waits { 0.0 } else { own })
    }

    /// Work of one size that waits.
    pub fn queued_work(&self, long: bool) -> u64 {
        let size = usize::from(long);
        self.partners.iter().map(|p| p.flow.queued_work[size]).sum()
    }

    /// Work that stands before a new ask of `account`, of the same size: what
    /// the partner or the account has queued over its part of the whole, at
    /// most all that is queued.
    pub fn work_ahead(&self, partner: &id::Partner, account: &id::Account, long: bool) -> u64 {
        let size = usize::from(long);
        let Some(owner) = self.partner_index.get(partner).map(|&i| &self.partners[i as usize])
        else {
            return 0;
        };
        let part = self.part_of(partner);
        let by_partner = owner.flow.queued_work[size] as f64 / part;
        let entry = self.account_index.get(account).map(|&i| &self.accounts[i as usize].flow);
        let own = entry.map_or(0, |flow| flow.queued_work[size]);
        let by_account = own as f64 * owner.rivals() / part;
        self.queued_work(long).min(by_partner.min(by_account) as u64)
    }

    /// The asks of one size that could not start in time, by their place: the
    /// work before each in its account's queue, over the part of `rate` that
    /// the account gets, is compared with `time_left`. What is named does not
    /// count as standing before the others.
    pub fn hopeless(&self, long: bool, rate: f64, time_left: impl Fn(u64) -> Duration) -> Vec<u64> {
        let lanes = if long { 2..4 } else { 0..2 };
        let mut named = Vec::new();
        for entry in self.accounts.iter().filter(|a| a.flow.queued_work[usize::from(long)] > 0) {
            let owner = &self.partners[entry.partner as usize];
            let part = self.part(&owner.flow) / owner.rivals();
            let own_rate = (rate * part).max(1.0);
            let mut before = 0;
            for ticket in lanes.clone().flat_map(|lane| &entry.queues[lane]) {
                let wait = Duration::try_from_secs_f64(before as f64 / own_rate);
                if wait.unwrap_or(Duration::MAX) > time_left(*ticket) {
                    named.push(*ticket);
                } else {
                    before += self.items.get(ticket).map_or(0, |item| item.work);
                }
            }
        }
        named
    }

    /// The part of the whole of a partner that waits.
    fn part(&self, flow: &Flow) -> f64 {
        let all = self.partners.iter().filter(|p| p.flow.has_waiting()).map(|p| p.flow.weight);
        flow.weight / all.sum::<f64>().max(flow.weight)
    }

    fn intern(&mut self, partner: &id::Partner, account: &id::Account) -> u32 {
        let owner = self.intern_partner(partner);
        if let Some(&index) = self.account_index.get(account)
            && self.accounts[index as usize].partner == owner
        {
            return index;
        }
        let flow = Flow::new(weight_of(&self.weights, account));
        let index = self.accounts.len() as u32;
        self.accounts.push(AccountFlow { partner: owner, flow, queues: Default::default() });
        self.account_index.insert(account.clone(), index);
        index
    }

    fn intern_partner(&mut self, partner: &id::Partner) -> u32 {
        if let Some(&index) = self.partner_index.get(partner) {
            return index;
        }
        let flow = Flow::new(weight_of(&self.shares, partner));
        let index = self.partners.len() as u32;
        self.partners.push(PartnerFlow { flow, accounts: Level::default() });
        self.partner_index.insert(partner.clone(), index);
        index
    }
}

fn weight_of<K: std::hash::Hash + Eq>(weights: &HashMap<K, f64>, key: &K) -> f64 {
    weights.get(key).copied().unwrap_or(DEFAULT_WEIGHT).max(LEAST_WEIGHT)
}
