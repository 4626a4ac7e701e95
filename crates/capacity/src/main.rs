//! Measures how resource use grows with size, and prints the tables of `docs/CAPACITY.md`.

mod claims;
mod fleet;
mod measurement;
mod process;
mod rollouts;
mod routing;
mod tokens;
mod views;
mod weights;

use std::process::ExitCode;

use clap::Parser;

use crate::measurement::Measurement;

/// Measures state, messages, processor time and memory over several sizes.
#[derive(Debug, Parser)]
struct Cli {
    /// Parts to measure; all of them if none is named.
    parts: Vec<Part>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Part {
    /// Daemons in one process: control traffic, platform calls, spread of a change.
    Fleet,
    /// The view record and the duties derived from it.
    Views,
    /// Claims in a holder.
    Claims,
    /// Steps and samples in a coordinator.
    Rollouts,
    /// Choice of an endpoint.
    Routing,
    /// Waves of weight versions.
    Weights,
    /// Tokens through a daemon.
    Tokens,
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let all = [
        Part::Rollouts,
        Part::Claims,
        Part::Views,
        Part::Routing,
        Part::Weights,
        Part::Tokens,
        Part::Fleet,
    ];
    let parts = match cli.parts.is_empty() {
        true => all.to_vec(),
        false => cli.parts,
    };
    for part in parts {
        print(part, measure(part));
    }
    ExitCode::SUCCESS
}

fn measure(part: Part) -> Vec<Measurement> {
    match part {
        Part::Fleet => fleet::measure(),
        Part::Views => views::measure(),
        Part::Claims => claims::measure(),
        Part::Rollouts => rollouts::measure(),
        Part::Routing => routing::measure(),
        Part::Weights => weights::measure(),
        Part::Tokens => tokens::measure(),
    }
}

fn print(part: Part, measurements: Vec<Measurement>) {
    println!("### {part:?}\n");
    for measurement in measurements {
        println!("{measurement}");
    }
}
