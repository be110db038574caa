//! Counts by name, of a bounded number of names.

use compact_str::CompactString;
use std::collections::BTreeMap;

/// Counts by name: the first names have their own, all further ones share one.
#[derive(Debug)]
pub struct Roll<T> {
    most: usize,
    numbers: BTreeMap<CompactString, usize>,
    counts: Vec<T>,
    others: Option<T>,
}

impl<T: Default> Roll<T> {
    /// A roll of at most so many names.
    pub fn new(most: usize) -> Self {
        Self { most, numbers: BTreeMap::new(), counts: Vec::new(), others: None }
    }

    /// The number of a name; `None` where there is no room for it.
    pub fn number(&mut self, name: &str) -> Option<usize> {
        if let Some(number) = self.numbers.get(name) {
            return Some(*number);
        }
        if self.counts.len() >= self.most {
            return None;
        }
        self.numbers.insert(name.into(), self.counts.len());
        self.counts.push(T::default());
        Some(self.counts.len() - 1)
    }

    /// What is counted of a name, or of all that have no room.
    pub fn get(&mut self, name: &str) -> &mut T {
        match self.number(name) {
            Some(number) => &mut self.counts[number],
            None => self.others.get_or_insert_default(),
        }
    }

    /// The names with their numbers and counts.
    pub fn names(&self) -> impl Iterator<Item = (&str, usize, &T)> {
        self.numbers.iter().map(|(name, number)| (name.as_str(), *number, &self.counts[*number]))
    }

    /// What is counted of all that had no room.
    pub fn others(&self) -> Option<&T> {
        self.others.as_ref()
    }
}
