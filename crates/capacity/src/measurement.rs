//! Quantity measured at several sizes.

use std::fmt;

use wisteriapoint_experiment::report::Spread;

/// Quantity, the size that it is expected to depend on, and its measured values.
#[derive(Debug)]
pub(crate) struct Measurement {
    quantity: Box<str>,
    size_name: &'static str,
    points: Vec<(f64, Spread)>,
}

impl Measurement {
    /// Creates a measurement without values.
    ///
    /// `quantity` includes the unit, and `size_name` names the size that the quantity depends on.
    pub(crate) fn new(quantity: impl Into<Box<str>>, size_name: &'static str) -> Self {
        Self {
            quantity: quantity.into(),
            size_name,
            points: Vec::new(),
        }
    }

    /// Adds the spread of the values measured at one size.
    pub(crate) fn with_point(mut self, size: usize, values: &[f64]) -> Self {
        self.points.push((size as f64, Spread::of(values)));
        self
    }

    /// Returns the growth of the median per unit of size, from the first size to the last.
    fn slope(&self) -> Option<f64> {
        let (first, last) = (self.points.first()?, self.points.last()?);
        let width = last.0 - first.0;
        (width > 0.0).then(|| (last.1.median - first.1.median) / width)
    }
}

impl fmt::Display for Measurement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} by {}:\n", self.quantity, self.size_name)?;
        writeln!(f, "| {} | median | least | greatest |", self.size_name)?;
        writeln!(f, "|---:|---:|---:|---:|")?;
        for (size, spread) in &self.points {
            writeln!(
                f,
                "| {size} | {} | {} | {} |",
                format_value(spread.median),
                format_value(spread.least),
                format_value(spread.greatest),
            )?;
        }
        match self.slope() {
            Some(slope) => writeln!(
                f,
                "\nslope: {} for each of {}",
                format_value(slope),
                self.size_name
            ),
            None => Ok(()),
        }
    }
}

/// Formats a number with four significant digits; values from 1,000 on without decimals.
fn format_value(value: f64) -> String {
    let magnitude = value.abs().log10().floor();
    match value {
        0.0 => "0".to_owned(),
        _ if magnitude >= 3.0 => format!("{value:.0}"),
        _ => format!("{value:.*}", (3.0 - magnitude).clamp(0.0, 9.0) as usize),
    }
}
