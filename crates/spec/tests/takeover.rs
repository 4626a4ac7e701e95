//! Explores who may take a batch job, with all rules and with each rule disabled.

use wisteriapoint_spec::takeover::{Rule, explore};

#[test]
fn a_definite_owner_owns_the_batch_job() {
    let exploration = explore(None);
    println!("{} states", exploration.states);
    assert!(
        exploration.states > 10_000,
        "only {} states",
        exploration.states
    );
    assert_eq!(exploration.violation, None);
}

/// Guards against a model that overlooks the absence of a rule.
#[test]
fn each_rule_of_takeovers_is_needed() {
    let rules = [
        Rule::MemberRow,
        Rule::OwnerOfReason,
        Rule::VerifyAfterReturn,
        Rule::VerifyBeforeInsert,
        Rule::CloseBeforeHandOver,
    ];
    for rule in rules {
        let violation = explore(Some(rule)).violation;
        assert_eq!(
            violation,
            Some("a definite owner does not own the batch job"),
            "without {rule:?}"
        );
    }
}
