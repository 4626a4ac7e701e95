//! The `wisteriapoint` binary.

use std::process::ExitCode;

use clap::Parser;
use wisteriapoint::cli::Cli;

fn main() -> ExitCode {
    Cli::parse().run()
}
