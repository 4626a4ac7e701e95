//! HTTP interfaces: one for callers and trainers, one for operators.

pub mod admin;
pub mod admission;
pub mod bounds;
pub mod completions;
mod events;
pub mod explain;
mod path;
pub mod plain;
pub mod respond;
pub mod steps;
pub mod weights;

use std::sync::Arc;
use std::time::Duration;

use salvo::conn::tcp::TcpAcceptor;
use salvo::server::ServerHandle;
use salvo::{Request, Router};
use tokio::net::TcpListener;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use self::bounds::Bounds;
use crate::Error;
use crate::daemon::Shared;

pub use wisteriapoint_gateway::client::DEADLINE_HEADER;

/// Maximum size of a request body on the service address, in bytes.
///
/// Requests to plain services have the limit in their service document instead.
pub const MAX_BODY_BYTES: usize = 8 << 20;

/// An HTTP server that runs on the traffic threads.
#[derive(Debug)]
pub struct HttpServer {
    handle: ServerHandle,
    ended: JoinHandle<()>,
}

impl HttpServer {
    /// Starts serving a router on a listener.
    ///
    /// # Errors
    ///
    /// Fails if the listener can't be used.
    pub fn new(
        runtime: &Runtime,
        listener: TcpListener,
        router: Router,
        bounds: Bounds,
    ) -> Result<Self, Error> {
        let _guard = runtime.enter();
        let acceptor = TcpAcceptor::try_from(listener)?;
        let server = bounds.build_server(acceptor);
        let handle = server.handle();
        let ended = runtime.spawn(server.serve(bounds::with_problem_catcher(router)));
        Ok(Self { handle, ended })
    }

    /// Closes the listener and idle connections, and waits until all responses are sent.
    pub async fn stop(&mut self) {
        self.handle.stop_graceful(None);
        // An error means that the server panicked; then no responses are left to send.
        let _ = (&mut self.ended).await;
    }
}

/// Returns the router of the interface for callers and trainers.
pub fn service_router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .hoop(admission::Admission::new(Arc::clone(shared)))
        .hoop(bounds::CheckHeaders)
        .push(
            Router::with_path("v1/completions")
                .post(completions::Completions::new(Arc::clone(shared))),
        )
        .push(
            Router::with_path("v1/services/{service}/{**path}")
                .goal(plain::Plain::new(Arc::clone(shared))),
        )
        .push(
            Router::with_path("v1/steps/{trainer}/{step}")
                .put(steps::Put::new(Arc::clone(shared)))
                .push(Router::with_path("pull").post(steps::Pull::new(Arc::clone(shared)))),
        )
        .push(
            Router::with_path("v1/weights/{service}")
                .put(weights::Publish::new(Arc::clone(shared))),
        )
}

/// Returns the router of the interface for operators.
pub fn admin_router(shared: &Arc<Shared>) -> Router {
    Router::new()
        .push(Router::with_path("metrics").get(admin::MetricsPage::new(Arc::clone(shared))))
        .push(Router::with_path("health").get(admin::Health))
        .push(Router::with_path("ready").get(admin::Ready::new(Arc::clone(shared))))
        .push(Router::with_path("status").get(admin::StatusPage::new(Arc::clone(shared))))
        .push(Router::with_path("explain/{service}").get(explain::Explain::new(Arc::clone(shared))))
        .push(Router::with_path("drain").post(admin::Drain::new(Arc::clone(shared))))
}

/// Returns the time that a request may take: its own deadline or else the default, at most
/// [`bounds::MAX_DEADLINE_MS`].
pub(crate) fn request_timeout(request: &Request, default_ms: u64) -> Duration {
    let requested_ms = request
        .headers()
        .get(DEADLINE_HEADER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    Duration::from_millis(
        requested_ms
            .unwrap_or(default_ms)
            .min(bounds::MAX_DEADLINE_MS),
    )
}
