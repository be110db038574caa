//! KV memory: reserved by streams and handles, and shared by the prefix cache
//! with what is left.
//!
//! Simplification: cached blocks are not told apart by weights.

use crate::event::Log;
use crate::prefix::BLOCK;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

#[derive(Debug)]
struct Block {
    parent: Option<u64>,
    depth: u32,
    /// Streams and pins that hold it.
    ref_count: u32,
    last_used: u64,
}

/// The KV memory of an engine, in tokens.
#[derive(Debug)]
pub struct Memory {
    capacity: u64,
    /// Reserved by streams and handles, beside blocks.
    reserved: u64,
    blocks: HashMap<u64, Block>,
    /// Blocks that nothing holds, the first to be evicted first: the least
    /// recently used, and of one prompt the last block first.
    evictable: BTreeSet<(u64, Reverse<u32>, u64)>,
    /// Pinned prefixes, each with the blocks it holds now.
    pins: BTreeMap<u64, Vec<u64>>,
    use_count: u64,
}

impl Memory {
    /// Empty memory.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            reserved: 0,
            blocks: HashMap::new(),
            evictable: BTreeSet::new(),
            pins: BTreeMap::new(),
            use_count: 0,
        }
    }

    /// Tokens in use by streams, handles and pins; what only the cache holds
    /// is free to be taken.
    pub fn used_tokens(&self) -> u64 {
        self.reserved + (self.blocks.len() - self.evictable.len()) as u64 * BLOCK.0
    }

    /// Tokens in the prefix cache that nothing holds.
    pub fn cached_tokens(&self) -> u64 {
        self.evictable.len() as u64 * BLOCK.0
    }

    /// How many leading blocks are cached.
    pub fn count_cached(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    /// Holds `shared`, which are cached, and reserves `tokens` beside them;
    /// `false`, and nothing done, where they do not fit.
    pub fn reserve(&mut self, now: Instant, shared: &[u64], tokens: u64, log: &mut Log) -> bool {
        let idle = shared.iter().filter(|hash| self.blocks[*hash].ref_count == 0).count() as u64;
        if self.used_tokens() + idle * BLOCK.0 + tokens > self.capacity {
            return false;
        }
        shared.iter().for_each(|hash| self.acquire_block(*hash));
        self.reserved += tokens;
        self.evict(now, log);
        true
    }

    /// Gives back `tokens` that were reserved, and lets go of `shared`.
    pub fn release(&mut self, shared: &[u64], tokens: u64) {
        self.reserved -= tokens;
        self.use_count += 1;
        shared.iter().for_each(|hash| self.release_block(*hash));
    }

    /// Makes the prefilled blocks after the first `from` shared, out of
    /// tokens that were reserved; the caller holds them then.
    pub fn share_blocks(&mut self, now: Instant, blocks: &[u64], from: usize, log: &mut Log) {
        for (depth, hash) in blocks.iter().enumerate().skip(from) {
            self.reserved -= BLOCK.0;
            self.store(now, blocks, depth, *hash, log);
            self.acquire_block(*hash);
        }
    }

    /// Caches blocks that nothing holds, as far as there is free room.
    pub fn cache_blocks(&mut self, now: Instant, blocks: &[u64], log: &mut Log) {
        self.use_count += 1;
        for (depth, hash) in blocks.iter().enumerate() {
            if self.used_tokens() + self.cached_tokens() + BLOCK.0 > self.capacity {
                return;
            }
            self.store(now, blocks, depth, *hash, log);
        }
    }

    /// Keeps the cached prefix that ends with `hash`, now or as soon as it is
    /// cached.
    pub fn pin(&mut self, hash: u64) {
        if self.pins.get(&hash).is_some_and(|held| !held.is_empty()) {
            return;
        }
        let prefix = self.list_prefix(hash);
        prefix.iter().for_each(|hash| self.acquire_block(*hash));
        self.pins.insert(hash, prefix);
    }

    /// Releases a pinned prefix.
    pub fn unpin(&mut self, hash: u64) {
        self.use_count += 1;
        for held in self.pins.remove(&hash).unwrap_or_default() {
            self.release_block(held);
        }
    }

    /// The pinned prefixes.
    pub fn pins(&self) -> Vec<u64> {
        self.pins.keys().copied().collect()
    }

    /// Drops what only the cache holds.
    pub fn clear_cache(&mut self) {
        for (_, _, hash) in std::mem::take(&mut self.evictable) {
            self.blocks.remove(&hash);
        }
    }

    /// Caches one block; pins the prefix that it completes where that was
    /// asked for.
    fn store(&mut self, now: Instant, blocks: &[u64], depth: usize, hash: u64, log: &mut Log) {
        if self.blocks.contains_key(&hash) {
            return;
        }
        let parent = depth.checked_sub(1).map(|above| blocks[above]);
        let block = Block { parent, depth: depth as u32, ref_count: 0, last_used: self.use_count };
        self.evictable.insert((self.use_count, Reverse(block.depth), hash));
        self.blocks.insert(hash, block);
        log.push(now, hash, true);
        if self.pins.get(&hash).is_some_and(Vec::is_empty) {
            self.pin(hash);
        }
    }

    fn list_prefix(&self, hash: u64) -> Vec<u64> {
        let mut prefix = Vec::new();
        let mut next = Some(hash);
        while let Some((hash, block)) = next.and_then(|h| self.blocks.get(&h).map(|b| (h, b))) {
            prefix.push(hash);
            next = block.parent;
        }
        prefix
    }

    fn acquire_block(&mut self, hash: u64) {
        if let Some(block) = self.blocks.get_mut(&hash) {
            if block.ref_count == 0 {
                self.evictable.remove(&(block.last_used, Reverse(block.depth), hash));
            }
            block.ref_count += 1;
        }
    }

    fn release_block(&mut self, hash: u64) {
        if let Some(block) = self.blocks.get_mut(&hash) {
            block.ref_count -= 1;
            if block.ref_count == 0 {
                block.last_used = self.use_count;
                self.evictable.insert((block.last_used, Reverse(block.depth), hash));
            }
        }
    }

    fn evict(&mut self, now: Instant, log: &mut Log) {
        while self.used_tokens() + self.cached_tokens() > self.capacity {
            let Some((_, _, hash)) = self.evictable.pop_first() else { return };
            self.blocks.remove(&hash);
            log.push(now, hash, false);
        }
    }
}
