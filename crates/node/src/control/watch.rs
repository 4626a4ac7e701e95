//! Watches on rows of the store, and the handling of rows of the operator and of trainers.

use std::rc::Rc;
use std::time::Duration;

use wisteriapoint_store::{Backoff, Change, Error, Freshness, Index, Row, TransactionalStore};

use crate::clock::boot_ms;
use crate::dialect::{Dialect, OperatorRow};
use crate::event;
use crate::node::Node;

/// Longest wait of one watch that the platform accepts.
pub const MAX_WATCH_WAIT: Duration = Duration::from_secs(30);

/// Watches the configuration and applies new versions.
pub async fn watch_configuration<D: Dialect>(node: Rc<Node<D>>) {
    watch_rows(&node, D::CONFIGURATION_KEY, |rows| {
        apply_operator_rows(&node, rows, Source::Read)
    })
    .await;
}

/// Watches and applies all rows of the operator and of trainers; run by the leader only.
pub async fn watch_operator_rows<D: Dialect>(node: Rc<Node<D>>) {
    watch_rows(&node, D::OPERATOR_PREFIX, |rows| {
        apply_operator_rows(&node, rows, Source::Read)
    })
    .await;
}

/// Applies rows; `read_source` is the source of a read of all rows.
fn apply_operator_rows<D: Dialect>(node: &Node<D>, rows: RowUpdate<'_>, read_source: Source) {
    match rows {
        RowUpdate::All(rows, _) => {
            let rows = rows.iter();
            rows.for_each(|row| apply_operator_row(node, row, read_source))
        }
        RowUpdate::Changes(changes, _) => {
            for change in changes {
                if let Change::Written(row) = change {
                    apply_operator_row(node, row, Source::Watch);
                }
            }
        }
    }
}

/// How a node learned of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// A read from which a watch continues.
    Read,
    Watch,
    /// A read that checks whether a watch has delivered all changes.
    Check,
}

