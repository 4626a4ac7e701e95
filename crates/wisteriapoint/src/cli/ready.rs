//! `wisteriapoint ready`.

use std::net::SocketAddr;

use clap::Args;

use super::admin_client::AdminClient;
use super::output::{self, Output};
use crate::Error;

/// Exits 0 if a daemon takes requests.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  wisteriapoint ready --admin 10.10.0.11:8081")]
pub struct Ready {
    /// Admin address of the daemon.
    #[arg(long)]
    admin: SocketAddr,
}

impl Ready {
    pub(super) async fn run(self, output: Output) -> Result<(), Error> {
        AdminClient::new()?.ready(self.admin).await?;
        let done = serde_json::json!({ "ready": true });
        output::print(output, &done, |_| println!("ready"))
    }
}
