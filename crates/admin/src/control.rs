//! The operations that a node implements for the administration API.

use crate::view;
use hickory_release::configuration::Configuration;
use hickory_release::note::Note;
use hickory_unit::finding::Finding;
use hickory_unit::id;
use std::sync::Arc;

/// The result of an accepted note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The configuration version that the note created.
    pub version: id::Release,
    /// Whether the same operation had been accepted before.
    pub repeated: bool,
}

/// Why a note was not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// The note was written against another version than the current one; holds the current one.
    Conflict(id::Release),
    /// The findings of the note; the server fills in their lines.
    Invalid(Vec<Finding>),
    /// The platform is unreachable; the note has no effect.
    Unavailable(String),
    /// The platform did not answer, so the note may still take effect. Look up the operation's id
    /// to find out.
    Unknown(String),
}

/// A node, as operators observe and control it.
///
/// Each method may block the thread that serves the connection, but not for longer than the
/// server's timeout, or the operator gets no answer.
pub trait Control: Send + Sync + 'static {
    /// Returns whether the token belongs to an operator. The digests are compared in constant time.
    fn is_operator(&self, token: &str) -> bool;

    /// Accepts a note: applies it to the current configuration and writes the result atomically.
    fn accept(&self, note: &Note) -> Result<Accepted, Failure>;

    /// Returns the version that an operation created, or `None` if this node does not know that the
    /// operation took effect, or no longer keeps its id. The node may learn of the effect seconds
    /// after it. A note that is sent again under the same operation id is still recognized as a
    /// repetition, because that check reads the platform's own copy.
    fn find_operation(&self, operation: &str) -> Result<Option<id::Release>, Failure>;

    /// Returns the configuration in force at this node, if any.
    fn configuration(&self) -> Option<Arc<Configuration>>;

    /// Returns the nodes that this node knows.
    fn nodes(&self) -> Vec<view::Node>;

    /// Returns the targets that this node knows.
    fn targets(&self) -> Vec<view::Target>;

    /// Returns the owners of targets that this node knows.
    fn owners(&self) -> view::Owners;

    /// Starts a planned stop of this node and returns immediately.
    fn drain(&self);

    /// Returns the metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// Returns the health of this node.
    fn health(&self) -> view::Health;
}
