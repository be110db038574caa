//! Two-level weighted fair queueing: partners by share, then accounts by weight, then service
//! class.
//!
//! This is start-time fair queueing over work in tokens. Each level keeps a virtual time, and a
//! flow that was idle starts at the virtual time. It thus gets no credit for the past, and other
//! partners can use an unused share at once.
//!
//! Long requests are charged to a debt beside the flow's start tag. Long requests are ordered by
//! tag plus debt, short ones by the tag alone, and each short grant pays off debt of at most its
//! own work. One long prompt therefore doesn't block the short prompts of its partner until all
//! other partners have used as much.
//!
//! Load pattern: all partners request more than the target can serve, or one of them does while the
//! others come and go.

use crate::cost::Class;
use crate::flow::{Flow, Level};
use crate::lane::LANES;
pub use crate::lane::{Lane, Lanes};
pub use crate::usage::{Excess, MAX_OVERTAKING, MAX_WAIT_ABOVE_SHARE, Position, Usage, Waiting};
use hickory_unit::id;
use std::collections::{BTreeSet, HashMap};
use std::time::{Duration, Instant};

/// Maximum time for which interactive requests of the same account may overtake a batch request. It
/// is long enough that interactive bursts go first and short enough that batch work completes.
pub const MAX_BATCH_OVERTAKING: Duration = Duration::from_secs(10);

/// Weight of a flow without a configured weight, and the minimum weight.
const DEFAULT_WEIGHT: f64 = 1.0;
const MIN_WEIGHT: f64 = 0.001;

#[derive(Clone, Debug)]
struct PartnerFlow {
    flow: Flow,
    accounts: Level,
}

impl PartnerFlow {
    /// Number of accounts of the partner with waiting requests, at least one.
    fn waiting_accounts(&self) -> f64 {
        self.accounts.order.iter().map(BTreeSet::len).max().unwrap_or(0).max(1) as f64
    }
}

#[derive(Clone, Debug)]
struct AccountFlow {
    partner: u32,
    flow: Flow,
    /// Tickets increase, so their order is the order of arrival.
    queues: [BTreeSet<u64>; LANES],
}

#[derive(Clone, Copy, Debug)]
struct Item {
    account: u32,
    lane: Lane,
    work: u64,
    queued_at: Instant,
}

/// The permit requests that wait for one target.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    partner_level: Level,
    partners: Vec<PartnerFlow>,
    accounts: Vec<AccountFlow>,
    partner_index: HashMap<id::Partner, u32>,
    account_index: HashMap<id::Account, u32>,
    shares: HashMap<id::Partner, f64>,
    weights: HashMap<id::Account, f64>,
    items: HashMap<u64, Item>,
}

impl Queue {
    /// Creates an empty queue with equal weights of partners and accounts.
    pub fn open() -> Self {
        Self::default()
    }

    /// Replaces the partners' shares. Queued requests continue under the new shares.
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

    /// Queues a permit request. Tickets must increase from one call to the next.
    pub fn push(
        &mut self,
        now: Instant,
        (partner, account): (&id::Partner, &id::Account),
        lane: Lane,
        work: u64,
        ticket: u64,
    ) {
        let account = self.intern(partner, account);
        let account_flow = &mut self.accounts[account as usize];
        let partner_flow = &mut self.partners[account_flow.partner as usize];
        let index = lane.index();
        partner_flow.accounts.enter(&mut account_flow.flow, account, index);
        self.partner_level.enter(&mut partner_flow.flow, account_flow.partner, index);
        let size = usize::from(lane.is_long);
        account_flow.flow.queued_work[size] += work;
        partner_flow.flow.queued_work[size] += work;
        account_flow.queues[index].insert(ticket);
        self.items.insert(ticket, Item { account, lane, work, queued_at: now });
    }

    /// Returns the next request in fair order among the admitted lanes.
    pub fn peek(&self, now: Instant, lanes: Lanes) -> Option<(u64, Lane)> {
        let (partner, is_long) = self.partner_level.first(lanes)?;
        let lanes = lanes.of_size(is_long);
        let (account, _) = self.partners[partner as usize].accounts.first(lanes)?;
        let first_in_class = |class| {
            let lane = Lane { class, is_long };
            let queue = &self.accounts[account as usize].queues[lane.index()];
            lanes.contains(lane).then(|| queue.first().map(|&ticket| (ticket, lane))).flatten()
        };
        let batch = first_in_class(Class::Batch);
        let is_overdue = |(ticket, _): &(u64, Lane)| {
            self.items
                .get(ticket)
                .is_some_and(|i| now.duration_since(i.queued_at) >= MAX_BATCH_OVERTAKING)
        };
        batch.filter(is_overdue).or_else(|| first_in_class(Class::Interactive)).or(batch)
    }

    /// Removes a granted request and charges its work to its partner and account.
    pub fn grant(&mut self, ticket: u64) -> bool {
        let Some(item) = self.items.get(&ticket).copied() else { return false };
        let account_flow = &mut self.accounts[item.account as usize];
        let partner_flow = &mut self.partners[account_flow.partner as usize];
        partner_flow.accounts.charge(
            &mut account_flow.flow,
            item.account,
            item.work,
            item.lane.is_long,
        );
        self.partner_level.charge(
            &mut partner_flow.flow,
            account_flow.partner,
            item.work,
            item.lane.is_long,
        );
        self.remove(ticket)
    }

