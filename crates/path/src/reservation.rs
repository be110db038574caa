//! Reservations of memory on engines, for prompts that exceed the memory of one engine.
//!
//! If the holder of a reservation dies, the memory stays reserved until the hold expires. Holds are
//! therefore short and renewed while the request lasts, because reserved but unused memory is lost
//! to all other requests.

use crate::attempt::Failure;
use crate::core::Core;
use crate::dialect::{Dialect, EngineRequest, Helper};
use crate::links;
use crate::place::Place;
use crate::statement::{self, Answer, Source};
use crate::view::Target;
use bytes::Bytes;
use compact_str::{CompactString, format_compact};
use hickory_client::Call;
use hickory_store::store::Store;
use hickory_unit::clock::Clock;
use hickory_unit::size::Tokens;
use http::Method;
use std::sync::Arc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// How long a reservation lasts without renewal. Two renewals may be lost; the memory of a dead
/// holder is free again soon after.
const RESERVATION_HOLD: Duration = Duration::from_millis(2_800);

/// The interval between two renewals.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);

/// The timeout of a request to an engine.
const ENGINE_REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// The maximum number of attempts to release a reservation; it expires by itself if all fail.
const MAX_RELEASE_ATTEMPTS: u32 = 2;

/// A memory reservation on a target.
#[derive(Clone, Debug)]
struct Reservation {
    target: Arc<Target>,
    name: CompactString,
    tokens: Tokens,
}

/// The reservations of one request. Dropping them releases them.
pub(crate) struct Reservations<D: Dialect, S: Store, C: Clock> {
    core: Arc<Core<D, S, C>>,
    held: Vec<Reservation>,
    renewal_task: Option<JoinHandle<()>>,
}

impl<D: Dialect, S: Store, C: Clock> Reservations<D, S, C> {
    /// Reserves all the memory that a place needs, or fails as a whole.
    pub(crate) async fn reserve(
        core: &Arc<Core<D, S, C>>,
        place: &Place<D, S, C>,
    ) -> Result<Self, Failure> {
        let series: u64 = rand::random();
        let held = place.memory.iter().enumerate().map(|(number, (target, tokens))| Reservation {
            target: target.clone(),
            name: format_compact!("{series:x}-{number}"),
            tokens: *tokens,
        });
        let mut reservations =
            Self { core: core.clone(), held: held.collect(), renewal_task: None };
        // A failed reservation is released with the others, because the engine may have made it
        // although its answer was lost.
        let requests = reservations.held.iter().map(|reservation| renew(core, reservation));
        let answers = futures::future::join_all(requests).await;
        for (reservation, answer) in reservations.held.iter().zip(answers) {
            let target = reservation.target.tag;
            answer.map_err(|detail| Failure::NotReserved { target, detail })?;
            if core.is_leaving(target) {
                let detail = format!("{}: it leaves", reservation.target.id);
                return Err(Failure::NotReserved { target, detail });
            }
        }
        if !reservations.held.is_empty() {
            let renewal_task = renew_periodically(core.clone(), reservations.held.clone());
            reservations.renewal_task = Some(tokio::spawn(renewal_task));
        }
        Ok(reservations)
    }

    /// Returns the engines that prefill the prompt, with their reservations; a reservation on the
    /// request's target comes first.
    pub(crate) fn helpers(&self, place: &Place<D, S, C>) -> Vec<Helper> {
        let held = self.held.iter().map(|reservation| Helper {
            address: reservation.target.entry.address,
            reservation: Some(reservation.name.clone()),
        });
        let is_reserved = |target: &Target| {
            self.held.iter().any(|reservation| reservation.target.tag == target.tag)
        };
        let others = place.helpers.iter().filter(|target| !is_reserved(target));
        let others =
            others.map(|target| Helper { address: target.entry.address, reservation: None });
        held.chain(others).collect()
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for Reservations<D, S, C> {
    fn drop(&mut self) {
        if let Some(renewal_task) = &self.renewal_task {
            renewal_task.abort();
        }
        for reservation in std::mem::take(&mut self.held) {
            tokio::spawn(release(self.core.clone(), reservation));
        }
    }
}

async fn renew_periodically<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    held: Vec<Reservation>,
) {
    loop {
        tokio::time::sleep(RENEW_INTERVAL).await;
        let renewals = held.iter().map(|reservation| renew(&core, reservation));
        for error in futures::future::join_all(renewals).await.into_iter().filter_map(Result::err) {
            log::warn!("reservation not renewed: {error}");
        }
    }
}

async fn renew<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    reservation: &Reservation,
) -> Result<(), String> {
    let hold = RESERVATION_HOLD.min(core.bounds().hold);
    call_engine(
        core,
        reservation,
        &D::reserve_request(&reservation.name, reservation.tokens.0, hold, false),
    )
    .await
}

async fn release<D: Dialect, S: Store, C: Clock>(
    core: Arc<Core<D, S, C>>,
    reservation: Reservation,
) {
    for _ in 0..MAX_RELEASE_ATTEMPTS {
        match call_engine(&core, &reservation, &D::release_request(&reservation.name)).await {
            Ok(()) => return,
            Err(error) => log::warn!("reservation not released: {error}"),
        }
    }
}

async fn call_engine<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    reservation: &Reservation,
    request: &EngineRequest,
) -> Result<(), String> {
    let body = Bytes::copy_from_slice(request.body.as_bytes());
    let call = Call { method: Method::POST, path: request.path, key: None, body };
    let (target, sent_at) = (&reservation.target, core.now());
    let answer = links::call(core, target, call, ENGINE_REQUEST_TIMEOUT).await;
    let answer = answer.map_err(|error| format!("{}: {error}", target.id))?;
    let (head, status) = (D::parse_response_head(&answer.headers), answer.status);
    let (names_version, relay) = (false, answer.relay);
    let answer = Answer { head: &head, status, sent_at, names_version, relay };
    statement::note(core, target, Source::Order, &answer);
    match status.is_success() {
        true => Ok(()),
        false => Err(format!("{}: status {status}", target.id)),
    }
}
