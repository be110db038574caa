//! Tables of the page.

use crate::outcome::Outcome;
use crate::summary::{Quantiles, Summary};
use maud::{Markup, html};

/// A table with a title, a note, column names and rows.
pub(crate) struct Table {
    pub(crate) title: &'static str,
    pub(crate) note: String,
    pub(crate) head: Vec<&'static str>,
    pub(crate) rows: Vec<Vec<String>>,
}

impl Table {
    fn new(title: &'static str, head: &[&'static str], rows: Vec<Vec<String>>) -> Self {
        Self { title, note: String::new(), head: head.to_vec(), rows }
    }

    fn with_note(self, note: impl Into<String>) -> Self {
        Self { note: note.into(), ..self }
    }

    /// Renders the table as HTML. A table without rows is rendered as "none".
    pub(crate) fn render(&self) -> Markup {
        html! {
            h3 { (self.title) }
            @if !self.note.is_empty() { p { (self.note) } }
            @if self.rows.is_empty() {
                p.none { "none" }
            } @else {
                table {
                    tr { @for name in &self.head { th { (name) } } }
                    @for row in &self.rows { tr { @for cell in row { td { (cell) } } } }
                }
            }
        }
    }
}

const QUANTILE_COLUMNS: [&str; 5] = ["count", "p50", "p95", "p99", "max"];

fn quantile_cells(distribution: Option<&Quantiles>) -> Vec<String> {
    match distribution {
        None => vec!["0".into(), String::new(), String::new(), String::new(), String::new()],
        Some(q) => [q.count, q.p50, q.p95, q.p99, q.max].map(|n| n.to_string()).to_vec(),
    }
}

fn quantile_row(name: &str, distribution: Option<&Quantiles>) -> Vec<String> {
    [vec![name.to_owned()], quantile_cells(distribution)].concat()
}

