//! The log lines of a request's course.

use crate::decision::{DecisionContext, log_decision};
use crate::dialect::Dialect;
use crate::place::Place;
use crate::run::Run;
use crate::view::Target;
use hickory_policy::survey::Survey;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::size::Tokens;
use http::StatusCode;
use std::sync::Arc;
use std::time::Duration;

impl<D: Dialect, S: Store, C: Clock> Run<D, S, C> {
    /// Where a long prompt was placed. Short prompts are too many for a line each;
    /// their answer's line names their engine.
    pub(crate) fn log_placed(&self, place: &Place<D, S, C>) {
        if place.short {
            return;
        }
        log_decision!(
            &self.known(self.waited, place.survey),
            {
                request = self.job.demand.attempt.as_str(),
                target_id = place.target.id.as_str(),
                helpers:% = name_all(&place.helpers),
                part_ms = place.part.as_millis() as u64,
                expected_ms = place.expected.as_millis() as u64,
                by:% = place.decider,
                age_ms = self.age().as_millis() as u64,
            },
            "placed"
        );
    }

    /// That it begins to wait for engines.
    pub(crate) fn log_waiting(&self, survey: Survey) {
        log_decision!(
            &self.known(self.waited, survey),
            {
                request = self.job.demand.attempt.as_str(),
                age_ms = self.age().as_millis() as u64,
            },
            "waits for engines"
        );
    }

    /// What a decision about it knows now.
    pub(crate) fn known(&self, waited: Duration, survey: Survey) -> DecisionContext {
        let now = self.core.now();
        DecisionContext {
            prompt: self.job.demand.prompt.map_or(Tokens(0), |prompt| prompt.tokens),
            goal_left: self.due().saturating_duration_since(now),
            limit_left: self.first_deadline().saturating_duration_since(now),
            waited,
            survey,
        }
    }

    /// That an attempt failed.
    pub(crate) fn log_repeat(&self, place: &Place<D, S, C>, why: &str) {
        log::info!(
            request = self.job.demand.attempt.as_str(),
            target_id = place.target.id.as_str(),
            expected_ms = place.expected.as_millis() as u64,
            prompt = self.job.demand.prompt.map_or(0, |prompt| prompt.tokens.0),
            sends = self.sends,
            may_repeat = self.may_repeat(),
            age_ms = self.age().as_millis() as u64;
            "attempt failed: {why}"
        );
    }

    /// The one line of a request that was answered whole.
    pub(crate) fn log_end(&self, place: &Place<D, S, C>, status: StatusCode) {
        self.core.metrics.answered(self.work, self.age());
        log::info!(
            request = self.job.demand.attempt.as_str(),
            route = self.job.route.name.as_str(),
            target_id = place.target.id.as_str(),
            status = status.as_u16(),
            sends = self.sends,
            expected_ms = place.expected.as_millis() as u64,
            first_ms = self.first_event.unwrap_or_default().as_millis() as u64,
            goal_ms = self.job.route.goal.as_millis() as u64,
            wait_ms = self.waited.as_millis() as u64,
            pause_ms = self.longest_pause.as_millis() as u64,
            pause_max_ms = self.job.route.event_gap_goal.unwrap_or_default().as_millis() as u64,
            short = place.short,
            part_ms = place.part.as_millis() as u64,
            prompt = self.job.demand.prompt.map_or(0, |prompt| prompt.tokens.0),
            engines = place.helpers.len() + 1,
            by:% = place.decider,
            peers = self.core.count_peers(),
            config = self.job.configuration.version,
            age_ms = self.age().as_millis() as u64;
            "answered"
        );
    }
}

fn name_all(targets: &[Arc<Target>]) -> String {
    let names: Vec<&str> = targets.iter().map(|target| target.id.as_str()).collect();
    names.join(",")
}
