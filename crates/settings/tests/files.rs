//! Tests the examples, the field tables and the page that lists all fields.

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use serde_json::Value;
use wisteriapoint_settings::schema::{DOCUMENT, Field, Presence, Shape, VM};
use wisteriapoint_settings::{document_from_str, vm_from_str};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).expect("the file is readable")
}

const SMALLEST_VM: &str = r#"{
    "vm": "entry-1", "failure_domain": "a", "region": "r",
    "service_address": "127.0.0.1:0", "admin_address": "127.0.0.1:0",
    "peer_address": "127.0.0.1:0", "platform_url": "http://127.0.0.1:8500",
}"#;

const SMALLEST_DOCUMENT: &str = r#"{
    "service": "shopfront", "owner": "shop team", "kind": "plain",
    "endpoints": [
        { "endpoint": "e", "address": "127.0.0.1:1", "failure_domain": "a", "vm": "v" },
    ],
    "routes": [{ "path": "/", "idempotent": true }],
}"#;

#[test]
fn examples_are_accepted() {
    for (folder, services) in [
        ("dk-east", [("advisor-lm", 9), ("shopfront", 3)]),
        ("hu-central", [("draft-llm", 9), ("quote-portal", 3)]),
    ] {
        let settings = vm_from_str(&read(&format!("examples/{folder}/vm.json"))).unwrap();
        assert_eq!(settings.region.as_str(), folder);
        for (service, endpoints) in services {
            let text = read(&format!("examples/{folder}/{service}.json"));
            let document = document_from_str(&text).unwrap();
            let domains: BTreeSet<_> = document
                .endpoints
                .iter()
                .map(|endpoint| &endpoint.failure_domain)
                .collect();
            assert_eq!(document.service.as_str(), service);
            assert_eq!(document.endpoints.len(), endpoints);
            assert_eq!(domains.len(), 3);
        }
    }
}

/// Compares names and defaults in a field table with the serialized value of the type.
fn assert_same_fields(path: &str, fields: &[Field], value: &Value) {
    let object = value.as_object().expect("an object");
    let names: BTreeSet<&str> = fields.iter().map(|field| field.name).collect();
    let written: BTreeSet<&str> = object.keys().map(String::as_str).collect();
    assert_eq!(names, written, "fields of `{path}`");
    for field in fields {
        let value = &object[field.name];
        match (field.shape, field.presence) {
            (Shape::Object(inner), _) => assert_same_fields(field.name, inner, value),
            (Shape::List { fields: inner, .. }, _) => {
                assert_same_fields(field.name, inner, &value[0]);
            }
            (_, Presence::Default(json)) => {
                let default: Value = serde_json::from_str(json).unwrap();
                assert_eq!(&default, value, "default of `{path}.{}`", field.name);
            }
            (_, Presence::Optional) => assert!(value.is_null(), "`{}`", field.name),
            (_, Presence::Required) => assert!(!value.is_null(), "`{}`", field.name),
        }
    }
}

#[test]
fn tables_of_fields_match_the_types() {
    let settings = vm_from_str(SMALLEST_VM).unwrap();
    assert_same_fields("VM", VM, &serde_json::to_value(settings).unwrap());
    let document = document_from_str(SMALLEST_DOCUMENT).unwrap();
    let value = serde_json::to_value(document).unwrap();
    assert_same_fields("document", DOCUMENT, &value);
}

#[test]
fn the_page_lists_every_field() {
    let page = read("docs/settings.md");
    let rows = VM
        .iter()
        .chain(DOCUMENT)
        .flat_map(|field| field.markdown_rows(""));
    let missing: Vec<String> = rows.filter(|row| !page.contains(row.as_str())).collect();
    assert!(missing.is_empty(), "missing rows:\n{}", missing.join("\n"));
}
