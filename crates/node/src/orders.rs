//! Orders to engines: which weights they are to hold.
//!
//! The configuration says which weights exist; an owner compares that with
//! what its engine holds and orders the difference. Orders are idempotent and
//! follow from the present state, so a late order of a former owner is undone
//! by the next comparison, also on engines that ignore fencing numbers.

use crate::core::Core;
use crate::parse::hash_parts;
use hickory_release::configuration::Configuration;
use hickory_store::host::Host;
use hickory_store::store::{Expect, Lease, Store, Write};
use hickory_store::weight;
use hickory_target::Error;
use hickory_target::engine::{Engines, LoadedWeights, Order, Weights};
use hickory_telemetry::label;
use hickory_unit::id;
use std::collections::BTreeSet;
use std::time::{Duration, Instant};

/// Keys of the load slots.
const SLOTS: &str = "loads/";

/// Time to live of a load slot's lease: an owner that dies while its engine
/// loads holds others up for this long at most.
const SLOT_TTL: Duration = Duration::from_secs(15);

/// Between two renewals of a held slot.
const SLOT_RENEWAL: Duration = Duration::from_secs(5);

/// Before the next try after no slot was free, or an engine refused a load
/// for want of room: much less than a load takes, much more than a report.
const LOAD_PAUSE: Duration = Duration::from_secs(2);

/// How long a load may be missing from load reports, which lag.
const REPORT_LAG: Duration = Duration::from_secs(3);

/// Loads at once where the weight store does not say what it bears.
const LOADS_DEFAULT: u32 = 1;

/// A slot of the weight store, held while an engine loads.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    lease: Lease,
    weights: Weights,
    taken: Instant,
    renewed: Instant,
}

impl Slot {
    /// Whether the load may still run: the report lags, so a load that does
    /// not stand in it yet may have begun.
    fn is_needed(&self, now: Instant, loaded: &[LoadedWeights]) -> bool {
        match loaded.iter().find(|loaded| loaded.weights == self.weights) {
            Some(loaded) => !loaded.ready,
            None => now.saturating_duration_since(self.taken) < REPORT_LAG,
        }
    }
}

/// What an owner remembers of its engine's loads.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    slot: Option<Slot>,
    paused_until: Option<Instant>,
}

/// The weights that the configuration in force offers.
///
/// Every version stays until a note withdraws it: a new one is loaded beside
/// the old one, requests that name no version go to it as soon as it is
/// ready, and the old one goes with its note and its last stream.
pub(crate) fn list_offers(configuration: &Configuration) -> BTreeSet<Weights> {
    let models = configuration.models.iter();
    models
        .flat_map(|(name, model)| {
            model.versions.keys().flat_map(move |version| {
                let weights = move |adapter: Option<&id::Adapter>| Weights {
                    model: name.clone(),
                    version: version.clone(),
                    adapter: adapter.cloned(),
                };
                let adapters = model.adapters.keys();
                std::iter::once(weights(None)).chain(adapters.map(move |a| weights(Some(a))))
            })
        })
        .collect()
}

/// What to unload: not offered any more, and nothing runs on it.
pub(crate) fn plan_unloads(
    offers: &BTreeSet<Weights>,
    loaded: &[LoadedWeights],
    is_busy: impl Fn(&Weights) -> bool,
) -> Vec<Weights> {
    let surplus = loaded.iter().map(|loaded| &loaded.weights);
    surplus.filter(|weights| !offers.contains(weights) && !is_busy(weights)).cloned().collect()
}

/// What to load next: of what is missing, that with the fewest replicas that
/// serve, so that a zone that returns all cold brings each model back soon.
/// Among equals the target's hash decides, so that engines which can't hold
/// all weights differ in what they hold.
pub(crate) fn plan_load(
    offers: &BTreeSet<Weights>,
    loaded: &[LoadedWeights],
    target: &id::Target,
    replicas: impl Fn(&Weights) -> usize,
) -> Option<Weights> {
    let missing = offers.iter().filter(|w| !loaded.iter().any(|loaded| loaded.weights == **w));
    let order = |weights: &&Weights| (replicas(weights), hash_weights(target, weights));
    missing.min_by_key(order).cloned()
}

