//! Assignment of model weights (a model with version and adapter) to engines.
//!
//! The number of replicas follows demand with hysteresis. Concurrent loads are bounded by what the
//! weight store can serve and go first to the weights with the lowest ratio of present to wanted
//! replicas. Weights are unloaded from an engine only if no stream runs on them and enough other
//! replicas are ready.
//!
//! Load pattern: demand shifts between models, a zone returns with all its engines empty, a new
//! version is rolled out, a model is withdrawn.

use hickory_unit::{id, rate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time constant of the demand average: longer than a burst, and much longer than a load takes.
const DEMAND_WINDOW: Duration = Duration::from_secs(60);

/// Relative change of the wanted number of replicas below which it is kept, since loads cost the
/// store more than a small imbalance costs callers.
const HYSTERESIS_FRACTION: f64 = 0.25;

/// Weight of demand above the share of its partner. Such demand uses capacity that other partners
/// leave free and must not displace the capacity that they bought.
const OVER_SHARE_WEIGHT: f64 = 0.5;

/// Weights that the active configuration requires on the engines.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment<W> {
    /// The weights.
    pub weights: W,
    /// Minimum number of replicas: two where a zone may go out of service at any time.
    pub min_replicas: u32,
    /// Weights that these replace; their demand is added to the expected demand.
    pub replaces: Option<W>,
}

/// An engine, as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine<W> {
    /// The engine.
    pub target: id::Target,
    /// Its zone.
    pub zone: id::Zone,
    /// Whether it accepts new work.
    pub is_accepting: bool,
    /// Maximum number of weights that it can hold.
    pub weight_slots: u32,
    /// Weights that are loaded or being loaded.
    pub loaded: BTreeMap<W, Residency>,
}

/// State of weights on an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Residency {
    /// Whether they are loaded and can serve.
    pub is_ready: bool,
    /// Streams that run on them.
    pub streams: u32,
}

/// A change to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<W> {
    /// Load weights onto an engine; counts as one of the concurrent loads.
    Load(id::Target, W),
    /// Unload weights that no stream runs on.
    Unload(id::Target, W),
}

/// The demand for weights and the wanted number of replicas.
#[derive(Clone, Debug)]
pub struct Layout<W> {
    demand: BTreeMap<(W, id::Partner), f64>,
    wanted_replicas: BTreeMap<W, u32>,
    last_observed: Option<Instant>,
}

impl<W: Clone + Ord> Layout<W> {
    /// Creates a layout without demand.
    pub fn open() -> Self {
        Self { demand: BTreeMap::new(), wanted_replicas: BTreeMap::new(), last_observed: None }
    }

