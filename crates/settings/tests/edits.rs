//! Tests edits of single fields and changes that are refused.

use serde_json::json;
use wisteriapoint_settings::{document_from_str, replacement_from_str, with_field};

const TEXT: &str = r#"// The shop.
{
    "service": "shopfront", "owner": "shop team", "kind": "plain",
    "home_region": "dk-east", // Set once.
    "endpoints": [
        // Bought in 2019.
        { "endpoint": "e-1", "address": "127.0.0.1:1", "failure_domain": "a", "vm": "v-1" },
        { "endpoint": "e-2", "address": "127.0.0.1:2", "failure_domain": "b", "vm": "v-2" },
    ],
    "limits": {
        "queue_length": 64,
    },
}
"#;

#[test]
fn a_field_changes_and_comments_stay() {
    let text = with_field(TEXT, "limits.queue_length", &json!(9)).unwrap();
    let text = with_field(&text, "endpoints[1].max_concurrency", &json!(3)).unwrap();
    let text = with_field(&text, "deadline_ms", &json!(700)).unwrap();
    assert!(text.contains("// Bought in 2019.") && text.contains("// Set once."));
    let document = document_from_str(&text).unwrap();
    assert_eq!(document.limits.queue_length, 9);
    assert_eq!(document.endpoints[0].max_concurrency, 8);
    assert_eq!(document.endpoints[1].max_concurrency, 3);
    assert_eq!(document.deadline_ms, 700);
}

#[test]
fn an_invalid_path_is_refused() {
    for path in [
        "endpoints[2].vm",
        "endpoints[x].vm",
        "service.name",
        "routes[0].path",
    ] {
        let error = with_field(TEXT, path, &json!(1)).expect_err(path);
        assert!(error.is_data() && error.to_string().contains(path));
    }
}

#[test]
fn a_home_region_cannot_change() {
    let previous = document_from_str(TEXT).unwrap();
    assert!(replacement_from_str(&previous, TEXT).is_ok());
    let moved = TEXT.replace("dk-east", "hu-central");
    let error = replacement_from_str(&previous, &moved).expect_err("the region changed");
    assert_eq!((error.faults()[0].line, error.faults()[0].column), (4, 20));
    let removed = TEXT.replace("\"home_region\": \"dk-east\",", "");
    assert!(replacement_from_str(&previous, &removed).is_err());
    let previous = document_from_str(&removed).unwrap();
    assert!(replacement_from_str(&previous, TEXT).is_ok());
}
