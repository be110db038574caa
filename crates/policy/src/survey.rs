//! Summary of the engines' state in a placement decision, for the logs.

use crate::engine::Profile;
use crate::plan::{Load, MAX_IDLE_BACKLOG};
use crate::queue::Ahead;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The engines at the time of a decision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survey {
    /// Engines that can be chosen.
    pub engines: u32,
    /// Engines without a free slot.
    pub full: u32,
    /// Engines without prefill backlog.
    pub idle: u32,
    /// Engines without short streams.
    pub without_short: u32,
    /// Engines that failed recently.
    pub penalized: u32,
    /// Sum of the prefill backlogs of all engines.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub prefill_backlog: Duration,
    /// Sum of the prefill times of the long prompts ahead, each on one engine.
    #[serde(deserialize_with = "hickory_unit::bounded::time")]
    pub ahead_prefill_time: Duration,
    /// Short prompts ahead.
    pub ahead_short_prompts: u32,
}

impl Survey {
    /// Summarizes the engines for a prompt behind the prompts `ahead`.
    pub fn new(profile: Option<&Profile>, loads: &[Load], ahead: Ahead) -> Self {
        let slots = profile.map_or(u32::MAX, |profile| profile.slots);
        let count = |matches: fn(&Load, u32) -> bool| {
            loads.iter().filter(|load| matches(load, slots)).count() as u32
        };
        Self {
            engines: loads.len() as u32,
            full: count(|load, slots| load.requests >= slots),
            idle: count(|load, _| load.prefill_backlog <= MAX_IDLE_BACKLOG),
            without_short: count(|load, _| load.short_requests == 0),
            penalized: count(|load, _| !load.penalty.is_zero()),
            prefill_backlog: loads.iter().map(|load| load.prefill_backlog).sum(),
            ahead_prefill_time: ahead.prefill_time,
            ahead_short_prompts: ahead.short_prompts,
        }
    }
}
