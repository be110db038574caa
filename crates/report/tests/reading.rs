//! Parsing of logs, and skipping of unreadable lines.

#[allow(dead_code, reason = "each test file uses a part of it")]
mod log;

use hickory_report::read::{MAX_LINE_BYTES, read_lines};
use hickory_report::tally::Tally;
use log::{answer, line, sum_up};
use serde_json::json;
use std::io::{self, BufReader, Read};

#[test]
fn unreadable_lines_are_counted_with_their_places_and_skipped() {
    let good = answer(0, json!({}));
    let long = format!("{}{}", " ".repeat(MAX_LINE_BYTES), good);
    let cases = [
        ("not a log line".to_owned(), "not a JSON log line"),
        ("{\"time\":".to_owned(), "not a JSON log line"),
        ("[]".to_owned(), "not a JSON log line"),
        (good.replace("\"message\":\"answered\",", ""), "missing field `message`"),
        (good.replace("2026-06-01T", "2026-06-41T"), "not a JSON log line"),
        (line(0, "refused: x", json!({ "status": 503, "ran": "no" })), "field reason is missing"),
        (good.replace("\"status\":\"200\",", ""), "field status is missing"),
        (answer(0, json!({ "first_ms": "soon" })), "field first_ms is not a number"),
        (answer(0, json!({ "age_ms": -1 })), "field age_ms is not a number"),
        (answer(0, json!({ "wait_ms": 1.5 })), "field wait_ms is not a number"),
        (answer(0, json!({ "part_ms": u64::MAX })), "field part_ms is not a number"),
        (good.replace("\"time\":", "\"when\":"), "field time is missing"),
        (long, "longer than 65536 bytes"),
    ];
    for (bad, fault) in cases {
        let summary = sum_up(format!("{good}\n{}\n{good}", bad.trim_end()));
        assert_eq!((summary.lines.read, summary.lines.skipped), (2, 1), "{bad:.200}");
        let [listed] = &summary.lines.faults[..] else { panic!("{:?}", summary.lines.faults) };
        assert!(listed.starts_with("a.log:3: ") && listed.contains(fault), "{listed}");
    }
}

#[test]
fn lines_are_read_despite_surrounding_text() {
    let good = answer(0, json!({}));
    let longest = good.trim_end();
    let fill = " ".repeat(MAX_LINE_BYTES - longest.len());
    for text in [
        String::new(),
        format!("  12.5 entry-1 {good}"),
        good.replace('\n', "\r\n"),
        good.trim_end().to_owned(),
        format!("{longest}{fill}\n"),
        good.replace("\"first_ms\":\"100\"", "\"first_ms\":100"),
    ] {
        let summary = sum_up(&text);
        let expected = u64::from(!text.is_empty());
        assert_eq!((summary.lines.read, summary.lines.skipped), (expected, 0), "{text:.300}");
    }
}

#[test]
fn invalid_utf8_is_an_unreadable_line() {
    let log = [b"{\"message\":\"\xff\"}\n".as_slice(), answer(0, json!({})).as_bytes()].concat();
    let summary = sum_up(log);
    assert_eq!((summary.lines.read, summary.lines.skipped), (1, 1));
}

#[test]
fn unknown_fields_and_messages_are_counted() {
    let odd = answer(0, json!({ "colour": "red" }));
    let log = format!("{odd}{odd}{}", line(0, "something new", json!({ "shape": "round" })));
    let summary = sum_up(log);
    assert_eq!((summary.lines.read, summary.lines.skipped, summary.lines.other), (3, 0, 1));
    assert_eq!(summary.lines.unknown.len(), 1);
    assert_eq!(summary.lines.unknown["colour"], "2 times, first at a.log:1");
}

#[test]
fn dropped_lines_are_reported() {
    let dropped = "{\"level\":\"WARN\",\"message\":\"37 log lines were dropped\"}\n";
    let summary = sum_up(dropped.repeat(2) + &answer(0, json!({})));
    assert_eq!((summary.lines.dropped, summary.series.len()), (74, 1));
}

/// A log whose second read fails.
struct Breaking(bool);

impl Read for Breaking {
    fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        if std::mem::replace(&mut self.0, true) {
            return Err(io::Error::other("the disk is gone"));
        }
        let text = answer(0, json!({}));
        buffer[..text.len()].copy_from_slice(text.as_bytes());
        Ok(text.len())
    }
}

#[test]
fn a_read_error_is_returned() {
    let read = read_lines(BufReader::new(Breaking(false)), "a.log", &mut Tally::default());
    assert_eq!(read.unwrap_err().to_string(), "the disk is gone");
}
