//! `wisteriapoint node`.

use std::path::PathBuf;

use clap::Args;
use tokio::task::LocalSet;
use wisteriapoint_adapter::Platform;
use wisteriapoint_node::settings::SettingsFile;
use wisteriapoint_node::{Node, logging};

use crate::Error;

/// Runs a node on the users' platform until SIGTERM, then stops it gracefully.
#[derive(Debug, Args)]
pub struct RunNode {
    /// File with the node's settings.
    #[arg(long)]
    settings: PathBuf,
    /// Time for which an endpoint still serves after it has said that it drains, in milliseconds;
    /// precedes the file.
    #[arg(long)]
    drain_ms: Option<u64>,
    /// Time after which a configuration must be in force at all nodes, in milliseconds; precedes the
    /// file.
    #[arg(long)]
    config_apply_ms: Option<u64>,
    /// Least severe log lines that are written.
    #[arg(long, default_value = "info")]
    log_level: log::LevelFilter,
}

impl RunNode {
    pub(super) async fn run(self) -> Result<(), Error> {
        logging::init(self.log_level);
        let file = SettingsFile {
            path: self.settings,
            drain_ms: self.drain_ms,
            config_apply_ms: self.config_apply_ms,
        };
        let tasks = LocalSet::new();
        Ok(tasks.run_until(Node::<Platform>::run(file)).await?)
    }
}
