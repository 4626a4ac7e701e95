//! Output of results as tables or JSON.

use clap::ValueEnum;
use serde::Serialize;

use crate::Error;

/// Form of the output.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, ValueEnum)]
pub enum Output {
    /// Tables for people.
    #[default]
    Table,
    /// JSON for programs.
    Json,
}

pub(super) fn print<T: Serialize>(
    output: Output,
    value: &T,
    table: impl FnOnce(&T),
) -> Result<(), Error> {
    match output {
        Output::Json => println!("{}", serde_json::to_string_pretty(value)?),
        Output::Table => table(value),
    }
    Ok(())
}
