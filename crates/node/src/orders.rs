//! Orders to engines: which weights they load and unload.
//!
//! The configuration lists the offered weights; an owner compares it with what its engine has
//! loaded and orders the difference. Orders are idempotent and derived from the current state,
//! so a late order of a previous owner is undone by the next comparison, even on engines that
//! don't check fencing epochs.

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

/// Key prefix of the load slots.
const LOAD_SLOT_PREFIX: &str = "loads/";

/// Time to live of a load slot's lease: an owner that dies while its engine loads blocks the
/// slot for at most this long.
const LOAD_SLOT_TTL: Duration = Duration::from_secs(15);

/// Interval at which a held slot's lease is renewed.
const LOAD_SLOT_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);

/// Retry delay after no slot was free or an engine had no room for the load: much shorter than
/// a load, and much longer than a report interval.
const LOAD_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Time for which a load may be missing from load reports, which lag.
const REPORT_LAG: Duration = Duration::from_secs(3);

/// Maximum number of concurrent loads if the weight store publishes no limit.
const DEFAULT_CONCURRENT_LOADS: u32 = 1;

/// A slot of the weight store, held while an engine loads.
#[derive(Clone, Debug)]
pub(crate) struct Slot {
    lease: Lease,
    weights: Weights,
    acquired_at: Instant,
    renewed_at: Instant,
}

impl Slot {
    /// Returns whether the load may still be running. Reports lag, so a load that is missing
    /// from a report may have begun.
    fn is_needed(&self, now: Instant, loaded: &[LoadedWeights]) -> bool {
        match loaded.iter().find(|loaded| loaded.weights == self.weights) {
            Some(loaded) => !loaded.ready,
            None => now.saturating_duration_since(self.acquired_at) < REPORT_LAG,
        }
    }
}

/// The state of an engine's loads, kept by its owner.
#[derive(Clone, Debug, Default)]
pub(crate) struct Loads {
    slot: Option<Slot>,
    paused_until: Option<Instant>,
}

