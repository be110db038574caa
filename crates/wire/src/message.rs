//! What nodes say to each other, as plain types.

use hickory_unit::{id, size};
use std::time::Duration;

/// Weights that a request asks for, or that an engine has.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Weights {
    /// The model.
    pub model: id::Model,
    /// The version.
    pub version: id::Version,
    /// The adapter, if any.
    pub adapter: Option<id::Adapter>,
}

/// What a request weighs on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens to prefill.
    pub prefill: size::Tokens,
    /// Tokens to generate at most.
    pub decode: size::Tokens,
    /// Tokens of KV cache at its greatest.
    pub kv: size::Tokens,
}

/// A question to a target's owner: may this attempt be sent?
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// Names the request, the attempt, the sender and the deadline, and will
    /// name the stream on the target.
    pub stream: id::Stream,
    /// The target.
    pub target: id::Target,
    /// The partner whose share pays.
    pub partner: id::Partner,
    /// The client account.
    pub account: id::Account,
    /// Whether it may wait; else a person waits for it.
    pub is_batch: bool,
    /// What it weighs.
    pub cost: Cost,
    /// The weights it asks for; `None` for a call of a plain service, which
    /// weighs one slot.
    pub weights: Option<Weights>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Set for a suspect: runs beside no other request.
    pub runs_alone: bool,
    /// Hash of account and content.
    pub fingerprint: u64,
    /// Hash of the prompt's leading blocks.
    pub prefix: u64,
    /// Set where several targets are reserved, all or none: the owner grants
    /// or refuses at once and never queues.
    pub must_not_queue: bool,
}

/// Leave to send one attempt to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Names the permit at its owner.
    pub id: u64,
    /// The epoch of the ownership it was given under.
    pub epoch: id::Epoch,
    /// How long it may be used to begin sending, counted from the moment the
    /// asker *sent* its ask: one from an owner that was paused is dead when
    /// it arrives.
    pub lifetime: Duration,
    /// The priority for the engine.
    pub priority: u8,
}

/// Why an owner said no.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The reason, as named by the decisions.
    pub reason: String,
    /// When to come back.
    pub retry_after: Duration,
    /// Set where the asked node does not own the target.
    pub is_not_owner: bool,
}

/// How a permitted attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came.
    Finished,
    /// The target confirmed a cancel.
    Cancelled,
    /// The connection broke and a new one could not be made.
    TargetDied,
    /// No byte went to the target.
    NotSent,
    /// It may still run on the target; the owner cancels it.
    Lost,
    /// The caller's connection went; another node may take the stream up, and
    /// the owner cancels it if none does.
    CallerDisconnected,
}

/// The end of a permitted attempt, told to the target's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The target.
    pub target: id::Target,
    /// The permit.
    pub permit: u64,
    /// The epoch it was given under.
    pub epoch: id::Epoch,
    /// How it ended.
    pub ending: Ending,
    /// Time from sending to the first token, if one came.
    pub time_to_first_token: Option<Duration>,
    /// The stream, as it was named to the target, if one was opened.
    pub stream: Option<id::Stream>,
}

/// What an owner tells of a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The target.
    pub target: id::Target,
    /// The epoch of the ownership.
    pub epoch: id::Epoch,
    /// Prompt tokens granted or queued and not yet prefilled.
    pub queued_prefill: size::Tokens,
    /// Of these, tokens of long prompts.
    pub queued_long: size::Tokens,
    /// KV cache that is free.
    pub kv_free: size::Tokens,
    /// KV cache in all.
    pub kv_capacity: size::Tokens,
    /// Prompt tokens a second at its present warmth.
    pub prefill_rate: u64,
    /// Streams that it bears at present.
    pub stream_limit: u32,
    /// Streams granted.
    pub running: u32,
    /// The incarnation of the target's process.
    pub incarnation: id::Incarnation,
    /// Requests waiting in the owner's queue.
    pub waiting: u32,
    /// Weights that are ready.
    pub ready: Vec<Weights>,
    /// Whether it takes new work.
    pub is_accepting: bool,
    /// Prefixes thought to be in its cache.
    pub prefixes: Vec<u64>,
}

/// A request that may be what killed a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of account and content.
    pub fingerprint: u64,
    /// Deaths of targets at which it ran.
    pub deaths: u32,
    /// Time since the last of them.
    pub age: Duration,
}

/// The exchange between two nodes, the same both ways.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// Who speaks.
    pub node: id::Node,
    /// Its incarnation.
    pub incarnation: id::Incarnation,
    /// The configuration it has in force.
    pub configuration_version: id::Release,
    /// The revision of the ownership table it knows.
    pub owners_revision: u64,
    /// Whether it is stopping.
    pub is_draining: bool,
    /// Counts the changes of what it tells of its targets.
    pub version: u64,
    /// The listener's version that the speaker has; zero for none. The
    /// listener tells only what has changed since.
    pub acknowledged_version: u64,
    /// The targets it owns that have changed since the listener's last word.
    pub targets: Vec<TargetState>,
    /// Requests under suspicion.
    pub suspects: Vec<Suspect>,
    /// Callers it serves at present.
    pub connections: u32,
}

/// A document with its version, as fetched from a peer while the platform
/// is down.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: String,
}

/// A node's notice that it serves the rest of a stream another node opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adoption {
    /// The target that holds the stream.
    pub target: id::Target,
    /// The stream.
    pub stream: id::Stream,
    /// The node that now serves it.
    pub node: id::Node,
    /// Set where the node served it before: answered with yes only if no other
    /// node has taken it over since.
    pub is_renewal: bool,
}
