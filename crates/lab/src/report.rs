//! Tables and charts.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// Formats a table in Markdown.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(head.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    table.to_string()
}

/// A measured figure and its bound.
pub struct Figure {
    /// Label of the figure.
    pub what: String,
    /// Measured value.
    pub measured: String,
    /// Bound on the value.
    pub bound: String,
    /// Whether the value is within the bound.
    pub holds: bool,
}

impl Figure {
    /// Creates a figure from its label, value and bound.
    pub fn new(what: &str, measured: impl ToString, bound: impl ToString, holds: bool) -> Figure {
        Figure { what: what.to_string(), measured: measured.to_string(), bound: bound.to_string(), holds }
    }

    /// Creates a figure whose value must be 0.
    pub fn zero(what: &str, measured: usize) -> Figure {
        Figure::new(what, measured, 0, measured == 0)
    }
}

/// Returns the table of an experiment's figures, its closing line, and whether all bounds hold.
pub fn verdict(name: &str, figures: &[Figure]) -> (String, String, bool) {
    let rows = figures.iter().map(|figure| {
        let status = if figure.holds { "holds" } else { "falls short" };
        vec![figure.what.clone(), figure.measured.clone(), figure.bound.clone(), status.to_string()]
    });
    let rows = table(&["figure", "measured", "bound", ""], &rows.collect::<Vec<_>>());
    let short: Vec<&str> =
        figures.iter().filter(|figure| !figure.holds).map(|figure| figure.what.as_str()).collect();
    let last = if short.is_empty() {
        format!("{name}: holds")
    } else {
        format!("{name}: falls short: {}", short.join("; "))
    };
    (rows, last, short.is_empty())
}

/// A line of a chart.
pub struct Line {
    pub name: String,
    pub points: Vec<(f64, f64)>,
}

/// A part of a chart with its own axes.
pub struct Panel {
    pub title: String,
    /// Label of the x axis.
    pub x: String,
    /// Label of the y axis.
    pub y: String,
    pub lines: Vec<Line>,
}

/// Draws a chart with the panels one below another.
///
/// # Errors
/// The file cannot be written, or a panel cannot be drawn.
pub fn chart(path: &Path, panels: &[Panel]) -> Result<(), Box<dyn Error>> {
    let height = 300 * panels.len().max(1) as u32;
    let root = SVGBackend::new(path, (900, height)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, panel) in root.split_evenly((panels.len().max(1), 1)).iter().zip(panels) {
        let points = || panel.lines.iter().flat_map(|line| &line.points);
        let max_x = points().map(|(x, _)| *x).fold(1e-9, f64::max);
        let max_y = points().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(area)
            .caption(&panel.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..max_x, 0.0..max_y)?;
        chart.configure_mesh().x_desc(&panel.x).y_desc(&panel.y).draw()?;
        for (index, line) in panel.lines.iter().enumerate() {
            let colour = Palette99::pick(index).to_rgba();
            let drawn = LineSeries::new(line.points.iter().copied(), colour.stroke_width(2));
            chart
                .draw_series(drawn)?
                .label(&line.name)
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour.stroke_width(2)));
        }
        chart.configure_series_labels().background_style(WHITE.mix(0.8)).border_style(BLACK).draw()?;
    }
    root.present()?;
    Ok(())
}
