//! Validation of release notes and of the configurations they create.

use crate::configuration::{Account, Configuration, MAX_SIZE, Model, Service, Weight};
use crate::note::{Entries, Note};
use hickory_document::rule::{check_digest, check_name};
use hickory_unit::finding::Finding;
use hickory_unit::id;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;

/// Maximum length of a path of a plain service in bytes.
const MAX_PATH_LENGTH: usize = 256;

/// Maximum share or weight. The limit keeps sums over all accounts sufficiently precise.
const MAX_SHARE: f64 = 1e9;

/// Returns the findings that do not depend on a configuration.
pub(crate) fn check_values(note: &Note) -> Vec<Finding> {
    let mut findings = Vec::new();
    if !note.operation.is_empty() {
        check_name("operation", &note.operation, &mut findings);
    }
    for (part, entries) in [("added", &note.added), ("changed", &note.changed)] {
        check_entries(part, entries, &mut findings);
    }
    if !note.changed.operators.is_empty() {
        findings
            .push(Finding::at("changed.operators", "can't be changed, only added and withdrawn"));
    }
    findings
}

fn check_entries(part: &str, entries: &Entries, findings: &mut Vec<Finding>) {
    macro_rules! check_names {
        ($($section:ident)*) => {$(
            for name in entries.$section.keys() {
                let path = format!("{part}.{}.{name}", stringify!($section));
                check_name(&path, name.as_str(), findings);
            }
        )*};
    }
    check_names!(partners accounts models zones services targets);
    for (name, partner) in &entries.partners {
        check_share(&format!("{part}.partners.{name}.share"), partner.share, findings);
    }
    for (name, account) in &entries.accounts {
        check_account(&format!("{part}.accounts.{name}"), account, findings);
    }
    for (name, model) in &entries.models {
        check_model(&format!("{part}.models.{name}"), model, findings);
    }
    for (name, service) in &entries.services {
        check_service(&format!("{part}.services.{name}"), service, findings);
    }
    for digest in &entries.operators {
        check_digest(&format!("{part}.operators.{digest}"), digest, findings);
    }
}

fn check_account(path: &str, account: &Account, findings: &mut Vec<Finding>) {
    check_share(&format!("{path}.weight"), account.weight, findings);
    check_digest(&format!("{path}.token_digest"), &account.token_digest, findings);
}

fn check_model(path: &str, model: &Model, findings: &mut Vec<Finding>) {
    if model.versions.is_empty() {
        findings.push(Finding::at(format!("{path}.versions"), "must not be empty"));
    } else if !model.versions.contains_key(&model.current) {
        let message = format!("{} is not among the versions", model.current);
        findings.push(Finding::at(format!("{path}.current"), message));
    }
    check_weights(&format!("{path}.versions"), &model.versions, findings);
    check_weights(&format!("{path}.adapters"), &model.adapters, findings);
}

fn check_weights<K: Display>(
    path: &str,
    weights: &BTreeMap<K, Weight>,
    findings: &mut Vec<Finding>,
) {
    for (name, weight) in weights {
        let path = format!("{path}.{name}");
        check_name(&path, &name.to_string(), findings);
        if weight.bytes.0 == 0 {
            findings.push(Finding::at(format!("{path}.bytes"), "must be greater than 0"));
        }
    }
}

fn check_service(path: &str, service: &Service, findings: &mut Vec<Finding>) {
    let well_formed = |call_path: &str| {
        call_path.starts_with('/')
            && call_path.len() <= MAX_PATH_LENGTH
            && call_path.bytes().all(|b| b.is_ascii_graphic() && !matches!(b, b'?' | b'#'))
    };
    for call_path in service.once.iter().filter(|call_path| !well_formed(call_path)) {
        let message = format!(
            "expected a path with a leading slash, without query, of at most \
             {MAX_PATH_LENGTH} characters"
        );
        findings.push(Finding::at(format!("{path}.once.{call_path}"), message));
    }
}

fn check_share(path: &str, share: f64, findings: &mut Vec<Finding>) {
    if !(share > 0.0 && share <= MAX_SHARE) {
        findings.push(Finding::at(path, format!("must be greater than 0 and at most {MAX_SHARE}")));
    }
}

/// Checks that added entries are new and that changed and withdrawn entries exist.
pub(crate) fn check_existence(present: &Configuration, note: &Note, findings: &mut Vec<Finding>) {
    macro_rules! check {
        ($($section:ident)*) => {$(
            check_section(
                stringify!($section),
                |name| present.$section.contains_key(name),
                note.added.$section.keys(),
                note.changed.$section.keys(),
                &note.withdrawn.$section,
                findings,
            );
        )*};
    }
    check!(partners accounts models zones services targets);
    check_section(
        "operators",
        |digest| present.operators.contains(digest),
        note.added.operators.iter(),
        std::iter::empty(),
        &note.withdrawn.operators,
        findings,
    );
}

