//! What follows from a failed attempt: for the request, and for what this node and others know of the
//! target.

use crate::attempt::Failure;
use crate::death;
use crate::dialect::Dialect;
use crate::place::Place;
use crate::refusal::{NO_TARGET_RETRY_AFTER, Refusal};
use crate::run::Run;
use crate::view::Tag;
use hickory_policy::crash::{self, Cause, Ending, Finding, Reach};
use hickory_policy::refuse::{Ran, Reason};
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use http::StatusCode;
use std::time::Duration;

/// The maximum number of attempts of a request that end because a target refuses to run it, or a
/// helper refuses to prefill its part. These don't count against the route's limit of targets.
const MAX_NOT_RUN_ATTEMPTS: u32 = 4;

/// The maximum number of attempts that end before any byte reaches the target. Each costs a few
/// milliseconds, and all targets of a zone may fail together.
const MAX_UNSENT_ATTEMPTS: u32 = 24;

/// The retry delay if this node reaches no target; the caller then connects to another node.
const LINKS_DOWN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// The retry delay if targets report that they are full.
const OVERLOADED_RETRY_AFTER: Duration = Duration::from_millis(150);

impl<D: Dialect, S: Store, C: Clock> Run<D, S, C> {
    /// Handles a failed attempt; returns a refusal if the request ends.
    pub(crate) async fn handle_failure(
        &mut self,
        place: &Place<D, S, C>,
        failure: Failure,
    ) -> Result<(), Refusal> {
        let refusing = place.find_refusing_target(&failure);
        match refusing {
            Some(tag) => self.note_refusing_helper(place, tag, &failure),
            None => self.note_failure(place, &failure),
        }
        self.core.metrics.count_retry(failure.reason());
        match failure {
            Failure::LinkDown(detail) if place.are_links_down() => {
                // The caller finds a node with links sooner than this node gets its own back.
                let refusal = Refusal::new(Reason::NoTarget, detail);
                let refusal = refusal.with_retry_after(LINKS_DOWN_RETRY_AFTER);
                return Err(refusal.after_possible_run(self.may_have_run));
            }
            Failure::ConnectionRefused
            | Failure::NotSent(_)
            | Failure::LinkDown(_)
            | Failure::NotReserved { .. } => {
                self.counted_sends -= 1;
                self.unsent_attempts += 1;
                if self.unsent_attempts > MAX_UNSENT_ATTEMPTS {
                    let refusal = Refusal::new(Reason::NoTarget, failure.to_string())
                        .with_retry_after(NO_TARGET_RETRY_AFTER);
                    return Err(refusal.after_possible_run(self.may_have_run));
                }
                return Ok(());
            }
            Failure::NotRun { status, .. } => {
                // Only the refusing target is known to be unable to run the request.
                let is_counted = status != StatusCode::MISDIRECTED_REQUEST && refusing.is_none();
                self.counted_sends -= u32::from(!is_counted);
                self.not_run_attempts += 1;
                if self.counted_sends < self.job.route.max_targets
                    && self.not_run_attempts <= MAX_NOT_RUN_ATTEMPTS
                    && self.spend_retry()
                {
                    return Ok(());
                }
                let refusal = Refusal::new(Reason::Overloaded, format!("target said {status}"))
                    .with_status(StatusCode::SERVICE_UNAVAILABLE)
                    .with_retry_after(OVERLOADED_RETRY_AFTER);
                return Err(refusal.after_possible_run(self.may_have_run));
            }
            Failure::RequestRejected { status, .. } => {
                // Counted, so that a request which no target can run doesn't reach them all.
                if self.counted_sends < self.job.route.max_targets && self.spend_retry() {
                    return Ok(());
                }
                let status = match status {
                    StatusCode::MISDIRECTED_REQUEST => status,
                    _ => StatusCode::SERVICE_UNAVAILABLE,
                };
                let refusal = Refusal::new(Reason::NotFound, failure.to_string())
                    .with_status(status)
                    .with_retry_after(OVERLOADED_RETRY_AFTER);
                return Err(refusal.after_possible_run(self.may_have_run));
            }
            Failure::OutcomeUnknown { ending, .. } => self.examine_target(place, ending).await?,
            Failure::InvalidAnswer(_) | Failure::DeadlineExceeded | Failure::Stalled => {}
        }
        self.may_have_run = true;
        if self.time_left().is_zero() {
            return Err(self.refuse_deadline_exceeded());
        }
        match self.can_retry() && self.spend_retry() {
            true => Ok(()),
            false => {
                let refusal = Refusal::new(Reason::TargetFailed, failure.to_string());
                Err(Refusal { ran: Ran::Unknown, ..refusal })
            }
        }
    }

