//! Reservations of memory on engines, for prompts greater than one engine.
//!
//! A reservation outlives its holder's death by what is left of its hold, so
//! holds are short and renewed while the request lasts: an engine whose memory
//! is held for nobody is lost to all others.

use crate::attempt::Failure;
use crate::core::Core;
use crate::dialect::{Dialect, EngineRequest, Helper};
use crate::place::Place;
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

/// How long a reservation is held without being renewed: two renewals may be
/// lost, and what a dead holder leaves is free again soon after.
const HOLD: Duration = Duration::from_millis(2_800);

/// Between two renewals.
const RENEW: Duration = Duration::from_millis(900);

/// How long an order may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(500);

/// How often a release is tried: what fails all tries lapses by itself.
const RELEASES: u32 = 2;

/// A reservation.
#[derive(Clone, Debug)]
struct Held {
    target: Arc<Target>,
    name: CompactString,
    tokens: Tokens,
}

/// The reservations of one request. Dropping them releases them.
pub(crate) struct Reservations<D: Dialect, S: Store, C: Clock> {
    core: Arc<Core<D, S, C>>,
    held: Vec<Held>,
    renewing: Option<JoinHandle<()>>,
}

impl<D: Dialect, S: Store, C: Clock> Reservations<D, S, C> {
    /// Reserves all that a place needs, or nothing.
    pub(crate) async fn reserve(
        core: &Arc<Core<D, S, C>>,
        place: &Place<D, S, C>,
    ) -> Result<Self, Failure> {
        let series: u64 = rand::random();
        let held = place.memory.iter().enumerate().map(|(number, (target, tokens))| Held {
            target: target.clone(),
            name: format_compact!("{series:x}-{number}"),
            tokens: *tokens,
        });
        let mut reservations = Self { core: core.clone(), held: held.collect(), renewing: None };
        // A failed one is released with the others: its answer may be lost.
        let orders = reservations.held.iter().map(|held| renew(core, held));
        let answers = futures::future::join_all(orders).await;
        for (held, answer) in reservations.held.iter().zip(answers) {
            let target = held.target.tag;
            answer.map_err(|detail| Failure::NotReserved { target, detail })?;
        }
        if !reservations.held.is_empty() {
            let renewing = keep_renewing(core.clone(), reservations.held.clone());
            reservations.renewing = Some(tokio::spawn(renewing));
        }
        Ok(reservations)
    }

    /// The engines that read a prompt, with their reservations; one of the
    /// first engine's own goes first.
    pub(crate) fn helpers(&self, place: &Place<D, S, C>) -> Vec<Helper> {
        let held = self.held.iter().map(|held| Helper {
            address: held.target.entry.address,
            reservation: Some(held.name.clone()),
        });
        let is_held = |target: &Target| self.held.iter().any(|held| held.target.tag == target.tag);
        let others = place.helpers.iter().filter(|target| !is_held(target));
        let others =
            others.map(|target| Helper { address: target.entry.address, reservation: None });
        held.chain(others).collect()
    }
}

impl<D: Dialect, S: Store, C: Clock> Drop for Reservations<D, S, C> {
    fn drop(&mut self) {
        if let Some(renewing) = &self.renewing {
            renewing.abort();
        }
        for held in std::mem::take(&mut self.held) {
            tokio::spawn(release(self.core.clone(), held));
        }
    }
}

async fn keep_renewing<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>, held: Vec<Held>) {
    loop {
        tokio::time::sleep(RENEW).await;
        let renewals = held.iter().map(|held| renew(&core, held));
        for error in futures::future::join_all(renewals).await.into_iter().filter_map(Result::err) {
            log::warn!("reservation not renewed: {error}");
        }
    }
}

async fn renew<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    held: &Held,
) -> Result<(), String> {
    let hold = HOLD.min(core.bounds().max_reservation_hold);
    order(core, held, &D::reserve_request(&held.name, held.tokens.0, hold, false)).await
}

async fn release<D: Dialect, S: Store, C: Clock>(core: Arc<Core<D, S, C>>, held: Held) {
    for _ in 0..RELEASES {
        match order(&core, &held, &D::release_request(&held.name)).await {
            Ok(()) => return,
            Err(error) => log::warn!("reservation not released: {error}"),
        }
    }
}

async fn order<D: Dialect, S: Store, C: Clock>(
    core: &Core<D, S, C>,
    held: &Held,
    order: &EngineRequest,
) -> Result<(), String> {
    let body = Bytes::copy_from_slice(order.body.as_bytes());
    let call = Call { method: Method::POST, path: order.path, key: None, body };
    let answer = core.client.exchange(held.target.entry.address, call, ORDER_TIMEOUT).await;
    match answer {
        Ok(answer) if answer.status.is_success() => Ok(()),
        Ok(answer) => Err(format!("{}: status {}", held.target.id, answer.status)),
        Err(error) => Err(format!("{}: {error}", held.target.id)),
    }
}
