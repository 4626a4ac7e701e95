//! Tests that the view follows daemons that start and stop, and that a platform outage removes no
//! member.

mod fleet;

use std::time::Duration;

use fleet::{Fleet, member_count};
use tokio::time::sleep;
use wisteriapoint_stand_in::platform::Faults;

const DOMAINS: [&str; 3] = ["dk-east-a", "dk-east-b", "dk-east-c"];

#[tokio::test]
async fn a_dead_daemon_is_removed() {
    let mut fleet = Fleet::start(&DOMAINS).await;
    fleet.daemons.remove(0).kill();
    fleet
        .wait_until("the remaining daemons have two members", |fleet| {
            fleet.daemons.iter().all(|daemon| member_count(daemon) == 2)
        })
        .await;
}

#[tokio::test]
async fn a_daemon_that_stops_is_removed_and_one_that_starts_is_added() {
    let mut fleet = Fleet::start(&DOMAINS).await;
    fleet.daemons.remove(0).stop().await;
    fleet
        .wait_until("the remaining daemons have two members", |fleet| {
            fleet.daemons.iter().all(|daemon| member_count(daemon) == 2)
        })
        .await;
    fleet.add("dk-east-a", Vec::new()).await;
    fleet
        .wait_until("all daemons have three members", |fleet| {
            fleet.daemons.iter().all(|daemon| member_count(daemon) == 3)
        })
        .await;
}

#[tokio::test]
async fn leases_that_expire_together_remove_no_member() {
    let fleet = Fleet::start(&DOMAINS).await;
    let number = fleet.daemons[0].shared().snapshot.load().view.number;
    fleet.platform.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    // Longer than the leases of 1 s, the probes and the delays by proposer rank.
    sleep(Duration::from_secs(6)).await;
    fleet.platform.set_faults(Faults::default());
    sleep(Duration::from_secs(6)).await;
    for daemon in &fleet.daemons {
        assert_eq!(member_count(daemon), 3);
        let view = &daemon.shared().snapshot.load().view;
        assert_eq!(view.number, number);
    }
}
