//! Tests that an accepted configuration is in force on every daemon within seconds and never
//! reverts.

mod fleet;

use std::sync::Arc;
use std::time::Duration;

use fleet::{Fleet, document, revision, wait_until};
use tokio::time::{Instant, sleep};
use wisteriapoint::daemon::Daemon;
use wisteriapoint::daemon::message::{AddressedRequest, PeerRequest, PeerResponse};
use wisteriapoint_catalog::{Document, Update};
use wisteriapoint_membership::Member;
use wisteriapoint_peer::Client;
use wisteriapoint_stand_in::platform::Faults;
use wisteriapoint_stand_in::{PlainService, serve};
use wisteriapoint_types::{MemberId, Revision, ServiceName};

/// Required bound on the time until a change is in force on every daemon.
const IN_FORCE_BOUND: Duration = Duration::from_secs(6);

/// Time after which a daemon that is no longer a watcher has ended its watches.
const ROLE_CHANGE_DELAY: Duration = Duration::from_secs(1);

const ONE_DOMAIN: [&str; 6] = ["dk-east-a"; 6];

fn unused_address() -> std::net::SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

fn outage() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

/// Sends a request to a daemon over the peer protocol.
async fn call_as_peer(
    daemon: &Daemon,
    to: Option<MemberId>,
    peer_request: PeerRequest,
) -> PeerResponse {
    let addressed = AddressedRequest {
        to,
        request: peer_request,
    };
    let address = daemon.addresses().peer;
    let client = Client::new();
    let call = client.call(address, &addressed, Duration::from_secs(5));
    call.await.unwrap()
}

/// Waits until only the watchers and proposers have open watches.
///
/// Two watchers watch three prefixes each; three proposers watch the leases.
async fn wait_for_watchers(fleet: &Fleet) {
    sleep(ROLE_CHANGE_DELAY).await;
    fleet
        .wait_until("only the watchers and proposers watch", |fleet| {
            fleet.platform.waiting() == 2 * 3 + 3
        })
        .await;
}

#[tokio::test]
async fn daemons_that_do_not_watch_receive_updates_from_those_that_do() {
    let fleet = Fleet::start(&ONE_DOMAIN).await;
    let view = Arc::clone(&fleet.daemons[0].shared().snapshot.load().view);
    let is_watcher = |member: &&Member| view.is_watcher(member.id);
    assert_eq!(view.members.iter().filter(is_watcher).count(), 2);
    wait_for_watchers(&fleet).await;
    let started = Instant::now();
    fleet
        .apply(&document("shopfront", unused_address(), 1_000))
        .await;
    fleet
        .wait_until("all daemons have the revision", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| revision(daemon, "shopfront") == Some(Revision(1)))
        })
        .await;
    assert!(started.elapsed() < IN_FORCE_BOUND);
}

#[tokio::test]
async fn an_outage_right_after_acceptance_does_not_stop_propagation() {
    let fleet = Fleet::start(&ONE_DOMAIN).await;
    wait_for_watchers(&fleet).await;
    fleet
        .apply(&document("shopfront", unused_address(), 1_000))
        .await;
    fleet
        .wait_until("one daemon has the revision", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.any(|daemon| revision(daemon, "shopfront").is_some())
        })
        .await;
    fleet.platform.set_faults(outage());
    let started = Instant::now();
    fleet
        .wait_until("all daemons have the revision", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| revision(daemon, "shopfront") == Some(Revision(1)))
        })
        .await;
    assert!(started.elapsed() < IN_FORCE_BOUND);
}

#[tokio::test]
async fn a_daemon_that_starts_in_an_outage_is_configured_by_its_peers() {
    let mut fleet = Fleet::start(&["dk-east-a", "dk-east-b"]).await;
    fleet
        .apply(&document("shopfront", unused_address(), 1_000))
        .await;
    fleet
        .apply(&document("shopfront", unused_address(), 2_000))
        .await;
    fleet
        .wait_until("both daemons have the second revision", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| revision(daemon, "shopfront") == Some(Revision(2)))
        })
        .await;
    fleet.platform.set_faults(outage());
    let seeds = fleet.daemons.iter().map(|daemon| daemon.addresses().peer);
    let seeds = seeds.collect();
    fleet.add("dk-east-c", seeds).await;

    let admin = fleet.daemons[2].addresses().admin;
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let ready = client
        .get(format!("http://{admin}/ready"))
        .send()
        .await
        .unwrap();
    let was_ready = ready.status().is_success();
    let found = revision(&fleet.daemons[2], "shopfront");
    assert!(
        !was_ready || found == Some(Revision(2)),
        "the daemon was ready without the second revision"
    );
    fleet
        .wait_until("the new daemon has the second revision", |fleet| {
            revision(&fleet.daemons[2], "shopfront") == Some(Revision(2))
        })
        .await;
    wait_until("the new daemon is ready", || async {
        let response = client.get(format!("http://{admin}/ready")).send().await;
        response.is_ok_and(|response| response.status().is_success())
    })
    .await;
}

