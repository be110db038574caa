//! The inputs of a placement decision, for its log line.

use hickory_policy::survey::Survey;
use hickory_unit::size::Tokens;
use std::time::Duration;

/// The inputs of the decision where to place a prompt, or to refuse it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct DecisionContext {
    /// The size of the prompt.
    pub(crate) prompt: Tokens,
    /// The time left to meet the goal for the first token.
    pub(crate) goal_left: Duration,
    /// The time left until the caller stops waiting for the first token.
    pub(crate) limit_left: Duration,
    /// The time that the request has waited.
    pub(crate) waited: Duration,
    /// The state of the engines and of the queue ahead of the request.
    pub(crate) survey: Survey,
}

/// Writes a log line with the line's own fields, followed by the inputs of a decision.
macro_rules! log_decision {
    ($context:expr, { $($field:tt)* }, $($message:tt)*) => {
        let context: &$crate::decision::DecisionContext = $context;
        log::info!(
            $($field)*
            prompt = context.prompt.0,
            goal_left_ms = context.goal_left.as_millis() as u64,
            limit_left_ms = context.limit_left.as_millis() as u64,
            wait_ms = context.waited.as_millis() as u64,
            engines_known = context.survey.engines,
            full = context.survey.full,
            idle = context.survey.idle,
            clear = context.survey.without_short,
            penalized = context.survey.penalized,
            unread_ms = context.survey.prefill_backlog.as_millis() as u64,
            ahead_ms = context.survey.ahead_prefill_time.as_millis() as u64,
            ahead_short = context.survey.ahead_short_prompts;
            $($message)*
        );
    };
}

pub(crate) use log_decision;
