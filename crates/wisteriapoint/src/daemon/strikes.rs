//! Strikes against requests that crash endpoints, shared between daemons.
//!
//! A daemon that sees a crash tells all others at once, so that the same request sent
//! again elsewhere finds them warned; digests repeat recent strikes for those that missed
//! the datagram.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use wisteriapoint_types::{Digest, EndpointName, ServiceName};

use super::Shared;
use super::control::Command;
use super::message::ServiceStrike;

const TICK: Duration = Duration::from_millis(20);

type Known = BTreeSet<(ServiceName, Digest, EndpointName)>;

/// Carries strikes from the routers to control, and those of other daemons to the routers.
pub async fn run(shared: Arc<Shared>, mut others: mpsc::Receiver<Vec<ServiceStrike>>) {
    let mut known = Known::new();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            strikes = others.recv() => match strikes {
                Some(strikes) => learn(&shared, &mut known, strikes),
                None => return,
            },
            _ = ticks.tick() => {
                if !tell(&shared, &mut known).await {
                    return;
                }
            }
        }
    }
}

fn learn(shared: &Shared, known: &mut Known, strikes: Vec<ServiceStrike>) {
    let routers = shared.routers.load();
    for struck in strikes {
        known.insert(name(&struck));
        if let Some(router) = routers.get(&struck.service) {
            router.apply_crash_reports(&[struck.strike]);
        }
    }
}

/// Tells control what the routers know; gives whether control is still there.
async fn tell(shared: &Shared, known: &mut Known) -> bool {
    let routers = shared.routers.load_full();
    let strikes = routers.iter().flat_map(|(service, router)| {
        router
            .crash_reports()
            .into_iter()
            .map(|strike| ServiceStrike {
                service: service.clone(),
                strike,
            })
    });
    let mut recent: Vec<ServiceStrike> = strikes.collect();
    if recent.is_empty() && known.is_empty() {
        return true;
    }
    recent.sort_by_key(|struck| struck.strike.age_ms);
    let names: Known = recent.iter().map(name).collect();
    let is_new = |struck: &&ServiceStrike| !known.contains(&name(struck));
    let fresh = recent.iter().filter(is_new).cloned().collect();
    known.retain(|name| names.contains(name));
    known.extend(names);
    let command = Command::Strikes { recent, fresh };
    shared.control.send(command).await.is_ok()
}

fn name(struck: &ServiceStrike) -> (ServiceName, Digest, EndpointName) {
    let strike = &struck.strike;
    (
        struck.service.clone(),
        strike.digest,
        strike.endpoint.clone(),
    )
}
