//! Requests that targets die under.

use crate::core::Core;
use crate::dialect::Dialect;
use crate::gossip::Event;
use crate::serve::Job;
use crate::view::Target;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use std::io::ErrorKind;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;

/// How long a look at a target's port may take, to tell a death from a cut.
const LOOK_TIMEOUT: Duration = Duration::from_millis(100);

/// What tells a request that crashes targets when it comes again: who sends
/// it, where to, and what.
pub(crate) fn read_fingerprint(job: &Job) -> u64 {
    let mut hasher = blake3::Hasher::new();
    let account = job.account.as_ref().map_or("", |account| account.name.as_str());
    hasher.update(account.as_bytes()).update(&[0]);
    hasher.update(job.message.uri.path().as_bytes()).update(&[0]);
    hasher.update(&job.message.body);
    u64::from_le_bytes(*hasher.finalize().as_bytes().first_chunk().unwrap_or(&[0; 8]))
}

/// Looks whether a target that broke off is dead, and if so notes the request
/// as one that it died under. A connection that was merely cut says nothing
/// against the request.
pub(crate) async fn look_for_death<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    target: &Target,
    fingerprint: u64,
) -> bool {
    let address = target.entry.address;
    core.client.clear(address);
    let looked = tokio::time::timeout(LOOK_TIMEOUT, TcpStream::connect(address)).await;
    let is_dead = matches!(&looked, Ok(Err(e)) if e.kind() == ErrorKind::ConnectionRefused);
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
    let told = {
        let mut suspects = core.suspects();
        suspects.record_death(now, [fingerprint]);
        suspects.snapshot(now).into_iter().find(|suspect| suspect.fingerprint == fingerprint)
    };
    if let Some(suspect) = told {
        log::warn!(fingerprint, deaths = suspect.deaths; "a target died under a request");
        core.send_to_all(&Event::Suspect { fingerprint, deaths: suspect.deaths });
    }
}
