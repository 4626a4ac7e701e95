//! Parses files into typed values.

use jsonc_parser::ast::Value;
use jsonc_parser::{
    CollectOptions, ParseOptions, errors::ParseError, parse_to_ast, parse_to_serde_value,
};
use serde::de::DeserializeOwned;

use crate::check::{
    Checker, check_document_consistency, check_home_region_unchanged, check_horizon_not_raised,
    check_vm_consistency,
};
use crate::schema::{DOCUMENT, Field, VM};
use crate::{Error, Fault, ServiceDocument, VmSettings};

/// Maximum length of a file, in bytes.
pub const MAX_TEXT_BYTES: usize = 1_000_000;

/// Parses a service document and checks it.
///
/// # Errors
///
/// Returns every fault found, with line and column.
///
/// ```
/// let error = wisteriapoint_settings::document_from_str("{ \"service\": 7 }").unwrap_err();
/// assert!(error.is_data());
/// assert_eq!((error.faults()[0].line, error.faults()[0].column), (1, 1));
/// ```
pub fn document_from_str(text: &str) -> Result<ServiceDocument, Error> {
    parse(text, DOCUMENT, check_document_consistency)
}

/// Parses a service document that replaces a previous one, and checks it.
///
/// # Errors
///
/// Returns every fault found, including a change of the home region once it is set and a longer
/// retry horizon.
pub fn replacement_from_str(
    previous: &ServiceDocument,
    text: &str,
) -> Result<ServiceDocument, Error> {
    parse(text, DOCUMENT, |checker, root| {
        check_document_consistency(checker, root);
        if let Some(region) = &previous.home_region {
            check_home_region_unchanged(checker, root, region);
        }
        check_horizon_not_raised(checker, root, previous.retry_horizon_s);
    })
}

/// Parses the settings of a VM and checks them.
///
/// # Errors
///
/// Returns every fault found, with line and column.
pub fn vm_from_str(text: &str) -> Result<VmSettings, Error> {
    parse(text, VM, check_vm_consistency)
}

fn parse<T: DeserializeOwned>(
    text: &str,
    fields: &'static [Field],
    check_consistency: impl FnOnce(&mut Checker<'_>, &Value<'_>),
) -> Result<T, Error> {
    if text.len() > MAX_TEXT_BYTES {
        return Err(too_long_error(text));
    }
    let options = parse_options();
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options).map_err(syntax_error)?;
    let root = parsed.value.ok_or_else(empty_file_error)?;
    let mut checker = Checker::new(text);
    checker.check_root(&root, fields);
    check_consistency(&mut checker, &root);
    let faults = checker.into_faults();
    if !faults.is_empty() {
        return Err(Error::data(faults));
    }
    let value: serde_json::Value = parse_to_serde_value(text, &options).map_err(syntax_error)?;
    serde_path_to_error::deserialize(value).map_err(|error| {
        Error::data(vec![Fault {
            line: 0,
            column: 0,
            message: error.to_string().into(),
        }])
    })
}

/// Returns options that accept JSON with comments and trailing commas, and no other extension.
pub(crate) fn parse_options() -> ParseOptions {
    ParseOptions {
        allow_comments: true,
        allow_loose_object_property_names: false,
        allow_trailing_commas: true,
        allow_missing_commas: false,
        allow_single_quoted_strings: false,
        allow_hexadecimal_numbers: false,
        allow_unary_plus_numbers: false,
        allow_bare_decimal_point_numbers: false,
        allow_non_finite_numbers: false,
        allow_extended_string_escapes: false,
    }
}

pub(crate) fn syntax_error(error: ParseError) -> Error {
    Error::syntax(Fault {
        line: error.line_display(),
        column: error.column_display(),
        message: error.kind().to_string().into(),
    })
}

fn empty_file_error() -> Error {
    Error::syntax(Fault {
        line: 1,
        column: 1,
        message: "the file is empty; write an object".into(),
    })
}

fn too_long_error(text: &str) -> Error {
    let message = format!(
        "the file has {} bytes; write at most {MAX_TEXT_BYTES}",
        text.len(),
    );
    Error::syntax(Fault {
        line: 1,
        column: 1,
        message: message.into(),
    })
}
