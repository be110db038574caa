//! What a choice of engines rested on, for those who explain it afterwards.

use crate::engine::Profile;
use crate::plan::{Load, MAX_IDLE_BACKLOG};
use crate::queue::Ahead;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The engines as a choice found them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Survey {
    /// Engines that may be chosen.
    pub engines: u32,
    /// Those that have no slot left.
    pub full: u32,
    /// Those that have nothing to read.
    pub idle: u32,
    /// Those without short streams.
    pub without_short: u32,
    /// Those that failed lately.
    pub penalized: u32,
    /// What all of them have still to read, added up.
    pub prefill_backlog: Duration,
    /// Long prompts that wait and come first, by the time that one engine takes to
    /// read them.
    pub ahead_prefill_time: Duration,
    /// Short prompts that wait and come first.
    pub ahead_short_prompts: u32,
}

impl Survey {
    /// Counts the engines that a prompt meets behind others that wait.
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
