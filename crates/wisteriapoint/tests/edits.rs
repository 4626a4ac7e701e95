//! Tests operators' edits under conflicts, lost responses, platform outages and size limits.

mod fleet;

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use fleet::{Fleet, revision};
use tokio::time::{Instant, sleep};
use wisteriapoint::Error;
use wisteriapoint::cli::service::apply::{Applied, Edit, apply_edit, preview_edit};
use wisteriapoint::cli::service::wait;
use wisteriapoint::record::{MAX_RECORD_BYTES, ServiceRecord};
use wisteriapoint_stand_in::platform::Faults;
use wisteriapoint_stand_in::{Platform, RunningServer, serve};
use wisteriapoint_store::{Entry, Error as PlatformError, HttpStore, Index, Lease, Store, VmEntry};
use wisteriapoint_types::Revision;

const EDIT_TIMEOUT: Duration = Duration::from_secs(20);
const KEY: &str = "wisteriapoint/services/shopfront";

struct Fixture {
    platform: Platform,
    store: HttpStore,
    _running: RunningServer,
}

async fn fixture() -> Fixture {
    let platform = Platform::new();
    let running = serve::on_loopback(platform.router()).await.unwrap();
    let store = HttpStore::new(&format!("http://{}", running.address)).unwrap();
    Fixture {
        platform,
        store,
        _running: running,
    }
}

impl Fixture {
    fn record(&self) -> ServiceRecord {
        serde_json::from_slice(&self.platform.value(KEY).unwrap()).unwrap()
    }

    /// Returns a store whose first write is followed by other edits and gets no response.
    fn unanswered_store(&self, interfering_edits: u32) -> InterferingStore {
        InterferingStore {
            store: self.store.clone(),
            stale_read: None,
            interfering_edits,
            unanswered_writes: Arc::new(1.into()),
        }
    }
}

/// A store that injects stale reads, interfering edits and lost write responses.
#[derive(Clone)]
struct InterferingStore {
    store: HttpStore,
    stale_read: Option<(Entry, Arc<AtomicU32>)>,
    interfering_edits: u32,
    unanswered_writes: Arc<AtomicU32>,
}

fn decrement_if_positive(remaining: &AtomicU32) -> bool {
    let order = Ordering::Relaxed;
    remaining
        .fetch_update(order, order, |remaining| remaining.checked_sub(1))
        .is_ok()
}

impl Store for InterferingStore {
    async fn list(
        &self,
        prefix: &str,
        changed_since: Option<Index>,
        wait: Duration,
    ) -> Result<(Vec<Entry>, Index), PlatformError> {
        self.store.list(prefix, changed_since, wait).await
    }

    async fn get(&self, key: &str) -> Result<Option<Entry>, PlatformError> {
        match &self.stale_read {
            Some((entry, remaining)) if decrement_if_positive(remaining) => Ok(Some(entry.clone())),
            _ => self.store.get(key).await,
        }
    }

    async fn compare_and_swap(
        &self,
        key: &str,
        expected: Index,
        value: Vec<u8>,
    ) -> Result<bool, PlatformError> {
        let written = self.store.compare_and_swap(key, expected, value).await?;
        if !decrement_if_positive(&self.unanswered_writes) {
            return Ok(written);
        }
        for number in 0..self.interfering_edits {
            let text = document(9_000 + number);
            let edit = Edit::new(&text, "jonas", None);
            let edited = apply_edit(&self.store, &edit, Instant::now() + EDIT_TIMEOUT).await;
            assert!(edited.is_ok(), "{edited:?}");
        }
        Err(PlatformError::Unavailable("response lost".into()))
    }

    async fn grant_lease(
        &self,
        key: &str,
        value: Vec<u8>,
        ttl: Duration,
    ) -> Result<Lease, PlatformError> {
        self.store.grant_lease(key, value, ttl).await
    }

