//! Runs experiments and prints their figures.

use std::process::ExitCode;

use clap::Parser;

/// Runs the experiments on the decision libraries.
#[derive(Debug, Parser)]
struct Cli {
    /// Scenario files, JSON with comments.
    scenarios: Vec<std::path::PathBuf>,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    println!("{} scenarios", cli.scenarios.len());
    ExitCode::SUCCESS
}
