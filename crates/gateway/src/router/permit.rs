//! Permission to send a request to an endpoint.

use tokio::sync::oneshot;
use tokio::time::Instant;
use wisteriapoint_route::{Dispatch, EndpointKey, Outcome};

use super::{Router, Target};

/// Permission to send one request to one endpoint.
///
/// It occupies one of the endpoint's slots. Dropping it without an outcome cancels the request.
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
    /// Returns the key of the endpoint, for
    /// [`Demand::avoided_endpoints`](wisteriapoint_route::Demand::avoided_endpoints).
    pub fn endpoint_key(&self) -> EndpointKey {
        self.dispatch.endpoint
    }

    /// Completes when the request has to be aborted in favour of a caller's request.
    pub async fn preempted(&mut self) {
        if (&mut self.preempted).await.is_err() {
            std::future::pending().await
        }
    }

    /// Returns the endpoint to which the request is sent.
    pub fn target(&self) -> &Target {
        &self.target
    }

    /// Ends the request after a complete response; `tokens` is 1 for a plain request.
    pub fn completed(mut self, tokens: u32) {
        let elapsed_ms = self.started_at.elapsed().as_millis() as u64;
        self.outcome = Outcome::Completed { elapsed_ms, tokens };
    }

    /// Ends the request after a failure of the endpoint that is not a possible crash.
    pub fn failed(mut self) {
        self.outcome = Outcome::Failed;
    }

    /// Ends the request after a possible crash of the endpoint that ran it.
    pub fn crashed(mut self) {
        self.outcome = Outcome::Crashed;
    }

    /// Ends the request after the endpoint refused it because it is draining.
    ///
    /// The endpoint gets no new requests until it reports that it accepts them again.
    pub fn refused_while_draining(self) {
        let (router, endpoint) = (self.router.clone(), self.target.endpoint.clone());
        self.refused();
        router.set_draining(&endpoint, true);
    }

    /// Ends the request after the endpoint refused it.
    pub fn refused(mut self) {
        self.outcome = Outcome::Refused;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.router.finish(self.dispatch.ticket, self.outcome);
    }
}
