//! Completions whose prompt exceeds one engine's memory: the prompt is split over several
//! engines, which are reserved all or none.
//!
//! Each engine prefills its part and keeps the KV cache under a handle, which the next engine
//! imports; the last one generates. The KV caches are dropped however the completion ends. If
//! this node dies before that, the owners' sweep drops them.

use crate::complete::Piece;
use crate::core::Core;
use crate::parse::{Completion, refuse};
use crate::permit::{self, AttemptSpec, Placement};
use crate::relay::{self, End};
use crate::view::Capability;
use futures::StreamExt;
use hickory_policy::cost::Cost;
use hickory_policy::place::Candidate;
use hickory_policy::refuse::{Reason, Refusal};
use hickory_policy::reserve::{Chunk, Impossible, Reservation, Step, backoff, plan_chunks};
use hickory_target::Error;
use hickory_target::engine::{Engines, Event, Generate, Handle, Priority};
use hickory_unit::size::BYTES_PER_TOKEN;
use hickory_unit::{id, size};
use hickory_wire::message::Ending;
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Number of streams reserved for each attempt: stream numbers of consecutive attempts are this
/// far apart.
pub(crate) const STREAMS_PER_ATTEMPT: u32 = 64;

/// Maximum number of times a drop is sent to an engine that doesn't answer. After that, the
/// owner's sweep drops the KV cache by the deadline in the handle's stream id.
const MAX_DROP_SENDS: u32 = 3;

/// Retry delay for callers if the engines' memory was not freed in time.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(5);

/// A part with its placement.
#[derive(Clone, Debug)]
pub(crate) struct PlacedPart {
    part: Chunk,
    placement: Placement,
}

/// Returns the engines for a prompt that is too large for any single one; `None` if one engine
/// can hold it.
pub(crate) fn find_candidates(core: &Core, completion: &Completion) -> Option<Vec<Candidate>> {
    let configuration = core.configuration()?;
    let capability = Capability::Weights(&completion.weights);
    let candidates = core.view.candidates(core.now(), capability, 0, &configuration, &[]);
    let max_kv_capacity = candidates.iter().map(|candidate| candidate.kv_capacity).max()?;
    (completion.cost.kv() > max_kv_capacity).then_some(candidates)
}

/// Reserves engines for all parts of one attempt.
pub(crate) struct PartReservation<'a> {
    pub(crate) core: &'a Arc<Core>,
    pub(crate) completion: &'a Completion,
    pub(crate) attempt: u32,
    pub(crate) out: &'a mpsc::Sender<Piece>,
}

impl PartReservation<'_> {
    /// Reserves engines for all parts. Refuses at once if the fleet can't hold the prompt or
    /// the time left is too short for its prefill; otherwise retries with backoff while enough
    /// time is left.
    pub(crate) async fn run(&self) -> Result<Vec<PlacedPart>, Refusal> {
        for round in 1.. {
            let candidates = find_candidates(self.core, self.completion)
                .ok_or_else(|| refuse(Reason::NoTarget, "no engine takes work at present"))?;
            let left = self.completion.deadline.saturating_duration_since(self.core.now());
            let pause = backoff(round, rand::random());
            match plan_chunks(self.completion.cost, left, &candidates) {
                Ok(parts) => {
                    if let Some(placed) = self.reserve(parts, &candidates).await {
                        return Ok(placed);
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

    async fn reserve(
        &self,
        parts: Vec<Chunk>,
        candidates: &[Candidate],
    ) -> Option<Vec<PlacedPart>> {
        let mut reservation = Reservation::open(parts);
        let mut placements: HashMap<u32, Placement> = HashMap::new();
        loop {
            match reservation.next_step() {
                Step::Request(part) => {
                    let placement = self.ask(&part, candidates).await;
                    let granted = placement.as_ref().map(|placement| placement.permit.id);
                    placements.extend(placement.map(|placement| (part.index, placement)));
                    reservation.answer(granted);
                    if granted.is_none() {
                        for placement in placements.values() {
                            report_outcome(self.core, placement, Ending::NotSent);
                        }
                        return None;
                    }
                }
                Step::Complete(placed) => {
                    let parts = placed.into_iter().filter_map(|(part, _)| {
                        let placement = placements.remove(&part.index)?;
                        Some(PlacedPart { part, placement })
                    });
                    return Some(parts.collect());
                }
            }
        }
    }

    /// Asks for a permit for one part, without queueing.
    async fn ask(&self, part: &Chunk, candidates: &[Candidate]) -> Option<Placement> {
        let completion = self.completion;
        let number = self.attempt * STREAMS_PER_ATTEMPT + part.index;
        let stream =
            permit::make_stream_id(self.core, completion.request, number, completion.deadline_ms);
        let spec = make_part_spec(completion, &stream, part.cost);
        let permit = permit::ask_immediately(self.core, &spec, &part.target).await?;
        let address = self.core.view.hosts().get(&part.target)?.address;
        let rate =
            candidates.iter().find(|candidate| candidate.target == part.target)?.prefill_rate;
        let expected_first_token =
            Duration::from_secs_f64(part.cost.prefill.0 as f64 / rate.max(1) as f64);
        Some(Placement {
            target: part.target.clone(),
            address,
            permit,
            stream,
            expected_first_token,
        })
    }
}

fn make_part_spec<'a>(
    completion: &'a Completion,
    stream: &'a id::Stream,
    cost: Cost,
) -> AttemptSpec<'a> {
    AttemptSpec {
        capability: Capability::Weights(&completion.weights),
        stream,
        partner: &completion.caller.partner,
        account: &completion.caller.account,
        class: completion.class,
        cost,
        deadline: completion.deadline,
        fingerprint: completion.fingerprint,
        prefix: 0,
        is_exclusive: false,
    }
}

fn refuse_impossible(impossible: Impossible) -> Refusal {
    let refuse_memory = |time| Refusal {
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
        Impossible::NoMemory => refuse_memory(MEMORY_RETRY_AFTER),
    }
}

fn report_outcome(core: &Core, placement: &Placement, ending: Ending) {
    permit::report_outcome(
        core,
        &placement.target,
        &placement.permit,
        &placement.stream,
        ending,
        None,
    );
}

/// Returns the handle under which a part's KV cache is kept.
fn make_handle(placed: &PlacedPart) -> Handle {
    Handle { stream: placed.placement.stream.clone(), part: placed.part.index }
}

/// Returns the prompt up to the end of a part, which is the input for that part's prefill.
fn cut_prompt<'a>(prompt: &'a str, part: &Chunk) -> &'a str {
    let end = (part.prompt_offset + part.cost.prefill).0.saturating_mul(BYTES_PER_TOKEN);
    let mut end = usize::try_from(end).unwrap_or(usize::MAX).min(prompt.len());
    while !prompt.is_char_boundary(end) {
        end -= 1;
    }
    &prompt[..end]
}

