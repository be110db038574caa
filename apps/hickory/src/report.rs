//! The `report` command: summarizes the nodes' logs as a page and as JSON.

use crate::args::Report;
use crate::failure::Failure;
use crate::print::print_json;
use hickory_report::atomic_file;
use hickory_report::page::render_page;
use hickory_report::read::read_lines;
use hickory_report::summary::Summary;
use hickory_report::tally::Tally;
use std::fmt::Display;
use std::fs::{self, File};
use std::io::{self, BufReader};
use std::path::Path;

/// Writes the page, prints the summary as JSON, or both.
pub(crate) fn run(options: &Report, json: bool) -> Result<(), Failure> {
    if options.out.is_none() && !json {
        return Err(Failure::Usage("nothing to do: give --out FILE, --json, or both".into()));
    }
    if let Some(out) = &options.out {
        check_output_path(out, options)?;
    }
    let mut tally = Tally::default();
    for log in &options.logs {
        tally_log(log, &mut tally).map_err(|error| file_failure(log, error))?;
    }
    if let Some(fault) = tally.first_problem().filter(|_| options.strict) {
        return Err(Failure::Local(fault));
    }
    let summary = Summary::of(&tally);
    if let Some(out) = &options.out {
        let page = render_page(&summary).map_err(|error| file_failure(out, error))?;
        atomic_file::write(out, &page).map_err(|error| file_failure(out, error))?;
    }
    match (&options.out, json) {
        (_, true) => print_json(&summary),
        (Some(out), false) => println!(
            "{}: {} lines read, {} could not be read",
            out.display(),
            summary.lines.read,
            summary.lines.skipped
        ),
        (None, false) => {}
    }
    Ok(())
}

fn file_failure(path: &Path, error: impl Display) -> Failure {
    Failure::Local(format!("{}: {error}", path.display()))
}

/// Fails if the page would overwrite one of the logs.
fn check_output_path(out: &Path, options: &Report) -> Result<(), Failure> {
    // A file that doesn't exist can't be one of the logs.
    let Ok(out_path) = fs::canonicalize(out) else { return Ok(()) };
    let is_log = |log: &&std::path::PathBuf| fs::canonicalize(log).is_ok_and(|log| log == out_path);
    match options.logs.iter().find(is_log) {
        Some(_) => {
            Err(Failure::Usage(format!("{}: the output file is one of the logs", out.display())))
        }
        None => Ok(()),
    }
}

fn tally_log(log: &Path, tally: &mut Tally) -> io::Result<()> {
    if log == Path::new("-") {
        return read_lines(io::stdin().lock(), "-", tally);
    }
    read_lines(BufReader::new(File::open(log)?), &log.display().to_string(), tally)
}
