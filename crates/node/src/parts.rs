//! Completions whose prompt is greater than one engine's memory: several
//! engines, reserved all or none, each with a part of the KV cache.
//!
//! Engine after engine prefills its part and keeps the KV cache under a
//! handle, which the next one imports; the last one generates. What is kept is
//! dropped at the end however it ends; the owners' sweep drops what a node
//! that died half-way has left.

use crate::complete::Piece;
use crate::core::Core;
use crate::parse::{Completion, refuse};
use crate::permit::{self, Leave, Want};
use crate::relay::{self, End};
use crate::view::Need;
use futures::StreamExt;
use hickory_policy::cost::Cost;
use hickory_policy::place::Candidate;
use hickory_policy::refuse::{Reason, Refusal};
use hickory_policy::reserve::{Impossible, Part, Reservation, Step, backoff, plan_parts};
use hickory_target::Error;
use hickory_target::engine::{Engines, Event, Generate, Handle, Priority};
use hickory_unit::size::BYTES_PER_TOKEN;
use hickory_unit::{id, size};
use hickory_wire::message::Ending;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Streams that one attempt may open: attempts of the same request are
/// numbered this far apart.
pub(crate) const PARTS_MAX: u32 = 64;

/// How often a KV cache is dropped where the engine does not answer; after
/// that its owner's sweep does it by the deadline in the handle's stream.
const DROP_TRIES: u32 = 3;

/// When to come back where the engines' memory did not come free in time.
const MEMORY_RETRY: Duration = Duration::from_secs(5);

/// A part with the leave to send it.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    part: Part,
    leave: Leave,
}

/// The engines that could take a part, where none can take the whole.
pub(crate) fn find_candidates(core: &Core, completion: &Completion) -> Option<Vec<Candidate>> {
    let configuration = core.configuration()?;
    let need = Need::Weights(&completion.weights);
    let candidates = core.view.candidates(core.now(), need, 0, &configuration, &[]);
    let greatest = candidates.iter().map(|candidate| candidate.kv_capacity).max()?;
    (completion.cost.kv() > greatest).then_some(candidates)
}

/// A reservation of all parts of one attempt.
pub(crate) struct Reserve<'a> {
    pub(crate) core: &'a Arc<Core>,
    pub(crate) completion: &'a Completion,
    pub(crate) attempt: u32,
    pub(crate) out: &'a mpsc::Sender<Piece>,
}

impl Reserve<'_> {
    /// Reserves engines for all parts, or refuses: at once where the fleet
    /// can't hold the prompt or the time is too short for its prefill, and
    /// else as soon as waiting on would leave too little time.
    pub(crate) async fn run(&self) -> Result<Vec<Held>, Refusal> {
        for round in 1.. {
            let candidates = find_candidates(self.core, self.completion)
                .ok_or_else(|| refuse(Reason::NoTarget, "no engine takes work at present"))?;
            let left = self.completion.deadline.saturating_duration_since(self.core.now());
            let pause = backoff(round, rand::random());
            match plan_parts(self.completion.cost, left, &candidates) {
                Ok(parts) => {
                    if let Some(held) = self.reserve(parts, &candidates).await {
                        return Ok(held);
                    }
                }
                Err(Impossible::NoMemory) if pause < left => {}
                Err(impossible) => return Err(refuse_impossible(impossible)),
            }
            tokio::select! {
                () = tokio::time::sleep(pause.min(left)) => {}
                () = self.out.closed() => break,
            }
        }
        Err(refuse(Reason::Deadline, "the caller is gone"))
    }

    async fn reserve(&self, parts: Vec<Part>, candidates: &[Candidate]) -> Option<Vec<Held>> {
        let mut reservation = Reservation::open(parts);
        let mut leaves: HashMap<u32, Leave> = HashMap::new();
        loop {
            match reservation.next_step() {
                Step::Ask(part) => {
                    let leave = self.ask(&part, candidates).await;
                    let granted = leave.as_ref().map(|leave| leave.permit.id);
                    leaves.extend(leave.map(|leave| (part.index, leave)));
                    reservation.answer(granted);
                    if granted.is_none() {
                        for leave in leaves.values() {
                            give_back(self.core, leave, Ending::NotSent);
                        }
                        return None;
                    }
                }
                Step::Complete(held) => {
                    let parts = held.into_iter().filter_map(|(part, _)| {
                        let leave = leaves.remove(&part.index)?;
                        Some(Held { part, leave })
                    });
                    return Some(parts.collect());
                }
            }
        }
    }

    /// Asks for one part, answered at once.
    async fn ask(&self, part: &Part, candidates: &[Candidate]) -> Option<Leave> {
        let c = self.completion;
        let number = self.attempt * PARTS_MAX + part.index;
        let stream = permit::name_stream(self.core, c.request, number, c.deadline_ms);
        let want = want_part(c, &stream, part.cost);
        let permit = permit::ask_at_once(self.core, &want, &part.target).await?;
        let address = self.core.view.hosts().get(&part.target)?.address;
        let rate =
            candidates.iter().find(|candidate| candidate.target == part.target)?.prefill_rate;
        let expected = Duration::from_secs_f64(part.cost.prefill.0 as f64 / rate.max(1) as f64);
        Some(Leave { target: part.target.clone(), address, permit, stream, expected })
    }
}

fn want_part<'a>(c: &'a Completion, stream: &'a id::Stream, cost: Cost) -> Want<'a> {
    Want {
        need: Need::Weights(&c.weights),
        stream,
        partner: &c.caller.partner,
        account: &c.caller.account,
        class: c.class,
        cost,
        deadline: c.deadline,
        fingerprint: c.fingerprint,
        prefix: 0,
        alone: false,
    }
}

