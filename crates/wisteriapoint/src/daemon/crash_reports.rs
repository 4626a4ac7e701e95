//! Exchange of crash reports between the routers and the other daemons.
//!
//! A daemon that observes an endpoint crash sends a report to all others immediately, so that they
//! already suspect the request when it is retried through them. Digests repeat recent reports for
//! daemons that missed the datagram.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::{MissedTickBehavior, interval};
use wisteriapoint_types::{Digest, EndpointName, ServiceName};

use super::Shared;
use super::control::Command;
use super::message::ServiceCrashReport;

const TICK: Duration = Duration::from_millis(20);

type ReportKeys = BTreeSet<(ServiceName, Digest, EndpointName, bool)>;

/// Forwards crash reports from the routers to the control loop, and those of other daemons to the
/// routers.
pub async fn forward(shared: Arc<Shared>, mut received: mpsc::Receiver<Vec<ServiceCrashReport>>) {
    let mut distributed = ReportKeys::new();
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            reports = received.recv() => match reports {
                Some(reports) => apply_received(&shared, &mut distributed, reports),
                None => return,
            },
            _ = ticks.tick() => {
                if !publish_new(&shared, &mut distributed).await {
                    return;
                }
            }
        }
    }
}

fn apply_received(shared: &Shared, distributed: &mut ReportKeys, reports: Vec<ServiceCrashReport>) {
    let routers = shared.routers.load();
    for entry in reports {
        distributed.insert(report_key(&entry));
        if let Some(router) = routers.get(&entry.service) {
            router.apply_crash_reports(&[entry.report]);
        }
    }
}

/// Sends the routers' crash reports to the control loop; returns `false` if the loop has stopped.
async fn publish_new(shared: &Shared, distributed: &mut ReportKeys) -> bool {
    let routers = shared.routers.load_full();
    let reports = routers.iter().flat_map(|(service, router)| {
        router
            .crash_reports()
            .into_iter()
            .map(|report| ServiceCrashReport {
                service: service.clone(),
                report,
            })
    });
    let mut recent: Vec<ServiceCrashReport> = reports.collect();
    if recent.is_empty() && distributed.is_empty() {
        return true;
    }
    recent.sort_by_key(|entry| entry.report.age_ms);
    let keys: ReportKeys = recent.iter().map(report_key).collect();
    let is_new = |entry: &&ServiceCrashReport| !distributed.contains(&report_key(entry));
    let new_reports = recent.iter().filter(is_new).cloned().collect();
    distributed.retain(|key| keys.contains(key));
    distributed.extend(keys);
    let command = Command::CrashReports {
        recent,
        new: new_reports,
    };
    shared.control.send(command).await.is_ok()
}

/// Returns what tells a new report from a distributed one; an isolated crash is news of its own.
fn report_key(entry: &ServiceCrashReport) -> (ServiceName, Digest, EndpointName, bool) {
    let report = &entry.report;
    (
        entry.service.clone(),
        report.digest,
        report.endpoint.clone(),
        report.isolated,
    )
}
