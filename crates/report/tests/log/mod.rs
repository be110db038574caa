//! Log lines as nodes write them.

use hickory_report::read::read_lines;
use hickory_report::summary::Summary;
use hickory_report::tally::Tally;
use serde_json::{Value, json};

/// The noon that tests begin at, in seconds of Unix time.
pub const NOON_S: i64 = 1_780_315_200;

/// A line of a message with fields, so many milliseconds after noon.
pub fn line(ms: i64, message: &str, fields: Value) -> String {
    let time = chrono::DateTime::from_timestamp_millis(NOON_S * 1_000 + ms).unwrap();
    let mut line = json!({
        "time": time.to_rfc3339(),
        "level": "INFO",
        "message": message,
        "mdc": { "node": "entry-1" },
        "attributes": fields,
    });
    // Nodes write all values as texts.
    for value in line["attributes"].as_object_mut().unwrap().values_mut() {
        if !value.is_string() {
            *value = value.to_string().into();
        }
    }
    format!("{line}\n")
}

/// A line of an answer in time, with other values for some of its fields.
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

/// What is counted of a log.
pub fn sum_up(log: impl AsRef<[u8]>) -> Summary {
    let mut tally = Tally::default();
    read_lines(log.as_ref(), "a.log", &mut tally).unwrap();
    Summary::of(&tally)
}
