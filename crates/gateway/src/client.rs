//! HTTP clients for endpoints.

use std::sync::Arc;
use std::time::Duration;

use arc_swap::ArcSwap;
use reqwest::redirect::Policy;
use reqwest::{Client, ClientBuilder};

use crate::failure::Kind;
use crate::{Failure, Target};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Header that ties an answer to its request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that carries the time left for a request, in milliseconds.
pub const DEADLINE_HEADER: &str = "wisteriapoint-deadline-ms";

/// HTTP clients that neither retry nor follow redirects on their own.
#[derive(Debug, Clone)]
pub struct Clients {
    pooled: Arc<ArcSwap<Client>>,
    pub(crate) single_use: Client,
}

impl Clients {
    /// Makes the clients.
    ///
    /// # Errors
    ///
    /// Fails if the HTTP library can't be set up.
    pub fn new() -> Result<Self, Failure> {
        Ok(Self {
            pooled: Arc::new(ArcSwap::from_pointee(build(base_builder())?)),
            single_use: build(base_builder().pool_max_idle_per_host(0))?,
        })
    }

    /// The client for a request; only answers that can be told apart share connections.
    pub(crate) fn for_request(&self, target: &Target, idempotent: bool) -> Client {
        match target.echoes_request_id {
            true if idempotent => self.pooled(),
            _ => self.single_use.clone(),
        }
    }

    pub(crate) fn pooled(&self) -> Client {
        Client::clone(&self.pooled.load())
    }

    /// Leaves all idle connections, since one of them carries the answers of others.
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
