//! Checks a file against its field table and reports the position of every fault.

mod consistency;
mod value;

pub(crate) use consistency::{
    check_document_consistency, check_home_region_unchanged, check_horizon_not_raised,
    check_vm_consistency,
};
pub use value::is_name;

use jsonc_parser::ast::{Object, ObjectProp, Value};
use jsonc_parser::common::{Range, Ranged};

use crate::Fault;
use crate::schema::{Field, Presence, Shape};

const MAX_EDIT_DISTANCE: usize = 3;

/// Collects the faults of a text.
#[derive(Debug)]
pub(crate) struct Checker<'a> {
    text: &'a str,
    faults: Vec<(usize, Fault)>,
}

impl<'a> Checker<'a> {
    pub(crate) fn new(text: &'a str) -> Self {
        Self {
            text,
            faults: Vec::new(),
        }
    }

    /// Returns the faults in the order of the file.
    pub(crate) fn into_faults(mut self) -> Vec<Fault> {
        self.faults.sort_by_key(|(start, _)| *start);
        self.faults.into_iter().map(|(_, fault)| fault).collect()
    }

    /// Checks the top-level value.
    pub(crate) fn check_root(&mut self, root: &Value<'_>, fields: &'static [Field]) {
        match root {
            Value::Object(object) => self.check_object("", object, fields),
            other => {
                let found = value::json_type(other);
                self.add_fault(
                    other.range(),
                    format!("the file holds {found}; write an object"),
                );
            }
        }
    }

    pub(super) fn add_fault(&mut self, at: Range, message: String) {
        let (line, column) = position(self.text, at.start);
        let fault = Fault {
            line,
            column,
            message: message.into(),
        };
        self.faults.push((at.start, fault));
    }

    fn check_object(&mut self, path: &str, object: &Object<'_>, fields: &'static [Field]) {
        for (index, property) in object.properties.iter().enumerate() {
            let name = property.name.as_str();
            let earlier = &object.properties[..index];
            let field = fields.iter().find(|field| field.name == name);
            match field {
                _ if earlier.iter().any(|other| other.name.as_str() == name) => {
                    let message = format!("`{path}{name}` stands twice; keep one");
                    self.add_fault(property.range, message);
                }
                Some(field) => self.check_field(path, field, &property.value),
                None => self.add_unknown_field_fault(path, property, fields),
            }
        }
        for field in fields {
            let missing = object.get(field.name).is_none();
            if missing && field.presence == Presence::Required {
                let (name, value) = (field.name, field.shape.describe());
                let message = format!("`{path}{name}` is missing; write {value}");
                self.add_fault(object.range, message);
            }
        }
    }

    fn check_field(&mut self, path: &str, field: &Field, value: &Value<'_>) {
        let name = format!("{path}{}", field.name);
        match (value, field.shape) {
            (Value::NullKeyword(_), _) if field.presence == Presence::Optional => {}
            (Value::Object(object), Shape::Object(fields)) => {
                self.check_object(&format!("{name}."), object, fields);
            }
            (Value::Array(array), Shape::List { fields, min, max }) => {
                let count = array.elements.len();
                if count < min || count > max {
                    let wanted = field.shape.describe();
                    self.add_fault(array.range, format!("`{name}` has {count}; write {wanted}"));
                }
                for (index, element) in array.elements.iter().enumerate() {
                    self.check_element(&format!("{name}[{index}]"), element, fields);
                }
            }
            (Value::Array(array), Shape::Addresses { max }) if array.elements.len() <= max => {
                for (index, element) in array.elements.iter().enumerate() {
                    self.check_value(&format!("{name}[{index}]"), element, Shape::Address, "");
                }
            }
            (value, shape) => self.check_value(&name, value, shape, field.unit),
        }
    }

    fn check_value(&mut self, name: &str, value: &Value<'_>, shape: Shape, unit: &str) {
        let Err(found) = value::check(value, shape) else {
            return;
        };
        let unit = match unit {
            "" => String::new(),
            unit => format!(" ({unit})"),
        };
        let wanted = shape.describe();
        let message = format!("`{name}` is {found}; write {wanted}{unit}");
        self.add_fault(value.range(), message);
    }

    fn check_element(&mut self, name: &str, element: &Value<'_>, fields: &'static [Field]) {
        match element {
            Value::Object(object) => self.check_object(&format!("{name}."), object, fields),
            other => {
                let found = value::json_type(other);
                self.add_fault(
                    other.range(),
                    format!("`{name}` is {found}; write an object"),
                );
            }
        }
    }

    fn add_unknown_field_fault(
        &mut self,
        path: &str,
        property: &ObjectProp<'_>,
        fields: &'static [Field],
    ) {
        let name = property.name.as_str();
        let nearest = fields
            .iter()
            .map(|field| (strsim::damerau_levenshtein(field.name, name), field.name))
            .min()
            .filter(|(distance, _)| *distance <= MAX_EDIT_DISTANCE);
        let advice = match nearest {
            Some((_, near)) => format!("did you mean `{near}`?"),
            None => {
                let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
                format!("write one of `{}`", names.join("`, `"))
            }
        };
        let message = format!("`{path}{name}` is no known field; {advice}");
        self.add_fault(property.range, message);
    }
}

/// Returns the line and column of a byte offset, both counted from 1; columns count characters.
pub(crate) fn position(text: &str, byte: usize) -> (usize, usize) {
    let before = text.get(..byte).unwrap_or(text);
    let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
    let line = before.matches('\n').count() + 1;
    (line, before[line_start..].chars().count() + 1)
}