/// The result of a read or a watch, and the revision up to which it is current.
pub enum RowUpdate<'a> {
    /// All rows.
    All(&'a [Row], Index),
    /// Rows that were written or removed after the previous revision.
    Changes(&'a [Change], Index),
}

async fn watch_rows<D: Dialect>(
    node: &Rc<Node<D>>,
    prefix: &'static str,
    apply: impl Fn(RowUpdate<'_>),
) {
    let mut backoff = Backoff::new();
    let mut after: Option<Index> = None;
    loop {
        let result = match after {
            None => read_all(node, prefix, &apply).await,
            Some(revision) => read_changes(node, prefix, revision, &apply).await,
        };
        match result {
            Ok(revision) => {
                after = Some(revision);
                backoff = Backoff::new();
            }
            Err(error) if error.is_history_gone() => {
                event!(
                    info,
                    "watch can't continue after the last revision; reading all rows",
                    prefix = prefix
                );
                after = None;
            }
            Err(error) => {
                event!(
                    info,
                    "read or watch of rows failed; reading all rows",
                    prefix = prefix,
                    error = error
                );
                // Changes in the meantime may never arrive: a store that has discarded its history
                // still accepts watches from earlier revisions for a while.
                after = None;
                node.store_health.pause(backoff.next_pause()).await;
            }
        }
    }
}

/// Reads all rows under a prefix; returns the revision from which a watch continues.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn read_all<D: Dialect>(
    node: &Node<D>,
    prefix: &str,
    apply: &impl Fn(RowUpdate<'_>),
) -> Result<Index, Error> {
    let called_boot_ms = boot_ms();
    let rows = node.store.range(prefix, Freshness::Linearizable).await;
    node.record_store_call("read", &rows);
    let (rows, revision) = rows?;
    apply(RowUpdate::All(&rows, revision));
    let mut configurations = rows.iter().filter(|row| *row.key == *D::CONFIGURATION_KEY);
    let is_parsed =
        |row: &Row| is_in_force(node, row) || D::parse_operator_row(&row.key, &row.value).is_ok();
    // What a malformed configuration says of the keys is not known.
    if D::CONFIGURATION_KEY.starts_with(prefix) && configurations.all(is_parsed) {
        confirm_configuration(node, called_boot_ms);
    }
    node.update_readiness();
    Ok(revision)
}

/// Waits for changes under a prefix after a revision; returns the revision up to which they reach.
///
/// # Errors
///
/// Fails if the store does not answer, recovers from a failure during the watch, or no longer keeps
/// the history after the revision.
pub async fn read_changes<D: Dialect>(
    node: &Rc<Node<D>>,
    prefix: &str,
    after: Index,
    apply: &impl Fn(RowUpdate<'_>),
) -> Result<Index, Error> {
    read_changes_within(node, prefix, after, MAX_WATCH_WAIT, apply).await
}

/// Same as [`read_changes`], with the longest time to wait for changes.
///
/// # Errors
///
/// As [`read_changes`].
pub async fn read_changes_within<D: Dialect>(
    node: &Rc<Node<D>>,
    prefix: &str,
    after: Index,
    wait: Duration,
    apply: &impl Fn(RowUpdate<'_>),
) -> Result<Index, Error> {
    let changes = tokio::select! {
        changes = node.store.watch(prefix, after, wait) => changes,
        () = node.store_health.watches_doubted() => return Err(Error::HistoryGone),
    };
    node.record_store_call("watch", &changes);
    let (changes, revision) = changes?;
    if !changes.is_empty() {
        apply(RowUpdate::Changes(&changes, revision));
    }
    Ok(revision)
}

/// Reads the configuration from the store, at the leader with all rows of the operator and of trainers,
/// and applies what the watches have not delivered.
///
/// # Errors
///
/// Fails if the store does not answer, or stores no configuration or a malformed one.
pub async fn check_configuration<D: Dialect>(node: &Node<D>) -> Result<(), Error> {
    let called_boot_ms = boot_ms();
    if node.is_leader() {
        let apply = |rows: RowUpdate<'_>| apply_operator_rows(node, rows, Source::Check);
        read_all(node, D::OPERATOR_PREFIX, &apply).await?;
        return match node.coordination.knowledge.age_ms(called_boot_ms) {
            Some(0) => Ok(()),
            _ => Err(Error::Malformed("no readable configuration".into())),
        };
    }
    let row = node
        .store
        .row(D::CONFIGURATION_KEY, Freshness::Linearizable)
        .await;
    node.record_store_call("read", &row);
    let Some(row) = row?.0 else {
        return Err(Error::Malformed("no configuration".into()));
    };
    if !is_in_force(node, &row) {
        let parsed = D::parse_operator_row(&row.key, &row.value)
            .map_err(|error| Error::Malformed(error.to_string().into()))?;
        apply_parsed_row(node, parsed, row.revision, Source::Check);
    }
    confirm_configuration(node, called_boot_ms);
    Ok(())
}

/// Returns `true` if a row is the one that holds the configuration in force.
fn is_in_force<D: Dialect>(node: &Node<D>, row: &Row) -> bool {
    *row.key == *D::CONFIGURATION_KEY
        && node.directory.borrow().configuration_revision == Some(row.revision)
}

/// Records that the configuration in force was the newest one as of a time.
fn confirm_configuration<D: Dialect>(node: &Node<D>, as_of_boot_ms: u64) {
    let knowledge = &node.coordination.knowledge;
    let age_ms = knowledge.age_ms(boot_ms()).unwrap_or_default();
    node.metrics
        .set_state("configuration_age_ms", age_ms as i64);
    knowledge.confirm(as_of_boot_ms);
}

fn apply_operator_row<D: Dialect>(node: &Node<D>, row: &Row, source: Source) {
    if is_in_force(node, row) {
        return;
    }
    match D::parse_operator_row(&row.key, &row.value) {
        Ok(parsed) => apply_parsed_row(node, parsed, row.revision, source),
        Err(error) if node.malformed_rows.is_new(row) => event!(
            warn,
            "operator row could not be parsed; ignored",
            key = row.key,
            error = error
        ),
        Err(_) => {}
    }
}

fn apply_parsed_row<D: Dialect>(
    node: &Node<D>,
    parsed: OperatorRow,
    revision: Index,
    source: Source,
) {
    let mut directory = node.directory.borrow_mut();
    let is_newer = match parsed {
        OperatorRow::Configuration(new) => {
            let current = directory
                .configuration
                .as_ref()
                .map(|current| current.version);
            let is_newer = current.is_none_or(|current| current < new.version);
            if is_newer {
                event!(
                    info,
                    "configuration in force",
                    version = new.version,
                    routes = new.routes.len(),
                    revision = revision.0,
                    source = format!("{source:?}"),
                    confirmed_ms_ago = node.coordination.knowledge.age_ms(boot_ms()).unwrap_or(0),
                );
                node.metrics
                    .set_state("configuration_version", new.version as i64);
                directory.configuration = Some(Rc::new(new));
                directory.configuration_revision = Some(revision);
            }
            is_newer
        }
        OperatorRow::PublishedVersion { model, version } => {
            let current = directory
                .published_versions
                .entry(model.clone())
                .or_default();
            let is_newer = *current < version;
            if is_newer {
                *current = version;
                event!(
                    info,
                    "new weight version published",
                    model = model,
                    version = version
                );
            }
            is_newer
        }
        OperatorRow::Retirement { vm } => directory.retiring_vms.insert(vm),
    };
    drop(directory);
    if is_newer && source == Source::Check {
        event!(
            warn,
            "a watch has missed a change; reading all rows again",
            revision = revision.0
        );
        node.store_health.record_missed_change();
    }
    node.update_readiness();
    node.directory_changed.notify_waiters();
}
