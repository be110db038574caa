//! What targets state of themselves in their answers, and which nodes learn of it.
//!
//! An answer reaches one node. That a target leaves concerns all nodes, its request rate the nodes
//! that place requests, and a rest only the node that the target has asked for it: the one whose
//! address it sees, which is a relay if one forwards the connection.

use crate::core::Core;
use crate::datagram::Event;
use crate::dialect::{Dialect, ResponseHead, Stated};
use crate::view::{Tag, Target};
use hickory_policy::misdirection::Misdirection;
use hickory_store::store::Store;
use hickory_telemetry::label::Sender;
use hickory_unit::clock::Clock;
use hickory_unit::finding::Finding;
use hickory_unit::id;
use http::StatusCode;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An answer of a target, from its head.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Answer<'a> {
    pub(crate) head: &'a ResponseHead,
    pub(crate) status: StatusCode,
    /// When the request of the answer was sent.
    pub(crate) sent_at: Instant,
    /// Whether the caller of the request named a version of the weights.
    pub(crate) names_version: bool,
    /// The relay that forwards the connection.
    pub(crate) relay: Option<SocketAddr>,
}

/// What an answer answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Source {
    Request,
    /// An order. Its answer may leave out what the target states, which withdraws nothing.
    Order,
    /// A health check. Its answer alone states whether the target is cold; as to the rest it is like
    /// an order's.
    HealthCheck,
}

/// Records what an answer states.
pub(crate) fn note<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    source: Source,
    answer: &Answer<'_>,
) {
    let misdirection = answer.head.misdirection(&target.id, answer.names_version);
    let is_another = answer.head.target.is_some() && misdirection == Misdirection::Address;
    if is_another {
        return note_another(core, target, answer);
    }
    if answer.status == StatusCode::MISDIRECTED_REQUEST {
        match misdirection {
            Misdirection::Address => return note_another(core, target, answer),
            Misdirection::Unknown if is_at_fault(target, answer) => {
                return core.doubtful().record(core.now(), target.tag);
            }
            Misdirection::Unknown | Misdirection::Request => {}
        }
    }
    // A health check succeeds only if the target doesn't leave.
    let is_healthy = source == Source::HealthCheck && answer.status.is_success();
    if source == Source::Request || answer.head.is_leaving || is_healthy {
        core.note_leaving(target, answer.sent_at, answer.head.is_leaving, answer.relay);
    }
    match &answer.head.rate_limit {
        Stated::None if source != Source::Request => {}
        Stated::None => core.note_rate_limit(target, answer.sent_at, None),
        Stated::Value(limit) => core.note_rate_limit(target, answer.sent_at, Some(*limit)),
        Stated::Malformed(finding) => warn_malformed(core, target, finding),
    }
    match &answer.head.load {
        Stated::None => {}
        Stated::Value(report) => core.note_load(target, *report),
        Stated::Malformed(finding) => warn_malformed(core, target, finding),
    }
    if source == Source::HealthCheck {
        note_cold(core, target, answer);
    }
    if is_healthy && core.resting().end(core.now(), target.tag, answer.sent_at) {
        log::info!(target_id = target.id.as_str(); "target asks for rest no more");
    }
    note_rest(core, target, answer);
}

/// Records whether a target is cold. A health response that names no time is one of a warm target,
/// unless it only says that the target is too busy to answer.
fn note_cold<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    answer: &Answer<'_>,
) {
    match &answer.head.cold_time_left {
        Stated::Value(time_left) => core.note_cold(target, answer.sent_at, *time_left),
        Stated::None if answer.status.is_success() => {
            core.note_cold(target, answer.sent_at, Duration::ZERO);
        }
        Stated::None => {}
        Stated::Malformed(finding) => warn_malformed(core, target, finding),
    }
}

/// Records that another target has the address of this one, unless a helper was misdirected.
fn note_another<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    answer: &Answer<'_>,
) {
    if !is_at_fault(target, answer) {
        return;
    }
    if !core.is_leaving(target.tag) {
        let address = target.entry.address;
        log::info!(target_id = target.id.as_str(), address:%; "another target has its address");
    }
    core.note_leaving(target, answer.sent_at, true, answer.relay);
}

/// Returns whether an answer names no helper as the one at fault.
fn is_at_fault(target: &Target, answer: &Answer<'_>) -> bool {
    let refusing = answer.head.refusing_target;
    refusing.is_none_or(|refusing| refusing == target.entry.address)
}

fn note_rest<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    answer: &Answer<'_>,
) {
    if !matches!(answer.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return;
    }
    let rest = match &answer.head.rest {
        Stated::None => return,
        Stated::Value(rest) => *rest,
        Stated::Malformed(finding) => return warn_malformed(core, target, finding),
    };
    core.note_rest(target.tag, rest, &core.settings.node);
    core.metrics.count_rest();
    let relay = answer.relay.and_then(|relay| core.peer_with_sync_address(relay));
    if let Some(relay) = relay {
        core.send(relay, Event::Rest(target.tag, rest));
    }
}

fn warn_malformed<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    finding: &Finding,
) {
    core.metrics.count_malformed(Sender::Target, 1);
    log::warn!(target_id = target.id.as_str(); "statement of a target ignored: {finding}");
}

impl<D: Dialect, S: Store, C: Clock> Core<D, S, C> {
    /// Records that a target wants no requests of this node for a time.
    pub(crate) fn note_rest(&self, tag: Tag, rest: Duration, told_by: &id::Node) {
        self.resting().record(self.now(), tag, rest);
        if let Some(target) = self.view().find_target(tag) {
            log::info!(
                target_id = target.id.as_str(),
                rest_ms = rest.as_millis() as u64,
                told_by = told_by.as_str();
                "target asks for rest"
            );
        }
    }

    /// Returns whether this node may send a target requests, as far as its answers tell.
    pub(crate) fn may_send(&self, target: Tag) -> bool {
        self.rest_left(target).is_zero() && !self.is_leaving(target)
    }

    /// Returns the time until a target wants requests of this node again.
    pub(crate) fn rest_left(&self, target: Tag) -> Duration {
        self.resting().time_left(self.now(), target)
    }

    /// Returns the datagram address of the peer that is synchronized with at this address.
    pub(crate) fn peer_with_sync_address(&self, address: SocketAddr) -> Option<SocketAddr> {
        let membership = self.membership();
        let mut present = membership.present();
        let peer = present.find(|record| record.contact.sync_address == address);
        peer.map(|record| record.contact.peer_address)
    }
}
