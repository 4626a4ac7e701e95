//! Command line that runs the experiments and prints or plots their figures.

use std::collections::BTreeMap;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use wisteriapoint_experiment::plot::{self, Series};
use wisteriapoint_experiment::policy::{self, Scenario};
use wisteriapoint_experiment::report;

/// Runs the experiments on the decision libraries.
#[derive(Debug, Parser)]
struct Cli {
    #[command(subcommand)]
    experiment: Experiment,
}

#[derive(Debug, Subcommand)]
enum Experiment {
    /// Choice of endpoint, limits, retries and crash suspects.
    Policy(PolicyArguments),
    /// Scores of rounds on the users' platform.
    Rounds(RoundsArguments),
}

#[derive(Debug, clap::Args)]
struct RoundsArguments {
    /// A JSON object of the scores of each site, round by round.
    scores: PathBuf,
    /// The plot to draw.
    plot: PathBuf,
}

#[derive(Debug, clap::Args)]
struct PolicyArguments {
    /// Scenario files, JSON with comments.
    #[arg(required = true)]
    scenarios: Vec<PathBuf>,
    /// Number of seeds, from 1 on.
    #[arg(long, default_value_t = 10)]
    seeds: u64,
    /// Prints a table in Markdown in place of JSON lines.
    #[arg(long)]
    table: bool,
    /// Figures of the table; all if none is named.
    #[arg(long, value_delimiter = ',')]
    figures: Vec<String>,
    /// Directory for one plot of the callers answered in time for each scenario.
    #[arg(long)]
    plots: Option<PathBuf>,
}

fn main() -> ExitCode {
    let result = match Cli::parse().experiment {
        Experiment::Policy(arguments) => run_policy(&arguments),
        Experiment::Rounds(arguments) => plot_rounds(&arguments),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

fn plot_rounds(arguments: &RoundsArguments) -> Result<(), Box<dyn Error>> {
    let scores = std::fs::read(&arguments.scores)?;
    let scores: BTreeMap<Box<str>, Vec<f64>> = serde_json::from_slice(&scores)?;
    let series = scores.into_iter().map(|(name, scores)| Series {
        name,
        points: (1_u32..).map(f64::from).zip(scores).collect(),
    });
    let series: Vec<_> = series.collect();
    let axes = ("round", "score");
    plot::draw_lines(&arguments.plot, "score by round", axes, &series)
}

fn run_policy(arguments: &PolicyArguments) -> Result<(), Box<dyn Error>> {
    let mut runs = Vec::new();
    for path in &arguments.scenarios {
        let scenario = Scenario::read(path)?;
        let new = policy::run_all_variants(&scenario, arguments.seeds);
        if let Some(directory) = &arguments.plots {
            policy::plot_answered_share(directory, &scenario, &new)?;
        }
        runs.extend(new);
    }
    for run in &mut runs {
        let named = |name: &str| arguments.figures.iter().any(|wanted| wanted == name);
        run.figures
            .retain(|name, _| arguments.figures.is_empty() || named(name));
    }
    match arguments.table {
        true => print!("{}", report::markdown_table(&runs)),
        false => report::print_json_lines(&runs),
    }
    Ok(())
}
