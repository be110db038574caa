//! The lanes: groups of permit requests that are admitted or blocked separately.

use crate::cost::Class;

/// Number of lanes.
pub(crate) const LANES: usize = 4;

/// The lane of a request: its service class, and whether its prompt is long.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lane {
    /// Service class.
    pub class: Class,
    /// Whether the prompt is long.
    pub is_long: bool,
}

impl Lane {
    /// All lanes, in the order of their index.
    pub const ALL: [Self; LANES] = [
        Self { class: Class::Interactive, is_long: false },
        Self { class: Class::Batch, is_long: false },
        Self { class: Class::Interactive, is_long: true },
        Self { class: Class::Batch, is_long: true },
    ];

    pub(crate) fn index(self) -> usize {
        usize::from(self.is_long) * 2 + usize::from(self.class == Class::Batch)
    }

    /// Whether this is the lane of short interactive requests, which may use the headroom.
    pub fn is_short_interactive(self) -> bool {
        self.index() == 0
    }
}

/// A set of lanes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lanes(u8);

impl Lanes {
    /// All lanes.
    pub const ALL: Self = Self((1 << LANES) - 1);

    /// Returns the set without `lane`.
    pub fn without(self, lane: Lane) -> Self {
        Self(self.0 & !(1 << lane.index()))
    }

    /// Returns only the lanes of long requests.
    pub fn only_long(self) -> Self {
        Self(self.0 & 0b1100)
    }

    /// Returns only the lanes of short requests.
    pub fn only_short(self) -> Self {
        Self(self.0 & 0b0011)
    }

    /// Whether `lane` is in the set.
    pub fn contains(self, lane: Lane) -> bool {
        self.has(lane.index())
    }

    pub(crate) fn has(self, index: usize) -> bool {
        self.0 & (1 << index) != 0
    }

    pub(crate) fn of_size(self, is_long: bool) -> Self {
        Self(self.0 & if is_long { 0b1100 } else { 0b0011 })
    }
}
