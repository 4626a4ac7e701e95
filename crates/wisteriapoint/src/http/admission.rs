//! Middleware that every request to the service address passes before its handler.

use std::sync::Arc;

use salvo::{Depot, FlowCtrl, Request, Response, handler};
use wisteriapoint_gateway::Problem;

use super::respond::{self, RefusalLabels};
use crate::daemon::Shared;

const STOPPING_RETRY_AFTER_MS: u64 = 1_000;

/// Counts requests in progress and refusals, and refuses requests late in a drain.
///
/// A drain first accepts requests and only closes their connections; it refuses requests once
/// `Shared::is_refusing` returns `true`.
#[derive(Debug)]
pub struct Admission {
    shared: Arc<Shared>,
}

#[handler]
impl Admission {
    /// Creates the handler.
    pub fn new(shared: Arc<Shared>) -> Self {
        Self { shared }
    }

    async fn handle(
        &self,
        request: &mut Request,
        depot: &mut Depot,
        response: &mut Response,
        flow: &mut FlowCtrl,
    ) {
        let _in_flight = self.shared.track_in_flight();
        match self.shared.is_refusing() {
            true => {
                flow.skip_rest();
                respond::problem(response, &stopping_problem());
            }
            false => {
                flow.call_next(request, depot, response).await;
            }
        }
        if let Some(RefusalLabels { kind, verdict }) = response.extensions.get() {
            let refusals = &self.shared.metrics.refusals;
            refusals.with_label_values(&[kind, verdict.as_str()]).inc();
        }
        if self.shared.is_draining() {
            respond::set_header(response, "connection", "close");
        }
    }
}

fn stopping_problem() -> Problem {
    Problem::not_run(503, "stopping", "this daemon is stopping; ask another")
        .with_retry_after_ms(STOPPING_RETRY_AFTER_MS)
}
