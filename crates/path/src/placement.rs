//! Choosing targets for one attempt, by all that is known of what runs where.

use crate::config::Configuration;
use crate::core::Core;
use crate::demand::Prompt;
use crate::dialect::Dialect;
use crate::group::{self, Group};
use crate::ledger::{Allocation, Stage};
use crate::view::{Tag, Target, View};
use hickory_policy::engine::Profile;
use hickory_policy::plan::{self, Choice, Load, Plan, Query, Refused};
use hickory_policy::queue::Ahead;
use hickory_policy::replica::{self, Candidate};
use hickory_policy::survey::Survey;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::id;
use hickory_unit::size::Tokens;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Requests a second that a cold target is given, as a part of what it is
/// configured to bear: two nodes may decide for some moments.
const COLD_PART: f64 = 0.8;

/// The part of an answer's bound that answers have at the mean, where nothing
/// better is known.
const USUAL_PART: u64 = 2;

/// The part of its goal that an answer of a plain service takes, where none was
/// seen yet.
const USUAL_OF_GOAL: u32 = 3;

/// What is to be placed, as nodes ask each other.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The service.
    pub service: id::Service,
    /// Which group of the service's targets.
    pub group: u16,
    /// The size of its prompt and answer, if it has one.
    pub prompt: Option<Prompt>,
    /// The time within which a first token or an answer is wanted.
    pub goal: Duration,
    /// What is left of that.
    pub goal_left: Duration,
    /// What is left until its caller gives up on a first token.
    pub limit_left: Duration,
    /// The longest pause that its stream is to keep.
    pub gap: Option<Duration>,
    /// The zone of the node that asks.
    pub zone: id::Zone,
    /// Targets that were tried.
    pub tried: Vec<Tag>,
}

impl Request {
    /// The group that it is to be placed in.
    pub fn group(&self) -> Group {
        Group { service: self.service.clone(), index: self.group }
    }

    /// The request as it is after some time.
    pub fn aged(&self, time: Duration) -> Self {
        Self {
            goal_left: self.goal_left.saturating_sub(time),
            limit_left: self.limit_left.saturating_sub(time),
            ..self.clone()
        }
    }
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// What is booked.
    pub allocation: Allocation,
    /// When the first token, or the answer, is expected.
    pub expected: Duration,
    /// What it was chosen by.
    pub survey: Survey,
}

/// Why nothing is free: when to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum NoPlace {
    /// No target takes work.
    NoTarget,
    /// The prompt is greater than the targets hold.
    TooLong,
    /// There may be room after this time.
    Busy(Duration),
}

/// A request that found no place.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Unplaced {
    /// Why.
    pub why: NoPlace,
    /// What was found.
    pub survey: Survey,
}

/// The answer to a request for a place.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Answer {
    /// It goes there.
    Placed(Box<Grant>),
    /// It waits for engines, with what it found.
    Queued(Survey),
    /// It has no place.
    Refused(Unplaced),
}

/// What a choice says: an answer, or to look again after a time.
pub(crate) enum Verdict {
    Answered(Answer),
    Wait(Duration, Survey),
}

impl Verdict {
    pub(crate) fn refused(why: NoPlace, survey: Survey) -> Self {
        Self::Answered(Answer::Refused(Unplaced { why, survey }))
    }
}

/// The targets that may be chosen, and their loads.
pub(crate) struct Snapshot {
    configuration: Arc<Configuration>,
    targets: Vec<Arc<Target>>,
    loads: Vec<Load>,
    usual: Option<Duration>,
}

/// Which targets a node decides on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Scope {
    /// Those of a group that it owns.
    Group(u16),
    /// All of them, for its own requests, as one of so many nodes.
    Alone(usize),
}

impl Snapshot {
    /// What is known of a service's targets; `None` where the service is not known,
    /// or no target of any service yet.
    pub(crate) fn open<D: Dialect, S: Store, C: Clock>(
        core: &Core<D, S, C>,
        now: Instant,
        service: &id::Service,
        scope: Scope,
    ) -> Option<Self> {
        if !core.knows_targets() {
            return None;
        }
        let view = core.view();
        let configuration = view.configuration.clone()?;
        let cold_rate = configuration.services.get(service)?.cold_rate;
        let targets = find_targets(core, &view, service, cold_rate, scope, now);
        let ledger = core.ledger();
        let mut loads = ledger.loads(now, &targets, configuration.engine_of(service));
        let usual = ledger.usual_time(service);
        drop(ledger);
        mark(core, now, &targets, &mut loads, scope);
        Some(Self { configuration, targets, loads, usual })
    }

    /// The engines' profile, where it is a model's service.
    pub(crate) fn profile(&self, service: &id::Service) -> Option<&Profile> {
        self.configuration.engine_of(service)
    }

    /// Chooses for a request behind those ahead of it.
    pub(crate) fn decide(&self, request: &Request, ahead: Ahead) -> Verdict {
        let places = self.find_places(request);
        let load = |&place: &usize| {
            let near = self.targets[place].entry.zone == request.zone;
            Load { near, ..self.loads[place].clone() }
        };
        let loads: Vec<Load> = places.iter().map(load).collect();
        match (self.profile(&request.service), request.prompt) {
            (Some(profile), Some(prompt)) => {
                self.place_prompt(request, profile, prompt, &places, &loads, ahead)
            }
            (profile, _) => {
                let survey = Survey::read(profile, &loads, Ahead::default());
                self.place_plain(request, &places, &loads, survey)
            }
        }
    }

