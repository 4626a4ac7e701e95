//! Rows that name the software versions which may have begun streams, and outlive all nodes.
//!
//! A node begins a stream only at a version that the row of the service names. The leader removes a
//! version once no caller can wait for a stream that it began. So the row tells a node without any
//! memory whether all streams of a service were begun by one version.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::{Instant, sleep, timeout};
use wisteriapoint_directory::{RECORD_LAG_MS, Route, RouteKind, SoftwareHistory, SoftwareRecord};
use wisteriapoint_store::{
    CommitOutcome, Error, Freshness, Index, Transaction, TransactionalStore,
};
use wisteriapoint_types::{ServiceName, SoftwareVersion};

use crate::clock::boot_ms;
use crate::dialect::Dialect;
use crate::event;
use crate::node::Node;

/// Prefix of the keys of the rows; the name of the service follows.
const PREFIX: &str = "wp/software/";
/// Longest time for which a caller waits for a row to be read or written: some calls to a store that
/// answers in milliseconds.
const ROW_TIMEOUT: Duration = Duration::from_millis(500);
/// Number of attempts to write a row that others write at the same time.
const MAX_COMMITS: u32 = 8;
/// Interval at which a node checks whether the rows name the versions of its endpoints.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Number of checks after which a node adds a version itself that the leader has not added.
const CHECKS_BEFORE_WRITE: u32 = 6;
/// Interval at which the leader reads the rows to see versions that other nodes have added.
const LEADER_READ_INTERVAL: Duration = Duration::from_secs(60);
/// Time without a current view of the endpoints after which a node checks again which versions the
/// rows name, in milliseconds: half of that for which the leader keeps an unregistered one.
const MAX_VIEW_GAP_MS: u64 = 30_000;

/// What a node knows of the rows.
#[derive(Debug, Default)]
pub struct SoftwareRows {
    /// Registered versions that the rows name.
    recorded: RefCell<BTreeSet<(ServiceName, Option<SoftwareVersion>)>>,
    /// The versions that were registered, as long as this node is the leader.
    history: RefCell<SoftwareHistory>,
    /// Time of the first view of the endpoints, in milliseconds.
    first_view_ms: Cell<Option<u64>>,
    /// Time of the latest current view of the endpoints, on the clock that suspension doesn't stop.
    latest_view_boot_ms: Cell<u64>,
    /// Whether all members record the versions at which they begin streams.
    all_nodes_record: Cell<bool>,
    /// The rows as last read for callers, and when the read began.
    reads: Mutex<BTreeMap<ServiceName, (Instant, SoftwareRecord)>>,
}

impl SoftwareRows {
    /// Sets whether all members record the versions at which they begin streams.
    pub fn set_all_nodes_record(&self, all_nodes_record: bool) {
        self.all_nodes_record.set(all_nodes_record);
    }

    fn is_recorded(&self, service: &ServiceName, software: Option<&SoftwareVersion>) -> bool {
        let version = (service.clone(), software.cloned());
        self.recorded.borrow().contains(&version)
    }

    fn set_recorded(&self, service: &ServiceName, record: &SoftwareRecord) {
        let versions = record.versions.iter();
        let versions = versions.map(|software| (service.clone(), software.clone()));
        self.recorded.borrow_mut().extend(versions);
    }
}

/// Forgets that the rows name versions that are no longer registered, and observes those that are.
pub fn observe_versions<D: Dialect>(node: &Node<D>) {
    let directory = node.directory.borrow();
    if !directory.endpoints_loaded || !node.knows_endpoints() {
        return;
    }
    let rows = &node.streams.software;
    let now_boot_ms = boot_ms();
    if rows.first_view_ms.get().is_none() {
        rows.first_view_ms.set(Some(node.now_ms()));
    }
    let latest_boot_ms = rows.latest_view_boot_ms.replace(now_boot_ms);
    let mut recorded = rows.recorded.borrow_mut();
    if latest_boot_ms + MAX_VIEW_GAP_MS < now_boot_ms {
        recorded.clear();
    }
    if !recorded.is_empty() {
        let records = directory.registry.iter().map(|(_, entry)| &entry.record);
        let registered: BTreeSet<_> = records
            .map(|record| (&record.service, &record.software))
            .collect();
        recorded.retain(|(service, software)| registered.contains(&(service, software)));
    }
    match node.is_leader() {
        true => rows
            .history
            .borrow_mut()
            .observe(now_boot_ms, &directory.registry),
        false => drop(rows.history.take()),
    }
}

