//! `wisteriapoint service`.

use std::path::PathBuf;
use std::time::SystemTime;

use clap::{Args, Subcommand};
use wisteriapoint_platform::{Entry, HttpStore, Index, Store, keys};
use wisteriapoint_settings::document_from_str;
use wisteriapoint_types::{Nonce, Revision, ServiceName};

use super::Output;
use crate::Error;
use crate::record::ServiceRecord;

/// Reads and edits service documents.
#[derive(Debug, Args)]
pub struct Service {
    /// Base URL of the platform's key-value service.
    #[arg(long, env = "WISTERIAPOINT_PLATFORM_URL")]
    platform_url: String,
    #[command(subcommand)]
    action: Action,
}

#[derive(Debug, Subcommand)]
enum Action {
    /// Puts a service document in force.
    Apply {
        /// File with the document.
        file: PathBuf,
        /// Revision that the edit was made from; refused if another came since.
        #[arg(long)]
        from: Option<u64>,
        /// Who makes the edit.
        #[arg(long, env = "USER", default_value = "unknown")]
        author: String,
    },
    /// Prints the document in force.
    Get {
        /// Name of the service.
        service: String,
    },
    /// Lists the services.
    List,
    /// Lists the revisions of a service.
    History {
        /// Name of the service.
        service: String,
    },
}

impl Service {
    pub(super) async fn run(self, output: Output) -> Result<(), Error> {
        let store = HttpStore::new(&self.platform_url)?;
        match self.action {
            Action::Apply { file, from, author } => {
                let text = std::fs::read_to_string(file)?;
                let revision = apply(&store, &text, from.map(Revision), &author).await?;
                println!("revision {revision} accepted");
                Ok(())
            }
            Action::Get { service } => {
                let (record, _) = require(&store, &ServiceName::new(service)).await?;
                print!("{}", record.current.document);
                Ok(())
            }
            Action::List => list(&store, output).await,
            Action::History { service } => {
                history(&store, &ServiceName::new(service), output).await
            }
        }
    }
}

/// Puts a document in force by compare-and-swap; a lost answer is resolved by reading back.
///
/// # Errors
///
/// Fails on a refused document, on a lost race and if the platform does not answer.
pub async fn apply<S: Store>(
    store: &S,
    text: &str,
    from: Option<Revision>,
    author: &str,
) -> Result<Revision, Error> {
    let document = document_from_str(text)?;
    let nonce = Nonce(rand::random());
    loop {
        let found = read(store, &document.service).await?;
        let (previous, index) = match found {
            Some((record, index)) => (Some(record), index),
            None => (None, Index(0)),
        };
        let current = previous.as_ref().map(|record| &record.current);
        let revision = current.map_or(Revision(0), |current| current.revision);
        match from {
            _ if current.is_some_and(|current| current.nonce == nonce) => return Ok(revision),
            Some(expected) if expected != revision => {
                return Err(Error::Race {
                    expected,
                    found: revision,
                });
            }
            _ => {}
        }
        let record = ServiceRecord::with_edit(previous, nonce, author, now_ms(), text);
        let value = serde_json::to_vec(&record)?;
        let key = keys::service(&document.service);
        match store.compare_and_swap(&key, index, value).await {
            Ok(true) => return Ok(record.current.revision),
            Ok(false) => {}
            Err(error) if error.may_have_taken_effect() => {}
            Err(error) => return Err(error.into()),
        }
    }
}

async fn read<S: Store>(
    store: &S,
    service: &ServiceName,
) -> Result<Option<(ServiceRecord, Index)>, Error> {
    let entry = store.get(&keys::service(service)).await?;
    entry.map(|entry| parse(&entry)).transpose()
}

async fn require<S: Store>(
    store: &S,
    service: &ServiceName,
) -> Result<(ServiceRecord, Index), Error> {
    let found = read(store, service).await?;
    found.ok_or_else(|| Error::UnknownService(service.clone()))
}

fn parse(entry: &Entry) -> Result<(ServiceRecord, Index), Error> {
    Ok((serde_json::from_slice(&entry.value)?, entry.index))
}

async fn list<S: Store>(store: &S, output: Output) -> Result<(), Error> {
    let (entries, _) = store.list(keys::SERVICES, None, Default::default()).await?;
    let mut rows = Vec::new();
    for entry in &entries {
        let name = entry.key.strip_prefix(keys::SERVICES).unwrap_or(&entry.key);
        let (record, _) = parse(entry)?;
        rows.push((name.to_owned(), record.current));
    }
    match output {
        Output::Json => println!("{}", serde_json::to_string_pretty(&rows)?),
        Output::Table => {
            println!("{:<24} {:>8}  author", "service", "revision");
            for (name, current) in rows {
                println!("{name:<24} {:>8}  {}", current.revision, current.author);
            }
        }
    }
    Ok(())
}

async fn history<S: Store>(store: &S, service: &ServiceName, output: Output) -> Result<(), Error> {
    let (record, _) = require(store, service).await?;
    let mut revisions = vec![record.current];
    revisions.extend(record.history);
    match output {
        Output::Json => println!("{}", serde_json::to_string_pretty(&revisions)?),
        Output::Table => {
            println!("{:>8} {:>16}  author", "revision", "applied at (ms)");
            for accepted in revisions {
                let at_ms = accepted.applied_at_ms;
                println!("{:>8} {at_ms:>16}  {}", accepted.revision, accepted.author);
            }
        }
    }
    Ok(())
}

fn now_ms() -> u64 {
    let since_unix = SystemTime::UNIX_EPOCH.elapsed().unwrap_or_default();
    since_unix.as_millis() as u64
}