    async fn renew_lease(&self, lease: &Lease) -> Result<(), PlatformError> {
        self.store.renew_lease(lease).await
    }

    async fn release_lease(&self, lease: &Lease) -> Result<(), PlatformError> {
        self.store.release_lease(lease).await
    }

    async fn vms(&self) -> Result<Vec<VmEntry>, PlatformError> {
        self.store.vms().await
    }
}

fn document(deadline_ms: u32) -> String {
    format!(
        r#"{{
    "service": "shopfront",
    "owner": "shop team",
    "kind": "plain",
    "endpoints": [
        {{ "endpoint": "e", "address": "127.0.0.1:1", "failure_domain": "a", "vm": "v" }},
    ],
    "deadline_ms": {deadline_ms},
}}
"#
    )
}

async fn put<S: Store>(store: &S, text: &str, from: Option<u64>) -> Result<Applied, Error> {
    let edit = Edit::new(text, "kirsten", from.map(Revision));
    apply_edit(store, &edit, Instant::now() + EDIT_TIMEOUT).await
}

fn down(down: bool) -> Faults {
    Faults {
        down,
        ..Faults::default()
    }
}

#[tokio::test]
async fn an_edit_is_written_once_and_an_equal_text_not_again() {
    let fixture = fixture().await;
    let first = put(&fixture.store, &document(1), None).await.unwrap();
    assert!(first.written && first.revision == Revision(1));
    let second = put(&fixture.store, &document(2), Some(1)).await.unwrap();
    assert_eq!(second.revision, Revision(2));
    assert!(
        second
            .change
            .contains("-    \"deadline_ms\": 1,\n+    \"deadline_ms\": 2,")
    );
    let repeated = put(&fixture.store, &document(2), None).await.unwrap();
    assert!(!repeated.written && repeated.revision == Revision(2));
    assert_eq!(fixture.platform.calls().writes, 2);
}

#[tokio::test]
async fn a_lost_write_response_is_resolved_by_reading_the_record() {
    let fixture = fixture().await;
    fixture.platform.set_faults(Faults {
        drop_write_responses: 1,
        ..Faults::default()
    });
    let applied = put(&fixture.store, &document(1), None).await.unwrap();
    assert!(applied.written && applied.superseded_by.is_none());
    assert_eq!(fixture.record().revisions().count(), 1);
}

#[tokio::test]
async fn an_accepted_edit_followed_by_another_is_no_conflict() {
    let fixture = fixture().await;
    put(&fixture.store, &document(1), None).await.unwrap();
    let applied = put(&fixture.unanswered_store(2), &document(2), Some(1))
        .await
        .unwrap();
    assert_eq!(applied.revision, Revision(2));
    let later = applied.superseded_by.expect("no later edit was reported");
    assert_eq!((later.revision, &*later.author), (Revision(4), "jonas"));
}

#[tokio::test]
async fn an_edit_dropped_from_the_history_is_not_reported_as_a_conflict() {
    let fixture = fixture().await;
    put(&fixture.store, &document(1), None).await.unwrap();
    let error = put(&fixture.unanswered_store(25), &document(2), Some(1))
        .await
        .unwrap_err();
    let expected = Error::HistoryTruncated { base: Revision(1) };
    assert_eq!(error.to_string(), expected.to_string());
}

#[tokio::test]
async fn an_edit_conflict_names_the_other_edit() {
    let fixture = fixture().await;
    put(&fixture.store, &document(1), None).await.unwrap();
    let other = document(2);
    let other = Edit::new(&other, "jonas", Some(Revision(1)));
    apply_edit(&fixture.store, &other, Instant::now() + EDIT_TIMEOUT)
        .await
        .unwrap();
    let error = put(&fixture.store, &document(3), Some(1))
        .await
        .unwrap_err();
    let Error::EditConflict(conflict) = &error else {
        panic!("{error}");
    };
    assert_eq!(
        (conflict.expected, conflict.found.revision),
        (Revision(1), Revision(2))
    );
    assert_eq!(&*conflict.found.author, "jonas");
    assert!(
        conflict
            .change
            .contains("-    \"deadline_ms\": 1,\n+    \"deadline_ms\": 2,")
    );
    assert_eq!(&*fixture.record().current.document, document(2));
    assert_eq!(error.exit_code(), 4);
}

