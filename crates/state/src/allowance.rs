//! What an owner may grant, so that two nodes which both take themselves for
//! a target's owner never grant more than it bears between them.
//!
//! At any time at most one node holds full terms, and only while no other
//! grants; an owner that can't confirm itself holds half, and so does its
//! successor until it knows that the predecessor has stopped.

use crate::assign::{Assigner, Taken};
use crate::owner::Allowance;
use crate::table::{Entry, Holder};
use std::time::{Duration, Instant};

/// Longer between two looks at the clock than any busy process takes: it was
/// paused.
const PAUSE: Duration = Duration::from_secs(2);

/// When terms are looked at again that no certain time ends.
const AGAIN: Duration = Duration::from_millis(500);

/// What this node knows of its own status.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Status {
    /// Whether its lease is certainly valid.
    pub(crate) lease: bool,
    /// When its registration was sent.
    pub(crate) registered_at: Option<Instant>,
    /// When the service last confirmed the document, by when the call was
    /// sent.
    pub(crate) read_at: Option<Instant>,
    /// When any other node was heard.
    pub(crate) heard_at: Option<Instant>,
    ticked_at: Option<Instant>,
    resumed_at: Option<Instant>,
}

impl Status {
    /// Notes the time; a leap in it is a pause of this process.
    pub(crate) fn tick(&mut self, now: Instant) {
        let paused = self.ticked_at.is_some_and(|at| at + PAUSE < now);
        if paused {
            self.resumed_at = Some(now);
        }
        self.ticked_at = Some(now);
    }

    /// Whether this node is certainly what the document says it is: its lease
    /// is valid, and the service spoke lately. A takeover that was decided
    /// while this node was lost may be written after it came back; the new
    /// owner waits as long as a word counts here.
    pub(crate) fn confirmed(&self, now: Instant, fresh: Duration) -> bool {
        self.lease && self.read_at.is_some_and(|read| now < read + fresh)
    }

    /// Whether the service or another node was heard since this process was
    /// paused last.
    fn awake(&self) -> bool {
        let word = self.read_at.max(self.heard_at);
        self.resumed_at.is_none_or(|resumed| word.is_some_and(|word| resumed <= word))
    }
}

/// The terms of a target that this node owns.
pub(crate) fn decide(assigner: &Assigner, now: Instant, entry: &Entry, taken: &Taken) -> Allowance {
    let options = &assigner.options;
    // Permits of the predecessor live for one permit's life. One that has not
    // handed over may have come back before the takeover was written, and
    // goes on until its word of the document is stale.
    let predecessor = if entry.before.is_empty() { Duration::ZERO } else { options.fresh };
    let until = taken.at + predecessor + options.permit;
    if now < until {
        return Allowance::WaitUntil(until);
    }
    let again = Allowance::WaitUntil(now + AGAIN);
    let status = &assigner.status;
    if !status.awake() {
        return again;
    }
    let confirmed = status.confirmed(now, options.fresh);
    if !confirmed && is_alone(assigner, now) {
        return again;
    }
    let unsure =
        entry.before.iter().filter(|holder| !is_gone(assigner, now, holder, taken)).count();
    match unsure {
        0 if confirmed => Allowance::Full,
        0 | 1 => Allowance::Half,
        // Two former owners may hold half each.
        _ => again,
    }
}

/// Whether this node hears none of the others, though there are some.
///
/// Failure: a node loses the service and all peers, but not its targets and
/// callers. Others take its targets over, and it never learns of it. While
/// the platform is down but the nodes hear each other, owners go on.
fn is_alone(assigner: &Assigner, now: Instant) -> bool {
    let me = &assigner.me.node;
    let others = assigner.nodes.keys().chain(assigner.missing.keys()).any(|node| node != me);
    let heard = assigner.status.heard_at.is_some_and(|at| now < at + assigner.options.alone);
    others && !heard
}

/// Whether a former owner certainly grants nothing any more, and no permit of
/// it can be used.
pub(crate) fn is_gone(assigner: &Assigner, now: Instant, holder: &Holder, taken: &Taken) -> bool {
    let stopped = taken.stopped.get(holder);
    stopped.is_some_and(|at| *at + assigner.options.permit <= now)
}

/// Whether a former owner has stopped granting by `now`.
pub(crate) fn has_stopped(
    assigner: &Assigner,
    now: Instant,
    holder: &Holder,
    taken: &Taken,
) -> bool {
    // A later process of its name runs.
    let present = assigner.nodes.get(&holder.node);
    if present.is_some_and(|info| info.incarnation != holder.incarnation) {
        return true;
    }
    // It knows the document that takes the target from it.
    let heard = assigner.heard.get(&holder.node);
    if heard.is_some_and(|revision| taken.revision <= *revision) {
        return true;
    }
    taken.at + assigner.options.lost <= now || is_cut_off(assigner, now, holder, taken)
}

/// Whether a former owner, if it still runs, has stopped because it hears
/// nobody: it is the only node that is missing, so every node it may hear
/// knows this document and has told it, and without any it stops.
fn is_cut_off(assigner: &Assigner, now: Instant, holder: &Holder, taken: &Taken) -> bool {
    let options = &assigner.options;
    let only = assigner.missing.keys().all(|node| *node == holder.node);
    let met = assigner.missing.get(&holder.node).is_some_and(|missing| missing.met);
    only && met && taken.at + options.fresh + 2 * options.alone <= now
}
