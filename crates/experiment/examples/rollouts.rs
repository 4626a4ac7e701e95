//! Prints the figures of the rollout experiments and plots the idle time of the trainer.

use std::error::Error;
use std::path::{Path, PathBuf};

use clap::Parser;
use wisteriapoint_experiment::plot::{self, Series};
use wisteriapoint_experiment::report::{self, Run};
use wisteriapoint_experiment::rollouts::{Scenario, run_all_variants};

/// Runs the experiments on rollouts.
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
    let mut runs = run_all_variants(&Scenario::stragglers(), cli.seeds);
    if let Some(folder) = &cli.plots {
        plot_idle(folder, &runs)?;
    }
    runs.extend(run_all_variants(&Scenario::wide_bound(), cli.seeds));
    match cli.table {
        true => print!("{}", report::markdown_table(&runs)),
        false => report::print_json_lines(&runs),
    }
    Ok(())
}

fn plot_idle(folder: &Path, runs: &[Run]) -> Result<(), Box<dyn Error>> {
    let mut series: Vec<Series> = Vec::new();
    for run in runs {
        let point = (run.seed as f64, run.figures["idle_share"]);
        match series.iter_mut().find(|line| line.name == run.variant) {
            Some(line) => line.points.push(point),
            None => series.push(Series {
                name: run.variant.clone(),
                points: vec![point],
            }),
        }
    }
    let path = folder.join("trainer-idle.svg");
    let title = "Idle share of a trainer under stragglers";
    plot::draw_lines(&path, title, ("seed", "idle share"), &series)
}
