//! The engine that decisions are tested with.

use hickory_policy::engine::Profile;
use hickory_unit::size::Tokens;
use std::time::Duration;

/// An engine of a 70-billion model on one accelerator, as both users run it.
pub fn profile() -> Profile {
    Profile {
        slots: 16,
        memory: Tokens(315_000),
        step: Duration::from_micros(850),
        step_per_stream: Duration::from_nanos(4_250),
        step_per_kilotoken: Duration::from_nanos(2_850),
        read_rate: 177_000.0,
        read_per_megapair: Duration::from_micros(184),
        stride: 51,
        hop: Duration::from_micros(50),
        usual_answer: Tokens(1_600),
    }
}

/// A faster reader with less memory, whose steps take longer.
#[allow(dead_code, reason = "each test binary uses a part")]
pub fn small() -> Profile {
    Profile {
        memory: Tokens(232_000),
        step: Duration::from_micros(1_020),
        step_per_stream: Duration::from_nanos(2_260),
        step_per_kilotoken: Duration::from_nanos(4_310),
        read_rate: 206_000.0,
        read_per_megapair: Duration::from_micros(138),
        stride: 43,
        hop: Duration::from_micros(75),
        usual_answer: Tokens(1_350),
        ..profile()
    }
}

/// The same reader with fewer slots.
#[allow(dead_code, reason = "each test binary uses a part")]
pub fn narrow() -> Profile {
    Profile { slots: 12, stride: 48, ..small() }
}
