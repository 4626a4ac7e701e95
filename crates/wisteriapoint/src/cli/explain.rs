//! `wisteriapoint explain`.

use std::net::SocketAddr;

use clap::Args;
use wisteriapoint_types::ServiceName;

use super::admin_client::AdminClient;
use super::output::{self, Output};
use super::service_name;
use crate::Error;
use crate::http::explain::Explanation;

/// Shows where a daemon would send a request of a service now, and why.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  wisteriapoint explain shopfront --admin 10.10.0.11:8081")]
pub struct Explain {
    /// Name of the service.
    #[arg(value_parser = service_name)]
    service: ServiceName,
    /// Admin address of the daemon.
    #[arg(long)]
    admin: SocketAddr,
}

impl Explain {
    pub(super) async fn run(self, output: Output) -> Result<(), Error> {
        let found = AdminClient::new()?
            .explain(self.admin, self.service.as_str())
            .await?;
        let explanation = found.ok_or(Error::UnknownService(self.service))?;
        output::print(output, &explanation, print_table)
    }
}

fn print_table(explanation: &Explanation) {
    println!(
        "{:<20} {:<16} {:<12} {:>9} {:>5} {:>8} {:>8} {:>9}",
        "endpoint",
        "failure domain",
        "state",
        "in flight",
        "limit",
        "running",
        "waiting",
        "ms/token",
    );
    for row in &explanation.endpoints {
        println!(
            "{:<20} {:<16} {:<12} {:>9} {:>5} {:>8} {:>8} {:>9.1}",
            row.endpoint.as_str(),
            row.failure_domain.as_str(),
            row.state.as_str(),
            row.in_flight,
            row.max_concurrency,
            row.reported_running,
            row.reported_waiting,
            row.ms_per_token,
        );
    }
    let candidates: Vec<&str> = explanation.candidates.iter().map(|c| c.as_str()).collect();
    match candidates.is_empty() {
        true => println!("a request sent now waits, or is refused"),
        false => println!(
            "a request sent now goes to one of {}",
            candidates.join(", ")
        ),
    }
}
