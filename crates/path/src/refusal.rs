//! Refusals: final, said at once, and true about whether the request ran.

use crate::core::Core;
use crate::decision::{DecisionContext, log_decision};
use crate::dialect::Dialect;
use crate::placement::NoPlace;
use crate::reply::{self, Reply};
use hickory_policy::refuse::{Ran, Reason};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::size::Tokens;
use http::{Response, StatusCode};
use std::time::{Duration, Instant};

/// When to come back where no target takes work.
pub(crate) const NO_TARGET_RETRY: Duration = Duration::from_millis(500);

/// The most that callers are told to wait: beyond it, what is known of the
/// load now says nothing.
const RETRY_MAX: Duration = Duration::from_secs(5);

/// A request that is refused.
#[derive(Clone, Debug)]
pub(crate) struct Refusal {
    pub(crate) reason: Reason,
    pub(crate) status: StatusCode,
    pub(crate) detail: String,
    pub(crate) retry_after: Option<Duration>,
    pub(crate) ran: Ran,
    /// The size of its prompt, as far as it was read.
    pub(crate) prompt: Tokens,
    /// What decided it, where it found no place.
    pub(crate) known: Option<Box<DecisionContext>>,
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
            known: None,
        }
    }

    pub(crate) fn with_prompt(self, prompt: Tokens) -> Self {
        Self { prompt, ..self }
    }

    pub(crate) fn after(self, time: Duration) -> Self {
        Self { retry_after: Some(time), ..self }
    }

    pub(crate) fn with_status(self, status: StatusCode) -> Self {
        Self { status, ..self }
    }

    /// A refusal of what found no place.
    pub(crate) fn unplaced(no_place: NoPlace) -> Self {
        match no_place {
            NoPlace::NoTarget => {
                Self::new(Reason::NoTarget, "no target takes work").after(NO_TARGET_RETRY)
            }
            NoPlace::TooLong => Self::new(Reason::TooLong, "longer than the fleet's memory")
                .with_status(StatusCode::SERVICE_UNAVAILABLE),
            NoPlace::Busy(time) => Self::new(Reason::Overloaded, "all targets are busy")
                .with_status(StatusCode::SERVICE_UNAVAILABLE)
                .after(time.min(RETRY_MAX)),
        }
    }

    /// A refusal of what is past its deadline.
    pub(crate) fn late(may_have_run: bool) -> Self {
        let refusal = Self::new(Reason::Deadline, "the deadline passed");
        match may_have_run {
            true => Self { ran: Ran::Unknown, ..refusal },
            false => refusal.with_status(StatusCode::SERVICE_UNAVAILABLE),
        }
    }

    /// The refusal as it must be said: where the request may have run, nothing
    /// may promise that it hasn't.
    pub(crate) fn after_run(self, may_have_run: bool) -> Self {
        match may_have_run {
            true => Self { retry_after: None, ran: Ran::Unknown, ..self }
                .with_status(StatusCode::BAD_GATEWAY),
            false => self,
        }
    }
}

/// Answers with a refusal, which is counted and logged.
pub(crate) fn answer_refusal<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    attempt: &str,
    arrived: Instant,
    refusal: &Refusal,
) -> Response<Reply> {
    core.metrics.refused(refusal.reason, refusal.ran);
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
    if let Some(known) = &refusal.known {
        log_decision!(
            known,
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
