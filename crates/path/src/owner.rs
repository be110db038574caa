//! Deciding where requests of all nodes go, as the owner of a group of targets.

use crate::core::{Core, Stage};
use crate::dialect::Dialect;
use crate::gossip::Event;
use crate::group::Group;
use crate::ledger::Number;
use crate::placement::{Answer, Request, Scope, Snapshot, Verdict};
use hickory_policy::plan;
use hickory_policy::queue::{Ahead, Priority, Queue};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long an answer is remembered: one that was lost is asked for again.
const ANSWER_KEPT: Duration = Duration::from_secs(2);

/// Between two looks at what waits, at the least.
const LOOK_LEAST: Duration = Duration::from_millis(2);

/// Between two looks at what waits, at the most.
const LOOK_MOST: Duration = Duration::from_millis(20);

/// A node's request for a place.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Ticket {
    pub(crate) node: id::Node,
    pub(crate) number: Number,
}

/// Who asks, and where the answer goes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Asker {
    pub(crate) ticket: Ticket,
    pub(crate) address: SocketAddr,
}

/// A prompt that waits for engines.
#[derive(Clone, Debug)]
struct Waiting {
    asker: Asker,
    request: Request,
    turn: Priority,
    asked: Instant,
}

/// What a node keeps as the owner of groups.
#[derive(Debug, Default)]
pub(crate) struct Owner {
    queues: HashMap<Group, Queue<Ticket, Waiting>>,
    answered: HashMap<Ticket, (Instant, Answer)>,
}

impl Owner {
    /// Forgets what a request waits for.
    pub(crate) fn withdraw(&mut self, now: Instant, ticket: &Ticket) {
        for queue in self.queues.values_mut() {
            queue.remove(now, ticket);
        }
    }

    /// Forgets all requests of a node, which started anew.
    pub(crate) fn forget(&mut self, node: &id::Node) {
        self.answered.retain(|ticket, _| ticket.node != *node);
    }

    /// Forgets what is no longer asked for.
    pub(crate) fn expire(&mut self, now: Instant) {
        self.queues.values_mut().for_each(|queue| queue.expire(now));
        self.queues.retain(|_, queue| !queue.is_empty());
        self.answered.retain(|_, (at, _)| now.saturating_duration_since(*at) < ANSWER_KEPT);
    }

    /// Whether any prompt waits.
    pub(crate) fn has_waiting(&self) -> bool {
        self.queues.values().any(|queue| !queue.is_empty())
    }

    fn in_order(&self) -> Vec<(Group, Vec<(Ticket, Waiting)>)> {
        self.queues.iter().map(|(group, queue)| (group.clone(), queue.in_order())).collect()
    }

    fn ahead(&self, group: &Group, ticket: &Ticket, turn: Priority) -> Ahead {
        self.queues.get(group).map(|queue| queue.ahead_of(ticket, turn)).unwrap_or_default()
    }

    fn has_short_waiting(&self, group: &Group) -> bool {
        self.queues.get(group).is_some_and(Queue::has_short)
    }
}

/// The turn of a request at the owner of its group; none where it doesn't wait.
fn read_turn(snapshot: &Snapshot, request: &Request, asked: Instant) -> Option<Priority> {
    let (profile, prompt) = snapshot.profile(&request.service).zip(request.prompt)?;
    Some(match plan::is_short(profile, prompt.tokens, request.goal) {
        true => Priority::Short(asked + request.goal_left),
        false => Priority::Long(profile.prefill_time(prompt.tokens)),
    })
}

