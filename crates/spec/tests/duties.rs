//! Explores the singleton duties with all rules, and with each rule disabled.

use std::time::Instant;

use wisteriapoint_spec::duties::{Bounds, Fault, Rule, explore};

fn assert_holds(name: &str, bounds: Bounds) {
    let started = Instant::now();
    let exploration = explore(bounds, None);
    let (states, elapsed_ms) = (exploration.states, started.elapsed().as_millis());
    let is_fence_checked = bounds.is_fence_checked;
    println!("{name}, fences checked {is_fence_checked}: {states} states, {elapsed_ms} ms");
    let violation = exploration.violation;
    assert!(violation.is_none(), "{violation:#?}");
    assert!(states > 10_000, "only {states} states");
}

fn assert_holds_with_and_without_checks(name: &str, bounds: Bounds) {
    for is_fence_checked in [false, true] {
        let bounds = Bounds {
            is_fence_checked,
            ..bounds
        };
        assert_holds(name, bounds);
    }
}

/// Guards against a window that is reported with other counts, by two holders with the same fencing
/// token, or not at all, whatever the timing.
#[test]
fn content_holds() {
    // Fence checks refuse calls and add none; two windows with them are among the wider bounds.
    assert_holds_with_and_without_checks("one window", Bounds::CONTENT);
    assert_holds("two windows", Bounds::TWO_WINDOWS);
}

/// Guards against calls with a lower fencing token after those with a higher one, and against holders
/// that act in the order A, B, A within a lease.
#[test]
fn order_holds() {
    assert_holds_with_and_without_checks("order", Bounds::ORDER);
}

#[test]
#[ignore = "takes a minute"]
fn wider_bounds_hold() {
    let kill = Bounds {
        kills: 1,
        ..Bounds::ORDER
    };
    let windows = Bounds {
        decided: 0,
        ..Bounds::TWO_WINDOWS
    };
    assert_holds_with_and_without_checks("order with a kill", kill);
    assert_holds_with_and_without_checks("two undecided windows", windows);
}

/// Guards against a model that overlooks the absence of a rule.
#[test]
fn each_rule_of_the_duties_is_needed() {
    let cases = [
        (Rule::WaitAfterClaim, Bounds::ORDER, Fault::LowerFence),
        (
            Rule::StoreBeforeSend,
            Bounds::CONTENT,
            Fault::DifferentReports,
        ),
        (
            Rule::ConditionalWrite,
            Bounds::CONTENT,
            Fault::ChangedCounts,
        ),
        (Rule::FenceFromRow, Bounds::CONTENT, Fault::SharedFence),
        (Rule::LeaseCheck, Bounds::ORDER, Fault::LowerFence),
        (Rule::LeaseOfClaim, Bounds::ORDER, Fault::LowerFence),
        (
            Rule::ReadAfterAmbiguity,
            Bounds::CONTENT,
            Fault::ChangedCounts,
        ),
        (Rule::ResetAfterCall, Bounds::ORDER, Fault::LowerFence),
    ];
    for (rule, bounds, fault) in cases {
        let violation = explore(bounds, Some(rule)).violation;
        let found = violation.as_ref().map(|violation| violation.fault);
        assert_eq!(found, Some(fault), "without {rule:?}: {violation:?}");
    }
}

/// Guards against alternation that only the wait prevents where the platform checks fences.
#[test]
fn checked_fences_do_not_replace_the_wait() {
    let bounds = Bounds {
        is_fence_checked: true,
        ..Bounds::ORDER
    };
    let violation = explore(bounds, Some(Rule::WaitAfterClaim)).violation;
    let found = violation.map(|violation| violation.fault);
    assert_eq!(found, Some(Fault::Alternation));
}

/// Shows the limit of the wait: without fence checks, it covers only calls that are executed within
/// the time of a lease.
#[test]
fn a_call_executed_after_the_wait_is_not_covered() {
    let bounds = Bounds {
        call_delay: Bounds::ORDER.call_delay + 1,
        ..Bounds::ORDER
    };
    let violation = explore(bounds, None).violation;
    let found = violation.map(|violation| violation.fault);
    assert_eq!(found, Some(Fault::LowerFence));
}
