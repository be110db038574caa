//! Tests that the operators' page lists each time with its default and range.

use hickory_settings::{Times, check_settings};

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// Returns the findings of settings in which all times have the value `time`.
fn read_findings(time: &str) -> Vec<String> {
    let text = std::fs::read_to_string(
        std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/data/good.jsonc"),
    )
    .unwrap();
    let names = list_rows().into_iter().map(|row| format!("\"{}\": {time}", row.name));
    let times = format!("\"times\": {{ {} }},\n}}", names.collect::<Vec<_>>().join(", "));
    let end = text.rfind('}').unwrap();
    let check = check_settings(&format!("{}{times}", &text[..end]));
    check.findings.iter().map(|finding| format!("{}: {}", finding.field, finding.message)).collect()
}

/// A row of the page's table of times.
struct Row {
    name: String,
    default: u64,
    min: u64,
    max: u64,
}

fn list_rows() -> Vec<Row> {
    PAGE.lines()
        .filter_map(|line| line.strip_prefix("| `times."))
        .map(|row| {
            let cells: Vec<&str> = row.split('|').map(str::trim).collect();
            Row {
                name: cells[0].trim_end_matches('`').to_owned(),
                default: cells[1].parse().unwrap(),
                min: cells[2].parse().unwrap(),
                max: cells[3].parse().unwrap(),
            }
        })
        .collect()
}

#[test]
fn the_page_lists_each_time_with_its_default() {
    // The `Debug` output lists all fields.
    let mut defaults: Vec<String> = format!("{:?}", Times::default())
        .trim_start_matches("Times { ")
        .trim_end_matches(" }")
        .split(", ")
        .map(str::to_owned)
        .collect();
    let mut listed: Vec<String> =
        list_rows().iter().map(|row| format!("{}: {}", row.name, row.default)).collect();
    defaults.sort();
    listed.sort();
    assert_eq!(listed, defaults);
}

#[test]
fn the_page_lists_each_time_with_its_range() {
    let findings = read_findings("3600001");
    for Row { name, min, max, .. } in list_rows() {
        let finding = format!("times.{name}: must be from {min} to {max}");
        assert!(findings.contains(&finding), "{finding}: {findings:?}");
    }
}
