//! Model engines: streams, load reports, cache events, orders and KV cache
//! transfer.

use crate::Error;
use compact_str::CompactString;
use futures::Stream;
use hickory_unit::{id, size};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;

/// A model with the version and the adapter that a request asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Weights {
    /// The model.
    pub model: id::Model,
    /// The version.
    pub version: id::Version,
    /// The adapter, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<id::Adapter>,
}

/// The priority that an engine gives a stream; the greater goes first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// A stream to open.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// Who sends it, for which attempt, until when.
    pub stream: id::Stream,
    /// What is to run it.
    pub weights: Weights,
    /// The prompt.
    pub prompt: String,
    /// Tokens to generate at most.
    pub max_tokens: size::Tokens,
    /// Its priority.
    pub priority: Priority,
    /// KV cache imported before, which the prefill may start from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub import: Option<Handle>,
    /// Continue the prefill only, and keep the KV cache under this handle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_only: Option<Handle>,
    /// Skip tokens before this index (a repeated attempt after a lost one).
    #[serde(default)]
    pub from: u64,
}

/// A KV cache kept on an engine for export, import or reuse; tagged with the
/// stream it belongs to, so that whoever finds it can tell an orphan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Handle {
    /// The stream it was made for.
    pub stream: id::Stream,
    /// The part of a prompt that is spread over several engines, from 0.
    pub part: u32,
}

/// What a stream brings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A token with its index from 0.
    Token {
        /// The index.
        seq: u64,
        /// The text.
        text: CompactString,
    },
    /// The explicit end: the answer is whole and has this many tokens.
    End {
        /// Tokens generated.
        count: u64,
    },
    /// The engine ended the stream by itself before it was whole.
    Failed {
        /// Why.
        reason: CompactString,
    },
}

/// What a cancel found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cancelled {
    /// The stream was not known, and the engine will refuse it from now on.
    NeverBegun,
    /// The stream was running and has been stopped.
    Stopped,
    /// The stream had ended.
    Ended,
}

/// A stream that is held on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStream {
    /// The stream.
    pub stream: id::Stream,
    /// Tokens of KV cache it holds or will hold.
    pub kv: size::Tokens,
    /// Tokens of its prompt that are not prefilled yet.
    pub prefill_left: size::Tokens,
}

/// Weights on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedWeights {
    /// Which.
    pub weights: Weights,
    /// Whether they can serve, or are still being loaded.
    pub ready: bool,
}

/// The role of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// The load that an engine reports, with a lag.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Differs after each start of the engine process.
    pub incarnation: id::Incarnation,
    /// KV cache capacity.
    pub kv_capacity: size::Tokens,
    /// KV cache in use by streams, handles and pins.
    pub kv_used: size::Tokens,
    /// Prompt tokens a second that it prefills when warm.
    pub prefill_rate: u64,
    /// Streams that it decodes at once when warm.
    pub streams_max: u32,
    /// How warm it is, from 0 (cold) to 100.
    pub warmth: u8,
    /// Streams held.
    pub streams: Vec<HeldStream>,
    /// KV caches held beside streams.
    pub handles: Vec<Handle>,
    /// Pinned prefixes by hash.
    pub pins: Vec<u64>,
    /// Weights held.
    pub loaded: Vec<LoadedWeights>,
    /// Its role.
    pub role: Role,
    /// The greatest fencing number seen, where the engine checks them.
    pub fence: Option<id::Epoch>,
    /// Prompt tokens found in its prefix cache since it started.
    pub cache_hits: u64,
    /// Prompt tokens prefilled since it started.
    pub cache_misses: u64,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load weights; done when already loaded.
    Load(Weights),
    /// Unload weights; done when not loaded.
    Unload(Weights),
    /// Change role.
    Role(Role),
    /// Pin a prefix in the cache, by the hash of its leading blocks; see
    /// [`crate::prefix`].
    Pin(u64),
    /// Release a pinned prefix.
    Unpin(u64),
}

/// A change of an engine's prefix cache; events come late and with gaps,
/// which show in `seq`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts the engine's events.
    pub seq: u64,
    /// Hash of the leading blocks that were stored or evicted; see
    /// [`crate::prefix`].
    pub prefix: u64,
    /// Whether the prefix was stored.
    pub stored: bool,
}

/// Model engines.
pub trait Engines: Clone + Send + Sync + 'static {
    /// What the tokens of a stream come through; dropping it closes the
    /// connection, which leaves the stream on the engine.
    type Tokens: Stream<Item = Result<Event, Error>> + Send + Unpin;

    /// Opens a stream.
    fn generate(
        &self,
        at: SocketAddr,
        generate: &Generate,
    ) -> impl Future<Output = Result<Self::Tokens, Error>> + Send;

    /// Takes up a stream that the engine holds, from token `from`.
    fn resume(
        &self,
        at: SocketAddr,
        stream: &id::Stream,
        from: u64,
    ) -> impl Future<Output = Result<Self::Tokens, Error>> + Send;

    /// Cancels a stream and frees its memory.
    fn cancel(
        &self,
        at: SocketAddr,
        stream: &id::Stream,
    ) -> impl Future<Output = Result<Cancelled, Error>> + Send;

    /// Reads the load report.
    fn report(&self, at: SocketAddr) -> impl Future<Output = Result<Report, Error>> + Send;

    /// Gives an order under a fencing number.
    fn order(
        &self,
        at: SocketAddr,
        fence: id::Epoch,
        order: &Order,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the cache events after `after`.
    fn cache_events(
        &self,
        at: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, Error>> + Send;

    /// Has the engine at `at` take over the KV cache `handle` that the engine
    /// at `from` holds; both hold it until one drops it.
    fn import(
        &self,
        at: SocketAddr,
        from: SocketAddr,
        handle: &Handle,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Drops a held KV cache; done when not held.
    fn drop_handle(
        &self,
        at: SocketAddr,
        handle: &Handle,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
