//! Counts by name, for a bounded number of names.

use compact_str::CompactString;
use std::collections::BTreeMap;

/// Counts by name. The first names, up to the capacity, have a count each; all further
/// names share one.
#[derive(Debug)]
pub struct BoundedCounts<T> {
    capacity: usize,
    indices: BTreeMap<CompactString, usize>,
    counts: Vec<T>,
    others: Option<T>,
}

impl<T: Default> BoundedCounts<T> {
    /// Creates empty counts for at most `capacity` names.
    pub fn new(capacity: usize) -> Self {
        Self { capacity, indices: BTreeMap::new(), counts: Vec::new(), others: None }
    }

    /// Returns the index of a name, which is added if it is new; `None` if the
    /// capacity is exhausted.
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

    /// Returns the count of a name, or the shared count if the capacity is exhausted.
    pub fn get(&mut self, name: &str) -> &mut T {
        match self.index_of(name) {
            Some(index) => &mut self.counts[index],
            None => self.others.get_or_insert_default(),
        }
    }

    /// Returns the names with their indices and counts.
    pub fn named(&self) -> impl Iterator<Item = (&str, usize, &T)> {
        self.indices.iter().map(|(name, index)| (name.as_str(), *index, &self.counts[*index]))
    }

    /// Returns the shared count of the names beyond the capacity.
    pub fn others(&self) -> Option<&T> {
        self.others.as_ref()
    }
}
