//! The command line.

pub mod check;
pub mod drain;
pub mod ready;
pub mod serve;
pub mod service;
pub mod status;

use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

use crate::Error;

/// Rollout service for teams that train language models while serving customers.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Form of the output.
    #[arg(long, global = true, value_enum, default_value_t)]
    output: Output,
}

/// Form of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Tables for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the daemon.
    Serve(serve::Serve),
    /// Checks a VM's settings or a service document.
    Check(check::Check),
    /// Reads and edits service documents.
    Service(service::Service),
    /// Shows what a daemon knows.
    Status(status::Status),
    /// Exits 0 if a daemon takes requests.
    Ready(ready::Ready),
    /// Asks a daemon to stop gracefully.
    Drain(drain::Drain),
}

const EXIT_CODES: &str = "Exit codes: 0 done, 1 failed, 2 wrong usage, \
3 a file is refused, 4 another edit came first, 5 the platform or a daemon did not answer";

impl Cli {
    /// Runs the command.
    pub fn run(self) -> ExitCode {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let result = match runtime {
            Ok(runtime) => runtime.block_on(self.command.run(self.output)),
            Err(error) => Err(error.into()),
        };
        match result {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("error: {error}");
                exit_code(&error)
            }
        }
    }
}

impl Command {
    async fn run(self, output: Output) -> Result<(), Error> {
        match self {
            Self::Serve(serve) => serve.run().await,
            Self::Check(check) => check.run(),
            Self::Service(service) => service.run(output).await,
            Self::Status(status) => status.run(output).await,
            Self::Ready(ready) => ready.run().await,
            Self::Drain(drain) => drain.run().await,
        }
    }
}

fn exit_code(error: &Error) -> ExitCode {
    ExitCode::from(match error {
        Error::Settings(_) => 3,
        Error::Race { .. } => 4,
        Error::Platform(_) | Error::Daemon(_) => 5,
        _ => 1,
    })
}
