//! Output of results and failures, and input of files.

use crate::failure::Failure;
use hickory_admin::view;
use hickory_release::diff::Change;
use hickory_unit::id;
use serde::Serialize;
use std::io::Read;
use std::path::Path;

/// Prints a document as JSON.
pub(crate) fn print_json<T: Serialize>(document: &T) {
    println!("{}", serde_json::to_string_pretty(document).unwrap_or_default());
}

/// Prints an accepted note.
pub(crate) fn print_accepted(accepted: &view::Accepted, json: bool) {
    if json {
        print_json(accepted);
        return;
    }
    let view::Accepted { version, operation, repeated } = accepted;
    if *repeated {
        println!("operation {operation} was accepted before, as version {version}");
    } else {
        println!("operation {operation} is accepted as version {version}");
    }
}

/// Prints the changes between two configurations.
pub(crate) fn print_changes(changes: &[Change], json: bool) {
    if json {
        print_json(&changes);
    } else if changes.is_empty() {
        println!("nothing changes");
    } else {
        changes.iter().for_each(|change| println!("{change}"));
    }
}

/// The result of a zone command.
#[derive(Serialize)]
struct ZoneChange<'a> {
    zone: &'a str,
    out: bool,
    version: id::Release,
    conflicts: &'a [id::Release],
}

/// Prints the result of a zone command; `conflicts` holds the versions that were
/// accepted meanwhile.
pub(crate) fn print_zone(
    zone: &str,
    out: bool,
    version: id::Release,
    conflicts: &[id::Release],
    json: bool,
) {
    if json {
        print_json(&ZoneChange { zone, out, version, conflicts });
        return;
    }
    for conflict in conflicts {
        println!(
            "version {conflict} was accepted meanwhile and did not change zone {zone}; retried"
        );
    }
    let state = if out { "out of service" } else { "in service" };
    println!("zone {zone} is {state} in version {version}");
}

/// A failure as JSON.
#[derive(Serialize)]
struct FailureDocument<'a> {
    failure: &'a str,
    code: u8,
    detail: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    present: Option<id::Release>,
    #[serde(skip_serializing_if = "<[_]>::is_empty")]
    findings: &'a [hickory_unit::finding::Finding],
}

/// Prints a failure to standard error.
pub(crate) fn print_failure(failure: &Failure, json: bool) {
    let findings: &[_] = match failure {
        Failure::Invalid { findings, .. } => findings,
        _ => &[],
    };
    let present = match failure {
        Failure::Conflict { present, .. } => *present,
        _ => None,
    };
    if json {
        let document = FailureDocument {
            failure: failure.name(),
            code: failure.code(),
            detail: failure.detail(),
            present,
            findings,
        };
        eprintln!("{}", serde_json::to_string_pretty(&document).unwrap_or_default());
        return;
    }
    if let Failure::Invalid { file, .. } = failure {
        findings.iter().for_each(|finding| eprintln!("{}", finding.in_file(file)));
    }
    eprintln!("hickory: {}: {}", failure.name(), failure.detail());
}

/// Reads a file, or standard input if the path is `-`.
pub(crate) fn read_input(file: &Path) -> Result<String, Failure> {
    let local = |error| Failure::Local(format!("{}: {error}", file.display()));
    if file != Path::new("-") {
        return std::fs::read_to_string(file).map_err(local);
    }
    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text).map_err(local)?;
    Ok(text)
}
