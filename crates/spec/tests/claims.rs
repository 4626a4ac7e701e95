//! Explores the claim protocol with all rules, and with each rule disabled.

use std::fmt::Write;
use std::time::Instant;

use wisteriapoint_spec::{Bounds, Rule, explore};

fn assert_holds(name: &str, bounds: Bounds) {
    let started = Instant::now();
    let exploration = explore(bounds, None);
    let elapsed_ms = started.elapsed().as_millis();
    let (states, depth) = (exploration.states, exploration.depth);
    println!("{name}: {states} states, depth {depth}, {elapsed_ms} ms");
    assert!(
        exploration.violation.is_none(),
        "{:#?}",
        exploration.violation
    );
}

#[test]
fn one_view_holds() {
    assert_holds("one view", Bounds::ONE_VIEW);
}

#[test]
fn view_change_holds() {
    assert_holds("view change", Bounds::VIEW_CHANGE);
}

#[test]
fn retry_after_view_change_holds() {
    assert_holds("retry after a view change", Bounds::RETRY);
}

#[test]
fn loss_of_a_majority_holds() {
    assert_holds("loss of a majority", Bounds::MAJORITY_LOSS);
}

#[test]
fn fast_view_changes_hold() {
    assert_holds("fast view changes", Bounds::FAST_VIEW_CHANGES);
}

#[test]
#[ignore = "takes minutes"]
fn wider_bounds_hold() {
    let crash = Bounds {
        crashes: 1,
        ..Bounds::RETRY
    };
    let losses = Bounds {
        lost_responses: 1,
        ..Bounds::RETRY
    };
    assert_holds("retry with a crash", crash);
    assert_holds("retry with a lost answer", losses);
}

#[test]
fn each_rule_is_needed() {
    let view_changes_and_tick = Bounds {
        ticks: 1,
        ..Bounds::FAST_VIEW_CHANGES
    };
    let cases = [
        (Rule::Seal, Bounds::RETRY),
        (Rule::Majority, Bounds::ONE_VIEW),
        (Rule::Transfer, Bounds::RETRY),
        (Rule::OpenedSource, Bounds::FAST_VIEW_CHANGES),
        (Rule::RetainEarlierViews, view_changes_and_tick),
        (Rule::ConfirmedTermination, Bounds::MAJORITY_LOSS),
        (Rule::AmbiguousAfterLoss, Bounds::MAJORITY_LOSS),
        (Rule::ClockSkew, Bounds::MAJORITY_LOSS),
        (Rule::ReleaseByClaimant, Bounds::RETRY),
        (Rule::MayHaveRun, Bounds::ONE_VIEW),
        (Rule::NotRunIsFinal, Bounds::ONE_VIEW),
    ];
    let mut missed = Vec::new();
    for (rule, bounds) in cases {
        let exploration = explore(bounds, Some(rule));
        let Some(violation) = exploration.violation else {
            missed.push(rule);
            continue;
        };
        let mut text = format!("without {rule:?}: {}\n", violation.description);
        for step in violation.steps {
            writeln!(text, "  {step}").unwrap();
        }
        insta::assert_snapshot!(format!("without_{rule:?}"), text);
    }
    assert!(missed.is_empty(), "not caught: {missed:?}");
}
