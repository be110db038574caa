//! Checks of files without a fleet.

use crate::failure::Failure;
use crate::print::{print_json, read_input};
use hickory_release::configuration::Configuration;
use hickory_release::note::{Draft, apply_note, parse_draft};
use hickory_unit::finding::Finding;
use serde::Serialize;
use std::path::Path;

/// The result of a check without errors.
#[derive(Serialize)]
struct Passed {
    file: String,
    warnings: Vec<Finding>,
}

/// Checks the settings of a node.
pub(crate) fn check_settings(file: &Path, json: bool) -> Result<(), Failure> {
    let check = hickory_settings::check_settings(&read_input(file)?);
    let name = file.display().to_string();
    if check.settings.is_none() {
        if !json {
            print_warnings(&name, &check.warnings);
        }
        return Err(Failure::Invalid { file: name, findings: check.findings });
    }
    print_passed(name, check.warnings, json);
    Ok(())
}

/// Checks a release note, also against a configuration if one is given.
pub(crate) fn check_release(
    file: &Path,
    configuration: Option<&Path>,
    json: bool,
) -> Result<(), Failure> {
    let name = file.display().to_string();
    let invalid = |findings| Failure::Invalid { file: name.clone(), findings };
    let Draft { note, locations } = parse_draft(&read_input(file)?).map_err(invalid)?;
    if let Some(path) = configuration {
        let present: Configuration = serde_json::from_str(&read_input(path)?)
            .map_err(|error| Failure::Local(format!("{}: {error}", path.display())))?;
        apply_note(&present, &note).map_err(|mut findings| {
            locations.locate(&mut findings);
            invalid(findings)
        })?;
        check_version(note.against, present.version)?;
    }
    print_passed(name, Vec::new(), json);
    Ok(())
}

fn check_version(
    against: hickory_unit::id::Release,
    present: hickory_unit::id::Release,
) -> Result<(), Failure> {
    if against == present {
        return Ok(());
    }
    let detail = format!("the note is against {against}, the configuration is {present}");
    Err(Failure::Conflict { present: Some(present), detail })
}

fn print_passed(file: String, warnings: Vec<Finding>, json: bool) {
    if json {
        print_json(&Passed { file, warnings });
        return;
    }
    print_warnings(&file, &warnings);
    println!("{file}: nothing wrong");
}

fn print_warnings(file: &str, warnings: &[Finding]) {
    warnings.iter().for_each(|warning| eprintln!("warning: {}", warning.in_file(&file)));
}
