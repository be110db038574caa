//! Calls of plain services: idempotent ones may be tried again, the others
//! are claimed in the ledger and sent at most once.

use crate::core::{Active, Core};
use crate::parse::{Caller, hash_parts, refuse};
use crate::permit::{self, Leave, ONE_SLOT, Tried, Want};
use crate::record;
use crate::suspect;
use crate::view::Need;
use bytes::Bytes;
use hickory_policy::cost::Class;
use hickory_policy::refuse::{Ran, Reason, Refusal, Retry};
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

/// The greatest answer that the ledger keeps for a resend; its documents hold
/// many claims within the platform's bound of a megabyte.
const KEPT_MAX: usize = 2048;

/// When to ask again for a call whose first attempt may still be under way.
const REPEATED_RETRY: Duration = Duration::from_secs(2);

/// A call to make.
#[derive(Clone, Debug)]
pub(crate) struct Call {
    pub(crate) caller: Caller,
    pub(crate) service: id::Service,
    pub(crate) path: String,
    pub(crate) key: Option<Uuid>,
    /// Whether it must not be repeated.
    pub(crate) once: bool,
    pub(crate) body: Bytes,
    pub(crate) deadline: Instant,
    pub(crate) deadline_ms: u64,
}

/// Makes a call and brings its answer. It runs in a task of its own: a caller
/// who hangs up must not leave a claim that is neither sent nor settled.
pub(crate) async fn run(core: &Arc<Core>, call: Call) -> Result<Reply, Refusal> {
    let core = core.clone();
    let task = tokio::spawn(async move {
        let _active = Active::begin(&core);
        let _in_flight = core.metrics.begin_request(Work::Service);
        match (call.once, call.key) {
            (true, Some(key)) => run_once(&core, &call, key).await,
            (true, None) => {
                let detail = "header idempotency-key: this call needs one";
                Err(refuse(Reason::BadKey, detail))
            }
            (false, _) => attempts(&core, &call, None).await.map_err(|failure| failure.refusal),
        }
    });
    task.await.unwrap_or_else(|_| {
        let unknown = refuse(Reason::TargetFailed, "the call ended without an answer");
        Err(Refusal { ran: Ran::Unknown, ..unknown })
    })
}

/// A call that brought no answer.
struct Failure {
    refusal: Refusal,
}

/// Claims the call before its first byte, and sends it at most once.
async fn run_once(core: &Arc<Core>, call: &Call, key: Uuid) -> Result<Reply, Refusal> {
    let answer = core.ledger.claim(key, fingerprint(call), call.deadline).await;
    core.metrics.count_claim(label_claim(&answer));
    let claim = match answer {
        claim::Answer::Granted(claim) => claim,
        other => return read_unclaimed(other),
    };
    let result = attempts(core, call, Some(&claim)).await;
    let outcome = match &result {
        Ok(reply) => Some(Outcome::Answered { status: reply.status, body: keep_body(&reply.body) }),
        Err(failure) if failure.refusal.ran == Ran::No => Some(Outcome::NotRun),
        // It may still run: the claim stays, and a resend is told so.
        Err(_) => None,
    };
    if let Some(outcome) = outcome {
        settle(core, claim, outcome);
    }
    result.map_err(|failure| failure.refusal)
}

/// Stores how a claimed call ended, for resends; the caller's answer does not
/// wait for it.
fn settle(core: &Arc<Core>, claim: Claim, outcome: Outcome) {
    let core = core.clone();
    tokio::spawn(async move {
        let _active = Active::begin(&core);
        if let Err(doubt) = core.ledger.settle(&claim, outcome).await {
            log::warn!("claim not settled: {doubt}");
        }
    });
}

fn label_claim(answer: &claim::Answer) -> label::Claim {
    match answer {
        claim::Answer::Granted(_) => label::Claim::Claimed,
        claim::Answer::Repeated { .. } | claim::Answer::Reused => label::Claim::AlreadyClaimed,
        claim::Answer::NotDone(_) => label::Claim::NotDone,
        claim::Answer::TooOld | claim::Answer::Unknown(_) => label::Claim::Unknown,
    }
}

