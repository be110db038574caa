//! Requests a place from the owner of a group of targets.
//!
//! If the owner doesn't answer within some milliseconds, its successor is asked, which receives the
//! same reports. If the successor doesn't answer either, the node decides on its own: by its own
//! allocations, and with an order of targets that differs from other nodes'.

use crate::core::Core;
use crate::datagram::Event;
use crate::dialect::Dialect;
use crate::group::{self, Group};
use crate::ledger::AllocationId;
use crate::owner::{self, Requester, Ticket};
use crate::place::Place;
use crate::placement::{
    Answer, Decision, Grant, Origin, RejectReason, Rejection, Request, Scope, Snapshot,
};
use crate::run::Run;
use crate::view::{Tag, View};
use hickory_policy::queue::Ahead;
use hickory_policy::survey::Survey;
use hickory_store::store::Store;
use hickory_telemetry::label::Decider;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;

/// The timeout for an owner's answer: several round trips between zones, including scheduling
/// delays on both hosts.
const OWNER_TIMEOUT: Duration = Duration::from_millis(20);

/// The number of owners to ask before the node decides on its own.
const MAX_OWNERS_ASKED: usize = 2;

/// The interval for repeating the request while it is queued. The repetition shows the owner that
/// the request is still wanted, and the node that the owner is alive.
const QUEUED_RESEND_INTERVAL: Duration = Duration::from_millis(250);

/// The interval between decisions of a node that decides on its own.
const STANDALONE_RETRY_INTERVAL: Duration = Duration::from_millis(20);

/// The number of unusable grants after which the node decides on its own, because the owner doesn't
/// know what this node knows about the targets.
const MAX_RETURNED_GRANTS: u32 = 3;

/// The maximum number of resting targets that a request names, so that it fits a datagram.
const MAX_EXCLUDED_RESTING: usize = 32;

/// The number of groups of a service that a request tries.
const MAX_GROUPS_TRIED: u16 = 2;

/// The maximum time that a request waits for the first targets of a node that has just started.
const MAX_TARGETS_WAIT: Duration = Duration::from_millis(800);

/// A request waits for the first targets for at most its remaining time divided by this number.
const TARGETS_WAIT_DIVISOR: u32 = 4;

/// The poll interval while waiting for the first targets.
const TARGETS_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// The result of requesting a place.
type PlaceResult<D, S, C> = Result<Place<D, S, C>, Rejection>;

/// A pending request for a place. Dropping it withdraws the request.
struct PendingRequest<'a, D: Dialect, S: Store, C: Clock> {
    run: &'a Run<D, S, C>,
    group: Group,
    id: AllocationId,
    answers: UnboundedReceiver<Answer>,
    /// Targets to exclude.
    tried: Vec<Tag>,
    /// The number of grants that this node couldn't use.
    returned_grants: u32,
    /// Whether the owner that answered last counts the requests to rate-limited targets.
    has_owner_rate_limits: bool,
    is_placed: bool,
    is_queued: bool,
}

/// Finds a place for the next attempt of a request.
pub(crate) async fn place<D: Dialect, S: Store, C: Clock>(
    run: &Run<D, S, C>,
    tried: &[Tag],
) -> PlaceResult<D, S, C> {
    wait_for_targets(run).await;
    let groups = group::count_groups(run.core.view().targets_of(&run.service).len());
    let first = rand::random_range(0..groups);
    let mut rejection = Rejection { reason: RejectReason::NoTarget, survey: Survey::default() };
    for offset in 0..groups.min(MAX_GROUPS_TRIED) {
        let group = Group { service: run.service.clone(), index: (first + offset) % groups };
        match PendingRequest::open(run, group, tried).run().await {
            Ok(place) => return Ok(place),
            Err(error) => rejection = error,
        }
    }
    Err(rejection)
}

/// Waits until this node knows any targets. A node that has just started receives the configuration
/// before the targets, and would refuse what it can serve a moment later.
async fn wait_for_targets<D: Dialect, S: Store, C: Clock>(run: &Run<D, S, C>) {
    let wait_until = run.core.now() + MAX_TARGETS_WAIT.min(run.time_left() / TARGETS_WAIT_DIVISOR);
    while !run.core.has_targets() && run.core.now() < wait_until {
        tokio::time::sleep(TARGETS_POLL_INTERVAL).await;
    }
}

impl<'a, D: Dialect, S: Store, C: Clock> PendingRequest<'a, D, S, C> {
    fn open(run: &'a Run<D, S, C>, group: Group, tried: &[Tag]) -> Self {
        let id = run.core.ledger().next_id();
        let answers = run.core.expect_answer(id);
        let tried = tried.to_vec();
        Self {
            run,
            group,
            id,
            answers,
            tried,
            returned_grants: 0,
            has_owner_rate_limits: true,
            is_placed: false,
            is_queued: false,
        }
    }

