//! Getting leave to send: choose a target, ask its owner, check once more.

use crate::core::Core;
use crate::owned::{QUEUED, TAKEN};
use crate::parse::{PREFIX_LEN, refuse};
use crate::table;
use crate::view::{Need, View};
use hickory_policy::cost::{Class, Cost};
use hickory_policy::place::{
    MAX_IMMEDIATE_ASKS, Prefix, Query, choose_target, counts_as_ask, wants_immediate_answer,
};
use hickory_policy::refuse::{Reason, Refusal, Retry};
use hickory_target::engine;
use hickory_unit::clock::Clock;
use hickory_unit::{id, size};
use hickory_wire::link;
use hickory_wire::message::{self, Ending, Outcome, Permit, PermitRequest};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Targets that are asked for one attempt. Each answer of "queue too long"
/// tells that placement was wrong by what it did not yet know; after three,
/// the fleet is full rather than the choice unlucky.
const ASKS_MAX: usize = 4;

/// When to come back where no target takes work at all.
const NO_TARGET_RETRY: Duration = Duration::from_secs(1);

/// How often an outcome is told to an owner that does not answer; after that
/// its own sweep finds the end by the deadline within the stream's id.
const OUTCOME_TRIES: u32 = 3;

/// What an attempt needs.
#[derive(Clone, Debug)]
pub(crate) struct Want<'a> {
    pub(crate) need: Need<'a>,
    pub(crate) stream: &'a id::Stream,
    pub(crate) partner: &'a id::Partner,
    pub(crate) account: &'a id::Account,
    pub(crate) class: Class,
    pub(crate) cost: Cost,
    pub(crate) deadline: Instant,
    pub(crate) fingerprint: u64,
    pub(crate) prefix: u64,
    /// Runs beside no other request.
    pub(crate) alone: bool,
}

/// Leave to send one attempt to one target.
#[derive(Clone, Debug)]
pub(crate) struct Leave {
    pub(crate) target: id::Target,
    pub(crate) address: SocketAddr,
    pub(crate) permit: Permit,
    pub(crate) stream: id::Stream,
    /// Time until the first token by what is known of the target.
    pub(crate) expected: Duration,
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

/// Attempts of a request that may have run. After three targets have failed it the
/// request is more likely to blame than they are.
const RUNS_MAX: u32 = 3;

/// Attempts that certainly never began, which cost no target anything.
const UNBEGUN_MAX: u32 = 8;

/// By which each wait after an attempt that never began is longer than the last.
const UNBEGUN_WAIT: Duration = Duration::from_millis(10);

/// A request's earlier attempts.
#[derive(Clone, Debug, Default)]
pub(crate) struct Tried {
    /// Targets that failed, or that nothing reached.
    failed: Vec<id::Target>,
    /// Targets that answered that they never began.
    refused: Vec<id::Target>,
    runs: u32,
    unbegun: u32,
}

impl Tried {
    /// Notes an attempt that ended so.
    pub(crate) fn note(&mut self, target: id::Target, retry: Retry) {
        match retry {
            Retry::Refused => self.refused.push(target),
            _ => self.failed.push(target),
        }
        self.count(retry);
    }

    /// Counts an attempt that is not one target's.
    pub(crate) fn count(&mut self, retry: Retry) {
        match retry {
            Retry::Refused | Retry::NotSent => self.unbegun += 1,
            _ => self.runs += 1,
        }
    }

