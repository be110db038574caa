//! KV caches kept under handles.

use hickory_target::engine::Handle;
use hickory_unit::size;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// A part that lies on another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Link {
    /// The engine.
    pub at: SocketAddr,
    /// The KV cache there.
    pub handle: Handle,
}

/// A KV cache as its engine describes it to another one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Export {
    /// Tokens that the engine itself holds of it.
    pub own: size::Tokens,
    /// Leading tokens of the prompt that it covers, with the linked parts.
    pub covers: size::Tokens,
    /// The hash of the last whole block that it covers, by which a prompt
    /// that it does not belong to is refused.
    pub last_block: Option<u64>,
    /// The parts that lie on other engines.
    pub links: Vec<Link>,
}

/// A KV cache held on an engine.
#[derive(Clone, Debug)]
pub(crate) struct KeptCache {
    pub(crate) export: Export,
    /// The KV cache here that its own prefill started from.
    pub(crate) base: Option<Handle>,
    /// Tokens that it takes beside its base.
    pub(crate) reserved: u64,
    /// Streams and further KV caches that use it.
    pub(crate) users: u32,
    /// Dropped while in use: goes with its last user.
    pub(crate) is_dropped: bool,
    /// Its copy is still under way.
    pub(crate) is_arriving: bool,
}

impl KeptCache {
    pub(crate) fn is_usable(&self) -> bool {
        !self.is_arriving && !self.is_dropped
    }
}
