//! `wisteriapoint status`.

use std::net::SocketAddr;

use clap::Args;

use super::Output;
use crate::Error;
use crate::http::admin;

/// Shows what a daemon knows.
#[derive(Debug, Args)]
pub struct Status {
    /// Admin address of a daemon.
    #[arg(long)]
    admin: SocketAddr,
}

impl Status {
    pub(super) async fn run(self, output: Output) -> Result<(), Error> {
        let url = format!("http://{}/status", self.admin);
        let client = reqwest::Client::builder().no_proxy().build()?;
        let status: admin::Status = client.get(url).send().await?.json().await?;
        match output {
            Output::Json => println!("{}", serde_json::to_string_pretty(&status)?),
            Output::Table => print_table(&status),
        }
        Ok(())
    }
}

fn print_table(status: &admin::Status) {
    println!("vm {} in view {}", status.vm, status.view.number);
    println!("{:<16} {:<16} peer address", "vm", "failure domain");
    for member in &status.view.members {
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