/// Returns `true` once the row of a service names a version, so that a stream may begin at it.
///
/// Waits for the store only if this node doesn't know so yet, and only if `may_wait`.
pub(crate) async fn ensure_recorded<D: Dialect>(
    node: &Node<D>,
    service: &ServiceName,
    software: Option<&SoftwareVersion>,
    may_wait: bool,
) -> bool {
    if node.streams.software.is_recorded(service, software) {
        return true;
    }
    if !may_wait || node.store_health.is_failing() {
        return false;
    }
    let added = add(node, service, software);
    matches!(timeout(ROW_TIMEOUT, added).await, Ok(Ok(())))
}

/// Adds a version to the row of a service unless the row names it.
async fn add<D: Dialect>(
    node: &Node<D>,
    service: &ServiceName,
    software: Option<&SoftwareVersion>,
) -> Result<(), Error> {
    update(node, service, |record| {
        record.clone().with_version(software.cloned())
    })
    .await
    .map(drop)
}

/// Replaces the row of a service by what `change` makes of it, and returns that.
async fn update<D: Dialect>(
    node: &Node<D>,
    service: &ServiceName,
    change: impl Fn(&SoftwareRecord) -> SoftwareRecord,
) -> Result<SoftwareRecord, Error> {
    for _ in 0..MAX_COMMITS {
        let (stored, revision) = read(node, service).await?;
        let record = change(&stored);
        if record != stored {
            let value = serde_json::to_vec(&record);
            let value = value.map_err(|error| Error::Malformed(error.to_string().into()))?;
            let key = key(service);
            let transaction = Transaction::new()
                .with_expected(&*key, revision)
                .with_put(&*key, value);
            let committed = node.store.commit(&transaction).await;
            node.record_store_call("software", &committed);
            if !matches!(committed?, CommitOutcome::Done(_)) {
                continue;
            }
            event!(
                info,
                "software versions of service recorded",
                service = service,
                versions = join_versions(&record),
                is_complete = record.is_complete,
            );
        }
        node.streams.software.set_recorded(service, &record);
        return Ok(record);
    }
    Err(Error::Malformed("row changes too often".into()))
}

/// Reads the row of a service, and its revision; a row that is missing or malformed names nothing.
async fn read<D: Dialect>(
    node: &Node<D>,
    service: &ServiceName,
) -> Result<(SoftwareRecord, Index), Error> {
    let row = node.store.row(&key(service), Freshness::Linearizable).await;
    node.record_store_call("software-read", &row);
    let Some(row) = row?.0 else {
        return Ok((SoftwareRecord::default(), Index(0)));
    };
    let record = serde_json::from_slice(&row.value).unwrap_or_else(|error| {
        event!(
            error,
            "row of software versions malformed; ignored",
            key = row.key,
            error = error
        );
        SoftwareRecord::default()
    });
    Ok((record, row.revision))
}

/// Returns the versions of a record for the log, with an empty one for endpoints that state none.
fn join_versions(record: &SoftwareRecord) -> String {
    let versions = record.versions.iter();
    let versions = versions.map(|version| version.as_ref().map_or("", SoftwareVersion::as_str));
    versions.collect::<Vec<_>>().join(",")
}

fn key(service: &ServiceName) -> String {
    format!("{PREFIX}{service}")
}

/// Why the version that began a stream can't be known.
#[derive(Debug, Clone, Copy)]
pub enum UnknownOrigin {
    /// It is not known.
    Unknown,
    /// The version is known, but not yet whether endpoints still run what their rows say.
    Starting {
        /// Time until it is, in milliseconds.
        wait_ms: u64,
    },
}

/// Returns the service and the version of any stream of a route, if only one version of its only
/// service has begun streams for which callers still wait.
pub(crate) async fn sole<D: Dialect>(
    node: &Node<D>,
    route: &Route,
) -> Result<(ServiceName, SoftwareVersion), UnknownOrigin> {
    let rows = &node.streams.software;
    let [split] = &*route.splits else {
        return Err(UnknownOrigin::Unknown);
    };
    if !rows.all_nodes_record.get() || !node.knows_endpoints() {
        return Err(UnknownOrigin::Unknown);
    }
    let read = timeout(ROW_TIMEOUT, read_shared(node, &split.service)).await;
    let record = read.ok().flatten().ok_or(UnknownOrigin::Unknown)?;
    let software = record.sole().ok_or(UnknownOrigin::Unknown)?;
    // Without the memory of another node, an endpoint may be back under its name with other software.
    let now_ms = node.now_ms();
    let confirmed_ms = rows.first_view_ms.get().unwrap_or(now_ms) + RECORD_LAG_MS;
    match confirmed_ms.saturating_sub(now_ms) {
        0 => Ok((split.service.clone(), software.clone())),
        wait_ms => Err(UnknownOrigin::Starting { wait_ms }),
    }
}

