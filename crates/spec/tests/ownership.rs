//! Exploration of batch jobs whose owners change, whole and with each rule left out.

use wisteriapoint_spec::ownership::{Rule, explore};

#[test]
fn ownership_holds() {
    let explored = explore(None);
    println!("{} states", explored.states);
    assert!(explored.states > 10_000, "only {} states", explored.states);
    assert_eq!(explored.violation, None);
}

#[test]
fn each_rule_of_ownership_is_needed() {
    let fault = |omission| explore(Some(omission)).violation;
    assert!(fault(Rule::ConditionalCommit).is_some());
    assert!(fault(Rule::UnchangedRetry).is_some());
    assert!(fault(Rule::ResumeFromResults).is_some());
    assert_eq!(
        fault(Rule::Fence),
        Some("an older keeper's order followed a newer's")
    );
}
