//! Line plots as SVG files.

use std::error::Error;
use std::path::Path;

use plotters::prelude::*;

const SIZE_PX: (u32, u32) = (800, 480);
const MARGIN_PX: i32 = 16;
const LABEL_AREA_PX: i32 = 56;

/// A named series of points that is drawn as one line.
#[derive(Debug, Clone)]
pub struct Series {
    /// Name in the legend.
    pub name: Box<str>,
    /// Points as (x, y), in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// Draws series over common axes into an SVG file; `axes` holds the labels of x and y.
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn draw_lines(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    series: &[Series],
) -> Result<(), Box<dyn Error>> {
    let points = || series.iter().flat_map(|line| line.points.iter().copied());
    let greatest_x = points().map(|(x, _)| x).fold(f64::MIN_POSITIVE, f64::max);
    let greatest_y = points().map(|(_, y)| y).fold(f64::MIN_POSITIVE, f64::max);
    let area = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(MARGIN_PX)
        .x_label_area_size(LABEL_AREA_PX)
        .y_label_area_size(LABEL_AREA_PX)
        .build_cartesian_2d(0.0..greatest_x * 1.05, 0.0..greatest_y * 1.05)?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()?;
    for (index, line) in series.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        chart
            .draw_series(LineSeries::new(
                line.points.iter().copied(),
                color.stroke_width(2),
            ))?
            .label(&*line.name)
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
