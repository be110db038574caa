//! Detection of requests that crash targets.

use crate::core::Core;
use crate::dialect::Dialect;
use crate::links::{self, ConnectError};
use crate::serve::Job;
use crate::view::Target;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::time::Duration;

/// The timeout for finding out why a connection broke. A target or peer that answers does so within
/// a few round trips.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Computes a fingerprint that identifies a repeated request by its account, path and body, to
/// recognize one that crashes targets.
pub(crate) fn compute_fingerprint(job: &Job) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let account = job.account.as_ref().map_or("", |account| account.name.as_str());
    hasher.update(account.as_bytes()).update(&[0]);
    hasher.update(job.message.uri.path().as_bytes()).update(&[0]);
    hasher.update(&job.message.body);
    u64::from_le_bytes(*hasher.finalize().as_bytes().first_chunk().unwrap_or(&[0; 8]))
}

/// What became of a target whose connection broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fate {
    /// It refuses connections, from a peer as well if there is one to ask.
    Dead,
    /// It refuses connections, also those of a peer, but no other target is left by which the two
    /// could tell a crash from broken links.
    PresumedDead,
    /// This node's own link to it is down, or all links are.
    LinkDown,
    /// It accepts connections, or doesn't answer.
    Alive,
}

/// Finds out why a connection to a target broke.
pub(crate) async fn examine<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
) -> Fate {
    core.client.close_idle(target.entry.address);
    match tokio::time::timeout(PROBE_TIMEOUT, links::examine(core, target)).await {
        Ok(Ok(channel)) if channel.is_relayed() => Fate::LinkDown,
        Ok(Ok(channel)) => {
            channel.release();
            Fate::Alive
        }
        Ok(Err(ConnectError::Refused)) => Fate::Dead,
        Ok(Err(ConnectError::Unconfirmed)) => Fate::PresumedDead,
        Ok(Err(ConnectError::LinkDown(_))) => Fate::LinkDown,
        Ok(Err(ConnectError::Unreachable(_))) | Err(_) => Fate::Alive,
    }
}