fn read_unclaimed(answer: claim::Answer) -> Result<Reply, Refusal> {
    let unknown = |reason, detail: &str| {
        Err(Refusal {
            ran: Ran::Unknown,
            retry_after: Some(REPEATED_RETRY),
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
        claim::Answer::TooOld => unknown(Reason::KeyTooOld, "the key is not kept any more"),
        claim::Answer::NotDone(detail) => {
            Err(Refusal { retry_after: Some(REPEATED_RETRY), ..refuse(Reason::LedgerDown, detail) })
        }
        claim::Answer::Unknown(doubt) => unknown(Reason::LedgerDown, &doubt.to_string()),
    }
}

fn keep_body(body: &Bytes) -> Option<String> {
    (body.len() <= KEPT_MAX).then(|| String::from_utf8(body.to_vec()).ok())?
}

fn fingerprint(call: &Call) -> u64 {
    let account = call.caller.account.as_str().as_bytes();
    hash_parts(&[account, call.service.as_str().as_bytes(), call.path.as_bytes(), &call.body])
}

async fn attempts(core: &Arc<Core>, call: &Call, claim: Option<&Claim>) -> Result<Reply, Failure> {
    let request = id::Request(Uuid::now_v7());
    let mut tried = Tried::default();
    let mut ran = Ran::No;
    core.record.earn(&call.caller.account);
    for attempt in 0.. {
        let stream = permit::name_stream(core, request, attempt, call.deadline_ms);
        let want = Want {
            need: Need::Service(&call.service),
            stream: &stream,
            partner: &call.caller.partner,
            account: &call.caller.account,
            class: Class::Interactive,
            cost: ONE_SLOT,
            deadline: call.deadline,
            fingerprint: fingerprint(call),
            prefix: 0,
            alone: false,
        };
        let obtained = permit::obtain(core, &want, &tried).await;
        let leave = obtained.map_err(|refusal| Failure { refusal: Refusal { ran, ..refusal } })?;
        let retry = match send(core, call, claim, &leave).await {
            Ok(reply) => return Ok(reply),
            Err(Error::NotSent(_)) => Retry::NotSent,
            Err(Error::Refused(_)) => Retry::Refused,
            Err(error) => {
                ran = Ran::Unknown;
                if call.once {
                    let refusal = refuse(Reason::TargetFailed, error.to_string());
                    let refusal = Refusal { ran, ..refusal };
                    record::log_refusal(request, &call.caller.account, &refusal);
                    return Err(Failure { refusal });
                }
                Retry::TargetFailed
            }
        };
        record::log_retry(core, &call.caller.account, &leave, retry);
        tried.note(leave.target, retry);
        let spent = suspect::spend_retry(core, &call.caller.account, retry);
        spent.map_err(|refusal| Failure { refusal: Refusal { ran, ..refusal } })?;
        if !tried.wait().await {
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
    leave: &Leave,
) -> Result<Reply, Error> {
    let now = core.now();
    let permit = &leave.permit;
    // A claimant that was paused past its window must not send: a resend may
    // have been told by then that this call has not run.
    if claim.is_some_and(|claim| !claim.may_send(core.clock.now())) {
        permit::give_back(core, &leave.target, permit, &leave.stream, Ending::NotSent, None);
        return Err(Error::NotSent("the claim's window to send has passed".into()));
    }
    let timeout = call.deadline.saturating_duration_since(now);
    let request = service::Call {
        path: call.path.clone(),
        key: call.key.map(|key| key.to_string()),
        body: call.body.clone(),
        timeout,
    };
    let result = core.targets.call(leave.address, request).await;
    let ending = match &result {
        Ok(_) => Ending::Finished,
        Err(Error::NotSent(_) | Error::Refused(_)) => Ending::NotSent,
        Err(_) => Ending::Lost,
    };
    permit::give_back(core, &leave.target, permit, &leave.stream, ending, None);
    result
}
