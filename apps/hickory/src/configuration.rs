//! Checks of a configuration before it is sent.

use crate::args::{ConfigurationFile, Format};
use crate::print::print_json;
use hickory_adapter::check::{self, MAX_BYTES, Report};
use hickory_unit::finding;
use serde::Serialize;
use std::io::Read;
use std::path::Path;
use std::process::ExitCode;

/// The exit codes of this command.
const FOUND: u8 = 1;
const UNREADABLE: u8 = 2;

#[derive(Serialize)]
struct Document<'a> {
    file: String,
    #[serde(flatten)]
    report: &'a Report,
}

#[derive(Serialize)]
struct Failure<'a> {
    error: &'a str,
}

/// Checks a file, and prints what is wrong with it and what differs from the version in force.
pub(crate) fn run(options: &ConfigurationFile, json: bool) -> ExitCode {
    let json = json || options.format == Format::Json;
    let file = options.file.display().to_string();
    let report = match check_files(options) {
        Ok(report) => report,
        Err(error) => {
            match json {
                true => print_json(&Failure { error: &error }),
                false => eprintln!("hickory: {error}"),
            }
            return ExitCode::from(UNREADABLE);
        }
    };
    match json {
        true => print_json(&Document { file, report: &report }),
        false => {
            report.findings.iter().for_each(|finding| println!("{}", finding.in_file(&file)));
            report.changes.iter().for_each(|change| println!("{change}"));
            println!("{file}: {}", finding::count_text(&report.findings));
        }
    }
    match report.findings.is_empty() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(FOUND),
    }
}

fn check_files(options: &ConfigurationFile) -> Result<Report, String> {
    let text = read(&options.file)?;
    let failed = |error| format!("{}: {error}", options.file.display());
    let Some(against) = &options.against else { return check::check(&text).map_err(failed) };
    let present = read(against)?;
    check::check(&present).map_err(|error| format!("{}: {error}", against.display()))?;
    check::check_against(&text, &present).map_err(failed)
}

/// Reads a file, or standard input if the path is `-`, but not more than can be checked.
fn read(path: &Path) -> Result<String, String> {
    let failed = |error: std::io::Error| format!("{}: {error}", path.display());
    let mut bytes = Vec::new();
    let read = match path == Path::new("-") {
        true => std::io::stdin().take(MAX_BYTES + 1).read_to_end(&mut bytes),
        false => std::fs::File::open(path)
            .and_then(|file| file.take(MAX_BYTES + 1).read_to_end(&mut bytes)),
    };
    read.map_err(failed)?;
    if bytes.len() as u64 > MAX_BYTES {
        return Err(format!("{}: {}", path.display(), check::Unreadable::TooLarge));
    }
    String::from_utf8(bytes).map_err(|_| format!("{}: not valid UTF-8", path.display()))
}
