//! Output of figures as JSON lines or as a table with the spread over seeds.

use std::collections::BTreeMap;

use serde::Serialize;

/// Result of one run: one scenario, one variant and one seed.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// Name of the scenario.
    pub scenario: Box<str>,
    /// Name of the policy variant.
    pub variant: Box<str>,
    /// Seed of the random number generators.
    pub seed: u64,
    /// Values by name; a name ends in its unit if the value has one.
    pub figures: BTreeMap<&'static str, f64>,
}

/// Minimum, median and maximum of a set of values.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// Minimum.
    pub least: f64,
    /// Median; the upper of the two middle values if their number is even.
    pub median: f64,
    /// Maximum.
    pub greatest: f64,
}

impl Spread {
    /// Returns the spread of the values, or zeros if there are none.
    pub fn of(values: &[f64]) -> Self {
        let mut sorted = values.to_vec();
        sorted.sort_by(f64::total_cmp);
        let at = |index: usize| sorted.get(index).copied().unwrap_or_default();
        Self {
            least: at(0),
            median: at(sorted.len() / 2),
            greatest: at(sorted.len().saturating_sub(1)),
        }
    }
}

/// Prints one JSON line for each run.
pub fn print_json_lines(runs: &[Run]) {
    for run in runs {
        if let Ok(line) = serde_json::to_string(run) {
            println!("{line}");
        }
    }
}

/// Returns a Markdown table with a row for each scenario and variant and a column for each
/// figure.
///
/// A cell holds `median (least to greatest)`, or one value if all are equal.
pub fn markdown_table(runs: &[Run]) -> String {
    let names: Vec<&str> = match runs.first() {
        Some(run) => run.figures.keys().copied().collect(),
        None => return String::new(),
    };
    let mut rows: Vec<(&str, &str)> = Vec::new();
    for run in runs {
        let row = (&*run.scenario, &*run.variant);
        if !rows.contains(&row) {
            rows.push(row);
        }
    }
    let mut text = format!("| scenario | variant | {} |\n", names.join(" | "));
    text.push_str(&format!("|---|---|{}\n", "---|".repeat(names.len())));
    for (scenario, variant) in rows {
        let cells = names.iter().map(|name| cell(runs, scenario, variant, name));
        let cells: Vec<String> = cells.collect();
        text.push_str(&format!(
            "| {scenario} | {variant} | {} |\n",
            cells.join(" | ")
        ));
    }
    text
}

fn cell(runs: &[Run], scenario: &str, variant: &str, name: &str) -> String {
    let values: Vec<f64> = runs
        .iter()
        .filter(|run| &*run.scenario == scenario && &*run.variant == variant)
        .filter_map(|run| run.figures.get(name).copied())
        .collect();
    let spread = Spread::of(&values);
    let [least, median, greatest] =
        [spread.least, spread.median, spread.greatest].map(format_value);
    match least == greatest {
        true => least,
        false => format!("{median} ({least} to {greatest})"),
    }
}

/// Formats integers and values from 100 on without decimals, and others with four decimals.
fn format_value(value: f64) -> String {
    match value {
        integer if integer.fract() == 0.0 => format!("{:.0}", integer.abs()),
        large if large >= 100.0 => format!("{large:.0}"),
        small => format!("{small:.4}"),
    }
}
