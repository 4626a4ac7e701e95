//! `wisteriapoint check`.

use std::path::PathBuf;

use clap::Args;

use crate::Error;

/// Checks files without changing anything.
#[derive(Debug, Args)]
#[group(required = true)]
pub struct Check {
    /// File with a VM's settings.
    #[arg(long)]
    settings: Option<PathBuf>,
    /// File with a service document.
    #[arg(long)]
    document: Option<PathBuf>,
}

impl Check {
    pub(super) fn run(self) -> Result<(), Error> {
        if let Some(path) = self.settings {
            wisteriapoint_settings::vm_from_str(&std::fs::read_to_string(path)?)?;
        }
        if let Some(path) = self.document {
            wisteriapoint_settings::document_from_str(&std::fs::read_to_string(path)?)?;
        }
        println!("ok");
        Ok(())
    }
}
