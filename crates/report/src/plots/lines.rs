//! Line plots.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use sedgestack_plan::Interval;

use super::svg::*;
use crate::markup::escape;

/// Lines with fewer points than this show each point as a circle.
const MARKED_POINTS: usize = 40;
/// Padding on either side of the x values, as a fraction of their span.
const PAD_X: f64 = 0.03;
/// Padding below and above the y values, as a fraction of their span.
const PAD_Y: f64 = 0.08;
/// Minimum span or padding, so that an axis is never empty if all values are equal.
const MIN_PAD: f64 = 1e-6;
/// Distance of a vertical mark's name from the upper edge, as a fraction of the height.
const MARK_NAME_OFFSET: f64 = 0.02;

/// A mean and its interval, drawn as a vertical bar at `x`.
pub struct ErrorBar {
    x: f64,
    mean: f64,
    low: f64,
    high: f64,
}

impl ErrorBar {
    /// Creates an error bar in the interval's own unit.
    pub fn plain(x: f64, interval: Interval) -> ErrorBar {
        ErrorBar { x, mean: interval.mean, low: interval.low, high: interval.high }
    }

    /// Creates an error bar in percent from an interval of shares.
    pub fn percent(x: f64, interval: Interval) -> ErrorBar {
        let Interval { mean, low, high } = interval;
        ErrorBar { x, mean: 100.0 * mean, low: 100.0 * low, high: 100.0 * high }
    }
}

/// A line of a plot: its name, its points (x and y), and their error bars if any.
pub struct Line {
    name: String,
    points: Vec<(f64, f64)>,
    bars: Vec<ErrorBar>,
}

impl Line {
    /// Creates a line without error bars.
    pub fn new(name: String, points: Vec<(f64, f64)>) -> Line {
        Line { name, points, bars: Vec::new() }
    }

    /// Creates a line through the means of error bars.
    pub fn with_bars(name: String, bars: Vec<ErrorBar>) -> Line {
        Line { name, points: bars.iter().map(|bar| (bar.x, bar.mean)).collect(), bars }
    }
}

/// A value on an axis that is marked with a dashed line and a name.
pub struct Mark {
    /// The value on the axis.
    pub at: f64,
    /// The name, drawn beside the dashed line.
    pub name: String,
}

/// The axes of a plot and their marks.
pub struct Axes<'a> {
    /// The name of the x axis.
    pub x: &'a str,
    /// The name of the y axis.
    pub y: &'a str,
    /// A mark on the y axis, such as an objective.
    pub threshold: Option<Mark>,
    /// Lower end of the y axis; if `None`, it follows from the values.
    pub min_y: Option<f64>,
    /// Upper end of the y axis; if `None`, it follows from the values.
    pub max_y: Option<f64>,
    /// A mark on the x axis.
    pub mark_x: Option<Mark>,
}

impl<'a> Axes<'a> {
    /// Creates axes without marks, whose ends follow from the values.
    pub fn new(x: &'a str, y: &'a str) -> Axes<'a> {
        Axes { x, y, threshold: None, min_y: None, max_y: None, mark_x: None }
    }
}

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The range of values that a plot shows. `pad` is added on either side of the x range.
struct Bounds {
    x0: f64,
    x1: f64,
    y0: f64,
    y1: f64,
    pad: f64,
}

impl Bounds {
    fn new(axes: &Axes<'_>, lines: &[Line]) -> Bounds {
        let (x0, x1) = span(lines.iter().flat_map(|line| line.points.iter().map(|point| point.0)));
        let means = lines.iter().flat_map(|line| line.points.iter().map(|point| point.1));
        let ends = lines.iter().flat_map(|line| line.bars.iter().flat_map(|bar| [bar.low, bar.high]));
        let threshold = axes.threshold.iter().map(|threshold| threshold.at);
        let (y0, y1) = span(means.chain(ends).chain(threshold));
        let y0 = axes.min_y.unwrap_or(y0 - (y1 - y0) * PAD_Y);
        let y1 = axes.max_y.unwrap_or(y1 + (y1 - y0).abs().max(MIN_PAD) * PAD_Y);
        Bounds { x0, x1, y0, y1, pad: ((x1 - x0) * PAD_X).max(MIN_PAD) }
    }
}

fn span(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let finite = values.filter(|value| value.is_finite());
    finite.fold((f64::MAX, f64::MIN), |(low, high), value| (low.min(value), high.max(value)))
}

