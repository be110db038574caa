//! The operations page documents every metric and every refusal and retry reason.

use hickory_policy::refuse::{Reason, RetryReason};
use hickory_telemetry::metrics::Metrics;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

#[test]
fn every_metric_is_documented_and_no_other() {
    let text = Metrics::new().unwrap().render();
    let mut metrics: Vec<&str> =
        text.lines().filter_map(|line| line.strip_prefix("# TYPE ")?.split(' ').next()).collect();
    let rows = PAGE.lines().filter_map(|line| line.strip_prefix("| `hickory_"));
    let mut explained: Vec<String> =
        rows.filter_map(|row| Some(format!("hickory_{}", row.split(['`', '{']).next()?))).collect();
    metrics.sort_unstable();
    explained.sort_unstable();
    assert_eq!(explained, metrics);
}

#[test]
fn every_reason_is_documented() {
    let reasons = Reason::ALL.iter().map(|reason| reason.to_string());
    let retries = RetryReason::ALL.iter().map(|reason| reason.to_string());
    for reason in reasons.chain(retries) {
        let row = PAGE.lines().any(|l| l.starts_with("| `") && l.contains(&format!("`{reason}`")));
        assert!(row, "{reason} has no row");
    }
}
