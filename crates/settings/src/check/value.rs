//! Checks single values.

use std::net::SocketAddr;

use jsonc_parser::ast::Value;

use crate::schema::{MAX_NAME_BYTES, MAX_PATH_BYTES, Shape};

const MAX_SHOWN_CHARS: usize = 40;

/// Checks that a scalar value has a shape.
///
/// # Errors
///
/// Returns a description of the value if it does not.
pub(super) fn check(value: &Value<'_>, shape: Shape) -> Result<(), String> {
    let fits = match (value, shape) {
        (Value::StringLit(text), _) => text_fits(&text.value, shape),
        (Value::NumberLit(number), _) => number_fits(number.value, shape),
        (Value::BooleanLit(_), Shape::Bool) => true,
        _ => false,
    };
    match fits {
        true => Ok(()),
        false => Err(describe_value(value)),
    }
}

/// Returns the JSON type of a value, as named in error messages.
pub(super) fn json_type(value: &Value<'_>) -> &'static str {
    match value {
        Value::StringLit(_) => "a text",
        Value::NumberLit(_) => "a number",
        Value::BooleanLit(_) => "true or false",
        Value::Object(_) => "an object",
        Value::Array(_) => "a list",
        Value::NullKeyword(_) => "null",
    }
}

/// Returns `true` if a text is a valid name: 1 to [`MAX_NAME_BYTES`] lower-case letters, digits
/// and hyphens, with no hyphen at the start or end.
///
/// Names are used in URLs, store keys and metric labels.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    (1..=MAX_NAME_BYTES).contains(&text.len())
        && text.bytes().all(allowed)
        && !text.starts_with('-')
        && !text.ends_with('-')
}

fn text_fits(text: &str, shape: Shape) -> bool {
    match shape {
        Shape::Name => is_name(text),
        Shape::Text { max_bytes } => {
            (1..=max_bytes).contains(&text.len()) && !text.contains(char::is_control)
        }
        Shape::Path => is_path(text),
        Shape::Url => is_url(text),
        Shape::Address => text.parse::<SocketAddr>().is_ok(),
        Shape::Choice(words) => words.contains(&text),
        _ => false,
    }
}

fn is_path(text: &str) -> bool {
    let printable = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    text.starts_with('/') && text.len() <= MAX_PATH_BYTES && text.bytes().all(printable)
}

fn is_url(text: &str) -> bool {
    let authority = text
        .strip_prefix("http://")
        .or_else(|| text.strip_prefix("https://"));
    let host = authority.and_then(|rest| rest.split('/').next());
    let printable = |byte: u8| byte.is_ascii_graphic() && byte != b'?' && byte != b'#';
    host.is_some_and(|host| !host.is_empty())
        && text.len() <= MAX_PATH_BYTES
        && text.bytes().all(printable)
}

fn number_fits(text: &str, shape: Shape) -> bool {
    match shape {
        Shape::Integer { min, max } => text
            .parse::<u64>()
            .is_ok_and(|number| (min..=max).contains(&number)),
        Shape::Number { min, max } => text
            .parse::<f64>()
            .is_ok_and(|number| (min..=max).contains(&number)),
        _ => false,
    }
}

fn describe_value(value: &Value<'_>) -> String {
    match value {
        Value::StringLit(text) => {
            let quoted: String = text.value.chars().take(MAX_SHOWN_CHARS).collect();
            format!("the text {quoted:?}")
        }
        Value::NumberLit(number) => format!("{:.MAX_SHOWN_CHARS$}", number.value),
        Value::BooleanLit(boolean) => boolean.value.to_string(),
        other => json_type(other).to_owned(),
    }
}
