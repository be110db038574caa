//! Obtains permits to send: chooses a target, asks its owner, and checks again before sending.

use crate::core::Core;
use crate::owned::{QUEUED_REASON, TAKEN_REASON};
use crate::parse::{AFFINITY_PREFIX_BYTES, refuse};
use crate::table;
use crate::view::{Capability, View};
use hickory_policy::cost::{Class, Cost};
use hickory_policy::place::{
    MAX_IMMEDIATE_REQUESTS, Prefix, Query, choose_target, counts_as_request, wants_immediate_answer,
};
use hickory_policy::refuse::{Reason, Refusal, RetryReason};
use hickory_target::engine;
use hickory_unit::clock::Clock;
use hickory_unit::{id, size};
use hickory_wire::link;
use hickory_wire::message::{self, Ending, Outcome, Permit, PermitRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Maximum number of asks in one attempt that end in a full queue or without an answer. A full
/// queue shows that placement used outdated states; after three, the fleet is probably full.
const MAX_COUNTED_ASKS: usize = 4;

/// Retry delay for callers if no target accepts work.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Maximum number of times an outcome is sent to an owner that doesn't answer. After that, the
/// owner's sweep detects the end by the deadline in the stream's id.
const MAX_OUTCOME_SENDS: u32 = 3;

/// What an attempt requires.
#[derive(Clone, Debug)]
pub(crate) struct AttemptSpec<'a> {
    pub(crate) capability: Capability<'a>,
    pub(crate) stream: &'a id::Stream,
    pub(crate) partner: &'a id::Partner,
    pub(crate) account: &'a id::Account,
    pub(crate) class: Class,
    pub(crate) cost: Cost,
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: u64,
    pub(crate) prefix: u64,
    /// Whether it must run without other requests on the target.
    pub(crate) is_exclusive: bool,
}

/// A permit to send one attempt to one target.
#[derive(Clone, Debug)]
pub(crate) struct Placement {
    pub(crate) target: id::Target,
    pub(crate) address: SocketAddr,
    pub(crate) permit: Permit,
    pub(crate) stream: id::Stream,
    /// Expected time until the first token, by the target's known state.
    pub(crate) expected_first_token: Duration,
}

pub(crate) fn to_wire(weights: &engine::Weights) -> message::Weights {
    message::Weights {
        model: weights.model.clone(),
        version: weights.version.clone(),
        adapter: weights.adapter.clone(),
    }
}

pub(crate) fn from_wire(weights: &message::Weights) -> engine::Weights {
    engine::Weights {
        model: weights.model.clone(),
        version: weights.version.clone(),
        adapter: weights.adapter.clone(),
    }
}

/// Maximum number of attempts that may have run. After three targets have failed, the request
/// is a likelier cause than the targets.
const MAX_STARTED_ATTEMPTS: u32 = 3;

/// Maximum number of attempts that certainly never started; these cost no target any work.
const MAX_UNSTARTED_ATTEMPTS: u32 = 8;

/// Increment of the backoff after each attempt that never started.
const UNSTARTED_BACKOFF_STEP: Duration = Duration::from_millis(10);

/// The earlier attempts of a request.
#[derive(Clone, Debug, Default)]
pub(crate) struct AttemptHistory {
    /// Targets that failed or were unreachable.
    failed: Vec<id::Target>,
    /// Targets that answered that the attempt never started.
    refused: Vec<id::Target>,
    runs: u32,
    unstarted: u32,
}

impl AttemptHistory {
    /// Records a failed attempt on a target.
    pub(crate) fn record(&mut self, target: id::Target, retry: RetryReason) {
        match retry {
            RetryReason::Refused => self.refused.push(target),
            _ => self.failed.push(target),
        }
        self.count(retry);
    }

    /// Counts a failed attempt that can't be attributed to a single target.
    pub(crate) fn count(&mut self, retry: RetryReason) {
        match retry {
            RetryReason::Refused | RetryReason::NotSent => self.unstarted += 1,
            _ => self.runs += 1,
        }
    }

