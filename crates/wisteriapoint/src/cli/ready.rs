//! `wisteriapoint ready`.

use std::net::SocketAddr;

use clap::Args;

use crate::Error;

/// Exits 0 if a daemon takes requests.
#[derive(Debug, Args)]
pub struct Ready {
    /// Admin address of the daemon.
    #[arg(long)]
    admin: SocketAddr,
}

impl Ready {
    pub(super) async fn run(self) -> Result<(), Error> {
        let url = format!("http://{}/ready", self.admin);
        let client = reqwest::Client::builder().no_proxy().build()?;
        client.get(url).send().await?.error_for_status()?;
        println!("ready");
        Ok(())
    }
}
