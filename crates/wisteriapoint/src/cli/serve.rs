//! `wisteriapoint serve`.

use std::path::PathBuf;

use clap::Args;
use tokio::signal::unix::{SignalKind, signal};

use super::read_file;
use crate::daemon::Daemon;
use crate::{Error, logging};

/// Runs the daemon until SIGTERM, SIGINT or a drain, then stops gracefully.
#[derive(Debug, Args)]
#[command(after_help = "Example:\n  wisteriapoint serve --settings examples/dk-east/vm.json")]
pub struct Serve {
    /// File with the VM's settings.
    #[arg(long)]
    settings: PathBuf,
    /// File to write the bound addresses to, as JSON.
    #[arg(long)]
    addresses: Option<PathBuf>,
}

impl Serve {
    pub(super) async fn run(self) -> Result<(), Error> {
        let settings = wisteriapoint_settings::vm_from_str(&read_file(&self.settings)?)
            .map_err(|error| Error::invalid_file(&self.settings, error))?;
        logging::init(settings.log_format, log::LevelFilter::Info)?;
        let mut terminate = signal(SignalKind::terminate())?;
        let daemon = Daemon::start(settings).await?;
        if let Some(path) = self.addresses {
            let addresses = serde_json::to_vec(&daemon.addresses())?;
            std::fs::write(&path, addresses).map_err(|error| Error::file(&path, error))?;
        }
        log::info!("serving callers on {}", daemon.addresses().service);
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
            () = daemon.drain_requested() => {}
        }
        daemon.stop().await;
        Ok(())
    }
}
