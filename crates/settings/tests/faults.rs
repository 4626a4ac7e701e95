//! Tests that all faults of a file are reported at once, each with its position and a valid value.

use proptest::prelude::*;
use wisteriapoint_settings::{Error, document_from_str, vm_from_str};

const ENDPOINT: &str =
    r#"{ "endpoint": "e", "address": "127.0.0.1:1", "failure_domain": "a", "vm": "v" }"#;

fn document(fields: &str) -> String {
    format!(
        "{{\n\"service\": \"s\", \"owner\": \"o\", \"kind\": \"plain\",\n\
         \"endpoints\": [{ENDPOINT}],\n{fields}\n}}"
    )
}

fn faults(text: &str) -> String {
    let error = document_from_str(text).expect_err("the document has faults");
    error.to_string()
}

#[test]
fn all_faults_of_a_document_at_once() {
    let text = r#"{
    // A document with one fault of each kind.
    "service": "Stock Lookup",
    "owner": "",
    "kind": "plane",
    "endpoint": [],
    "endpoints": [
        { "endpoint": "e", "address": "localhost", "failure_domain": "a", "vm": "v" },
        { "endpoint": "e", "address": "10.0.0.1:1", "failure_domain": 7, "max_concurrency": 0 },
        { "endpoint": "e-3", "address": "10.0.0.1:1", "failure_domain": "a", "vm": "v" },
        "e-4",
    ],
    "routes": [
        { "path": "stock", "idempotent": "no" },
        { "path": "/a", "idempotent": true, "deadline_ms": 1.5 },
        { "path": "/a", "idempotent": true, "deadline_ms": null },
    ],
    "deadline_ms": "10s",
    "deadline_ms": 10,
    "retry_horizon_s": 604801,
    "limits": { "queue_length": -1, "retry_ratio": 1.01, "colour": "red" },
    "rollouts": [],
}"#;
    insta::assert_snapshot!(faults(text));
}

#[test]
fn all_faults_of_a_vm_at_once() {
    let text = r#"{
    "vm": "entry-1",
    "failure_domain": "dk-east-a",
    "service_address": "10.0.0.1:80",
    "admin_address": "10.0.0.1:80",
    "peer_adress": "10.0.0.1:81",
    "platform_url": "10.0.0.2:8500",
    "seed_peers": ["10.0.0.3:82", "entry-2", 4],
    "traffic_threads": 0,
    "platform_calls_per_s": 0,
    "log_format": "xml",
}"#;
    let error = vm_from_str(text).expect_err("the settings have faults");
    insta::assert_snapshot!(error.to_string());
}

#[test]
fn syntax_errors_have_a_position() {
    let table = [
        ("", 1, 1),
        ("{ \"service\": \"s\" \"owner\": 1 }", 1, 17),
        ("{\n  service: 1 }", 2, 3),
        ("{\n  \"a\": [1, 2\n", 2, 8),
        ("{ 'a': 1 }", 1, 3),
    ];
    for (text, line, column) in table {
        let error = document_from_str(text).expect_err(text);
        assert!(error.is_syntax() && !error.is_data(), "{text}");
        let fault = &error.faults()[0];
        assert_eq!(
            (fault.line, fault.column),
            (line, column),
            "{text}: {fault}"
        );
    }
}

#[test]
fn columns_count_characters() {
    let text = document("/* Fénysor */ \"deadline_ms\": 0");
    let error = document_from_str(&text).expect_err("the deadline is too short");
    assert_eq!((error.faults()[0].line, error.faults()[0].column), (4, 30));
}

#[test]
fn bounds_are_inclusive() {
    for (field, accepted) in [
        ("\"deadline_ms\": 1", true),
        ("\"deadline_ms\": 0", false),
        ("\"deadline_ms\": 3600000", true),
        ("\"deadline_ms\": 3600001", false),
        ("\"retry_horizon_s\": 604800", true),
        ("\"limits\": { \"retry_ratio\": 0 }", true),
        ("\"limits\": { \"retry_ratio\": 1 }", true),
        ("\"limits\": { \"retry_ratio\": -0.01 }", false),
        ("\"limits\": { \"body_bytes\": 8388608 }", true),
        ("\"limits\": { \"body_bytes\": 8388609 }", false),
        ("\"home_region\": \"dk-east\"", true),
        ("\"home_region\": \"dk east\"", false),
        ("\"home_region\": \"-dk\"", false),
        (
            "\"routes\": [{ \"path\": \"/a?b\", \"idempotent\": true }]",
            false,
        ),
    ] {
        let result = document_from_str(&document(field));
        assert_eq!(result.is_ok(), accepted, "{field}: {result:?}");
    }
}

#[test]
fn names_are_bounded() {
    let name = |length| format!("\"home_region\": \"{}\"", "a".repeat(length));
    assert!(document_from_str(&document(&name(63))).is_ok());
    assert!(document_from_str(&document(&name(64))).is_err());
    assert!(document_from_str(&document(&name(0))).is_err());
}

#[test]
fn fields_of_another_kind_are_refused() {
    insta::assert_snapshot!(faults(&document("\"weights\": {}")), @r#"line 4 column 1: `weights` has no meaning for `"kind": "plain"`; remove it"#);
}

#[test]
fn an_oversized_file_is_refused_before_parsing() {
    let text = document(&format!("// {}\n", "x".repeat(1_000_000)));
    assert!(document_from_str(&text).is_err_and(|error| error.is_syntax()));
}

fn accepted_or_has_faults(result: Result<(), Error>) -> bool {
    match result {
        Ok(()) => true,
        Err(error) => !error.faults().is_empty() && !error.to_string().is_empty(),
    }
}

proptest! {
    #[test]
    fn any_text_is_accepted_or_has_faults(text in "\\PC*") {
        prop_assert!(accepted_or_has_faults(document_from_str(&text).map(|_| ())));
        prop_assert!(accepted_or_has_faults(vm_from_str(&text).map(|_| ())));
    }

    #[test]
    fn any_truncated_or_changed_document_is_accepted_or_has_faults(
        at in 0_usize..400,
        length in 0_usize..20,
        instead in "[\\[\\]{}\",:0-9a-z/\\\\é -]{0,8}",
    ) {
        let mut text = document("\"routes\": [{ \"path\": \"/é\", \"idempotent\": true }], // end");
        let from = text.floor_char_boundary(at.min(text.len()));
        let to = text.floor_char_boundary((from + length).min(text.len()));
        text.replace_range(from..to, &instead);
        prop_assert!(accepted_or_has_faults(document_from_str(&text).map(|_| ())));
    }

    #[test]
    fn deep_nesting_is_refused(depth in 1_usize..5_000) {
        let text = "[".repeat(depth);
        prop_assert!(document_from_str(&text).is_err());
    }
}