    /// Removes a request without charging it.
    pub fn remove(&mut self, ticket: u64) -> bool {
        let Some(item) = self.items.remove(&ticket) else { return false };
        let account_flow = &mut self.accounts[item.account as usize];
        let partner_flow = &mut self.partners[account_flow.partner as usize];
        let lane = item.lane.index();
        account_flow.queues[lane].remove(&ticket);
        partner_flow.accounts.leave(&mut account_flow.flow, item.account, lane);
        self.partner_level.leave(&mut partner_flow.flow, account_flow.partner, lane);
        let size = usize::from(item.lane.is_long);
        account_flow.flow.queued_work[size] -= item.work;
        partner_flow.flow.queued_work[size] -= item.work;
        true
    }

    /// Returns the time that a request has waited.
    pub fn wait_time(&self, now: Instant, ticket: u64) -> Option<Duration> {
        self.items.get(&ticket).map(|item| now.duration_since(item.queued_at))
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Returns the number of waiting requests of a partner.
    pub fn waiting_requests_of(&self, partner: &id::Partner) -> usize {
        let flow = self.partner_index.get(partner).map(|&i| &self.partners[i as usize].flow);
        flow.map_or(0, |flow| flow.waiting.iter().sum::<u32>() as usize)
    }

    /// Returns the fraction of the target's capacity that the partner is entitled to: its share
    /// relative to those of all waiting partners and itself.
    pub fn share_of(&self, partner: &id::Partner) -> f64 {
        let own_weight = weight_of(&self.shares, partner);
        let other_weights =
            self.partners.iter().filter(|p| p.flow.has_waiting()).map(|p| p.flow.weight);
        let is_waiting = self.waiting_requests_of(partner) > 0;
        own_weight / (other_weights.sum::<f64>() + if is_waiting { 0.0 } else { own_weight })
    }

    /// Returns the waiting work of short or long requests.
    pub fn queued_work(&self, is_long: bool) -> u64 {
        let size = usize::from(is_long);
        self.partners.iter().map(|p| p.flow.queued_work[size]).sum()
    }

    /// Returns the work that would be granted before a new request of `account` with the same size:
    /// the queued work of the partner or the account divided by its share, at most all queued work.
    pub fn work_ahead(&self, partner: &id::Partner, account: &id::Account, is_long: bool) -> u64 {
        let size = usize::from(is_long);
        let Some(partner_flow) =
            self.partner_index.get(partner).map(|&i| &self.partners[i as usize])
        else {
            return 0;
        };
        let share = self.share_of(partner);
        let by_partner = partner_flow.flow.queued_work[size] as f64 / share;
        let account_flow =
            self.account_index.get(account).map(|&i| &self.accounts[i as usize].flow);
        let account_work = account_flow.map_or(0, |flow| flow.queued_work[size]);
        let by_account = account_work as f64 * partner_flow.waiting_accounts() / share;
        self.queued_work(is_long).min(by_partner.min(by_account) as u64)
    }

    /// Returns the short or long requests that can't start in time. The work before each one in the
    /// queue of its account, divided by the account's fraction of `rate`, is compared with
    /// `time_left`. Returned requests don't count as work before the others.
    pub fn find_late(
        &self,
        is_long: bool,
        rate: f64,
        time_left: impl Fn(u64) -> Duration,
    ) -> Vec<u64> {
        let lanes = if is_long { 2..4 } else { 0..2 };
        let mut late = Vec::new();
        for account_flow in
            self.accounts.iter().filter(|a| a.flow.queued_work[usize::from(is_long)] > 0)
        {
            let partner_flow = &self.partners[account_flow.partner as usize];
            let share = self.waiting_share(&partner_flow.flow) / partner_flow.waiting_accounts();
            let account_rate = (rate * share).max(1.0);
            let mut work_before = 0;
            for ticket in lanes.clone().flat_map(|lane| &account_flow.queues[lane]) {
                let wait = Duration::try_from_secs_f64(work_before as f64 / account_rate);
                if wait.unwrap_or(Duration::MAX) > time_left(*ticket) {
                    late.push(*ticket);
                } else {
                    work_before += self.items.get(ticket).map_or(0, |item| item.work);
                }
            }
        }
        late
    }

    /// Returns the fraction of the capacity that a partner with waiting requests is entitled to.
    fn waiting_share(&self, flow: &Flow) -> f64 {
        let total_weight =
            self.partners.iter().filter(|p| p.flow.has_waiting()).map(|p| p.flow.weight);
        flow.weight / total_weight.sum::<f64>().max(flow.weight)
    }

    fn intern(&mut self, partner: &id::Partner, account: &id::Account) -> u32 {
        let partner_index = self.intern_partner(partner);
        if let Some(&index) = self.account_index.get(account)
            && self.accounts[index as usize].partner == partner_index
        {
            return index;
        }
        let flow = Flow::new(weight_of(&self.weights, account));
        let index = self.accounts.len() as u32;
        self.accounts.push(AccountFlow {
            partner: partner_index,
            flow,
            queues: Default::default(),
        });
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

pub(crate) fn weight_of<K: std::hash::Hash + Eq>(weights: &HashMap<K, f64>, key: &K) -> f64 {
    weights.get(key).copied().unwrap_or(DEFAULT_WEIGHT).max(MIN_WEIGHT)
}
