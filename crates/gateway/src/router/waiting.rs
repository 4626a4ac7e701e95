//! A place in the queue.

use tokio::sync::oneshot;
use wisteriapoint_route::{EndpointKey, Outcome, Refusal, TicketKey};

use super::Router;

/// A place in the queue; dropping it gives back whatever it was called for.
pub(super) struct Waiting<'a> {
    pub(super) router: &'a Router,
    pub(super) ticket: TicketKey,
    pub(super) called: oneshot::Receiver<Result<EndpointKey, Refusal>>,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        let mut inner = self.router.lock();
        inner.waiting.remove(&self.ticket);
        inner.pool.cancel_waiting(self.ticket);
        drop(inner);
        if let Ok(Ok(_)) = self.called.try_recv() {
            self.router.finish(self.ticket, Outcome::Cancelled);
        }
    }
}
