//! The graceful stop of a node.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::dialect::Dialect;
use crate::node::{Node, Stage};
use crate::{control, event, jobs};

/// Time for which a stopping node keeps idle connections open: the balancer probes once a second and
/// removes a node after two failed probes.
const BALANCER_LAG: Duration = Duration::from_millis(2_300);
/// Part of the grace period that is reserved for the exit of the process.
const STOP_MARGIN: Duration = Duration::from_millis(1_300);
/// Time for the answers of a stopping node that accepts no more connections to reach their callers.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(150);
/// Interval at which a stopping node checks whether all connections have ended.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Progress of the stop of a node.
#[derive(Debug)]
pub struct Shutdown {
    begun: watch::Sender<bool>,
    /// Becomes `true` when callers' connections are to close, after the balancer has stopped sending
    /// requests.
    closing: watch::Sender<bool>,
    /// Becomes `true` when the node accepts no more connections, and answers at once what it has read.
    exiting: watch::Sender<bool>,
    /// Time of the node's clock at which it exits, in milliseconds; `None` before a stop.
    exit_at_ms: Cell<Option<u64>>,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self {
            begun: watch::channel(false).0,
            closing: watch::channel(false).0,
            exiting: watch::channel(false).0,
            exit_at_ms: Cell::new(None),
        }
    }
}

impl Shutdown {
    /// Creates the state of a node that does not stop.
    pub fn new() -> Self {
        Self::default()
    }

    /// Waits until the node begins to stop.
    pub async fn begun(&self) {
        wait_for(&self.begun).await;
    }

    /// Waits until the node answers at once what it has read, as it exits.
    pub async fn exiting(&self) {
        wait_for(&self.exiting).await;
    }

    /// Returns a receiver of whether callers' connections are to close.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.subscribe()
    }

    /// Returns the time until the node exits, in milliseconds; `None` unless it is stopping.
    pub fn left_ms(&self, now_ms: u64) -> Option<u64> {
        let exit_at_ms = self.exit_at_ms.get()?;
        Some(exit_at_ms.saturating_sub(now_ms))
    }
}

async fn wait_for(phase: &watch::Sender<bool>) {
    let mut phase = phase.subscribe();
    // Fails only without a sender, which lives as long as the node.
    let _is_reached = phase.wait_for(|&is_reached| is_reached).await.is_ok();
}

impl<D: Dialect> Node<D> {
    /// Stops the node gracefully.
    ///
    /// Reports that it is not ready and waits until the balancer sends no more requests, then hands
    /// batch jobs over to other nodes, closes each connection after its request, and releases the
    /// lease. Requests that can't end before the exit are refused from the beginning, and the last ones
    /// are answered before the connections close.
    pub async fn stop(self: &Rc<Self>) {
        event!(
            info,
            "stop",
            reason = "SIGTERM",
            in_progress = self.in_progress.get()
        );
        let grace = Duration::from_secs(self.settings.bounds.grace_s);
        let exit_at_ms = self.now_ms() + grace.saturating_sub(STOP_MARGIN).as_millis() as u64;
        self.shutdown.exit_at_ms.set(Some(exit_at_ms));
        self.stage.set(Stage::Stopping);
        self.shutdown.begun.send_replace(true);
        self.metrics.set_state("ready", 0);
        sleep(BALANCER_LAG).await;
        jobs::hand_over(self).await;
        self.shutdown.closing.send_replace(true);
        // An idle connection closes at once; one with a request in progress, after the response.
        self.wait_for_connections(self.clock.instant_at(exit_at_ms))
            .await;
        let aborted_requests = self.in_progress.get();
        self.shutdown.exit_at_ms.set(Some(self.now_ms()));
        self.shutdown.exiting.send_replace(true);
        self.wait_for_connections(Instant::now() + LAST_ANSWERS_TIME)
            .await;
        control::release_lease(self).await;
        event!(
            info,
            "stopped",
            aborted_requests = aborted_requests,
            open_connections = self.connections.get()
        );
    }

    /// Waits until callers have no open connections, or until the given time.
    async fn wait_for_connections(&self, end: Instant) {
        while self.connections.get() > 0 && Instant::now() < end {
            sleep(STOP_POLL_INTERVAL).await;
        }
    }
}
