//! Acceptance of release notes.
//!
//! The decision depends only on the note and the current configuration. The node that writes the
//! new configuration with compare-and-swap can therefore decide again after a conflict.

use crate::check::check_operators;
use crate::configuration::Configuration;
use crate::note::{Note, check_note};
use hickory_unit::finding::Finding;
use hickory_unit::id;

/// The result of an accepted note.
#[derive(Clone, Debug, PartialEq)]
pub enum Acceptance {
    /// The configuration to write in place of the current one.
    NewConfiguration(Box<Configuration>),
    /// The operation was accepted before and created this version; nothing needs to be written.
    Repeated(id::Release),
}

/// Why a note was rejected.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// The note was written against another version than the current one; holds the current one.
    Conflict(id::Release),
    /// The findings of the note, without lines.
    Invalid(Vec<Finding>),
}

/// Decides whether to accept a note.
///
/// The operation id is checked before the version: an operator whose answer was lost sends the same
/// note again, and it must not be reported as a conflict with its own first attempt. A conflict
/// takes precedence over findings, because they would refer to a configuration that the operator
/// has not seen.
pub fn accept_note(present: &Configuration, note: &Note) -> Result<Acceptance, Rejection> {
    if let Some(version) = present.find_operation(&note.operation) {
        return Ok(Acceptance::Repeated(version));
    }
    if note.against != present.version {
        return Err(Rejection::Conflict(present.version));
    }
    let (next, mut findings) = check_note(present, note);
    if note.operation.is_empty() {
        findings.push(missing_operation());
    }
    check_operators(present, &next, &mut findings);
    findings.sort();
    match findings.is_empty() {
        true => Ok(Acceptance::NewConfiguration(Box::new(next))),
        false => Err(Rejection::Invalid(findings)),
    }
}

fn missing_operation() -> Finding {
    Finding::at("operation", "is missing; a unique id distinguishes a repeated note from a new one")
}
