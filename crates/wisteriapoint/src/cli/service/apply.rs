//! Edits of service documents by compare-and-swap.

use serde::Serialize;
use tokio::time::Instant;
use wisteriapoint_settings::{ServiceDocument, document_from_str, replacement_from_str};
use wisteriapoint_store::{Index, Store, keys};
use wisteriapoint_types::{Nonce, Revision, ServiceName};

use super::store::{self, DeadlineBackoff};
use super::{diff, new_nonce, now_ms};
use crate::Error;
use crate::error::EditConflict;
use crate::record::{AcceptedRevision, MAX_RECORD_BYTES, ServiceRecord};

/// A new text for a service document.
#[derive(Debug)]
pub struct Edit<'a> {
    text: &'a str,
    author: &'a str,
    from: Option<Revision>,
    nonce: Nonce,
}

/// Result of an edit.
#[derive(Debug, Serialize)]
pub struct Applied {
    /// Service whose document was edited.
    pub service: ServiceName,
    /// Revision that contains the text, or the one in force if nothing was to be written.
    pub revision: Revision,
    /// Whether the edit created this revision; `false` if the text was already in force.
    pub written: bool,
    /// Whether the edit was only checked and compared.
    pub dry_run: bool,
    /// Line diff from the revision that the edit replaces.
    pub change: Box<str>,
    /// Revision in force, if another edit was accepted after this one.
    pub superseded_by: Option<AcceptedRevision>,
}

impl<'a> Edit<'a> {
    /// Creates an edit made from a revision, or from the one in force if none is given.
    pub fn new(text: &'a str, author: &'a str, from: Option<Revision>) -> Self {
        Self {
            text,
            author,
            from,
            nonce: new_nonce(),
        }
    }
}

/// Puts a document in force.
///
/// If the response to a write is lost, reads the record again to find out whether the edit was
/// accepted.
///
/// # Errors
///
/// Fails if the document is invalid, if another edit was accepted first or if the platform does
/// not answer by `deadline`.
pub async fn apply_edit<S: Store>(
    store: &S,
    edit: &Edit<'_>,
    deadline: Instant,
) -> Result<Applied, Error> {
    let document = document_from_str(edit.text)?;
    let key = keys::service(&document.service);
    let mut backoff = DeadlineBackoff::new(deadline);
    let mut base = edit.from;
    let mut is_ambiguous = false;
    loop {
        let found = store::read(store, &document.service, deadline).await;
        let (previous, index) =
            record_and_index(found.map_err(|error| edit_error(&document, is_ambiguous, error))?);
        if let Some(applied) = find_accepted(&document, edit, previous.as_ref()) {
            return Ok(applied);
        }
        let expected = *base.get_or_insert(revision_of(previous.as_ref()));
        check_conflict(&document, expected, previous.as_ref(), is_ambiguous)?;
        check_replacement(edit, previous.as_ref())?;
        if let Some(applied) = unchanged(&document, edit, previous.as_ref()) {
            return Ok(applied);
        }
        let value = encode_record(edit, previous)?;
        let error = match store.compare_and_swap(&key, index, value).await {
            Ok(_) => continue,
            Err(error) => error,
        };
        is_ambiguous |= error.may_have_taken_effect();
        if !backoff.wait().await {
            return Err(edit_error(&document, is_ambiguous, error.into()));
        }
    }
}

/// Checks a document and compares it with the one in force, without writing.
///
/// # Errors
///
/// Fails as [`apply_edit`] would.
pub async fn preview_edit<S: Store>(
    store: &S,
    edit: &Edit<'_>,
    deadline: Instant,
) -> Result<Applied, Error> {
    let document = document_from_str(edit.text)?;
    let (previous, _) = record_and_index(store::read(store, &document.service, deadline).await?);
    let revision = revision_of(previous.as_ref());
    let expected = edit.from.unwrap_or(revision);
    check_conflict(&document, expected, previous.as_ref(), false)?;
    check_replacement(edit, previous.as_ref())?;
    Ok(Applied {
        change: diff_from(edit.text, previous.as_ref().map(|record| &record.current)),
        service: document.service,
        revision,
        written: false,
        dry_run: true,
        superseded_by: None,
    })
}

fn record_and_index(found: Option<(ServiceRecord, Index)>) -> (Option<ServiceRecord>, Index) {
    match found {
        Some((record, index)) => (Some(record), index),
        None => (None, Index(0)),
    }
}

fn revision_of(record: Option<&ServiceRecord>) -> Revision {
    record.map_or(Revision(0), |record| record.current.revision)
}

/// Returns the result of an edit that the record contains, in force or already superseded.
fn find_accepted(
    document: &ServiceDocument,
    edit: &Edit<'_>,
    record: Option<&ServiceRecord>,
) -> Option<Applied> {
    let record = record?;
    let accepted = record.find(edit.nonce)?;
    let before = Revision(accepted.revision.0 - 1);
    let base = record.revisions().find(|other| other.revision == before);
    let superseded = record.current.nonce != edit.nonce;
    Some(Applied {
        service: document.service.clone(),
        revision: accepted.revision,
        written: true,
        dry_run: false,
        change: diff_from(edit.text, base),
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

/// Checks that the edit was made from the revision in force.
fn check_conflict(
    document: &ServiceDocument,
    expected: Revision,
    record: Option<&ServiceRecord>,
    is_ambiguous: bool,
) -> Result<(), Error> {
    let Some(record) = record.filter(|record| record.current.revision != expected) else {
        return match record {
            None if expected != Revision(0) => Err(Error::UnknownService(document.service.clone())),
            _ => Ok(()),
        };
    };
    let successor = Revision(expected.0 + 1);
    let has_successor = record.revisions().any(|other| other.revision == successor);
    if is_ambiguous && !has_successor {
        return Err(Error::HistoryTruncated { base: expected });
    }
    let base = record.revisions().find(|other| other.revision == expected);
    let conflict = EditConflict {
        service: document.service.clone(),
        expected,
        found: record.current.clone(),
        change: diff_from(&record.current.document, base),
    };
    Err(Box::new(conflict).into())
}

fn check_replacement(edit: &Edit<'_>, record: Option<&ServiceRecord>) -> Result<(), Error> {
    let current = record.map(|record| document_from_str(&record.current.document));
    if let Some(Ok(current)) = current {
        replacement_from_str(&current, edit.text)?;
    }
    Ok(())
}

fn encode_record(edit: &Edit<'_>, previous: Option<ServiceRecord>) -> Result<Vec<u8>, Error> {
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

fn diff_from(text: &str, base: Option<&AcceptedRevision>) -> Box<str> {
    let (name, document) = match base {
        Some(base) => (format!("revision {}", base.revision), &*base.document),
        None => ("nothing".to_owned(), ""),
    };
    diff::unified((&name, document), ("edit", text)).into()
}

fn edit_error(document: &ServiceDocument, is_ambiguous: bool, error: Error) -> Error {
    match error {
        Error::Platform(source) if is_ambiguous => Error::AmbiguousEdit {
            service: document.service.clone(),
            source,
        },
        other => other,
    }
}
