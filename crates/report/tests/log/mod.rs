//! Builds log lines in the format of the nodes.

use hickory_report::read::read_lines;
use hickory_report::summary::Summary;
use hickory_report::tally::Tally;
use serde_json::{Value, json};

/// Start time of the tests, a day at noon, in seconds of Unix time.
pub const NOON_S: i64 = 1_780_315_200;

/// Returns a line with a message and fields, `ms` milliseconds after noon.
pub fn line(ms: i64, message: &str, fields: Value) -> String {
    let time = chrono::DateTime::from_timestamp_millis(NOON_S * 1_000 + ms).unwrap();
    let mut line = json!({
        "time": time.to_rfc3339(),
        "level": "INFO",
        "message": message,
        "mdc": { "node": "entry-1" },
        "attributes": fields,
    });
    // Nodes write all values as strings.
    for value in line["attributes"].as_object_mut().unwrap().values_mut() {
        if !value.is_string() {
            *value = value.to_string().into();
        }
    }
    format!("{line}\n")
}

/// Returns the line of an answer in time, with some of its fields replaced.
pub fn answer(ms: i64, fields: Value) -> String {
    let mut all = json!({
        "request": "r-1", "route": "say", "target_id": "i-1", "status": 200, "sends": 1,
        "expected_ms": 80, "first_ms": 100, "goal_ms": 300, "wait_ms": 0, "pause_ms": 150,
        "pause_max_ms": 250, "short": true, "part_ms": 40, "prompt": 800, "engines": 1,
        "peers": 2, "config": 3, "age_ms": 400,
    });
    for (name, value) in fields.as_object().unwrap() {
        all[name] = value.clone();
    }
    line(ms, "answered", all)
}

/// Summarizes a log.
pub fn sum_up(log: impl AsRef<[u8]>) -> Summary {
    let mut tally = Tally::default();
    read_lines(log.as_ref(), "a.log", &mut tally).unwrap();
    Summary::of(&tally)
}
