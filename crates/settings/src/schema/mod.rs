//! The fields of the files: types, units, defaults and bounds.
//!
//! The check of a file and the page `docs/settings.md` both follow these tables.

mod document;
mod vm;

pub use document::DOCUMENT;
pub use vm::VM;

/// What a field may hold.
#[derive(Debug, Clone, Copy)]
pub enum Shape {
    /// A name: lower-case letters, digits and hyphens.
    Name,
    /// Free text of bounded length.
    Text {
        /// Longest text, in bytes.
        max_bytes: usize,
    },
    /// The beginning of a URL's path.
    Path,
    /// A base URL.
    Url,
    /// An IP number and a port.
    Address,
    /// A list of addresses.
    Addresses {
        /// Most addresses.
        max: usize,
    },
    /// A whole number.
    Integer {
        /// Smallest value.
        min: u64,
        /// Largest value.
        max: u64,
    },
    /// A number.
    Number {
        /// Smallest value.
        min: f64,
        /// Largest value.
        max: f64,
    },
    /// `true` or `false`.
    Bool,
    /// One of some words.
    Choice(&'static [&'static str]),
    /// A list of objects.
    List {
        /// Fields of each object.
        fields: &'static [Field],
        /// Fewest objects.
        min: usize,
        /// Most objects.
        max: usize,
    },
    /// An object.
    Object(&'static [Field]),
}

/// Whether a field has to be written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// It has to.
    Required,
    /// It has no value if it is not written.
    Optional,
    /// It has this value, as JSON, if it is not written.
    Default(&'static str),
}

/// One field of a file.
#[derive(Debug, Clone, Copy)]
pub struct Field {
    /// Name.
    pub name: &'static str,
    /// What it may hold.
    pub shape: Shape,
    /// Whether it has to be written.
    pub presence: Presence,
    /// Unit, or empty.
    pub unit: &'static str,
    /// Meaning, for the page of all fields.
    pub meaning: &'static str,
}

/// Longest name, in bytes.
pub const MAX_NAME_BYTES: usize = 63;

/// Longest path or URL, in bytes.
pub const MAX_PATH_BYTES: usize = 256;

impl Shape {
    /// What to write, for people.
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

    /// The fields inside, if any.
    pub fn fields(&self) -> &'static [Field] {
        match self {
            Self::List { fields, .. } | Self::Object(fields) => fields,
            _ => &[],
        }
    }
}

impl Field {
    /// The rows of a table in Markdown for this field and those inside it.
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