/// Reads the row of a service; callers that arrive before a read begins share it.
async fn read_shared<D: Dialect>(node: &Node<D>, service: &ServiceName) -> Option<SoftwareRecord> {
    let arrived = Instant::now();
    let mut reads = node.streams.software.reads.lock().await;
    if let Some((began, record)) = reads.get(service)
        && arrived <= *began
    {
        return Some(record.clone());
    }
    let began = Instant::now();
    let (record, _) = read(node, service).await.ok()?;
    reads.insert(service.clone(), (began, record.clone()));
    Some(record)
}

/// Keeps the rows current as the leader, until it no longer leads.
pub async fn maintain_rows<D: Dialect>(node: &Rc<Node<D>>) {
    let mut stored = BTreeMap::new();
    let mut read_due = Instant::now();
    loop {
        if Instant::now() >= read_due {
            stored.clear();
            read_due = Instant::now() + LEADER_READ_INTERVAL;
        }
        for service in resumable_services(node) {
            let known = stored.get(&service);
            if known.is_some_and(|known| updated(node, &service, known) == *known) {
                continue;
            }
            match update(node, &service, |record| updated(node, &service, record)).await {
                Ok(record) => drop(stored.insert(service, record)),
                Err(error) => event!(
                    info,
                    "software versions of service not recorded; retrying",
                    service = service,
                    error = error
                ),
            }
        }
        sleep(CHECK_INTERVAL).await;
    }
}

fn updated<D: Dialect>(
    node: &Node<D>,
    service: &ServiceName,
    stored: &SoftwareRecord,
) -> SoftwareRecord {
    let rows = &node.streams.software;
    let mut history = rows.history.borrow_mut();
    history.updated(boot_ms(), service, stored, rows.all_nodes_record.get())
}

/// Checks before any stream begins whether the rows name the versions of the endpoints, as the store
/// may be away when one does.
pub async fn check_rows<D: Dialect>(node: Rc<Node<D>>) {
    let mut failed_checks = 0;
    loop {
        sleep(CHECK_INTERVAL).await;
        if node.is_leader() || node.store_health.is_failing() {
            continue;
        }
        let mut is_any_missing = false;
        for (service, software) in unrecorded(&node) {
            let checked = match failed_checks {
                ..CHECKS_BEFORE_WRITE => check_row(&node, &service).await,
                _ => add(&node, &service, software.as_ref()).await,
            };
            is_any_missing |= checked.is_err()
                || !node
                    .streams
                    .software
                    .is_recorded(&service, software.as_ref());
        }
        failed_checks = match is_any_missing {
            true => failed_checks + 1,
            false => 0,
        };
    }
}

async fn check_row<D: Dialect>(node: &Node<D>, service: &ServiceName) -> Result<(), Error> {
    let (record, _) = read(node, service).await?;
    node.streams.software.set_recorded(service, &record);
    Ok(())
}

/// Returns the registered versions of which this node does not know that the rows name them.
fn unrecorded<D: Dialect>(node: &Node<D>) -> BTreeSet<(ServiceName, Option<SoftwareVersion>)> {
    let services = resumable_services(node);
    let directory = node.directory.borrow();
    let records = directory.registry.iter().map(|(_, entry)| &entry.record);
    let rows = &node.streams.software;
    records
        .filter(|record| services.contains(&record.service))
        .filter(|record| !rows.is_recorded(&record.service, record.software.as_ref()))
        .map(|record| (record.service.clone(), record.software.clone()))
        .collect()
}

/// Returns the services to which routes of streams lead that callers may take up. Items of batch jobs,
/// whose routes may be resumable too, carry their version with their output.
fn resumable_services<D: Dialect>(node: &Node<D>) -> BTreeSet<ServiceName> {
    let Some(configuration) = node.configuration() else {
        return BTreeSet::new();
    };
    let routes = configuration.routes.iter();
    let routes = routes.filter(|route| route.resumable && route.kind == RouteKind::Streaming);
    let splits = routes.flat_map(|route| &route.splits);
    splits.map(|split| split.service.clone()).collect()
}
