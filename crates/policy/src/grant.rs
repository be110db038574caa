//! Which of the asks that wait at a target is granted next, and the room that
//! is held for those that short work would starve.

use crate::fair::Lanes;
use crate::limit::{CANCEL_GRACE, CLAIM_LIFETIME, Grant, Limiter, Waiting};
use crate::permit::{PermitRequest, Ticket};
use crate::room::{Bound, Claim, Full};
use hickory_unit::size;
use std::time::{Duration, Instant};

/// How long a long ask waits before room is held for it, and a suspect
/// before other grants stop: shorter, and each long ask would idle slots that
/// short ones could use; longer, and it would starve behind them.
const CLAIM_AFTER: Duration = Duration::from_secs(1);

impl Limiter {
    fn may_grant(&self, now: Instant) -> bool {
        let held = self.grants_held_until.is_some_and(|until| now < until);
        self.is_accepting && !self.may_be_dead && !held
    }

    /// The ticket that may be granted now, by the fair order over the lanes
    /// that have room.
    pub(crate) fn next_grant(&self, now: Instant) -> Option<Ticket> {
        if !self.may_grant(now) {
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
            // Grants stop only after a while: a target that drains for each
            // suspect at once would let one caller idle it at will.
            if now.saturating_duration_since(since) >= CLAIM_AFTER {
                return None;
            }
        }
        self.next_beside(now, bound)
    }

    fn next_beside(&self, now: Instant, bound: Bound) -> Option<Ticket> {
        let mut lanes = Lanes::ALL;
        let claim = match self.live_claim(now) {
            Some(claim) => {
                lanes = lanes.only_short();
                claim
            }
            None => self.claim(now, bound),
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

    /// The room held for the long ask whose turn it is, once it has waited
    /// for slots or memory that short work keeps taking as it comes free.
    fn claim(&self, now: Instant, bound: Bound) -> Claim {
        let waits = self.queue.peek(now, Lanes::ALL.only_long()).and_then(|(ticket, lane)| {
            let old = self.queue.age(now, ticket)? >= CLAIM_AFTER;
            old.then_some((self.waiting.get(&ticket)?.request.cost, lane))
        });
        let Some((cost, lane)) = waits else { return Claim::default() };
        match self.room.fits(bound, lane, cost, Claim::default()) {
            Err(Full::Slots | Full::Memory) => Claim { slots: 1, kv: cost.kv() },
            Ok(()) | Err(Full::Prefill) => Claim::default(),
        }
    }

    /// Holds room for an urgent long ask, unless it is held for another.
    pub(crate) fn keep_claim(&mut self, now: Instant, ask: &PermitRequest) {
        if ask.cost.is_long() && self.live_claim(now).is_none() {
            let claim = Claim { slots: 1, kv: ask.cost.kv() };
            self.held_claim = Some((claim, now + CLAIM_LIFETIME));
        }
    }

    fn live_claim(&self, now: Instant) -> Option<Claim> {
        self.held_claim.filter(|&(_, until)| now < until).map(|(claim, _)| claim)
    }

    /// Whether an urgent ask fits into the room that is held.
    pub(crate) fn fits_claimed(&self, now: Instant, ticket: Ticket) -> bool {
        let alone = self.granted.values().next().is_some_and(|grant| grant.request.is_exclusive);
        let Some(Waiting { request: ask, .. }) =
            self.waiting.get(&ticket).filter(|w| !w.request.is_exclusive)
        else {
            return false;
        };
        let fits = self.room.fits(self.current_bound(), ask.lane(), ask.cost, Claim::default());
        self.may_grant(now) && !alone && self.live_claim(now).is_some() && fits.is_ok()
    }

    pub(crate) fn grant(&mut self, now: Instant, ticket: Ticket) {
        self.queue.grant(ticket);
        let Some(ask) = self.dequeue(ticket) else { return };
        if ask.is_urgent && ask.cost.is_long() {
            self.held_claim = None;
        }
        if !self.queue.is_empty() {
            self.pace.grant(ask.cost.work(), ask.cost.is_long());
        }
        let ahead =
            size::Tokens(self.room.in_flight(false) as u64 + self.room.in_flight(true) as u64);
        let expected = self.pace.first_token(ask.cost.prefill + ahead);
        self.room.add(ticket, ask.lane(), ask.cost);
        self.expiry.insert((ask.deadline + CANCEL_GRACE, ticket));
        self.granted.insert(ticket, Grant { request: ask, at: now, expected });
    }
}
