//! What a decision about a request knew, for its log line.

use hickory_policy::survey::Survey;
use hickory_unit::size::Tokens;
use std::time::Duration;

/// What decided where a prompt goes, or that it goes nowhere.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Known {
    /// Its size.
    pub(crate) prompt: Tokens,
    /// What is left of the time within which its first token is wanted.
    pub(crate) goal_left: Duration,
    /// What is left until its caller gives up on a first token.
    pub(crate) limit_left: Duration,
    /// How long it has waited.
    pub(crate) waited: Duration,
    /// What it would wait for.
    pub(crate) survey: Survey,
}

/// Writes a log line with what a decision knew after the line's own fields.
macro_rules! log_known {
    ($known:expr, { $($field:tt)* }, $($message:tt)*) => {
        let known: &$crate::known::Known = $known;
        log::info!(
            $($field)*
            prompt = known.prompt.0,
            goal_left_ms = known.goal_left.as_millis() as u64,
            limit_left_ms = known.limit_left.as_millis() as u64,
            wait_ms = known.waited.as_millis() as u64,
            engines_known = known.survey.engines,
            full = known.survey.full,
            idle = known.survey.idle,
            clear = known.survey.without_short,
            penalized = known.survey.penalized,
            unread_ms = known.survey.prefill_backlog.as_millis() as u64,
            ahead_ms = known.survey.ahead_prefill_time.as_millis() as u64,
            ahead_short = known.survey.ahead_short_prompts;
            $($message)*
        );
    };
}

pub(crate) use log_known;
