//! The weights on an engine.

use crate::option::Options;
use hickory_target::engine::{LoadedWeights, Weights};
use hickory_unit::size;
use std::collections::BTreeMap;

/// The weights of an engine, each with whether it is ready to use.
#[derive(Clone, Debug)]
pub struct WeightSet {
    readiness: BTreeMap<Weights, bool>,
}

/// A read from the weight store that has to complete before weights can be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The weights.
    pub weights: Weights,
    /// The number of bytes to read.
    pub bytes: size::Bytes,
}

/// The engine already holds its maximum number of weights.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl WeightSet {
    /// Returns a set with the weights that are loaded at the start.
    pub fn new(options: &Options) -> Self {
        Self { readiness: options.loaded.iter().map(|weights| (weights.clone(), true)).collect() }
    }

    /// Starts to load weights; returns `None` if they are already loaded or
    /// loading.
    pub fn load(&mut self, weights: &Weights, options: &Options) -> Result<Option<Fetch>, Full> {
        if self.readiness.contains_key(weights) {
            return Ok(None);
        }
        if self.readiness.len() >= options.max_weights {
            return Err(Full);
        }
        let base = |held: &&Weights| held.model == weights.model && held.version == weights.version;
        let has_base = self.readiness.keys().any(|held| base(&held));
        let base_bytes = if has_base { size::Bytes(0) } else { options.model_bytes };
        let adapter = weights.adapter.as_ref().map(|_| options.adapter_bytes);
        let bytes = base_bytes + adapter.unwrap_or_default();
        self.readiness.insert(weights.clone(), false);
        Ok(Some(Fetch { weights: weights.clone(), bytes }))
    }

    /// Marks weights as ready; has no effect if they were unloaded in the meantime.
    pub fn finish(&mut self, weights: &Weights) {
        if let Some(ready) = self.readiness.get_mut(weights) {
            *ready = true;
        }
    }

    /// Removes weights.
    pub fn unload(&mut self, weights: &Weights) {
        self.readiness.remove(weights);
    }

    /// Returns whether weights are ready to use.
    pub fn is_ready(&self, weights: &Weights) -> bool {
        self.readiness.get(weights).copied().unwrap_or(false)
    }

    /// Returns whether weights are loaded or being loaded.
    pub fn contains(&self, weights: &Weights) -> bool {
        self.readiness.contains_key(weights)
    }

    /// Returns all weights, loaded or loading.
    pub fn list(&self) -> Vec<LoadedWeights> {
        let each = self.readiness.iter();
        each.map(|(weights, ready)| LoadedWeights { weights: weights.clone(), ready: *ready })
            .collect()
    }
}
