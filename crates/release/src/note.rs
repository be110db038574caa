//! Release notes, with which operators add, change and withdraw entries of the configuration.

use crate::check;
use crate::configuration::{Account, Configuration, Model, Partner, Service, Target, Zone};
use hickory_document::location::Locations;
use hickory_unit::finding::Finding;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Number of operation ids that the configuration keeps. An operator who got no answer looks up the
/// operation within minutes; at 910 changes a day, 64 ids cover more than an hour.
const MAX_KEPT_OPERATIONS: usize = 64;

/// A release note.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// The version of the configuration that the note was written against.
    pub against: id::Release,
    /// A unique id of the operation, chosen by the operator's client.
    #[serde(default)]
    pub operation: String,
    /// New entries.
    #[serde(default)]
    pub added: Entries,
    /// Entries that replace existing ones.
    #[serde(default)]
    pub changed: Entries,
    /// Names of the entries to remove.
    #[serde(default)]
    pub withdrawn: Names,
}

/// Entries of the configuration by name.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Entries {
    /// Partners.
    pub partners: BTreeMap<id::Partner, Partner>,
    /// Client accounts.
    pub accounts: BTreeMap<id::Account, Account>,
    /// Models.
    pub models: BTreeMap<id::Model, Model>,
    /// Availability zones.
    pub zones: BTreeMap<id::Zone, Zone>,
    /// Plain services.
    pub services: BTreeMap<id::Service, Service>,
    /// Targets.
    pub targets: BTreeMap<id::Target, Target>,
    /// Digests of operators' tokens.
    pub operators: BTreeSet<String>,
}

/// Names of entries.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Names {
    /// Partners.
    pub partners: BTreeSet<id::Partner>,
    /// Client accounts.
    pub accounts: BTreeSet<id::Account>,
    /// Models.
    pub models: BTreeSet<id::Model>,
    /// Availability zones.
    pub zones: BTreeSet<id::Zone>,
    /// Plain services.
    pub services: BTreeSet<id::Service>,
    /// Targets.
    pub targets: BTreeSet<id::Target>,
    /// Digests of operators' tokens.
    pub operators: BTreeSet<String>,
}

/// A parsed note with the lines of its fields.
#[derive(Clone, Debug, PartialEq)]
pub struct Draft {
    /// The note.
    pub note: Note,
    /// The lines of the note's fields, to locate findings that are made against a configuration.
    pub locations: Locations,
}

/// Parses a note from JSON with comments and returns either the note or all findings that do not
/// depend on the configuration.
pub fn parse_draft(text: &str) -> Result<Draft, Vec<Finding>> {
    let mut parsed = hickory_document::read_document::<Note>(text);
    let value_findings = parsed.value.as_ref().map(check::check_values).unwrap_or_default();
    parsed.add_findings(value_findings);
    let locations = std::mem::take(&mut parsed.locations);
    parsed.into_result().map(|note| Draft { note, locations })
}

/// Parses a note like [`parse_draft`], without the lines of its fields.
pub fn parse_note(text: &str) -> Result<Note, Vec<Finding>> {
    parse_draft(text).map(|draft| draft.note)
}

/// Returns the configuration that results from applying a note to `present`, or all findings.
///
/// The findings have no lines; fill them in with [`Draft::locations`].
pub fn apply_note(present: &Configuration, note: &Note) -> Result<Configuration, Vec<Finding>> {
    let (next, findings) = check_note(present, note);
    if findings.is_empty() { Ok(next) } else { Err(findings) }
}

/// Returns the configuration that a note would create, together with all findings.
pub(crate) fn check_note(present: &Configuration, note: &Note) -> (Configuration, Vec<Finding>) {
    let mut findings = check::check_values(note);
    check::check_existence(present, note, &mut findings);
    let next = merge_note(present, note);
    check::check_references(&next, note, &mut findings);
    check::check_tokens(&next, note, &mut findings);
    check::check_size(&next, &mut findings);
    findings.sort();
    (next, findings)
}

fn merge_note(present: &Configuration, note: &Note) -> Configuration {
    let mut next = present.clone();
    next.version = id::Release(present.version.0 + 1);
    next.operations.push(note.operation.clone());
    let surplus = next.operations.len().saturating_sub(MAX_KEPT_OPERATIONS);
    next.operations.drain(..surplus);
    macro_rules! merge {
        ($($section:ident)*) => {$(
            next.$section.extend(note.added.$section.clone());
            next.$section.extend(note.changed.$section.clone());
            next.$section.retain(|name, _| !note.withdrawn.$section.contains(name));
        )*};
    }
    merge!(partners accounts models zones services targets);
    next.operators.extend(note.added.operators.clone());
    next.operators.retain(|name| !note.withdrawn.operators.contains(name));
    next
}
