//! What an owner may grant, so that two nodes which both take themselves for
//! a target's owner never grant more than it bears between them.
//!
//! At any time at most one node holds full terms, and only while no other
//! grants; an owner that can't confirm itself holds half, and so does its
//! successor until it knows that the predecessor has stopped.

use crate::assign::{Acquisition, Assigner};
use crate::owner::Allowance;
use crate::table::{Entry, Holder};
use std::time::{Duration, Instant};

/// Longer between two looks at the clock than any busy process takes: it was
/// paused.
const PAUSE_THRESHOLD: Duration = Duration::from_secs(2);

/// When terms are looked at again that no certain time ends.
const RECHECK_INTERVAL: Duration = Duration::from_millis(500);

/// What this node knows of its own status.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Status {
    /// Whether its lease is certainly valid.
    pub(crate) is_lease_valid: bool,
    /// When its registration was sent.
    pub(crate) registered_at: Option<Instant>,
    /// When the service last confirmed the document, by when the call was
    /// sent.
    pub(crate) confirmed_at: Option<Instant>,
    /// When any other node was heard.
    pub(crate) peer_heard_at: Option<Instant>,
    last_tick_at: Option<Instant>,
    resumed_at: Option<Instant>,
}

impl Status {
    /// Notes the time; a leap in it is a pause of this process.
    pub(crate) fn tick(&mut self, now: Instant) {
        let was_paused = self.last_tick_at.is_some_and(|at| at + PAUSE_THRESHOLD < now);
        if was_paused {
            self.resumed_at = Some(now);
        }
        self.last_tick_at = Some(now);
    }

    /// Whether this node is certainly what the document says it is: its lease
    /// is valid, and the service spoke lately. A takeover that was decided
    /// while this node was lost may be written after it came back; the new
    /// owner waits as long as a word counts here.
    pub(crate) fn is_confirmed(&self, now: Instant, max_age: Duration) -> bool {
        self.is_lease_valid
            && self.confirmed_at.is_some_and(|confirmed_at| now < confirmed_at + max_age)
    }

    /// Whether the service or another node was heard since this process was
    /// paused last.
    fn has_contact_since_pause(&self) -> bool {
        let last_contact = self.confirmed_at.max(self.peer_heard_at);
        self.resumed_at.is_none_or(|resumed| last_contact.is_some_and(|at| resumed <= at))
    }
}

/// The terms of a target that this node owns.
pub(crate) fn decide(
    assigner: &Assigner,
    now: Instant,
    entry: &Entry,
    acquisition: &Acquisition,
) -> Allowance {
    let options = &assigner.options;
    // Permits of the predecessor live for one permit's life. One that has not
    // handed over may have come back before the takeover was written, and
    // goes on until its word of the document is stale.
    let predecessor_time =
        if entry.before.is_empty() { Duration::ZERO } else { options.max_document_age };
    let until = acquisition.at + predecessor_time + options.permit_ttl;
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

/// Whether this node hears none of the others, though there are some.
///
/// Failure: a node loses the service and all peers, but not its targets and
/// callers. Others take its targets over, and it never learns of it. While
/// the platform is down but the nodes hear each other, owners go on.
fn is_alone(assigner: &Assigner, now: Instant) -> bool {
    let local = &assigner.info.node;
    let has_others = assigner.nodes.keys().chain(assigner.missing.keys()).any(|node| node != local);
    let has_peer_contact = assigner
        .status
        .peer_heard_at
        .is_some_and(|at| now < at + assigner.options.isolation_timeout);
    has_others && !has_peer_contact
}

/// Whether a former owner certainly grants nothing any more, and no permit of
/// it can be used.
pub(crate) fn is_gone(
    assigner: &Assigner,
    now: Instant,
    holder: &Holder,
    acquisition: &Acquisition,
) -> bool {
    let stopped = acquisition.stopped.get(holder);
    stopped.is_some_and(|at| *at + assigner.options.permit_ttl <= now)
}

/// Whether a former owner has stopped granting by `now`.
pub(crate) fn has_stopped(
    assigner: &Assigner,
    now: Instant,
    holder: &Holder,
    acquisition: &Acquisition,
) -> bool {
    // A later process of its name runs.
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

/// Whether a former owner, if it still runs, has stopped because it hears
/// nobody: it is the only node that is missing, so every node it may hear
/// knows this document and has told it, and without any it stops.
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
