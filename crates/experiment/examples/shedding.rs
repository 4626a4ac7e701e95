//! Prints the figures of the experiments on shedding and plots the cost under each load.

use std::error::Error;
use std::path::{Path, PathBuf};

use clap::Parser;
use wisteriapoint_experiment::plot::{self, Series};
use wisteriapoint_experiment::report::{self, Run, Spread};
use wisteriapoint_experiment::shedding::{Load, Variant, run_all_variants};

/// Runs the experiments on shedding.
#[derive(Debug, Parser)]
struct Cli {
    /// Number of seeds, from 1 on.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Prints a table in Markdown in place of JSON lines.
    #[arg(long)]
    table: bool,
    /// Folder for the plot.
    #[arg(long)]
    plots: Option<PathBuf>,
}

fn main() -> Result<(), Box<dyn Error>> {
    let cli = Cli::parse();
    let runs = Load::ALL.map(|load| run_all_variants(load, cli.seeds));
    if let Some(folder) = &cli.plots {
        plot_cost(folder, &runs)?;
    }
    match cli.table {
        true => print!("{}", report::markdown_table(&runs.concat())),
        false => report::print_json_lines(&runs.concat()),
    }
    Ok(())
}

/// Plots the median cost under each load relative to that of the order of arrival.
fn plot_cost(folder: &Path, loads: &[Vec<Run>]) -> Result<(), Box<dyn Error>> {
    let median = |runs: &[Run], variant: Variant| {
        let runs = runs.iter().filter(|run| &*run.variant == variant.as_str());
        let costs: Vec<f64> = runs.map(|run| run.figures["cost"]).collect();
        Spread::of(&costs).median
    };
    let series = Variant::ALL.map(|variant| Series {
        name: variant.as_str().into(),
        points: (1_u32..)
            .zip(loads)
            .map(|(number, runs)| {
                let cost = median(runs, variant) / median(runs, Variant::FirstCome);
                (f64::from(number), cost)
            })
            .collect(),
    });
    let axes = ("load, in the order of the table", "cost (first come = 1)");
    plot::draw_lines(&folder.join("shedding.svg"), "cost by load", axes, &series)
}
