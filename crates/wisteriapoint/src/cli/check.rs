//! `wisteriapoint check`.

use std::path::PathBuf;

use clap::Args;

use super::output::{self, Output};
use super::read_file;
use crate::Error;

/// Checks files without changing anything; tells all faults of a file at once.
#[derive(Debug, Args)]
#[group(required = true, multiple = true)]
#[command(after_help = "Examples:
  wisteriapoint check --settings examples/dk-east/vm.json
  wisteriapoint check --document examples/dk-east/shopfront.json")]
pub struct Check {
    /// File with a VM's settings.
    #[arg(long)]
    settings: Vec<PathBuf>,
    /// File with a service document.
    #[arg(long)]
    document: Vec<PathBuf>,
}

impl Check {
    pub(super) fn run(self, output: Output) -> Result<(), Error> {
        for path in &self.settings {
            let settings = wisteriapoint_settings::vm_from_str(&read_file(path)?);
            settings.map_err(|error| Error::invalid_file(path, error))?;
        }
        for path in &self.document {
            let document = wisteriapoint_settings::document_from_str(&read_file(path)?);
            document.map_err(|error| Error::invalid_file(path, error))?;
        }
        let done = serde_json::json!({ "accepted": self.settings.len() + self.document.len() });
        output::print(output, &done, |_| println!("ok"))
    }
}
