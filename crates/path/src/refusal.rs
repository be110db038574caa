//! Refusals of requests. A refusal is immediate and final, and states whether the request may have
//! run.

use crate::core::Core;
use crate::decision::{DecisionContext, log_decision};
use crate::dialect::Dialect;
use crate::placement::RejectReason;
use crate::reply::{self, Reply};
use hickory_policy::refuse::{Ran, Reason};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::size::Tokens;
use http::{Response, StatusCode};
use std::time::{Duration, Instant};

/// The retry delay if no target accepts work.
pub(crate) const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The maximum retry delay sent to callers; the current load doesn't predict the load beyond it.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The refusal of a request.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) status: StatusCode,
    pub(crate) detail: String,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) ran: Ran,
    /// The size of the prompt, if the head was read.
    pub(crate) prompt: Tokens,
    /// The inputs of the placement decision, if the request found no place.
    pub(crate) decision_context: Option<Box<DecisionContext>>,
}

impl Refusal {
    pub(crate) fn new(reason: Reason, detail: impl Into<String>) -> Self {
        let status = StatusCode::from_u16(reason.status());
        let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
        Self {
            reason,
            status,
            detail: detail.into(),
            retry_after: None,
            ran: Ran::No,
            prompt: Tokens(0),
            decision_context: None,
        }
    }

    pub(crate) fn with_prompt(self, prompt: Tokens) -> Self {
        Self { prompt, ..self }
    }

    pub(crate) fn with_retry_after(self, time: Duration) -> Self {
        Self { retry_after: Some(time), ..self }
    }

    pub(crate) fn with_status(self, status: StatusCode) -> Self {
        Self { status, ..self }
    }

    /// Creates the refusal of a request that found no place.
    pub(crate) fn rejected(reason: RejectReason) -> Self {
        match reason {
            RejectReason::NoTarget => Self::new(Reason::NoTarget, "no target takes work")
                .with_retry_after(NO_TARGET_RETRY_AFTER),
            RejectReason::TooLong => Self::new(Reason::TooLong, "longer than the fleet's memory")
                .with_status(StatusCode::SERVICE_UNAVAILABLE),
            RejectReason::Busy(time) => Self::new(Reason::Overloaded, "all targets are busy")
                .with_status(StatusCode::SERVICE_UNAVAILABLE)
                .with_retry_after(time.min(MAX_RETRY_AFTER)),
        }
    }

    /// Creates the refusal of a request whose deadline passed.
    pub(crate) fn deadline_exceeded(may_have_run: bool) -> Self {
        let refusal = Self::new(Reason::Deadline, "the deadline passed");
        match may_have_run {
            true => Self { ran: Ran::Unknown, ..refusal },
            false => refusal.with_status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// Adjusts the refusal of a request that may have run: neither its status nor a retry delay may
    /// imply that it hasn't.
    pub(crate) fn after_possible_run(self, may_have_run: bool) -> Self {
        match may_have_run {
            true => Self { retry_after: None, ran: Ran::Unknown, ..self }
                .with_status(StatusCode::BAD_GATEWAY),
            false => self,
        }
    }
}

/// Builds the response of a refusal, counts the refusal and logs it.
pub(crate) fn answer_refusal<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    attempt: &str,
    arrived: Instant,
    refusal: &Refusal,
) -> Response<Reply> {
    core.metrics.count_refusal(refusal.reason, refusal.ran);
    log_refusal(core, attempt, arrived, refusal);
    let mut response = reply::plain(refusal.status, &refusal.detail);
    if let Some(time) = refusal.retry_after {
        reply::set_retry_after(&mut response, time);
    }
    response
}

fn log_refusal<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    attempt: &str,
    arrived: Instant,
    refusal: &Refusal,
) {
    let retry_after_ms = refusal.retry_after.unwrap_or_default().as_millis() as u64;
    let age_ms = core.now().saturating_duration_since(arrived).as_millis() as u64;
    let status = refusal.status.as_u16();
    let view = core.view();
    let config = view.version();
    let config_age = view.configured_at.map(|at| core.now().saturating_duration_since(at));
    let config_age_ms = config_age.unwrap_or_default().as_millis() as u64;
    let behind_ms = core.lag().map_or(0, |lag| lag.time.as_millis() as u64);
    if let Some(context) = &refusal.decision_context {
        log_decision!(
            context,
            {
                request = attempt,
                reason:% = refusal.reason,
                status,
                ran:% = refusal.ran,
                retry_after_ms,
                config,
                config_age_ms,
                behind_ms,
                age_ms,
            },
            "refused: {}", refusal.detail
        );
        return;
    }
    log::info!(
        request = attempt,
        reason:% = refusal.reason,
        status,
        ran:% = refusal.ran,
        retry_after_ms,
        prompt = refusal.prompt.0,
        config,
        config_age_ms,
        behind_ms,
        age_ms;
        "refused: {}", refusal.detail
    );
}
