//! Command line.

mod admin_client;
pub mod check;
pub mod drain;
pub mod explain;
pub mod node;
pub mod output;
pub mod ready;
pub mod serve;
pub mod service;
pub mod status;

use std::path::Path;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use wisteriapoint_types::ServiceName;

pub use self::output::Output;
use crate::Error;

/// Rollout service for teams that train language models while serving customers.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
pub struct Cli {
    #[command(subcommand)]
    command: Command,
    /// Form of the output; errors go to standard error in the same form.
    #[arg(long, global = true, value_enum, default_value_t)]
    output: Output,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs the daemon.
    Serve(serve::Serve),
    /// Runs a node on the users' platform.
    Node(node::RunNode),
    /// Checks a VM's settings or a service document.
    Check(check::Check),
    /// Reads and edits service documents.
    Service(service::Service),
    /// Shows what a daemon knows, or all daemons.
    Status(status::Status),
    /// Shows where a request of a service would go, and why.
    Explain(explain::Explain),
    /// Exits 0 if a daemon takes requests.
    Ready(ready::Ready),
    /// Asks a daemon to stop gracefully.
    Drain(drain::Drain),
}

const EXIT_CODES: &str = "Exit codes:
  0  done
  1  failed
  2  wrong usage
  3  a file is refused
  4  another edit came first; nothing was written
  5  the platform or a daemon did not answer
  6  accepted, but not yet in force on every daemon";

impl Cli {
    /// Runs the command and returns its exit code.
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
                match self.output {
                    Output::Table => eprintln!("error: {error}"),
                    Output::Json => eprintln!("{}", error.to_json()),
                }
                ExitCode::from(error.exit_code())
            }
        }
    }
}

impl Command {
    async fn run(self, output: Output) -> Result<(), Error> {
        match self {
            Self::Serve(serve) => serve.run().await,
            Self::Node(node) => node.run().await,
            Self::Check(check) => check.run(output),
            Self::Service(service) => service.run(output).await,
            Self::Status(status) => status.run(output).await,
            Self::Explain(explain) => explain.run(output).await,
            Self::Ready(ready) => ready.run(output).await,
            Self::Drain(drain) => drain.run(output).await,
        }
    }
}

fn read_file(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|error| Error::file(path, error))
}

fn service_name(text: &str) -> Result<ServiceName, String> {
    match wisteriapoint_settings::is_name(text) {
        true => Ok(ServiceName::new(text)),
        false => Err("write 1 to 63 lower-case letters, digits and hyphens".into()),
    }
}