    fn ticket(&self) -> Ticket {
        let core = &self.run.core;
        let (node, incarnation) = (core.settings.node.clone(), core.incarnation);
        Ticket { node, incarnation, id: self.id }
    }

    fn request(&self) -> Request {
        let (run, now) = (self.run, self.run.core.now());
        Request {
            service: self.group.service.clone(),
            group: self.group.index,
            prompt: run.job.head.prompt,
            goal: run.job.route.goal,
            goal_left: run.next_token_due().saturating_duration_since(now),
            limit_left: run.first_event_deadline().saturating_duration_since(now),
            max_token_gap: run.job.route.event_gap_goal,
            zone: run.core.settings.zone.clone(),
            tried: self.excluded_targets(),
        }
    }

    fn origin(&self) -> Origin {
        let (job, resume_after) = (&self.run.job, self.run.resume_after);
        Origin {
            account: job.account.as_ref().map(|account| account.name.clone()),
            priority: self.run.priority(),
            is_resumed: self.run.first_event_time.is_some() && resume_after.is_some(),
            pause: self.run.pause(),
        }
    }

    /// Returns the targets that the request must not be placed on: those that it was sent to or that
    /// were granted and unusable, and those that have asked this node for rest.
    fn excluded_targets(&self) -> Vec<Tag> {
        let core = &self.run.core;
        let resting = core.resting();
        let resting = resting.targets(core.now()).take(MAX_EXCLUDED_RESTING);
        let mut excluded: Vec<Tag> = self.tried.iter().copied().chain(resting).collect();
        excluded.sort_unstable();
        excluded.dedup();
        excluded
    }

    async fn run(mut self) -> PlaceResult<D, S, C> {
        let mut unresponsive: Vec<id::Node> = Vec::new();
        loop {
            let outcome = match self.next_owner(&unresponsive) {
                Some(owner) => self.ask_owner(owner, &mut unresponsive).await,
                None => {
                    unresponsive.clear();
                    self.try_standalone().await
                }
            };
            if let Some(outcome) = outcome {
                return outcome;
            }
        }
    }

    /// Returns the next owner to ask; `None` if too many didn't answer or granted unusable targets.
    fn next_owner(&self, unresponsive: &[id::Node]) -> Option<id::Node> {
        if unresponsive.len() >= MAX_OWNERS_ASKED || self.returned_grants >= MAX_RETURNED_GRANTS {
            return None;
        }
        let owners = self.run.core.responsive_owners(&self.group);
        owners.into_iter().find(|owner| !unresponsive.contains(owner))
    }

    /// Asks an owner; returns `None` if this owner or another one has to be asked again.
    async fn ask_owner(
        &mut self,
        owner: id::Node,
        unresponsive: &mut Vec<id::Node>,
    ) -> Option<PlaceResult<D, S, C>> {
        self.send_request(&owner);
        let Some(answer) = self.next_answer(OWNER_TIMEOUT).await else {
            self.run.core.note_owner_timeout(&owner);
            unresponsive.push(owner);
            return None;
        };
        self.run.core.note_owner_answered(&owner);
        self.has_owner_rate_limits = self.run.core.knows_rate_limits(&owner);
        let decider = if unresponsive.is_empty() { Decider::Owner } else { Decider::Successor };
        unresponsive.clear();
        let outcome = self.handle_answer(answer, decider);
        if outcome.is_some() || !self.is_queued {
            return outcome;
        }
        let answer = self.next_answer(QUEUED_RESEND_INTERVAL).await?;
        self.handle_answer(answer, decider)
    }

    /// Decides by this node's own allocations; returns `None` if the request has to wait.
    async fn try_standalone(&mut self) -> Option<PlaceResult<D, S, C>> {
        let time = match self.decide_standalone() {
            Decision::Answered(answer) => {
                let outcome = self.handle_answer(answer, Decider::Requester);
                if outcome.is_some() {
                    return outcome;
                }
                STANDALONE_RETRY_INTERVAL
            }
            Decision::Wait(time, survey) => {
                self.note_queued(survey);
                time.max(STANDALONE_RETRY_INTERVAL)
            }
        };
        tokio::time::sleep(time).await;
        None
    }

    fn send_request(&self, owner: &id::Node) {
        let core = &self.run.core;
        let request = self.request();
        if *owner == core.settings.node {
            let requester = Requester { ticket: self.ticket(), address: core.settings.peers };
            owner::handle_request(core, requester, request, self.origin());
        } else if let Some(address) = core.peer_address(owner) {
            core.send(address, Event::Request(self.id, request));
            if core.bounds().is_contended {
                core.send(address, Event::Origin(self.id, self.origin()));
            }
        }
    }

