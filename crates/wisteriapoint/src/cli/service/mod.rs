//! `wisteriapoint service`.

pub mod apply;
mod diff;
mod show;
mod store;
pub mod wait;

use std::path::{Path, PathBuf};
use std::time::{Duration, SystemTime};

use clap::{Args, Subcommand};
use serde_json::Value;
use tokio::time::Instant;
use wisteriapoint_settings::with_field;
use wisteriapoint_store::{HttpStore, Store};
use wisteriapoint_types::{Nonce, Revision, ServiceName};

use self::apply::{Applied, Edit};
use super::output::{self, Output};
use super::{read_file, service_name};
use crate::Error;

/// Reads and edits service documents.
#[derive(Debug, Args)]
#[command(after_help = EXAMPLES)]
pub struct Service {
    /// Base URL of the platform's key-value service.
    #[arg(long, env = "WISTERIAPOINT_PLATFORM_URL")]
    platform_url: String,
    /// How long to go on while the platform does not answer, in seconds.
    #[arg(long = "patience-s", value_name = "PATIENCE_S", default_value_t = DEFAULT_TIMEOUT_S)]
    timeout_s: u64,
    #[command(subcommand)]
    action: Action,
}

const DEFAULT_TIMEOUT_S: u64 = 30;

const EXAMPLES: &str = "Examples:
  wisteriapoint service list
  wisteriapoint service get shopfront --to shopfront.json
  wisteriapoint service apply shopfront.json --from 4 --wait
  wisteriapoint service edit shopfront --set limits.queue_length=128
  wisteriapoint service history shopfront --revision 3";

#[derive(Debug, Subcommand)]
enum Action {
    /// Puts a service document in force: checks it, shows the difference, writes it.
    Apply {
        /// File with the document.
        file: PathBuf,
        /// Revision that the edit was made from; refused if another came since.
        #[arg(long)]
        from: Option<u64>,
        #[command(flatten)]
        write: Write,
    },
    /// Sets single fields of the document in force; its comments stay.
    Edit {
        /// Name of the service.
        #[arg(value_parser = service_name)]
        service: ServiceName,
        /// Field and value, such as `limits.queue_length=128`.
        #[arg(long = "set", required = true, value_name = "PATH=VALUE")]
        fields: Vec<String>,
        #[command(flatten)]
        write: Write,
    },
    /// Prints the document in force, or writes it to a file.
    Get {
        /// Name of the service.
        #[arg(value_parser = service_name)]
        service: ServiceName,
        /// File to write it to.
        #[arg(long)]
        to: Option<PathBuf>,
    },
    /// Lists the services.
    List,
    /// Lists the revisions of a service, or prints one.
    History {
        /// Name of the service.
        #[arg(value_parser = service_name)]
        service: ServiceName,
        /// Revision to print.
        #[arg(long)]
        revision: Option<u64>,
    },
}

#[derive(Debug, Args)]
struct Write {
    /// Who makes the edit.
    #[arg(long, env = "USER", default_value = "unknown")]
    author: String,
    /// Shows the difference and writes nothing.
    #[arg(long)]
    dry_run: bool,
    /// Waits until every daemon has the revision in force, and names those that have not.
    #[arg(long)]
    wait: bool,
    /// Longest wait, in seconds.
    #[arg(long, default_value_t = 30, requires = "wait")]
    wait_s: u64,
}

impl Service {
    pub(super) async fn run(self, output: Output) -> Result<(), Error> {
        let store = HttpStore::new(&self.platform_url)?;
        let deadline = Instant::now() + Duration::from_secs(self.timeout_s);
        match self.action {
            Action::Apply { file, from, write } => {
                let text = read_file(&file)?;
                let edit = Edit::new(&text, &write.author, from.map(Revision));
                let with_file_name = |error| with_file_name(&file, error);
                run_edit(&store, &edit, &write, deadline, output)
                    .await
                    .map_err(with_file_name)
            }
            Action::Edit {
                service,
                fields,
                write,
            } => {
                let (record, _) = store::read_existing(&store, &service, deadline).await?;
                let current = record.current;
                let text = with_fields(&current.document, &fields)?;
                let edit = Edit::new(&text, &write.author, Some(current.revision));
                run_edit(&store, &edit, &write, deadline, output).await
            }
            Action::Get { service, to } => {
                show::get(&store, &service, to.as_deref(), deadline, output).await
            }
            Action::List => show::list(&store, deadline, output).await,
            Action::History { service, revision } => {
                let revision = revision.map(Revision);
                show::history(&store, &service, revision, deadline, output).await
            }
        }
    }
}

/// Puts a document in force within the command's default timeout and returns its revision.
///
/// # Errors
///
/// Fails as [`apply::apply_edit`] does.
pub async fn apply_document<S: Store>(
    store: &S,
    text: &str,
    from: Option<Revision>,
    author: &str,
) -> Result<Revision, Error> {
    let edit = Edit::new(text, author, from);
    let deadline = Instant::now() + Duration::from_secs(DEFAULT_TIMEOUT_S);
    let applied = apply::apply_edit(store, &edit, deadline).await?;
    Ok(applied.revision)
}

async fn run_edit(
    store: &HttpStore,
    edit: &Edit<'_>,
    write: &Write,
    deadline: Instant,
    output: Output,
) -> Result<(), Error> {
    let applied = match write.dry_run {
        true => apply::preview_edit(store, edit, deadline).await?,
        false => apply::apply_edit(store, edit, deadline).await?,
    };
    output::print(output, &applied, print_applied)?;
    match write.wait && !write.dry_run {
        true => {
            let wait_until = Instant::now() + Duration::from_secs(write.wait_s);
            let members = wait::wait_for_revision(store, &applied, wait_until).await?;
            output::print(output, &members, |members| {
                println!("in force on {} daemons", members.in_force.len());
            })
        }
        false => Ok(()),
    }
}

fn print_applied(applied: &Applied) {
    print!("{}", applied.change);
    let (service, revision) = (&applied.service, applied.revision);
    match &applied.superseded_by {
        _ if applied.dry_run => println!("{service}: nothing written"),
        _ if !applied.written => println!("{service}: no change; revision {revision} stays"),
        None => println!("{service}: revision {revision} accepted"),
        Some(later) => println!(
            "{service}: revision {revision} accepted; revision {} by {} came after it",
            later.revision, later.author,
        ),
    }
}

fn with_fields(text: &str, fields: &[String]) -> Result<String, Error> {
    let mut text = text.to_owned();
    for field in fields {
        let (path, value) = field.split_once('=').unwrap_or((field, "null"));
        let value = serde_json::from_str(value).unwrap_or_else(|_| Value::from(value));
        text = with_field(&text, path, &value)?;
    }
    Ok(text)
}

fn with_file_name(file: &Path, error: Error) -> Error {
    match error {
        Error::Settings(source) => Error::invalid_file(file, source),
        other => other,
    }
}

fn new_nonce() -> Nonce {
    Nonce(rand::random())
}

fn now_ms() -> u64 {
    let since_unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    since_unix.as_millis() as u64
}
