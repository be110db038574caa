//! The owner of a group of targets: places the requests of all nodes in the group, and queues
//! prompts until engines are available.

use crate::core::{Core, Stage};
use crate::datagram::Event;
use crate::dialect::Dialect;
use crate::group::Group;
use crate::ledger::AllocationId;
use crate::placement::{Answer, Decision, Origin, PlannedStart, Request, Scope, Snapshot};
use crate::schedule::{Planned, Promises};
use hickory_policy::plan;
use hickory_policy::queue::{Ahead, Priority, Queue};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long answers are kept, to repeat them if a requester didn't receive one and asks again.
const ANSWER_RETENTION: Duration = Duration::from_secs(2);

/// The minimum interval between two passes over the queues.
const MIN_QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The maximum interval between two passes over the queues.
const MAX_QUEUE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The maximum number of interrupted streams that a pass leaves waiting before it skips the others.
const MAX_WAITING_STREAMS: usize = 16;

/// Identifies a node's request for a place. The incarnation is part of it because a node that starts
/// anew numbers its requests from the start.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Ticket {
    pub(crate) node: id::Node,
    pub(crate) incarnation: id::Incarnation,
    pub(crate) id: AllocationId,
}

/// The requester and the address for the answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Requester {
    pub(crate) ticket: Ticket,
    pub(crate) address: SocketAddr,
}

/// A prompt that is queued for engines.
#[derive(Clone, Debug)]
struct QueuedRequest {
    requester: Requester,
    request: Request,
    origin: Origin,
    priority: Priority,
    received: Instant,
}

/// The queues and recent answers of a node as the owner of groups.
#[derive(Debug, Default)]
pub(crate) struct Owner {
    queues: HashMap<Group, Queue<Ticket, QueuedRequest>>,
    recent_answers: HashMap<Ticket, (Instant, Answer)>,
    /// The starts promised to the long prompts of patient services.
    promises: HashMap<Group, Promises>,
}

impl Owner {
    /// Removes a request from the queues.
    pub(crate) fn withdraw(&mut self, now: Instant, ticket: &Ticket) {
        for queue in self.queues.values_mut() {
            queue.remove(now, ticket);
        }
    }

    /// Removes the queued requests of a node that has restarted, and the answers to it.
    pub(crate) fn forget_node(&mut self, node: &id::Node) {
        self.queues.values_mut().for_each(|queue| queue.retain(|ticket| ticket.node != *node));
        self.recent_answers.retain(|ticket, _| ticket.node != *node);
    }

    /// Removes requests that are no longer repeated, and old answers.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.queues.values_mut().for_each(|queue| queue.expire(now));
        self.queues.retain(|_, queue| !queue.is_empty());
        self.promises.retain(|group, _| self.queues.contains_key(group));
        self.recent_answers
            .retain(|_, (at, _)| now.saturating_duration_since(*at) < ANSWER_RETENTION);
    }

    /// Returns whether any prompt is queued.
    pub(crate) fn has_queued(&self) -> bool {
        self.queues.values().any(|queue| !queue.is_empty())
    }

    fn in_order(&self) -> Vec<(Group, Vec<(Ticket, QueuedRequest)>)> {
        self.queues.iter().map(|(group, queue)| (group.clone(), queue.in_order())).collect()
    }

    fn ahead(&self, group: &Group, ticket: &Ticket, priority: Priority) -> Ahead {
        self.queues.get(group).map(|queue| queue.ahead_of(ticket, priority)).unwrap_or_default()
    }

    fn has_short_queued(&self, group: &Group) -> bool {
        self.queues.get(group).is_some_and(Queue::has_short)
    }

    fn has_resumed_queued(&self, group: &Group) -> bool {
        self.queues.get(group).is_some_and(Queue::has_resumed)
    }
}

