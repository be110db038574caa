//! KV caches that an engine keeps under handles.

use hickory_target::engine::Handle;
use hickory_unit::size;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A part of a KV cache that is held by another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The address of the engine.
    pub at: SocketAddr,
    /// The handle of the KV cache on that engine.
    pub handle: Handle,
}

/// The description of a KV cache for another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Tokens held by the engine itself.
    pub own: size::Tokens,
    /// Leading tokens of the prompt that the cache covers, including linked parts.
    pub covers: size::Tokens,
    /// The hash of the last complete block that it covers, which is used to
    /// refuse other prompts.
    pub last_block: Option<u64>,
    /// The parts held by other engines.
    pub links: Vec<Link>,
}

/// A KV cache that an engine keeps under a handle.
#[derive(Clone, Debug)]
pub(crate) struct KeptCache {
    pub(crate) export: Export,
    /// The KV cache on this engine from which its prefill started.
    pub(crate) base: Option<Handle>,
    /// Tokens reserved in addition to the base.
    pub(crate) reserved: u64,
    /// Number of streams and KV caches that use it.
    pub(crate) users: u32,
    /// Dropped by its owner; it is freed when its last user is gone.
    pub(crate) is_dropped: bool,
    /// Its copy from another engine is not complete.
    pub(crate) is_arriving: bool,
}

impl KeptCache {
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_arriving && !self.is_dropped
    }
}
