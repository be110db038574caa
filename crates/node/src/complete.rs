//! Runs a completion: one or more attempts, each with a permit from a target's owner, until the
//! answer is complete or refused.
//!
//! A completion runs in a task of its own and sends [`Piece`]s to the task that writes to the
//! caller. If that task drops its receiver, the caller has disconnected.

use crate::core::{Active, Core};
use crate::event_id::Position;
use crate::parse::{Completion, refuse};
use crate::parts::{self, PartReservation};
use crate::permit::{self, AttemptHistory, AttemptSpec, Placement};
use crate::record;
use crate::relay::{self, End, Relay};
use crate::suspect;
use crate::view::Capability;
use compact_str::CompactString;
use hickory_policy::poison::QUARANTINE_DEATHS;
use hickory_policy::refuse::{Ran, Reason, Refusal, RetryReason};
use hickory_target::Error;
use hickory_target::engine::{Engines, Generate, Handle, Priority};
use hickory_telemetry::label::{TokenDirection, Work};
use hickory_unit::size;
use hickory_wire::message::Ending;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Maximum number of pieces buffered for a slow caller; when the buffer is full, the relay
/// stops reading the engine's stream.
const MAX_BUFFERED_PIECES: usize = 256;

/// One piece of a completion's answer.
#[derive(Clone, Debug)]
pub(crate) enum Piece {
    /// A token, with the caller's position after it.
    Token(Position, CompactString),
    /// The end of a complete answer, with its number of tokens.
    End(u64),
    /// The completion failed with this refusal.
    Refused(Refusal),
}

/// Starts a completion in a task of its own.
pub(crate) fn spawn(core: &Arc<Core>, completion: Completion) -> mpsc::Receiver<Piece> {
    let (out, pieces) = mpsc::channel(MAX_BUFFERED_PIECES);
    let core = core.clone();
    tokio::spawn(async move {
        let _active = Active::begin(&core);
        let _in_flight = core.metrics.begin_request(Work::Completion);
        let admitted_at = core.now();
        let run = Run {
            core: &core,
            completion: &completion,
            out,
            admitted_at,
            delivered: 0,
            was_sent: false,
            deaths: 0,
        };
        run.run().await;
    });
    pieces
}

/// A running completion.
struct Run<'a> {
    core: &'a Arc<Core>,
    completion: &'a Completion,
    out: mpsc::Sender<Piece>,
    /// When the request was admitted.
    admitted_at: Instant,
    delivered: u64,
    /// Whether bytes were sent to any target.
    was_sent: bool,
    /// Number of targets that died while they ran it.
    deaths: u32,
}

/// The result of an attempt.
enum Attempt {
    /// The answer is complete, with this many tokens.
    Complete(u64),
    /// Another target may run it.
    Retry(RetryReason),
    /// The target died while it ran.
    TargetDied,
    /// The caller has disconnected, or another node serves its stream; no work is left.
    CallerGone,
    /// The completion is refused.
    Refused(Refusal),
}

impl Attempt {
    /// Returns the reason for a further attempt, if there is to be one.
    fn retry(&self) -> Option<RetryReason> {
        match self {
            Self::Retry(reason) => Some(*reason),
            Self::TargetDied => Some(RetryReason::TargetFailed),
            Self::Complete(_) | Self::CallerGone | Self::Refused(_) => None,
        }
    }
}

