//! Messages between nodes, as plain types.

use hickory_unit::{id, size};
use std::time::Duration;

/// Weights that a request needs or that an engine has loaded.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Weights {
    /// The model.
    pub model: id::Model,
    /// The version.
    pub version: id::Version,
    /// The adapter, if any.
    pub adapter: Option<id::Adapter>,
}

/// The resources that a request needs on a target.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cost {
    /// Prompt tokens to prefill.
    pub prefill: size::Tokens,
    /// Maximum number of tokens to generate.
    pub decode: size::Tokens,
    /// Maximum size of its KV cache in tokens.
    pub kv: size::Tokens,
}

/// A request to a target's owner for a permit to send one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermitRequest {
    /// The stream id on the target, made of request, attempt, sender and deadline.
    pub stream: id::Stream,
    /// The target.
    pub target: id::Target,
    /// The partner whose share of the fleet is used.
    pub partner: id::Partner,
    /// The client account.
    pub account: id::Account,
    /// Whether the request is batch work and may be queued; otherwise it is interactive.
    pub is_batch: bool,
    /// The resources it needs.
    pub cost: Cost,
    /// The weights it needs; `None` for a call of a plain service, which uses one slot.
    pub weights: Option<Weights>,
    /// Time left until the request's deadline.
    pub time_left: Duration,
    /// Whether the request is suspected of crashing targets and must run with no other request
    /// beside it.
    pub runs_alone: bool,
    /// Hash of the client account and the content.
    pub fingerprint: u64,
    /// Hash of the leading blocks of the prompt.
    pub prefix: u64,
    /// Set when several targets are reserved together, all or none: the owner grants or refuses the
    /// request immediately instead of queuing it.
    pub must_not_queue: bool,
}

/// Permission to send one attempt to a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Permit {
    /// Identifies the permit at its owner.
    pub id: u64,
    /// The ownership epoch in which it was granted.
    pub epoch: id::Epoch,
    /// How long the permit may be used to start sending, counted from the moment the request for it
    /// was *sent*: a permit that a paused owner granted late has expired when it arrives.
    pub lifetime: Duration,
    /// The priority that the engine applies.
    pub priority: u8,
}

/// An owner's refusal to grant a permit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// The name of the refusal reason.
    pub reason: String,
    /// The time after which to retry.
    pub retry_after: Duration,
    /// Set if the node that received the request does not own the target.
    pub is_not_owner: bool,
}

/// How a permitted attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The complete answer arrived.
    Finished,
    /// The target confirmed a cancellation.
    Cancelled,
    /// The connection broke and reconnecting failed.
    TargetDied,
    /// No byte was sent to the target.
    NotSent,
    /// The attempt may still be running on the target; the owner cancels it.
    Lost,
    /// The caller disconnected. Another node may resume the stream; if none does, the owner cancels
    /// it.
    CallerDisconnected,
}

/// The result of a permitted attempt, reported to the target's owner.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Outcome {
    /// The target.
    pub target: id::Target,
    /// The id of the permit.
    pub permit: u64,
    /// The ownership epoch in which the permit was granted.
    pub epoch: id::Epoch,
    /// How it ended.
    pub ending: Ending,
    /// Time from sending to the first token; `None` if no token arrived.
    pub time_to_first_token: Option<Duration>,
    /// The id of the stream on the target, if one was opened.
    pub stream: Option<id::Stream>,
}

/// The state of a target, as its owner publishes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct TargetState {
    /// The target.
    pub target: id::Target,
    /// The ownership epoch.
    pub epoch: id::Epoch,
    /// Prompt tokens that are granted or queued but not yet prefilled.
    pub queued_prefill: size::Tokens,
    /// The part of `queued_prefill` that belongs to long prompts.
    pub queued_long: size::Tokens,
    /// Free KV cache.
    pub kv_free: size::Tokens,
    /// Total KV cache.
    pub kv_capacity: size::Tokens,
    /// Prompt tokens prefilled per second at the current warmth.
    pub prefill_rate: u64,
    /// Maximum number of concurrent streams at the current warmth.
    pub stream_limit: u32,
    /// Number of granted streams.
    pub running: u32,
    /// The incarnation of the target's process.
    pub incarnation: id::Incarnation,
    /// Number of requests in the owner's queue.
    pub waiting: u32,
    /// Weights that are loaded and ready to serve.
    pub ready: Vec<Weights>,
    /// Whether it accepts new work.
    pub is_accepting: bool,
    /// Prefixes that the owner expects in the target's cache.
    pub prefixes: Vec<u64>,
}

/// A request that is suspected of crashing targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// Hash of the client account and the content.
    pub fingerprint: u64,
    /// Number of target crashes while it was running there.
    pub deaths: u32,
    /// Time since the last of these crashes.
    pub age: Duration,
}

/// The gossip that two nodes exchange; both directions have the same form.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gossip {
    /// The node that sends it.
    pub node: id::Node,
    /// The incarnation of the sender.
    pub incarnation: id::Incarnation,
    /// The version of the sender's configuration in force.
    pub configuration_version: id::Release,
    /// The revision of the ownership table that the sender has.
    pub owners_revision: u64,
    /// Whether the sender is draining.
    pub is_draining: bool,
    /// The version of the sender's target states; each change of one increments it.
    pub version: u64,
    /// The latest version of the receiver's target states that the sender has, or 0. The receiver
    /// answers with only the states that changed after it.
    pub acknowledged_version: u64,
    /// States of the sender's targets that changed after the version that the receiver
    /// acknowledged.
    pub targets: Vec<TargetState>,
    /// Requests that are suspected of crashing targets.
    pub suspects: Vec<Suspect>,
    /// Number of requests that the sender is serving.
    pub active_requests: u32,
}

/// A versioned document, fetched from a peer while the platform is unreachable.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// Its text.
    pub text: String,
}

/// A request to take over the rest of a stream that another node opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Adoption {
    /// The target that runs the stream.
    pub target: id::Target,
    /// The stream.
    pub stream: id::Stream,
    /// The node that now serves the stream.
    pub node: id::Node,
    /// Set if the node has served the stream before: the request is granted only if no other node
    /// has taken the stream over since.
    pub is_renewal: bool,
}
