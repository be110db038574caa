//! Taking up a stream for a caller whose connection or node went.

use crate::complete::Piece;
use crate::core::{Active, Core};
use crate::parse::refuse;
use crate::permit::{self, wall_ms};
use crate::relay::{self, End, Relay};
use crate::seal::Position;
use hickory_policy::refuse::{Ran, Reason, Refusal};
use hickory_target::engine::Engines;
use hickory_wire::message::{Adopt, Ending};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Pieces that wait for a slow caller.
const PIECES_AHEAD: usize = 256;

/// Takes the stream up after `position`. Only the deadline in the stream's id
/// bounds it; the owner is told, so that it does not cancel the stream.
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
    let (target, stream) = (position.target.clone(), position.stream.clone());
    let adopt = Adopt { target, stream, node: core.me().clone() };
    let permit = permit::adopt(core, adopt).await?;
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
    let resume = core.targets.resume(address, &position.stream, position.seq);
    let end = match relay.open(resume).await {
        Ok(tokens) => relay.run(tokens).await,
        Err(end) => end,
    };
    let (ending, result) = match end {
        End::Whole(count) => {
            let _ = out.send(Piece::End(count)).await;
            (Ending::Finished, Ok(()))
        }
        End::Gone => (Ending::Left, Ok(())),
        End::Deadline => (Ending::Lost, Err(refuse(Reason::Deadline, "the deadline passed"))),
        End::Died => (Ending::TargetDied, Err(lost())),
        End::Stalled | End::Failed(_) => (Ending::Lost, Err(lost())),
    };
    permit::give_back(core, &position.target, &permit, &position.stream, ending, None);
    result
}
