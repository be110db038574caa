//! Placement: chooses the targets of one attempt from the known loads of all targets.

use crate::capacity::Estimates;
use crate::config::Configuration;
use crate::core::Core;
use crate::dialect::Dialect;
use crate::doubt;
use crate::group::{self, Group};
use crate::ledger::{Allocation, Phase};
use crate::request::Prompt;
use crate::view::{Tag, Target, View};
use hickory_policy::capacity::{self, Estimate};
use hickory_policy::engine::Profile;
use hickory_policy::plan::{self, Choice, Load, Plan, Query, Refused};
use hickory_policy::queue::Ahead;
use hickory_policy::replica::{self, Candidate};
use hickory_policy::resume::{self, Stream};
use hickory_policy::survey::Survey;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use hickory_unit::size::Tokens;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The fraction of a cold target's configured request rate that is used, because two nodes may
/// decide on the same group for a moment.
const COLD_RATE_FRACTION: f64 = 0.8;

/// An answer is assumed to have its maximum length divided by this number if the caller gives no
/// estimate.
const TYPICAL_ANSWER_DIVISOR: u64 = 2;

/// The expected cost of a target that limits its request rate: others are preferred until they are
/// this much later.
const RATE_LIMITED_COST: Duration = Duration::from_millis(100);

/// The maximum retry delay while all targets have asked this node for rest; the caller then connects
/// to another node, which they may serve.
const MAX_REST_RETRY_AFTER: Duration = Duration::from_millis(150);

/// A request of a plain service is assumed to take its goal divided by this number until one has
/// ended.
const TYPICAL_TIME_GOAL_DIVISOR: u32 = 3;

/// A request for a place, as nodes send it to the owner of a group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The requested service.
    pub service: id::Service,
    /// The index of the group among the service's groups.
    pub group: u16,
    /// The size of the prompt and its answer, for requests to engines.
    pub prompt: Option<Prompt>,
    /// The goal for the time to the first token or to the answer.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub goal: Duration,
    /// The time left until the goal.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub goal_left: Duration,
    /// The time left until the caller gives up on a first token.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub limit_left: Duration,
    /// The longest inter-token latency that the stream should have.
    #[serde(deserialize_with = "hickory_unit::bounded::optional_time")]
    pub max_token_gap: Option<Duration>,
    /// The zone of the requesting node.
    pub zone: id::Zone,
    /// Targets that have been tried already.
    pub tried: Vec<Tag>,
}

impl Request {
    /// Returns the group that the request is to be placed in.
    pub fn group(&self) -> Group {
        Group { service: self.service.clone(), index: self.group }
    }

    /// Returns the request as it is after `time` has passed.
    pub fn aged(&self, time: Duration) -> Self {
        Self {
            goal_left: self.goal_left.saturating_sub(time),
            limit_left: self.limit_left.saturating_sub(time),
            ..self.clone()
        }
    }
}

/// Where a request for a place comes from.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Origin {
    /// The account that the request is charged to; `None` if the caller has none.
    pub account: Option<id::Account>,
    /// The priority of the account or, without one, of the route; 0 is the highest.
    pub priority: u32,
    /// Whether it resumes a stream that was interrupted.
    pub is_resumed: bool,
    /// The time since the last event of that stream.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub pause: Duration,
}

impl Origin {
    /// Returns the origin as it is after `time` has passed.
    pub(crate) fn aged(&self, time: Duration) -> Self {
        Self { pause: self.pause + time, ..self.clone() }
    }
}

/// What the configuration and the settings call for in the placement of a service's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Terms {
    /// Whether accounts compete for capacity and targets may be slow.
    pub(crate) is_contended: bool,
    /// Whether some requests have goals that are worth planning for.
    pub(crate) is_patient: bool,
}

