//! Watches on rows of the store, and what follows from those of the operator and of trainers.

use std::rc::Rc;
use std::time::Duration;

use wisteriapoint_store::{Backoff, Change, Error, Freshness, Index, Row, TransactionalStore};

use crate::dialect::{Dialect, OperatorRow};
use crate::event;
use crate::node::Node;

/// Longest wait of one watch; the longest that the platform takes.
pub const WAIT: Duration = Duration::from_secs(30);

/// Follows the configuration.
pub async fn configuration<D: Dialect>(node: Rc<Node<D>>) {
    follow(&node, D::CONFIGURATION_KEY, |rows| learn_all(&node, rows)).await;
}

/// Follows all rows of the operator and of trainers, as the keeper does.
pub async fn operator<D: Dialect>(node: Rc<Node<D>>) {
    follow(&node, D::OPERATOR_PREFIX, |rows| learn_all(&node, rows)).await;
}

fn learn_all<D: Dialect>(node: &Node<D>, rows: Rows<'_>) {
    match rows {
        Rows::All(rows, _) => rows.iter().for_each(|row| learn(node, row)),
        Rows::Changes(changes, _) => {
            for change in changes {
                if let Change::Written(row) = change {
                    learn(node, row);
                }
            }
        }
    }
}

/// What a watch has to tell, and the revision up to which that reaches.
pub enum Rows<'a> {
    /// All rows.
    All(&'a [Row], Index),
    /// Rows that changed.
    Changes(&'a [Change], Index),
}

async fn follow<D: Dialect>(node: &Rc<Node<D>>, prefix: &'static str, take: impl Fn(Rows<'_>)) {
    let mut backoff = Backoff::new();
    let mut after: Option<Index> = None;
    loop {
        let result = match after {
            None => read_all(node, prefix, &take).await,
            Some(revision) => read_changes(node, prefix, revision, &take).await,
        };
        match result {
            Ok(revision) => {
                after = Some(revision);
                backoff = Backoff::new();
            }
            Err(error) if error.is_history_gone() => {
                event!(info, "history gone", prefix = prefix);
                after = None;
            }
            Err(error) => {
                event!(info, "watch failed", prefix = prefix, why = error);
                // What changed meanwhile may never be told: a store that forgets its history
                // goes on to take watches from before for a while.
                after = None;
                node.health.pause(backoff.next_pause()).await;
            }
        }
    }
}

/// Reads all rows under a prefix; gives the revision from which a watch goes on.
///
/// # Errors
///
/// Fails if the store does not answer.
pub async fn read_all<D: Dialect>(
    node: &Rc<Node<D>>,
    prefix: &str,
    take: &impl Fn(Rows<'_>),
) -> Result<Index, Error> {
    let rows = node.store.range(prefix, Freshness::Linearizable).await;
    node.note_store("read", &rows);
    let (rows, revision) = rows?;
    take(Rows::All(&rows, revision));
    node.check_ready();
    Ok(revision)
}

/// Waits for changes under a prefix after a revision; gives the one up to which they reach.
///
/// # Errors
///
/// Fails if the store does not answer or its history is gone.
pub async fn read_changes<D: Dialect>(
    node: &Rc<Node<D>>,
    prefix: &str,
    after: Index,
    take: &impl Fn(Rows<'_>),
) -> Result<Index, Error> {
    let changes = tokio::select! {
        changes = node.store.watch(prefix, after, WAIT) => changes,
        () = node.health.regained() => return Err(Error::HistoryGone),
    };
    node.note_store("watch", &changes);
    let (changes, revision) = changes?;
    if !changes.is_empty() {
        take(Rows::Changes(&changes, revision));
    }
    Ok(revision)
}

fn learn<D: Dialect>(node: &Node<D>, row: &Row) {
    let understood = match D::operator_row(&row.key, &row.value) {
        Ok(understood) => understood,
        Err(error) => {
            event!(warn, "row not understood", key = row.key, why = error);
            return;
        }
    };
    let mut directory = node.directory.borrow_mut();
    match understood {
        OperatorRow::Configuration(new) => {
            let known = directory.configuration.as_ref().map(|known| known.version);
            if known.is_none_or(|known| known < new.version) {
                event!(
                    info,
                    "configuration in force",
                    version = new.version,
                    routes = new.routes.len(),
                    revision = row.revision.0,
                );
                node.metrics
                    .set_state("configuration_version", new.version as i64);
                directory.configuration = Some(Rc::new(new));
            }
        }
        OperatorRow::NamedVersion { model, version } => {
            let known = directory.named.entry(model.clone()).or_default();
            if *known < version {
                *known = version;
                event!(info, "version named", model = model, version = version);
            }
        }
        OperatorRow::Retirement { vm } => {
            directory.retiring.insert(vm);
        }
    }
    drop(directory);
    node.check_ready();
    node.directory_changed.notify_waiters();
}
