//! `wisteriapoint drain`.

use std::net::SocketAddr;

use clap::Args;

use super::admin_client::AdminClient;
use super::output::{self, Output};
use crate::Error;

/// Asks a daemon to stop gracefully: it ends the requests in flight and exits.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  wisteriapoint drain --admin 10.10.0.11:8081")]
pub struct Drain {
    /// Admin address of the daemon.
    #[arg(long)]
    admin: SocketAddr,
}

impl Drain {
    pub(super) async fn run(self, output: Output) -> Result<(), Error> {
        AdminClient::new()?.drain(self.admin).await?;
        let done = serde_json::json!({ "draining": true });
        output::print(output, &done, |_| println!("draining"))
    }
}