    /// Waits until the next attempt; whether there may be one. What kept one from
    /// beginning lasts for some moments, and would keep the next ones at once.
    pub(crate) async fn wait(&self) -> bool {
        let may_go_on = self.runs < RUNS_MAX && self.unbegun < UNBEGUN_MAX;
        if may_go_on && self.unbegun > 0 {
            tokio::time::sleep(UNBEGUN_WAIT * (self.unbegun - 1)).await;
        }
        may_go_on
    }
}

/// Gets leave for an attempt, or the refusal that is final for it.
///
/// Targets that never began an earlier attempt come last: they live, and what
/// broke may have been the connection alone.
pub(crate) async fn obtain(core: &Core, want: &Want<'_>, tried: &Tried) -> Result<Leave, Refusal> {
    let all = [tried.failed.as_slice(), &tried.refused].concat();
    match obtain_beside(core, want, all).await {
        Err(refusal) if refusal.reason == Reason::NoTarget && !tried.refused.is_empty() => {
            obtain_beside(core, want, tried.failed.clone()).await
        }
        obtained => obtained,
    }
}

/// As [`obtain`], from a target that isn't among those `tried`.
async fn obtain_beside(
    core: &Core,
    want: &Want<'_>,
    mut tried: Vec<id::Target>,
) -> Result<Leave, Refusal> {
    let mut refusal: Option<Refusal> = None;
    let mut full = Vec::new();
    let mut asked = 0;
    while asked < ASKS_MAX {
        // Who was asked for an answer at once may queue the ask now.
        if asked >= MAX_IMMEDIATE_ASKS {
            full.clear();
        }
        let left_out: Vec<id::Target> = tried.iter().chain(&full).cloned().collect();
        let now = core.now();
        if now >= want.deadline {
            return Err(refuse(Reason::Deadline, "the deadline passed before it could be sent"));
        }
        let configuration =
            core.configuration().ok_or_else(|| refuse(Reason::NotReady, "no configuration yet"))?;
        let mut candidates =
            core.view.candidates(now, want.need, want.prefix, &configuration, &left_out);
        View::refresh_own(&mut candidates, &core.table.states());
        let Some(best) = choose_target(&query_of(want), &candidates) else { break };
        let target = best.target.clone();
        let at_once = !want.alone && wants_immediate_answer(want.cost, asked, candidates.len());
        let expected = hickory_policy::place::estimate_time_to_first_token(want.cost, best);
        // Counted from the ask on: what waits at an owner is not told yet, and
        // a whole burst would join the queue of one and the same target.
        core.view.note_sent(now, &target, want.cost);
        match ask_owner(core, want, &target, at_once).await {
            Ok(permit) => {
                let hosts = core.view.hosts();
                // The owner may be cut off from the platform and not know that
                // the zone is out: this node looks for itself before it sends.
                let fresh = core.configuration().unwrap_or(configuration);
                let host = hosts.get(&target).filter(|_| core.view.may_send(&target, &fresh));
                let Some(host) = host else {
                    let ending = Ending::NotSent;
                    give_back(core, &target, &permit, want.stream, ending, None);
                    tried.push(target);
                    continue;
                };
                let (address, stream) = (host.address, want.stream.clone());
                return Ok(Leave { target, address, permit, stream, expected });
            }
            Err(Some(refused)) => {
                core.metrics.retried(Retry::QueueLong);
                let is_full = counts_as_ask(refused.reason);
                asked += usize::from(is_full);
                if at_once && is_full {
                    full.push(target);
                } else {
                    tried.push(target);
                }
                let sooner = refusal.as_ref().is_none_or(|r| refused.retry_after < r.retry_after);
                // An owner that is asked for an answer at once does not say
                // when to come back.
                if sooner && !at_once {
                    refusal = Some(refused);
                }
            }
            Err(None) => {
                asked += 1;
                tried.push(target);
            }
        }
    }
    Err(refusal.unwrap_or_else(|| Refusal {
        retry_after: Some(NO_TARGET_RETRY),
        ..refuse(Reason::NoTarget, "no target that may run it takes work at present")
    }))
}

fn query_of(want: &Want<'_>) -> Query {
    let tokens = size::Tokens::from_bytes(size::Bytes(PREFIX_LEN as u64));
    let has_prefix = matches!(want.need, Need::Weights(_)) && want.cost.prefill >= tokens;
    let prefix = has_prefix.then_some(Prefix { hash: want.prefix, tokens });
    Query { cost: want.cost, class: want.class, prefix, random: rand::random() }
}

/// Asks the owner of `target` until it grants or refuses; `None` where the
/// owner can't be asked.
async fn ask_owner(
    core: &Core,
    want: &Want<'_>,
    target: &id::Target,
    at_once: bool,
) -> Result<Permit, Option<Refusal>> {
    loop {
        let asked = core.now();
        let Some(time_left) = want.deadline.checked_duration_since(asked) else {
            return Err(Some(refuse(Reason::Deadline, "the deadline passed in the queue")));
        };
        let ask = PermitRequest { must_not_queue: at_once, ..make_ask(want, target, time_left) };
        let answer = match send_ask(core, &ask).await {
            Ok(answer) => answer,
            Err(_) => {
                core.metrics.retried(Retry::OwnerSilent);
                return Err(None);
            }
        };
        match answer {
            Ok(permit) if core.now() < asked + permit.lifetime => {
                core.metrics.permit_waited(core.now() - asked);
                return Ok(permit);
            }
            Ok(permit) => {
                core.metrics.retried(Retry::StalePermit);
                give_back(core, target, &permit, want.stream, Ending::NotSent, None);
            }
            Err(refused) if refused.reason == QUEUED => {}
            Err(refused) if refused.is_not_owner => {
                core.metrics.retried(Retry::NotOwner);
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

/// Asks the owner of `target` for an answer at once, yes or no. The same ask
/// again renews the life of its permit.
pub(crate) async fn ask_at_once(
    core: &Core,
    want: &Want<'_>,
    target: &id::Target,
) -> Option<Permit> {
    let asked = core.now();
    let time_left = want.deadline.checked_duration_since(asked)?;
    let ask = PermitRequest { must_not_queue: true, ..make_ask(want, target, time_left) };
    let permit = send_ask(core, &ask).await.ok()?.ok()?;
    let configuration = core.configuration()?;
    let usable = core.now() < asked + permit.lifetime && core.view.may_send(target, &configuration);
    if !usable {
        give_back(core, target, &permit, want.stream, Ending::NotSent, None);
    }
    usable.then_some(permit)
}

fn make_ask(want: &Want<'_>, target: &id::Target, time_left: Duration) -> PermitRequest {
    PermitRequest {
        stream: want.stream.clone(),
        target: target.clone(),
        partner: want.partner.clone(),
        account: want.account.clone(),
        is_batch: want.class == Class::Batch,
        cost: message::Cost {
            prefill: want.cost.prefill,
            decode: want.cost.decode,
            kv: want.cost.kv(),
        },
        weights: match want.need {
            Need::Weights(weights) => Some(to_wire(weights)),
            Need::Service(_) => None,
        },
        time_left,
        runs_alone: want.alone,
        fingerprint: want.fingerprint,
        prefix: want.prefix,
        must_not_queue: false,
    }
}

/// Where the owner of a target listens.
enum Owner {
    /// It is this node.
    Here,
    /// It is a peer.
    There(SocketAddr),
}

fn find_owner(core: &Core, target: &id::Target) -> Option<Owner> {
    let owner = core.owners.owner(target)?;
    if owner.node == *core.me() {
        return Some(Owner::Here);
    }
    core.view.find_node(&owner.node).map(|info| Owner::There(info.peers))
}

fn no_owner() -> link::Error {
    link::Error::Connect("no owner known".into())
}

async fn send_ask(
    core: &Core,
    ask: &PermitRequest,
) -> Result<Result<Permit, message::Refusal>, link::Error> {
    match find_owner(core, &ask.target).ok_or_else(no_owner)? {
        Owner::Here => Ok(table::permit(core, ask).await),
        Owner::There(address) => {
            let links = core.links.get().ok_or(link::Error::Closed)?;
            links.request_permit(address, ask.clone(), core.peer_timeout()).await
        }
    }
}

/// Tells the owner of a target that this node serves the rest of a stream.
pub(crate) async fn adopt(core: &Core, adopt: message::Adoption) -> Result<Permit, Refusal> {
    // The owner may have gone with the caller's node: its successor, once it
    // is there, finds the stream on the target.
    let no_owner = || Refusal {
        retry_after: Some(core.permit_life()),
        ..refuse(Reason::NoOwner, "the target has no owner at present")
    };
    let answer = match find_owner(core, &adopt.target).ok_or_else(no_owner)? {
        Owner::Here => table::adopt(core, &adopt),
        Owner::There(address) => {
            let links = core.links.get().ok_or_else(no_owner)?;
            let answer = links.adopt(address, adopt, core.peer_timeout()).await;
            answer.map_err(|_| no_owner())?
        }
    };
    answer.map_err(|refused| match refused.reason.as_str() {
        _ if refused.is_not_owner => no_owner(),
        TAKEN => refuse(Reason::AlreadyClaimed, "another node serves the stream"),
        _ => refuse(Reason::StreamLost, "no target holds the stream any more"),
    })
}

/// Whether this node may take its own stream up again after a cut.
///
/// The engine cuts a reader when another one comes: if this node was paused,
/// its caller may have gone on through another node, and taking the stream
/// back would cut that one. While the target has no owner the answer waits,
/// for `limit` at most: then the cut is far likelier than a second reader.
pub(crate) async fn may_keep(core: &Core, want: message::Adoption, limit: Duration) -> bool {
    let end = core.now() + limit;
    loop {
        match adopt(core, want.clone()).await {
            Err(refusal) if refusal.reason == Reason::AlreadyClaimed => return false,
            Err(refusal) if refusal.reason == Reason::NoOwner && core.now() < end => {
                tokio::time::sleep(core.permit_life() / 4).await;
            }
            Ok(_) | Err(_) => return true,
        }
    }
}

/// Tells the owner how an attempt ended, without waiting for it.
pub(crate) fn give_back(
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
        Some(Owner::Here) => table::end(core, &outcome),
        Some(Owner::There(address)) => {
            let Some(links) = core.links.get().cloned() else { return };
            let timeout = core.peer_timeout();
            tokio::spawn(async move {
                for _ in 0..OUTCOME_TRIES {
                    if links.report_outcome(address, outcome.clone(), timeout).await.is_ok() {
                        return;
                    }
                }
            });
        }
        None => {}
    }
}

/// The id of an attempt's stream.
pub(crate) fn name_stream(
    core: &Arc<Core>,
    request: id::Request,
    attempt: u32,
    deadline_ms: u64,
) -> id::Stream {
    id::Stream { request, attempt, sender: core.me().clone(), deadline_ms }
}

/// A cost of one slot, for calls of plain services.
pub(crate) const ONE_SLOT: Cost = Cost { prefill: size::Tokens(0), decode: size::Tokens(0) };

/// Milliseconds of wall-clock time.
pub(crate) fn wall_ms(core: &Core) -> u64 {
    core.clock.wall_ms()
}
