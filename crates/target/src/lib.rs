//! Interfaces to the targets: model engines and plain services.
//!
//! The HTTP clients only translate calls. From [`Error`] the caller decides whether a failed
//! request may have run and whether it may be repeated.

pub mod engine;
pub mod http;
pub mod prefix;
pub mod service;

use derive_more::Display;

/// Why a call to a target failed, classified by whether the target may have acted on it.
#[derive(Clone, Debug, Display, PartialEq, Eq, derive_more::Error)]
pub enum Error {
    /// No byte of the call was sent to the target.
    #[display("not sent: {_0}")]
    #[error(ignore)]
    NotSent(String),
    /// The call was sent, and the target may have acted on it.
    #[display("no answer: {_0}")]
    #[error(ignore)]
    Unknown(String),
    /// The target answered that it did not start the call.
    #[display("refused: {_0}")]
    #[error(ignore)]
    Refused(String),
    /// The target has seen a greater fencing epoch.
    #[display("stale fencing number")]
    Stale,
    /// The target does not have the named stream or KV cache.
    #[display("not found")]
    NotFound,
    /// The stream made no progress within its timeout.
    #[display("no progress")]
    Stalled,
}