    /// Waits before the next attempt; returns whether there may be one. What kept an attempt from
    /// starting usually lasts for a moment, so an immediate retry would fail as well.
    pub(crate) async fn wait_before_retry(&self) -> bool {
        let has_attempts_left =
            self.runs < MAX_STARTED_ATTEMPTS && self.unstarted < MAX_UNSTARTED_ATTEMPTS;
        if has_attempts_left && self.unstarted > 0 {
            tokio::time::sleep(UNSTARTED_BACKOFF_STEP * (self.unstarted - 1)).await;
        }
        has_attempts_left
    }
}

/// Obtains a placement for an attempt, or the final refusal for it.
///
/// Targets on which an earlier attempt never started are tried last: they are alive, and
/// possibly only the connection failed.
pub(crate) async fn obtain_placement(
    core: &Core,
    spec: &AttemptSpec<'_>,
    history: &AttemptHistory,
) -> Result<Placement, Refusal> {
    let all = [history.failed.as_slice(), &history.refused].concat();
    match obtain_excluding(core, spec, all).await {
        Err(refusal) if refusal.reason == Reason::NoTarget && !history.refused.is_empty() => {
            obtain_excluding(core, spec, history.failed.clone()).await
        }
        obtained => obtained,
    }
}

/// Obtains a placement on a target that isn't in `rejected`.
async fn obtain_excluding(
    core: &Core,
    spec: &AttemptSpec<'_>,
    mut rejected: Vec<id::Target>,
) -> Result<Placement, Refusal> {
    let mut refusal: Option<Refusal> = None;
    let mut full_targets = Vec::new();
    let mut counted_asks = 0;
    while counted_asks < MAX_COUNTED_ASKS {
        // Targets that were asked without queueing may queue the ask now.
        if counted_asks >= MAX_IMMEDIATE_REQUESTS {
            full_targets.clear();
        }
        let excluded: Vec<id::Target> = rejected.iter().chain(&full_targets).cloned().collect();
        let now = core.now();
        if now >= spec.deadline {
            return Err(refuse(Reason::Deadline, "the deadline passed before it could be sent"));
        }
        let configuration =
            core.configuration().ok_or_else(|| refuse(Reason::NotReady, "no configuration yet"))?;
        let mut candidates =
            core.view.candidates(now, spec.capability, spec.prefix, &configuration, &excluded);
        View::apply_own_states(&mut candidates, &core.table.states());
        let Some(best) = choose_target(&make_query(spec), &candidates) else { break };
        let target = best.target.clone();
        let is_immediate =
            !spec.is_exclusive && wants_immediate_answer(spec.cost, counted_asks, candidates.len());
        let expected_first_token =
            hickory_policy::place::estimate_time_to_first_token(spec.cost, best);
        // Counted from the ask on: asks queued at an owner aren't published yet, and a burst of
        // requests would otherwise choose the same target.
        core.view.note_sent(now, &target, spec.cost);
        match ask_owner(core, spec, &target, is_immediate).await {
            Ok(permit) => {
                let hosts = core.view.hosts();
                // The owner may be cut off from the platform and not know that the zone is out
                // of service, so this node checks its own configuration before sending.
                let current = core.configuration().unwrap_or(configuration);
                let host = hosts.get(&target).filter(|_| core.view.may_send(&target, &current));
                let Some(host) = host else {
                    let ending = Ending::NotSent;
                    report_outcome(core, &target, &permit, spec.stream, ending, None);
                    rejected.push(target);
                    continue;
                };
                let (address, stream) = (host.address, spec.stream.clone());
                return Ok(Placement { target, address, permit, stream, expected_first_token });
            }
            Err(Some(refused)) => {
                core.metrics.count_retry(RetryReason::QueueLong);
                let is_full = counts_as_request(refused.reason);
                counted_asks += usize::from(is_full);
                if is_immediate && is_full {
                    full_targets.push(target);
                } else {
                    rejected.push(target);
                }
                let is_sooner =
                    refusal.as_ref().is_none_or(|r| refused.retry_after < r.retry_after);
                // An owner that refuses an ask without queueing states no retry delay.
                if is_sooner && !is_immediate {
                    refusal = Some(refused);
                }
            }
            Err(None) => {
                counted_asks += 1;
                rejected.push(target);
            }
        }
    }
    Err(refusal.unwrap_or_else(|| Refusal {
        retry_after: Some(NO_TARGET_RETRY_AFTER),
        ..refuse(Reason::NoTarget, "no target that may run it takes work at present")
    }))
}

