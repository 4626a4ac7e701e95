//! `wisteriapoint status`.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use clap::Args;
use futures_util::StreamExt;
use futures_util::stream;
use serde::Serialize;
use wisteriapoint_membership::Member;
use wisteriapoint_types::{Revision, ServiceName, VmName};

use super::admin_client::AdminClient;
use super::output::{self, Output};
use crate::Error;
use crate::http::admin;

const MAX_CONCURRENT_QUERIES: usize = 32;

/// Shows what a daemon knows, or what all daemons of its view know.
#[derive(Debug, Args)]
#[command(after_help = "Examples:
  wisteriapoint status --admin 10.10.0.11:8081
  wisteriapoint status --admin 10.10.0.11:8081 --all --output json")]
pub struct Status {
    /// Admin address of a daemon.
    #[arg(long)]
    admin: SocketAddr,
    /// Asks every daemon of its view; needs no platform.
    #[arg(long)]
    all: bool,
}

/// Status of one member; `None` if the member did not answer.
#[derive(Debug, Serialize)]
struct Row {
    vm: VmName,
    failure_domain: Box<str>,
    status: Option<admin::Status>,
}

/// Newest revision of a service on any daemon, and the VMs that do not have it in force.
#[derive(Debug, Serialize)]
struct Progress {
    newest: Revision,
    lagging: Vec<VmName>,
}

#[derive(Debug, Serialize)]
struct Fleet {
    members: Vec<Row>,
    services: BTreeMap<ServiceName, Progress>,
}

impl Status {
    pub(super) async fn run(self, output: Output) -> Result<(), Error> {
        let client = AdminClient::new()?;
        let status = client.status(self.admin).await?;
        match self.all {
            false => output::print(output, &status, print_status),
            true => {
                let fleet = query_all(&client, &status.view.members).await;
                output::print(output, &fleet, print_fleet)
            }
        }
    }
}

async fn query_all(client: &AdminClient, members: &[Member]) -> Fleet {
    let rows = stream::iter(members).map(|member| async move {
        Row {
            vm: member.vm.clone(),
            failure_domain: member.failure_domain.as_str().into(),
            status: client.status(member.admin_address).await.ok(),
        }
    });
    let mut members: Vec<Row> = rows
        .buffer_unordered(MAX_CONCURRENT_QUERIES)
        .collect()
        .await;
    members.sort_by(|one, other| one.vm.cmp(&other.vm));
    let services = progress(&members);
    Fleet { members, services }
}

fn progress(members: &[Row]) -> BTreeMap<ServiceName, Progress> {
    let mut newest: BTreeMap<ServiceName, Revision> = BTreeMap::new();
    for (service, revision) in members.iter().filter_map(revisions).flatten() {
        let highest = newest.entry(service.clone()).or_default();
        *highest = revision.max(highest).to_owned();
    }
    let with_lagging = newest.into_iter().map(|(service, newest)| {
        let lags = |row: &&Row| {
            let revision = revisions(row).and_then(|revisions| revisions.get(&service));
            revision.is_none_or(|revision| *revision < newest)
        };
        let lagging = members.iter().filter(lags).map(|row| row.vm.clone());
        let lagging = lagging.collect();
        (service, Progress { newest, lagging })
    });
    with_lagging.collect()
}

fn revisions(row: &Row) -> Option<&BTreeMap<ServiceName, Revision>> {
    row.status.as_ref().map(|status| &status.revisions)
}

fn print_status(status: &admin::Status) {
    println!("vm {} in view {}", status.vm, status.view.number);
    println!("{:<16} {:<16} peer address", "vm", "failure domain");
    let mut members: Vec<&Member> = status.view.members.iter().collect();
    members.sort_by(|one, other| one.vm.cmp(&other.vm));
    for member in members {
        let (vm, domain) = (member.vm.as_str(), member.failure_domain.as_str());
        println!("{vm:<16} {domain:<16} {}", member.peer_address);
    }
    println!("{:<24} {:>8} {:>8}", "service", "revision", "weights");
    for (service, revision) in &status.revisions {
        let version = status.versions.get(service);
        let version = version.map_or_else(|| "-".to_owned(), ToString::to_string);
        println!("{:<24} {revision:>8} {version:>8}", service.as_str());
    }
}

fn print_fleet(fleet: &Fleet) {
    println!(
        "{:<16} {:<16} {:>6} {:>9}  state",
        "vm", "failure domain", "view", "in flight",
    );
    for row in &fleet.members {
        let (vm, domain) = (row.vm.as_str(), &row.failure_domain);
        match &row.status {
            Some(status) => {
                let (view, in_flight) = (status.view.number, status.in_flight);
                let state = if status.draining {
                    "draining"
                } else {
                    "in service"
                };
                println!("{vm:<16} {domain:<16} {view:>6} {in_flight:>9}  {state}");
            }
            None => println!("{vm:<16} {domain:<16} {:>6} {:>9}  no answer", "-", "-"),
        }
    }
    println!("{:<24} {:>8}  lagging", "service", "revision");
    for (service, progress) in &fleet.services {
        let lagging: Vec<&str> = progress.lagging.iter().map(VmName::as_str).collect();
        let lagging = if lagging.is_empty() {
            "-".to_owned()
        } else {
            lagging.join(", ")
        };
        println!("{:<24} {:>8}  {lagging}", service.as_str(), progress.newest);
    }
}