#[tokio::test]
async fn an_edit_between_read_and_write_is_a_conflict() {
    let fixture = fixture().await;
    put(&fixture.store, &document(1), None).await.unwrap();
    let stale_read = fixture.store.get(KEY).await.unwrap().unwrap();
    put(&fixture.store, &document(2), None).await.unwrap();
    let racing = InterferingStore {
        stale_read: Some((stale_read, Arc::new(1.into()))),
        unanswered_writes: Arc::default(),
        ..fixture.unanswered_store(0)
    };
    let error = put(&racing, &document(3), None).await.unwrap_err();
    assert!(matches!(error, Error::EditConflict(_)), "{error}");
    assert_eq!(&*fixture.record().current.document, document(2));
}

#[tokio::test]
async fn an_edit_succeeds_after_an_outage_within_its_timeout() {
    let fixture = fixture().await;
    fixture.platform.set_faults(down(true));
    let platform = fixture.platform.clone();
    tokio::spawn(async move {
        sleep(Duration::from_millis(400)).await;
        platform.set_faults(down(false));
    });
    let applied = put(&fixture.store, &document(1), None).await.unwrap();
    assert_eq!(applied.revision, Revision(1));
}

#[tokio::test]
async fn an_edit_fails_at_its_deadline() {
    let fixture = fixture().await;
    fixture.platform.set_faults(down(true));
    let text = document(1);
    let edit = Edit::new(&text, "kirsten", None);
    let deadline = Instant::now() + Duration::from_millis(300);
    let error = apply_edit(&fixture.store, &edit, deadline)
        .await
        .unwrap_err();
    assert!(matches!(error, Error::Platform(_)), "{error}");
    assert!(error.to_string().ends_with("nothing was written"));
    assert_eq!(error.exit_code(), 5);
}

#[tokio::test]
async fn an_edit_that_was_sent_is_not_reported_as_unwritten() {
    let fixture = fixture().await;
    let text = document(1);
    let edit = Edit::new(&text, "kirsten", None);
    let error = apply_edit(&fixture.unanswered_store(0), &edit, Instant::now())
        .await
        .unwrap_err();
    assert!(matches!(error, Error::AmbiguousEdit { .. }), "{error}");
    assert!(error.to_string().contains("may have been accepted"));
}

#[tokio::test]
async fn the_oldest_history_is_dropped_when_a_record_grows_large() {
    let fixture = fixture().await;
    let padding = "x".repeat(300_000);
    for number in 1..=5 {
        let text = format!("// {padding}\n{}", document(number));
        put(&fixture.store, &text, None).await.unwrap();
    }
    assert!(fixture.platform.value(KEY).unwrap().len() <= MAX_RECORD_BYTES);
    let record = fixture.record();
    let revisions: Vec<u64> = record.revisions().map(|entry| entry.revision.0).collect();
    assert_eq!(revisions, [5, 4, 3]);
}

#[tokio::test]
async fn a_document_too_large_to_store_is_refused() {
    let fixture = fixture().await;
    // A quotation mark is escaped when stored and takes two bytes.
    let text = format!("// {}\n{}", "\"".repeat(600_000), document(1));
    let error = put(&fixture.store, &text, None).await.unwrap_err();
    assert!(matches!(error, Error::TooLarge { .. }), "{error}");
    assert_eq!(fixture.platform.calls().writes, 0);
}

