//! Classes of prompts by size.

/// The classes: the most tokens of each, and its name.
const CLASSES: [(u64, &str); COUNT] = [
    (0, "no size"),
    (1_024, "to 1 Ki"),
    (4_096, "to 4 Ki"),
    (16_384, "to 16 Ki"),
    (65_536, "to 64 Ki"),
    (262_144, "to 256 Ki"),
    (u64::MAX, "over 256 Ki"),
];

/// How many classes there are.
pub const COUNT: usize = 7;

/// A class of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class(usize);

impl Class {
    /// The class of a prompt of so many tokens.
    pub fn of(tokens: u64) -> Self {
        Self(CLASSES.iter().position(|(max_tokens, _)| tokens <= *max_tokens).unwrap_or(COUNT - 1))
    }

    /// All classes, from the smallest.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..COUNT).map(Self)
    }

    /// Its place among the classes.
    pub fn index(self) -> usize {
        self.0
    }

    /// Its name, in tokens.
    pub fn name(self) -> &'static str {
        CLASSES[self.0].1
    }
}
