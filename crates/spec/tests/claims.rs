//! Exploration of the specification, whole and with each rule left out.

use std::fmt::Write;
use std::time::Instant;

use wisteriapoint_spec::{Bounds, Rule, explore};

fn holds(name: &str, bounds: Bounds) {
    let begun = Instant::now();
    let explored = explore(bounds, None);
    let time_ms = begun.elapsed().as_millis();
    let (states, depth) = (explored.states, explored.depth);
    println!("{name}: {states} states, depth {depth}, {time_ms} ms");
    assert!(explored.violation.is_none(), "{:#?}", explored.violation);
}

#[test]
fn one_view_holds() {
    holds("one view", Bounds::ONE_VIEW);
}

#[test]
fn view_change_holds() {
    holds("view change", Bounds::VIEW_CHANGE);
}

#[test]
fn retry_after_view_change_holds() {
    holds("retry after a view change", Bounds::RETRY);
}

#[test]
fn loss_of_a_majority_holds() {
    holds("loss of a majority", Bounds::MAJORITY_LOSS);
}

#[test]
fn fast_view_changes_hold() {
    holds("fast view changes", Bounds::FAST_VIEW_CHANGES);
}

/// Takes minutes; run it with `--ignored`.
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
    holds("retry with a crash", crash);
    holds("retry with a lost answer", losses);
}

#[test]
fn each_rule_is_needed() {
    let two_views_in_time = Bounds {
        ticks: 1,
        ..Bounds::FAST_VIEW_CHANGES
    };
    let cases = [
        (Rule::Seal, Bounds::RETRY),
        (Rule::Majority, Bounds::ONE_VIEW),
        (Rule::Transfer, Bounds::RETRY),
        (Rule::OpenedSource, Bounds::FAST_VIEW_CHANGES),
        (Rule::RetainEarlierViews, two_views_in_time),
        (Rule::ConfirmedTermination, Bounds::MAJORITY_LOSS),
        (Rule::AmbiguousAfterLoss, Bounds::MAJORITY_LOSS),
        (Rule::ClockSkew, Bounds::MAJORITY_LOSS),
        (Rule::ReleaseByClaimant, Bounds::RETRY),
        (Rule::MayHaveRun, Bounds::ONE_VIEW),
        (Rule::NotRunIsFinal, Bounds::ONE_VIEW),
    ];
    let mut missed = Vec::new();
    for (rule, bounds) in cases {
        let explored = explore(bounds, Some(rule));
        let Some(violation) = explored.violation else {
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