    /// Records the requested work rates since the previous call.
    pub fn observe(
        &mut self,
        now: Instant,
        rates: &BTreeMap<(W, id::Partner), rate::TokensPerSecond>,
    ) {
        let previous = self.last_observed.replace(now);
        let elapsed =
            previous.map_or(DEMAND_WINDOW, |previous| now.saturating_duration_since(previous));
        let decay = (-elapsed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand.values_mut().for_each(|demand| *demand *= decay);
        for (key, rate) in rates {
            *self.demand.entry(key.clone()).or_default() += rate.0 * (1.0 - decay);
        }
        self.demand.retain(|_, demand| *demand > 1e-3);
    }

    /// Sets the wanted number of replicas of each deployment: its minimum, plus a share of the
    /// remaining weight slots in proportion to its demand.
    pub fn plan(
        &mut self,
        deployments: &[Deployment<W>],
        shares: &BTreeMap<id::Partner, f64>,
        engines: &[Engine<W>],
    ) {
        let demand = self.weighted_demand(shares);
        let demand_for = |weights: &W| demand.get(weights).copied().unwrap_or(0.0);
        let expected = |deployment: &Deployment<W>| {
            demand_for(&deployment.weights) + deployment.replaces.as_ref().map_or(0.0, demand_for)
        };
        let total: f64 = deployments.iter().map(expected).sum();
        let accepting = engines.iter().filter(|e| e.is_accepting);
        let weight_slots: u32 = accepting.clone().map(|e| e.weight_slots).sum();
        let max_replicas = accepting.count() as u32;
        let spare_slots = weight_slots
            .saturating_sub(deployments.iter().map(|deployment| deployment.min_replicas).sum());
        self.wanted_replicas.retain(|weights, _| {
            deployments.iter().any(|deployment| deployment.weights == *weights)
        });
        for deployment in deployments {
            let fraction = if total > 0.0 { expected(deployment) / total } else { 0.0 };
            let ideal = f64::from(deployment.min_replicas) + fraction * f64::from(spare_slots);
            let ideal = ideal.min(f64::from(max_replicas));
            let wanted_replicas = self
                .wanted_replicas
                .entry(deployment.weights.clone())
                .or_insert(deployment.min_replicas.min(max_replicas));
            let change = (ideal - f64::from(*wanted_replicas)).abs();
            if change >= 1.0 && change > HYSTERESIS_FRACTION * f64::from(*wanted_replicas)
                || *wanted_replicas > max_replicas
            {
                *wanted_replicas = ideal.round() as u32;
            }
        }
    }

    /// Returns the wanted number of replicas of these weights.
    pub fn wanted_replicas(&self, weights: &W) -> u32 {
        self.wanted_replicas.get(weights).copied().unwrap_or(0)
    }

    /// Returns the next changes, with at most `max_loads` loads. This is level-triggered: the same
    /// state gives the same changes, so a lost change is returned again.
    pub fn plan_changes(
        &self,
        deployments: &[Deployment<W>],
        engines: &[Engine<W>],
        max_loads: u32,
    ) -> Vec<Change<W>> {
        let mut planned: Vec<Engine<W>> = engines.to_vec();
        let mut changes = self.unload_unwanted(deployments, &mut planned);
        for _ in 0..max_loads {
            let Some((engine, weights)) = self.next_load(deployments, &planned) else { break };
            let residency = Residency { is_ready: false, streams: 0 };
            if let Some(evicted) = self.choose_eviction(&planned[engine], &planned) {
                planned[engine].loaded.remove(&evicted);
                changes.push(Change::Unload(planned[engine].target.clone(), evicted));
            }
            planned[engine].loaded.insert(weights.clone(), residency);
            changes.push(Change::Load(planned[engine].target.clone(), weights));
        }
        changes
    }

    /// Returns the demand by weights; demand above the share of its partner counts less.
    fn weighted_demand(&self, shares: &BTreeMap<id::Partner, f64>) -> BTreeMap<W, f64> {
        let total_demand: f64 = self.demand.values().sum();
        let total_shares: f64 = shares.values().sum();
        let mut partner_demand: BTreeMap<&id::Partner, f64> = BTreeMap::new();
        for ((_, partner), demand) in &self.demand {
            *partner_demand.entry(partner).or_default() += demand;
        }
        let mut weighted = BTreeMap::new();
        for ((weights, partner), demand) in &self.demand {
            let bought_demand = total_demand * shares.get(partner).copied().unwrap_or(0.0)
                / total_shares.max(f64::EPSILON);
            let within_share = (bought_demand / partner_demand[partner]).min(1.0);
            let counted = demand * OVER_SHARE_WEIGHT.mul_add(1.0 - within_share, within_share);
            *weighted.entry(weights.clone()).or_default() += counted;
        }
        weighted
    }

    /// Unloads weights that are no longer deployed, once no stream runs on them and their
    /// replacement is ready.
    fn unload_unwanted(
        &self,
        deployments: &[Deployment<W>],
        engines: &mut [Engine<W>],
    ) -> Vec<Change<W>> {
        let deployed: BTreeSet<&W> =
            deployments.iter().map(|deployment| &deployment.weights).collect();
        let is_successor_short = |weights: &W| {
            let successor =
                deployments.iter().find(|deployment| deployment.replaces.as_ref() == Some(weights));
            successor.is_some_and(|deployment| {
                count_ready(&deployment.weights, engines)
                    < self.wanted_replicas(&deployment.weights).max(deployment.min_replicas).max(1)
            })
        };
        let mut unloads = Vec::new();
        for engine in engines.iter() {
            let unwanted = engine.loaded.iter().filter(|(weights, residency)| {
                !deployed.contains(weights)
                    && residency.streams == 0
                    && !is_successor_short(weights)
            });
            unloads.extend(unwanted.map(|(weights, _)| (engine.target.clone(), weights.clone())));
        }
        for engine in engines.iter_mut() {
            engine.loaded.retain(|w, _| !unloads.contains(&(engine.target.clone(), w.clone())));
        }
        unloads.into_iter().map(|(target, weights)| Change::Unload(target, weights)).collect()
    }

    /// Returns the most urgent load: the weights with the lowest ratio of present to wanted
    /// replicas, on the engine with the fewest loaded weights in the zone that has the fewest of
    /// these replicas.
    fn next_load(
        &self,
        deployments: &[Deployment<W>],
        engines: &[Engine<W>],
    ) -> Option<(usize, W)> {
        let mut missing: Vec<(f64, &W)> = deployments
            .iter()
            .map(|deployment| &deployment.weights)
            .filter(|&w| count_replicas(w, engines) < self.wanted_replicas(w))
            .map(|w| {
                (f64::from(count_replicas(w, engines)) / f64::from(self.wanted_replicas(w)), w)
            })
            .collect();
        missing.sort_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| x.cmp(y)));
        missing.into_iter().find_map(|(_, weights)| {
            let replicas_in_zone = |zone: &id::Zone| {
                let holds = |e: &&Engine<W>| e.zone == *zone && e.loaded.contains_key(weights);
                engines.iter().filter(holds).count()
            };
            let eligible = engines.iter().enumerate().filter(|(_, engine)| {
                let has_slot = (engine.loaded.len() as u32) < engine.weight_slots;
                let has_slot = has_slot || self.choose_eviction(engine, engines).is_some();
                engine.is_accepting && !engine.loaded.contains_key(weights) && has_slot
            });
            let best = eligible
                .min_by_key(|(_, e)| (replicas_in_zone(&e.zone), e.loaded.len(), &e.target));
            best.map(|(index, _)| (index, weights.clone()))
        })
    }

    /// Returns weights that a full engine can unload: no stream runs on them, and there are more
    /// ready replicas than wanted.
    fn choose_eviction(&self, engine: &Engine<W>, engines: &[Engine<W>]) -> Option<W> {
        if (engine.loaded.len() as u32) < engine.weight_slots {
            return None;
        }
        let evictable = engine.loaded.iter().filter(|(weights, residency)| {
            residency.is_ready
                && residency.streams == 0
                && count_ready(*weights, engines) > self.wanted_replicas(weights)
        });
        evictable.map(|(weights, _)| weights.clone()).next()
    }
}

impl<W: Clone + Ord> Default for Layout<W> {
    fn default() -> Self {
        Self::open()
    }
}

/// Counts replicas on engines that accept work, including those being loaded.
fn count_replicas<W: Ord>(weights: &W, engines: &[Engine<W>]) -> u32 {
    let holds = |e: &&Engine<W>| e.is_accepting && e.loaded.contains_key(weights);
    engines.iter().filter(holds).count() as u32
}

/// Counts ready replicas on engines that accept work.
fn count_ready<W: Ord>(weights: &W, engines: &[Engine<W>]) -> u32 {
    let serves =
        |e: &&Engine<W>| e.is_accepting && e.loaded.get(weights).is_some_and(|h| h.is_ready);
    engines.iter().filter(serves).count() as u32
}
