//! Quarantine of requests that crash endpoints.

use wisteriapoint_directory::CrashSuspects;
use wisteriapoint_types::{Digest, EndpointName};

const MINUTE_MS: u64 = 60_000;

fn endpoint(number: u32) -> EndpointName {
    EndpointName::new(format!("shop-{number}"))
}

#[test]
fn a_request_that_crashed_two_endpoints_is_quarantined_for_a_minute() {
    let mut suspects = CrashSuspects::new();
    let (bad, good) = (Digest::new(&[b"bad"]), Digest::new(&[b"good"]));
    suspects.record_crash(0, bad, &endpoint(1));
    suspects.record_crash(0, good, &endpoint(1));
    suspects.record_crash(10, bad, &endpoint(1));
    assert!(
        !suspects.is_quarantined(10, bad),
        "a single endpoint may crash for another reason"
    );
    suspects.record_crash(20, bad, &endpoint(2));
    assert!(suspects.is_quarantined(20, bad));
    assert!(!suspects.is_quarantined(20, good));
    assert!(!suspects.is_quarantined(20 + MINUTE_MS, bad));
}

#[test]
fn a_response_clears_the_suspicion() {
    let mut suspects = CrashSuspects::new();
    let digest = Digest::new(&[b"x"]);
    suspects.record_crash(0, digest, &endpoint(1));
    suspects.clear(digest);
    suspects.record_crash(0, digest, &endpoint(2));
    assert!(!suspects.is_quarantined(0, digest));
}
