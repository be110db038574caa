//! Log lines in the file: one JSON document per line.

use hickory_telemetry::logs::{self, Subject};
use log::{Level, LevelFilter};
use serde_json::Value;

// A process can open only one log, so one test covers everything.
#[test]
fn lines_are_json_with_their_attributes() {
    let path = std::env::temp_dir().join(format!("hickory-logs-{}.jsonl", std::process::id()));
    logs::open(LevelFilter::Info, &path).unwrap();

    let subject = Subject {
        request: Some("01890a5d-ac96-774b-bcce-b302099a8057".parse().unwrap()),
        attempt: Some(2),
        account: Some("mawe-shop".into()),
        target: Some("engine-3".into()),
        zone: Some("nairobi-a".into()),
    };
    subject.log(Level::Warn, module_path!(), format_args!("retry \"quoted\"\nsecond line"));
    Subject::default().log(Level::Info, module_path!(), format_args!("nothing known"));
    subject.log(Level::Debug, module_path!(), format_args!("below the level"));
    log::info!(target = "engine-4", attempt = 0; "by macro");

    log::logger().flush();
    let text = std::fs::read_to_string(&path).unwrap();
    std::fs::remove_file(&path).unwrap();
    let lines: Vec<Value> = text.lines().map(|l| serde_json::from_str(l).unwrap()).collect();
    assert_eq!(lines.len(), 3);
    assert_eq!(lines[0]["level"], "WARN");
    assert_eq!(lines[0]["message"], "retry \"quoted\"\nsecond line");
    let about = &lines[0]["attributes"];
    assert_eq!(about["request"], "01890a5d-ac96-774b-bcce-b302099a8057");
    assert_eq!(about["attempt"], "2");
    assert_eq!(about["account"], "mawe-shop");
    assert_eq!(about["target"], "engine-3");
    assert_eq!(about["zone"], "nairobi-a");
    assert_eq!(lines[1]["attributes"], serde_json::json!({}));
    assert_eq!(lines[2]["attributes"]["target"], "engine-4");
}
