//! Tests that a malformed row is logged once for each revision.

use wisteriapoint_node::control::malformed::MalformedRows;
use wisteriapoint_store::{Index, Row};

fn row(key: &str, revision: u64) -> Row {
    Row {
        key: key.into(),
        value: Vec::new(),
        revision: Index(revision),
    }
}

#[test]
fn a_row_is_new_once_for_each_revision() {
    let rows = MalformedRows::new();
    assert!(rows.is_new(&row("a", 7)));
    assert!(rows.is_new(&row("b", 7)));
    assert!(!rows.is_new(&row("a", 7)));
    assert!(rows.is_new(&row("a", 8)));
    assert!(!rows.is_new(&row("a", 8)));
}