fn hash_weights(target: &id::Target, weights: &Weights) -> u64 {
    let adapter = weights.adapter.as_ref().map_or("", id::Adapter::as_str);
    let parts = [target.as_str(), weights.model.as_str(), weights.version.as_str(), adapter];
    hash_parts(&parts.map(str::as_bytes))
}

/// Orders the difference between what an engine holds and what it is to hold.
pub(crate) async fn give_orders(
    core: &Core,
    host: &Host,
    epoch: id::Epoch,
    loaded: &[LoadedWeights],
    configuration: &Configuration,
) {
    let offers = list_offers(configuration);
    let busy = core.table.with(&host.target, |owned| owned.busy_weights()).unwrap_or_default();
    for weights in plan_unloads(&offers, loaded, |weights| busy.contains(weights)) {
        order(core, host, epoch, Order::Unload(weights)).await;
    }
    let mut loads = core.table.with(&host.target, |owned| owned.loads.clone()).unwrap_or_default();
    let now = core.now();
    if loads.slot.as_ref().is_some_and(|slot| slot.is_needed(now, loaded)) {
        renew_slot(core, &mut loads).await;
    } else if loaded.iter().all(|loaded| loaded.ready) {
        release_slot(core, &mut loads).await;
        let replicas = |weights: &Weights| core.view.count_ready(weights);
        let next = plan_load(&offers, loaded, &host.target, replicas);
        let paused = loads.paused_until.is_some_and(|until| core.now() < until);
        if let Some(weights) = next.filter(|_| !paused) {
            load(core, host, epoch, weights, &mut loads).await;
        }
    }
    core.table.with(&host.target, |owned| owned.loads = loads);
}

async fn load(core: &Core, host: &Host, epoch: id::Epoch, weights: Weights, loads: &mut Loads) {
    loads.slot = take_slot(core, host, &weights).await;
    let loading = loads.slot.is_some() && order(core, host, epoch, Order::Load(weights)).await;
    if !loading {
        release_slot(core, loads).await;
        loads.paused_until = Some(core.now() + LOAD_PAUSE);
    }
}

async fn order(core: &Core, host: &Host, epoch: id::Epoch, order: Order) -> bool {
    let result = core.targets.order(host.address, epoch, &order).await;
    core.metrics.ordered(match &result {
        Ok(()) => label::Order::Confirmed,
        Err(Error::Stale) => label::Order::Fenced,
        Err(_) => label::Order::Failed,
    });
    result.is_ok()
}

/// Takes a slot of the weight store, if one is free: without the bound, a zone
/// that returns would have all its engines load at once, and each would wait
/// for the slowest.
async fn take_slot(core: &Core, host: &Host, weights: &Weights) -> Option<Slot> {
    let limit = weight::Weights::limit(&core.platform).await;
    let count = limit.map_or(LOADS_DEFAULT, |limit| limit.loads);
    let (taken, _) = core.platform.list(SLOTS).await.ok()?;
    let key = |index: u32| format!("{SLOTS}{index}");
    let free = (0..count).map(key).find(|key| !taken.iter().any(|entry| entry.key == *key))?;
    let lease = core.platform.grant(SLOT_TTL).await.ok()?;
    let value = Some(format!("{} {} {}", host.target, weights.model, weights.version));
    let write = Write { key: free, value, expect: Expect::Absent, lease: Some(lease) };
    let now = core.now();
    let slot = Slot { lease, weights: weights.clone(), taken: now, renewed: now };
    match core.platform.write(write).await {
        Ok(_) => Some(slot),
        Err(_) => {
            // Also where the answer was lost: the key goes with its lease.
            let _ = core.platform.revoke(lease).await;
            None
        }
    }
}

async fn renew_slot(core: &Core, loads: &mut Loads) {
    let now = core.now();
    if let Some(slot) = &mut loads.slot
        && now.saturating_duration_since(slot.renewed) > SLOT_RENEWAL
    {
        slot.renewed = now;
        let _ = core.platform.renew(slot.lease).await;
    }
}

async fn release_slot(core: &Core, loads: &mut Loads) {
    if let Some(slot) = loads.slot.take() {
        let _ = core.platform.revoke(slot.lease).await;
    }
}
