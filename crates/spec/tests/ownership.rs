//! Explores changes of batch job ownership with all rules, and with each rule disabled.

use wisteriapoint_spec::ownership::{Rule, explore};

#[test]
fn ownership_holds() {
    let exploration = explore(None);
    println!("{} states", exploration.states);
    assert!(
        exploration.states > 10_000,
        "only {} states",
        exploration.states
    );
    assert_eq!(exploration.violation, None);
}

#[test]
fn each_rule_of_ownership_is_needed() {
    let violation = |rule| explore(Some(rule)).violation;
    assert!(violation(Rule::ConditionalCommit).is_some());
    assert!(violation(Rule::UnchangedRetry).is_some());
    assert!(violation(Rule::ResumeFromResults).is_some());
    assert_eq!(
        violation(Rule::Fence),
        Some("an order of an older leader was accepted after one of a newer leader")
    );
}