    /// Finds out why the connection to a target failed, and what follows from it. The request ends if
    /// it is the most likely cause of crashes.
    async fn examine_target(
        &mut self,
        place: &Place<D, S, C>,
        ending: Ending,
    ) -> Result<(), Refusal> {
        let progress = self.progress();
        let reach = match ending {
            // What a new connection meets says nothing on the one that the relay forwarded.
            Ending::RelaySilent => Reach::Unconfirmed,
            Ending::Closed | Ending::Broken => death::examine(&self.core, &place.target).await,
        };
        let entry = death::read_entry(&self.core, &place.target);
        let finding = Finding { ending, reach, entry, progress };
        let verdict = crash::judge(finding);
        log::debug!(
            request = self.job.head.attempt.as_str(), target_id = place.target.id.as_str();
            "connection failed: {finding:?}, {:?}", verdict.cause
        );
        if verdict.is_refusing {
            place.note_connection_refused();
        }
        if verdict.cause == Cause::Target {
            place.note_outcome(false);
        }
        if !verdict.is_counted && !std::mem::replace(&mut self.has_spared_send, true) {
            self.counted_sends -= 1;
        }
        let Some(certainty) = verdict.against_request else { return Ok(()) };
        self.note_crash(&place.target, certainty, verdict.is_against_parts);
        // The decision on a quarantine takes longer than the next attempt.
        if self.core.parts().is_cause(self.core.now(), self.whole) {
            let refusal = Refusal::new(Reason::Quarantined, "it crashed the targets that ran it");
            return Err(refusal.after_possible_run(true));
        }
        Ok(())
    }

    /// Records that a target is silent and that another one is tried beside it.
    pub(crate) fn note_stalled(&mut self, place: &Place<D, S, C>) {
        self.note_failure(place, &Failure::Stalled);
        self.core.metrics.count_retry(Failure::Stalled.reason());
        self.may_have_run = true;
    }

    /// Records the failure of a target whose answer another one goes on with.
    pub(crate) async fn note_replaced(&mut self, place: &Place<D, S, C>, failure: &Failure) {
        self.note_failure(place, failure);
        if let Failure::OutcomeUnknown { ending, .. } = failure {
            // The answer goes on even if the request is now known to crash targets.
            let _ = self.examine_target(place, *ending).await;
        }
    }

    /// Records what a failed attempt says of the target. Where its own link may be at fault, this
    /// node finds that out first.
    fn note_failure(&self, place: &Place<D, S, C>, failure: &Failure) {
        self.log_failed_attempt(place, &failure.to_string());
        match failure {
            Failure::ConnectionRefused => place.note_connection_refused(),
            Failure::LinkDown(_)
            | Failure::OutcomeUnknown { .. }
            | Failure::RequestRejected { .. } => {}
            Failure::Stalled | Failure::DeadlineExceeded => place.note_silence(),
            _ => place.note_outcome(false),
        }
    }

    /// Records that a helper refused to prefill its part. The target itself may be tried again.
    fn note_refusing_helper(&mut self, place: &Place<D, S, C>, tag: Tag, failure: &Failure) {
        self.tried.retain(|tried| *tried != place.target.tag);
        self.tried.push(tag);
        if !matches!(failure, Failure::RequestRejected { .. }) {
            place.note_prefill_refused(tag);
        }
        self.log_failed_attempt(place, &failure.to_string());
    }
}
