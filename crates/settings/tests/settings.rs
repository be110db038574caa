//! Tests of the settings files under `data/`.

use hickory_settings::{Check, Error, Times, check_settings, open};
use std::fmt::Write;
use std::path::{Path, PathBuf};

fn data() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data")
}

#[test]
fn all_findings_and_warnings_are_reported() {
    let mut files: Vec<PathBuf> =
        std::fs::read_dir(data()).unwrap().map(|entry| entry.unwrap().path()).collect();
    files.sort();
    let mut report = String::new();
    for file in files {
        let name = file.file_name().unwrap().to_string_lossy().into_owned();
        let Check { settings, findings, warnings } =
            check_settings(&std::fs::read_to_string(&file).unwrap());
        assert_eq!(settings.is_some(), findings.is_empty(), "{name}");
        writeln!(report, "{name}: {}", if settings.is_some() { "good" } else { "bad" }).unwrap();
        for finding in findings {
            writeln!(report, "  {}", finding.in_file(&name)).unwrap();
        }
        for warning in warnings {
            writeln!(report, "  warning: {}", warning.in_file(&name)).unwrap();
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn all_settings_are_read() {
    insta::assert_debug_snapshot!(open(&data().join("whole.jsonc")).unwrap());
}

#[test]
fn omitted_settings_have_defaults() {
    let settings = open(&data().join("good.jsonc")).unwrap();
    assert_eq!(settings.times, Times::default());
    assert_eq!(settings.logs, Default::default());
    assert_eq!(settings.first_operator, None);
}

#[test]
fn an_error_names_the_file_on_each_line() {
    let file = data().join("contradictions.jsonc");
    let text = open(&file).unwrap_err().to_string();
    let mut lines = text.lines();
    assert_eq!(lines.next(), Some(format!("{}: 3 findings", file.display()).as_str()));
    assert!(lines.all(|line| line.starts_with(&format!("{}:", file.display()))), "{text}");
}

#[test]
fn a_missing_file_is_a_separate_error() {
    let error = open(Path::new("/nowhere/settings.jsonc")).unwrap_err();
    assert!(matches!(error, Error::Unreadable { .. }), "{error}");
}