/// Draws a line plot, with a legend below if there are several lines.
pub fn line_plot(axes: &Axes<'_>, lines: &[Line]) -> String {
    let drawn = svg(|area| draw(area, axes, lines));
    if lines.len() > 1 {
        drawn + &legend(lines)
    } else {
        drawn
    }
}

fn draw(area: &Area<'_>, axes: &Axes<'_>, lines: &[Line]) -> DrawingResult {
    let bounds = Bounds::new(axes, lines);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_AREA)
        .y_label_area_size(64)
        .build_cartesian_2d(bounds.x0 - bounds.pad..bounds.x1 + bounds.pad, bounds.y0..bounds.y1)?;
    draw_mesh(&mut chart, axes)?;
    if let Some(threshold) = &axes.threshold {
        draw_threshold(&mut chart, &bounds, threshold)?;
    }
    if let Some(mark) = &axes.mark_x {
        draw_mark_x(&mut chart, &bounds, mark)?;
    }
    for (line, colour) in lines.iter().zip(COLOURS.into_iter().cycle()) {
        draw_line(&mut chart, &bounds, line, colour)?;
    }
    Ok(())
}

fn draw_mesh(chart: &mut Chart<'_, '_>, axes: &Axes<'_>) -> DrawingResult {
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(MESH_COLOUR)
        .x_desc(axes.x)
        .y_desc(axes.y)
        .axis_desc_style((FONT, AXIS_FONT_SIZE))
        .label_style((FONT, LABEL_FONT_SIZE))
        .x_labels(8)
        .x_label_formatter(&|x| format_number(*x))
        .y_labels(7)
        .y_label_formatter(&|y| format_number(*y))
        .draw()?;
    Ok(())
}

fn draw_threshold(chart: &mut Chart<'_, '_>, bounds: &Bounds, threshold: &Mark) -> DrawingResult {
    let ends = [(bounds.x0 - bounds.pad, threshold.at), (bounds.x1 + bounds.pad, threshold.at)];
    chart.draw_series(DashedLineSeries::new(ends, 6, 4, MARK_COLOUR.stroke_width(1)))?;
    chart.draw_series([mark_name(&threshold.name, (bounds.x0, threshold.at))])?;
    Ok(())
}

fn draw_mark_x(chart: &mut Chart<'_, '_>, bounds: &Bounds, mark: &Mark) -> DrawingResult {
    let ends = [(mark.at, bounds.y0), (mark.at, bounds.y1)];
    chart.draw_series(DashedLineSeries::new(ends, 3, 4, MARK_COLOUR.stroke_width(1)))?;
    let top = bounds.y1 - (bounds.y1 - bounds.y0) * MARK_NAME_OFFSET;
    chart.draw_series([mark_name(&mark.name, (mark.at + bounds.pad * 0.2, top))])?;
    Ok(())
}

fn mark_name(name: &str, at: (f64, f64)) -> Text<'static, (f64, f64), String> {
    Text::new(name.to_string(), at, (FONT, MARK_FONT_SIZE).into_font())
}

fn draw_line(chart: &mut Chart<'_, '_>, bounds: &Bounds, line: &Line, colour: RGBColor) -> DrawingResult {
    chart.draw_series(LineSeries::new(line.points.iter().copied(), colour.stroke_width(2)))?;
    if line.points.len() < MARKED_POINTS {
        chart.draw_series(line.points.iter().map(|point| Circle::new(*point, 3, colour.filled())))?;
    }
    let bars = line.bars.iter().filter(|bar| bar.low.is_finite() && bar.high.is_finite());
    chart.draw_series(bars.map(|bar| {
        let ends = [(bar.x, bar.low.max(bounds.y0)), (bar.x, bar.high.min(bounds.y1))];
        PathElement::new(ends, colour.stroke_width(1))
    }))?;
    Ok(())
}

/// Returns the legend with the names of the lines, placed below the plot so that it covers none of them.
fn legend(lines: &[Line]) -> String {
    let entry = |(line, RGBColor(r, g, b)): (&Line, RGBColor)| {
        let name = escape(&line.name);
        format!("<li><span style=\"background:rgb({r},{g},{b})\"></span>{name}</li>")
    };
    let entries: String = lines.iter().zip(COLOURS.into_iter().cycle()).map(entry).collect();
    format!("<ul class=\"legend\">{entries}</ul>")
}

/// Formats a number with at most two decimals and without trailing zeros.
fn format_number(value: f64) -> String {
    let text = format!("{value:.2}");
    text.trim_end_matches('0').trim_end_matches('.').to_string()
}
