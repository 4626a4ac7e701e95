//! Tests of the time that a request is expected to last.

use wisteriapoint_route::Durations;

/// Limit of all requests, in milliseconds.
const LIMIT_MS: u64 = 10_000;

#[test]
fn a_request_of_a_route_without_recent_ones_may_last_until_its_limit() {
    let mut durations = Durations::new();
    assert_eq!(durations.expected_ms(0, "page", LIMIT_MS), LIMIT_MS);
    durations.record(0, "page", 20);
    assert_eq!(durations.expected_ms(0, "advice", LIMIT_MS), LIMIT_MS);
    assert_eq!(durations.expected_ms(200_000, "page", LIMIT_MS), LIMIT_MS);
}

#[test]
fn a_request_is_expected_to_last_a_little_longer_than_the_longest_recent_one() {
    let mut durations = Durations::new();
    for duration_ms in [400, 4_000, 40] {
        durations.record(30_000, "advice", duration_ms);
    }
    for now_ms in [30_000, 61_000, 119_000] {
        assert_eq!(durations.expected_ms(now_ms, "advice", LIMIT_MS), 5_000);
    }
    durations.record(119_000, "advice", 80);
    assert_eq!(durations.expected_ms(121_000, "advice", LIMIT_MS), 100);
}

#[test]
fn a_request_is_never_expected_to_last_longer_than_its_limit() {
    let mut durations = Durations::new();
    durations.record(0, "advice", 9_000);
    assert_eq!(durations.expected_ms(0, "advice", LIMIT_MS), LIMIT_MS);
    assert_eq!(durations.expected_ms(0, "advice", 800), 800);
}
