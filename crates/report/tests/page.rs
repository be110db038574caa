//! The page and how it is written to a file.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod log;

use hickory_report::atomic_file;
use hickory_report::page::render_page;
use log::{answer, line, sum_up};
use serde_json::json;
use std::fs;
use std::path::{Path, PathBuf};

/// Returns a log with data for each plot.
fn write_log() -> String {
    let placed = json!({ "request": "l", "target_id": "i-1", "helpers": "i-2", "part_ms": 700,
        "prompt": 90_000, "age_ms": 20 });
    let refused = json!({ "request": "r", "reason": "overloaded", "status": 503, "ran": "no", "prompt": 90_000,
        "wait_ms": 25, "idle": 4 });
    answer(0, json!({}))
        + &answer(2_000, json!({ "first_ms": 500, "pause_ms": 400, "request": "<late&1>" }))
        + &line(1_000, "placed", placed)
        + &line(3_000, "refused: all targets are busy", refused)
        + &line(3_000, "attempt failed: stalled", json!({ "target_id": "i-2" }))
        + &line(3_000, "peer lost", json!({ "peer": "entry-2" }))
}

#[test]
fn a_page_has_its_tables_and_plots() {
    let page = render_page(&sum_up(write_log())).unwrap();
    for title in [
        "Worst steps",
        "Outcomes by size",
        "Outcomes: to 1 Ki",
        "Outcomes: to 256 Ki",
        "Predicted against real first token",
        "First tokens over time",
        "Waits over time",
        "Pauses above the limit",
        "Occupancy of engines: short prompts",
        "Occupancy of engines: long prompts",
        "Refusals by reason",
        "State at refusals",
        "Answers by sends",
        "Failed attempts over time",
        "Node events",
    ] {
        assert!(page.contains(title), "{title}");
    }
    // Two sizes, two of first tokens, waits, pauses, two of occupancy, attempts.
    assert_eq!(page.matches("<svg").count(), 9);
    assert_eq!(page.matches("</svg>").count(), 9);
    for series in ["in time", "late", "refused", "real, p95", "wait, p95", "over by, max"] {
        assert!(page.contains(&format!("\n{series}\n</text>")), "{series}");
    }
    for engine in ["i-1", "i-2"] {
        let labels = page.matches(&format!("\n{engine}\n</text>")).count();
        assert_eq!(labels, 2, "{engine} names its row in both plots");
    }
}

/// The page must work without network access, and it contains names that callers
/// choose, which must not become markup.
#[test]
fn a_page_has_no_external_resources_and_escapes_names() {
    let page = render_page(&sum_up(write_log())).unwrap();
    for part in ["<script", "<link", "<img", "src=", "href=", "url(", "@import", "<late"] {
        assert!(!page.contains(part), "{part}");
    }
    assert!(page.contains("&lt;late&amp;1&gt;"));
}

#[test]
fn an_empty_page_says_so() {
    let page = render_page(&sum_up("")).unwrap();
    assert!(page.contains("Nothing to show"));
    assert!(!page.contains("<svg"));
    assert!(page.ends_with("</html>"));
}

#[test]
fn engines_that_are_not_drawn_are_counted() {
    let log: String =
        (0..45).map(|n| answer(0, json!({ "target_id": format!("i-{n}") }))).collect();
    let page = render_page(&sum_up(log)).unwrap();
    assert!(page.contains("Not drawn: 5 engines with less prefill time."));
}

/// One late request among a thousand in time is too few for a visible bar; it must
/// be shown by a line of fixed width.
#[test]
fn a_few_bad_outcomes_among_many_are_visible() {
    let log = answer(0, json!({})).repeat(1_000);
    let line = "<polyline fill=\"none\" opacity=\"1\" stroke=\"#E6AA28\" stroke-width=\"2\"";
    assert!(!render_page(&sum_up(&log)).unwrap().contains(line));
    let log = log + &answer(0, json!({ "first_ms": 301 }));
    assert!(render_page(&sum_up(&log)).unwrap().contains(line));
}

/// A temporary directory of a test, which is removed on drop.
struct Scratch(PathBuf);

impl Scratch {
    fn open(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("hickory-report-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn names(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.0).unwrap();
        entries.map(|entry| entry.unwrap().file_name().into_string().unwrap()).collect()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // An error leaves a directory in the system's temporary folder, which is fine.
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_file_is_written_atomically() {
    let scratch = Scratch::open("save");
    let page = scratch.0.join("page.html");
    atomic_file::write(&page, "first").unwrap();
    atomic_file::write(&page, "second").unwrap();
    assert_eq!(fs::read_to_string(&page).unwrap(), "second");
    assert_eq!(scratch.names(), ["page.html"]);

    let taken = scratch.0.join("taken");
    fs::create_dir(&taken).unwrap();
    atomic_file::write(&taken, "third").unwrap_err();
    atomic_file::write(&scratch.0.join("nowhere/page.html"), "third").unwrap_err();
    atomic_file::write(&page.join("below"), "third").unwrap_err();
    atomic_file::write(Path::new("/"), "third").unwrap_err();
    let mut names = scratch.names();
    names.sort();
    assert_eq!(names, ["page.html", "taken"]);
    assert_eq!(fs::read_to_string(&page).unwrap(), "second");
}