fn refuse_impossible(impossible: Impossible) -> Refusal {
    let late = |time| Refusal {
        retry_after: Some(time),
        ..refuse(Reason::Overloaded, "the engines' memory does not come free in time")
    };
    match impossible {
        Impossible::TooLong => {
            refuse(Reason::TooLong, "the prompt is greater than all engines together can hold")
        }
        Impossible::NoTime(by) => {
            let by = by.as_millis();
            let detail = format!("the prefill alone takes {by} ms longer than the time left");
            refuse(Reason::BadDeadline, detail)
        }
        Impossible::NoMemory => late(MEMORY_RETRY),
    }
}

fn give_back(core: &Core, leave: &Leave, ending: Ending) {
    permit::give_back(core, &leave.target, &leave.permit, &leave.stream, ending, None);
}

/// The handle under which a part's KV cache is kept.
fn name_handle(held: &Held) -> Handle {
    Handle { stream: held.leave.stream.clone(), part: held.part.index }
}

/// What a part's engine gets to prefill: the prompt up to the part's end.
fn cut_prompt<'a>(prompt: &'a str, part: &Part) -> &'a str {
    let end = (part.prompt_offset + part.cost.prefill).0.saturating_mul(BYTES_PER_TOKEN);
    let mut end = usize::try_from(end).unwrap_or(usize::MAX).min(prompt.len());
    while !prompt.is_char_boundary(end) {
        end -= 1;
    }
    &prompt[..end]
}

/// Prefills all parts but the last, one after the other, and returns how the
/// last one is to be opened.
pub(crate) async fn prefill(
    core: &Arc<Core>,
    c: &Completion,
    parts: &mut [Held],
    out: &mpsc::Sender<Piece>,
) -> Result<Option<Handle>, End> {
    let mut import: Option<Handle> = None;
    for index in 0..parts.len() {
        renew(core, c, &mut parts[index]).await?;
        if let Some(handle) = &import {
            let (from, at) = (parts[index - 1].leave.address, parts[index].leave.address);
            core.targets.import(at, from, handle).await.map_err(End::Failed)?;
        }
        if index + 1 == parts.len() {
            break;
        }
        let keep = name_handle(&parts[index]);
        prefill_part(core, c, &parts[index], import.take(), out).await?;
        import = Some(keep);
    }
    Ok(import)
}

/// A permit is dead long before the parts ahead of it are prefilled: the owner
/// is asked again, and knows the permit by its stream.
async fn renew(core: &Arc<Core>, c: &Completion, held: &mut Held) -> Result<(), End> {
    let stream = held.leave.stream.clone();
    let want = want_part(c, &stream, held.part.cost);
    let permit = permit::ask_at_once(core, &want, &held.leave.target).await;
    held.leave.permit = permit.ok_or(End::Stalled)?;
    Ok(())
}

async fn prefill_part(
    core: &Arc<Core>,
    c: &Completion,
    held: &Held,
    import: Option<Handle>,
    out: &mpsc::Sender<Piece>,
) -> Result<(), End> {
    let generate = Generate {
        stream: held.leave.stream.clone(),
        weights: c.weights.clone(),
        prompt: cut_prompt(&c.prompt, &held.part).to_owned(),
        max_tokens: size::Tokens(0),
        priority: Priority(held.leave.permit.priority),
        import,
        prefill_only: Some(name_handle(held)),
        from: 0,
    };
    let work = async {
        let mut tokens = core.targets.generate(held.leave.address, &generate).await?;
        loop {
            match tokens.next().await {
                Some(Ok(Event::End { .. })) => return Ok(()),
                Some(Ok(Event::Token { .. })) => {}
                Some(Ok(Event::Failed { reason })) => return Err(Error::Unknown(reason.into())),
                Some(Err(error)) => return Err(error),
                None => return Err(Error::Unknown("cut".into())),
            }
        }
    };
    let limit = relay::first_token_limit(core, held.leave.expected);
    tokio::select! {
        done = tokio::time::timeout(limit, work) => match done {
            Ok(done) => done.map_err(End::Failed),
            Err(_) => Err(End::Stalled),
        },
        () = tokio::time::sleep_until(c.deadline.into()) => Err(End::Deadline),
        () = out.closed() => Err(End::Gone),
    }
}

/// The leave of the part that generates.
pub(crate) fn last_leave(parts: &[Held]) -> Option<&Leave> {
    parts.last().map(|held| &held.leave)
}

/// Drops all that was kept and gives all permits back but the last part's,
/// which its own end gives back. Runs beside the caller's answer.
pub(crate) fn release(core: &Arc<Core>, parts: Vec<Held>) {
    let core = core.clone();
    tokio::spawn(async move {
        for (index, held) in parts.iter().enumerate() {
            let Some(next) = parts.get(index + 1) else { return };
            let handle = name_handle(held);
            for address in [next.leave.address, held.leave.address] {
                drop_handle(&core, address, &handle).await;
            }
            give_back(&core, &held.leave, Ending::Lost);
        }
    });
}

async fn drop_handle(core: &Core, address: std::net::SocketAddr, handle: &Handle) {
    for _ in 0..DROP_TRIES {
        match core.targets.drop_handle(address, handle).await {
            Ok(()) | Err(Error::NotFound | Error::NotSent(_)) => return,
            Err(_) => {}
        }
    }
}
