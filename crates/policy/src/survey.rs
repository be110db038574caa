//! What a choice of engines rested on, for those who explain it afterwards.

use crate::engine::Profile;
use crate::plan::{IDLE, Load};
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
    pub clear: u32,
    /// Those that failed lately.
    pub penalized: u32,
    /// What all of them have still to read, added up.
    pub unread: Duration,
    /// Long prompts that wait and come first, by the time that one engine takes to
    /// read them.
    pub ahead: Duration,
    /// Short prompts that wait and come first.
    pub ahead_short: u32,
}

impl Survey {
    /// Counts the engines that a prompt meets behind others that wait.
    pub fn read(profile: Option<&Profile>, loads: &[Load], ahead: Ahead) -> Self {
        let slots = profile.map_or(u32::MAX, |profile| profile.slots);
        let count =
            |is: fn(&Load, u32) -> bool| loads.iter().filter(|load| is(load, slots)).count() as u32;
        Self {
            engines: loads.len() as u32,
            full: count(|load, slots| load.requests >= slots),
            idle: count(|load, _| load.backlog <= IDLE),
            clear: count(|load, _| load.short == 0),
            penalized: count(|load, _| !load.penalty.is_zero()),
            unread: loads.iter().map(|load| load.backlog).sum(),
            ahead: ahead.read,
            ahead_short: ahead.short,
        }
    }
}
