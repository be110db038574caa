//! Running a completion: attempts, each with leave from a target's owner,
//! until the answer is whole or given up on.
//!
//! A completion runs in a task of its own and hands [`Piece`]s to whoever
//! writes to the caller; when that side is dropped, the caller is gone.

use crate::core::{Active, Core};
use crate::parse::{Completion, refuse};
use crate::parts::{self, Reserve};
use crate::permit::{self, Leave, Tried, Want};
use crate::record;
use crate::relay::{self, End, Relay};
use crate::seal::Position;
use crate::suspect;
use crate::view::Need;
use compact_str::CompactString;
use hickory_policy::poison::DEATHS;
use hickory_policy::refuse::{Ran, Reason, Refusal, Retry};
use hickory_target::Error;
use hickory_target::engine::{Engines, Generate, Handle, Priority};
use hickory_telemetry::label::{Direction, Work};
use hickory_unit::size;
use hickory_wire::message::Ending;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;

/// Pieces that wait for a slow caller before the engine's stream is left to
/// wait as well.
const PIECES_AHEAD: usize = 256;

/// What a completion brings.
#[derive(Clone, Debug)]
pub(crate) enum Piece {
    /// A token, with the caller's position after it.
    Token(Position, CompactString),
    /// The whole answer has been given; it has this many tokens.
    End(u64),
    /// It is given up on.
    Refused(Refusal),
}

/// Starts a completion.
pub(crate) fn spawn(core: &Arc<Core>, completion: Completion) -> mpsc::Receiver<Piece> {
    let (out, pieces) = mpsc::channel(PIECES_AHEAD);
    let core = core.clone();
    tokio::spawn(async move {
        let _active = Active::begin(&core);
        let _in_flight = core.metrics.begin(Work::Completion);
        let began = core.now();
        let run = Run {
            core: &core,
            completion: &completion,
            out,
            began,
            delivered: 0,
            sent: false,
            deaths: 0,
        };
        run.run().await;
    });
    pieces
}

/// One completion under way.
struct Run<'a> {
    core: &'a Arc<Core>,
    completion: &'a Completion,
    out: mpsc::Sender<Piece>,
    /// When the request was admitted.
    began: Instant,
    delivered: u64,
    /// Whether bytes went to any target.
    sent: bool,
    /// Targets that died while they ran it.
    deaths: u32,
}

/// How an attempt ended.
enum Attempt {
    /// The answer is whole.
    Whole(u64),
    /// Another target may do it.
    Again(Retry),
    /// The target died while it ran.
    Died,
    /// The caller is gone; nothing is left to do.
    Gone,
    /// It is given up on.
    Refused(Refusal),
}

impl Attempt {
    /// Why there is to be a further attempt, if so.
    fn retry(&self) -> Option<Retry> {
        match self {
            Self::Again(reason) => Some(*reason),
            Self::Died => Some(Retry::TargetFailed),
            Self::Whole(_) | Self::Gone | Self::Refused(_) => None,
        }
    }
}

