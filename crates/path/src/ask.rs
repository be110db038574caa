//! Asking the owner of a group of targets for a place.
//!
//! An owner that is silent for some milliseconds is passed over for its successor,
//! which was told the same. Where that one is silent, too, a node decides alone by
//! what it placed itself, and in an order of its own.

use crate::dialect::Dialect;
use crate::gossip::Event;
use crate::group::{self, Group};
use crate::ledger::Number;
use crate::owner::{self, Asker, Ticket};
use crate::place::Place;
use crate::placement::{Answer, Grant, NoPlace, Request, Scope, Snapshot, Unplaced, Verdict};
use crate::run::Run;
use crate::view::{Tag, View};
use hickory_policy::queue::Ahead;
use hickory_policy::survey::Survey;
use hickory_store::store::Store;
use hickory_telemetry::label::Decider;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedReceiver;

/// How long an owner may be silent: some times the way there and back between
/// zones, with the turns of both hosts.
const PATIENCE: Duration = Duration::from_millis(20);

/// Owners that are asked before a node decides alone.
const OWNERS_ASKED: usize = 2;

/// After which a prompt that waits is asked for again, which shows its owner that
/// it is still wanted, and its node that the owner is there.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Between two attempts of a node that decides alone.
const ALONE_AGAIN: Duration = Duration::from_millis(20);

/// Grants that can't be used after which a node decides alone: the owner has not
/// heard what this node knows.
const RETURNED_MOST: u32 = 3;

/// Groups of a service that a request is tried in.
const GROUPS_TRIED: u16 = 2;

/// How long a request waits for the first targets of a node that has just started.
const TARGETS_WAIT: Duration = Duration::from_millis(800);

/// The part of its time that a request waits for them.
const TARGETS_WAIT_PART: u32 = 4;

/// Between two looks whether they are known.
const TARGETS_LOOK: Duration = Duration::from_millis(5);

/// What comes of asking.
type Outcome<D, S, C> = Result<Place<D, S, C>, Unplaced>;

/// A request for a place that is under way. Dropping it withdraws it.
struct Inquiry<'a, D: Dialect, S: Store, C: Clock> {
    run: &'a Run<D, S, C>,
    group: Group,
    number: Number,
    answers: UnboundedReceiver<Answer>,
    /// Targets that are left out.
    tried: Vec<Tag>,
    /// Grants that this node could not use.
    returned: u32,
    is_placed: bool,
    is_queued: bool,
}

/// Finds a place for what a request is about to send.
pub(crate) async fn place<D: Dialect, S: Store, C: Clock>(
    run: &Run<D, S, C>,
    tried: &[Tag],
) -> Outcome<D, S, C> {
    wait_targets(run).await;
    let groups = group::count_groups(run.core.view().targets_of(&run.service).len());
    let first = rand::random_range(0..groups);
    let mut unplaced = Unplaced { why: NoPlace::NoTarget, survey: Survey::default() };
    for step in 0..groups.min(GROUPS_TRIED) {
        let group = Group { service: run.service.clone(), index: (first + step) % groups };
        match Inquiry::open(run, group, tried).run().await {
            Ok(place) => return Ok(place),
            Err(error) => unplaced = error,
        }
    }
    Err(unplaced)
}

/// Waits until this node knows any targets. One that has just started gets the
/// configuration before them, and would refuse what it could serve a moment later.
async fn wait_targets<D: Dialect, S: Store, C: Clock>(run: &Run<D, S, C>) {
    let until = run.core.now() + TARGETS_WAIT.min(run.time_left() / TARGETS_WAIT_PART);
    while !run.core.knows_targets() && run.core.now() < until {
        tokio::time::sleep(TARGETS_LOOK).await;
    }
}

impl<'a, D: Dialect, S: Store, C: Clock> Inquiry<'a, D, S, C> {
    fn open(run: &'a Run<D, S, C>, group: Group, tried: &[Tag]) -> Self {
        let number = run.core.ledger().next_number();
        let answers = run.core.expect_answer(number);
        let tried = tried.to_vec();
        Self { run, group, number, answers, tried, returned: 0, is_placed: false, is_queued: false }
    }

    fn request(&self) -> Request {
        let (run, now) = (self.run, self.run.core.now());
        Request {
            service: self.group.service.clone(),
            group: self.group.index,
            prompt: run.job.demand.prompt,
            goal: run.job.route.goal,
            goal_left: run.due().saturating_duration_since(now),
            limit_left: run.first_deadline().saturating_duration_since(now),
            gap: run.job.route.event_gap_goal,
            zone: run.core.settings.zone.clone(),
            tried: self.tried.clone(),
        }
    }

    async fn run(mut self) -> Outcome<D, S, C> {
        let mut silent: Vec<id::Node> = Vec::new();
        loop {
            let taken = match self.next_owner(&silent) {
                Some(owner) => self.ask_owner(owner, &mut silent).await,
                None => {
                    silent.clear();
                    self.try_alone().await
                }
            };
            if let Some(taken) = taken {
                return taken;
            }
        }
    }

    /// The owner to ask, unless enough were silent or granted what can't be used.
    fn next_owner(&self, silent: &[id::Node]) -> Option<id::Node> {
        if silent.len() >= OWNERS_ASKED || self.returned >= RETURNED_MOST {
            return None;
        }
        let owners = self.run.core.responsive_owners(&self.group);
        owners.into_iter().find(|owner| !silent.contains(owner))
    }

