//! Which engine is to hold which weights (a model with version and adapter). The
//! number of replicas follows demand with hysteresis, loads are bounded by what the
//! weight store bears and go to the weights furthest from what is wanted, and
//! weights leave an engine only when nothing runs on them and others are ready.
//!
//! Load pattern: demand shifts between models, a zone returns with all its engines
//! empty, a new version goes out, a model is withdrawn.

use hickory_unit::{id, rate};
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

/// Time constant of the demand. Longer than a burst, and long against the
/// time that a load takes.
const DEMAND_WINDOW: Duration = Duration::from_secs(60);

/// The change of the wanted number of replicas, as a part of it, below which
/// it stays: loads cost the store more than a small imbalance costs callers.
const HYSTERESIS_FRACTION: f64 = 0.25;

/// What demand above its partner's share counts: it is lent where others
/// leave room, and must not push out what they have bought.
const OVER_SHARE_WEIGHT: f64 = 0.5;

/// Weights that exist, by the configuration in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Deployment<W> {
    /// The weights.
    pub weights: W,
    /// Replicas at least: two where a zone may go out at any time.
    pub min_replicas: u32,
    /// The weights that they take the place of; their demand is expected.
    pub replaces: Option<W>,
}

/// An engine as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Engine<W> {
    /// The engine.
    pub target: id::Target,
    /// Its zone.
    pub zone: id::Zone,
    /// Whether it takes new work.
    pub accepting: bool,
    /// Weights that it can hold.
    pub weight_slots: u32,
    /// Weights that it holds, and those that are being loaded.
    pub loaded: BTreeMap<W, Residency>,
}

/// How an engine holds weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Residency {
    /// Whether they serve yet.
    pub is_ready: bool,
    /// Streams that run on them.
    pub streams: u32,
}

/// A change that is wanted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change<W> {
    /// Load weights onto an engine; takes a load slot.
    Load(id::Target, W),
    /// Unload weights on which nothing runs.
    Unload(id::Target, W),
}

/// The demand for weights and the replicas that are wanted for it.
#[derive(Clone, Debug)]
pub struct Layout<W> {
    demand: BTreeMap<(W, id::Partner), f64>,
    wanted_replicas: BTreeMap<W, u32>,
    last_observed: Option<Instant>,
}

impl<W: Clone + Ord> Layout<W> {
    /// Nothing is asked for yet.
    pub fn open() -> Self {
        Self { demand: BTreeMap::new(), wanted_replicas: BTreeMap::new(), last_observed: None }
    }

    /// Notes the rates of work that was asked for since the last call.
    pub fn observe(
        &mut self,
        now: Instant,
        rates: &BTreeMap<(W, id::Partner), rate::TokensPerSecond>,
    ) {
        let since = self.last_observed.replace(now);
        let passed = since.map_or(DEMAND_WINDOW, |since| now.saturating_duration_since(since));
        let old = (-passed.as_secs_f64() / DEMAND_WINDOW.as_secs_f64()).exp();
        self.demand.values_mut().for_each(|demand| *demand *= old);
        for (key, rate) in rates {
            *self.demand.entry(key.clone()).or_default() += rate.0 * (1.0 - old);
        }
        self.demand.retain(|_, demand| *demand > 1e-3);
    }

    /// Sets the wanted replicas of each offer: the least, and the rest of the
    /// fleet's places by demand.
    pub fn plan(
        &mut self,
        offers: &[Deployment<W>],
        shares: &BTreeMap<id::Partner, f64>,
        engines: &[Engine<W>],
    ) {
        let demand = self.weighted_demand(shares);
        let of = |weights: &W| demand.get(weights).copied().unwrap_or(0.0);
        let expected =
            |offer: &Deployment<W>| of(&offer.weights) + offer.replaces.as_ref().map_or(0.0, of);
        let total: f64 = offers.iter().map(expected).sum();
        let usable = engines.iter().filter(|e| e.accepting);
        let places: u32 = usable.clone().map(|e| e.weight_slots).sum();
        let most = usable.count() as u32;
        let spare = places.saturating_sub(offers.iter().map(|o| o.min_replicas).sum());
        self.wanted_replicas.retain(|weights, _| offers.iter().any(|o| o.weights == *weights));
        for offer in offers {
            let part = if total > 0.0 { expected(offer) / total } else { 0.0 };
            let ideal = f64::from(offer.min_replicas) + part * f64::from(spare);
            let ideal = ideal.min(f64::from(most));
            let wanted = self
                .wanted_replicas
                .entry(offer.weights.clone())
                .or_insert(offer.min_replicas.min(most));
            let change = (ideal - f64::from(*wanted)).abs();
            if change >= 1.0 && change > HYSTERESIS_FRACTION * f64::from(*wanted) || *wanted > most
            {
                *wanted = ideal.round() as u32;
            }
        }
    }

    /// Replicas that are wanted of some weights.
    pub fn wanted_replicas(&self, weights: &W) -> u32 {
        self.wanted_replicas.get(weights).copied().unwrap_or(0)
    }

