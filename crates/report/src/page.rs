//! The HTML page of a report.

use crate::plot::{self, Plot};
use crate::summary::Summary;
use crate::table;
use eyre::Result;
use maud::{DOCTYPE, Markup, PreEscaped, html};

const STYLE: &str = "body{font:14px sans-serif;margin:2em auto;max-width:1000px;color:#222}\
table{border-collapse:collapse;margin:.5em 0}\
th,td{border:1px solid #ccc;padding:2px 8px;text-align:right;overflow-wrap:anywhere}\
th:first-child,td:first-child{text-align:left}figure{margin:1em 0}.none{color:#777}";

/// Renders the page as one document without external resources.
///
/// # Errors
///
/// Fails if a plot can't be drawn.
pub fn render_page(summary: &Summary) -> Result<String> {
    let outcomes = plot::draw_outcomes(summary)?;
    let occupancy = plot::draw_occupancy(summary)?;
    let page = html! {
        (DOCTYPE)
        html lang="en" {
            head {
                meta charset="utf-8";
                title { "hickory report" }
                style { (PreEscaped(STYLE)) }
            }
            body {
                h1 { "hickory report" }
                (render_line_counts(summary))
                (table::list_worst(summary).render())
                h2 { "Outcomes" }
                (table::list_outcomes(summary).render())
                @for plot in &outcomes { (render_plot(plot)) }
                h2 { "First tokens" }
                (table::list_first_tokens(summary).render())
                @if let Some(plot) = &plot::draw_predictions(summary)? { (render_plot(plot)) }
                @if let Some(plot) = &plot::draw_first_tokens(summary)? { (render_plot(plot)) }
                h2 { "Waits" }
                (table::list_waits(summary).render())
                @if let Some(plot) = &plot::draw_waits(summary)? { (render_plot(plot)) }
                h2 { "Pauses" }
                (table::list_pauses(summary).render())
                @if let Some(plot) = &plot::draw_pauses(summary)? { (render_plot(plot)) }
                h2 { "Occupancy" }
                (table::list_engines(summary).render())
                (render_undrawn(summary))
                @for plot in &occupancy { (render_plot(plot)) }
                h2 { "Refusals" }
                (table::list_refusals(summary).render())
                (table::list_refusal_values(summary).render())
                h2 { "Retries" }
                (table::list_sends(summary).render())
                (table::list_failed_attempts(summary).render())
                @if let Some(plot) = &plot::draw_failed_attempts(summary)? { (render_plot(plot)) }
                h2 { "Nodes" }
                (table::list_node_events(summary).render())
                (table::list_faults(summary).render())
            }
        }
    };
    Ok(page.into_string())
}

fn render_plot(plot: &Plot) -> Markup {
    html! { figure aria-label=(plot.title) { (PreEscaped(&plot.svg)) } }
}

fn render_line_counts(summary: &Summary) -> Markup {
    let lines = &summary.lines;
    html! {
        p {
            (lines.read) " lines read, " (lines.other) " of them not evaluated here; "
            (lines.skipped) " could not be read and were skipped; nodes reported that they dropped "
            (lines.dropped) "."
        }
        @match (&summary.from, &summary.to) {
            (Some(from), Some(to)) => p {
                "From " (from) " to " (to) " in steps of " (summary.step_s)
                " s. A request counts in the step of its arrival; quantiles over time have one \
                 significant digit, others two."
            },
            _ => p { "Nothing to show: no line reports a request." },
        }
    }
}

fn render_undrawn(summary: &Summary) -> Markup {
    let busy = summary.engines.iter().filter(|row| row.short_ms + row.long_ms > 0).count();
    let undrawn = busy.saturating_sub(plot::MAX_ENGINES_DRAWN);
    html! { @if undrawn > 0 { p { "Not drawn: " (undrawn) " engines with less prefill time." } } }
}
