//! Checks the cost of shedding against simple orders under each load.

use wisteriapoint_experiment::report::Spread;
use wisteriapoint_experiment::shedding::{Load, Variant, run_variant};

const SEEDS: u64 = 3;

fn cost(load: Load, variant: Variant) -> f64 {
    let runs = (1..=SEEDS).map(|seed| run_variant(load, variant, seed));
    let costs: Vec<f64> = runs.map(|run| run.figures["cost"]).collect();
    Spread::of(&costs).median
}

fn assert_costs_no_more_than_simple_orders(load: Load) {
    let current = cost(load, Variant::Current);
    for simple in Variant::ALL {
        let simple_cost = cost(load, simple);
        assert!(
            current <= simple_cost,
            "{}: {current} against {simple_cost} of {}",
            load.as_str(),
            simple.as_str()
        );
    }
}

/// Guards against a decision that is worse than an order which is easier to understand.
#[test]
fn a_burst_of_one_class_costs_no_more_than_with_simple_orders() {
    assert_costs_no_more_than_simple_orders(Load::Burst);
}

/// Guards against a greedy workspace whose load is paid by the others.
#[test]
fn of_one_greedy_workspace_of_77_the_others_notice_nothing() {
    assert_costs_no_more_than_simple_orders(Load::Greedy);
    let run = run_variant(Load::Greedy, Variant::Current, 1);
    assert_eq!(run.figures["lost_of_others"], 0.0);
}

/// Guards against long requests that hold slots for which short ones wait.
#[test]
fn long_requests_before_short_ones_cost_no_more_than_with_simple_orders() {
    assert_costs_no_more_than_simple_orders(Load::LongFirst);
}

/// Guards against a queue that stays too long after lost endpoints have returned.
#[test]
fn half_of_the_endpoints_gone_for_5_s_cost_no_more_than_with_simple_orders() {
    assert_costs_no_more_than_simple_orders(Load::HalfGone);
}

/// Guards against steps whose groups all start and few complete.
#[test]
fn steps_due_in_2_s_beside_callers_cost_no_more_than_with_simple_orders() {
    assert_costs_no_more_than_simple_orders(Load::Step);
}

/// Guards against trust in estimates.
#[test]
fn hints_wrong_by_10_cost_no_more_than_with_simple_orders() {
    assert_costs_no_more_than_simple_orders(Load::WrongHints);
}

/// Guards against refused callers that are refused again and again.
#[test]
fn callers_that_all_come_back_at_once_cost_no_more_than_with_simple_orders() {
    assert_costs_no_more_than_simple_orders(Load::Return);
}
