//! Reading of files into typed values.

use jsonc_parser::{ParseOptions, parse_to_serde_value};
use serde::de::DeserializeOwned;

use crate::{Error, Fault, ServiceDocument, VmSettings};

/// Reads a service document and checks it.
///
/// # Errors
///
/// Gives every fault found, with line and column where it has one.
pub fn document_from_str(text: &str) -> Result<ServiceDocument, Error> {
    let document: ServiceDocument = parse(text)?;
    let faults = document.faults();
    match faults.is_empty() {
        true => Ok(document),
        false => Err(Error::data(faults)),
    }
}

/// Reads a VM's settings and checks them.
///
/// # Errors
///
/// Gives every fault found, with line and column where it has one.
pub fn vm_from_str(text: &str) -> Result<VmSettings, Error> {
    parse(text)
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, Error> {
    let value: serde_json::Value =
        parse_to_serde_value(text, &ParseOptions::default()).map_err(|error| {
            Error::syntax(Fault {
                line: error.line_display(),
                column: error.column_display(),
                message: error.kind().to_string().into(),
            })
        })?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        Error::data(vec![Fault {
            line: 0,
            column: 0,
            message: error.to_string().into(),
        }])
    })
}