/// A granted place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// The allocation to record in the ledger.
    pub allocation: Allocation,
    /// The expected time to the first token or to the answer.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub expected_time: Duration,
    /// The state of the targets that the choice was based on.
    pub survey: Survey,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RejectReason {
    /// No target accepts work.
    NoTarget,
    /// The prompt exceeds the memory of the targets.
    TooLong,
    /// All targets are busy; there may be capacity after this time.
    Busy(#[serde(deserialize_with = "hickory_unit::bounded::time")] Duration),
}

/// A rejected request for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The reason for the rejection.
    pub reason: RejectReason,
    /// The state of the targets that the decision was based on.
    pub survey: Survey,
}

/// The planned start of a queued prompt, for the logs of its node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlannedStart {
    /// The time until the start.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub start: Duration,
    /// The number of engines.
    pub engines: u16,
    /// The number of prompts that start before it.
    pub ahead: u32,
}

/// The answer to a request for a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// The request is placed as granted.
    Placed(Box<Grant>),
    /// The request waits for engines; the state of the targets explains why.
    Queued(Survey),
    /// The request is rejected.
    Rejected(Rejection),
    /// The plan for a queued request. It isn't final, and is sent as an event of its own.
    #[serde(skip)]
    Planned(PlannedStart),
}

/// The result of a placement decision: a final answer, or the time after which to decide again.
pub(crate) enum Decision {
    Answered(Answer),
    Wait(Duration, Survey),
}

impl Decision {
    pub(crate) fn rejected(reason: RejectReason, survey: Survey) -> Self {
        Self::Answered(Answer::Rejected(Rejection { reason, survey }))
    }
}

/// The targets that may be chosen, and their loads.
pub(crate) struct Snapshot {
    pub(crate) terms: Terms,
    configuration: Arc<Configuration>,
    pub(crate) targets: Vec<Arc<Target>>,
    pub(crate) loads: Vec<Load>,
    /// Whether each target is in doubt; empty if none is.
    doubted: Vec<bool>,
    typical_time: Option<Duration>,
    /// What is learned of the replicas of a plain service that has many of them.
    estimates: Option<Estimates>,
    /// The time until a request may be sent to one of the targets that are left out because they
    /// got as many requests as they state that they take; `None` if there are none.
    rate_limit_wait: Option<Duration>,
    /// The time until one of the targets that are left out because they have asked this node for
    /// rest wants requests again; `None` if there are none.
    rest_wait: Option<Duration>,
}

/// The set of targets that a node decides on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// The targets of a group that the node owns.
    Group(u16),
    /// All targets, for the node's own requests only, with the number of nodes. Each node uses an
    /// equal part of a cold target's rate.
    Standalone(usize),
}

impl Snapshot {
    /// Captures the state of a service's targets; `None` if the service is unknown, or if no target
    /// of any service is known yet.
    pub(crate) fn capture<D: Dialect, S: Store, C: Clock>(
        core: &Core<D, S, C>,
        now: Instant,
        service: &id::Service,
        scope: Scope,
    ) -> Option<Self> {
        if !core.has_targets() {
            return None;
        }
        let view = core.view();
        let configuration = view.configuration.clone()?;
        let configured = configuration.services.get(service)?;
        let cold_rate = configured.max_cold_rate;
        let terms =
            Terms { is_contended: core.bounds().is_contended, is_patient: configured.is_patient() };
        let Eligible { targets, rate_limit_wait, rest_wait } =
            eligible_targets(core, &view, service, cold_rate, scope, now);
        let mut ledger = core.ledger();
        let profile = configuration.engine_profile(service);
        let mut loads = ledger.loads(now, &targets, profile);
        let typical_time = ledger.typical_time(service);
        let has_many_targets = view.targets_of(service).len() >= capacity::MIN_TARGETS;
        let estimates = (profile.is_none() && has_many_targets)
            .then(|| ledger.learned_mut().estimate_replicas(now, &targets));
        if profile.is_some() && terms.is_contended {
            ledger.learned_mut().scale_engines(now, &targets, &mut loads);
        }
        drop(ledger);
        apply_preferences(core, now, &targets, &mut loads, scope);
        let doubted = core.doubted_targets(now, &targets);
        if targets.is_empty() && rate_limit_wait.is_some() {
            core.metrics.count_rate_limit_wait();
        }
        Some(Self {
            terms,
            configuration,
            targets,
            loads,
            doubted,
            typical_time,
            estimates,
            rate_limit_wait,
            rest_wait,
        })
    }

