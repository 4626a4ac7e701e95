//! The work of the node that holds the duties.

use std::rc::Rc;
use std::time::Duration;

use crate::Environment;
use crate::scale_duty::scale_endpoints;
use crate::usage_duty::report_usage;

/// Does all duties under a fencing token, until the caller drops the task as the node no longer holds
/// them.
///
/// No call is made before `delay` has passed: a former holder may still act for the time of a lease.
pub async fn hold<E: Environment>(env: Rc<E>, fence: u64, delay: Duration) {
    if env.duty_settings().is_none() {
        return std::future::pending().await;
    }
    tokio::join!(
        report_usage(&env, fence, delay),
        scale_endpoints(&env, fence, delay)
    );
}
