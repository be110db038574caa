//! KV memory: streams and handles reserve it, and the prefix cache uses the rest.
//!
//! Simplification: cached blocks are not separated by weights.

use crate::event::Log;
use crate::prefix::BLOCK_TOKENS;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Instant;

#[derive(Debug)]
struct Block {
    parent: Option<u64>,
    depth: u32,
    /// Number of streams and pins that reference it.
    ref_count: u32,
    last_used: u64,
}

/// The KV memory of an engine, in tokens.
#[derive(Debug)]
pub struct Memory {
    capacity: u64,
    /// Tokens reserved by streams and handles, not counting blocks.
    reserved: u64,
    blocks: HashMap<u64, Block>,
    /// Unreferenced blocks in order of eviction: least recently used first, and
    /// within a prompt the last block first.
    evictable: BTreeSet<(u64, Reverse<u32>, u64)>,
    /// Pinned prefixes, each with the blocks that it references now.
    pins: BTreeMap<u64, Vec<u64>>,
    /// Logical clock that orders blocks by their last use.
    lru_clock: u64,
}

impl Memory {
    /// Returns empty memory.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            reserved: 0,
            blocks: HashMap::new(),
            evictable: BTreeSet::new(),
            pins: BTreeMap::new(),
            lru_clock: 0,
        }
    }

    /// Returns the tokens in use by streams, handles and pins. Blocks that only the
    /// cache holds don't count, since they can be evicted.
    pub fn used_tokens(&self) -> u64 {
        self.reserved + (self.blocks.len() - self.evictable.len()) as u64 * BLOCK_TOKENS.0
    }

    /// Returns the tokens of cached blocks that nothing references.
    pub fn cached_tokens(&self) -> u64 {
        self.evictable.len() as u64 * BLOCK_TOKENS.0
    }

    /// Returns the number of leading blocks that are cached.
    pub fn count_cached(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.blocks.contains_key(block)).count()
    }

    /// References the cached blocks `shared` and reserves `tokens` in addition.
    /// Returns false and changes nothing if they don't fit.
    pub fn reserve(&mut self, now: Instant, shared: &[u64], tokens: u64, log: &mut Log) -> bool {
        let unreferenced =
            shared.iter().filter(|hash| self.blocks[*hash].ref_count == 0).count() as u64;
        if self.used_tokens() + unreferenced * BLOCK_TOKENS.0 + tokens > self.capacity {
            return false;
        }
        shared.iter().for_each(|hash| self.acquire_block(*hash));
        self.reserved += tokens;
        self.evict(now, log);
        true
    }

    /// Frees `tokens` that were reserved and releases the references to `shared`.
    pub fn release(&mut self, shared: &[u64], tokens: u64) {
        self.reserved -= tokens;
        self.lru_clock += 1;
        shared.iter().for_each(|hash| self.release_block(*hash));
    }

    /// Moves the prefilled blocks from index `from` on out of a stream's reserved
    /// tokens into the prefix cache, and references them for the stream.
    pub fn share_blocks(&mut self, now: Instant, blocks: &[u64], from: usize, log: &mut Log) {
        for (depth, hash) in blocks.iter().enumerate().skip(from) {
            self.reserved -= BLOCK_TOKENS.0;
            self.store(now, blocks, depth, *hash, log);
            self.acquire_block(*hash);
        }
    }

    /// Caches blocks without referencing them, as long as there is free memory.
    pub fn cache_blocks(&mut self, now: Instant, blocks: &[u64], log: &mut Log) {
        self.lru_clock += 1;
        for (depth, hash) in blocks.iter().enumerate() {
            if self.used_tokens() + self.cached_tokens() + BLOCK_TOKENS.0 > self.capacity {
                return;
            }
            self.store(now, blocks, depth, *hash, log);
        }
    }

    /// Pins the prefix that ends with `hash`, now or as soon as it is cached.
    pub fn pin(&mut self, hash: u64) {
        if self.pins.get(&hash).is_some_and(|held| !held.is_empty()) {
            return;
        }
        let prefix = self.list_prefix(hash);
        prefix.iter().for_each(|hash| self.acquire_block(*hash));
        self.pins.insert(hash, prefix);
    }

    /// Unpins a prefix.
    pub fn unpin(&mut self, hash: u64) {
        self.lru_clock += 1;
        for held in self.pins.remove(&hash).unwrap_or_default() {
            self.release_block(held);
        }
    }

    /// Returns the pinned prefixes.
    pub fn pins(&self) -> Vec<u64> {
        self.pins.keys().copied().collect()
    }

    /// Drops all blocks that nothing references.
    pub fn clear_cache(&mut self) {
        for (_, _, hash) in std::mem::take(&mut self.evictable) {
            self.blocks.remove(&hash);
        }
    }

    /// Caches one block, and pins the prefix that it completes if a pin was
    /// requested.
    fn store(&mut self, now: Instant, blocks: &[u64], depth: usize, hash: u64, log: &mut Log) {
        if self.blocks.contains_key(&hash) {
            return;
        }
        let parent = depth.checked_sub(1).map(|above| blocks[above]);
        let block = Block { parent, depth: depth as u32, ref_count: 0, last_used: self.lru_clock };
        self.evictable.insert((self.lru_clock, Reverse(block.depth), hash));
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
                block.last_used = self.lru_clock;
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
