//! `wisteriapoint drain`.

use std::net::SocketAddr;

use clap::Args;

use crate::Error;

/// Asks a daemon to stop gracefully.
#[derive(Debug, Args)]
pub struct Drain {
    /// Admin address of the daemon.
    #[arg(long)]
    admin: SocketAddr,
}

impl Drain {
    pub(super) async fn run(self) -> Result<(), Error> {
        let url = format!("http://{}/drain", self.admin);
        let client = reqwest::Client::builder().no_proxy().build()?;
        client.post(url).send().await?.error_for_status()?;
        println!("draining");
        Ok(())
    }
}
