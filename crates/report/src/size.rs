//! Size classes of prompts.

/// The maximum number of tokens of each class, and its name.
const CLASSES: [(u64, &str); COUNT] = [
    (0, "no size"),
    (1_024, "to 1 Ki"),
    (4_096, "to 4 Ki"),
    (16_384, "to 16 Ki"),
    (65_536, "to 64 Ki"),
    (262_144, "to 256 Ki"),
    (u64::MAX, "over 256 Ki"),
];

/// The number of classes.
pub const COUNT: usize = 7;

/// A size class of prompts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Class(usize);

impl Class {
    /// Returns the class of a prompt with the given number of tokens.
    pub fn of(tokens: u64) -> Self {
        Self(CLASSES.iter().position(|(max_tokens, _)| tokens <= *max_tokens).unwrap_or(COUNT - 1))
    }

    /// Returns all classes in ascending order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..COUNT).map(Self)
    }

    /// Returns the index of the class in ascending order.
    pub fn index(self) -> usize {
        self.0
    }

    /// Returns the name of the class, which states its size in tokens.
    pub fn name(self) -> &'static str {
        CLASSES[self.0].1
    }
}
