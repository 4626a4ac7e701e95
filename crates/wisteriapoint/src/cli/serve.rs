//! `wisteriapoint serve`.

use std::path::PathBuf;

use clap::Args;
use tokio::signal::unix::{SignalKind, signal};

use crate::daemon::Daemon;
use crate::{Error, logging};

/// Runs the daemon until SIGTERM, SIGINT or a drain.
#[derive(Debug, Args)]
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
        let settings =
            wisteriapoint_settings::vm_from_str(&std::fs::read_to_string(self.settings)?)?;
        logging::init(settings.log_format, log::LevelFilter::Info)?;
        let mut terminate = signal(SignalKind::terminate())?;
        let daemon = Daemon::start(settings).await?;
        if let Some(path) = self.addresses {
            std::fs::write(path, serde_json::to_vec(&daemon.addresses())?)?;
        }
        log::info!("serving callers on {}", daemon.addresses().service);
        tokio::select! {
            _ = terminate.recv() => {}
            _ = tokio::signal::ctrl_c() => {}
            () = daemon.drain_asked() => {}
        }
        daemon.stop().await;
        Ok(())
    }
}
