//! The log lines of a request, from placement to answer.

use crate::decision::{DecisionContext, log_decision};
use crate::dialect::Dialect;
use crate::place::Place;
use crate::placement::PlannedStart;
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
    /// Logs where a long prompt was placed. Short prompts are too frequent for a line of their own;
    /// the line of their answer names the engine.
    pub(crate) fn log_placed(&self, place: &Place<D, S, C>) {
        if place.is_short {
            return;
        }
        log_decision!(
            &self.decision_context(self.queue_wait, place.survey),
            {
                request = self.job.head.attempt.as_str(),
                target_id = place.target.id.as_str(),
                helpers:% = join_names(&place.helpers),
                part_ms = place.prefill_time.as_millis() as u64,
                expected_ms = place.expected_time.as_millis() as u64,
                by:% = place.decider,
                age_ms = self.age().as_millis() as u64,
            },
            "placed"
        );
    }

    /// Logs that the request is queued for engines.
    pub(crate) fn log_queued(&self, survey: Survey) {
        log_decision!(
            &self.decision_context(self.queue_wait, survey),
            {
                request = self.job.head.attempt.as_str(),
                age_ms = self.age().as_millis() as u64,
            },
            "waits for engines"
        );
    }

    /// Logs the start that the owner promised to the queued request.
    pub(crate) fn log_planned(&self, planned: PlannedStart) {
        log::info!(
            request = self.job.head.attempt.as_str(),
            prompt = self.job.head.prompt.map_or(0, |prompt| prompt.tokens.0),
            planned_start_ms = planned.start.as_millis() as u64,
            planned_engines = planned.engines,
            planned_ahead = planned.ahead,
            age_ms = self.age().as_millis() as u64;
            "planned"
        );
    }

    /// Returns the current inputs of a decision about the request.
    pub(crate) fn decision_context(&self, waited: Duration, survey: Survey) -> DecisionContext {
        let now = self.core.now();
        DecisionContext {
            prompt: self.job.head.prompt.map_or(Tokens(0), |prompt| prompt.tokens),
            goal_left: self.next_token_due().saturating_duration_since(now),
            limit_left: self.first_event_deadline().saturating_duration_since(now),
            waited,
            survey,
        }
    }

    /// Logs a failed attempt.
    pub(crate) fn log_failed_attempt(&self, place: &Place<D, S, C>, reason: &str) {
        log::info!(
            request = self.job.head.attempt.as_str(),
            target_id = place.target.id.as_str(),
            expected_ms = place.expected_time.as_millis() as u64,
            prompt = self.job.head.prompt.map_or(0, |prompt| prompt.tokens.0),
            sends = self.counted_sends,
            may_repeat = self.can_retry(),
            age_ms = self.age().as_millis() as u64;
            "attempt failed: {reason}"
        );
    }

    /// Logs that the request keeps waiting for a silent target.
    pub(crate) fn log_kept(&self, place: &Place<D, S, C>, why: &str) {
        log::info!(
            request = self.job.head.attempt.as_str(),
            target_id = place.target.id.as_str(),
            last_event = self.resume_after.unwrap_or_default(),
            sends = self.counted_sends,
            age_ms = self.age().as_millis() as u64;
            "waits for the silent target: {why}"
        );
    }

    /// Counts and logs a request that was answered completely.
    pub(crate) fn log_answered(&self, place: &Place<D, S, C>, status: StatusCode) {
        if status.is_success() && self.counted_sends == 1 {
            self.core.record_duration(&self.job.route, self.job.nominal(), self.age());
        }
        self.core.metrics.observe_answer(self.work, self.age());
        log::info!(
            request = self.job.head.attempt.as_str(),
            route = self.job.route.name.as_str(),
            target_id = place.target.id.as_str(),
            status = status.as_u16(),
            sends = self.counted_sends,
            expected_ms = place.expected_time.as_millis() as u64,
            first_ms = self.first_event_time.unwrap_or_default().as_millis() as u64,
            goal_ms = self.job.route.goal.as_millis() as u64,
            wait_ms = self.queue_wait.as_millis() as u64,
            pause_ms = self.longest_pause.as_millis() as u64,
            pause_max_ms = self.job.route.event_gap_goal.unwrap_or_default().as_millis() as u64,
            short = place.is_short,
            part_ms = place.prefill_time.as_millis() as u64,
            prompt = self.job.head.prompt.map_or(0, |prompt| prompt.tokens.0),
            engines = place.helpers.len() + 1,
            by:% = place.decider,
            peers = self.core.count_peers(),
            config = self.job.configuration.version,
            age_ms = self.age().as_millis() as u64;
            "answered"
        );
    }
}

fn join_names(targets: &[Arc<Target>]) -> String {
    let names: Vec<&str> = targets.iter().map(|target| target.id.as_str()).collect();
    names.join(",")
}
