//! Accounting for failed attempts at an endpoint.

use wisteriapoint_gateway::{Failure, Permit};
use wisteriapoint_types::ServiceName;

use super::Shared;

/// Ends the permit of a failed attempt with the outcome that the failure implies for the endpoint.
pub fn end_failed(permit: Permit, failure: &Failure) {
    match failure {
        failure if failure.is_draining() => permit.refused_while_draining(),
        failure if failure.is_refusal() => permit.refused(),
        failure if failure.is_timeout() => drop(permit),
        failure if failure.is_invalid_response() => permit.crashed(),
        _ => permit.failed(),
    }
}

/// Adds a failed attempt to the metrics, by verdict and kind of failure.
pub fn count_failed(shared: &Shared, service: &ServiceName, failure: &Failure) {
    let verdict = failure.verdict().as_str();
    let failed = &shared.metrics.failed_attempts;
    failed
        .with_label_values(&[service.as_str(), verdict, failure.kind()])
        .inc();
}
