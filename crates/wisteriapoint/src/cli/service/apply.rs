//! Edits by compare-and-swap.

use serde::Serialize;
use tokio::time::Instant;
use wisteriapoint_settings::{ServiceDocument, document_from_str, replacement_from_str};
use wisteriapoint_store::{Index, Store, keys};
use wisteriapoint_types::{Nonce, Revision, ServiceName};

use super::store::{self, Pauses};
use super::{diff, new_nonce, now_ms};
use crate::Error;
use crate::error::Race;
use crate::record::{AcceptedRevision, MAX_RECORD_BYTES, ServiceRecord};

/// A text that is to be put in force.
#[derive(Debug)]
pub struct Edit<'a> {
    text: &'a str,
    author: &'a str,
    from: Option<Revision>,
    nonce: Nonce,
}

/// What became of an edit.
#[derive(Debug, Serialize)]
pub struct Applied {
    /// The service.
    pub service: ServiceName,
    /// The revision that holds the text.
    pub revision: Revision,
    /// Whether the edit made this revision; false if the text was in force before.
    pub written: bool,
    /// Whether nothing was to be written.
    pub dry_run: bool,
    /// The change as a line difference.
    pub change: Box<str>,
    /// The revision in force, if another edit was accepted after this one.
    pub superseded_by: Option<AcceptedRevision>,
}

impl<'a> Edit<'a> {
    /// An edit made from a revision, or from the one in force if none is given.
    pub fn new(text: &'a str, author: &'a str, from: Option<Revision>) -> Self {
        Self {
            text,
            author,
            from,
            nonce: new_nonce(),
        }
    }
}

/// Puts a document in force; a lost answer is resolved by reading the record back.
///
/// # Errors
///
/// Fails on a refused document, on a lost race and if the platform does not answer by `until`.
pub async fn apply<S: Store>(store: &S, edit: &Edit<'_>, until: Instant) -> Result<Applied, Error> {
    let document = document_from_str(edit.text)?;
    let key = keys::service(&document.service);
    let mut pauses = Pauses::new(until);
    let mut base = edit.from;
    let mut sent = false;
    loop {
        let found = store::read(store, &document.service, until).await;
        let (previous, index) = split(found.map_err(|error| unresolved(&document, sent, error))?);
        if let Some(applied) = accepted(&document, edit, previous.as_ref()) {
            return Ok(applied);
        }
        let expected = *base.get_or_insert(revision_of(previous.as_ref()));
        check_race(&document, expected, previous.as_ref(), sent)?;
        check_change(edit, previous.as_ref())?;
        if let Some(applied) = unchanged(&document, edit, previous.as_ref()) {
            return Ok(applied);
        }
        let value = value(edit, previous)?;
        let error = match store.compare_and_swap(&key, index, value).await {
            Ok(_) => continue,
            Err(error) => error,
        };
        sent |= error.may_have_taken_effect();
        if !pauses.pause().await {
            return Err(unresolved(&document, sent, error.into()));
        }
    }
}

/// Checks a document and shows the difference without writing.
///
/// # Errors
///
/// Fails as [`apply`] would.
pub async fn compare<S: Store>(
    store: &S,
    edit: &Edit<'_>,
    until: Instant,
) -> Result<Applied, Error> {
    let document = document_from_str(edit.text)?;
    let (previous, _) = split(store::read(store, &document.service, until).await?);
    let revision = revision_of(previous.as_ref());
    let expected = edit.from.unwrap_or(revision);
    check_race(&document, expected, previous.as_ref(), false)?;
    check_change(edit, previous.as_ref())?;
    Ok(Applied {
        change: change(edit.text, previous.as_ref().map(|record| &record.current)),
        service: document.service,
        revision,
        written: false,
        dry_run: true,
        superseded_by: None,
    })
}

fn split(found: Option<(ServiceRecord, Index)>) -> (Option<ServiceRecord>, Index) {
    match found {
        Some((record, index)) => (Some(record), index),
        None => (None, Index(0)),
    }
}

fn revision_of(record: Option<&ServiceRecord>) -> Revision {
    record.map_or(Revision(0), |record| record.current.revision)
}

/// Finds the edit in the record: in force, or already followed by others.
fn accepted(
    document: &ServiceDocument,
    edit: &Edit<'_>,
    record: Option<&ServiceRecord>,
) -> Option<Applied> {
    let record = record?;
    let mine = record.find(edit.nonce)?;
    let before = Revision(mine.revision.0 - 1);
    let base = record.revisions().find(|other| other.revision == before);
    let superseded = record.current.nonce != edit.nonce;
    Some(Applied {
        service: document.service.clone(),
        revision: mine.revision,
        written: true,
        dry_run: false,
        change: change(edit.text, base),
        superseded_by: superseded.then(|| record.current.clone()),
    })
}

fn unchanged(
    document: &ServiceDocument,
    edit: &Edit<'_>,
    record: Option<&ServiceRecord>,
) -> Option<Applied> {
    let current = &record?.current;
    (*current.document == *edit.text).then(|| Applied {
        service: document.service.clone(),
        revision: current.revision,
        written: false,
        dry_run: false,
        change: "".into(),
        superseded_by: None,
    })
}

/// Refuses an edit that was not made from the revision in force.
fn check_race(
    document: &ServiceDocument,
    expected: Revision,
    record: Option<&ServiceRecord>,
    sent: bool,
) -> Result<(), Error> {
    let Some(record) = record.filter(|record| record.current.revision != expected) else {
        return match record {
            None if expected != Revision(0) => Err(Error::UnknownService(document.service.clone())),
            _ => Ok(()),
        };
    };
    let follower = Revision(expected.0 + 1);
    let reaches_back = record.revisions().any(|other| other.revision == follower);
    if sent && !reaches_back {
        return Err(Error::Forgotten { base: expected });
    }
    let base = record.revisions().find(|other| other.revision == expected);
    let race = Race {
        service: document.service.clone(),
        expected,
        found: record.current.clone(),
        change: change(&record.current.document, base),
    };
    Err(Box::new(race).into())
}

fn check_change(edit: &Edit<'_>, record: Option<&ServiceRecord>) -> Result<(), Error> {
    let current = record.map(|record| document_from_str(&record.current.document));
    if let Some(Ok(current)) = current {
        replacement_from_str(&current, edit.text)?;
    }
    Ok(())
}

fn value(edit: &Edit<'_>, previous: Option<ServiceRecord>) -> Result<Vec<u8>, Error> {
    let record = ServiceRecord::with_edit(previous, edit.nonce, edit.author, now_ms(), edit.text);
    let value = serde_json::to_vec(&record)?;
    match value.len() {
        size_bytes if size_bytes > MAX_RECORD_BYTES => Err(Error::TooLarge {
            size_bytes,
            max_bytes: MAX_RECORD_BYTES,
        }),
        _ => Ok(value),
    }
}

fn change(text: &str, base: Option<&AcceptedRevision>) -> Box<str> {
    let (name, document) = match base {
        Some(base) => (format!("revision {}", base.revision), &*base.document),
        None => ("nothing".to_owned(), ""),
    };
    diff::unified((&name, document), ("edit", text)).into()
}

fn unresolved(document: &ServiceDocument, sent: bool, error: Error) -> Error {
    match error {
        Error::Platform(source) if sent => Error::Unresolved {
            service: document.service.clone(),
            source,
        },
        other => other,
    }
}
