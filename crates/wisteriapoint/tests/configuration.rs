//! An accepted configuration is in force everywhere within seconds and never reverts.

mod fleet;

use std::sync::Arc;
use std::time::Duration;

use fleet::{Fleet, document, revision, until};
use tokio::time::{Instant, sleep};
use wisteriapoint::daemon::Daemon;
use wisteriapoint::daemon::message::{AddressedRequest, PeerRequest, PeerResponse};
use wisteriapoint_catalog::{Document, Update};
use wisteriapoint_membership::Member;
use wisteriapoint_peer::Client;
use wisteriapoint_stand_in::platform::Faults;
use wisteriapoint_stand_in::{PlainService, serve};
use wisteriapoint_types::{MemberId, Revision, ServiceName};

/// The users' bound on the time until a change is in force everywhere.
const IN_FORCE_BOUND: Duration = Duration::from_secs(6);

/// Time after which a daemon whose turn has ended watches no more.
const ROLES_SETTLE: Duration = Duration::from_secs(1);

const ONE_DOMAIN: [&str; 6] = ["dk-east-a"; 6];

fn address() -> std::net::SocketAddr {
    ([127, 0, 0, 1], 9).into()
}

fn outage() -> Faults {
    Faults {
        down: true,
        ..Faults::default()
    }
}

/// Puts a question to a daemon as a peer would.
async fn ask(daemon: &Daemon, to: Option<MemberId>, question: PeerRequest) -> PeerResponse {
    let addressed = AddressedRequest {
        to,
        request: question,
    };
    let address = daemon.addresses().peer;
    let client = Client::new();
    let call = client.call(address, &addressed, Duration::from_secs(5));
    call.await.unwrap()
}

/// Two daemons watch three prefixes each; three proposers watch the leases.
async fn only_watchers_watch(fleet: &Fleet) {
    sleep(ROLES_SETTLE).await;
    fleet
        .until("only the watchers watch", |fleet| {
            fleet.platform.waiting() == 2 * 3 + 3
        })
        .await;
}

#[tokio::test]
async fn daemons_that_do_not_watch_learn_from_those_that_do() {
    let fleet = Fleet::start(&ONE_DOMAIN).await;
    let view = Arc::clone(&fleet.daemons[0].shared().snapshot.load().view);
    let is_watcher = |member: &&Member| view.is_watcher(member.id);
    assert_eq!(view.members.iter().filter(is_watcher).count(), 2);
    only_watchers_watch(&fleet).await;
    let begun = Instant::now();
    fleet.apply(&document("shopfront", address(), 1_000)).await;
    fleet
        .until("all have the revision", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| revision(daemon, "shopfront") == Some(Revision(1)))
        })
        .await;
    assert!(begun.elapsed() < IN_FORCE_BOUND);
}

#[tokio::test]
async fn an_outage_right_after_acceptance_does_not_stop_the_spread() {
    let fleet = Fleet::start(&ONE_DOMAIN).await;
    only_watchers_watch(&fleet).await;
    fleet.apply(&document("shopfront", address(), 1_000)).await;
    fleet
        .until("one has the revision", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.any(|daemon| revision(daemon, "shopfront").is_some())
        })
        .await;
    fleet.platform.set_faults(outage());
    let begun = Instant::now();
    fleet
        .until("all have the revision", |fleet| {
            let mut daemons = fleet.daemons.iter();
            daemons.all(|daemon| revision(daemon, "shopfront") == Some(Revision(1)))
        })
        .await;
    assert!(begun.elapsed() < IN_FORCE_BOUND);
}

#[tokio::test]
async fn a_daemon_that_starts_in_an_outage_learns_from_its_peers() {
    let mut fleet = Fleet::start(&["dk-east-a", "dk-east-b"]).await;
    fleet.apply(&document("shopfront", address(), 1_000)).await;
    fleet.apply(&document("shopfront", address(), 2_000)).await;
    fleet
        .until("both have the second revision", |fleet| {
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
    let had = revision(&fleet.daemons[2], "shopfront");
    assert!(
        !was_ready || had == Some(Revision(2)),
        "ready without configuration"
    );
    fleet
        .until("the new daemon has the second revision", |fleet| {
            revision(&fleet.daemons[2], "shopfront") == Some(Revision(2))
        })
        .await;
    until("the new daemon is ready", || async {
        let answer = client.get(format!("http://{admin}/ready")).send().await;
        answer.is_ok_and(|answer| answer.status().is_success())
    })
    .await;
}

#[tokio::test]
async fn an_older_revision_from_a_peer_or_the_platform_changes_nothing() {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    let first = document("shopfront", address(), 1_000);
    fleet.apply(&first).await;
    fleet.apply(&document("shopfront", address(), 2_000)).await;
    let daemon = &fleet.daemons[0];
    fleet
        .until("the second revision is in force", |fleet| {
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
    let reply = ask(daemon, None, offer).await;
    assert!(matches!(reply, PeerResponse::Acknowledged));
    assert_eq!(revision(daemon, "shopfront"), Some(Revision(2)));
}

#[tokio::test]
async fn an_unreadable_document_keeps_the_last_good_one() {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    fleet.apply(&document("shopfront", address(), 1_000)).await;
    let daemon = &fleet.daemons[0];
    fleet
        .until("the first revision is in force", |fleet| {
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
    ask(daemon, None, offer).await;
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
        .until("all have the revision", |fleet| {
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
        let answer = client
            .post(url)
            .header("idempotency-key", format!("key-{number}"))
            .send()
            .await
            .unwrap();
        assert!(
            answer.status().is_success(),
            "{}",
            answer.text().await.unwrap()
        );
    }
    assert!(shop.runs().values().all(|&runs| runs == 1));
}

#[tokio::test]
async fn platform_calls_stay_within_the_budget() {
    const WATCHED: Duration = Duration::from_secs(3);
    let fleet = Fleet::start(&ONE_DOMAIN).await;
    let before = fleet.platform.calls();
    sleep(WATCHED).await;
    let after = fleet.platform.calls();
    let writes = after.writes - before.writes;
    let reads = after.reads - before.reads;
    // Six daemons renew a lease of one second three times a second; watches wait 30 s.
    let renewals = 6 * 3 * WATCHED.as_secs();
    assert!(writes <= renewals + 6, "{writes} writes");
    assert!(reads <= 12, "{reads} reads");
}

#[tokio::test]
async fn a_question_to_an_earlier_run_is_not_answered_by_another_daemon() {
    let fleet = Fleet::start(&["dk-east-a"]).await;
    let daemon = &fleet.daemons[0];
    let me = daemon.shared().me.id;
    for (to, answered) in [
        (None, true),
        (Some(me), true),
        (Some(MemberId(me.0 ^ 1)), false),
    ] {
        let reply = ask(daemon, to, PeerRequest::Ping).await;
        assert_eq!(
            matches!(reply, PeerResponse::Pong { .. }),
            answered,
            "{to:?}"
        );
    }
}
