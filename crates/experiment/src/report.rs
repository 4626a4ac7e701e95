//! Figures of runs: JSON lines, tables, spread over seeds.

use std::collections::BTreeMap;

use serde::Serialize;

/// One run of one variant.
#[derive(Debug, Clone, Serialize)]
pub struct Run {
    /// The scenario.
    pub scenario: Box<str>,
    /// The variant of the policy.
    pub variant: Box<str>,
    /// The seed.
    pub seed: u64,
    /// The figures by name; the name ends in the unit.
    pub figures: BTreeMap<&'static str, f64>,
}

/// Least, middle and greatest value of a figure over the seeds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Spread {
    /// The least.
    pub least: f64,
    /// The median.
    pub median: f64,
    /// The greatest.
    pub greatest: f64,
}

impl Spread {
    /// The spread of some values; zeros if there is none.
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

/// A table in Markdown: a row for each scenario and variant, a column for each figure,
/// `median (least to greatest)` in each cell.
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

/// A number with four digits or more.
fn format_value(value: f64) -> String {
    match value {
        integer if integer.fract() == 0.0 => format!("{:.0}", integer.abs()),
        large if large >= 100.0 => format!("{large:.0}"),
        small => format!("{small:.4}"),
    }
}