fn make_query(spec: &AttemptSpec<'_>) -> Query {
    let tokens = size::Tokens::from_bytes(size::Bytes(AFFINITY_PREFIX_BYTES as u64));
    let has_prefix =
        matches!(spec.capability, Capability::Weights(_)) && spec.cost.prefill >= tokens;
    let prefix = has_prefix.then_some(Prefix { hash: spec.prefix, tokens });
    Query { cost: spec.cost, class: spec.class, prefix, random: rand::random() }
}

/// Asks the owner of `target` until it grants or refuses; returns `Err(None)` if no owner can
/// be asked.
async fn ask_owner(
    core: &Core,
    spec: &AttemptSpec<'_>,
    target: &id::Target,
    is_immediate: bool,
) -> Result<Permit, Option<Refusal>> {
    loop {
        let asked_at = core.now();
        let Some(time_left) = spec.deadline.checked_duration_since(asked_at) else {
            return Err(Some(refuse(Reason::Deadline, "the deadline passed in the queue")));
        };
        let ask =
            PermitRequest { must_not_queue: is_immediate, ..make_ask(spec, target, time_left) };
        let answer = match send_ask(core, &ask).await {
            Ok(answer) => answer,
            Err(_) => {
                core.metrics.count_retry(RetryReason::OwnerSilent);
                return Err(None);
            }
        };
        match answer {
            Ok(permit) if core.now() < asked_at + permit.lifetime => {
                core.metrics.observe_permit_wait(core.now() - asked_at);
                return Ok(permit);
            }
            Ok(permit) => {
                core.metrics.count_retry(RetryReason::StalePermit);
                report_outcome(core, target, &permit, spec.stream, Ending::NotSent, None);
            }
            Err(refused) if refused.reason == QUEUED_REASON => {}
            Err(refused) if refused.is_not_owner => {
                core.metrics.count_retry(RetryReason::NotOwner);
                return Err(None);
            }
            Err(refused) => {
                let reason = Reason::parse(&refused.reason).unwrap_or(Reason::Overloaded);
                let detail = format!("target {target} takes no more");
                let retry_after = Some(refused.retry_after);
                return Err(Some(Refusal { retry_after, ..refuse(reason, detail) }));
            }
        }
    }
}

/// Asks the owner of `target` for a permit without queueing. Repeating the ask renews the
/// permit's lifetime.
pub(crate) async fn ask_immediately(
    core: &Core,
    spec: &AttemptSpec<'_>,
    target: &id::Target,
) -> Option<Permit> {
    let asked_at = core.now();
    let time_left = spec.deadline.checked_duration_since(asked_at)?;
    let ask = PermitRequest { must_not_queue: true, ..make_ask(spec, target, time_left) };
    let permit = send_ask(core, &ask).await.ok()?.ok()?;
    let configuration = core.configuration()?;
    let is_usable =
        core.now() < asked_at + permit.lifetime && core.view.may_send(target, &configuration);
    if !is_usable {
        report_outcome(core, target, &permit, spec.stream, Ending::NotSent, None);
    }
    is_usable.then_some(permit)
}

fn make_ask(spec: &AttemptSpec<'_>, target: &id::Target, time_left: Duration) -> PermitRequest {
    PermitRequest {
        stream: spec.stream.clone(),
        target: target.clone(),
        partner: spec.partner.clone(),
        account: spec.account.clone(),
        is_batch: spec.class == Class::Batch,
        cost: message::Cost {
            prefill: spec.cost.prefill,
            decode: spec.cost.decode,
            kv: spec.cost.kv(),
        },
        weights: match spec.capability {
            Capability::Weights(weights) => Some(to_wire(weights)),
            Capability::Service(_) => None,
        },
        time_left,
        runs_alone: spec.is_exclusive,
        fingerprint: spec.fingerprint,
        prefix: spec.prefix,
        must_not_queue: false,
    }
}

/// The owner of a target.
enum Owner {
    /// This node.
    Local,
    /// A peer, with the address for other nodes.
    Remote(SocketAddr),
}

fn find_owner(core: &Core, target: &id::Target) -> Option<Owner> {
    let owner = core.owners.owner(target)?;
    if owner.node == *core.node_id() {
        return Some(Owner::Local);
    }
    core.view.find_node(&owner.node).map(|info| Owner::Remote(info.peers))
}