    /// The next changes, with at most `slots` loads; level-triggered, so the
    /// same state gives the same changes, and a lost one is given again.
    pub fn plan_changes(
        &self,
        offers: &[Deployment<W>],
        engines: &[Engine<W>],
        slots: u32,
    ) -> Vec<Change<W>> {
        let mut after: Vec<Engine<W>> = engines.to_vec();
        let mut changes = self.unload_unwanted(offers, &mut after);
        for _ in 0..slots {
            let Some((engine, weights)) = self.next_load(offers, &after) else { break };
            let held = Residency { is_ready: false, streams: 0 };
            if let Some(surplus) = self.choose_eviction(&after[engine], &after) {
                after[engine].loaded.remove(&surplus);
                changes.push(Change::Unload(after[engine].target.clone(), surplus));
            }
            after[engine].loaded.insert(weights.clone(), held);
            changes.push(Change::Load(after[engine].target.clone(), weights));
        }
        changes
    }

    /// Demand by weights; what is above its partner's share counts less.
    fn weighted_demand(&self, shares: &BTreeMap<id::Partner, f64>) -> BTreeMap<W, f64> {
        let total: f64 = self.demand.values().sum();
        let all: f64 = shares.values().sum();
        let mut of_partner: BTreeMap<&id::Partner, f64> = BTreeMap::new();
        for ((_, partner), demand) in &self.demand {
            *of_partner.entry(partner).or_default() += demand;
        }
        let mut weighed = BTreeMap::new();
        for ((weights, partner), demand) in &self.demand {
            let bought =
                total * shares.get(partner).copied().unwrap_or(0.0) / all.max(f64::EPSILON);
            let within = (bought / of_partner[partner]).min(1.0);
            let counted = demand * OVER_SHARE_WEIGHT.mul_add(1.0 - within, within);
            *weighed.entry(weights.clone()).or_default() += counted;
        }
        weighed
    }

    /// Unloads what no offer names any more, once nothing runs on it and
    /// whatever replaces it is ready.
    fn unload_unwanted(
        &self,
        offers: &[Deployment<W>],
        engines: &mut [Engine<W>],
    ) -> Vec<Change<W>> {
        let offered: BTreeSet<&W> = offers.iter().map(|offer| &offer.weights).collect();
        let successor_short = |weights: &W| {
            let successor = offers.iter().find(|o| o.replaces.as_ref() == Some(weights));
            successor.is_some_and(|o| {
                count_ready(&o.weights, engines)
                    < self.wanted_replicas(&o.weights).max(o.min_replicas).max(1)
            })
        };
        let mut gone = Vec::new();
        for engine in engines.iter() {
            let unwanted = engine.loaded.iter().filter(|(weights, held)| {
                !offered.contains(weights) && held.streams == 0 && !successor_short(weights)
            });
            gone.extend(unwanted.map(|(weights, _)| (engine.target.clone(), weights.clone())));
        }
        for engine in engines.iter_mut() {
            engine.loaded.retain(|w, _| !gone.contains(&(engine.target.clone(), w.clone())));
        }
        gone.into_iter().map(|(target, weights)| Change::Unload(target, weights)).collect()
    }

    /// The load that is wanted most: of the weights that have the least part
    /// of their replicas, onto the emptiest engine of the zone that has the
    /// fewest of them.
    fn next_load(&self, offers: &[Deployment<W>], engines: &[Engine<W>]) -> Option<(usize, W)> {
        let mut short: Vec<(f64, &W)> = offers
            .iter()
            .map(|offer| &offer.weights)
            .filter(|&w| count_replicas(w, engines) < self.wanted_replicas(w))
            .map(|w| {
                (f64::from(count_replicas(w, engines)) / f64::from(self.wanted_replicas(w)), w)
            })
            .collect();
        short.sort_by(|(a, x), (b, y)| a.total_cmp(b).then_with(|| x.cmp(y)));
        short.into_iter().find_map(|(_, weights)| {
            let in_zone = |zone: &id::Zone| {
                let holds = |e: &&Engine<W>| e.zone == *zone && e.loaded.contains_key(weights);
                engines.iter().filter(holds).count()
            };
            let able = engines.iter().enumerate().filter(|(_, engine)| {
                let place = (engine.loaded.len() as u32) < engine.weight_slots;
                let place = place || self.choose_eviction(engine, engines).is_some();
                engine.accepting && !engine.loaded.contains_key(weights) && place
            });
            let best = able.min_by_key(|(_, e)| (in_zone(&e.zone), e.loaded.len(), &e.target));
            best.map(|(index, _)| (index, weights.clone()))
        })
    }

    /// Weights that a full engine can give up: idle there, and with more
    /// ready replicas than are wanted.
    fn choose_eviction(&self, engine: &Engine<W>, engines: &[Engine<W>]) -> Option<W> {
        if (engine.loaded.len() as u32) < engine.weight_slots {
            return None;
        }
        let surplus = engine.loaded.iter().filter(|(weights, held)| {
            held.is_ready
                && held.streams == 0
                && count_ready(*weights, engines) > self.wanted_replicas(weights)
        });
        surplus.map(|(weights, _)| weights.clone()).next()
    }
}

impl<W: Clone + Ord> Default for Layout<W> {
    fn default() -> Self {
        Self::open()
    }
}

/// Replicas on engines that take work, those being loaded included.
fn count_replicas<W: Ord>(weights: &W, engines: &[Engine<W>]) -> u32 {
    let holds = |e: &&Engine<W>| e.accepting && e.loaded.contains_key(weights);
    engines.iter().filter(holds).count() as u32
}

/// Replicas that serve.
fn count_ready<W: Ord>(weights: &W, engines: &[Engine<W>]) -> u32 {
    let serves = |e: &&Engine<W>| e.accepting && e.loaded.get(weights).is_some_and(|h| h.is_ready);
    engines.iter().filter(serves).count() as u32
}