#[tokio::test]
async fn a_retry_horizon_is_lowered_but_never_raised() {
    let fixture = fixture().await;
    let with_horizon = |horizon_s: u64| {
        let field = format!("\"retry_horizon_s\": {horizon_s}, \"kind\"");
        document(1).replace("\"kind\"", &field)
    };
    for (horizon_s, accepted) in [(1_800, true), (600, true), (601, false), (600, true)] {
        let result = put(&fixture.store, &with_horizon(horizon_s), None).await;
        assert_eq!(result.is_ok(), accepted, "{horizon_s}: {result:?}");
    }
    let without = put(&fixture.store, &document(1), None).await.unwrap_err();
    assert!(without.to_string().contains("can't be raised"), "{without}");
}

#[tokio::test]
async fn a_home_region_is_set_once_and_a_dry_run_writes_nothing() {
    let fixture = fixture().await;
    let with_region = |region: &str| {
        document(1).replace(
            "\"kind\"",
            &format!("\"home_region\": \"{region}\", \"kind\""),
        )
    };
    put(&fixture.store, &with_region("dk-east"), None)
        .await
        .unwrap();
    let other_region = with_region("hu-central");
    let error = put(&fixture.store, &other_region, None).await.unwrap_err();
    assert!(
        error.to_string().contains("was set to `dk-east`"),
        "{error}"
    );
    let deadline = Instant::now() + EDIT_TIMEOUT;
    let edit = Edit::new(&other_region, "kirsten", None);
    assert!(preview_edit(&fixture.store, &edit, deadline).await.is_err());
    let text = with_region("dk-east").replace(": 1,", ": 2,");
    let edit = Edit::new(&text, "kirsten", None);
    let preview = preview_edit(&fixture.store, &edit, deadline).await.unwrap();
    assert!(preview.dry_run && preview.change.contains("+    \"deadline_ms\": 2,"));
    assert_eq!(fixture.platform.calls().writes, 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wait_names_the_daemons_that_lag() {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    fleet.apply(&document(1)).await;
    let daemon = &fleet.daemons[0];
    fleet
        .wait_until("the document is in force", |_| {
            revision(daemon, "shopfront").is_some()
        })
        .await;
    // A second platform, whose view gets another member that cannot be reached.
    let other = fixture().await;
    let applied = put(&other.store, &document(1), None).await.unwrap();
    let view = fleet.platform.value("wisteriapoint/view").unwrap();
    let mut view: serde_json::Value = serde_json::from_slice(&view).unwrap();
    let write = async |view: &serde_json::Value, index| {
        let value = view.to_string().into_bytes();
        let written = other
            .store
            .compare_and_swap("wisteriapoint/view", index, value);
        assert!(written.await.unwrap());
    };
    write(&view, Index(0)).await;
    let deadline = Instant::now() + EDIT_TIMEOUT;
    let members = wait::wait_for_revision(&other.store, &applied, deadline)
        .await
        .unwrap();
    assert_eq!(members.in_force.len(), 1);

    let mut unreachable = view["members"][0].clone();
    unreachable["id"] = 7.into();
    unreachable["vm"] = "entry-9".into();
    unreachable["admin_address"] = "127.0.0.1:1".into();
    view["members"].as_array_mut().unwrap().push(unreachable);
    let entry = other
        .store
        .get("wisteriapoint/view")
        .await
        .unwrap()
        .unwrap();
    write(&view, entry.index).await;
    let deadline = Instant::now() + Duration::from_millis(500);
    let error = wait::wait_for_revision(&other.store, &applied, deadline)
        .await
        .unwrap_err();
    assert_eq!(error.to_string(), "revision 1 is not in force on entry-9");
    assert_eq!(error.exit_code(), 6);

    let later = put(&other.store, &document(2), None).await.unwrap();
    let deadline = Instant::now() + Duration::from_millis(500);
    let error = wait::wait_for_revision(&other.store, &later, deadline)
        .await
        .unwrap_err();
    assert!(
        error.to_string().ends_with("on entry-0, entry-9"),
        "{error}"
    );
}
