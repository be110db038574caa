//! KV caches that an engine keeps, exports and imports.

use crate::batch::Sequence;
use crate::engine::Engine;
use crate::handle::{Export, KeptCache, Link};
use crate::job::{Failure, Job, Refusal};
use crate::prefix::BLOCK_TOKENS;
use hickory_target::engine::Handle;
use hickory_unit::size;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

impl Engine {
    /// Returns the description of a kept KV cache for another engine.
    pub fn export(&self, handle: &Handle) -> Option<Export> {
        let kept = self.handles.get(handle).filter(|kept| kept.is_usable())?;
        Some(kept.export.clone())
    }

    /// Returns the number of KV caches kept under handles, including imports.
    pub fn handle_count(&self) -> usize {
        self.handles.len()
    }

    /// Starts to copy the KV cache that `export` describes, or links it if it
    /// exceeds half of the memory. Returns the duration of the copy, after which
    /// [`Engine::finish_import`] must be called.
    pub fn import(
        &mut self,
        now: Instant,
        handle: &Handle,
        mut export: Export,
        from: SocketAddr,
    ) -> Result<Duration, Refusal> {
        self.advance(now);
        if self.handles.contains_key(handle) {
            return Ok(Duration::ZERO);
        }
        if export.own.0 > self.options.kv_capacity.0 / 2 {
            export.own = size::Tokens(0);
            export.links.push(Link { at: from, handle: handle.clone() });
        }
        let own = export.own.0;
        if !self.memory.reserve(now, &[], own, &mut self.log) {
            return Err(Refusal::NoRoom);
        }
        let seconds = own as f64 / self.options.transfer_rate.max(1) as f64;
        let kept = KeptCache {
            export,
            base: None,
            reserved: own,
            users: 0,
            is_dropped: false,
            is_arriving: own > 0,
        };
        self.handles.insert(handle.clone(), kept);
        Ok(self.options.scale(Duration::from_secs_f64(seconds)))
    }

    /// Marks a copy as complete.
    pub fn finish_import(&mut self, handle: &Handle) {
        if let Some(kept) = self.handles.get_mut(handle) {
            kept.is_arriving = false;
        }
    }

    /// Drops a kept KV cache; its memory is freed when its last user is gone.
    pub fn drop_handle(&mut self, now: Instant, handle: &Handle) {
        self.advance(now);
        if let Some(kept) = self.handles.get_mut(handle) {
            kept.is_dropped = true;
        }
        self.free_unused(handle.clone());
        self.start_step(now);
    }

    /// Returns the links that running and waiting streams need.
    pub fn links(&self) -> Vec<Link> {
        let used = self.handles.values().filter(|kept| kept.users > 0);
        used.flat_map(|kept| kept.export.links.iter().cloned()).collect()
    }

    /// Handles the loss of a linked KV cache: the streams that use it fail.
    pub fn lose_link(&mut self, now: Instant, lost: &Handle) {
        self.advance(now);
        let has = |kept: &KeptCache| kept.export.links.iter().any(|link| link.handle == *lost);
        let broken: Vec<Handle> =
            self.handles.iter().filter(|(_, kept)| has(kept)).map(|(h, _)| h.clone()).collect();
        let uses =
            |sequence: &Sequence| sequence.import.as_ref().is_some_and(|h| broken.contains(h));
        self.fail_sequences(now, Failure::LinkedCacheLost, uses);
        self.start_step(now);
    }

    /// Returns how many leading tokens of the job's prompt a kept KV cache covers
    /// and how many of its tokens are on this engine; `None` if the cache doesn't
    /// exist or belongs to another prompt.
    pub(crate) fn count_covered(&self, handle: &Handle, job: &Job) -> Option<(u64, u64)> {
        let kept = self.handles.get(handle).filter(|kept| kept.is_usable())?;
        let covers = kept.export.covers.0;
        let last = (covers / BLOCK_TOKENS.0).checked_sub(1);
        let block = last.and_then(|last| job.blocks.get(last as usize)).copied();
        let is_same_prompt = job.blocks.is_empty() || block == kept.export.last_block;
        (covers <= job.prompt.0 && is_same_prompt).then_some((covers, kept.export.own.0))
    }

    /// Keeps the KV cache of a prefilled prompt under its handle, which takes over
    /// the memory reserved by the stream.
    pub(crate) fn keep_cache(&mut self, now: Instant, sequence: &mut Sequence) {
        // Another stream may have kept its cache under the same handle in the
        // meantime. The first one stays, since streams may already use it.
        let handle = sequence.keep_as.clone().filter(|handle| !self.handles.contains_key(handle));
        let Some(handle) = handle else { return };
        let base = sequence.import.as_ref().and_then(|import| self.handles.get_mut(import));
        let (base_tokens, links) = match base {
            Some(base) => {
                base.users += 1;
                (base.export.own.0, base.export.links.clone())
            }
            None => (0, Vec::new()),
        };
        let reserved = std::mem::take(&mut sequence.reserved_tokens);
        let last_block = sequence.blocks.last().copied();
        let (own, covers) =
            (size::Tokens(reserved + base_tokens), size::Tokens(sequence.prompt_tokens));
        let export = Export { own, covers, last_block, links };
        let base = sequence.import.clone();
        let kept =
            KeptCache { export, base, reserved, users: 0, is_dropped: false, is_arriving: false };
        self.handles.insert(handle, kept);
        self.memory.cache_blocks(now, &sequence.blocks, &mut self.log);
    }

    /// Frees a dropped KV cache without users, and then its base if that is unused
    /// too.
    pub(crate) fn free_unused(&mut self, handle: Handle) {
        let mut next = Some(handle);
        while let Some(handle) = next.take() {
            let is_unused = |kept: &KeptCache| kept.is_dropped && kept.users == 0;
            if !self.handles.get(&handle).is_some_and(is_unused) {
                return;
            }
            let Some(kept) = self.handles.remove(&handle) else { return };
            self.memory.release(&[], kept.reserved);
            if let Some(base) = kept.base {
                self.release_user(&base);
                next = Some(base);
            }
        }
    }

    /// Removes one user of a KV cache.
    pub(crate) fn release_user(&mut self, handle: &Handle) {
        if let Some(kept) = self.handles.get_mut(handle) {
            kept.users -= 1;
        }
    }
}
