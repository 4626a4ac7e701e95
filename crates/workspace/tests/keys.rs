//! Keys of workspaces: who is admitted, and what is written of a key.

use wisteriapoint_workspace::{
    Credential, Knowledge, MAX_KEY_BYTES, Rejection, Workspace, Workspaces,
};

fn workspaces() -> Workspaces {
    Workspaces::new([
        (
            Workspace::new("forms", Some(1)),
            vec!["secret-a", "secret-b"],
        ),
        (Workspace::new("maps", None), vec!["secret-c"]),
        (Workspace::new("empty", None), vec![""]),
    ])
}

/// Guards against a key that is taken for that of another workspace.
#[test]
fn each_key_belongs_to_its_workspace() {
    let table = workspaces();
    for (key, name) in [
        ("secret-a", "forms"),
        ("secret-b", "forms"),
        ("secret-c", "maps"),
    ] {
        let credential = Credential::from_key(key);
        for is_anonymous in [false, true] {
            let found = table.authenticate(&credential, is_anonymous).unwrap();
            assert_eq!(found.unwrap().name(), name);
        }
    }
    assert_eq!(table.get("forms").unwrap().priority(), Some(1));
}

/// Guards against requests that are admitted without a valid key, and against an anonymous route that
/// accepts an invalid one.
#[test]
fn requests_without_a_valid_key_are_rejected() {
    let table = workspaces();
    let long = "x".repeat(MAX_KEY_BYTES + 1);
    let cases = [
        (Credential::Absent, Err(Rejection::NoKey), Ok(None)),
        (
            Credential::from_key(""),
            Err(Rejection::MalformedKey),
            Err(Rejection::MalformedKey),
        ),
        (
            Credential::from_key(&long),
            Err(Rejection::MalformedKey),
            Err(Rejection::MalformedKey),
        ),
        (
            Credential::from_key("secret-"),
            Err(Rejection::UnknownKey),
            Err(Rejection::UnknownKey),
        ),
        (
            Credential::from_key("SECRET-A"),
            Err(Rejection::UnknownKey),
            Err(Rejection::UnknownKey),
        ),
    ];
    for (credential, keyed, anonymous) in cases {
        assert_eq!(
            table.authenticate(&credential, false),
            keyed,
            "{credential:?}"
        );
        assert_eq!(
            table.authenticate(&credential, true),
            anonymous,
            "{credential:?}"
        );
    }
    assert!(
        Workspaces::default()
            .authenticate(&Credential::Absent, false)
            .is_err()
    );
}

/// Guards against a key, or a digest of one, in debug output.
#[test]
fn debug_output_has_no_key() {
    let table = workspaces();
    let credential = Credential::from_key("secret-a");
    let text = format!(
        "{table:?} {credential:?} {:?}",
        table.authenticate(&credential, false)
    );
    assert!(!text.contains("secret"), "{text}");
    let digits = text.split(|c: char| !c.is_ascii_digit());
    let longest = digits.map(str::len).max();
    assert!(longest < Some(4), "part of a digest: {text}");
}

/// Guards against keys that are accepted on knowledge that is too old, also after a time in which the
/// VM was suspended, and against an old answer that makes knowledge older.
#[test]
fn knowledge_ages_from_its_last_confirmation() {
    let knowledge = Knowledge::new();
    assert_eq!(knowledge.left_ms(10_000, 5_000), 0);
    knowledge.confirm(10_000);
    assert_eq!(knowledge.left_ms(10_000, 5_000), 4_750);
    knowledge.confirm(9_000);
    assert_eq!(knowledge.left_ms(12_000, 5_000), 2_750);
    assert_eq!(knowledge.left_ms(14_750, 5_000), 0);
    assert_eq!(knowledge.left_ms(60_000, 5_000), 0);
    assert_eq!(knowledge.age_ms(60_000), Some(50_000));
}
