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
    ($known:expr, { $($field:tt)* }, $($message:tt)*) => {
        let known: &$crate::decision::DecisionContext = $known;
        log::info!(
            $($field)*
            prompt = known.prompt.0,
            goal_left_ms = known.goal_left.as_millis() as u64,
            limit_left_ms = known.limit_left.as_millis() as u64,
            wait_ms = known.waited.as_millis() as u64,
            engines_known = known.survey.engines,
            full = known.survey.full,
            idle = known.survey.idle,
            clear = known.survey.clear,
            penalized = known.survey.penalized,
            unread_ms = known.survey.unread.as_millis() as u64,
            ahead_ms = known.survey.ahead.as_millis() as u64,
            ahead_short = known.survey.ahead_short;
            $($message)*
        );
    };
}

pub(crate) use log_decision;
