//! Detection of requests that crash targets.

use crate::core::Core;
use crate::datagram::Event;
use crate::dialect::Dialect;
use crate::serve::Job;
use crate::view::Target;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::io::ErrorKind;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// The timeout of the connection probe that distinguishes a dead target from an interrupted
/// connection.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

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

/// Checks whether a target whose connection broke is dead, and if so records the death against the
/// request. An interrupted connection to a living target doesn't count against the request.
pub(crate) async fn probe_for_death<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    fingerprint: u64,
) -> bool {
    let address = target.entry.address;
    core.client.close_idle(address);
    let probe =
        tokio::time::timeout(PROBE_TIMEOUT, TcpStream::connect(core.client.translate(address)))
            .await;
    let is_dead = matches!(&probe, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused);
    if is_dead {
        note_death(core, core.now(), fingerprint);
    }
    is_dead
}

fn note_death<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    now: Instant,
    fingerprint: u64,
) {
    let suspect = {
        let mut suspects = core.suspects();
        suspects.record_death(now, [fingerprint]);
        suspects.snapshot(now).into_iter().find(|suspect| suspect.fingerprint == fingerprint)
    };
    if let Some(suspect) = suspect {
        log::warn!(fingerprint, deaths = suspect.deaths; "a target died under a request");
        core.broadcast(&Event::PoisonSuspect { fingerprint, deaths: suspect.deaths });
    }
}
