//! Release notes: accept, find and compare.

use crate::client::{Client, Silence, read_document};
use crate::failure::{Failure, read_problem};
use crate::print;
use hickory_admin::view;
use hickory_release::configuration::Configuration;
use hickory_release::diff::diff_configurations;
use hickory_release::note::{Draft, Note, apply_note, parse_draft};
use hickory_unit::id;
use std::path::Path;
use std::time::{Duration, Instant};

/// Rounds over all nodes before a command gives up.
const ROUNDS: usize = 2;

/// How long a node may take to have in force what another one accepted.
const IN_FORCE: Duration = Duration::from_secs(8);

/// Between two reads of the configuration while it is not there yet.
const PAUSE: Duration = Duration::from_millis(50);

/// Accepts the note in a file.
pub(crate) fn run(client: &Client, file: &Path, json: bool) -> Result<(), Failure> {
    let text = print::read_input(file)?;
    let name = file.display().to_string();
    let note = parse_draft(&text)
        .map_err(|findings| Failure::Invalid { file: name.clone(), findings })?
        .note;
    let operation = match note.operation.is_empty() {
        true => draw_operation(),
        false => note.operation,
    };
    let accepted = send(client, &text, &operation, note.against, &name)?;
    print::print_accepted(&accepted, json);
    Ok(())
}

/// Says whether an operation was accepted.
pub(crate) fn find(client: &Client, operation: &str, json: bool) -> Result<(), Failure> {
    let accepted: view::Accepted = client.get(&operation_path(operation))?;
    print::print_accepted(&accepted, json);
    Ok(())
}

/// Shows what the note in a file would change.
pub(crate) fn diff(client: &Client, file: &Path, json: bool) -> Result<(), Failure> {
    let text = print::read_input(file)?;
    let name = file.display().to_string();
    let invalid = |findings| Failure::Invalid { file: name.clone(), findings };
    let Draft { note, locations } = parse_draft(&text).map_err(invalid)?;
    let present = read_configuration(client)?;
    if note.against != present.version {
        let detail =
            format!("the note is against {}, present is {}", note.against, present.version);
        return Err(Failure::Conflict { present: Some(present.version), detail });
    }
    let next = apply_note(&present, &note).map_err(|mut findings| {
        locations.locate(&mut findings);
        invalid(findings)
    })?;
    print::print_changes(&diff_configurations(&present, &next), json);
    Ok(())
}

/// The configuration in force.
pub(crate) fn read_configuration(client: &Client) -> Result<Configuration, Failure> {
    client.get("/v1/admin/configuration")
}

/// Sends a note that was built here.
pub(crate) fn send_note(client: &Client, note: &Note) -> Result<view::Accepted, Failure> {
    let text = serde_json::to_string(note).map_err(|error| Failure::Local(error.to_string()))?;
    send(client, &text, &note.operation, note.against, "note")
}

/// Sends a note to the first node that takes it.
///
/// A write may take effect though its answer is lost. Sent again blindly, the
/// note would meet its own version and the operator would be told of a
/// conflict with nobody. The operation's id is read back first; where it is
/// not found the note goes to the next node under the same id, which the
/// service's compare-and-swap lets in at most once.
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
    for (index, node) in nodes.iter().cycle().take(nodes.len() * ROUNDS).enumerate() {
        // Only a lost note needs a second round: all others are told at once
        // that nothing was done.
        if index >= nodes.len() && !lost {
            break;
        }
        if lost && let Some(accepted) = read_back(client, operation) {
            return Ok(accepted);
        }
        match client.post(*node, "/v1/admin/releases", text, operation) {
            Ok(Ok(answer)) => return read_document(&answer),
            Ok(Err(problem)) => match read_problem(*problem, file) {
                Failure::Unknown { detail, .. } => {
                    lost = true;
                    reasons.push(format!("{node}: {detail}"));
                }
                failure @ Failure::Unavailable(_) => unavailable = Some(failure),
                Failure::Conflict { present: Some(version), detail } if lost => {
                    let version = later_version(version, against);
                    return settle_conflict(client, operation, version, detail);
                }
                failure => return Err(failure),
            },
            Err(Silence::NotSent(reason)) => reasons.push(format!("{node}: {reason}")),
            Err(Silence::Lost(reason)) => {
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

/// A conflict after a lost answer may be one with the very note that was
/// lost: the configuration that the node met has its operation then.
fn settle_conflict(
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

/// The version to wait for after a conflict: a node that lost a race may tell
/// of the version that it had read before.
pub(crate) fn later_version(told: id::Release, against: id::Release) -> id::Release {
    if told == against { id::Release(told.0.saturating_add(1)) } else { told }
}

/// The configuration once a node has `version` in force: the one that told of
/// a conflict read it from the platform, and nodes follow within seconds.
pub(crate) fn await_version(
    client: &Client,
    version: id::Release,
) -> Result<Configuration, Failure> {
    let end = Instant::now() + IN_FORCE;
    loop {
        let present = read_configuration(client)?;
        if present.version >= version {
            return Ok(present);
        }
        if Instant::now() >= end {
            let detail = format!("version {version} is not in force yet; nothing was done");
            return Err(Failure::Conflict { present: Some(version), detail });
        }
        std::thread::sleep(PAUSE);
    }
}

fn read_back(client: &Client, operation: &str) -> Option<view::Accepted> {
    client.get(&operation_path(operation)).ok()
}

fn operation_path(operation: &str) -> String {
    format!("/v1/admin/releases/{operation}")
}

fn draw_operation() -> String {
    uuid::Uuid::now_v7().to_string()
}

/// A note that changes nothing yet.
pub(crate) fn draw_note(against: id::Release) -> Note {
    Note { against, operation: draw_operation(), ..Note::default() }
}