fn check_section<'a, K: Ord + Display + 'a>(
    section: &str,
    exists: impl Fn(&K) -> bool,
    added: impl Iterator<Item = &'a K>,
    changed: impl Iterator<Item = &'a K>,
    withdrawn: &'a BTreeSet<K>,
    findings: &mut Vec<Finding>,
) {
    let mut push = |part: &str, name: &K, message: &str| {
        findings.push(Finding::at(format!("{part}.{section}.{name}"), message));
    };
    for name in added.filter(|name| exists(name)) {
        push("added", name, "already exists");
    }
    for name in changed {
        if !exists(name) {
            push("changed", name, "does not exist");
        }
        if withdrawn.contains(name) {
            push("changed", name, "is withdrawn by the same note");
        }
    }
    for name in withdrawn.iter().filter(|name| !exists(name)) {
        push("withdrawn", name, "does not exist");
    }
}

/// Checks that all entries that accounts refer to exist in the new configuration.
pub(crate) fn check_references(next: &Configuration, note: &Note, findings: &mut Vec<Finding>) {
    for (account, entry) in &next.accounts {
        let missing = list_references(entry, next, note).into_iter().filter(|r| !r.exists);
        findings.extend(missing.map(|reference| reference.to_finding(account, note)));
    }
}

/// A reference from an account to another entry.
struct Reference {
    /// The field of the account that contains the reference.
    field: String,
    /// The section and the name of the other entry.
    section: &'static str,
    name: String,
    /// Whether the other entry exists in the new configuration.
    exists: bool,
    /// Whether the note withdraws the other entry.
    withdrawn: bool,
}

fn list_references(account: &Account, next: &Configuration, note: &Note) -> Vec<Reference> {
    let mut references = vec![Reference {
        field: "partner".to_owned(),
        section: "partners",
        name: account.partner.to_string(),
        exists: next.partners.contains_key(&account.partner),
        withdrawn: note.withdrawn.partners.contains(&account.partner),
    }];
    macro_rules! list {
        ($($section:ident)*) => {$(
            references.extend(account.$section.iter().map(|name| Reference {
                field: format!("{}.{name}", stringify!($section)),
                section: stringify!($section),
                name: name.to_string(),
                exists: next.$section.contains_key(name),
                withdrawn: note.withdrawn.$section.contains(name),
            }));
        )*};
    }
    list!(models services);
    references
}

impl Reference {
    /// Creates the finding about a broken reference. It is located at the account if the note
    /// contains the account, and otherwise at the withdrawal of the entry that the account uses.
    fn to_finding(&self, account: &id::Account, note: &Note) -> Finding {
        let Self { field, section, name, withdrawn, .. } = self;
        let Some(part) = find_part(note, account) else {
            let path = format!("withdrawn.{section}.{name}");
            return Finding::at(path, format!("account {account} still uses it"));
        };
        let why = if *withdrawn { "is withdrawn by the same note" } else { "does not exist" };
        Finding::at(format!("{part}.accounts.{account}.{field}"), format!("{name} {why}"))
    }
}

/// Checks that no two accounts have the same token.
pub(crate) fn check_tokens(next: &Configuration, note: &Note, findings: &mut Vec<Finding>) {
    let mut accounts_by_token: BTreeMap<&str, &id::Account> = BTreeMap::new();
    for (name, account) in &next.accounts {
        let Some(other) = accounts_by_token.insert(&account.token_digest, name) else {
            continue;
        };
        // At least one of the two accounts is in the note, because the current configuration is
        // valid.
        let pairs = [(name, other), (other, name)];
        for (name, other) in pairs {
            if let Some(part) = find_part(note, name) {
                let field = format!("{part}.accounts.{name}.token_digest");
                findings.push(Finding::at(field, format!("is the token of account {other}")));
                break;
            }
        }
    }
}

/// Returns the section of the note that contains the account.
fn find_part(note: &Note, name: &id::Account) -> Option<&'static str> {
    if note.added.accounts.contains_key(name) {
        Some("added")
    } else if note.changed.accounts.contains_key(name) {
        Some("changed")
    } else {
        None
    }
}

/// Checks that at least one operator remains. Without any operator the token in the nodes'
/// settings, which is only meant for the first note, would become valid again.
pub(crate) fn check_operators(
    present: &Configuration,
    next: &Configuration,
    findings: &mut Vec<Finding>,
) {
    if next.operators.is_empty() && !present.operators.is_empty() {
        let message = "no operator would remain, so no further note could be accepted";
        findings.push(Finding::at("withdrawn.operators", message));
    }
}

/// Checks that the configuration fits into one value of the platform's key-value service.
pub(crate) fn check_size(next: &Configuration, findings: &mut Vec<Finding>) {
    let bytes = next.json_size();
    if bytes > MAX_SIZE {
        let message = format!(
            "the configuration would have {bytes} bytes; the platform holds at most {MAX_SIZE}"
        );
        findings.push(Finding::at(hickory_document::ROOT, message));
    }
}
