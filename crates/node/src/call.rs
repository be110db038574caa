//! Calls to plain services. Idempotent calls are retried; the others are claimed in the ledger
//! under their idempotency key and sent at most once.

use crate::core::{Active, Core};
use crate::parse::{Caller, hash_parts, refuse};
use crate::permit::{self, AttemptHistory, AttemptSpec, Placement, SERVICE_CALL_COST};
use crate::record;
use crate::suspect;
use crate::view::Capability;
use bytes::Bytes;
use hickory_policy::cost::Class;
use hickory_policy::refuse::{Ran, Reason, Refusal, RetryReason};
use hickory_state::claim::{self, Claim, Outcome};
use hickory_target::Error;
use hickory_target::service::{self, Reply, Services};
use hickory_telemetry::label::{self, Work};
use hickory_unit::clock::Clock;
use hickory_unit::id;
use hickory_wire::message::Ending;
use std::sync::Arc;
use std::time::{Duration, Instant};
use uuid::Uuid;

/// Maximum size of an answer that the ledger keeps for resends. A ledger document holds many
/// claims and the platform limits it to a megabyte.
const MAX_KEPT_BODY_BYTES: usize = 2048;

/// Retry delay for a caller whose first attempt may still be running.
const REPEATED_RETRY_AFTER: Duration = Duration::from_secs(2);

/// A call to a plain service.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) caller: Caller,
    pub(crate) service: id::Service,
    pub(crate) path: String,
    pub(crate) key: Option<Uuid>,
    /// Whether the call is not idempotent, so that it must be sent at most once.
    pub(crate) at_most_once: bool,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    pub(crate) deadline_ms: u64,
}

/// Makes a call and returns its answer.
///
/// The call runs in a task of its own: a caller that disconnects must not leave a claim that is
/// neither sent nor settled.
pub(crate) async fn run(core: &Arc<Core>, call: Call) -> Result<Reply, Refusal> {
    let core = core.clone();
    let task = tokio::spawn(async move {
        let _active = Active::begin(&core);
        let _in_flight = core.metrics.begin_request(Work::Service);
        match (call.at_most_once, call.key) {
            (true, Some(key)) => run_at_most_once(&core, &call, key).await,
            (true, None) => {
                let detail = "header idempotency-key: this call needs one";
                Err(refuse(Reason::BadKey, detail))
            }
            (false, _) => run_attempts(&core, &call, None).await.map_err(|failure| failure.refusal),
        }
    });
    task.await.unwrap_or_else(|_| {
        let unknown = refuse(Reason::TargetFailed, "the call ended without an answer");
        Err(Refusal { ran: Ran::Unknown, ..unknown })
    })
}

/// A call that ended without an answer.
struct Failure {
    refusal: Refusal,
}

/// Claims the call in the ledger before any byte is sent, and sends it at most once.
async fn run_at_most_once(core: &Arc<Core>, call: &Call, key: Uuid) -> Result<Reply, Refusal> {
    let answer = core.ledger.claim(key, fingerprint(call), call.deadline).await;
    core.metrics.count_claim(label_claim(&answer));
    let claim = match answer {
        claim::Answer::Granted(claim) => claim,
        other => return answer_unclaimed(other),
    };
    let result = run_attempts(core, call, Some(&claim)).await;
    let outcome = match &result {
        Ok(reply) => Some(Outcome::Answered { status: reply.status, body: keep_body(&reply.body) }),
        Err(failure) if failure.refusal.ran == Ran::No => Some(Outcome::NotRun),
        // The call may still run. The claim stays, and a resend is answered that it may have
        // run.
        Err(_) => None,
    };
    if let Some(outcome) = outcome {
        settle(core, claim, outcome);
    }
    result.map_err(|failure| failure.refusal)
}

/// Stores how a claimed call ended, for resends. Runs in the background, so that the caller's
/// answer isn't delayed.
fn settle(core: &Arc<Core>, claim: Claim, outcome: Outcome) {
    let core = core.clone();
    tokio::spawn(async move {
        let _active = Active::begin(&core);
        if let Err(error) = core.ledger.settle(&claim, outcome).await {
            log::warn!("claim not settled: {error}");
        }
    });
}

fn label_claim(answer: &claim::Answer) -> label::Claim {
    match answer {
        claim::Answer::Granted(_) => label::Claim::Claimed,
        claim::Answer::Repeated { .. } | claim::Answer::Reused => label::Claim::AlreadyClaimed,
        claim::Answer::NotDone(_) => label::Claim::NotDone,
        claim::Answer::KeyRefused | claim::Answer::Unknown(_) => label::Claim::Unknown,
    }
}

