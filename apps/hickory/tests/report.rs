//! The `report` command.

mod run;

use run::{run, run_on};
use std::fs::{self, File};
use std::path::PathBuf;

/// A temporary directory of a test, which is removed on drop.
struct Scratch(PathBuf);

impl Scratch {
    fn open(name: &str) -> Self {
        let name = format!("hickory-report-{name}-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    fn place(&self, name: &str) -> String {
        self.0.join(name).to_str().unwrap().to_owned()
    }

    fn is_empty(&self) -> bool {
        fs::read_dir(&self.0).unwrap().next().is_none()
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        // An error leaves a directory in the system's temporary folder, which is fine.
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// The log covers two seconds of three nodes, without most of the answers in time.
/// One node restarted while another stopped, and streams that arrived then were late.
#[test]
fn the_summary_is_printed_as_json() {
    let output = run(&["--json", "report", "report.log"], &[]);
    assert_eq!((output.code, output.stderr.as_str()), (Some(0), ""));
    insta::assert_snapshot!(output.stdout);
}

#[test]
fn the_page_and_the_json_show_the_same_numbers() {
    let scratch = Scratch::open("page");
    let page = scratch.place("page.html");
    let output = run(&["report", "report.log", "entry.log", "--out", &page], &[]);
    let expected = format!("{page}: 158 lines read, 1 could not be read\n");
    assert_eq!((output.code, output.stdout), (Some(0), expected), "{}", output.stderr);
    let text = fs::read_to_string(&page).unwrap();
    for part in ["<!DOCTYPE html>", "Worst steps", "a1-209", "<svg", "entry.log:4: not a JSON"] {
        assert!(text.contains(part), "{part}");
    }
    assert!(text.ends_with("</html>"));
    let both = run(&["--json", "report", "report.log", "--out", &page], &[]);
    assert_eq!(both.stdout, run(&["--json", "report", "report.log"], &[]).stdout);
}

#[test]
fn standard_input_is_read_as_a_file_is() {
    let log = || File::open(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/report.log")).unwrap();
    let from_file = run(&["--json", "report", "report.log"], &[]).stdout;
    for args in [&["--json", "report"][..], &["--json", "report", "-"]] {
        assert_eq!(run_on(log().into(), args, &[]).stdout, from_file);
    }
}

#[test]
fn an_empty_input_makes_an_empty_report() {
    let scratch = Scratch::open("empty");
    let page = scratch.place("page.html");
    let output = run(&["report", "--out", &page], &[]);
    assert_eq!(output.code, Some(0), "{output}");
    assert!(fs::read_to_string(&page).unwrap().contains("Nothing to show"));
}

/// A path that can't be read or written is named in the error, and no page is
/// written.
#[test]
fn bad_input_names_its_path_and_leaves_no_file() {
    let scratch = Scratch::open("bad");
    let log = fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/data/report.log"));
    let odd = std::env::temp_dir().join(format!("hickory-odd-{}.log", std::process::id()));
    let odd_log = log.unwrap().replacen("\"route\":", "\"colour\":\"red\",\"route\":", 1);
    fs::write(&odd, odd_log).unwrap();
    let odd_name = odd.to_str().unwrap();
    let page = scratch.place("page.html");
    let nowhere = scratch.place("nowhere/page.html");
    let directory = scratch.place("");
    let cases = [
        (&["report", "nowhere.log", "--out", &page][..], 1, "nowhere.log: No such file"),
        (&["report", "report.log", "nowhere.log", "--out", &page], 1, "nowhere.log: No such file"),
        (&["report", ".", "--out", &page], 1, ".: Is a directory"),
        (&["report", "report.log", "--out", &nowhere], 1, "nowhere/page.html: No such file"),
        (&["report", "report.log", "--out", &directory], 1, &directory),
        (&["report", "report.log", "--out", "/"], 1, "the path has no file name"),
        (&["report", "report.log"], 2, "give --out FILE, --json, or both"),
        (
            &["report", "report.log", "--out", "report.log"],
            2,
            "report.log: the output file is one of the logs",
        ),
        (
            &["report", "report.log", "--out", "./report.log"],
            2,
            "the output file is one of the logs",
        ),
        (
            &["report", "entry.log", "--strict", "--out", &page],
            1,
            "entry.log:4: not a JSON log line",
        ),
        (&["report", odd_name, "--strict", "--out", &page], 1, ": unknown field colour"),
        (&["--json", "report", "nowhere.log"], 1, "nowhere.log: No such file"),
        (&["--json", "report", "report.log", "--out", &nowhere], 1, "nowhere/page.html"),
    ];
    for (args, code, place) in cases {
        let output = run(args, &[]);
        assert_eq!((output.code, output.stdout.as_str()), (Some(code), ""), "{output}");
        assert!(output.stderr.contains(place), "{output}");
        assert!(scratch.is_empty(), "{output}");
    }
    let lenient = run(&["report", odd_name, "--out", &page], &[]);
    fs::remove_file(&odd).unwrap();
    assert_eq!(lenient.code, Some(0), "{lenient}");
    let text = fs::read_to_string(&page).unwrap();
    assert!(text.contains("unknown field colour: 1 times, first at"), "{odd_name}");
}
