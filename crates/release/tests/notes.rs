//! Snapshot tests of the notes under `data/`.
//!
//! `data/shape` contains notes that are invalid in themselves. The notes in `data/against` are
//! applied to the configuration created by `data/present.jsonc`.

use hickory_release::accept::{Acceptance, Rejection, accept_note};
use hickory_release::configuration::Configuration;
use hickory_release::diff::diff_configurations;
use hickory_release::note::{Draft, apply_note, parse_draft};
use hickory_unit::finding::Finding;
use std::fmt::Write;
use std::path::PathBuf;

fn data(path: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data").join(path)
}

/// Returns the documents of a directory with their names, sorted.
fn read_documents(directory: &str) -> Vec<(String, String)> {
    let mut documents: Vec<(String, String)> = std::fs::read_dir(data(directory))
        .unwrap()
        .map(|entry| entry.unwrap().path())
        .map(|path| {
            let name = path.file_name().unwrap().to_string_lossy().into_owned();
            (name, std::fs::read_to_string(path).unwrap())
        })
        .collect();
    documents.sort();
    documents
}

fn read_present() -> Configuration {
    let text = std::fs::read_to_string(data("present.jsonc")).unwrap();
    let Draft { note, .. } = parse_draft(&text).unwrap();
    match accept_note(&Configuration::default(), &note).unwrap() {
        Acceptance::NewConfiguration(next) => *next,
        Acceptance::Repeated(version) => panic!("repeated as {version}"),
    }
}

fn write_findings(report: &mut String, name: &str, findings: &[Finding]) {
    for finding in findings {
        writeln!(report, "  {}", finding.in_file(&name)).unwrap();
    }
}

#[test]
fn invalid_notes_report_all_findings() {
    let mut report = String::new();
    for (name, text) in read_documents("shape") {
        writeln!(report, "{name}").unwrap();
        write_findings(&mut report, &name, &parse_draft(&text).unwrap_err());
    }
    insta::assert_snapshot!(report);
}

#[test]
fn notes_are_checked_against_a_configuration() {
    let present = read_present();
    let mut report = String::new();
    for (name, text) in read_documents("against") {
        let Draft { note, locations } = parse_draft(&text).unwrap();
        write!(report, "{name}: ").unwrap();
        match accept_note(&present, &note) {
            Ok(Acceptance::NewConfiguration(next)) => {
                writeln!(report, "version {}", next.version).unwrap();
                for change in diff_configurations(&present, &next) {
                    writeln!(report, "  {change}").unwrap();
                }
            }
            Ok(Acceptance::Repeated(version)) => writeln!(report, "was version {version}").unwrap(),
            Err(Rejection::Conflict(version)) => {
                writeln!(report, "conflict, present is {version}").unwrap();
            }
            Err(Rejection::Invalid(mut findings)) => {
                writeln!(report, "invalid").unwrap();
                locations.locate(&mut findings);
                write_findings(&mut report, &name, &findings);
            }
        }
    }
    insta::assert_snapshot!(report);
}

// Guards against partial application: a note with one invalid entry must not apply its valid
// entries either.
#[test]
fn nothing_of_an_invalid_note_is_applied() {
    let present = read_present();
    let before = present.clone();
    let text = r#"{ "against": 1, "operation": "op-half",
        "added": { "zones": { "nairobi-c": {} } }, "withdrawn": { "zones": ["atlantis"] } }"#;
    let note = parse_draft(text).unwrap().note;
    assert!(apply_note(&present, &note).is_err());
    assert_eq!(present, before);
}

// Guards against reporting a repeated note as a conflict. If the answer to a note was lost and
// other notes were accepted since, sending it again must return the version that it created, as
// long as its operation is kept.
#[test]
fn a_repeated_operation_returns_its_version() {
    let mut present = read_present();
    let note = |version: u64| {
        let text = format!(
            r#"{{ "against": {version}, "operation": "op-{version}",
                 "changed": {{ "partners": {{ "mawe": {{ "share": {} }} }} }} }}"#,
            version + 1
        );
        parse_draft(&text).unwrap().note
    };
    for version in 1..=200 {
        present = apply_note(&present, &note(version)).unwrap();
    }
    assert_eq!(present.version.0, 201);
    assert_eq!(present.operations.len(), 64);
    for version in 137..=200 {
        let accepted = accept_note(&present, &note(version)).unwrap();
        assert_eq!(accepted, Acceptance::Repeated(hickory_unit::id::Release(version + 1)));
    }
    let forgotten = accept_note(&present, &note(136)).unwrap_err();
    assert_eq!(forgotten, Rejection::Conflict(present.version));
}
