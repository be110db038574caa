//! Counts by name, of a bounded number of names.

use compact_str::CompactString;
use std::collections::BTreeMap;

/// Counts by name: the first names have their own, all further ones share one.
#[derive(Debug)]
pub struct BoundedCounts<T> {
    capacity: usize,
    indices: BTreeMap<CompactString, usize>,
    counts: Vec<T>,
    others: Option<T>,
}

impl<T: Default> BoundedCounts<T> {
    /// A roll of at most so many names.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, indices: BTreeMap::new(), counts: Vec::new(), others: None }
    }

    /// The number of a name; `None` where there is no room for it.
    pub fn index_of(&mut self, name: &str) -> Option<usize> {
        if let Some(index) = self.indices.get(name) {
            return Some(*index);
        }
        if self.counts.len() >= self.capacity {
            return None;
        }
        self.indices.insert(name.into(), self.counts.len());
        self.counts.push(T::default());
        Some(self.counts.len() - 1)
    }

    /// What is counted of a name, or of all that have no room.
    pub fn get(&mut self, name: &str) -> &mut T {
        match self.index_of(name) {
            Some(index) => &mut self.counts[index],
            None => self.others.get_or_insert_default(),
        }
    }

    /// The names with their numbers and counts.
    pub fn named(&self) -> impl Iterator<Item = (&str, usize, &T)> {
        self.indices.iter().map(|(name, index)| (name.as_str(), *index, &self.counts[*index]))
    }

    /// What is counted of all that had no room.
    pub fn others(&self) -> Option<&T> {
        self.others.as_ref()
    }
}
