//! Selection of the next permit request to grant at a target, and the capacity that is held for
//! requests that short ones would starve.

use crate::fair::Lanes;
use crate::limit::{CANCEL_GRACE, CLAIM_LIFETIME, Grant, Limiter, Waiting};
use crate::permit::{PermitRequest, Ticket};
use crate::room::{Bound, Claim, Full};
use hickory_unit::size;
use std::time::{Duration, Instant};

/// Minimum wait before capacity is held for a long request, and before a request that must run
/// alone stops other grants. If shorter, each long request would idle slots that short ones could
/// use; if longer, it would starve behind them.
const MIN_WAIT_FOR_CLAIM: Duration = Duration::from_secs(1);

impl Limiter {
    fn can_grant(&self, now: Instant) -> bool {
        let is_held = self.grants_held_until.is_some_and(|until| now < until);
        self.is_accepting && !self.may_be_dead && !is_held
    }

    /// Returns the ticket that can be granted now, in fair order over the lanes with free capacity.
    pub(crate) fn next_grant(&self, now: Instant) -> Option<Ticket> {
        if !self.can_grant(now) {
            return None;
        }
        if self.granted.values().next().is_some_and(|grant| grant.request.is_exclusive) {
            return None;
        }
        let bound = self.current_bound();
        if let Some(&(ticket, since)) = self.exclusive_queue.front() {
            if self.room.slots() == 0 && bound.slots > 0 {
                return Some(ticket);
            }
            // Other grants stop only after a while. If the target drained for each such request
            // immediately, one caller could idle it at will.
            if now.saturating_duration_since(since) >= MIN_WAIT_FOR_CLAIM {
                return None;
            }
        }
        self.next_shared_grant(now, bound)
    }

    fn next_shared_grant(&self, now: Instant, bound: Bound) -> Option<Ticket> {
        let mut lanes = Lanes::ALL;
        let claim = match self.active_claim(now) {
            Some(claim) => {
                lanes = lanes.only_short();
                claim
            }
            None => self.starvation_claim(now, bound),
        };
        while let Some((ticket, lane)) = self.queue.peek(now, lanes) {
            let cost = self.waiting.get(&ticket)?.request.cost;
            if self.room.fits(bound, lane, cost, claim).is_ok() {
                return Some(ticket);
            }
            lanes = lanes.without(lane);
        }
        None
    }

    /// Returns the capacity to hold for the next long request, once it has waited for slots or
    /// memory that short requests keep taking.
    fn starvation_claim(&self, now: Instant, bound: Bound) -> Claim {
        let long_request =
            self.queue.peek(now, Lanes::ALL.only_long()).and_then(|(ticket, lane)| {
                let has_waited = self.queue.wait_time(now, ticket)? >= MIN_WAIT_FOR_CLAIM;
                has_waited.then_some((self.waiting.get(&ticket)?.request.cost, lane))
            });
        let Some((cost, lane)) = long_request else { return Claim::default() };
        match self.room.fits(bound, lane, cost, Claim::default()) {
            Err(Full::Slots | Full::Memory) => Claim { slots: 1, kv: cost.kv() },
            Ok(()) | Err(Full::Prefill) => Claim::default(),
        }
    }

    /// Holds capacity for an urgent long request, unless it is held for another one.
    pub(crate) fn hold_claim(&mut self, now: Instant, request: &PermitRequest) {
        if request.cost.is_long() && self.active_claim(now).is_none() {
            let claim = Claim { slots: 1, kv: request.cost.kv() };
            self.held_claim = Some((claim, now + CLAIM_LIFETIME));
        }
    }

    fn active_claim(&self, now: Instant) -> Option<Claim> {
        self.held_claim.filter(|&(_, until)| now < until).map(|(claim, _)| claim)
    }

    /// Whether an urgent request fits into the capacity that is held.
    pub(crate) fn fits_in_claim(&self, now: Instant, ticket: Ticket) -> bool {
        let is_exclusive_running =
            self.granted.values().next().is_some_and(|grant| grant.request.is_exclusive);
        let Some(Waiting { request, .. }) =
            self.waiting.get(&ticket).filter(|w| !w.request.is_exclusive)
        else {
            return false;
        };
        let fits =
            self.room.fits(self.current_bound(), request.lane(), request.cost, Claim::default());
        self.can_grant(now)
            && !is_exclusive_running
            && self.active_claim(now).is_some()
            && fits.is_ok()
    }

    pub(crate) fn grant(&mut self, now: Instant, ticket: Ticket) {
        self.queue.grant(ticket);
        let Some(request) = self.dequeue(ticket) else { return };
        if request.is_urgent && request.cost.is_long() {
            self.held_claim = None;
        }
        if !self.queue.is_empty() {
            self.throughput.record_grant(request.cost.work(), request.cost.is_long());
        }
        let prefill_ahead = size::Tokens(
            self.room.prefill_in_flight(false) as u64 + self.room.prefill_in_flight(true) as u64,
        );
        let expected = self.throughput.time_to_first_token(request.cost.prefill + prefill_ahead);
        self.room.acquire(ticket, request.lane(), request.cost);
        self.expiry.insert((request.deadline + CANCEL_GRACE, ticket));
        self.granted.insert(ticket, Grant { request, at: now, expected });
    }
}