/// Prefills all parts but the last, in order. Returns the handle that the last part imports.
pub(crate) async fn prefill(
    core: &Arc<Core>,
    completion: &Completion,
    parts: &mut [PlacedPart],
    out: &mpsc::Sender<Piece>,
) -> Result<Option<Handle>, End> {
    let mut import: Option<Handle> = None;
    for index in 0..parts.len() {
        renew_permit(core, completion, &mut parts[index]).await?;
        if let Some(handle) = &import {
            let (from, at) = (parts[index - 1].placement.address, parts[index].placement.address);
            core.targets.import(at, from, handle).await.map_err(End::Failed)?;
        }
        if index + 1 == parts.len() {
            break;
        }
        let handle = make_handle(&parts[index]);
        prefill_part(core, completion, &parts[index], import.take(), out).await?;
        import = Some(handle);
    }
    Ok(import)
}

/// Renews a permit by repeating the ask, which the owner recognizes by its stream: the permit
/// expires long before the preceding parts are prefilled.
async fn renew_permit(
    core: &Arc<Core>,
    completion: &Completion,
    placed: &mut PlacedPart,
) -> Result<(), End> {
    let stream = placed.placement.stream.clone();
    let spec = make_part_spec(completion, &stream, placed.part.cost);
    let permit = permit::ask_immediately(core, &spec, &placed.placement.target).await;
    placed.placement.permit = permit.ok_or(End::Stalled)?;
    Ok(())
}

async fn prefill_part(
    core: &Arc<Core>,
    completion: &Completion,
    placed: &PlacedPart,
    import: Option<Handle>,
    out: &mpsc::Sender<Piece>,
) -> Result<(), End> {
    let generate = Generate {
        stream: placed.placement.stream.clone(),
        weights: completion.weights.clone(),
        prompt: cut_prompt(&completion.prompt, &placed.part).to_owned(),
        max_tokens: size::Tokens(0),
        priority: Priority(placed.placement.permit.priority),
        import,
        prefill_only: Some(make_handle(placed)),
        from: 0,
    };
    let work = async {
        let mut tokens = core.targets.generate(placed.placement.address, &generate).await?;
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
    let timeout = relay::first_token_timeout(core, placed.placement.expected_first_token);
    tokio::select! {
        done = tokio::time::timeout(timeout, work) => match done {
            Ok(done) => done.map_err(End::Failed),
            Err(_) => Err(End::Stalled),
        },
        () = tokio::time::sleep_until(completion.deadline.into()) => Err(End::Deadline),
        () = out.closed() => Err(End::CallerGone),
    }
}

/// Returns the placement of the part that generates.
pub(crate) fn last_placement(parts: &[PlacedPart]) -> Option<&Placement> {
    parts.last().map(|placed| &placed.placement)
}

/// Drops all KV caches and releases all permits but the last part's, which is released when its
/// stream ends. Runs in the background, so that the caller's answer isn't delayed.
pub(crate) fn release(core: &Arc<Core>, parts: Vec<PlacedPart>) {
    let core = core.clone();
    tokio::spawn(async move {
        for (index, placed) in parts.iter().enumerate() {
            let Some(next) = parts.get(index + 1) else { return };
            let handle = make_handle(placed);
            for address in [next.placement.address, placed.placement.address] {
                drop_handle(&core, address, &handle).await;
            }
            report_outcome(&core, &placed.placement, Ending::Lost);
        }
    });
}

async fn drop_handle(core: &Core, address: std::net::SocketAddr, handle: &Handle) {
    for _ in 0..MAX_DROP_SENDS {
        match core.targets.drop_handle(address, handle).await {
            Ok(()) | Err(Error::NotFound | Error::NotSent(_)) => return,
            Err(_) => {}
        }
    }
}