impl Run<'_> {
    async fn run(mut self) {
        let mut tried = Tried::default();
        let (core, fingerprint) = (self.core, self.completion.fingerprint);
        let account = &self.completion.caller.account;
        core.record.earn(account);
        for attempt in 0.. {
            match self.attempt(attempt, &mut tried).await {
                Attempt::Whole(count) => {
                    core.record.note_success(core.now(), fingerprint);
                    let prompt = self.completion.cost.prefill;
                    self.core.metrics.tokens(Direction::Prompt, prompt);
                    self.core.metrics.tokens(Direction::Answer, size::Tokens(count));
                    let _ = self.out.send(Piece::End(count)).await;
                    return;
                }
                Attempt::Again(reason) => {
                    if let Err(refusal) = suspect::spend_retry(core, account, reason) {
                        return self.refuse(refusal).await;
                    }
                }
                Attempt::Gone => return suspect::drop_trial(core, fingerprint),
                Attempt::Refused(refusal) => {
                    suspect::drop_trial(core, fingerprint);
                    return self.refuse(refusal).await;
                }
                Attempt::Died => {
                    self.deaths += 1;
                    if self.deaths >= DEATHS {
                        let refusal = suspect::condemn(core, fingerprint).await;
                        return self.refuse(refusal).await;
                    }
                    if let Err(refusal) = suspect::spend_retry(core, account, Retry::TargetFailed) {
                        return self.refuse(refusal).await;
                    }
                }
            }
            if !tried.wait().await {
                break;
            }
        }
        let refusal = refuse(Reason::TargetFailed, "the targets failed that it was sent to");
        self.refuse(refusal).await;
    }

    async fn refuse(self, mut refusal: Refusal) {
        if self.sent {
            refusal.ran = Ran::Unknown;
        }
        record::log_refusal(self.completion.request, &self.completion.caller.account, &refusal);
        let _ = self.out.send(Piece::Refused(refusal)).await;
    }

    async fn attempt(&mut self, attempt: u32, tried: &mut Tried) -> Attempt {
        let c = self.completion;
        let number = attempt * parts::PARTS_MAX;
        let stream = permit::name_stream(self.core, c.request, number, c.deadline_ms);
        let want = Want {
            need: Need::Weights(&c.weights),
            stream: &stream,
            partner: &c.caller.partner,
            account: &c.caller.account,
            class: c.class,
            cost: c.cost,
            deadline: c.deadline,
            fingerprint: c.fingerprint,
            prefix: c.prefix,
            alone: false,
        };
        let judged = tokio::select! {
            judged = suspect::judge(self.core, c) => judged,
            () = self.out.closed() => return Attempt::Gone,
        };
        // What a target died under is not set beside others again, whether or
        // not the target's owner has told of the death yet.
        let want = match judged {
            Ok(alone) => Want { alone: alone || self.deaths > 0, ..want },
            Err(refusal) => return Attempt::Refused(refusal),
        };
        if parts::find_candidates(self.core, c).is_some() {
            let attempt = self.attempt_parts(attempt).await;
            if let Some(retry) = attempt.retry() {
                tried.count(retry);
            }
            return attempt;
        }
        let obtained = tokio::select! {
            obtained = permit::obtain(self.core, &want, tried) => obtained,
            () = self.out.closed() => return Attempt::Gone,
        };
        let leave = match obtained {
            Ok(leave) => leave,
            Err(refusal) => return Attempt::Refused(refusal),
        };
        let end = self.send(&leave, None).await;
        let attempt = self.settle(&leave, end);
        if let Some(retry) = attempt.retry() {
            tried.note(leave.target, retry);
        }
        attempt
    }

    /// An attempt over several engines.
    async fn attempt_parts(&mut self, attempt: u32) -> Attempt {
        let (core, completion, out) = (self.core, self.completion, &self.out);
        let reserve = Reserve { core, completion, attempt, out };
        let mut held = match reserve.run().await {
            Ok(held) => held,
            Err(_) if self.out.is_closed() => return Attempt::Gone,
            Err(refusal) => return Attempt::Refused(refusal),
        };
        self.sent = true;
        let prefilled = parts::prefill(core, completion, &mut held, &self.out).await;
        let Some(leave) = parts::last_leave(&held).cloned() else { return Attempt::Gone };
        let attempt = match prefilled {
            Ok(import) => {
                let end = self.send(&leave, import).await;
                self.settle(&leave, end)
            }
            // The last part was never opened; its own end is told as such.
            Err(end) => {
                permit::give_back(
                    core,
                    &leave.target,
                    &leave.permit,
                    &leave.stream,
                    Ending::NotSent,
                    None,
                );
                read_end(end)
            }
        };
        parts::release(core, held);
        attempt
    }

    /// Sends the attempt and relays its tokens.
    async fn send(&mut self, leave: &Leave, import: Option<Handle>) -> (End, Option<Duration>) {
        let c = self.completion;
        let generate = Generate {
            stream: leave.stream.clone(),
            weights: c.weights.clone(),
            prompt: c.prompt.clone(),
            max_tokens: c.cost.decode,
            priority: Priority(leave.permit.priority),
            import,
            prefill_only: None,
            from: self.delivered,
        };
        let mut relay = Relay {
            core: self.core,
            address: leave.address,
            target: &leave.target,
            stream: &leave.stream,
            deadline: c.deadline,
            first: relay::first_token_limit(self.core, leave.expected),
            out: &self.out,
            delivered: self.delivered,
            first_token: None,
        };
        let began = self.core.now();
        let end = match relay.open(self.core.targets.generate(leave.address, &generate)).await {
            Ok(tokens) => relay.run(tokens).await,
            Err(end) => end,
        };
        // What the caller waits for: with the queue and with failed attempts,
        // and not the first token of an attempt that goes on with a stream.
        if let Some(at) = relay.first_token
            && self.delivered == 0
        {
            self.core.metrics.first_token(c.cost.prefill, at - self.began);
        }
        self.delivered = relay.delivered;
        (end, relay.first_token.map(|at| at - began))
    }

    /// Tells the owner how the attempt ended and decides what comes next.
    fn settle(&mut self, leave: &Leave, (end, first_token): (End, Option<Duration>)) -> Attempt {
        if !matches!(end, End::Failed(Error::NotSent(_) | Error::Refused(_))) {
            self.sent = true;
        }
        let ending = match &end {
            End::Whole(_) => Ending::Finished,
            // The permit is the other node's to give back.
            End::Taken => return Attempt::Gone,
            End::Gone => Ending::CallerDisconnected,
            End::Died => Ending::TargetDied,
            End::Failed(Error::NotSent(_) | Error::Refused(_)) => Ending::NotSent,
            End::Deadline | End::Stalled | End::Failed(_) => Ending::Lost,
        };
        let attempt = read_end(end);
        if let Some(reason) = attempt.retry() {
            record::log_retry(self.core, &self.completion.caller.account, leave, reason);
        }
        let (target, permit) = (&leave.target, &leave.permit);
        permit::give_back(self.core, target, permit, &leave.stream, ending, first_token);
        attempt
    }
}

/// What comes after an attempt that ended so.
fn read_end(end: End) -> Attempt {
    match end {
        End::Whole(count) => Attempt::Whole(count),
        End::Taken | End::Gone => Attempt::Gone,
        End::Deadline => {
            Attempt::Refused(refuse(Reason::Deadline, "the deadline passed while it ran"))
        }
        End::Stalled => Attempt::Again(Retry::Stalled),
        End::Died => Attempt::Died,
        End::Failed(Error::NotSent(_)) => Attempt::Again(Retry::NotSent),
        End::Failed(Error::Refused(_)) => Attempt::Again(Retry::Refused),
        End::Failed(_) => Attempt::Again(Retry::TargetFailed),
    }
}