    /// Returns the profile of the service's engines, if the service runs a model.
    pub(crate) fn profile(&self, service: &id::Service) -> Option<&Profile> {
        self.configuration.engine_profile(service)
    }

    /// Returns the stream that a request resumes, if it goes before others.
    pub(crate) fn resumed_stream(&self, request: &Request, origin: &Origin) -> Option<Stream> {
        let due_left = request.max_token_gap.unwrap_or(request.goal_left);
        (self.terms.is_contended && origin.is_resumed).then(|| Stream {
            due_left: due_left.saturating_sub(origin.pause),
            is_one_of_many: self.doubted.contains(&true),
        })
    }

    /// Chooses targets for a request, given the requests queued ahead of it.
    pub(crate) fn decide(&self, request: &Request, origin: &Origin, ahead: Ahead) -> Decision {
        if let Some(wait) = self.rest_wait.filter(|_| self.targets.is_empty()) {
            let survey = Survey::new(self.profile(&request.service), &self.loads, ahead);
            let wait = wait.min(MAX_REST_RETRY_AFTER);
            return Decision::rejected(RejectReason::Busy(wait), survey);
        }
        if let Some(wait) = self.rate_limit_wait.filter(|_| self.targets.is_empty()) {
            return self.wait_for_rate_limit(request, wait, ahead);
        }
        let indexes = self.candidate_indexes(request);
        let is_trusted = |index: &usize| !self.doubted.get(*index).is_some_and(|doubted| *doubted);
        let trusted: Vec<usize> = indexes.iter().copied().filter(is_trusted).collect();
        if trusted.is_empty() || trusted.len() == indexes.len() {
            return self.decide_among(&indexes, request, origin, ahead);
        }
        let trusted = self.decide_among(&trusted, request, origin, ahead);
        // A request that has met one failed target of a zone doesn't try another.
        let is_tried = |index: usize| request.tried.contains(&self.targets[index].tag);
        if (0..self.doubted.len()).any(|index| self.doubted[index] && is_tried(index)) {
            return trusted;
        }
        let all = || self.decide_among(&indexes, request, origin, ahead);
        doubt::decide(trusted, all, request.goal_left)
    }

    fn decide_among(
        &self,
        indexes: &[usize],
        request: &Request,
        origin: &Origin,
        ahead: Ahead,
    ) -> Decision {
        let load = |&index: &usize| {
            let is_same_zone = self.targets[index].entry.zone == request.zone;
            Load { is_same_zone, ..self.loads[index].clone() }
        };
        let loads: Vec<Load> = indexes.iter().map(load).collect();
        match (self.profile(&request.service), request.prompt) {
            (Some(profile), Some(prompt)) => {
                let query = self.build_query(request, profile, prompt, ahead);
                let stream = self.resumed_stream(request, origin);
                self.place_prompt(request, profile, &query, indexes, &loads, stream)
            }
            (profile, _) => {
                let survey = Survey::new(profile, &loads, Ahead::default());
                self.place_service_request(request, indexes, &loads, survey)
            }
        }
    }

    /// Decides on a request while all targets have got as many requests as they take: a prompt
    /// waits if its turn is expected to come before its goal.
    fn wait_for_rate_limit(&self, request: &Request, wait: Duration, ahead: Ahead) -> Decision {
        let profile = self.profile(&request.service);
        let survey = Survey::new(profile, &self.loads, ahead);
        let turn = wait * (ahead.short_prompts + 1);
        let can_queue = profile.is_some() && request.prompt.is_some();
        match can_queue && turn < request.goal_left {
            true => Decision::Wait(wait, survey),
            false => Decision::rejected(RejectReason::Busy(turn), survey),
        }
    }

    /// Returns the indexes of the targets that have not been tried, or of all targets if each has
    /// been tried.
    pub(crate) fn candidate_indexes(&self, request: &Request) -> Vec<usize> {
        let all = 0..self.targets.len();
        let is_untried = |&index: &usize| !request.tried.contains(&self.targets[index].tag);
        let untried: Vec<usize> = all.clone().filter(is_untried).collect();
        if untried.is_empty() { all.collect() } else { untried }
    }

