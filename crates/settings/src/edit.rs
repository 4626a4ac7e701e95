//! Edits single fields of a text and preserves its comments.

use jsonc_parser::cst::{CstInputValue, CstNode, CstObject, CstRootNode};
use serde_json::Value;

use crate::read::{parse_options, syntax_error};
use crate::{Error, Fault};

/// Sets one field in the text of a document and leaves the rest of the text unchanged.
///
/// The path consists of field names and list indices, such as `limits.queue_length` or
/// `endpoints[2].max_concurrency`. The result is not checked.
///
/// # Errors
///
/// Returns an error if the text is not JSON with comments, or if a segment of the path is not an
/// object or an existing list element.
///
/// ```
/// let text = "{ \"limits\": { \"queue_length\": 64 } } // Shop.";
/// let edited = wisteriapoint_settings::with_field(text, "limits.queue_length", &128.into())?;
/// assert_eq!(edited, "{ \"limits\": { \"queue_length\": 128 } } // Shop.");
/// # Ok::<(), wisteriapoint_settings::Error>(())
/// ```
pub fn with_field(text: &str, path: &str, value: &Value) -> Result<String, Error> {
    let root = CstRootNode::parse(text, &parse_options()).map_err(syntax_error)?;
    let mut object = root.object_value().ok_or_else(|| invalid_path(path))?;
    let (parents, name) = match path.rsplit_once('.') {
        Some((parents, name)) => (Some(parents), name),
        None => (None, path),
    };
    for segment in parents.into_iter().flat_map(|parents| parents.split('.')) {
        object = descend(&object, segment).ok_or_else(|| invalid_path(path))?;
    }
    let existing = object.get(name);
    match existing {
        Some(property) => property.set_value(cst_input(value)),
        None => {
            object.append(name, cst_input(value));
        }
    }
    Ok(root.to_string())
}

fn descend(object: &CstObject, segment: &str) -> Option<CstObject> {
    let Some((name, index)) = segment.split_once('[') else {
        return object.object_value_or_create(segment);
    };
    let index: usize = index.strip_suffix(']')?.parse().ok()?;
    let elements = object.array_value(name)?.elements();
    elements.get(index).and_then(CstNode::as_object)
}

fn cst_input(value: &Value) -> CstInputValue {
    match value {
        Value::Null => CstInputValue::Null,
        Value::Bool(boolean) => CstInputValue::Bool(*boolean),
        Value::Number(number) => CstInputValue::Number(number.to_string()),
        Value::String(text) => CstInputValue::String(text.clone()),
        Value::Array(elements) => CstInputValue::Array(elements.iter().map(cst_input).collect()),
        Value::Object(fields) => {
            let fields = fields.iter();
            CstInputValue::Object(fields.map(|(n, v)| (n.clone(), cst_input(v))).collect())
        }
    }
}

fn invalid_path(path: &str) -> Error {
    let message = format!(
        "`{path}` leads nowhere; write a path such as `limits.queue_length` or \
         `endpoints[2].max_concurrency`"
    );
    Error::data(vec![Fault {
        line: 0,
        column: 0,
        message: message.into(),
    }])
}