/// Takes a request for a place. A node that doesn't know the service says nothing,
/// and the asker goes on to another one.
pub(crate) fn take_ask<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    asker: Asker,
    request: Request,
) {
    let now = core.now();
    let before = core.owner().answered.get(&asker.ticket).map(|(_, answer)| answer.clone());
    if let Some(answer) = before {
        tell(core, &asker, answer);
        return;
    }
    let scope = Scope::Group(request.group);
    let Some(snapshot) = Snapshot::open(core, now, &request.service, scope) else { return };
    let group = request.group();
    let turn = read_turn(&snapshot, &request, now);
    let is_long = matches!(turn, Some(Priority::Long(_)));
    let is_next = !is_long && !core.owner().has_short_waiting(&group);
    if is_next && let Verdict::Answered(answer) = snapshot.decide(&request, Ahead::default()) {
        settle(core, now, &asker, answer);
        return;
    }
    let Some(turn) = turn else { return };
    let waiting = Waiting { asker: asker.clone(), request, turn, asked: now };
    let mut owner = core.owner();
    owner.queues.entry(group).or_default().insert_or_refresh(
        now,
        asker.ticket.clone(),
        turn,
        waiting,
    );
    drop(owner);
    serve_queues(core, Some(&asker.ticket));
    core.queue_due.notify_one();
}

/// Serves prompts that wait, whenever something may have changed for them.
pub(crate) async fn run<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>) {
    while core.stage() != Stage::Closed {
        let is_idle = !core.owner().has_waiting();
        if is_idle {
            core.queue_due.notified().await;
            continue;
        }
        let wait = serve_queues(&core, None).clamp(LOOK_LEAST, LOOK_MOST);
        tokio::time::sleep(LOOK_LEAST).await;
        // Nothing changes the outcome before, but what is told.
        let _ = tokio::time::timeout(wait - LOOK_LEAST, core.queue_due.notified()).await;
    }
}

/// Lets all prompts that wait choose in turn; the time after which one may have
/// more luck. The asker of `newest` is told if it goes on waiting. Where one short
/// prompt finds no slot, those behind it would find none either.
fn serve_queues<D: Dialect, S: Store, C: Clock>(
    core: &Arc<Core<D, S, C>>,
    newest: Option<&Ticket>,
) -> Duration {
    let now = core.now();
    let mut next = LOOK_MOST;
    let queues = core.owner().in_order();
    for (group, entries) in queues {
        let open = || Snapshot::open(core, now, &group.service, Scope::Group(group.index));
        let mut snapshot = open();
        let mut is_full = false;
        for (ticket, waiting) in entries {
            let Some(seen) = &snapshot else { break };
            let is_short = matches!(waiting.turn, Priority::Short(_));
            let is_newest = newest == Some(&ticket);
            if is_short && is_full && !is_newest {
                continue;
            }
            let request = waiting.request.aged(now.saturating_duration_since(waiting.asked));
            let ahead = core.owner().ahead(&group, &ticket, waiting.turn);
            match seen.decide(&request, ahead) {
                Verdict::Wait(time, survey) => {
                    is_full |= is_short;
                    next = next.min(time);
                    if is_newest {
                        tell(core, &waiting.asker, Answer::Queued(survey));
                    }
                }
                Verdict::Answered(answer) => {
                    core.owner().withdraw(now, &ticket);
                    let is_placed = matches!(answer, Answer::Placed(_));
                    settle(core, now, &waiting.asker, answer);
                    if is_placed {
                        snapshot = open();
                    }
                }
            }
        }
    }
    next
}

/// Enters a decision in the ledger, and tells the asker.
fn settle<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    now: Instant,
    asker: &Asker,
    answer: Answer,
) {
    let Ticket { node, number } = &asker.ticket;
    if let Answer::Placed(grant) = &answer {
        let allocation = grant.allocation.clone();
        match *node == core.settings.node {
            true => core.ledger().place(now, *number, allocation),
            false => core.ledger().take(now, node, *number, allocation),
        }
    }
    core.owner().answered.insert(asker.ticket.clone(), (now, answer.clone()));
    tell(core, asker, answer);
}

fn tell<D: Dialect, S: Store, C: Clock>(core: &Core<D, S, C>, asker: &Asker, answer: Answer) {
    match asker.ticket.node == core.settings.node {
        true => core.deliver(asker.ticket.number, answer),
        false => core.send(asker.address, Event::Answer(asker.ticket.number, answer)),
    }
}