/// Returns the priority of a request in the queue: that of a short prompt depends on the time left
/// until its goal, that of a long one on its prefill time. `None` if the request has no prompt to
/// queue.
fn queue_priority(
    snapshot: &Snapshot,
    request: &Request,
    origin: &Origin,
    received: Instant,
) -> Option<Priority> {
    let (profile, prompt) = snapshot.profile(&request.service).zip(request.prompt)?;
    let is_short = plan::is_short(profile, prompt.tokens, request.goal);
    if let Some(stream) = snapshot.resumed_stream(request, origin) {
        let prefill_time = profile.prefill_time(prompt.tokens);
        let due = stream.due(received, prefill_time);
        return Some(Priority::Resumed(due, (!is_short).then_some(prefill_time)));
    }
    Some(match is_short {
        true => Priority::Short(received + request.goal_left),
        false => Priority::Long(profile.prefill_time(prompt.tokens)),
    })
}

/// Handles a request for a place. A node that doesn't know the service doesn't answer, and the
/// requester asks another one.
pub(crate) fn handle_request<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    requester: Requester,
    request: Request,
    origin: Origin,
) {
    let now = core.now();
    let previous_answer =
        core.owner().recent_answers.get(&requester.ticket).map(|(_, answer)| answer.clone());
    if let Some(answer) = previous_answer {
        send_answer(core, &requester, answer);
        return;
    }
    let scope = Scope::Group(request.group);
    let Some(snapshot) = Snapshot::capture(core, now, &request.service, scope) else { return };
    let group = request.group();
    let priority = queue_priority(&snapshot, &request, &origin, now);
    let is_long = priority.is_some_and(|priority| !priority.is_short());
    let is_behind = match priority.is_some_and(Priority::is_resumed) {
        true => core.owner().has_resumed_queued(&group),
        false => core.owner().has_short_queued(&group),
    };
    let is_immediate = !is_long && !is_behind;
    if is_immediate
        && let Decision::Answered(answer) = snapshot.decide(&request, &origin, Ahead::default())
    {
        commit_decision(core, now, &requester, answer);
        return;
    }
    let Some(priority) = priority else { return };
    let ticket = requester.ticket.clone();
    let queued = QueuedRequest { requester, request, origin, priority, received: now };
    let mut owner = core.owner();
    let queue = owner.queues.entry(group).or_default();
    queue.insert_or_refresh(now, ticket.clone(), priority, queued);
    drop(owner);
    serve_queues(core, Some(&ticket));
    core.queue_notify.notify_one();
}

/// Serves queued prompts whenever the result may have changed.
pub(crate) async fn run<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        let is_idle = !core.owner().has_queued();
        if is_idle {
            core.queue_notify.notified().await;
            continue;
        }
        let next_poll =
            serve_queues(&core, None).clamp(MIN_QUEUE_POLL_INTERVAL, MAX_QUEUE_POLL_INTERVAL);
        tokio::time::sleep(MIN_QUEUE_POLL_INTERVAL).await;
        // The outcome can't change earlier, except by a notification.
        let _ =
            tokio::time::timeout(next_poll - MIN_QUEUE_POLL_INTERVAL, core.queue_notify.notified())
                .await;
    }
}

/// Decides on all queued prompts in order. Returns the time after which to decide again. The
/// requester of `newly_queued` is notified if its prompt stays queued. If one short prompt finds no
/// slot, those behind it wouldn't either and are skipped. Interrupted streams wait for room in an
/// iteration, which a smaller one behind may find.
fn serve_queues<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    newly_queued: Option<&Ticket>,
) -> Duration {
    let now = core.now();
    let mut next = MAX_QUEUE_POLL_INTERVAL;
    let queues = core.owner().in_order();
    for (group, entries) in queues {
        let capture = || Snapshot::capture(core, now, &group.service, Scope::Group(group.index));
        let mut snapshot = capture();
        let is_planned = snapshot.as_ref().is_some_and(Snapshot::is_planned);
        let is_long = |(_, queued): &(Ticket, QueuedRequest)| {
            is_planned && matches!(queued.priority, Priority::Long(_))
        };
        let (planned, entries): (Vec<_>, Vec<_>) = entries.into_iter().partition(is_long);
        let mut is_full = false;
        let mut waiting_streams = 0;
        for (ticket, queued) in entries {
            let Some(current) = &snapshot else { break };
            let is_short = queued.priority.is_short();
            let is_newly_queued = newly_queued == Some(&ticket);
            let is_blocked = match queued.priority.is_resumed() {
                true => waiting_streams >= MAX_WAITING_STREAMS,
                false => is_full,
            };
            if is_short && is_blocked && !is_newly_queued {
                continue;
            }
            let age = now.saturating_duration_since(queued.received);
            let (request, origin) = (queued.request.aged(age), queued.origin.aged(age));
            let ahead = core.owner().ahead(&group, &ticket, queued.priority);
            match current.decide(&request, &origin, ahead) {
                Decision::Wait(time, survey) => {
                    is_full |= is_short;
                    waiting_streams += usize::from(queued.priority.is_resumed());
                    next = next.min(time);
                    if is_newly_queued {
                        send_answer(core, &queued.requester, Answer::Queued(survey));
                    }
                }
                Decision::Answered(answer) => {
                    core.owner().withdraw(now, &ticket);
                    let is_placed = matches!(answer, Answer::Placed(_));
                    commit_decision(core, now, &queued.requester, answer);
                    if is_placed {
                        snapshot = capture();
                    }
                }
            }
        }
        if let Some(snapshot) = snapshot.filter(|_| !planned.is_empty()) {
            next = next.min(serve_planned(core, now, &group, &snapshot, planned, newly_queued));
        }
    }
    next
}

