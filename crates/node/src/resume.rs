//! Resumes a stream for a caller whose connection or node failed.

use crate::complete::Piece;
use crate::core::{Active, Core};
use crate::event_id::Position;
use crate::parse::refuse;
use crate::permit::{self, wall_ms};
use crate::relay::{self, End, Relay};
use hickory_policy::refuse::{Ran, Reason, Refusal};
use hickory_target::engine::Engines;
use hickory_wire::message::{Adoption, Ending, Permit};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Maximum number of pieces buffered for a slow caller.
const MAX_BUFFERED_PIECES: usize = 256;

/// Resumes the stream after `position`. It is bounded only by the deadline in the stream's id.
///
/// The target's owner is informed, so that it doesn't cancel a stream that is being read again.
/// If the target has no owner, which may have died with the caller's node, the stream is
/// resumed anyway and its next owner is informed as soon as there is one. That owner waits
/// longer before it cancels orphaned streams than it takes to be informed.
pub(crate) fn spawn(core: &Arc<Core>, position: Position) -> mpsc::Receiver<Piece> {
    let (out, pieces) = mpsc::channel(MAX_BUFFERED_PIECES);
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
        first_token_timeout: relay::first_token_timeout(core, Duration::ZERO),
        out,
        delivered: position.seq,
        first_token_at: None,
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
    // Inform the owner first, if there is one: a paused node that still relays the stream then
    // learns that the stream is taken over.
    let adopted = tokio::time::timeout(core.permit_lifetime() / 4, adopting.as_mut()).await;
    let (end, permit) = match adopted {
        Ok(permit) => (relaying.await, permit),
        Err(_) => tokio::select! {
            end = relaying.as_mut() => (end, None),
            permit = adopting => (relaying.await, permit),
        },
    };
    let (ending, result) = match end {
        End::Complete(count) => {
            let _ = out.send(Piece::End(count)).await;
            (Ending::Finished, Ok(()))
        }
        End::TakenOver => return Ok(()),
        End::CallerGone => (Ending::CallerDisconnected, Ok(())),
        End::Deadline => (Ending::Lost, Err(refuse(Reason::Deadline, "the deadline passed"))),
        End::TargetDied => (Ending::TargetDied, Err(lost())),
        End::Stalled | End::Failed(_) => (Ending::Lost, Err(lost())),
    };
    if let Some(permit) = permit {
        permit::report_outcome(core, &position.target, &permit, &position.stream, ending, None);
    }
    result
}

/// Informs the target's owner, as soon as there is one, that this node serves the rest of the
/// stream.
async fn adopt(core: &Core, position: &Position) -> Option<Permit> {
    let (target, stream) = (position.target.clone(), position.stream.clone());
    let adopt = Adoption { target, stream, node: core.node_id().clone(), is_renewal: false };
    loop {
        match permit::adopt(core, adopt.clone()).await {
            Ok(permit) => return Some(permit),
            // The stream has ended, and the target keeps only its answer.
            Err(refusal) if refusal.reason == Reason::StreamLost => return None,
            Err(_) => tokio::time::sleep(core.permit_lifetime() / 4).await,
        }
    }
}