impl Run<'_> {
    async fn run(mut self) {
        let mut history = AttemptHistory::default();
        let (core, fingerprint) = (self.core, self.completion.fingerprint);
        let account = &self.completion.caller.account;
        core.retry_control.earn(account);
        for attempt in 0.. {
            match self.attempt(attempt, &mut history).await {
                Attempt::Complete(count) => {
                    core.retry_control.note_success(core.now(), fingerprint);
                    let prompt = self.completion.cost.prefill;
                    self.core.metrics.count_tokens(TokenDirection::Prompt, prompt);
                    self.core.metrics.count_tokens(TokenDirection::Answer, size::Tokens(count));
                    let _ = self.out.send(Piece::End(count)).await;
                    return;
                }
                Attempt::Retry(reason) => {
                    if let Err(refusal) = suspect::spend_retry(core, account, reason) {
                        return self.refuse(refusal).await;
                    }
                }
                Attempt::CallerGone => return suspect::drop_trial(core, fingerprint),
                Attempt::Refused(refusal) => {
                    suspect::drop_trial(core, fingerprint);
                    return self.refuse(refusal).await;
                }
                Attempt::TargetDied => {
                    self.deaths += 1;
                    if self.deaths >= QUARANTINE_DEATHS {
                        let refusal = suspect::quarantine(core, fingerprint).await;
                        return self.refuse(refusal).await;
                    }
                    if let Err(refusal) =
                        suspect::spend_retry(core, account, RetryReason::TargetFailed)
                    {
                        return self.refuse(refusal).await;
                    }
                }
            }
            if !history.wait_before_retry().await {
                break;
            }
        }
        let refusal = refuse(Reason::TargetFailed, "the targets failed that it was sent to");
        self.refuse(refusal).await;
    }

    async fn refuse(self, mut refusal: Refusal) {
        if self.was_sent {
            refusal.ran = Ran::Unknown;
        }
        record::log_refusal(self.completion.request, &self.completion.caller.account, &refusal);
        let _ = self.out.send(Piece::Refused(refusal)).await;
    }

    async fn attempt(&mut self, attempt: u32, history: &mut AttemptHistory) -> Attempt {
        let completion = self.completion;
        let number = attempt * parts::STREAMS_PER_ATTEMPT;
        let stream =
            permit::make_stream_id(self.core, completion.request, number, completion.deadline_ms);
        let spec = AttemptSpec {
            capability: Capability::Weights(&completion.weights),
            stream: &stream,
            partner: &completion.caller.partner,
            account: &completion.caller.account,
            class: completion.class,
            cost: completion.cost,
            deadline: completion.deadline,
            fingerprint: completion.fingerprint,
            prefix: completion.prefix,
            is_exclusive: false,
        };
        let judged = tokio::select! {
            judged = suspect::judge(self.core, completion) => judged,
            () = self.out.closed() => return Attempt::CallerGone,
        };
        // After a target died under this request, further attempts run exclusively, even if the
        // target's owner hasn't reported the death yet.
        let spec = match judged {
            Ok(is_exclusive) => {
                AttemptSpec { is_exclusive: is_exclusive || self.deaths > 0, ..spec }
            }
            Err(refusal) => return Attempt::Refused(refusal),
        };
        if parts::find_candidates(self.core, completion).is_some() {
            let attempt = self.attempt_split(attempt).await;
            if let Some(retry) = attempt.retry() {
                history.count(retry);
            }
            return attempt;
        }
        let obtained = tokio::select! {
            obtained = permit::obtain_placement(self.core, &spec, history) => obtained,
            () = self.out.closed() => return Attempt::CallerGone,
        };
        let placement = match obtained {
            Ok(placement) => placement,
            Err(refusal) => return Attempt::Refused(refusal),
        };
        let end = self.send(&placement, None).await;
        let attempt = self.settle(&placement, end);
        if let Some(retry) = attempt.retry() {
            history.record(placement.target, retry);
        }
        attempt
    }

    /// Runs an attempt with the prompt split over several engines.
    async fn attempt_split(&mut self, attempt: u32) -> Attempt {
        let (core, completion, out) = (self.core, self.completion, &self.out);
        let reservation = PartReservation { core, completion, attempt, out };
        let mut held = match reservation.run().await {
            Ok(held) => held,
            Err(_) if self.out.is_closed() => return Attempt::CallerGone,
            Err(refusal) => return Attempt::Refused(refusal),
        };
        self.was_sent = true;
        let prefilled = parts::prefill(core, completion, &mut held, &self.out).await;
        let Some(last) = parts::last_placement(&held).cloned() else { return Attempt::CallerGone };
        let attempt = match prefilled {
            Ok(import) => {
                let end = self.send(&last, import).await;
                self.settle(&last, end)
            }
            // The last part was never started, so its permit is released as not sent.
            Err(end) => {
                permit::report_outcome(
                    core,
                    &last.target,
                    &last.permit,
                    &last.stream,
                    Ending::NotSent,
                    None,
                );
                classify_end(end)
            }
        };
        parts::release(core, held);
        attempt
    }

    /// Sends the attempt and relays its tokens.
    async fn send(
        &mut self,
        placement: &Placement,
        import: Option<Handle>,
    ) -> (End, Option<Duration>) {
        let completion = self.completion;
        let generate = Generate {
            stream: placement.stream.clone(),
            weights: completion.weights.clone(),
            prompt: completion.prompt.clone(),
            max_tokens: completion.cost.decode,
            priority: Priority(placement.permit.priority),
            import,
            prefill_only: None,
            from: self.delivered,
        };
        let mut relay = Relay {
            core: self.core,
            address: placement.address,
            target: &placement.target,
            stream: &placement.stream,
            deadline: completion.deadline,
            first_token_timeout: relay::first_token_timeout(
                self.core,
                placement.expected_first_token,
            ),
            out: &self.out,
            delivered: self.delivered,
            first_token_at: None,
        };
        let started_at = self.core.now();
        let end = match relay.open(self.core.targets.generate(placement.address, &generate)).await {
            Ok(tokens) => relay.run(tokens).await,
            Err(end) => end,
        };
        // The caller's time to the first token includes the queue and failed attempts. An
        // attempt that continues a stream isn't counted.
        if let Some(at) = relay.first_token_at
            && self.delivered == 0
        {
            self.core.metrics.observe_first_token(completion.cost.prefill, at - self.admitted_at);
        }
        self.delivered = relay.delivered;
        (end, relay.first_token_at.map(|at| at - started_at))
    }

    /// Reports the outcome to the owner and decides how to continue.
    fn settle(
        &mut self,
        placement: &Placement,
        (end, first_token): (End, Option<Duration>),
    ) -> Attempt {
        if !matches!(end, End::Failed(Error::NotSent(_) | Error::Refused(_))) {
            self.was_sent = true;
        }
        let ending = match &end {
            End::Complete(_) => Ending::Finished,
            // The permit belongs to the other node, which reports its outcome.
            End::TakenOver => return Attempt::CallerGone,
            End::CallerGone => Ending::CallerDisconnected,
            End::TargetDied => Ending::TargetDied,
            End::Failed(Error::NotSent(_) | Error::Refused(_)) => Ending::NotSent,
            End::Deadline | End::Stalled | End::Failed(_) => Ending::Lost,
        };
        let attempt = classify_end(end);
        if let Some(reason) = attempt.retry() {
            record::log_retry(self.core, &self.completion.caller.account, placement, reason);
        }
        let (target, permit) = (&placement.target, &placement.permit);
        permit::report_outcome(self.core, target, permit, &placement.stream, ending, first_token);
        attempt
    }
}

/// Returns the result of an attempt whose relay ended with `end`.
fn classify_end(end: End) -> Attempt {
    match end {
        End::Complete(count) => Attempt::Complete(count),
        End::TakenOver | End::CallerGone => Attempt::CallerGone,
        End::Deadline => {
            Attempt::Refused(refuse(Reason::Deadline, "the deadline passed while it ran"))
        }
        End::Stalled => Attempt::Retry(RetryReason::Stalled),
        End::TargetDied => Attempt::TargetDied,
        End::Failed(Error::NotSent(_)) => Attempt::Retry(RetryReason::NotSent),
        End::Failed(Error::Refused(_)) => Attempt::Retry(RetryReason::Refused),
        End::Failed(_) => Attempt::Retry(RetryReason::TargetFailed),
    }
}