/// Decides on the queued long prompts of a patient service together. Returns the time after which
/// to decide again.
fn serve_planned<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    now: Instant,
    group: &Group,
    snapshot: &Snapshot,
    entries: Vec<(Ticket, QueuedRequest)>,
    newly_queued: Option<&Ticket>,
) -> Duration {
    let mut next = MAX_QUEUE_POLL_INTERVAL;
    let previous = core.owner().promises.remove(group).unwrap_or_default();
    let waiting = entries.iter().map(|(ticket, queued)| {
        let request = queued.request.aged(now.saturating_duration_since(queued.received));
        (request, previous.get(ticket).cloned())
    });
    let plans = snapshot.plan_prompts(now, &waiting.collect::<Vec<_>>());
    let mut promises = Promises::new();
    for ((ticket, queued), planned) in entries.into_iter().zip(plans) {
        match planned {
            Planned::Answered(answer) => {
                core.owner().withdraw(now, &ticket);
                commit_decision(core, now, &queued.requester, answer);
            }
            Planned::Wait(promised, survey) => {
                next = next.min(promised.start.saturating_duration_since(now));
                if newly_queued == Some(&ticket) {
                    send_answer(core, &queued.requester, Answer::Queued(survey));
                }
                let is_new = previous.get(&ticket).is_none_or(|known| known.engines.is_empty());
                if is_new && !promised.engines.is_empty() {
                    send_planned(core, &queued.requester, promised.planned_start(now));
                }
                promises.insert(ticket, promised);
            }
        }
    }
    core.owner().promises.insert(group.clone(), promises);
    next
}

/// Records a decision in the ledger, and sends it to the requester.
fn commit_decision<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    now: Instant,
    requester: &Requester,
    answer: Answer,
) {
    let Ticket { node, id, .. } = &requester.ticket;
    if let Answer::Placed(grant) = &answer {
        let allocation = grant.allocation.clone();
        match *node == core.settings.node {
            true => core.ledger().record(now, *id, allocation),
            false => core.ledger().record_peer(now, node, *id, allocation),
        }
    }
    core.owner().recent_answers.insert(requester.ticket.clone(), (now, answer.clone()));
    send_answer(core, requester, answer);
}

fn send_answer<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    requester: &Requester,
    answer: Answer,
) {
    match requester.ticket.node == core.settings.node {
        true => core.deliver_answer(requester.ticket.id, answer),
        false => reply(core, requester, Event::Answer(requester.ticket.id, answer)),
    }
}

fn send_planned<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    requester: &Requester,
    planned: PlannedStart,
) {
    match requester.ticket.node == core.settings.node {
        true => core.deliver_answer(requester.ticket.id, Answer::Planned(planned)),
        false => reply(core, requester, Event::Planned(requester.ticket.id, planned)),
    }
}

fn reply<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    requester: &Requester,
    event: Event,
) {
    core.reply(requester.address, requester.ticket.incarnation, event);
}
