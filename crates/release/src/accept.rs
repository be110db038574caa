//! The decision about a note.
//!
//! It needs the present configuration and no other state, so that whoever
//! holds the platform's compare-and-swap can make it again after a conflict.

use crate::check::check_operators;
use crate::configuration::Configuration;
use crate::note::{Note, check_note};
use hickory_unit::finding::Finding;
use hickory_unit::id;

/// A note that is accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Acceptance {
    /// The configuration to write in place of the present one.
    NewConfiguration(Box<Configuration>),
    /// The same operation made this version before; nothing is to be written.
    Repeated(id::Release),
}

/// A note that is not accepted.
#[derive(Clone, Debug, PartialEq)]
pub enum Rejection {
    /// It was written against another version; the present one is given.
    Conflict(id::Release),
    /// All that is wrong with it; the lines are not known here.
    Invalid(Vec<Finding>),
}

/// Decides about a note.
///
/// The operation is looked at before the version: an operator whose answer
/// was lost sends the same note again, and it must not seem to conflict with
/// itself. A conflict goes before findings, which would speak of a
/// configuration that the operator has not seen.
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
    Finding::at("operation", "is missing: a unique id tells a repeated note from a new one")
}
