//! HTTP clients for endpoints.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use reqwest::redirect::Policy;
use reqwest::{Client, ClientBuilder};

use crate::failure::Kind;
use crate::{Failure, Target};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Header with the request id, which an endpoint echoes in its response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header with the time that remains until the request's deadline, in milliseconds.
pub const DEADLINE_HEADER: &str = "wisteriapoint-deadline-ms";

/// HTTP clients that neither retry requests nor follow redirects.
#[derive(Debug, Clone)]
pub struct Clients {
    pooled: Arc<ArcSwap<Client>>,
    pub(crate) single_use: Client,
}

impl Clients {
    /// Creates a client with pooled connections and one that uses each connection once.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library can't be initialized.
    pub fn new() -> Result<Self, Failure> {
        Ok(Self {
            pooled: Arc::new(ArcSwap::from_pointee(build(base_builder())?)),
            single_use: build(base_builder().pool_max_idle_per_host(0))?,
        })
    }

    /// Returns the client for a request.
    ///
    /// Connections are reused only for idempotent requests to endpoints that echo the request
    /// id, since without it a response to an earlier request can't be recognized.
    pub(crate) fn for_request(&self, target: &Target, idempotent: bool) -> Client {
        match target.echoes_request_id {
            true if idempotent => self.pooled(),
            _ => self.single_use.clone(),
        }
    }

    fn pooled(&self) -> Client {
        Client::clone(&self.pooled.load())
    }

    /// Replaces the connection pool after a response to another request arrived.
    ///
    /// Later requests then use new connections, not one whose responses are out of order.
    pub(crate) fn replace_pool(&self) {
        if let Ok(client) = build(base_builder()) {
            self.pooled.store(Arc::new(client));
        }
    }
}

fn base_builder() -> ClientBuilder {
    Client::builder()
        .no_proxy()
        .connect_timeout(CONNECT_TIMEOUT)
        .redirect(Policy::none())
        .retry(reqwest::retry::never())
}

fn build(builder: ClientBuilder) -> Result<Client, Failure> {
    builder
        .build()
        .map_err(|error| Failure::not_run(Kind::Setup(error)))
}
