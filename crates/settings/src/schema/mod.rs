//! Fields of the files, with their types, units, defaults and bounds.
//!
//! Files are checked against these tables, and `docs/settings.md` lists their rows.

mod document;
mod vm;

pub use document::DOCUMENT;
pub use vm::VM;

/// Type and bounds of a field value.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// A name of lower-case letters, digits and hyphens; see [`is_name`](crate::is_name).
    Name,
    /// Non-empty text without control characters.
    Text {
        /// Maximum length, in bytes.
        max_bytes: usize,
    },
    /// A prefix of a URL path.
    Path,
    /// A base URL with the scheme `http` or `https`.
    Url,
    /// An IP address and a port.
    Address,
    /// A list of IP addresses with ports.
    Addresses {
        /// Maximum number of addresses.
        max: usize,
    },
    /// A non-negative integer.
    Integer {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A floating-point number.
    Number {
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// `true` or `false`.
    Bool,
    /// One of a fixed set of strings.
    Choice(&'static [&'static str]),
    /// A list of objects.
    List {
        /// Fields of each object in the list.
        fields: &'static [Field],
        /// Minimum number of objects.
        min: usize,
        /// Maximum number of objects.
        max: usize,
    },
    /// An object with the given fields.
    Object(&'static [Field]),
}

/// Presence of a field in a file.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The field must be present.
    Required,
    /// The field may be absent or `null`, and then has no value.
    Optional,
    /// The field has this value, given as JSON, if it is absent.
    Default(&'static str),
}

/// Description of a field of a file.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Name within the enclosing object.
    pub name: &'static str,
    /// Type and bounds of the value.
    pub shape: Shape,
    /// Whether the field is required, optional or has a default.
    pub presence: Presence,
    /// Unit of the value, or an empty string.
    pub unit: &'static str,
    /// Meaning of the field, as listed in `docs/settings.md`.
    pub meaning: &'static str,
}

/// Maximum length of a name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Maximum length of a path or URL, in bytes.
pub const MAX_PATH_BYTES: usize = 256;

impl Shape {
    /// Returns a human-readable description of a valid value.
    pub fn describe(&self) -> String {
        match self {
            Self::Name => format!(
                "a name of 1 to {MAX_NAME_BYTES} lower-case letters, digits and hyphens that \
                 starts and ends with a letter or digit"
            ),
            Self::Text { max_bytes } => format!("a text of 1 to {max_bytes} bytes"),
            Self::Path => format!(
                "a path of at most {MAX_PATH_BYTES} bytes that starts with `/`, without query \
                 or spaces"
            ),
            Self::Url => "a URL such as `http://10.0.0.1:8500`".into(),
            Self::Address => "an address such as `10.0.0.1:8000`".into(),
            Self::Addresses { max } => {
                format!("a list of at most {max} addresses such as `10.0.0.1:8000`")
            }
            Self::Integer { min, max } => format!("a whole number from {min} to {max}"),
            Self::Number { min, max } => format!("a number from {min} to {max}"),
            Self::Bool => "`true` or `false`".into(),
            Self::Choice(words) => format!("one of `{}`", words.join("`, `")),
            Self::List { min, max, .. } => format!("a list of {min} to {max} objects"),
            Self::Object(_) => "an object".into(),
        }
    }

    /// Returns the fields of the object, or of each object in the list; empty for other shapes.
    pub fn fields(&self) -> &'static [Field] {
        match self {
            Self::List { fields, .. } | Self::Object(fields) => fields,
            _ => &[],
        }
    }
}

impl Field {
    /// Returns Markdown table rows for this field and the fields nested in it.
    pub fn markdown_rows(&self, prefix: &str) -> Vec<String> {
        let name = format!("{prefix}{}", self.name);
        let presence = match self.presence {
            Presence::Required => "required".to_owned(),
            Presence::Optional => "none".to_owned(),
            Presence::Default(json) => format!("`{json}`"),
        };
        let unit = if self.unit.is_empty() {
            "–"
        } else {
            self.unit
        };
        let (value, meaning) = (self.shape.describe(), self.meaning);
        let mut rows = vec![format!(
            "| `{name}` | {value} | {unit} | {presence} | {meaning} |"
        )];
        let inner = match self.shape {
            Shape::List { .. } => format!("{name}[]."),
            _ => format!("{name}."),
        };
        for field in self.shape.fields() {
            rows.extend(field.markdown_rows(&inner));
        }
        rows
    }
}

const fn required(name: &'static str, shape: Shape, meaning: &'static str) -> Field {
    Field {
        name,
        shape,
        presence: Presence::Required,
        unit: "",
        meaning,
    }
}

const fn optional(name: &'static str, shape: Shape, meaning: &'static str) -> Field {
    Field {
        presence: Presence::Optional,
        ..required(name, shape, meaning)
    }
}

const fn with_default(
    name: &'static str,
    shape: Shape,
    default: &'static str,
    meaning: &'static str,
) -> Field {
    Field {
        presence: Presence::Default(default),
        ..required(name, shape, meaning)
    }
}

impl Field {
    const fn with_unit(self, unit: &'static str) -> Self {
        Self { unit, ..self }
    }
}
