//! Draws plots as SVG text, and holds their common style.

use plotters::coord::Shift;
use plotters::prelude::*;

/// Width and height of a plot, in pixels.
pub const SIZE: (u32, u32) = (760, 400);
/// Colours that remain distinguishable for colour-blind readers and in greyscale print (the Okabe-Ito palette).
pub const COLOURS: [RGBColor; 5] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(86, 86, 86),
];
/// Colour of marks and of the intervals of bars: the grey of the palette.
pub const MARK_COLOUR: RGBColor = COLOURS[4];
/// Colour of the mesh.
pub const MESH_COLOUR: RGBColor = RGBColor(225, 225, 225);
/// Font of all text.
pub const FONT: &str = "sans-serif";
/// Font size of the names of axes.
pub const AXIS_FONT_SIZE: i32 = 18;
/// Font size of the labels on axes.
pub const LABEL_FONT_SIZE: i32 = 17;
/// Font size of the names of marks.
pub const MARK_FONT_SIZE: i32 = 16;
/// Margin around a chart, in pixels.
pub const MARGIN: i32 = 12;
/// Height of the area below a chart for the labels of the x axis, in pixels.
pub const X_LABEL_AREA: i32 = 44;

/// The result of a drawing step.
pub type DrawingResult = Result<(), Box<dyn std::error::Error>>;
/// The drawing area of a plot.
pub type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Draws a plot and returns it as SVG. If drawing fails, returns a paragraph with the error, which the page shows in
/// place of the plot.
pub fn svg(draw: impl FnOnce(&Area<'_>) -> DrawingResult) -> String {
    let mut out = String::new();
    let drawn = {
        let area = SVGBackend::with_string(&mut out, SIZE).into_drawing_area();
        draw(&area).and_then(|()| Ok(area.present()?))
    };
    match drawn {
        // Removes the fixed size but keeps the view box, so that the page can scale the plot.
        Ok(()) => out.replacen(&format!("width=\"{}\" height=\"{}\" ", SIZE.0, SIZE.1), "", 1),
        Err(error) => format!("<p>This plot could not be drawn: {error}</p>"),
    }
}
