//! Release notes: accepting, finding and comparing them.

use crate::client::{Client, NoAnswer, read_document};
use crate::failure::{Failure, failure_of};
use crate::print;
use hickory_admin::view;
use hickory_release::configuration::Configuration;
use hickory_release::diff::diff_configurations;
use hickory_release::note::{Draft, Note, apply_note, parse_draft};
use hickory_unit::id;
use std::path::Path;
use std::time::{Duration, Instant};

/// Maximum number of rounds over all nodes when sending a note.
const MAX_ROUNDS: usize = 2;

/// Timeout until a version that one node accepted is in force at another.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(8);

/// Poll interval of the configuration while waiting for a version.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Sends the note in a file to be accepted.
pub(crate) fn run(client: &Client, file: &Path, json: bool) -> Result<(), Failure> {
    let text = print::read_input(file)?;
    let name = file.display().to_string();
    let note = parse_draft(&text)
        .map_err(|findings| Failure::Invalid { file: name.clone(), findings })?
        .note;
    let operation = match note.operation.is_empty() {
        true => new_operation_id(),
        false => note.operation,
    };
    let accepted = send(client, &text, &operation, note.against, &name)?;
    print::print_accepted(&accepted, json);
    Ok(())
}

/// Shows whether an operation was accepted, and as which version.
pub(crate) fn find(client: &Client, operation: &str, json: bool) -> Result<(), Failure> {
    let accepted: view::Accepted = client.get(&operation_path(operation))?;
    print::print_accepted(&accepted, json);
    Ok(())
}

/// Shows the changes that the note in a file would make.
pub(crate) fn diff(client: &Client, file: &Path, json: bool) -> Result<(), Failure> {
    let text = print::read_input(file)?;
    let name = file.display().to_string();
    let invalid = |findings| Failure::Invalid { file: name.clone(), findings };
    let Draft { note, locations } = parse_draft(&text).map_err(invalid)?;
    let present = read_configuration(client)?;
    if note.against != present.version {
        let detail = format!(
            "the note is against {}, the current version is {}",
            note.against, present.version
        );
        return Err(Failure::Conflict { present: Some(present.version), detail });
    }
    let next = apply_note(&present, &note).map_err(|mut findings| {
        locations.locate(&mut findings);
        invalid(findings)
    })?;
    print::print_changes(&diff_configurations(&present, &next), json);
    Ok(())
}

/// Reads the configuration in force.
pub(crate) fn read_configuration(client: &Client) -> Result<Configuration, Failure> {
    client.get("/v1/admin/configuration")
}

/// Sends a note that was built by a command.
pub(crate) fn send_note(client: &Client, note: &Note) -> Result<view::Accepted, Failure> {
    let text = serde_json::to_string(note).map_err(|error| Failure::Local(error.to_string()))?;
    send(client, &text, &note.operation, note.against, "note")
}

/// Sends a note to the first node that accepts it.
///
/// A write may take effect although its answer is lost. A plain retry would then
/// conflict with the note's own version and report a conflict that no other
/// operator caused. Therefore the operation's id is read back before a retry. If it
/// is not found, the note is sent to the next node under the same id, and the
/// compare-and-swap of the configuration accepts it at most once.
fn send(
    client: &Client,
    text: &str,
    operation: &str,
    against: id::Release,
    file: &str,
) -> Result<view::Accepted, Failure> {
    let mut reasons = Vec::new();
    let mut lost = false;
    let mut unavailable = None;
    let nodes = client.nodes();
    for (index, node) in nodes.iter().cycle().take(nodes.len() * MAX_ROUNDS).enumerate() {
        // Only a note whose answer was lost needs a second round. In all other cases
        // nothing was done, which is reported at once.
        if index >= nodes.len() && !lost {
            break;
        }
        if lost && let Some(accepted) = read_back(client, operation) {
            return Ok(accepted);
        }
        match client.post(*node, "/v1/admin/releases", text, operation) {
            Ok(Ok(answer)) => return read_document(&answer),
            Ok(Err(problem)) => match failure_of(*problem, file) {
                Failure::Unknown { detail, .. } => {
                    lost = true;
                    reasons.push(format!("{node}: {detail}"));
                }
                failure @ Failure::Unavailable(_) => unavailable = Some(failure),
                Failure::Conflict { present: Some(version), detail } if lost => {
                    let version = version_to_await(version, against);
                    return resolve_conflict(client, operation, version, detail);
                }
                failure => return Err(failure),
            },
            Err(NoAnswer::NotSent(reason)) => reasons.push(format!("{node}: {reason}")),
            Err(NoAnswer::Lost(reason)) => {
                lost = true;
                reasons.push(format!("{node}: {reason}"));
            }
        }
    }
    if lost {
        return read_back(client, operation).ok_or_else(|| Failure::Unknown {
            operation: operation.to_owned(),
            detail: format!("the note may have been accepted ({})", reasons.join("; ")),
        });
    }
    Err(unavailable.unwrap_or(Failure::Unreachable(reasons)))
}

/// Resolves a conflict after a lost answer. The conflict may be with the same note;
/// in that case the current configuration lists its operation as accepted.
fn resolve_conflict(
    client: &Client,
    operation: &str,
    version: id::Release,
    detail: String,
) -> Result<view::Accepted, Failure> {
    let present = await_version(client, version)?;
    match present.find_operation(operation) {
        Some(version) => {
            Ok(view::Accepted { version, operation: operation.to_owned(), repeated: true })
        }
        None => Err(Failure::Conflict { present: Some(present.version), detail }),
    }
}

/// Returns the version to wait for after a conflict. A node that lost a race may
/// report the version that it had read before the race.
pub(crate) fn version_to_await(reported: id::Release, against: id::Release) -> id::Release {
    if reported == against { id::Release(reported.0.saturating_add(1)) } else { reported }
}

/// Waits until a node has `version` in force and returns its configuration. The node
/// that reported the conflict read the version from the platform, and other nodes
/// follow within seconds.
pub(crate) fn await_version(
    client: &Client,
    version: id::Release,
) -> Result<Configuration, Failure> {
    let end = Instant::now() + IN_FORCE_TIMEOUT;
    loop {
        let present = read_configuration(client)?;
        if present.version >= version {
            return Ok(present);
        }
        if Instant::now() >= end {
            let detail = format!("version {version} is not in force yet; nothing was done");
            return Err(Failure::Conflict { present: Some(version), detail });
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn read_back(client: &Client, operation: &str) -> Option<view::Accepted> {
    client.get(&operation_path(operation)).ok()
}

fn operation_path(operation: &str) -> String {
    format!("/v1/admin/releases/{operation}")
}

fn new_operation_id() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// Returns a note without changes, with a new operation id.
pub(crate) fn new_note(against: id::Release) -> Note {
    Note { against, operation: new_operation_id(), ..Note::default() }
}
