//! Work for an engine, how far it is, and why it may not begin.

use crate::prefix;
use hickory_target::engine::{Generate, Handle, Priority, Weights};
use hickory_unit::{id, size};

/// Work for the engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Job {
    /// The stream.
    pub stream: id::Stream,
    /// What is to run it.
    pub weights: Weights,
    /// Tokens of the prompt.
    pub prompt: size::Tokens,
    /// The hashes of its leading blocks; none where it shares no prefix.
    pub blocks: Vec<u64>,
    /// Tokens to generate.
    pub max_tokens: size::Tokens,
    /// The greater goes first.
    pub priority: Priority,
    /// A KV cache held here, from which the prefill starts.
    pub import: Option<Handle>,
    /// Prefill only, and keep the KV cache under this handle.
    pub keep_as: Option<Handle>,
    /// Crashes the engine as soon as it runs.
    pub crashes_engine: bool,
}

impl Job {
    /// The job that a call asks for; hashes the whole prompt.
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

/// Why the engine does not do what it is asked.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, derive_more::Error)]
pub enum Refusal {
    /// The prompt and its answer are greater than the KV memory.
    #[display("too long")]
    TooLong,
    /// A stream with this id has begun before, or a KV cache is held under
    /// the handle.
    #[display("begun before")]
    Duplicate,
    /// The stream was cancelled before it came.
    #[display("cancelled before it began")]
    Cancelled,
    /// The weights are not loaded.
    #[display("weights not loaded")]
    NotLoaded,
    /// The role of the engine does not take such work.
    #[display("role")]
    RoleMismatch,
    /// The KV cache to start from is not held, or is not of this prompt.
    #[display("no such KV cache")]
    UnknownHandle,
    /// The order carries a fencing number below the greatest seen.
    #[display("stale fencing number")]
    StaleFence,
    /// No room for further weights or a further KV cache.
    #[display("no room")]
    NoRoom,
    /// The engine has crashed.
    #[display("crashed")]
    Crashed,
}

/// How far a stream is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Waits for room in the batch.
    Waiting,
    /// In the batch.
    Running,
    /// Whole.
    Ended,
    /// Ended by the engine before it was whole.
    Failed(Failure),
}

/// Why the engine ended a stream.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum Failure {
    /// Its weights were unloaded.
    #[display("weights unloaded")]
    Unloaded,
    /// A part of its KV cache, which lay on another engine, is gone.
    #[display("KV cache of another engine lost")]
    LinkedCacheLost,
}

/// How far a stream is, and what it brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// How far it is.
    pub state: State,
    /// Tokens generated.
    pub generated: u64,
}

/// What went on since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Prompt tokens found in the prefix cache.
    pub cache_hits: u64,
    /// Prompt tokens prefilled.
    pub cache_misses: u64,
    /// Tokens generated.
    pub generated: u64,
    /// Times that a stream was given beyond what the engine bore, whether it
    /// fell over or not.
    pub overloads: u64,
}
