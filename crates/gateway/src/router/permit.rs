//! The right to dispatch.

use tokio::sync::oneshot;
use tokio::time::Instant;
use wisteriapoint_route::{Dispatch, EndpointKey, Outcome};

use super::{Router, Target};

/// The right to send one request to one endpoint.
#[derive(Debug)]
pub struct Permit {
    pub(super) router: Router,
    pub(super) dispatch: Dispatch,
    pub(super) preempted: oneshot::Receiver<()>,
    pub(super) target: Target,
    pub(super) outcome: Outcome,
    pub(super) started_at: Instant,
}

impl Permit {
    /// The endpoint's key, for [`Demand::tried`].
    pub fn endpoint_key(&self) -> EndpointKey {
        self.dispatch.endpoint
    }

    /// Completes when the request shall make way for a caller's.
    pub async fn preempted(&mut self) {
        if (&mut self.preempted).await.is_err() {
            std::future::pending().await
        }
    }

    /// Where to send the request.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Ends the request with a whole answer.
    pub fn answered(mut self, tokens: u32) {
        let elapsed_ms = self.started_at.elapsed().as_millis() as u64;
        self.outcome = Outcome::Answered { elapsed_ms, tokens };
    }

    /// Ends the request with a failure of the endpoint.
    pub fn failed(mut self) {
        self.outcome = Outcome::Failed;
    }

    /// Ends the request, in which the endpoint broke off.
    pub fn crashed(mut self) {
        self.outcome = Outcome::Crashed;
    }

    /// Ends the request, which the endpoint refused because it takes no new work.
    pub fn refused_while_draining(self) {
        let (router, endpoint) = (self.router.clone(), self.target.endpoint.clone());
        self.refused();
        router.set_draining(&endpoint, true);
    }

    /// Ends the request, which the endpoint refused to run.
    pub fn refused(mut self) {
        self.outcome = Outcome::Refused;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.router.finish(self.dispatch.ticket, self.outcome);
    }
}