    async fn next_answer(&mut self, timeout: Duration) -> Option<Answer> {
        let next = async {
            loop {
                match self.answers.recv().await? {
                    Answer::Planned(planned) => self.run.log_planned(planned),
                    answer => return Some(answer),
                }
            }
        };
        tokio::time::timeout(timeout, next).await.ok().flatten()
    }

    /// Handles an answer; returns `None` if an owner has to be asked again.
    fn handle_answer(&mut self, answer: Answer, decider: Decider) -> Option<PlaceResult<D, S, C>> {
        match answer {
            Answer::Placed(grant) => self.open_place(*grant, decider).map(Ok),
            Answer::Queued(survey) => {
                self.note_queued(survey);
                None
            }
            // Logged when it was received.
            Answer::Planned(_) => None,
            // This node may know a target that the owner doesn't know yet.
            Answer::Rejected(rejection)
                if rejection.reason == RejectReason::NoTarget && decider != Decider::Requester =>
            {
                match self.decide_standalone() {
                    Decision::Answered(answer) => self.handle_answer(answer, Decider::Requester),
                    Decision::Wait(..) => Some(Err(rejection)),
                }
            }
            Answer::Rejected(rejection) => Some(Err(rejection)),
        }
    }

    /// Opens the granted place. If this node knows that the grant is unusable, gives it back and
    /// returns `None`.
    fn open_place(&mut self, grant: Grant, decider: Decider) -> Option<Place<D, S, C>> {
        let core = &self.run.core;
        let view = core.view();
        let unusable = find_unusable(core, &view, &self.group.service, &grant)
            .or_else(|| self.find_over_limit(&grant));
        let group = self.group.clone();
        let place = Place::open(core, &view, group, self.id, grant, decider);
        let Some(place) = place.filter(|_| unusable.is_none()) else {
            self.return_grant(unusable);
            return None;
        };
        self.is_placed = true;
        core.metrics.count_placement(decider);
        place.publish();
        Some(place)
    }

    /// Returns the granted target if this node has used up its part of the target's request rate and
    /// the owner, an older version, doesn't count the requests of all nodes.
    fn find_over_limit(&self, grant: &Grant) -> Option<Tag> {
        if self.has_owner_rate_limits {
            return None;
        }
        let (core, target) = (&self.run.core, grant.allocation.target);
        let nodes = core.count_nodes();
        let wait = core.ledger().rate_limits().time_until_send(core.now(), target, nodes);
        (!wait.is_zero()).then_some(target)
    }

    /// Gives a grant back, and excludes its unusable target from the next request.
    fn return_grant(&mut self, unusable: Option<Tag>) {
        let core = &self.run.core;
        log::info!(
            request = self.run.job.head.attempt.as_str(),
            group = self.group.index;
            "the granted target accepts no work"
        );
        self.withdraw();
        self.returned_grants += 1;
        self.tried.extend(unusable);
        self.id = core.ledger().next_id();
        self.answers = core.expect_answer(self.id);
        self.is_queued = false;
    }

    fn decide_standalone(&self) -> Decision {
        let core = &self.run.core;
        let request = self.request();
        let scope = Scope::Standalone(core.count_nodes());
        let snapshot = Snapshot::capture(core, core.now(), &request.service, scope);
        snapshot.map_or_else(
            || Decision::rejected(RejectReason::NoTarget, Survey::default()),
            |snapshot| snapshot.decide(&request, &self.origin(), Ahead::default()),
        )
    }

    fn note_queued(&mut self, survey: Survey) {
        if !std::mem::replace(&mut self.is_queued, true) {
            self.run.log_queued(survey);
        }
    }

    fn withdraw(&self) {
        let core = &self.run.core;
        core.forget_answer(self.id);
        core.ledger().finish(core.now(), self.id);
        core.owner().withdraw(core.now(), &self.ticket());
        core.send_to_owners(&self.group, &Event::Ended(self.id));
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for PendingRequest<'_, D, S, C> {
    fn drop(&mut self) {
        match self.is_placed {
            true => self.run.core.forget_answer(self.id),
            false => self.withdraw(),
        }
    }
}

/// Returns a target of the grant that isn't one of the service, or that this node knows to be
/// unusable.
fn find_unusable<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    view: &View,
    service: &id::Service,
    grant: &Grant,
) -> Option<Tag> {
    let now = core.now();
    let is_usable = |tag: &Tag| {
        let target = view.find_target(*tag).filter(|target| target.entry.service == *service);
        target.is_some_and(|target| view.can_send(target, now)) && core.may_send(*tag)
    };
    grant.allocation.engines().find(|tag| !is_usable(tag))
}
