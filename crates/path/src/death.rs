//! Detection of requests that crash targets.

use crate::core::Core;
use crate::dialect::Dialect;
use crate::links::{self, ConnectError};
use crate::serve::Job;
use crate::view::Target;
use hickory_policy::crash::{Entry, Reach};
use hickory_policy::part::Part;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::sync::Arc;
use std::time::Duration;

/// The timeout for finding out why a connection broke. A target or peer that answers does so within
/// a few round trips.
const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Identifies a repeated request, to recognize one that crashes targets.
pub(crate) fn identify_request(job: &Job) -> Part {
    let uri = &job.message.uri;
    let target = uri.path_and_query().map_or_else(|| uri.path(), |target| target.as_str());
    identify(job, &[job.message.method.as_str(), target])
}

/// Identifies the requests of an account that have the same path and body, whatever their query. It is
/// how older versions identify a request.
pub(crate) fn identify_path(job: &Job) -> Part {
    identify(job, &[job.message.uri.path()])
}

fn identify(job: &Job, fields: &[&str]) -> Part {
    let mut hasher = blake3::Hasher::new();
    let account = job.account.as_ref().map_or("", |account| account.name.as_str());
    for field in [account].iter().chain(fields) {
        hasher.update(field.as_bytes()).update(&[0]);
    }
    hasher.update(&job.message.body);
    Part(u64::from_le_bytes(*hasher.finalize().as_bytes().first_chunk().unwrap_or(&[0; 8])))
}

/// Finds out what new connections to a target meet after one of its connections failed.
pub(crate) async fn examine<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
) -> Reach {
    core.client.close_idle(target.entry.address);
    match tokio::time::timeout(PROBE_TIMEOUT, links::examine(core, target)).await {
        Ok(Ok(channel)) if channel.is_relayed() => Reach::AcceptedByPeer,
        Ok(Ok(channel)) => {
            channel.release();
            Reach::Accepted
        }
        Ok(Err(ConnectError::Refused)) => Reach::Refused,
        Ok(Err(ConnectError::Unconfirmed)) => Reach::RefusedLikeOthers,
        Ok(Err(ConnectError::LinkDown(_))) => Reach::Unconfirmed,
        Ok(Err(ConnectError::Unreachable(_))) | Err(_) => Reach::Unanswered,
    }
}

/// Returns what the entry of a target says of the process that it named.
pub(crate) fn read_entry<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
) -> Entry {
    let view = core.view();
    let current = view.find_target(target.tag);
    let is_draining = target.entry.is_draining || current.is_some_and(|t| t.entry.is_draining);
    let mut others = view.targets_of(&target.entry.service).iter();
    let is_successor =
        |other: &Arc<Target>| other.id == target.id || other.entry.address == target.entry.address;
    if is_draining || core.is_leaving(target.tag) {
        Entry::Leaving
    } else if current.is_none() && others.any(is_successor) {
        Entry::Replaced
    } else {
        Entry::Same
    }
}
