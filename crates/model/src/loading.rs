//! Weights on an engine.

use crate::option::Options;
use hickory_target::engine::{Loaded, Weights};
use hickory_unit::size;
use std::collections::BTreeMap;

/// The weights of an engine, and whether each can serve.
#[derive(Clone, Debug)]
pub struct WeightSet {
    readiness: BTreeMap<Weights, bool>,
}

/// What must be read from the weight store before weights can serve.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fetch {
    /// The weights.
    pub weights: Weights,
    /// How much to read.
    pub bytes: size::Bytes,
}

/// The engine holds as many weights as it can.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Full;

impl WeightSet {
    /// With what is held at the start.
    pub fn new(options: &Options) -> Self {
        Self { readiness: options.loaded.iter().map(|weights| (weights.clone(), true)).collect() }
    }

    /// Begins to load; `None` where nothing is left to do.
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

    /// Says that weights have been read; nothing where they were unloaded
    /// meanwhile.
    pub fn finish(&mut self, weights: &Weights) {
        if let Some(ready) = self.readiness.get_mut(weights) {
            *ready = true;
        }
    }

    /// Unloads.
    pub fn unload(&mut self, weights: &Weights) {
        self.readiness.remove(weights);
    }

    /// Whether weights can serve.
    pub fn is_ready(&self, weights: &Weights) -> bool {
        self.readiness.get(weights).copied().unwrap_or(false)
    }

    /// Whether weights are held or being loaded.
    pub fn contains(&self, weights: &Weights) -> bool {
        self.readiness.contains_key(weights)
    }

    /// All weights held.
    pub fn list(&self) -> Vec<Loaded> {
        let each = self.readiness.iter();
        each.map(|(weights, ready)| Loaded { weights: weights.clone(), ready: *ready }).collect()
    }
}
