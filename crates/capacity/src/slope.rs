//! A quantity measured over several sizes.

use std::fmt;

use wisteriapoint_experiment::report::Spread;

/// A quantity, the size that it is thought to depend on, and what was measured.
#[derive(Debug)]
pub(crate) struct Slope {
    quantity: Box<str>,
    per: &'static str,
    points: Vec<(f64, Spread)>,
}

impl Slope {
    /// Names a quantity with its unit, and the size that it depends on.
    pub(crate) fn new(quantity: impl Into<Box<str>>, per: &'static str) -> Self {
        Self {
            quantity: quantity.into(),
            per,
            points: Vec::new(),
        }
    }

    /// Adds the values measured at one size.
    pub(crate) fn with_point(mut self, size: usize, values: &[f64]) -> Self {
        self.points.push((size as f64, Spread::of(values)));
        self
    }

    /// Growth for each unit of size, from the smallest size to the largest.
    fn growth(&self) -> Option<f64> {
        let (first, last) = (self.points.first()?, self.points.last()?);
        let width = last.0 - first.0;
        (width > 0.0).then(|| (last.1.median - first.1.median) / width)
    }
}

impl fmt::Display for Slope {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{} by {}:\n", self.quantity, self.per)?;
        writeln!(f, "| {} | median | least | greatest |", self.per)?;
        writeln!(f, "|---:|---:|---:|---:|")?;
        for (size, spread) in &self.points {
            writeln!(
                f,
                "| {size} | {} | {} | {} |",
                figure(spread.median),
                figure(spread.least),
                figure(spread.greatest),
            )?;
        }
        match self.growth() {
            Some(growth) => writeln!(f, "\nslope: {} for each of {}", figure(growth), self.per),
            None => Ok(()),
        }
    }
}

/// A number with four significant digits.
fn figure(value: f64) -> String {
    let magnitude = value.abs().log10().floor();
    match value {
        0.0 => "0".to_owned(),
        _ if magnitude >= 3.0 => format!("{value:.0}"),
        _ => format!("{value:.*}", (3.0 - magnitude).clamp(0.0, 9.0) as usize),
    }
}
