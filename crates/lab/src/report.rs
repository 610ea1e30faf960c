//! Tables and charts.

use comfy_table::Table;
use comfy_table::presets::ASCII_MARKDOWN;
use plotters::prelude::*;
use std::error::Error;
use std::path::Path;

/// A table in Markdown.
pub fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let mut table = Table::new();
    table.load_preset(ASCII_MARKDOWN).set_header(head.iter().copied());
    for row in rows {
        table.add_row(row);
    }
    table.to_string()
}

/// A line of a chart.
pub struct Line {
    /// Its name.
    pub name: String,
    /// Its points.
    pub points: Vec<(f64, f64)>,
}

/// A part of a chart, with axes of its own.
pub struct Panel {
    /// Its title.
    pub title: String,
    /// What is to the right.
    pub x: String,
    /// What is up.
    pub y: String,
    /// Its lines.
    pub lines: Vec<Line>,
}

/// Draws panels one below another.
///
/// # Errors
/// The file cannot be written.
pub fn chart(path: &Path, panels: &[Panel]) -> Result<(), Box<dyn Error>> {
    let height = 300 * panels.len().max(1) as u32;
    let root = SVGBackend::new(path, (900, height)).into_drawing_area();
    root.fill(&WHITE)?;
    for (area, panel) in root.split_evenly((panels.len().max(1), 1)).iter().zip(panels) {
        let points = || panel.lines.iter().flat_map(|line| &line.points);
        let most_x = points().map(|(x, _)| *x).fold(1e-9, f64::max);
        let most_y = points().map(|(_, y)| *y).fold(1e-9, f64::max) * 1.1;
        let mut chart = ChartBuilder::on(area)
            .caption(&panel.title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(34)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..most_x, 0.0..most_y)?;
        chart.configure_mesh().x_desc(&panel.x).y_desc(&panel.y).draw()?;
        for (place, line) in panel.lines.iter().enumerate() {
            let colour = Palette99::pick(place).to_rgba();
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