#[tokio::test]
async fn an_older_revision_from_a_peer_or_the_platform_changes_nothing() {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    let first = document("shopfront", unused_address(), 1_000);
    fleet.apply(&first).await;
    fleet
        .apply(&document("shopfront", unused_address(), 2_000))
        .await;
    let daemon = &fleet.daemons[0];
    fleet
        .wait_until("the second revision is in force", |fleet| {
            revision(&fleet.daemons[0], "shopfront") == Some(Revision(2))
        })
        .await;

    let old = Document {
        revision: Revision(1),
        text: first.into(),
    };
    let offer = PeerRequest::Offer {
        view: None,
        update: Update::of_document(ServiceName::new("shopfront"), old),
    };
    let reply = call_as_peer(daemon, None, offer).await;
    assert!(matches!(reply, PeerResponse::Acknowledged));
    assert_eq!(revision(daemon, "shopfront"), Some(Revision(2)));
}

#[tokio::test]
async fn an_unreadable_document_leaves_the_previous_one_in_force() {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    fleet
        .apply(&document("shopfront", unused_address(), 1_000))
        .await;
    let daemon = &fleet.daemons[0];
    fleet
        .wait_until("the first revision is in force", |fleet| {
            revision(&fleet.daemons[0], "shopfront") == Some(Revision(1))
        })
        .await;
    let unreadable = Document {
        revision: Revision(2),
        text: r#"{ "service": "shopfront", "added_in_a_later_version": 1 }"#.into(),
    };
    let offer = PeerRequest::Offer {
        view: None,
        update: Update::of_document(ServiceName::new("shopfront"), unreadable),
    };
    call_as_peer(daemon, None, offer).await;
    assert_eq!(revision(daemon, "shopfront"), Some(Revision(1)));
    let documents = &daemon.shared().metrics.documents;
    assert_eq!(documents.with_label_values(&["unreadable"]).get(), 1);
}

#[tokio::test]
async fn traffic_does_not_wait_for_a_slow_platform() {
    let fleet = Fleet::start(&["dk-east-a", "dk-east-b", "dk-east-c"]).await;
    let shop = PlainService::new();
    let running = serve::on_loopback(shop.router()).await.unwrap();
    fleet
        .apply(&document("shopfront", running.address, 30_000))
        .await;
    fleet
        .wait_until("all daemons have the revision", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| revision(daemon, "shopfront").is_some())
        })
        .await;
    fleet.platform.set_faults(Faults {
        slow_ms: 600_000,
        ..Faults::default()
    });
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    for (number, daemon) in fleet.daemons.iter().enumerate() {
        let address = daemon.addresses().service;
        let url = format!("http://{address}/v1/services/shopfront/stock/hold");
        let response = client
            .post(url)
            .header("idempotency-key", format!("key-{number}"))
            .send()
            .await
            .unwrap();
        assert!(
            response.status().is_success(),
            "{}",
            response.text().await.unwrap()
        );
    }
    assert!(shop.runs().values().all(|&runs| runs == 1));
}

#[tokio::test]
async fn platform_calls_stay_within_the_budget() {
    const OBSERVATION_TIME: Duration = Duration::from_secs(3);
    let fleet = Fleet::start(&ONE_DOMAIN).await;
    let before = fleet.platform.calls();
    sleep(OBSERVATION_TIME).await;
    let after = fleet.platform.calls();
    let writes = after.writes - before.writes;
    let reads = after.reads - before.reads;
    // Six daemons renew their leases of 1 s three times per second; a watch stays open for up to
    // 30 s.
    let renewals = 6 * 3 * OBSERVATION_TIME.as_secs();
    assert!(writes <= renewals + 6, "{writes} writes");
    assert!(reads <= 12, "{reads} reads");
}

#[tokio::test]
async fn a_request_to_a_previous_run_is_not_answered_by_another_daemon() {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    let daemon = &fleet.daemons[0];
    let own_id = daemon.shared().me.id;
    for (to, answered) in [
        (None, true),
        (Some(own_id), true),
        (Some(MemberId(own_id.0 ^ 1)), false),
    ] {
        let reply = call_as_peer(daemon, to, PeerRequest::Ping).await;
        assert_eq!(
            matches!(reply, PeerResponse::Pong { .. }),
            answered,
            "{to:?}"
        );
    }
}
