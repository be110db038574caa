//! Jobs of an engine, their progress, and the reasons to refuse them.

use crate::prefix;
use hickory_target::engine::{Generate, Handle, Priority, Weights};
use hickory_unit::{id, size};

/// A job for the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The stream.
    pub stream: id::Stream,
    /// The weights that run it.
    pub weights: Weights,
    /// The length of the prompt in tokens.
    pub prompt: size::Tokens,
    /// The hashes of its leading blocks; empty if it doesn't use the prefix cache.
    pub blocks: Vec<u64>,
    /// Number of tokens to generate.
    pub max_tokens: size::Tokens,
    /// The priority; higher values run first.
    pub priority: Priority,
    /// A KV cache on this engine from which the prefill starts.
    pub import: Option<Handle>,
    /// If set, only prefills and keeps the KV cache under this handle.
    pub keep_as: Option<Handle>,
    /// Whether the job crashes the engine when it runs.
    pub crashes_engine: bool,
}

impl Job {
    /// Returns the job that a call requests; hashes the whole prompt.
    pub fn from_call(generate: &Generate) -> Self {
        Self {
            stream: generate.stream.clone(),
            weights: generate.weights.clone(),
            prompt: size::Tokens::from_bytes(size::Bytes(generate.prompt.len() as u64)),
            blocks: prefix::hash_blocks(&generate.prompt),
            max_tokens: generate.max_tokens,
            priority: generate.priority,
            import: generate.import.clone(),
            keep_as: generate.prefill_only.clone(),
            crashes_engine: false,
        }
    }
}

/// Why the engine refuses a request.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, derive_more::Error)]
pub enum Refusal {
    /// The prompt and its answer exceed the KV cache capacity.
    #[display("too long")]
    TooLong,
    /// A stream with this id has already begun, or a KV cache is already kept
    /// under the handle.
    #[display("begun before")]
    Duplicate,
    /// The stream was cancelled before it arrived.
    #[display("cancelled before it began")]
    Cancelled,
    /// The weights are not loaded.
    #[display("weights not loaded")]
    NotLoaded,
    /// The role of the engine excludes such jobs.
    #[display("role")]
    RoleMismatch,
    /// The KV cache to import doesn't exist or belongs to another prompt.
    #[display("no such KV cache")]
    UnknownHandle,
    /// The fencing epoch of the order is lower than the highest seen so far.
    #[display("stale fencing number")]
    StaleFence,
    /// There is no room for more weights or for another KV cache.
    #[display("no room")]
    NoRoom,
    /// The engine has crashed.
    #[display("crashed")]
    Crashed,
}

/// The state of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waiting for room in the batch.
    Waiting,
    /// In the batch.
    Running,
    /// Complete.
    Ended,
    /// Ended by the engine before it was complete.
    Failed(Failure),
}

/// Why the engine ended a stream.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Failure {
    /// Its weights were unloaded.
    #[display("weights unloaded")]
    Unloaded,
    /// A part of its KV cache on another engine was lost.
    #[display("KV cache of another engine lost")]
    LinkedCacheLost,
}

/// The progress of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// Its state.
    pub state: State,
    /// Tokens generated so far.
    pub generated: u64,
}

/// Counters since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Prompt tokens found in the prefix cache.
    pub cache_hits: u64,
    /// Prompt tokens prefilled.
    pub cache_misses: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Streams received beyond the engine's capacity, whether or not it
    /// crashed.
    pub overloads: u64,
}