/// Returns the weights that the configuration offers.
///
/// Each version remains until a release note withdraws it. A new version is loaded in addition
/// to the old one, and requests that name no version use it as soon as it is ready. The old one
/// is unloaded when it has been withdrawn and its last stream has ended.
pub(crate) fn list_offered_weights(configuration: &Configuration) -> BTreeSet<Weights> {
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

/// Returns the weights to unload: no longer offered, and without running requests.
pub(crate) fn plan_unloads(
    offered: &BTreeSet<Weights>,
    loaded: &[LoadedWeights],
    is_busy: impl Fn(&Weights) -> bool,
) -> Vec<Weights> {
    let surplus = loaded.iter().map(|loaded| &loaded.weights);
    surplus.filter(|weights| !offered.contains(weights) && !is_busy(weights)).cloned().collect()
}

/// Returns the weights to load next: the missing ones with the fewest ready replicas, so that a
/// zone that restarts cold soon serves every model. Ties are broken by a hash that includes the
/// target, so that engines which can't hold all weights load different ones.
pub(crate) fn plan_load(
    offered: &BTreeSet<Weights>,
    loaded: &[LoadedWeights],
    target: &id::Target,
    replicas: impl Fn(&Weights) -> usize,
) -> Option<Weights> {
    let missing = offered.iter().filter(|w| !loaded.iter().any(|loaded| loaded.weights == **w));
    let order = |weights: &&Weights| (replicas(weights), hash_weights(target, weights));
    missing.min_by_key(order).cloned()
}

fn hash_weights(target: &id::Target, weights: &Weights) -> u64 {
    let adapter = weights.adapter.as_ref().map_or("", id::Adapter::as_str);
    let parts = [target.as_str(), weights.model.as_str(), weights.version.as_str(), adapter];
    hash_parts(&parts.map(str::as_bytes))
}

/// Orders the loads and unloads that bring an engine to the offered weights.
pub(crate) async fn send_orders(
    core: &Core,
    host: &Host,
    epoch: id::Epoch,
    loaded: &[LoadedWeights],
    configuration: &Configuration,
) {
    let offered = list_offered_weights(configuration);
    let busy = core.table.with(&host.target, |owned| owned.busy_weights()).unwrap_or_default();
    for weights in plan_unloads(&offered, loaded, |weights| busy.contains(weights)) {
        send_order(core, host, epoch, Order::Unload(weights)).await;
    }
    let mut loads = core.table.with(&host.target, |owned| owned.loads.clone()).unwrap_or_default();
    let now = core.now();
    if loads.slot.as_ref().is_some_and(|slot| slot.is_needed(now, loaded)) {
        renew_slot(core, &mut loads).await;
    } else if loaded.iter().all(|loaded| loaded.ready) {
        release_slot(core, &mut loads).await;
        let replicas = |weights: &Weights| core.view.count_ready(weights);
        let next = plan_load(&offered, loaded, &host.target, replicas);
        let is_paused = loads.paused_until.is_some_and(|until| core.now() < until);
        if let Some(weights) = next.filter(|_| !is_paused) {
            load(core, host, epoch, weights, &mut loads).await;
        }
    }
    core.table.with(&host.target, |owned| owned.loads = loads);
}

async fn load(core: &Core, host: &Host, epoch: id::Epoch, weights: Weights, loads: &mut Loads) {
    loads.slot = acquire_slot(core, host, &weights).await;
    let is_loading =
        loads.slot.is_some() && send_order(core, host, epoch, Order::Load(weights)).await;
    if !is_loading {
        release_slot(core, loads).await;
        loads.paused_until = Some(core.now() + LOAD_RETRY_DELAY);
    }
}

async fn send_order(core: &Core, host: &Host, epoch: id::Epoch, order: Order) -> bool {
    let result = core.targets.order(host.address, epoch, &order).await;
    core.metrics.count_order(match &result {
        Ok(()) => label::Order::Confirmed,
        Err(Error::Stale) => label::Order::Fenced,
        Err(_) => label::Order::Failed,
    });
    result.is_ok()
}

/// Acquires a slot of the weight store if one is free. Without this limit, all engines of a
/// returning zone would load at once, and each would wait for the slowest.
async fn acquire_slot(core: &Core, host: &Host, weights: &Weights) -> Option<Slot> {
    let limit = weight::Weights::limit(&core.platform).await;
    let count = limit.map_or(DEFAULT_CONCURRENT_LOADS, |limit| limit.loads);
    let (used, _) = core.platform.list(LOAD_SLOT_PREFIX).await.ok()?;
    let key = |index: u32| format!("{LOAD_SLOT_PREFIX}{index}");
    let free = (0..count).map(key).find(|key| !used.iter().any(|entry| entry.key == *key))?;
    let lease = core.platform.grant(LOAD_SLOT_TTL).await.ok()?;
    let value = Some(format!("{} {} {}", host.target, weights.model, weights.version));
    let write = Write { key: free, value, expect: Expect::Absent, lease: Some(lease) };
    let now = core.now();
    let slot = Slot { lease, weights: weights.clone(), acquired_at: now, renewed_at: now };
    match core.platform.write(write).await {
        Ok(_) => Some(slot),
        Err(_) => {
            // The write may have succeeded with its answer lost; revoking the lease deletes the
            // key.
            let _ = core.platform.revoke(lease).await;
            None
        }
    }
}

async fn renew_slot(core: &Core, loads: &mut Loads) {
    let now = core.now();
    if let Some(slot) = &mut loads.slot
        && now.saturating_duration_since(slot.renewed_at) > LOAD_SLOT_RENEWAL_INTERVAL
    {
        slot.renewed_at = now;
        let _ = core.platform.renew(slot.lease).await;
    }
}

async fn release_slot(core: &Core, loads: &mut Loads) {
    if let Some(slot) = loads.slot.take() {
        let _ = core.platform.revoke(slot.lease).await;
    }
}
