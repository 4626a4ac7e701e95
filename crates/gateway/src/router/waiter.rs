//! Requests that wait for an endpoint.

use tokio::sync::oneshot;
use wisteriapoint_route::{EndpointKey, Outcome, Refusal, TicketKey};

use super::Router;

/// A queued request.
///
/// Dropping it removes the request from the queue and cancels its dispatch if it was just
/// dispatched.
pub(super) struct Waiter<'a> {
    pub(super) router: &'a Router,
    pub(super) ticket: TicketKey,
    pub(super) result: oneshot::Receiver<Result<EndpointKey, Refusal>>,
}

impl Drop for Waiter<'_> {
    fn drop(&mut self) {
        let mut inner = self.router.lock();
        inner.waiters.remove(&self.ticket);
        inner.pool.cancel_waiting(self.ticket);
        drop(inner);
        if let Ok(Ok(_)) = self.result.try_recv() {
            self.router.finish(self.ticket, Outcome::Cancelled);
        }
    }
}
