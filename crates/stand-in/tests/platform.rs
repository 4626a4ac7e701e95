//! Tests the stand-in platform through the HTTP client of the store.

use std::time::Duration;

use tokio::time::{Instant, sleep};
use wisteriapoint_stand_in::platform::Faults;
use wisteriapoint_stand_in::{Platform, RunningServer, serve};
use wisteriapoint_store::{Error, HttpStore, Index, Store};

const WAIT: Duration = Duration::from_secs(30);

async fn platform() -> (Platform, RunningServer, HttpStore) {
    let platform = Platform::new();
    let running = serve::on_loopback(platform.router()).await.unwrap();
    let store = HttpStore::new(&format!("http://{}", running.address)).unwrap();
    (platform, running, store)
}

#[tokio::test]
async fn a_watch_returns_at_each_write() {
    let (_platform, _running, store) = platform().await;
    let (_, mut index) = store.list("a/", None, WAIT).await.unwrap();
    for number in 0..3_u8 {
        let watching = store.clone();
        let watch = tokio::spawn(async move { watching.list("a/", Some(index), WAIT).await });
        sleep(Duration::from_millis(50)).await;
        let begun = Instant::now();
        let key = format!("a/{number}");
        let written = store.compare_and_swap(&key, Index(0), vec![number]).await;
        assert!(written.unwrap());
        let (entries, newer) = watch.await.unwrap().unwrap();
        assert!(
            begun.elapsed() < WAIT / 2,
            "the watch did not return at write {number}"
        );
        assert_eq!(entries.len(), usize::from(number) + 1);
        assert!(newer > index);
        index = newer;
    }
}

#[tokio::test]
async fn compare_and_swap_rejects_an_outdated_index() {
    let (_platform, _running, store) = platform().await;
    assert!(
        store
            .compare_and_swap("key", Index(0), b"1".to_vec())
            .await
            .unwrap()
    );
    assert!(
        !store
            .compare_and_swap("key", Index(0), b"2".to_vec())
            .await
            .unwrap()
    );
    let entry = store.get("key").await.unwrap().unwrap();
    assert_eq!(entry.value, b"1");
    assert!(
        store
            .compare_and_swap("key", entry.index, b"3".to_vec())
            .await
            .unwrap()
    );
}

#[tokio::test]
async fn a_write_with_a_lost_response_takes_effect() {
    let (platform, _running, store) = platform().await;
    platform.set_faults(Faults {
        drop_write_responses: 1,
        ..Faults::default()
    });
    let lost = store.compare_and_swap("key", Index(0), b"1".to_vec()).await;
    assert!(lost.unwrap_err().may_have_taken_effect());
    assert_eq!(platform.value("key"), Some(b"1".to_vec()));
}

#[tokio::test]
async fn an_expired_lease_removes_its_key() {
    let (platform, _running, store) = platform().await;
    let ttl = Duration::from_secs(1);
    let lease = store
        .grant_lease("lease", b"1".to_vec(), ttl)
        .await
        .unwrap();
    assert!(platform.value("lease").is_some());
    sleep(ttl * 2).await;
    assert!(platform.value("lease").is_none());
    let renewed = store.renew_lease(&lease).await;
    assert!(matches!(renewed, Err(Error::LeaseExpired)));
}

#[tokio::test]
async fn calls_above_the_rate_limit_are_rejected() {
    let (platform, _running, store) = platform().await;
    platform.set_faults(Faults {
        calls_per_s: Some(2),
        ..Faults::default()
    });
    let mut limited = 0;
    for _ in 0..4 {
        match store.get("key").await {
            Err(Error::RateLimited) => limited += 1,
            other => assert!(other.is_ok()),
        }
    }
    assert!(limited >= 1);
    assert_eq!(platform.calls().limited, limited);
}
