//! What the node does for operators.

use crate::view;
use hickory_release::configuration::Configuration;
use hickory_release::note::Note;
use hickory_unit::finding::Finding;
use hickory_unit::id;
use std::sync::Arc;

/// An accepted note.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Accepted {
    /// The version that the note made.
    pub version: id::Release,
    /// Set where the same operation had been accepted before.
    pub repeated: bool,
}

/// Why a note was not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Failure {
    /// It was written against another version than the present one.
    Conflict(id::Release),
    /// All that is wrong with it; lines are filled in by the server.
    Invalid(Vec<Finding>),
    /// The platform can't be reached; the note certainly has no effect.
    Unavailable(String),
    /// No answer came from the platform; the note may take effect. Read back
    /// by the operation's id.
    Unknown(String),
}

/// A node, as operators see and command it.
///
/// Each method may block the thread that serves the connection; none may
/// block for longer than the server's timeout, or the operator sees no answer.
pub trait Control: Send + Sync + 'static {
    /// Whether the token is an operator's, compared in constant time with the
    /// kept digests.
    fn is_operator(&self, token: &str) -> bool;

    /// Accepts a note: applies it to the present configuration and writes the
    /// result, whole or not at all.
    fn accept(&self, note: &Note) -> Result<Accepted, Failure>;

    /// The version that the operation made: `None` where this node knows of no
    /// effect, or the operation is older than what is kept. A node may learn
    /// of an effect seconds later; a note sent again under the same operation
    /// is told from a new one by the platform's own copy.
    fn find_operation(&self, operation: &str) -> Result<Option<id::Release>, Failure>;

    /// The configuration in force at this node, if it has one.
    fn configuration(&self) -> Option<Arc<Configuration>>;

    /// The nodes, as known here.
    fn nodes(&self) -> Vec<view::Node>;

    /// The targets, as known here.
    fn targets(&self) -> Vec<view::Target>;

    /// Who owns which target, as known here.
    fn owners(&self) -> view::Owners;

    /// Begins a planned stop of this node; returns at once.
    fn drain(&self);

    /// The metrics in the Prometheus text format.
    fn metrics(&self) -> String;

    /// How this node is.
    fn health(&self) -> view::Health;
}