fn quantile_head(first: &'static str) -> Vec<&'static str> {
    [&[first][..], &QUANTILE_COLUMNS].concat()
}

/// Lists the worst steps, with requests to inspect further.
pub(crate) fn list_worst(summary: &Summary) -> Table {
    let head = ["from", "late", "refused", "failed", "inspect with hickory explain"];
    let row = |worst: &crate::summary::WorstStep| {
        let examples = worst.examples.iter().map(|example| {
            format!("{} ({}, {})", example.request, example.outcome.name(), example.node)
        });
        let counts = [worst.late, worst.refused, worst.failed].map(|n| n.to_string());
        let examples = examples.collect::<Vec<_>>().join(" ");
        [&[worst.time.clone()][..], &counts, &[examples]].concat()
    };
    Table::new("Worst steps", &head, summary.worst.iter().map(row).collect())
}

/// Lists requests by size and outcome.
pub(crate) fn list_outcomes(summary: &Summary) -> Table {
    let mut head = vec!["prompt, tokens"];
    head.extend(Outcome::ALL.map(Outcome::name));
    let row = |row: &crate::summary::OutcomeRow| {
        let counts = row.counts.iter().map(u64::to_string);
        std::iter::once(row.size.to_owned()).chain(counts).collect()
    };
    Table::new("Outcomes by size", &head, summary.outcomes.iter().map(row).collect())
}

/// Lists predicted and measured times to the first token.
pub(crate) fn list_first_tokens(summary: &Summary) -> Table {
    let predicted = &summary.predicted;
    let rows = vec![
        quantile_row("expected", predicted.expected_ms.as_ref()),
        quantile_row("real", predicted.first_ms.as_ref()),
    ];
    Table::new("First tokens, ms", &quantile_head("first token"), rows)
        .with_note("Streams that were sent to one target; both times count from the placement.")
}

/// Lists queue waits by prompt size.
pub(crate) fn list_waits(summary: &Summary) -> Table {
    let rows =
        summary.waits.iter().map(|(size, distribution)| quantile_row(size, Some(distribution)));
    Table::new("Waits by size, ms", &quantile_head("prompt, tokens"), rows.collect())
        .with_note(format!("{} requests started to wait for engines.", summary.began_to_wait))
}

/// Lists the excess of pauses above their limit.
pub(crate) fn list_pauses(summary: &Summary) -> Table {
    let rows = vec![quantile_row("over by", summary.pauses.over_ms.as_ref())];
    Table::new("Pauses above the limit, ms", &quantile_head("longest pause"), rows)
        .with_note(format!("Of {} streams with a limit.", summary.pauses.streams))
}

/// Lists engines by prefill time.
pub(crate) fn list_engines(summary: &Summary) -> Table {
    let head =
        ["engine", "answered", "late", "failed attempts", "long parts", "short ms", "long ms"];
    let row = |row: &crate::summary::EngineRow| {
        let counts = [row.answered, row.late, row.failed, row.placed, row.short_ms, row.long_ms];
        [&[row.name.clone()][..], &counts.map(|n| n.to_string())].concat()
    };
    let note = format!(
        "Prefill time according to the log lines: of short prompts when they were answered, of \
         long ones when they were placed. {} answers don't state whether they were short.",
        summary.occupancy_unsaid
    );
    Table::new("Engines", &head, summary.engines.iter().map(row).collect()).with_note(note)
}

/// Lists refusals by reason.
pub(crate) fn list_refusals(summary: &Summary) -> Table {
    let row = |r: &crate::summary::Refusal| {
        vec![r.reason.clone(), r.count.to_string(), r.may_have_run.to_string()]
    };
    let rows = summary.refusals.iter().map(row).collect();
    Table::new("Refusals by reason", &["reason", "count", "may have run"], rows)
}

/// Lists the state that refusals were based on.
pub(crate) fn list_refusal_values(summary: &Summary) -> Table {
    let head = [&["reason"][..], &quantile_head("known")].concat();
    let rows = summary.refusals.iter().flat_map(|refusal| {
        let known = refusal.known.iter();
        known.map(|(name, distribution)| {
            [vec![refusal.reason.clone()], quantile_row(name, Some(distribution))].concat()
        })
    });
    Table::new("State at refusals", &head, rows.collect())
}

/// Lists answers by the number of targets that the request was sent to.
pub(crate) fn list_sends(summary: &Summary) -> Table {
    let row = |(index, count): (usize, &u64)| {
        let more = if index + 1 == summary.sends.answered.len() { " or more" } else { "" };
        vec![format!("{}{more}", index + 1), count.to_string()]
    };
    let rows = summary.sends.answered.iter().enumerate().map(row).collect();
    Table::new("Answers by sends", &["targets sent to", "answers"], rows)
        .with_note(format!("The retry budget was exhausted {} times.", summary.sends.spent))
}

/// Lists failed attempts by reason.
pub(crate) fn list_failed_attempts(summary: &Summary) -> Table {
    let rows =
        summary.sends.failed.iter().map(|(reason, count)| vec![reason.clone(), count.to_string()]);
    Table::new("Failed attempts", &["why", "count"], rows.collect())
}

/// Lists messages about the nodes' state or view of the fleet.
pub(crate) fn list_node_events(summary: &Summary) -> Table {
    let row = |news: &crate::summary::NodeEventRow| {
        vec![news.message.into(), news.count.to_string(), news.first.clone(), news.last.clone()]
    };
    let head = ["message", "count", "first", "last"];
    Table::new("Node events", &head, summary.news.iter().map(row).collect())
}

/// Lists unreadable lines and unknown fields.
pub(crate) fn list_faults(summary: &Summary) -> Table {
    let faults = summary.lines.faults.iter().map(|fault| vec![fault.clone()]);
    let unknown = summary.lines.unknown.iter();
    let unknown = unknown.map(|(name, met)| vec![format!("unknown field {name}: {met}")]);
    let rows = faults.chain(unknown).collect();
    Table::new("Unreadable lines and unknown fields", &["first ones"], rows)
}
