//! Exploration of batch jobs whose owners change, whole and with each rule left out.

use wisteriapoint_spec::ownership::{Omission, explore};

#[test]
fn ownership_holds() {
    let explored = explore(None);
    println!("{} states", explored.states);
    assert!(explored.states > 10_000, "only {} states", explored.states);
    assert_eq!(explored.fault, None);
}

#[test]
fn each_rule_of_ownership_is_needed() {
    let fault = |omission| explore(Some(omission)).fault;
    assert!(fault(Omission::Condition).is_some());
    assert!(fault(Omission::LookUp).is_some());
    assert!(fault(Omission::Results).is_some());
    assert_eq!(
        fault(Omission::Fence),
        Some("an older keeper's order followed a newer's")
    );
}