fn answer_unclaimed(answer: claim::Answer) -> Result<Reply, Refusal> {
    let unknown = |reason, detail: &str| {
        Err(Refusal {
            ran: Ran::Unknown,
            retry_after: Some(REPEATED_RETRY_AFTER),
            ..refuse(reason, detail)
        })
    };
    match answer {
        claim::Answer::Repeated { outcome: Some(Outcome::Answered { status, body }) } => {
            Ok(Reply { status, body: body.unwrap_or_default().into() })
        }
        claim::Answer::Granted(_) | claim::Answer::Repeated { .. } => {
            unknown(Reason::AlreadyClaimed, "a request with this key was sent before")
        }
        claim::Answer::Reused => {
            Err(refuse(Reason::KeyReused, "the key was used with another content"))
        }
        claim::Answer::KeyRefused => unknown(Reason::KeyTooOld, "the key is not kept any more"),
        claim::Answer::NotDone(detail) => Err(Refusal {
            retry_after: Some(REPEATED_RETRY_AFTER),
            ..refuse(Reason::LedgerDown, detail)
        }),
        claim::Answer::Unknown(error) => unknown(Reason::LedgerDown, &error.to_string()),
    }
}

fn keep_body(body: &Bytes) -> Option<String> {
    (body.len() <= MAX_KEPT_BODY_BYTES).then(|| String::from_utf8(body.to_vec()).ok())?
}

fn fingerprint(call: &Call) -> u64 {
    let account = call.caller.account.as_str().as_bytes();
    hash_parts(&[account, call.service.as_str().as_bytes(), call.path.as_bytes(), &call.body])
}

async fn run_attempts(
    core: &Arc<Core>,
    call: &Call,
    claim: Option<&Claim>,
) -> Result<Reply, Failure> {
    let request = id::Request(Uuid::now_v7());
    let mut history = AttemptHistory::default();
    let mut ran = Ran::No;
    core.retry_control.earn(&call.caller.account);
    for attempt in 0.. {
        let stream = permit::make_stream_id(core, request, attempt, call.deadline_ms);
        let spec = AttemptSpec {
            capability: Capability::Service(&call.service),
            stream: &stream,
            partner: &call.caller.partner,
            account: &call.caller.account,
            class: Class::Interactive,
            cost: SERVICE_CALL_COST,
            deadline: call.deadline,
            fingerprint: fingerprint(call),
            prefix: 0,
            is_exclusive: false,
        };
        let obtained = permit::obtain_placement(core, &spec, &history).await;
        let placement =
            obtained.map_err(|refusal| Failure { refusal: Refusal { ran, ..refusal } })?;
        let retry = match send(core, call, claim, &placement).await {
            Ok(reply) => return Ok(reply),
            Err(Error::NotSent(_)) => RetryReason::NotSent,
            Err(Error::Refused(_)) => RetryReason::Refused,
            Err(error) => {
                ran = Ran::Unknown;
                if call.at_most_once {
                    let refusal = refuse(Reason::TargetFailed, error.to_string());
                    let refusal = Refusal { ran, ..refusal };
                    record::log_refusal(request, &call.caller.account, &refusal);
                    return Err(Failure { refusal });
                }
                RetryReason::TargetFailed
            }
        };
        record::log_retry(core, &call.caller.account, &placement, retry);
        history.record(placement.target, retry);
        let spent = suspect::spend_retry(core, &call.caller.account, retry);
        spent.map_err(|refusal| Failure { refusal: Refusal { ran, ..refusal } })?;
        if !history.wait_before_retry().await {
            break;
        }
    }
    let refusal = refuse(Reason::TargetFailed, "the replicas failed that it was sent to");
    Err(Failure { refusal: Refusal { ran, ..refusal } })
}

async fn send(
    core: &Core,
    call: &Call,
    claim: Option<&Claim>,
    placement: &Placement,
) -> Result<Reply, Error> {
    let now = core.now();
    let permit = &placement.permit;
    // A node that was paused past the claim's send window must not send: a resend may already
    // have been answered that the call has not run.
    if claim.is_some_and(|claim| !claim.can_send(core.clock.now())) {
        permit::report_outcome(
            core,
            &placement.target,
            permit,
            &placement.stream,
            Ending::NotSent,
            None,
        );
        return Err(Error::NotSent("the claim's window to send has passed".into()));
    }
    let timeout = call.deadline.saturating_duration_since(now);
    let request = service::Call {
        path: call.path.clone(),
        key: call.key.map(|key| key.to_string()),
        body: call.body.clone(),
        timeout,
    };
    let result = core.targets.call(placement.address, request).await;
    let ending = match &result {
        Ok(_) => Ending::Finished,
        Err(Error::NotSent(_) | Error::Refused(_)) => Ending::NotSent,
        Err(_) => Ending::Lost,
    };
    permit::report_outcome(core, &placement.target, permit, &placement.stream, ending, None);
    result
}
