//! Model engines: streams, load reports, cache events, orders and KV cache
//! transfer.

use crate::Error;
use compact_str::CompactString;
use futures::Stream;
use hickory_unit::{id, size};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::net::SocketAddr;

/// A model with the version and the adapter that a request needs.
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

/// The scheduling priority of a stream on an engine; a greater value is served first.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Priority(pub u8);

/// A request to open a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Generate {
    /// The stream id, which names the sender, the attempt and the deadline.
    pub stream: id::Stream,
    /// The weights to run it with.
    pub weights: Weights,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: size::Tokens,
    /// Its priority.
    pub priority: Priority,
    /// An imported KV cache that the prefill may continue from.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub import: Option<Handle>,
    /// If set, the engine only continues the prefill and keeps the KV cache under this handle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefill_only: Option<Handle>,
    /// Index of the first token to return: a repeated attempt skips the tokens that the caller
    /// already has.
    #[serde(default)]
    pub from: u64,
}

/// A KV cache kept on an engine for export, import or reuse. It carries the id of its stream, so
/// that a cache whose stream no longer exists can be recognized as an orphan.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Handle {
    /// The stream it was made for.
    pub stream: id::Stream,
    /// Index, from 0, of the chunk of a prompt that is split over several engines.
    pub part: u32,
}

/// An event of a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Event {
    /// A generated token.
    Token {
        /// The index of the token, from 0.
        seq: u64,
        /// The text.
        text: CompactString,
    },
    /// The explicit end marker: the answer is complete.
    End {
        /// Number of tokens generated.
        count: u64,
    },
    /// The engine ended the stream before it was complete.
    Failed {
        /// The reason.
        reason: CompactString,
    },
}

/// The result of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Cancelled {
    /// The engine did not know the stream and will reject it from now on.
    NeverBegun,
    /// The stream was running and was stopped.
    Stopped,
    /// The stream had already ended.
    Ended,
}

/// A stream that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldStream {
    /// The stream.
    pub stream: id::Stream,
    /// KV cache in tokens that the stream uses or has reserved.
    pub kv: size::Tokens,
    /// Prompt tokens that are not prefilled yet.
    pub prefill_left: size::Tokens,
}

/// Weights on an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadedWeights {
    /// The weights.
    pub weights: Weights,
    /// Whether they are ready to serve; otherwise they are still loading.
    pub ready: bool,
}

/// The phases that an engine runs.
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

/// The load report of an engine; it lags behind the actual load.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The incarnation of the engine process; each start has a new one.
    pub incarnation: id::Incarnation,
    /// KV cache capacity.
    pub kv_capacity: size::Tokens,
    /// KV cache in use by streams, handles and pins.
    pub kv_used: size::Tokens,
    /// Prompt tokens prefilled per second when warm.
    pub prefill_rate: u64,
    /// Maximum number of streams decoded concurrently when warm.
    pub streams_max: u32,
    /// Warmth from 0 (cold) to 100 (warm).
    pub warmth: u8,
    /// The streams it holds.
    pub streams: Vec<HeldStream>,
    /// KV caches kept apart from streams.
    pub handles: Vec<Handle>,
    /// Hashes of the pinned prefixes.
    pub pins: Vec<u64>,
    /// The weights it holds.
    pub loaded: Vec<LoadedWeights>,
    /// Its role.
    pub role: Role,
    /// The greatest fencing epoch seen; `None` if the engine does not check fencing epochs.
    pub fence: Option<id::Epoch>,
    /// Prompt tokens found in the prefix cache since the process started.
    pub cache_hits: u64,
    /// Prompt tokens prefilled since the process started.
    pub cache_misses: u64,
}

/// A management order to an engine. Orders are idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Order {
    /// Load weights; no effect if they are loaded.
    Load(Weights),
    /// Unload weights; no effect if they are not loaded.
    Unload(Weights),
    /// Change the role.
    Role(Role),
    /// Pin a prefix in the cache by the hash of its leading blocks; see [`crate::prefix`].
    Pin(u64),
    /// Unpin a prefix.
    Unpin(u64),
}

/// A change of an engine's prefix cache. Events arrive late and some are missing; gaps in `seq`
/// show the missing ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Sequence number among the events of the engine.
    pub seq: u64,
    /// Hash of the leading blocks that were stored or evicted; see
    /// [`crate::prefix`].
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// The interface to model engines.
pub trait Engines: Clone + Send + Sync + 'static {
    /// The stream of events of a generation. Dropping it closes the connection; the generation
    /// stays on the engine.
    type Tokens: Stream<Item = Result<Event, Error>> + Send + Unpin;

    /// Opens a stream.
    fn generate(
        &self,
        at: SocketAddr,
        generate: &Generate,
    ) -> impl Future<Output = Result<Self::Tokens, Error>> + Send;

    /// Resumes a stream that the engine holds, from token `from`.
    fn resume(
        &self,
        at: SocketAddr,
        stream: &id::Stream,
        from: u64,
    ) -> impl Future<Output = Result<Self::Tokens, Error>> + Send;

    /// Cancels a stream and frees its KV cache.
    fn cancel(
        &self,
        at: SocketAddr,
        stream: &id::Stream,
    ) -> impl Future<Output = Result<Cancelled, Error>> + Send;

    /// Reads the load report.
    fn report(&self, at: SocketAddr) -> impl Future<Output = Result<Report, Error>> + Send;

    /// Sends an order with a fencing epoch.
    fn order(
        &self,
        at: SocketAddr,
        fence: id::Epoch,
        order: &Order,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the cache events with a sequence number greater than `after`.
    fn cache_events(
        &self,
        at: SocketAddr,
        after: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, Error>> + Send;

    /// Makes the engine at `at` copy the KV cache `handle` from the engine at `from`. Both engines
    /// hold it until it is dropped on each of them.
    fn import(
        &self,
        at: SocketAddr,
        from: SocketAddr,
        handle: &Handle,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Drops a kept KV cache; no effect if the engine does not hold it.
    fn drop_handle(
        &self,
        at: SocketAddr,
        handle: &Handle,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
