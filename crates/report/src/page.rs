//! The page.

use crate::plot::{self, Plot};
use crate::summary::Summary;
use crate::table;
use eyre::Result;
use maud::{DOCTYPE, Markup, PreEscaped, html};

const STYLE: &str = "body{font:14px sans-serif;margin:2em auto;max-width:1000px;color:#222}\
table{border-collapse:collapse;margin:.5em 0}\
th,td{border:1px solid #ccc;padding:2px 8px;text-align:right;overflow-wrap:anywhere}\
th:first-child,td:first-child{text-align:left}figure{margin:1em 0}.none{color:#777}";

/// Writes the page: one document that needs nothing from elsewhere.
///
/// # Errors
///
/// A plot can't be drawn.
pub fn write_page(summary: &Summary) -> Result<String> {
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
                (write_lines(summary))
                (table::list_worst(summary).render())
                h2 { "Outcomes" }
                (table::list_outcomes(summary).render())
                @for plot in &outcomes { (show(plot)) }
                h2 { "First tokens" }
                (table::list_first(summary).render())
                @if let Some(plot) = &plot::draw_predicted(summary)? { (show(plot)) }
                @if let Some(plot) = &plot::draw_first(summary)? { (show(plot)) }
                h2 { "Waits" }
                (table::list_waits(summary).render())
                @if let Some(plot) = &plot::draw_waits(summary)? { (show(plot)) }
                h2 { "Pauses" }
                (table::list_pauses(summary).render())
                @if let Some(plot) = &plot::draw_pauses(summary)? { (show(plot)) }
                h2 { "Occupancy" }
                (table::list_engines(summary).render())
                (write_drawn(summary))
                @for plot in &occupancy { (show(plot)) }
                h2 { "Refusals" }
                (table::list_refusals(summary).render())
                (table::list_known(summary).render())
                h2 { "Sends again" }
                (table::list_sends(summary).render())
                (table::list_attempts(summary).render())
                @if let Some(plot) = &plot::draw_attempts(summary)? { (show(plot)) }
                h2 { "Nodes" }
                (table::list_news(summary).render())
                (table::list_faults(summary).render())
            }
        }
    };
    Ok(page.into_string())
}

fn show(plot: &Plot) -> Markup {
    html! { figure aria-label=(plot.title) { (PreEscaped(&plot.svg)) } }
}

fn write_lines(summary: &Summary) -> Markup {
    let lines = &summary.lines;
    html! {
        p {
            (lines.read) " lines read, " (lines.other) " of them not counted here; "
            (lines.skipped) " could not be read and were passed over; nodes say that they dropped "
            (lines.dropped) "."
        }
        @match (&summary.from, &summary.to) {
            (Some(from), Some(to)) => p {
                "From " (from) " to " (to) " in steps of " (summary.step_s)
                " s. A request stands in the step in which it came; quantiles over time are to \
                 one digit, others to two."
            },
            _ => p { "Nothing to show: no line tells of a request." },
        }
    }
}

fn write_drawn(summary: &Summary) -> Markup {
    let busy = summary.engines.iter().filter(|row| row.short_ms + row.long_ms > 0).count();
    let more = busy.saturating_sub(plot::ENGINES_DRAWN);
    html! { @if more > 0 { p { "Not drawn: " (more) " engines that read less." } } }
}
