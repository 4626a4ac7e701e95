//! The end of an attempt that failed.

use wisteriapoint_gateway::{Failure, Permit};
use wisteriapoint_types::ServiceName;

use super::Shared;

/// Ends a permit after a failure of its endpoint.
pub fn end_failed(permit: Permit, failure: &Failure) {
    match failure {
        failure if failure.is_draining() => permit.refused_while_draining(),
        failure if failure.is_refusal() => permit.refused(),
        failure if failure.is_timeout() => drop(permit),
        failure if failure.is_invalid_response() => permit.crashed(),
        _ => permit.failed(),
    }
}

/// Counts an attempt that failed.
pub fn count_failed(shared: &Shared, service: &ServiceName, failure: &Failure) {
    let verdict = failure.verdict().as_str();
    let failed = &shared.metrics.failed_attempts;
    failed
        .with_label_values(&[service.as_str(), verdict, failure.kind()])
        .inc();
}