    /// The targets to choose from: those that were not tried, while there are any.
    fn find_places(&self, request: &Request) -> Vec<usize> {
        let all = 0..self.targets.len();
        let is_new = |&place: &usize| !request.tried.contains(&self.targets[place].tag);
        let new: Vec<usize> = all.clone().filter(is_new).collect();
        if new.is_empty() { all.collect() } else { new }
    }

    fn place_prompt(
        &self,
        request: &Request,
        profile: &Profile,
        prompt: Prompt,
        places: &[usize],
        loads: &[Load],
        ahead: Ahead,
    ) -> Verdict {
        let survey = Survey::read(Some(profile), loads, ahead);
        let query = Query {
            prompt: prompt.tokens,
            answer: guess_answer(profile, prompt),
            short: plan::is_short(profile, prompt.tokens, request.goal),
            goal: request.goal_left,
            limit: request.limit_left,
            ahead,
            usual: self.usual.unwrap_or_else(|| profile.stream_time(profile.slots)),
        };
        match plan::choose_engines(&query, profile, loads) {
            Ok(Choice::Go(plan)) => self.grant(request, &query, &plan, places, survey),
            Ok(Choice::Wait(time)) => Verdict::Wait(time, survey),
            Err(refused) => Verdict::refused(read_refused(refused), survey),
        }
    }

    fn grant(
        &self,
        request: &Request,
        query: &Query,
        plan: &Plan,
        places: &[usize],
        survey: Survey,
    ) -> Verdict {
        let tag = |place: usize| self.targets[places[place]].tag;
        let allocation = Allocation {
            service: request.service.clone(),
            first: tag(plan.first),
            helpers: plan.helpers.iter().map(|&place| tag(place)).collect(),
            part: plan.part,
            prompt: query.prompt,
            answer: query.answer,
            memory: plan.memory.iter().map(|&(place, tokens)| (tag(place), tokens)).collect(),
            gap: request.gap,
            short: query.short,
            stage: Stage::Reading,
            age: Duration::ZERO,
        };
        let grant = Grant { allocation, expected: plan.first_token, survey };
        Verdict::Answered(Answer::Placed(Box::new(grant)))
    }

    fn place_plain(
        &self,
        request: &Request,
        places: &[usize],
        loads: &[Load],
        survey: Survey,
    ) -> Verdict {
        if places.is_empty() {
            return Verdict::refused(NoPlace::NoTarget, survey);
        }
        let slots = places.iter().map(|&place| self.targets[place].entry.slots);
        let candidates = loads.iter().zip(slots).map(|(load, slots)| Candidate { load, slots });
        let candidates: Vec<Candidate<'_>> = candidates.collect();
        let usual = self.usual.unwrap_or(request.goal / USUAL_OF_GOAL);
        let first = match replica::choose(&candidates, usual) {
            Ok(first) => first,
            Err(time) => return Verdict::refused(NoPlace::Busy(time), survey),
        };
        let query = Query {
            prompt: Tokens(0),
            answer: Tokens(0),
            short: false,
            goal: request.goal_left,
            limit: request.limit_left,
            ahead: Ahead::default(),
            usual,
        };
        let plan = Plan {
            first,
            helpers: Vec::new(),
            memory: Vec::new(),
            part: Duration::ZERO,
            first_token: request.goal,
        };
        self.grant(request, &query, &plan, places, survey)
    }
}

fn read_refused(refused: Refused) -> NoPlace {
    match refused {
        Refused::NoEngine => NoPlace::NoTarget,
        Refused::TooLong => NoPlace::TooLong,
        Refused::Busy(time) => NoPlace::Busy(time),
    }
}

fn guess_answer(profile: &Profile, prompt: Prompt) -> Tokens {
    let guess = prompt.answer_guess.unwrap_or(Tokens(prompt.answer_max.0 / USUAL_PART));
    guess.max(profile.usual_answer).min(prompt.answer_max)
}

fn find_targets<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    view: &View,
    service: &id::Service,
    cold_rate: Option<f64>,
    scope: Scope,
    now: Instant,
) -> Vec<Arc<Target>> {
    let ledger = core.ledger();
    let nodes = match scope {
        Scope::Group(_) => 1,
        Scope::Alone(nodes) => nodes.max(1),
    };
    let bears = |target: &Target| match cold_rate {
        Some(rate) if target.is_cold(now) => {
            let sent = ledger.sent_lately(now, target.tag) as f64;
            sent + 1.0 <= (rate * COLD_PART / nodes as f64).max(f64::from(u8::from(nodes == 1)))
        }
        _ => true,
    };
    let meant = match scope {
        Scope::Group(index) => view.targets_in(service, index),
        Scope::Alone(_) => view.targets_of(service),
    };
    let takes = |target: &&Arc<Target>| view.may_send(target, now) && bears(target);
    meant.iter().filter(takes).cloned().collect()
}

fn mark<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    now: Instant,
    targets: &[Arc<Target>],
    loads: &mut [Load],
    scope: Scope,
) {
    let ejection = core.ejection();
    let costs = ejection.expected_costs(now, targets.iter().map(|target| target.tag));
    // Nodes that decide alone, as many may just after a start, must not all
    // prefer the same target.
    let is_common = matches!(scope, Scope::Group(_)) && core.is_settled();
    for ((target, load), cost) in targets.iter().zip(loads).zip(costs) {
        load.preference = match is_common {
            true => target.tag.0,
            false => group::own_order(&core.settings.node, target.tag),
        };
        load.penalty = cost;
        load.shut = ejection.refuses_parts(now, target.tag);
    }
}
