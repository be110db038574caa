//! How much of a target's capacity an owner may grant, such that two nodes which both
//! believe that they own the target never grant more than its capacity together.
//!
//! At any time at most one node has the full allowance, and only while no other node
//! grants anything. An owner that can't confirm its ownership has half, and so has its
//! successor until it knows that the predecessor has stopped.

use crate::assign::{Acquisition, Assigner};
use crate::owner::Allowance;
use crate::table::{Entry, Holder};
use std::time::{Duration, Instant};

/// An interval between two ticks that exceeds this shows that the process was paused,
/// since even a busy process ticks more often.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// Time until the next decision if it is unknown when the owner may grant.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What this node knows about itself.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Status {
    /// Whether its lease is certainly valid.
    pub(crate) is_lease_valid: bool,
    /// When its registration was sent.
    pub(crate) registered_at: Option<Instant>,
    /// When the call was sent by which the service last confirmed the document.
    pub(crate) confirmed_at: Option<Instant>,
    /// When it last had contact with any other node.
    pub(crate) last_peer_contact_at: Option<Instant>,
    last_tick_at: Option<Instant>,
    resumed_at: Option<Instant>,
}

impl Status {
    /// Records the time and detects pauses of this process.
    pub(crate) fn tick(&mut self, now: Instant) {
        let was_paused = self.last_tick_at.is_some_and(|at| at + PAUSE_THRESHOLD < now);
        if was_paused {
            self.resumed_at = Some(now);
        }
        self.last_tick_at = Some(now);
    }

    /// Whether this node certainly owns what the document says: its lease is valid, and
    /// the service confirmed the document within `max_age`.
    ///
    /// A takeover that was decided while this node counted as lost may be written after
    /// the node has come back. The new owner therefore waits for `max_age` as well.
    pub(crate) fn is_confirmed(&self, now: Instant, max_age: Duration) -> bool {
        self.is_lease_valid
            && self.confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + max_age)
    }

    /// Whether the service or another node has been in contact since the last pause of
    /// this process.
    fn has_contact_since_pause(&self) -> bool {
        let last_contact = self.confirmed_at.max(self.last_peer_contact_at);
        self.resumed_at.is_none_or(|resumed| last_contact.is_some_and(|at| resumed <= at))
    }
}

/// Returns the allowance for a target that this node owns.
pub(crate) fn decide(
    assigner: &Assigner,
    now: Instant,
    entry: &Entry,
    acquisition: &Acquisition,
) -> Allowance {
    let options = &assigner.options;
    // Permits of the predecessor expire after `permit_ttl`. A predecessor that has not
    // handed the target over may have come back before the takeover was written, and
    // continues until its confirmation of the document expires.
    let predecessor_grace =
        if entry.before.is_empty() { Duration::ZERO } else { options.max_document_age };
    let until = acquisition.at + predecessor_grace + options.permit_ttl;
    if now < until {
        return Allowance::WaitUntil(until);
    }
    let recheck = Allowance::WaitUntil(now + RECHECK_INTERVAL);
    let status = &assigner.status;
    if !status.has_contact_since_pause() {
        return recheck;
    }
    let is_confirmed = status.is_confirmed(now, options.max_document_age);
    if !is_confirmed && is_alone(assigner, now) {
        return recheck;
    }
    let possible_grantors =
        entry.before.iter().filter(|holder| !is_gone(assigner, now, holder, acquisition)).count();
    match possible_grantors {
        0 if is_confirmed => Allowance::Full,
        0 | 1 => Allowance::Half,
        // Two former owners may hold half each.
        _ => recheck,
    }
}

/// Whether this node has no contact with any other node, although there are some.
///
/// This stops an owner that loses the service and all peers, but not its targets and
/// callers: others take its targets over without its knowledge. While the service is down
/// but the nodes have contact with each other, owners continue.
fn is_alone(assigner: &Assigner, now: Instant) -> bool {
    let local = &assigner.info.node;
    let has_others = assigner.nodes.keys().chain(assigner.missing.keys()).any(|node| node != local);
    let has_peer_contact = assigner
        .status
        .last_peer_contact_at
        .is_some_and(|at| now < at + assigner.options.isolation_timeout);
    has_others && !has_peer_contact
}

/// Whether a former owner certainly grants nothing more, and all its permits have
/// expired.
pub(crate) fn is_gone(
    assigner: &Assigner,
    now: Instant,
    holder: &Holder,
    acquisition: &Acquisition,
) -> bool {
    let stopped = acquisition.stopped.get(holder);
    stopped.is_some_and(|at| *at + assigner.options.permit_ttl <= now)
}

/// Whether a former owner has certainly stopped granting at `now`.
pub(crate) fn has_stopped(
    assigner: &Assigner,
    now: Instant,
    holder: &Holder,
    acquisition: &Acquisition,
) -> bool {
    // A later process with the same node name is running.
    let present = assigner.nodes.get(&holder.node);
    if present.is_some_and(|info| info.incarnation != holder.incarnation) {
        return true;
    }
    // It knows the document that takes the target from it.
    let peer_revision = assigner.peer_revisions.get(&holder.node);
    if peer_revision.is_some_and(|revision| acquisition.revision <= *revision) {
        return true;
    }
    acquisition.at + assigner.options.lost_timeout <= now
        || is_cut_off(assigner, now, holder, acquisition)
}

/// Whether a former owner, if it is still running, has stopped for lack of contact with
/// other nodes.
///
/// That holds if it is the only missing node: every node that could contact it knows this
/// document and would pass it on, and without any contact it stops.
fn is_cut_off(
    assigner: &Assigner,
    now: Instant,
    holder: &Holder,
    acquisition: &Acquisition,
) -> bool {
    let options = &assigner.options;
    let is_only_missing = assigner.missing.keys().all(|node| *node == holder.node);
    let has_met = assigner.missing.get(&holder.node).is_some_and(|missing| missing.has_met);
    is_only_missing
        && has_met
        && acquisition.at + options.max_document_age + 2 * options.isolation_timeout <= now
}