fn no_owner_error() -> link::Error {
    link::Error::Connect("no owner known".into())
}

async fn send_ask(
    core: &Core,
    ask: &PermitRequest,
) -> Result<Result<Permit, message::Refusal>, link::Error> {
    match find_owner(core, &ask.target).ok_or_else(no_owner_error)? {
        Owner::Local => Ok(table::permit(core, ask).await),
        Owner::Remote(address) => {
            let links = core.links.get().ok_or(link::Error::Closed)?;
            links.request_permit(address, ask.clone(), core.peer_timeout()).await
        }
    }
}

/// Informs the owner of a target that this node serves the rest of a stream.
pub(crate) async fn adopt(core: &Core, adopt: message::Adoption) -> Result<Permit, Refusal> {
    // The owner may have failed together with the caller's node. Its successor will find the
    // stream on the target.
    let refuse_no_owner = || Refusal {
        retry_after: Some(core.permit_lifetime()),
        ..refuse(Reason::NoOwner, "the target has no owner at present")
    };
    let answer = match find_owner(core, &adopt.target).ok_or_else(refuse_no_owner)? {
        Owner::Local => table::adopt(core, &adopt),
        Owner::Remote(address) => {
            let links = core.links.get().ok_or_else(refuse_no_owner)?;
            let answer = links.adopt(address, adopt, core.peer_timeout()).await;
            answer.map_err(|_| refuse_no_owner())?
        }
    };
    answer.map_err(|refused| match refused.reason.as_str() {
        _ if refused.is_not_owner => refuse_no_owner(),
        TAKEN_REASON => refuse(Reason::AlreadyClaimed, "another node serves the stream"),
        _ => refuse(Reason::StreamLost, "no target holds the stream any more"),
    })
}

/// Returns whether this node may resume its own stream after a broken connection.
///
/// The engine disconnects a reader when another one connects. If this node was paused, its
/// caller may have resumed through another node, and resuming here would disconnect that one.
/// While the target has no owner, the answer is delayed by up to `limit`; after that, a broken
/// connection is far likelier than a second reader.
pub(crate) async fn can_keep_stream(
    core: &Core,
    request: message::Adoption,
    limit: Duration,
) -> bool {
    let end = core.now() + limit;
    loop {
        match adopt(core, request.clone()).await {
            Err(refusal) if refusal.reason == Reason::AlreadyClaimed => return false,
            Err(refusal) if refusal.reason == Reason::NoOwner && core.now() < end => {
                tokio::time::sleep(core.permit_lifetime() / 4).await;
            }
            Ok(_) | Err(_) => return true,
        }
    }
}

/// Reports an attempt's outcome to the owner in the background.
pub(crate) fn report_outcome(
    core: &Core,
    target: &id::Target,
    permit: &Permit,
    stream: &id::Stream,
    ending: Ending,
    first_token: Option<Duration>,
) {
    let outcome = Outcome {
        target: target.clone(),
        permit: permit.id,
        epoch: permit.epoch,
        ending,
        time_to_first_token: first_token,
        stream: Some(stream.clone()),
    };
    match find_owner(core, target) {
        Some(Owner::Local) => table::apply_outcome(core, &outcome),
        Some(Owner::Remote(address)) => {
            let Some(links) = core.links.get().cloned() else { return };
            let timeout = core.peer_timeout();
            tokio::spawn(async move {
                for _ in 0..MAX_OUTCOME_SENDS {
                    if links.report_outcome(address, outcome.clone(), timeout).await.is_ok() {
                        return;
                    }
                }
            });
        }
        None => {}
    }
}

/// Returns the id of an attempt's stream.
pub(crate) fn make_stream_id(
    core: &Arc<Core>,
    request: id::Request,
    attempt: u32,
    deadline_ms: u64,
) -> id::Stream {
    id::Stream { request, attempt, sender: core.node_id().clone(), deadline_ms }
}

/// The cost of a call to a plain service: one slot, no tokens.
pub(crate) const SERVICE_CALL_COST: Cost =
    Cost { prefill: size::Tokens(0), decode: size::Tokens(0) };

/// Returns the wall-clock time in milliseconds.
pub(crate) fn wall_ms(core: &Core) -> u64 {
    core.clock.wall_ms()
}