    /// Asks an owner; nothing where it has to be asked again, or another one.
    async fn ask_owner(
        &mut self,
        owner: id::Node,
        silent: &mut Vec<id::Node>,
    ) -> Option<Outcome<D, S, C>> {
        self.ask(&owner);
        let Some(answer) = self.next_answer(PATIENCE).await else {
            self.run.core.note_owner_timeout(&owner);
            silent.push(owner);
            return None;
        };
        self.run.core.note_owner_answered(&owner);
        let decider = if silent.is_empty() { Decider::Owner } else { Decider::Successor };
        silent.clear();
        let taken = self.take(answer, decider);
        if taken.is_some() || !self.is_queued {
            return taken;
        }
        let answer = self.next_answer(ASK_AGAIN).await?;
        self.take(answer, decider)
    }

    /// Decides by this node's own requests; nothing where it waits.
    async fn try_alone(&mut self) -> Option<Outcome<D, S, C>> {
        let time = match self.decide_alone() {
            Verdict::Answered(answer) => {
                let taken = self.take(answer, Decider::Alone);
                if taken.is_some() {
                    return taken;
                }
                ALONE_AGAIN
            }
            Verdict::Wait(time, survey) => {
                self.note_queued(survey);
                time.max(ALONE_AGAIN)
            }
        };
        tokio::time::sleep(time).await;
        None
    }

    fn ask(&self, owner: &id::Node) {
        let core = &self.run.core;
        let request = self.request();
        if *owner == core.settings.node {
            let ticket = Ticket { node: owner.clone(), number: self.number };
            owner::take_ask(core, Asker { ticket, address: core.settings.peers }, request);
        } else if let Some(to) = core.peer_address(owner) {
            core.send(to, Event::Request(self.number, request));
        }
    }

    async fn next_answer(&mut self, patience: Duration) -> Option<Answer> {
        tokio::time::timeout(patience, self.answers.recv()).await.ok().flatten()
    }

    /// Takes an answer; nothing where it has to be asked again.
    fn take(&mut self, answer: Answer, decider: Decider) -> Option<Outcome<D, S, C>> {
        match answer {
            Answer::Placed(grant) => self.open_place(*grant, decider).map(Ok),
            Answer::Queued(survey) => {
                self.note_queued(survey);
                None
            }
            // This node may know a target that the owner has not heard of.
            Answer::Refused(unplaced)
                if unplaced.why == NoPlace::NoTarget && decider != Decider::Alone =>
            {
                match self.decide_alone() {
                    Verdict::Answered(answer) => self.take(answer, Decider::Alone),
                    Verdict::Wait(..) => Some(Err(unplaced)),
                }
            }
            Answer::Refused(unplaced) => Some(Err(unplaced)),
        }
    }

    /// The place that was granted, unless this node knows that it can't be used.
    fn open_place(&mut self, grant: Grant, decider: Decider) -> Option<Place<D, S, C>> {
        let core = &self.run.core;
        let view = core.view();
        let unusable = find_unusable(&view, &grant, core.now());
        let group = self.group.clone();
        let place = Place::open(core, &view, group, self.number, grant, decider);
        let Some(place) = place.filter(|_| unusable.is_none()) else {
            self.try_others(unusable);
            return None;
        };
        self.is_placed = true;
        core.metrics.placed(decider);
        place.book();
        Some(place)
    }

    /// Gives a grant back, to ask again without one of its targets.
    fn try_others(&mut self, unusable: Option<Tag>) {
        let core = &self.run.core;
        log::info!(
            request = self.run.job.demand.attempt.as_str(),
            group = self.group.index;
            "the granted target takes no work"
        );
        self.withdraw();
        self.returned += 1;
        self.tried.extend(unusable);
        self.number = core.ledger().next_number();
        self.answers = core.expect_answer(self.number);
        self.is_queued = false;
    }

    fn decide_alone(&self) -> Verdict {
        let core = &self.run.core;
        let request = self.request();
        let scope = Scope::Alone(core.count_nodes());
        let snapshot = Snapshot::open(core, core.now(), &request.service, scope);
        snapshot.map_or_else(
            || Verdict::refused(NoPlace::NoTarget, Survey::default()),
            |snapshot| snapshot.decide(&request, Ahead::default()),
        )
    }

    fn note_queued(&mut self, survey: Survey) {
        if !std::mem::replace(&mut self.is_queued, true) {
            self.run.log_waiting(survey);
        }
    }

    fn withdraw(&self) {
        let core = &self.run.core;
        core.forget_answer(self.number);
        core.ledger().end(core.now(), self.number);
        let ticket = Ticket { node: core.settings.node.clone(), number: self.number };
        core.owner().withdraw(core.now(), &ticket);
        core.send_to_owners(&self.group, &Event::Ended(self.number));
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for Inquiry<'_, D, S, C> {
    fn drop(&mut self) {
        match self.is_placed {
            true => self.run.core.forget_answer(self.number),
            false => self.withdraw(),
        }
    }
}

/// A target of a grant that this node knows can't be used.
fn find_unusable(view: &View, grant: &Grant, now: Instant) -> Option<Tag> {
    let is_usable =
        |tag: &Tag| view.find_target(*tag).is_some_and(|target| view.can_send(target, now));
    grant.allocation.engines().find(|tag| !is_usable(tag))
}
