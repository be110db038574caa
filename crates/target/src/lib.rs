//! Ports to the targets: model engines and plain services.
//!
//! The adapters only translate. What a failed call means for a request (did
//! it run, may it be sent again) is decided by the caller from [`Error`].

pub mod engine;
pub mod http;
pub mod prefix;
pub mod service;

use derive_more::Display;

/// Why a call to a target failed, by what the target can have seen of it.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// No byte of the call reached the target.
    #[display("not sent: {_0}")]
    #[error(ignore)]
    NotSent(String),
    /// Bytes went, and the target may have acted on them.
    #[display("no answer: {_0}")]
    #[error(ignore)]
    Unknown(String),
    /// The target answered that it did not begin.
    #[display("refused: {_0}")]
    #[error(ignore)]
    Refused(String),
    /// The target has seen a greater fencing number.
    #[display("stale fencing number")]
    Stale,
    /// The target does not know what was named.
    #[display("not found")]
    NotFound,
    /// The target did not move on for longer than it may.
    #[display("no progress")]
    Stalled,
}
