//! The owner's plan for the waiting long prompts of a patient service.

use crate::owner::Ticket;
use crate::placement::{
    Answer, Decision, PlannedStart, RejectReason, Request, Snapshot, estimate_answer, reject_reason,
};
use crate::view::Tag;
use hickory_policy::plan::Query;
use hickory_policy::queue::Ahead;
use hickory_policy::schedule::{self, Outcome, Promise};
use hickory_policy::survey::Survey;
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// A start that was promised to a waiting prompt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Promised {
    pub(crate) start: Instant,
    pub(crate) engines: Vec<Tag>,
    /// The number of prompts that start before it.
    pub(crate) ahead: u32,
}

impl Promised {
    pub(crate) fn planned_start(&self, now: Instant) -> PlannedStart {
        PlannedStart {
            start: self.start.saturating_duration_since(now),
            engines: self.engines.len() as u16,
            ahead: self.ahead,
        }
    }
}

/// What the plan has for a prompt.
pub(crate) enum Planned {
    Answered(Answer),
    Wait(Promised, Survey),
}

/// The promises of a group's latest pass.
pub(crate) type Promises = HashMap<Ticket, Promised>;

impl Snapshot {
    /// Returns whether waiting long prompts are planned together.
    pub(crate) fn is_planned(&self) -> bool {
        self.terms.is_patient && !self.targets.is_empty()
    }

    /// Plans the waiting long prompts together, given what the previous pass promised them. Returns
    /// the plan of each.
    pub(crate) fn plan_prompts(
        &self,
        now: Instant,
        waiting: &[(Request, Option<Promised>)],
    ) -> Vec<Planned> {
        let Some(profile) = waiting.first().and_then(|(first, _)| self.profile(&first.service))
        else {
            return self.reject_all(waiting);
        };
        let indexes: HashMap<Tag, usize> =
            self.targets.iter().map(|target| target.tag).zip(0..).collect();
        let prompt = |(request, promised): &(Request, Option<Promised>)| {
            let prompt = request.prompt?;
            Some(schedule::Prompt {
                query: Query {
                    prompt_tokens: prompt.tokens,
                    answer_tokens: estimate_answer(profile, prompt),
                    is_short: false,
                    goal_left: request.goal_left,
                    limit_left: request.limit_left,
                    ahead: Ahead::default(),
                    typical_stream_time: profile.stream_time(profile.slots),
                },
                promise: promised.as_ref().and_then(|promised| {
                    let engines = promised.engines.iter().map(|tag| indexes.get(tag).copied());
                    Some(Promise {
                        start: promised.start.saturating_duration_since(now),
                        engines: engines.collect::<Option<_>>()?,
                        ahead: promised.ahead,
                    })
                }),
                excluded: self.excluded_indexes(request),
            })
        };
        let Some(prompts) = waiting.iter().map(prompt).collect::<Option<Vec<_>>>() else {
            return self.reject_all(waiting);
        };
        let outcomes = schedule::plan_prompts(&prompts, profile, &self.loads);
        let total = prompts.iter().map(|prompt| profile.prefill_time(prompt.query.prompt_tokens));
        let total: Duration = total.sum();
        let all: Vec<usize> = (0..self.targets.len()).collect();
        let planned = waiting.iter().zip(&prompts).zip(outcomes);
        let planned = planned.map(|(((request, _), prompt), outcome)| {
            let own = profile.prefill_time(prompt.query.prompt_tokens);
            let ahead = Ahead { prefill_time: total.saturating_sub(own), short_prompts: 0 };
            let survey = |ahead| Survey::new(Some(profile), &self.loads, ahead);
            match outcome {
                Outcome::Place(plan) => {
                    let survey = survey(Ahead::default());
                    match self.grant(request, &prompt.query, &plan, &all, survey) {
                        Decision::Answered(answer) => Planned::Answered(answer),
                        Decision::Wait(..) => rejected(RejectReason::NoTarget, survey),
                    }
                }
                Outcome::Wait(Promise { start, engines, ahead: before }) => {
                    let engines = engines.iter().map(|&index| self.targets[index].tag).collect();
                    let promised = Promised { start: now + start, engines, ahead: before };
                    Planned::Wait(promised, survey(ahead))
                }
                Outcome::Refuse(refused) => rejected(reject_reason(refused), survey(ahead)),
            }
        });
        planned.collect()
    }

    /// Returns the indexes of the targets that a request must not be placed on.
    fn excluded_indexes(&self, request: &Request) -> Vec<usize> {
        let candidates = self.candidate_indexes(request);
        (0..self.targets.len()).filter(|index| !candidates.contains(index)).collect()
    }

    fn reject_all(&self, waiting: &[(Request, Option<Promised>)]) -> Vec<Planned> {
        let survey = Survey::new(None, &self.loads, Ahead::default());
        waiting.iter().map(|_| rejected(RejectReason::NoTarget, survey)).collect()
    }
}

fn rejected(reason: RejectReason, survey: Survey) -> Planned {
    let Decision::Answered(answer) = Decision::rejected(reason, survey) else {
        unreachable!("a rejection is an answer")
    };
    Planned::Answered(answer)
}
