//! Checks fields against each other.

use std::collections::BTreeMap;

use jsonc_parser::ast::{Object, Value};

use wisteriapoint_types::Region;

use super::Checker;
use crate::document::default_retry_horizon_s;

const VM_ADDRESSES: [&str; 3] = ["service_address", "admin_address", "peer_address"];

/// Checks the fields of a service document against each other.
pub(crate) fn check_document_consistency(checker: &mut Checker<'_>, root: &Value<'_>) {
    let Value::Object(document) = root else {
        return;
    };
    checker.check_unique(document, "endpoints", "endpoint");
    checker.check_unique(document, "endpoints", "address");

    checker.check_unique(document, "routes", "path");
    match document.get_string("kind").map(|kind| &*kind.value) {
        Some("model") => checker.check_inapplicable(document, "model", &["routes"]),
        Some("plain") => checker.check_inapplicable(document, "plain", &["rollouts", "weights"]),
        _ => {}
    }
}

/// Checks that a home region, once set, is unchanged.
pub(crate) fn check_home_region_unchanged(
    checker: &mut Checker<'_>,
    root: &Value<'_>,
    previous: &Region,
) {
    let Value::Object(document) = root else {
        return;
    };
    let region = document.get_string("home_region");
    match region {
        Some(region) if region.value == previous.as_str() => {}
        found => {
            let range = found.map_or(document.range, |region| region.range);
            let message = format!(
                "`home_region` was set to `{previous}` and can't change: the claims of requests \
                 in progress are kept there, and elsewhere a request could run twice; write \
                 `{previous}`, or a new service"
            );
            checker.add_fault(range, message);
        }
    }
}

/// Checks that the retry horizon is not raised.
pub(crate) fn check_horizon_not_raised(
    checker: &mut Checker<'_>,
    root: &Value<'_>,
    previous_s: u64,
) {
    let Value::Object(document) = root else {
        return;
    };
    let number = document.get_number("retry_horizon_s");
    let horizon_s = match number {
        Some(number) => number.value.parse().unwrap_or(0),
        None => default_retry_horizon_s(),
    };
    if horizon_s > previous_s {
        let range = number.map_or(document.range, |number| number.range);
        let message = format!(
            "`retry_horizon_s` is {previous_s} and can't be raised: claims older than that are \
             forgotten, and their requests could run twice; write {previous_s} or less, or a \
             new service"
        );
        checker.add_fault(range, message);
    }
}

/// Checks the fields of VM settings against each other.
pub(crate) fn check_vm_consistency(checker: &mut Checker<'_>, root: &Value<'_>) {
    let Value::Object(settings) = root else {
        return;
    };
    let mut seen: BTreeMap<&str, &str> = BTreeMap::new();
    for name in VM_ADDRESSES {
        let Some(address) = settings.get_string(name) else {
            continue;
        };
        match seen.insert(&address.value, name) {
            Some(other) if !address.value.ends_with(":0") => {
                let message = format!("`{name}` is the same as `{other}`; write another port");
                checker.add_fault(address.range, message);
            }
            _ => {}
        }
    }
}

impl Checker<'_> {
    fn check_unique(&mut self, document: &Object<'_>, list: &str, field: &str) {
        let Some(elements) = document.get_array(list) else {
            return;
        };
        let mut seen: BTreeMap<&str, usize> = BTreeMap::new();
        for (index, element) in elements.elements.iter().enumerate() {
            let object = element.as_object();
            let Some(text) = object.and_then(|object| object.get_string(field)) else {
                continue;
            };
            match seen.get(&*text.value) {
                Some(first) => {
                    let value = &text.value;
                    let message = format!(
                        "`{list}[{index}].{field}` is `{value}`, as in `{list}[{first}]`; write \
                         another or remove one"
                    );
                    self.add_fault(text.range, message);
                }
                None => {
                    seen.insert(&text.value, index);
                }
            }
        }
    }

    fn check_inapplicable(&mut self, document: &Object<'_>, kind: &str, fields: &[&str]) {
        for field in fields {
            let property = document.get(field);
            let empty = property
                .and_then(|property| property.value.as_array())
                .is_some_and(|array| array.elements.is_empty());
            if let Some(property) = property.filter(|_| !empty) {
                let message =
                    format!("`{field}` has no meaning for `\"kind\": \"{kind}\"`; remove it");
                self.add_fault(property.range, message);
            }
        }
    }
}
