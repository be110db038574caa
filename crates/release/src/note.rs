//! Release notes: what operators add, change and withdraw.

use crate::configuration::{Account, Configuration, Model, Partner, Service, Target, Zone};
use hickory_unit::finding::Finding;
use hickory_unit::id;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How many operation ids the configuration keeps.
const OPERATIONS_KEPT: usize = 64;

/// A release note.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Note {
    /// The version of the configuration that the note was written against.
    pub against: id::Release,
    /// A unique id of this operation, chosen by the operator's client.
    #[serde(default)]
    pub operation: String,
    /// What is new.
    #[serde(default)]
    pub added: Entries,
    /// What replaces an entry that is there.
    #[serde(default)]
    pub changed: Entries,
    /// What goes.
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

/// Reads a note from JSON with comments.
pub fn parse_note(text: &str) -> Result<Note, Vec<Finding>> {
    jsonc_parser::parse_to_serde_value::<Note>(text, &Default::default()).map_err(|error| {
        vec![Finding { line: 0, field: String::new(), message: error.to_string() }]
    })
}

/// The configuration that a note makes of `present`, or all that is wrong.
pub fn apply_note(present: &Configuration, note: &Note) -> Result<Configuration, Vec<Finding>> {
    let mut next = present.clone();
    next.version = id::Release(present.version.0 + 1);
    next.operations.push(note.operation.clone());
    let surplus = next.operations.len().saturating_sub(OPERATIONS_KEPT);
    next.operations.drain(..surplus);
    for entries in [&note.added, &note.changed] {
        next.partners.extend(entries.partners.clone());
        next.accounts.extend(entries.accounts.clone());
        next.models.extend(entries.models.clone());
        next.zones.extend(entries.zones.clone());
        next.services.extend(entries.services.clone());
        next.targets.extend(entries.targets.clone());
        next.operators.extend(entries.operators.clone());
    }
    next.partners.retain(|name, _| !note.withdrawn.partners.contains(name));
    next.accounts.retain(|name, _| !note.withdrawn.accounts.contains(name));
    next.models.retain(|name, _| !note.withdrawn.models.contains(name));
    next.zones.retain(|name, _| !note.withdrawn.zones.contains(name));
    next.services.retain(|name, _| !note.withdrawn.services.contains(name));
    next.targets.retain(|name, _| !note.withdrawn.targets.contains(name));
    next.operators.retain(|name| !note.withdrawn.operators.contains(name));
    Ok(next)
}
