//! Commands that show the services in the platform's store.

use std::path::Path;
use std::time::{Duration, SystemTime};

use serde::Serialize;
use tokio::time::Instant;
use wisteriapoint_store::{Store, keys};
use wisteriapoint_types::{Revision, ServiceName};

use super::store;
use crate::Error;
use crate::cli::output::{self, Output};
use crate::record::AcceptedRevision;

/// One row of the list of services.
#[derive(Debug, Serialize)]
struct Row {
    service: Box<str>,
    revision: Revision,
    author: Box<str>,
    applied_at_ms: u64,
}

pub(super) async fn get<S: Store>(
    store: &S,
    service: &ServiceName,
    to: Option<&Path>,
    deadline: Instant,
    output: Output,
) -> Result<(), Error> {
    let (record, _) = store::read_existing(store, service, deadline).await?;
    let current = record.current;
    let Some(path) = to else {
        return print_revision(&current, output);
    };
    std::fs::write(path, &*current.document).map_err(|error| Error::file(path, error))?;
    output::print(output, &current, |current| {
        let (path, revision) = (path.display(), current.revision);
        println!("revision {revision} written to {path}; put an edit in force with");
        println!("  wisteriapoint service apply {path} --from {revision}");
    })
}

pub(super) async fn list<S: Store>(
    store: &S,
    deadline: Instant,
    output: Output,
) -> Result<(), Error> {
    let mut rows = Vec::new();
    for entry in &store::list(store, deadline).await? {
        let name = entry.key.strip_prefix(keys::SERVICES).unwrap_or(&entry.key);
        let (record, _) = store::parse(entry)?;
        rows.push(Row {
            service: name.into(),
            revision: record.current.revision,
            author: record.current.author,
            applied_at_ms: record.current.applied_at_ms,
        });
    }
    output::print(output, &rows, |rows| {
        println!(
            "{:<24} {:>8}  {:<29}  author",
            "service", "revision", "applied at"
        );
        for row in rows {
            let at = format_date(row.applied_at_ms);
            let (service, revision) = (&row.service, row.revision);
            println!("{service:<24} {revision:>8}  {at}  {}", row.author);
        }
    })
}

pub(super) async fn history<S: Store>(
    store: &S,
    service: &ServiceName,
    revision: Option<Revision>,
    deadline: Instant,
    output: Output,
) -> Result<(), Error> {
    let (record, _) = store::read_existing(store, service, deadline).await?;
    let Some(revision) = revision else {
        let revisions: Vec<&AcceptedRevision> = record.revisions().collect();
        return output::print(output, &revisions, |revisions| print_table(revisions));
    };
    let found = record.revisions().find(|other| other.revision == revision);
    let found = found.ok_or_else(|| Error::UnknownRevision {
        service: service.clone(),
        revision,
    })?;
    print_revision(found, output)
}

fn print_revision(revision: &AcceptedRevision, output: Output) -> Result<(), Error> {
    output::print(output, revision, |revision| print!("{}", revision.document))
}

fn print_table(revisions: &[&AcceptedRevision]) {
    println!("{:>8}  {:<29}  author", "revision", "applied at");
    for accepted in revisions {
        let at = format_date(accepted.applied_at_ms);
        println!("{:>8}  {at}  {}", accepted.revision, accepted.author);
    }
}

fn format_date(unix_ms: u64) -> String {
    httpdate::fmt_http_date(SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms))
}