    fn build_query(
        &self,
        request: &Request,
        profile: &Profile,
        prompt: Prompt,
        ahead: Ahead,
    ) -> Query {
        Query {
            prompt_tokens: prompt.tokens,
            answer_tokens: estimate_answer(profile, prompt),
            is_short: plan::is_short(profile, prompt.tokens, request.goal),
            goal_left: request.goal_left,
            limit_left: request.limit_left,
            ahead,
            typical_stream_time: self
                .typical_time
                .unwrap_or_else(|| profile.stream_time(profile.slots)),
        }
    }

    fn place_prompt(
        &self,
        request: &Request,
        profile: &Profile,
        query: &Query,
        indexes: &[usize],
        loads: &[Load],
        resumed: Option<Stream>,
    ) -> Decision {
        let survey = Survey::new(Some(profile), loads, query.ahead);
        let choice = match resumed {
            Some(stream) => resume::choose_engines(query, stream, profile, loads),
            None => plan::choose_engines(query, profile, loads),
        };
        match choice {
            Ok(Choice::Place(plan)) => self.grant(request, query, &plan, indexes, survey),
            Ok(Choice::Wait(time)) => Decision::Wait(time, survey),
            Err(refused) => Decision::rejected(reject_reason(refused), survey),
        }
    }

    pub(crate) fn grant(
        &self,
        request: &Request,
        query: &Query,
        plan: &Plan,
        indexes: &[usize],
        survey: Survey,
    ) -> Decision {
        let tag = |index: usize| self.targets[indexes[index]].tag;
        let allocation = Allocation {
            service: request.service.clone(),
            target: tag(plan.primary),
            helpers: plan.helpers.iter().map(|&index| tag(index)).collect(),
            prefill_time: plan.chunk_time,
            prompt: query.prompt_tokens,
            expected_answer: query.answer_tokens,
            memory: plan
                .kv_reservations
                .iter()
                .map(|&(index, tokens)| (tag(index), tokens))
                .collect(),
            max_token_gap: request.max_token_gap,
            is_short: query.is_short,
            phase: Phase::Prefill,
            age: Duration::ZERO,
        };
        let grant = Grant { allocation, expected_time: plan.time_to_first_token, survey };
        Decision::Answered(Answer::Placed(Box::new(grant)))
    }

    fn place_service_request(
        &self,
        request: &Request,
        indexes: &[usize],
        loads: &[Load],
        survey: Survey,
    ) -> Decision {
        if indexes.is_empty() {
            return Decision::rejected(RejectReason::NoTarget, survey);
        }
        let slots = indexes.iter().map(|&index| self.targets[index].entry.slots);
        let candidates = loads.iter().zip(slots).map(|(load, slots)| Candidate { load, slots });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let typical_time = self.typical_time.unwrap_or(request.goal / TYPICAL_TIME_GOAL_DIVISOR);
        let choice = match &self.estimates {
            None => replica::choose_replica(&candidates, typical_time),
            Some(estimates) => {
                let by_target = indexes.iter().map(|&index| estimates.by_target[index]);
                let by_target: Vec<Estimate> = by_target.collect();
                let typical_time = estimates.typical_time.unwrap_or(typical_time);
                replica::choose_by_estimate(&candidates, &by_target, typical_time)
            }
        };
        let first = match choice {
            Ok(first) => first,
            Err(time) => return Decision::rejected(RejectReason::Busy(time), survey),
        };
        let query = Query {
            prompt_tokens: Tokens(0),
            answer_tokens: Tokens(0),
            is_short: false,
            goal_left: request.goal_left,
            limit_left: request.limit_left,
            ahead: Ahead::default(),
            typical_stream_time: typical_time,
        };
        let plan = Plan {
            primary: first,
            helpers: Vec::new(),
            kv_reservations: Vec::new(),
            chunk_time: Duration::ZERO,
            time_to_first_token: request.goal,
        };
        self.grant(request, &query, &plan, indexes, survey)
    }
}

