//! Plots of a summary, as SVG.

use crate::outcome::{self, Outcome};
use crate::summary::{Cell, Point, Summary, format_time};
use eyre::Result;
use plotters::chart::SeriesAnno;
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

/// Width of a plot, in pixels.
const WIDTH: u32 = 960;

/// Height of a plot, in pixels.
const HEIGHT: u32 = 230;

/// Height of the plot of predicted against measured times to the first token.
const PREDICTED_HEIGHT: u32 = 480;

/// Height of an engine's row in the occupancy plots.
const ENGINE_ROW_HEIGHT: u32 = 14;

/// Height of the title, the axis and the margins of an occupancy plot.
const ENGINE_PLOT_PADDING: u32 = 70;

/// Maximum number of engines in the occupancy plots; those with the most prefill
/// time are drawn.
pub(crate) const MAX_ENGINES_DRAWN: usize = 40;

/// Generic font family; the browser selects the font.
const FONT: &str = "sans-serif";

/// Lower end of logarithmic time axes.
const MIN_LOG_AXIS_MS: f64 = 1.0;

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;
type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// A series of a plot: its name, its colour, and its value in a step.
type Series = (&'static str, RGBColor, fn(&Point) -> Option<f64>);

/// Returns the colour of an outcome.
fn outcome_color(outcome: Outcome) -> RGBColor {
    match outcome {
        Outcome::InTime => RGBColor(90, 160, 90),
        Outcome::Late => RGBColor(230, 170, 40),
        Outcome::Refused => RGBColor(90, 120, 200),
        Outcome::Failed => RGBColor(200, 50, 50),
        Outcome::Invalid => RGBColor(170, 140, 190),
        Outcome::Gone => RGBColor(150, 150, 150),
        Outcome::Unjudged => RGBColor(205, 205, 195),
    }
}

/// The stacking order of outcomes, from the bottom. Bad outcomes come first because
/// bars that start on the axis are the easiest to compare.
const STACKING_ORDER: [Outcome; outcome::COUNT] = [
    Outcome::Failed,
    Outcome::Refused,
    Outcome::Late,
    Outcome::InTime,
    Outcome::Invalid,
    Outcome::Gone,
    Outcome::Unjudged,
];

const FIRST_COLOR: RGBColor = RGBColor(30, 90, 180);
const SECOND_COLOR: RGBColor = RGBColor(210, 100, 30);

/// The time span of the plots over time.
#[derive(Clone, Copy)]
struct TimeSpan {
    begin_ms: i64,
    step_s: f64,
    length_s: f64,
}

impl TimeSpan {
    fn of(summary: &Summary) -> Option<Self> {
        let (first, last) = (summary.series.first()?, summary.series.last()?);
        let step_s = summary.step_s as f64;
        let length_s = (last.time_ms - first.time_ms) as f64 / 1_000.0 + step_s;
        Some(Self { begin_ms: first.time_ms, step_s, length_s })
    }

    /// Returns the start and the end of a step, in seconds from the start of the span.
    fn bounds(&self, point: &Point) -> (f64, f64) {
        let begin = (point.time_ms - self.begin_ms) as f64 / 1_000.0;
        (begin, begin + self.step_s)
    }

    fn format_label(&self, at: f64) -> String {
        let time = format_time(self.begin_ms + (at * 1_000.0) as i64);
        time.get(11..19).unwrap_or_default().to_owned()
    }
}

/// A plot with its title.
pub(crate) struct Plot {
    pub(crate) title: String,
    pub(crate) svg: String,
}

/// Draws requests by outcome over time, with one plot per prompt size.
pub(crate) fn draw_outcomes(summary: &Summary) -> Result<Vec<Plot>> {
    let Some(span) = TimeSpan::of(summary) else { return Ok(Vec::new()) };
    let sizes = summary.outcomes.iter().map(|row| row.size);
    sizes.map(|size| draw_size(summary, span, size)).collect()
}

fn draw_size(summary: &Summary, span: TimeSpan, size: &'static str) -> Result<Plot> {
    let sum = |point: &Point| STACKING_ORDER.iter().map(|o| count(point, size, *o)).sum::<f64>();
    let top = summary.series.iter().map(sum).fold(1.0, f64::max);
    draw(format!("Outcomes: {size}"), HEIGHT, |area| {
        let mut chart = open_chart(area, span, top, "requests per step")?;
        for (index, outcome) in STACKING_ORDER.into_iter().enumerate() {
            let color = outcome_color(outcome);
            let to_bar = |point: &Point| {
                let below: f64 =
                    STACKING_ORDER[..index].iter().map(|o| count(point, size, *o)).sum();
                let (from, to) = span.bounds(point);
                [(from, below), (to, below + count(point, size, outcome))]
            };
            let points = summary.series.iter().filter(|p| count(p, size, outcome) > 0.0);
            let bars: Vec<[(f64, f64); 2]> = points.map(to_bar).collect();
            if bars.is_empty() {
                continue;
            }
            let fills = bars.iter().map(|corners| Rectangle::new(*corners, color.filled()));
            label_series(chart.draw_series(fills)?, outcome.name(), color);
            // A few bad outcomes among many requests would be too low to see, so each
            // bar gets a line of fixed width on top.
            let edges = bars.iter().filter(|_| outcome.is_bad()).map(|[(from, _), (to, above)]| {
                PathElement::new(vec![(*from, *above), (*to, *above)], color.stroke_width(2))
            });
            chart.draw_series(edges)?;
        }
        draw_legend(&mut chart)
    })
}

/// Returns the number of requests of a size with an outcome that arrived in a step.
fn count(point: &Point, size: &str, outcome: Outcome) -> f64 {
    let row = point.outcomes.iter().find(|row| row.size == size);
    row.map_or(0.0, |row| row.counts[outcome as usize] as f64)
}

/// Draws predicted and measured times to the first token over time.
pub(crate) fn draw_first_tokens(summary: &Summary) -> Result<Option<Plot>> {
    draw_lines(
        summary,
        "First tokens over time",
        &[
            ("expected, p95", FIRST_COLOR, |p| Some(p.expected_ms?.p95 as f64)),
            ("real, p95", SECOND_COLOR, |p| Some(p.first_ms?.p95 as f64)),
        ],
    )
}

/// Draws the queue wait of requests over time.
pub(crate) fn draw_waits(summary: &Summary) -> Result<Option<Plot>> {
    draw_lines(
        summary,
        "Waits over time",
        &[
            ("wait, p50", FIRST_COLOR, |p| Some(p.wait_ms?.p50 as f64)),
            ("wait, p95", SECOND_COLOR, |p| Some(p.wait_ms?.p95 as f64)),
        ],
    )
}

/// Draws the excess of pauses above their limit over time.
pub(crate) fn draw_pauses(summary: &Summary) -> Result<Option<Plot>> {
    draw_lines(
        summary,
        "Pauses above the limit",
        &[
            ("over by, p50", FIRST_COLOR, |p| Some(p.over_ms?.p50 as f64)),
            ("over by, max", SECOND_COLOR, |p| Some(p.over_ms?.max as f64)),
        ],
    )
}

/// Draws the values of series over time; `None` if no step has a value.
fn draw_lines(summary: &Summary, title: &str, series: &[Series]) -> Result<Option<Plot>> {
    let points = &summary.series;
    let values = series.iter().flat_map(|(_, _, value)| points.iter().filter_map(value));
    let top = values.fold(None, |top: Option<f64>, value| Some(top.unwrap_or(1.0).max(value)));
    let (Some(top), Some(span)) = (top, TimeSpan::of(summary)) else { return Ok(None) };
    let plot = draw(title.to_owned(), HEIGHT, |area| {
        let mut chart = open_chart(area, span, top, "ms")?;
        for (label, color, value) in series {
            let marks = points.iter().filter_map(|point| {
                let (from, to) = span.bounds(point);
                let value = value(point)?;
                Some(PathElement::new(vec![(from, value), (to, value)], color.stroke_width(3)))
            });
            label_series(chart.draw_series(marks)?, label, *color);
        }
        draw_legend(&mut chart)
    })?;
    Ok(Some(plot))
}

/// Draws failed attempts over time.
pub(crate) fn draw_failed_attempts(summary: &Summary) -> Result<Option<Plot>> {
    let points = summary.series.iter().filter(|point| point.failed_attempts > 0);
    let top = points.clone().map(|point| point.failed_attempts).max();
    let (Some(top), Some(span)) = (top, TimeSpan::of(summary)) else { return Ok(None) };
    let plot = draw("Failed attempts over time".to_owned(), HEIGHT, |area| {
        let mut chart = open_chart(area, span, top as f64, "attempts per step")?;
        let color = outcome_color(Outcome::Failed);
        let bars = points.map(|point| {
            let (from, to) = span.bounds(point);
            Rectangle::new([(from, 0.0), (to, point.failed_attempts as f64)], color.filled())
        });
        label_series(chart.draw_series(bars)?, "failed attempts", color);
        draw_legend(&mut chart)
    })?;
    Ok(Some(plot))
}

/// Draws predicted against measured times to the first token. The opacity of a cell
/// shows the number of streams.
pub(crate) fn draw_predictions(summary: &Summary) -> Result<Option<Plot>> {
    let cells = &summary.predicted.cells;
    let max_count = cells.iter().map(|cell| cell.count).max().unwrap_or(0) as f64;
    if cells.is_empty() {
        return Ok(None);
    }
    let greatest = |cell: &Cell| cell.expected_ms.max(cell.first_ms);
    let top = cells.iter().map(greatest).fold(MIN_LOG_AXIS_MS, f64::max) * 2.0;
    let range = || (MIN_LOG_AXIS_MS..top).log_scale();
    let plot = draw("Predicted against real first token".to_owned(), PREDICTED_HEIGHT, |area| {
        let mut chart = ChartBuilder::on(area)
            .margin(8)
            .x_label_area_size(40)
            .y_label_area_size(64)
            .build_cartesian_2d(range(), range())?;
        chart.configure_mesh().x_desc("expected, ms").y_desc("real, ms").draw()?;
        chart.draw_series(cells.iter().map(|cell| {
            let opacity = 0.2 + 0.8 * (1.0 + cell.count as f64).ln() / (1.0 + max_count).ln();
            let (x, y) =
                (cell.expected_ms.max(MIN_LOG_AXIS_MS), cell.first_ms.max(MIN_LOG_AXIS_MS));
            let corner = (x * std::f64::consts::SQRT_2, y * std::f64::consts::SQRT_2);
            Rectangle::new([(x, y), corner], FIRST_COLOR.mix(opacity).filled())
        }))?;
        let equal =
            PathElement::new(vec![(MIN_LOG_AXIS_MS, MIN_LOG_AXIS_MS), (top, top)], SECOND_COLOR);
        chart.draw_series([equal])?;
        Ok(())
    })?;
    Ok(Some(plot))
}

/// Draws the share of each step that engines spent on prefill, with one plot for
/// short and one for long prompts.
pub(crate) fn draw_occupancy(summary: &Summary) -> Result<Vec<Plot>> {
    let busy = summary.engines.iter().filter(|row| row.short_ms + row.long_ms > 0);
    let mut names: Vec<&str> = busy.map(|row| row.name.as_str()).take(MAX_ENGINES_DRAWN).collect();
    // Rows are drawn from the bottom up.
    names.reverse();
    let Some(span) = TimeSpan::of(summary).filter(|_| !names.is_empty()) else {
        return Ok(Vec::new());
    };
    let kinds = [("short prompts", FIRST_COLOR), ("long prompts", SECOND_COLOR)];
    let draw_kind = |(index, (kind, color)): (usize, (&str, RGBColor))| {
        let height = ENGINE_PLOT_PADDING + ENGINE_ROW_HEIGHT * names.len() as u32;
        draw(format!("Occupancy of engines: {kind}"), height, |area| {
            draw_rows(area, summary, span, &names, (index, color))
        })
    };
    kinds.into_iter().enumerate().map(draw_kind).collect()
}

fn draw_rows(
    area: &Area<'_>,
    summary: &Summary,
    span: TimeSpan,
    names: &[&str],
    (index, color): (usize, RGBColor),
) -> Result<()> {
    let count = names.len();
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(130)
        .build_cartesian_2d(0.0..span.length_s, -0.5..count as f64 - 0.5)?;
    // The axis may also have tick marks between rows, which get no label.
    let label = |at: &f64| {
        let name = names.get(at.round() as usize).filter(|_| (at - at.round()).abs() < 1e-6);
        name.map_or_else(String::new, |name| name.chars().take(18).collect())
    };
    chart
        .configure_mesh()
        .disable_mesh()
        .x_labels(8)
        .x_label_formatter(&|at| span.format_label(*at))
        .y_labels(count + 1)
        .y_label_formatter(&label)
        .draw()?;
    for (row, name) in names.iter().enumerate() {
        let (below, above) = (row as f64 - 0.45, row as f64 + 0.45);
        chart.draw_series(summary.series.iter().filter_map(|point| {
            let occupancy = point.engines.get(*name)?[index] as f64 / (span.step_s * 1_000.0);
            let (from, to) = span.bounds(point);
            let fill = color.mix(occupancy.clamp(0.0, 1.0)).filled();
            (occupancy > 0.0).then(|| Rectangle::new([(from, below), (to, above)], fill))
        }))?;
    }
    Ok(())
}

fn draw(title: String, height: u32, fill: impl FnOnce(&Area<'_>) -> Result<()>) -> Result<Plot> {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        root.fill(&WHITE)?;
        let area = root.titled(&title, (FONT, 15))?;
        fill(&area)?;
        root.present()?;
    }
    Ok(Plot { title, svg })
}

fn open_chart<'a, 'b>(
    area: &'a Area<'b>,
    span: TimeSpan,
    top: f64,
    unit: &str,
) -> Result<Chart<'a, 'b>> {
    let mut chart = ChartBuilder::on(area)
        .margin(8)
        .x_label_area_size(24)
        .y_label_area_size(64)
        .build_cartesian_2d(0.0..span.length_s, 0.0..top * 1.05)?;
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(8)
        .x_label_formatter(&|at| span.format_label(*at))
        .y_labels(5)
        .y_desc(unit)
        .draw()?;
    Ok(chart)
}

fn label_series(series: &mut SeriesAnno<'_, SVGBackend<'_>>, label: &str, color: RGBColor) {
    series
        .label(label)
        .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], color.filled()));
}

fn draw_legend<'a, 'b: 'a>(chart: &mut Chart<'a, 'b>) -> Result<()> {
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK.mix(0.3))
        .draw()?;
    Ok(())
}
