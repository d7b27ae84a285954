//! The bar plot of the cost of losses.

use plotters::coord::types::RangedCoordf64;
use plotters::prelude::*;

use sedgestack_plan::{Loss, Plan};

use super::svg::*;

/// Width of the area left of the bars for the names of the losses, in pixels.
const NAME_AREA: i32 = 280;
/// Half the height of a bar; the distance between bars is 1.
const HALF_BAR: f64 = 0.3;
/// Length of the cost axis, as a multiple of the longest bar or interval.
const AXIS_FACTOR: f64 = 1.05;
/// Horizontal position of the names, in pixels.
const NAME_X: i32 = 14;
/// Distance from the middle of a bar up to the top of its name, in pixels.
const NAME_OFFSET_Y: f64 = 7.0;

type Chart<'a, 'b> = ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The ends of the cost axis, in percent.
struct CostAxis {
    min: f64,
    max: f64,
}

impl CostAxis {
    fn new(losses: &[Loss]) -> CostAxis {
        let highs = losses.iter().map(|loss| 100.0 * loss.cost.high.max(loss.cost.mean));
        let max = highs.fold(1.0, f64::max);
        let min = losses.iter().map(|loss| 100.0 * loss.cost.low).fold(0.0, f64::min).max(-max);
        CostAxis { min, max: max * AXIS_FACTOR }
    }
}

/// Plots the cost of each loss as a bar with its interval.
pub fn losses(plan: &Plan) -> String {
    svg(|area| draw(area, &plan.losses))
}

fn draw(area: &Area<'_>, losses: &[Loss]) -> DrawingResult {
    let count = losses.len().max(1) as f64;
    let axis = CostAxis::new(losses);
    let mut chart = ChartBuilder::on(area)
        .margin(MARGIN)
        .x_label_area_size(X_LABEL_AREA)
        .y_label_area_size(NAME_AREA)
        .build_cartesian_2d(axis.min..axis.max, 0f64..count)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .light_line_style(WHITE)
        .bold_line_style(MESH_COLOUR)
        .x_desc("% of the worth asked for during the loss that is lost (lines: 95% intervals)")
        .axis_desc_style((FONT, AXIS_FONT_SIZE))
        .label_style((FONT, LABEL_FONT_SIZE))
        .y_labels(0)
        .draw()?;
    for (index, loss) in losses.iter().enumerate() {
        draw_bar(&mut chart, &axis, loss, count - index as f64 - 0.5)?;
    }
    draw_names(area, losses, count)
}

fn draw_bar(chart: &mut Chart<'_, '_>, axis: &CostAxis, loss: &Loss, middle: f64) -> DrawingResult {
    let (cost, low, high) = (100.0 * loss.cost.mean, 100.0 * loss.cost.low, 100.0 * loss.cost.high);
    let bar = [(0f64.min(cost), middle - HALF_BAR), (0f64.max(cost), middle + HALF_BAR)];
    chart.draw_series([Rectangle::new(bar, COLOURS[0].mix(0.7).filled())])?;
    let ends = [(low.max(axis.min), middle), (high.min(axis.max), middle)];
    chart.draw_series([PathElement::new(ends, MARK_COLOUR.stroke_width(2))])?;
    Ok(())
}

/// Draws the names beside the bars. They go on the drawing area itself, since the numeric y axis cannot show them as
/// labels.
fn draw_names(area: &Area<'_>, losses: &[Loss], count: f64) -> DrawingResult {
    let height = f64::from(SIZE.1) - f64::from(MARGIN + X_LABEL_AREA + MARGIN);
    for (index, loss) in losses.iter().enumerate() {
        let y = f64::from(MARGIN) + height * (index as f64 + 0.5) / count - NAME_OFFSET_Y;
        let font = (FONT, LABEL_FONT_SIZE).into_font();
        area.draw(&Text::new(loss.name.clone(), (NAME_X, y as i32), font))?;
    }
    Ok(())
}