pub(crate) fn reject_reason(refused: Refused) -> RejectReason {
    match refused {
        Refused::NoEngine => RejectReason::NoTarget,
        Refused::TooLong => RejectReason::TooLong,
        Refused::Busy(time) => RejectReason::Busy(time),
    }
}

pub(crate) fn estimate_answer(profile: &Profile, prompt: Prompt) -> Tokens {
    let estimate =
        prompt.expected_answer.unwrap_or(Tokens(prompt.max_answer.0 / TYPICAL_ANSWER_DIVISOR));
    estimate.max(profile.mean_answer).min(prompt.max_answer)
}

/// The targets that a request may be sent to now, and when others may get one.
struct Eligible {
    targets: Vec<Arc<Target>>,
    rate_limit_wait: Option<Duration>,
    rest_wait: Option<Duration>,
}

fn eligible_targets<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    view: &View,
    service: &id::Service,
    cold_rate: Option<f64>,
    scope: Scope,
    now: Instant,
) -> Eligible {
    let ledger = core.ledger();
    let nodes = match scope {
        Scope::Group(_) => 1,
        Scope::Standalone(nodes) => nodes.max(1),
    };
    let has_cold_capacity = |target: &Target| match cold_rate {
        Some(rate) if core.is_cold(now, target) => {
            let sent = ledger.recent_sends(now, target.tag) as f64;
            sent + 1.0
                <= (rate * COLD_RATE_FRACTION / nodes as f64).max(f64::from(u8::from(nodes == 1)))
        }
        _ => true,
    };
    let scoped = match scope {
        Scope::Group(index) => view.targets_in_group(service, index),
        Scope::Standalone(_) => view.targets_of(service),
    };
    let is_eligible =
        |target: &&Arc<Target>| view.can_send(target, now) && has_cold_capacity(target);
    let leaving = core.leaving();
    let rate_limits = ledger.rate_limits();
    let mut eligible = Eligible { targets: Vec::new(), rate_limit_wait: None, rest_wait: None };
    let min = |known: Option<Duration>, wait| Some(known.map_or(wait, |known| known.min(wait)));
    for target in scoped.iter().filter(is_eligible) {
        if leaving.is_leaving(now, target.tag) {
            continue;
        }
        // Requesters of a group exclude the targets that have asked them for rest.
        let rest = match scope {
            Scope::Group(_) => Duration::ZERO,
            Scope::Standalone(_) => core.rest_left(target.tag),
        };
        let wait = rate_limits.time_until_send(now, target.tag, nodes);
        match (rest.is_zero(), wait.is_zero()) {
            (true, true) => eligible.targets.push(target.clone()),
            (true, false) => eligible.rate_limit_wait = min(eligible.rate_limit_wait, wait),
            (false, _) => eligible.rest_wait = min(eligible.rest_wait, rest),
        }
    }
    eligible
}

fn apply_preferences<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    now: Instant,
    targets: &[Arc<Target>],
    loads: &mut [Load],
    scope: Scope,
) {
    let ledger = core.ledger();
    let is_limited = |target: &Target| ledger.rate_limits().is_limited(now, target.tag);
    let limited: Vec<bool> = targets.iter().map(|target| is_limited(target)).collect();
    drop(ledger);
    let are_most_limited = limited.iter().filter(|limited| **limited).count() * 2 > targets.len();
    let ejection = core.ejection();
    let costs = ejection.expected_costs(now, targets.iter().map(|target| target.tag));
    // Many nodes may decide on their own just after a start; a shared order would make all of them
    // prefer the same target.
    let is_shared_order = matches!(scope, Scope::Group(_)) && core.is_settled();
    for (((target, load), cost), is_limited) in targets.iter().zip(loads).zip(costs).zip(limited) {
        load.preference = match is_shared_order {
            true => target.tag.0,
            false => group::node_specific_order(&core.settings.node, target.tag),
        };
        load.penalty = if is_limited { cost.max(RATE_LIMITED_COST) } else { cost };
        load.is_refusing_chunks =
            ejection.refuses_chunks(now, target.tag) || (is_limited && !are_most_limited);
    }
}
