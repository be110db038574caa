//! Taking up a stream for a caller whose connection or node went.

use crate::complete::Piece;
use crate::core::{Active, Core};
use crate::parse::refuse;
use crate::permit::{self, wall_ms};
use crate::relay::{self, End, Relay};
use crate::seal::Position;
use hickory_policy::refuse::{Ran, Reason, Refusal};
use hickory_target::engine::Engines;
use hickory_wire::message::{Adoption, Ending, Permit};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Pieces that wait for a slow caller.
const PIECES_AHEAD: usize = 256;

/// Takes the stream up after `position`. Only the deadline in the stream's id
/// bounds it.
///
/// The owner is told, so that it does not cancel a stream that somebody reads
/// again. Where the target has none, as it may have died with the caller's
/// node, the engine is asked all the same and its next owner is told beside
/// that; it leaves the stream alone for longer than it takes to be told.
pub(crate) fn spawn(core: &Arc<Core>, position: Position) -> mpsc::Receiver<Piece> {
    let (out, pieces) = mpsc::channel(PIECES_AHEAD);
    let core = core.clone();
    tokio::spawn(async move {
        let _active = Active::begin(&core);
        if let Err(mut refusal) = run(&core, &position, &out).await {
            refusal.ran = Ran::Unknown;
            let _ = out.send(Piece::Refused(refusal)).await;
        }
    });
    pieces
}

async fn run(core: &Core, position: &Position, out: &mpsc::Sender<Piece>) -> Result<(), Refusal> {
    let lost = || refuse(Reason::StreamLost, "no target holds the stream any more");
    let left = position.stream.deadline_ms.saturating_sub(wall_ms(core));
    if left == 0 {
        return Err(refuse(Reason::Deadline, "the deadline passed"));
    }
    let hosts = core.view.hosts();
    let address = hosts.get(&position.target).ok_or_else(lost)?.address;
    let mut relay = Relay {
        core,
        address,
        target: &position.target,
        stream: &position.stream,
        deadline: core.now() + Duration::from_millis(left),
        first: relay::first_token_limit(core, Duration::ZERO),
        out,
        delivered: position.seq,
        first_token: None,
    };
    let relaying = async {
        let resume = core.targets.resume(address, &position.stream, position.seq);
        match relay.open(resume).await {
            Ok(tokens) => relay.run(tokens).await,
            Err(end) => end,
        }
    };
    let mut relaying = std::pin::pin!(relaying);
    let adopting = adopt(core, position);
    let mut adopting = std::pin::pin!(adopting);
    // The owner first, where there is one: a paused reader that goes on is
    // then told that the stream is taken.
    let adopted = tokio::time::timeout(core.permit_life() / 4, adopting.as_mut()).await;
    let (end, permit) = match adopted {
        Ok(permit) => (relaying.await, permit),
        Err(_) => tokio::select! {
            end = relaying.as_mut() => (end, None),
            permit = adopting => (relaying.await, permit),
        },
    };
    let (ending, result) = match end {
        End::Whole(count) => {
            let _ = out.send(Piece::End(count)).await;
            (Ending::Finished, Ok(()))
        }
        End::Taken => return Ok(()),
        End::Gone => (Ending::CallerDisconnected, Ok(())),
        End::Deadline => (Ending::Lost, Err(refuse(Reason::Deadline, "the deadline passed"))),
        End::Died => (Ending::TargetDied, Err(lost())),
        End::Stalled | End::Failed(_) => (Ending::Lost, Err(lost())),
    };
    if let Some(permit) = permit {
        permit::give_back(core, &position.target, &permit, &position.stream, ending, None);
    }
    result
}

/// Tells the owner, as soon as there is one, that this node serves the rest.
async fn adopt(core: &Core, position: &Position) -> Option<Permit> {
    let (target, stream) = (position.target.clone(), position.stream.clone());
    let adopt = Adoption { target, stream, node: core.me().clone(), is_renewal: false };
    loop {
        match permit::adopt(core, adopt.clone()).await {
            Ok(permit) => return Some(permit),
            // The stream has ended, and the target keeps only its answer.
            Err(refusal) if refusal.reason == Reason::StreamLost => return None,
            Err(_) => tokio::time::sleep(core.permit_life() / 4).await,
        }
    }
}
